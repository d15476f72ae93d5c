//! Selects the members of a new group.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_fleet::{ModelSpec, Upstream};
use jacinthpoint_types::{DeploymentId, FabricDomainId, VmId};

/// Where an upstream gets a model's weights from, the fastest source first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WeightsLocation {
    /// The upstream's engine still holds the weights, since its last group was of this model.
    Resident,
    /// The weights are on the upstream's host.
    Staged,
    /// The weights are loaded from the weight store.
    Remote,
}

/// Returns where `upstream` gets the weights of `model` from. `last` is the model of the last group
/// that its current incarnation was in or was ordered to join.
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
    pub(crate) slowest_weights_location: WeightsLocation,
}

impl MemberSelection {
    /// Makes the first member that is not cold the leader, if there is one. The leader takes the
    /// requests of the group, and a cold one takes few.
    pub(crate) fn with_warm_leader(mut self, cold: &BTreeSet<VmId>) -> MemberSelection {
        if let Some(warm) = self.members.iter().position(|id| !cold.contains(id)) {
            self.members.swap(0, warm);
        }
        self
    }
}

/// Upstreams without a group that can join one, by fabric domain.
pub(crate) type FreeByDomain<'a> = BTreeMap<FabricDomainId, Vec<&'a Upstream>>;

/// Number of upstreams by fabric domain and model. An upstream counts for the model that its group
/// serves, or if it is in no group, for the model whose weights its host holds.
pub(crate) type HolderCounts = BTreeMap<FabricDomainId, BTreeMap<DeploymentId, usize>>;

/// Returns by how much the holders of a model in a domain outnumber the holders of other models.
pub(crate) fn holder_surplus(
    holders: &HolderCounts,
    domain: &FabricDomainId,
    model: &DeploymentId,
) -> i64 {
    let in_domain = holders.get(domain).into_iter().flatten();
    let signed = in_domain.map(|(held, count)| {
        let count = *count as i64;
        if held == model { count } else { -count }
    });
    signed.sum()
}

/// Members of a group that one domain can form, with what it is compared by.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Candidate {
    /// Surplus of holders of the model in the domain, see [`holder_surplus`].
    surplus: i64,
    pub(crate) selection: MemberSelection,
}

/// Returns the members that can form a group of `model` soonest within a domain with these free upstreams,
/// or `None` if there are not enough with weights from `slowest_allowed` or a faster source.
pub(crate) fn candidate(
    domain: &FabricDomainId,
    upstreams: &[&Upstream],
    holders: &HolderCounts,
    last_models: &BTreeMap<VmId, DeploymentId>,
    model: &ModelSpec,
    slowest_allowed: WeightsLocation,
) -> Option<Candidate> {
    let mut ranked: Vec<(WeightsLocation, &VmId)> = upstreams
        .iter()
        .map(|upstream| {
            let last = last_models.get(&upstream.id);
            (weights_location(upstream, last, &model.name), &upstream.id)
        })
        .filter(|(weights_location, _)| *weights_location <= slowest_allowed)
        .collect();
    if ranked.len() < model.size {
        return None;
    }
    ranked.sort();
    ranked.truncate(model.size);
    let selection = MemberSelection {
        model: model.name.clone(),
        slowest_weights_location: ranked.last()?.0,
        members: ranked.into_iter().map(|(_, id)| id.clone()).collect(),
    };
    Some(Candidate {
        surplus: holder_surplus(holders, domain, &model.name),
        selection,
    })
}

/// Returns the members that can form a group soonest, out of the candidates of all domains.
///
/// Among domains that can form the group equally soon, the one with the largest surplus of holders
/// of this model over holders of other models (see [`HolderCounts`]) is selected: the upstreams
/// that remain in a domain after losses can form groups again only if they hold the same model.
pub(crate) fn soonest<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Option<&'a MemberSelection> {
    let order = |candidate: &&Candidate| {
        let slowest = candidate.selection.slowest_weights_location;
        (slowest, -candidate.surplus)
    };
    let soonest = candidates.min_by_key(order)?;
    Some(&soonest.selection)
}
