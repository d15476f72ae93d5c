//! Computes how many groups each model should have, and which models have too few.
//!
//! Each model gets its share of the upstreams. No spares are set aside: when a group loses a
//! member, its other members become free and replace the next loss in their fabric domain.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{Engine, ModelSpec};
use jacinthpoint_types::DeploymentId;

/// Fraction of a group's greatest request rate up to which it still answers in time.
const TARGET_UTILISATION: f64 = 0.65;

/// Requests per second by model, as observed by the gateways.
pub type Demand = BTreeMap<DeploymentId, f64>;

/// Returns the number of groups that each model should have: its share of `upstreams`, more if its
/// demand needs more, and at least one.
pub(crate) fn target_group_counts(
    engine: &Engine,
    upstreams: usize,
    demand: &Demand,
) -> BTreeMap<DeploymentId, usize> {
    let target = |model: &ModelSpec| {
        let upstreams_for_model = upstreams as f64 * model.demand_share;
        let by_share = (upstreams_for_model / model.size as f64).round();
        let rate_per_s = engine.group_rate_per_s(model) * TARGET_UTILISATION;
        let requests_per_s = demand.get(&model.name).copied().unwrap_or(0.0);
        let by_demand = (requests_per_s / rate_per_s.max(0.001)).ceil();
        (
            model.name.clone(),
            by_share.max(by_demand).max(1.0) as usize,
        )
    };
    engine.models.iter().map(target).collect()
}

/// Returns the models that have fewer groups than their target, the one with the lowest ratio of
/// groups to target first.
pub(crate) fn models_below_target<'a>(
    engine: &'a Engine,
    targets: &BTreeMap<DeploymentId, usize>,
    groups: &BTreeMap<DeploymentId, usize>,
) -> Vec<&'a ModelSpec> {
    let fill_ratio = |model: &ModelSpec| {
        let count = groups.get(&model.name).copied().unwrap_or(0);
        let target = targets.get(&model.name).copied().unwrap_or(0);
        count as f64 / target.max(1) as f64
    };
    let mut models: Vec<_> = engine
        .models
        .iter()
        .filter(|model| fill_ratio(model) < 1.0)
        .collect();
    models.sort_by(|a, b| fill_ratio(a).total_cmp(&fill_ratio(b)));
    models
}
