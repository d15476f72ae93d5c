//! Computes how many groups each model should have, and which models have too few.
//!
//! Each model gets its share of the upstreams. No spares are set aside: when a group loses a
//! member, its other members become free, and they replace members that other groups of their
//! fabric domain lose later.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_fleet::{Engine, ModelSpec};
use jacinthpoint_types::DeploymentId;

use crate::arrangement::ModelNeed;

/// Fraction of the work that a fully busy group does up to which a group answers in time.
const TARGET_UTILISATION: f64 = 0.65;
/// Factor by which the work of a group of one model must exceed that of a group of another one
/// before upstreams go from the second to the first. A conversion and its reverse are both worth it
/// only if the demand moves by the square of it in between.
const MIN_WORK_RATIO: f64 = 1.15;

/// Work that callers ask of each model, in the number of groups that it would keep fully busy.
pub type Demand = BTreeMap<DeploymentId, f64>;

/// Returns what each model has and should have: as many groups as its configured share of the
/// upstreams allows, more if its observed demand needs more, and at least one. `group_counts` holds
/// the numbers of groups that models have.
pub(crate) fn model_needs(
    engine: &Engine,
    upstream_count: usize,
    demand: &Demand,
    group_counts: &BTreeMap<DeploymentId, usize>,
) -> Vec<ModelNeed> {
    let need = |model: &ModelSpec| {
        let upstreams_for_model = upstream_count as f64 * model.demand_share;
        let by_share = (upstreams_for_model / model.size as f64).round().max(1.0);
        let by_demand = demand
            .get(&model.name)
            .map(|work| (work / TARGET_UTILISATION).max(0.1));
        ModelNeed {
            model: model.name.clone(),
            size: model.size,
            target: by_share.max(by_demand.unwrap_or(0.0).ceil()) as usize,
            need: by_demand.unwrap_or(by_share),
            existing: group_counts.get(&model.name).copied().unwrap_or(0),
        }
    };
    engine.models.iter().map(need).collect()
}

/// Returns the models that have fewer groups than their target, in ascending order of the ratio of
/// groups to need.
pub(crate) fn models_below_target<'a>(
    engine: &'a Engine,
    needs: &[ModelNeed],
) -> Vec<&'a ModelSpec> {
    let fill_ratio = |need: &ModelNeed| need.existing as f64 / need.need;
    let mut below: Vec<&ModelNeed> = needs
        .iter()
        .filter(|need| need.existing < need.target)
        .collect();
    below.sort_by(|a, b| fill_ratio(a).total_cmp(&fill_ratio(b)));
    let spec = |need: &&ModelNeed| engine.model(need.model.as_str());
    below.iter().filter_map(spec).collect()
}

/// Returns whether a model with this need and number of groups is so much shorter of groups than
/// another one that it should get upstreams of it.
pub(crate) fn is_shorter(need: f64, groups: usize, other_need: f64, other_groups: usize) -> bool {
    let ratio = |need: f64, groups: usize| need / (groups as f64).max(0.5);
    ratio(need, groups) >= MIN_WORK_RATIO * ratio(other_need, other_groups)
}

/// Returns the models for which upstreams that can serve `model` are kept: by the observed demand,
/// these have too few groups and are shorter of them than `model`, which has enough.
pub(crate) fn models_to_keep_for(
    model: &DeploymentId,
    needs: &[ModelNeed],
    demand: &Demand,
) -> BTreeSet<DeploymentId> {
    let Some(own) = needs.iter().find(|need| need.model == *model) else {
        return BTreeSet::new();
    };
    if demand.is_empty() || own.need > own.existing as f64 {
        return BTreeSet::new();
    }
    let is_missed = |need: &&ModelNeed| {
        need.model != *model
            && need.need > need.existing as f64
            && need.existing < need.target
            && is_shorter(need.need, need.existing, own.need, own.existing)
    };
    let missed = needs.iter().filter(is_missed);
    missed.map(|need| need.model.clone()).collect()
}
