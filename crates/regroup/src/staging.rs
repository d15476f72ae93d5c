//! Selects the model that an idle host loads in advance. Its upstream can then join a group within
//! one or two seconds, instead of after a load from the weight store.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{Engine, ModelSpec, Upstream};
use jacinthpoint_types::{DeploymentId, FabricDomainId};

use crate::member_selection::FreeByDomain;

/// Number of group members by fabric domain and model. Each is a loss that a spare may have to
/// replace.
pub(crate) type MembersByDomain = BTreeMap<(FabricDomainId, DeploymentId), usize>;

/// Returns the number of idle upstreams of one domain whose hosts hold a model's weights.
fn staged_count(upstreams: &[&Upstream], model: &DeploymentId) -> usize {
    let holds = |upstream: &&&Upstream| upstream.staged.contains(model);
    upstreams.iter().filter(holds).count()
}

/// Returns the model that a host without weights should load: the one with the most group members
/// per spare in its domain. A domain without groups starts with the model that has the largest
/// share of the demand.
fn model_to_stage<'a>(
    domain: &FabricDomainId,
    upstreams: &[&Upstream],
    loading_counts: &BTreeMap<DeploymentId, usize>,
    engine: &'a Engine,
    members: &MembersByDomain,
) -> Option<&'a ModelSpec> {
    let exposure = |model: &ModelSpec| {
        let loading_hosts = loading_counts.get(&model.name).copied().unwrap_or(0);
        let spares = staged_count(upstreams, &model.name) + loading_hosts;
        let at = (domain.clone(), model.name.clone());
        let members = members.get(&at).copied().unwrap_or(0);
        (members as f64 + model.demand_share) / (spares as f64 + 0.5)
    };
    engine
        .models
        .iter()
        .max_by(|a, b| exposure(a).total_cmp(&exposure(b)))
}

/// Returns the loads to start now, at most `max_loads`: upstream and model of each. `loading_model`
/// returns the model that an upstream's host is loading already.
pub(crate) fn select_stagings<'a>(
    free: &FreeByDomain<'a>,
    loading_model: impl Fn(&Upstream) -> Option<DeploymentId>,
    engine: &Engine,
    members: &MembersByDomain,
    max_loads: usize,
) -> Vec<(&'a Upstream, DeploymentId)> {
    let mut chosen: Vec<(&Upstream, DeploymentId)> = Vec::new();
    for (domain, upstreams) in free {
        let mut loading_counts: BTreeMap<DeploymentId, usize> = BTreeMap::new();
        for model in upstreams
            .iter()
            .filter_map(|upstream| loading_model(upstream))
        {
            *loading_counts.entry(model).or_default() += 1;
        }
        for upstream in upstreams {
            let can_stage = upstream.staged.is_empty() && loading_model(upstream).is_none();
            if chosen.len() >= max_loads || !can_stage {
                continue;
            }
            if let Some(model) = model_to_stage(domain, upstreams, &loading_counts, engine, members)
            {
                *loading_counts.entry(model.name.clone()).or_default() += 1;
                chosen.push((upstream, model.name.clone()));
            }
        }
    }
    chosen
}
