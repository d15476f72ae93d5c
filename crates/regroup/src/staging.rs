//! Selects the models whose weights the hosts of free upstreams load in advance.
//!
//! A free upstream is in no group. If its host already holds the weights of a model, it can join a
//! group of this model within one or two seconds, without a load from the weight store.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{Engine, ModelSpec, Upstream};
use jacinthpoint_types::{DeploymentId, FabricDomainId};

use crate::member_selection::FreeByDomain;

/// Number of group members by fabric domain and model, from which the number of spares is decided.
/// A spare is a free upstream whose host holds or is loading the weights of a model; it can replace
/// a lost member of a group of this model.
pub(crate) type MemberCounts = BTreeMap<(FabricDomainId, DeploymentId), usize>;

/// Returns how many of a domain's free upstreams have a host that holds the weights of a model.
fn staged_count(upstreams: &[&Upstream], model: &DeploymentId) -> usize {
    let holds = |upstream: &&&Upstream| upstream.staged.contains(model);
    upstreams.iter().filter(holds).count()
}

/// Returns the model that a host without weights should load: the model with the most group members
/// per spare in the host's domain, see [`MemberCounts`]. In a domain without groups, the model with
/// the largest share of the demand is loaded first.
fn model_to_stage<'a>(
    domain: &FabricDomainId,
    upstreams: &[&Upstream],
    loading_counts: &BTreeMap<DeploymentId, usize>,
    engine: &'a Engine,
    member_counts: &MemberCounts,
) -> Option<&'a ModelSpec> {
    let members_per_spare = |model: &ModelSpec| {
        let loading_hosts = loading_counts.get(&model.name).copied().unwrap_or(0);
        let spares = staged_count(upstreams, &model.name) + loading_hosts;
        let key = (domain.clone(), model.name.clone());
        let member_count = member_counts.get(&key).copied().unwrap_or(0);
        // 0.5 avoids a division by zero.
        (member_count as f64 + model.demand_share) / (spares as f64 + 0.5)
    };
    engine
        .models
        .iter()
        .max_by(|a, b| members_per_spare(a).total_cmp(&members_per_spare(b)))
}

/// Returns the loads of weights to start now, at most `max_loads`, each as upstream and model.
/// `loading_model` returns the model that an upstream's host is loading already.
pub(crate) fn select_stagings<'a>(
    free: &FreeByDomain<'a>,
    loading_model: impl Fn(&Upstream) -> Option<DeploymentId>,
    engine: &Engine,
    member_counts: &MemberCounts,
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
            if let Some(model) =
                model_to_stage(domain, upstreams, &loading_counts, engine, member_counts)
            {
                *loading_counts.entry(model.name.clone()).or_default() += 1;
                chosen.push((upstream, model.name.clone()));
            }
        }
    }
    chosen
}
