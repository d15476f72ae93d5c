//! Allocates the groups of a deployment to fabric domains.
//!
//! Each controller computes the allocation on its own, from the same list of VMs. Hysteresis keeps
//! short-lived changes of the list from moving groups.

use std::collections::BTreeMap;

use jacinthpoint_types::{DeploymentId, FabricDomainId, TimeMs, rendezvous_weight};

/// Time for which a domain's number of VMs must differ before the change counts. It is longer than
/// the time for which controllers can see different states of the lagging list.
const SIZE_HOLD_MS: u64 = 5_000;
/// Time for which a smaller share must be allocated before the share shrinks. A domain that
/// recovers then has its groups serving before other domains give up theirs.
const SHRINK_HOLD_MS: u64 = 120_000;

/// Groups that a deployment wants over all fabric domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeploymentDemand {
    /// The deployment.
    pub deployment: DeploymentId,
    /// Number of groups wanted over all domains.
    pub replicas: u16,
    /// Number of members of each group.
    pub group_size: u16,
    /// Number of standbys of each group.
    pub standbys: u16,
}

/// Allocates the groups of one deployment to domains, subtracts their VMs from `free` and returns
/// the number of groups of each domain.
///
/// Each group goes to the domain with the fewest groups of the deployment among those with enough
/// free VMs for the group and its standbys or, if there is none, for the group alone. Controllers
/// that see the same numbers of VMs therefore compute the same allocation without communication,
/// and the loss of a VM moves no group while its domain has enough VMs. Groups for which no domain
/// has enough VMs are not allocated.
pub fn allocate_groups(
    free: &mut BTreeMap<FabricDomainId, usize>,
    wanted: &DeploymentDemand,
) -> BTreeMap<FabricDomainId, u16> {
    let size = usize::from(wanted.group_size);
    let with_standbys = size + usize::from(wanted.standbys);
    let mut shares: BTreeMap<FabricDomainId, u16> = BTreeMap::new();
    for _ in 0..wanted.replicas {
        let best = least_allocated_domain(free, &shares, wanted, with_standbys)
            .or_else(|| least_allocated_domain(free, &shares, wanted, size));
        let Some(best) = best else { break };
        if let Some(vms) = free.get_mut(&best) {
            *vms = vms.saturating_sub(with_standbys);
        }
        *shares.entry(best).or_default() += 1;
    }
    shares
}

fn least_allocated_domain(
    free: &BTreeMap<FabricDomainId, usize>,
    shares: &BTreeMap<FabricDomainId, u16>,
    wanted: &DeploymentDemand,
    needed: usize,
) -> Option<FabricDomainId> {
    let with_room = free.iter().filter(|(_, vms)| **vms >= needed);
    let best = with_room.map(|(domain, _)| domain).min_by_key(|domain| {
        let share = shares.get(*domain).copied().unwrap_or(0);
        let weight = rendezvous_weight(wanted.deployment.as_str(), domain.as_str());
        (share, u64::MAX - weight)
    });
    best.cloned()
}

/// Number of VMs of a domain, with hysteresis.
#[derive(Debug)]
struct DomainSize {
    /// Number of VMs that the allocation uses.
    effective: usize,
    /// Change of the listed number that the allocation does not use yet: the time since which the
    /// number has always been above `effective`, or always below it, and the listed number nearest
    /// to `effective` since then.
    pending_change: Option<(TimeMs, usize)>,
}

/// Number of groups of a deployment that the domain keeps, with hysteresis.
#[derive(Debug)]
struct HeldShare {
    /// Groups that the deployment wanted over all domains when the share was set.
    replicas: u16,
    share: u16,
    /// Since when the allocated share has been smaller than `share`.
    smaller_since: Option<TimeMs>,
}

/// Numbers of VMs of all domains and the shares of one domain, both with hysteresis.
#[derive(Debug, Default)]
pub struct DomainShares {
    sizes: BTreeMap<FabricDomainId, DomainSize>,
    shares: BTreeMap<DeploymentId, HeldShare>,
}

impl DomainShares {
    /// Records the number of VMs of each domain on the platform's list.
    pub fn observe(&mut self, now: TimeMs, listed: &BTreeMap<FabricDomainId, usize>) {
        for (domain, vms) in listed {
            self.sizes.entry(domain.clone()).or_insert(DomainSize {
                effective: *vms,
                pending_change: None,
            });
        }
        for (domain, size) in &mut self.sizes {
            size.observe(now, listed.get(domain).copied().unwrap_or(0));
        }
        self.sizes
            .retain(|domain, size| size.effective > 0 || listed.contains_key(domain));
    }

    /// Returns the number of VMs of each domain that the allocation uses.
    pub fn sizes(&self) -> BTreeMap<FabricDomainId, usize> {
        let sizes = self.sizes.iter();
        sizes
            .map(|(domain, size)| (domain.clone(), size.effective))
            .collect()
    }

    /// Returns the number of groups of a deployment that the domain should have, given the share
    /// just allocated to it.
    ///
    /// The first share of a deployment is at least `planned`, the number of groups in the domain's
    /// plan, as far as `replicas` allows. Later, the share grows at once and shrinks after a delay,
    /// but a change of `replicas` applies at once.
    pub fn update_share(
        &mut self,
        now: TimeMs,
        wanted: &DeploymentDemand,
        allocated: u16,
        planned: usize,
    ) -> u16 {
        let planned = u16::try_from(planned).unwrap_or(u16::MAX);
        let held = self
            .shares
            .entry(wanted.deployment.clone())
            .or_insert(HeldShare {
                replicas: wanted.replicas,
                share: allocated.max(planned.min(wanted.replicas)),
                smaller_since: None,
            });
        if held.replicas != wanted.replicas || allocated >= held.share {
            held.replicas = wanted.replicas;
            held.share = allocated;
            held.smaller_since = None;
            return allocated;
        }
        let since = *held.smaller_since.get_or_insert(now);
        if now.since_ms(since) >= SHRINK_HOLD_MS {
            held.share = allocated;
            held.smaller_since = None;
        }
        held.share
    }
}

impl DomainSize {
    fn observe(&mut self, now: TimeMs, seen: usize) {
        let was_above = self
            .pending_change
            .map(|(_, nearest)| nearest > self.effective);
        if seen == self.effective {
            self.pending_change = None;
            return;
        }
        let is_above = seen > self.effective;
        match &mut self.pending_change {
            Some((_, nearest)) if was_above == Some(is_above) => {
                *nearest = if is_above {
                    seen.min(*nearest)
                } else {
                    seen.max(*nearest)
                };
            }
            pending_change => *pending_change = Some((now, seen)),
        }
        if let Some((since, nearest)) = self.pending_change
            && now.since_ms(since) >= SIZE_HOLD_MS
        {
            self.effective = nearest;
            self.pending_change = None;
        }
    }
}
