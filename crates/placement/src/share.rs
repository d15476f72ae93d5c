//! Deals a deployment's groups over fabric domains.

use jacinthpoint_types::FabricDomainId;

/// Groups of a deployment that `domain` shall run, out of `replicas` over all `domains` with their
/// numbers of VMs.
///
/// Each group goes to the domain with the most VMs left, so that every controller that sees the
/// same list gets the same split without asking the others. Groups that fit nowhere are dealt to
/// nobody.
pub fn domain_share(
    domain: &FabricDomainId,
    domains: &[(FabricDomainId, usize)],
    replicas: u16,
    group_size: u16,
) -> u16 {
    let group_size = usize::from(group_size);
    let mut free: Vec<(&FabricDomainId, usize)> =
        domains.iter().map(|(name, vms)| (name, *vms)).collect();
    let mut share = 0;
    for _ in 0..replicas {
        let best = free
            .iter_mut()
            .max_by(|a, b| a.1.cmp(&b.1).then_with(|| b.0.cmp(a.0)));
        let Some(best) = best.filter(|best| best.1 >= group_size) else {
            break;
        };
        best.1 -= group_size;
        if best.0 == domain {
            share += 1;
        }
    }
    share
}
