//! MemberSelection of members for a new group.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{ModelSpec, Upstream};
use jacinthpoint_types::{DeploymentId, FabricDomainId, VmId};

/// How soon an upstream can hold a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WeightsLocation {
    /// Its last group held the model.
    Resident,
    /// The weights are on its host.
    Staged,
    /// The weights come from the weight store.
    Remote,
}

/// How soon `upstream` can hold `model`; `last` is the model of its last group in this life.
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

/// Members for a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MemberSelection {
    pub(crate) model: DeploymentId,
    pub(crate) members: Vec<VmId>,
    pub(crate) weights_location: WeightsLocation,
}

/// Upstreams that are free, by fabric domain.
pub(crate) type FreeByDomain<'a> = BTreeMap<FabricDomainId, Vec<&'a Upstream>>;

/// Upstreams of a fabric domain that hold a model or its weights, free or in a group.
pub(crate) type HoldersByDomain = BTreeMap<(FabricDomainId, DeploymentId), usize>;

/// The members that can form a group of `model` soonest within one fabric domain, not slower than
/// `farthest`. Among domains that can do so equally soon, the one that leans most to the model is
/// taken: what remains of a domain after losses forms groups again only if it holds one model.
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
