//! Computes how many groups each model should have, and which models have too few.
//!
//! Each model gets its share of the upstreams. No spares are set aside: when a group loses a
//! member, its other members become free, and they replace members that other groups of their
//! fabric domain lose later.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{Engine, ModelSpec};
use jacinthpoint_types::DeploymentId;

/// Fraction of a group's maximum request rate up to which the group answers in time.
const TARGET_UTILISATION: f64 = 0.65;

/// Requests per second by model, as observed by the gateways.
pub type Demand = BTreeMap<DeploymentId, f64>;

/// Returns the number of groups that each model should have: as many as its configured share of the
/// upstreams allows, more if its observed demand needs more, and at least one.
pub(crate) fn target_group_counts(
    engine: &Engine,
    upstream_count: usize,
    demand: &Demand,
) -> BTreeMap<DeploymentId, usize> {
    let target = |model: &ModelSpec| {
        let upstreams_for_model = upstream_count as f64 * model.demand_share;
        let by_share = (upstreams_for_model / model.size as f64).round();
        let group_capacity_per_s = engine.group_rate_per_s(model) * TARGET_UTILISATION;
        let demand_per_s = demand.get(&model.name).copied().unwrap_or(0.0);
        // The lower bound avoids a division by zero.
        let by_demand = (demand_per_s / group_capacity_per_s.max(0.001)).ceil();
        (
            model.name.clone(),
            by_share.max(by_demand).max(1.0) as usize,
        )
    };
    engine.models.iter().map(target).collect()
}

/// Returns the models that have fewer groups than their target, in ascending order of the ratio of
/// groups to target.
pub(crate) fn models_below_target<'a>(
    engine: &'a Engine,
    targets: &BTreeMap<DeploymentId, usize>,
    group_counts: &BTreeMap<DeploymentId, usize>,
) -> Vec<&'a ModelSpec> {
    let fill_ratio = |model: &ModelSpec| {
        let count = group_counts.get(&model.name).copied().unwrap_or(0);
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
