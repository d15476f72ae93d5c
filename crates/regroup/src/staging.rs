//! Selects the models whose weights the hosts of free upstreams load in advance.
//!
//! A free upstream is in no group. If its host already holds the weights of a model, it can join a
//! group of this model within one or two seconds, without a load from the weight store.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{Engine, ModelSpec, Upstream};
use jacinthpoint_types::{DeploymentId, FabricDomainId};

/// Number of group members by fabric domain and model, from which the number of spares is decided.
/// A spare is a free upstream whose host holds or is loading the weights of a model; it can replace
/// a lost member of a group of this model.
pub(crate) type MemberCounts = BTreeMap<(FabricDomainId, DeploymentId), usize>;

/// The host of a free upstream.
#[derive(Debug, Clone)]
pub(crate) struct FreeHost<'a> {
    pub(crate) upstream: &'a Upstream,
    /// Model whose weights the host is loading.
    pub(crate) loading: Option<DeploymentId>,
    /// Models of which the upstream can join a group without a load.
    pub(crate) joinable: Vec<DeploymentId>,
    /// Whether the upstream has been free for some time.
    pub(crate) is_idle: bool,
}

impl FreeHost<'_> {
    /// Returns whether the host holds the weights of the model or is loading them.
    fn holds_or_loads(&self, model: &DeploymentId) -> bool {
        match &self.loading {
            Some(loading) => loading == model,
            None => self.joinable.contains(model),
        }
    }
}

/// Returns the model that a host without weights should load: the model with the most group members
/// per spare in the host's domain, see [`MemberCounts`]. In a domain without groups, the model with
/// the largest share of the demand is loaded first.
fn model_to_stage<'a>(
    domain: &FabricDomainId,
    hosts: &[FreeHost<'_>],
    chosen_counts: &BTreeMap<DeploymentId, usize>,
    engine: &'a Engine,
    member_counts: &MemberCounts,
) -> Option<&'a ModelSpec> {
    let members_per_spare = |model: &ModelSpec| {
        let is_spare = |host: &&FreeHost<'_>| {
            host.upstream.staged.contains(&model.name) || host.loading.as_ref() == Some(&model.name)
        };
        let chosen = chosen_counts.get(&model.name).copied().unwrap_or(0);
        let spares = hosts.iter().filter(is_spare).count() + chosen;
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

/// Returns the hosts of a domain that should load the weights of `model` so that, with the hosts
/// that hold them, a group can be formed. Hosts without weights come first, then idle ones with the
/// weights of a model that is not one of the `scarcer` ones. Returns none if they would still be too
/// few, if enough hosts hold or load the weights already, or if none does.
fn missing_members<'a>(
    hosts: &[FreeHost<'a>],
    model: &ModelSpec,
    scarcer: &[&ModelSpec],
) -> Vec<&'a Upstream> {
    let holders = hosts.iter().filter(|host| host.holds_or_loads(&model.name));
    let missing = model.size.saturating_sub(holders.count());
    let is_candidate = |host: &&FreeHost<'a>| {
        let is_scarce = scarcer.iter().any(|model| host.holds_or_loads(&model.name));
        let may_replace = host.upstream.staged.is_empty() || host.is_idle;
        let is_holder = host.holds_or_loads(&model.name);
        host.loading.is_none() && !is_holder && !is_scarce && may_replace
    };
    let candidates = hosts.iter().filter(is_candidate);
    let mut candidates: Vec<&Upstream> = candidates.map(|host| host.upstream).collect();
    if missing == 0 || missing == model.size || candidates.len() < missing {
        return Vec::new();
    }
    candidates.sort_by_key(|upstream| !upstream.staged.is_empty());
    candidates.truncate(missing);
    candidates
}

/// Returns the loads of weights to start now, at most `max_loads`, each as upstream and model.
/// `below_target` holds the models that have too few groups, the one with the fewest first.
pub(crate) fn select_stagings<'a>(
    free: &BTreeMap<FabricDomainId, Vec<FreeHost<'a>>>,
    engine: &Engine,
    below_target: &[&ModelSpec],
    member_counts: &MemberCounts,
    max_loads: usize,
) -> Vec<(&'a Upstream, DeploymentId)> {
    let mut chosen: Vec<(&Upstream, DeploymentId)> = Vec::new();
    for (domain, hosts) in free {
        // One group at a time in each domain, so that no host is chosen twice.
        let completed = below_target.iter().enumerate().find_map(|(index, model)| {
            let missing = missing_members(hosts, model, &below_target[..index]);
            (!missing.is_empty()).then_some((missing, *model))
        });
        if let Some((missing, model)) = completed {
            if chosen.len() + missing.len() <= max_loads {
                let loads = missing.into_iter().map(|host| (host, model.name.clone()));
                chosen.extend(loads);
            }
            continue;
        }
        let mut chosen_counts: BTreeMap<DeploymentId, usize> = BTreeMap::new();
        for host in hosts {
            let can_stage = host.upstream.staged.is_empty() && host.loading.is_none();
            if chosen.len() >= max_loads || !can_stage {
                continue;
            }
            let model = model_to_stage(domain, hosts, &chosen_counts, engine, member_counts);
            if let Some(model) = model {
                *chosen_counts.entry(model.name.clone()).or_default() += 1;
                chosen.push((host.upstream, model.name.clone()));
            }
        }
    }
    chosen
}
