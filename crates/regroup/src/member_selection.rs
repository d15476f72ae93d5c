//! Selects the members of a new group.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{ModelSpec, Upstream};
use jacinthpoint_types::{DeploymentId, FabricDomainId, VmId};

/// Where an upstream gets a model's weights from, the fastest source first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WeightsLocation {
    /// The upstream's last group held the model.
    Resident,
    /// The weights are on the upstream's host.
    Staged,
    /// The weights are loaded from the weight store.
    Remote,
}

/// Returns where `upstream` gets the weights of `model` from. `last` is the model of the last group
/// that its current incarnation was in.
pub(crate) fn weights_location(
    upstream: &Upstream,
    last: Option<&DeploymentId>,
    model: &DeploymentId,
) -> WeightsLocation {
    if last == Some(model) {
        WeightsLocation::Resident
    } else if upstream.staged.contains(model) {
        WeightsLocation::Staged
    } else {
        WeightsLocation::Remote
    }
}

/// Model and members of a group to be formed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MemberSelection {
    pub(crate) model: DeploymentId,
    /// As many members as the model needs, the leader first.
    pub(crate) members: Vec<VmId>,
    /// The slowest source of weights among the members.
    pub(crate) weights_location: WeightsLocation,
}

/// Upstreams without a group that can join one, by fabric domain.
pub(crate) type FreeByDomain<'a> = BTreeMap<FabricDomainId, Vec<&'a Upstream>>;

/// Number of upstreams, free or in a group, that hold a model or its weights, by fabric domain and
/// model.
pub(crate) type HoldersByDomain = BTreeMap<(FabricDomainId, DeploymentId), usize>;

/// Returns the members that can form a group of `model` soonest within one fabric domain, or `None`
/// if no domain has enough free upstreams with weights at `farthest_allowed` or nearer.
///
/// Among domains that can form the group equally soon, the one with the largest surplus of holders
/// of this model over holders of other models is selected: the upstreams that remain in a domain
/// after losses can form groups again only if they hold the same model.
pub(crate) fn select_members(
    free: &FreeByDomain<'_>,
    holders: &HoldersByDomain,
    last_models: &BTreeMap<VmId, DeploymentId>,
    model: &ModelSpec,
    farthest_allowed: WeightsLocation,
) -> Option<MemberSelection> {
    let surplus = |domain: &FabricDomainId| {
        let in_domain = holders.iter().filter(|((at, _), _)| at == domain);
        let (own, other) = in_domain.fold((0_i64, 0_i64), |(own, other), ((_, held), count)| {
            let count = *count as i64;
            if held == &model.name {
                (own + count, other)
            } else {
                (own, other + count)
            }
        });
        own - other
    };
    let select_in_domain = |(domain, upstreams): (&FabricDomainId, &Vec<&Upstream>)| {
        let mut ranked: Vec<(WeightsLocation, &VmId)> = upstreams
            .iter()
            .map(|upstream| {
                let last = last_models.get(&upstream.id);
                (weights_location(upstream, last, &model.name), &upstream.id)
            })
            .filter(|(weights_location, _)| *weights_location <= farthest_allowed)
            .collect();
        ranked.sort();
        ranked.truncate(model.size);
        let farthest = ranked.last()?.0;
        let selection = MemberSelection {
            model: model.name.clone(),
            members: ranked.into_iter().map(|(_, id)| id.clone()).collect(),
            weights_location: farthest,
        };
        (selection.members.len() == model.size).then(|| (farthest, -surplus(domain), selection))
    };
    let (_, _, selection) = free
        .iter()
        .filter_map(select_in_domain)
        .min_by_key(|(farthest, negated_surplus, _)| (*farthest, *negated_surplus))?;
    Some(selection)
}
