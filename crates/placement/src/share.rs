//! Deals a deployment's groups over fabric domains.

use std::collections::BTreeMap;

use jacinthpoint_types::{DeploymentId, FabricDomainId, TimeMs, rendezvous_weight};

/// A domain's number of VMs counts as changed after it has been different for this long: longer
/// than controllers that read a lagging list can differ.
const SIZE_HOLD_MS: u64 = 5_000;
/// A share falls after it should have been smaller for this long, so that a domain that comes back
/// has its groups serving before others give theirs up.
const SHRINK_HOLD_MS: u64 = 120_000;

/// Groups of a deployment over all domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeploymentDemand {
    /// The deployment.
    pub deployment: DeploymentId,
    /// Groups wanted over all domains.
    pub replicas: u16,
    /// Members of each.
    pub group_size: u16,
    /// Standbys of each.
    pub standbys: u16,
}

/// Deals the groups of one deployment to the domains and takes their VMs off `free`.
///
/// Each group goes to the domain that has fewest of them among those with room, so that every
/// controller that sees the same sizes gets the same split without asking the others, and the loss
/// of a VM moves no group as long as its domain still has room. Groups that fit nowhere are allocated
/// to nobody.
pub fn allocate_groups(
    free: &mut BTreeMap<FabricDomainId, usize>,
    wanted: &DeploymentDemand,
) -> BTreeMap<FabricDomainId, u16> {
    let size = usize::from(wanted.group_size);
    let with_standbys = size + usize::from(wanted.standbys);
    let mut shares: BTreeMap<FabricDomainId, u16> = BTreeMap::new();
    for _ in 0..wanted.replicas {
        let best = emptiest(free, &shares, wanted, with_standbys)
            .or_else(|| emptiest(free, &shares, wanted, size));
        let Some(best) = best else { break };
        if let Some(vms) = free.get_mut(&best) {
            *vms = vms.saturating_sub(with_standbys);
        }
        *shares.entry(best).or_default() += 1;
    }
    shares
}

fn emptiest(
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

#[derive(Debug)]
struct DomainSize {
    held: usize,
    /// Since when it has been different, and the value nearest to the held one since then.
    differs: Option<(TimeMs, usize)>,
}

#[derive(Debug)]
struct HeldShare {
    replicas: u16,
    share: u16,
    smaller_since: Option<TimeMs>,
}

/// Sizes of all domains and the shares of one, both with hysteresis.
#[derive(Debug, Default)]
pub struct DomainShares {
    sizes: BTreeMap<FabricDomainId, DomainSize>,
    shares: BTreeMap<DeploymentId, HeldShare>,
}

impl DomainShares {
    /// Takes in the numbers of VMs that the platform's list has now.
    pub fn observe(&mut self, now: TimeMs, listed: &BTreeMap<FabricDomainId, usize>) {
        for (domain, vms) in listed {
            self.sizes.entry(domain.clone()).or_insert(DomainSize {
                held: *vms,
                differs: None,
            });
        }
        for (domain, size) in &mut self.sizes {
            size.observe(now, listed.get(domain).copied().unwrap_or(0));
        }
        self.sizes
            .retain(|domain, size| size.held > 0 || listed.contains_key(domain));
    }

    /// The sizes to deal by.
    pub fn sizes(&self) -> BTreeMap<FabricDomainId, usize> {
        let sizes = self.sizes.iter();
        sizes
            .map(|(domain, size)| (domain.clone(), size.held))
            .collect()
    }

    /// The share to keep of a deployment, given the share just allocated and the groups there are.
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
        let was_above = self.differs.map(|(_, nearest)| nearest > self.held);
        if seen == self.held {
            self.differs = None;
            return;
        }
        let is_above = seen > self.held;
        match &mut self.differs {
            Some((_, nearest)) if was_above == Some(is_above) => {
                *nearest = if is_above {
                    seen.min(*nearest)
                } else {
                    seen.max(*nearest)
                };
            }
            differs => *differs = Some((now, seen)),
        }
        if let Some((since, nearest)) = self.differs
            && now.since_ms(since) >= SIZE_HOLD_MS
        {
            self.held = nearest;
            self.differs = None;
        }
    }
}
