//! Tests of the allocation of groups to fabric domains.

use std::collections::BTreeMap;

use jacinthpoint_placement::{DeploymentDemand, DomainShares, allocate_groups};
use jacinthpoint_types::{FabricDomainId, TimeMs};

fn wanted(replicas: u16) -> DeploymentDemand {
    DeploymentDemand {
        deployment: "desk".parse().expect("a valid name"),
        replicas,
        group_size: 4,
        standbys: 1,
    }
}

fn sizes(vms: &[usize]) -> BTreeMap<FabricDomainId, usize> {
    let named = vms.iter().enumerate().map(|(number, vms)| {
        let name = format!("rack-{number}");
        (name.parse().expect("a valid name"), *vms)
    });
    named.collect()
}

fn allocated(vms: &[usize], replicas: u16) -> Vec<u16> {
    let shares = allocate_groups(&mut sizes(vms), &wanted(replicas));
    let share = |name: &FabricDomainId| shares.get(name).copied().unwrap_or(0);
    sizes(vms).keys().map(share).collect()
}

/// Returns the sizes that the allocation uses after the list has shown each of these numbers of VMs
/// for the seconds given with it.
fn sizes_after(shown: &[(u64, &[usize])]) -> BTreeMap<FabricDomainId, usize> {
    let mut shares = DomainShares::default();
    let mut now = TimeMs(0);
    for (seconds, vms) in shown {
        for _ in 0..*seconds {
            shares.observe(now, &sizes(vms));
            now = now.plus_ms(1_000);
        }
    }
    shares.sizes()
}

macro_rules! share_case {
    ($name:ident, $body:block) => {
        #[test]
        fn $name() $body
    };
}

share_case!(groups_are_split_evenly_and_never_exceed_the_replicas, {
    for replicas in 0..14 {
        let shares = allocated(&[16, 16, 9], replicas);
        assert!(shares.iter().sum::<u16>() <= replicas, "{shares:?}");
    }
    assert_eq!(allocated(&[15, 15, 10], 8), [3, 3, 2]);
});

share_case!(loss_of_a_vm_moves_no_group_while_its_domain_has_room, {
    assert_eq!(allocated(&[16, 16, 16], 6), allocated(&[16, 15, 16], 6));
});

share_case!(short_lived_list_change_changes_no_size, {
    let shown: &[(u64, &[usize])] = &[(3, &[16, 16]), (3, &[0, 16]), (3, &[16, 16])];
    assert_eq!(sizes_after(shown), sizes(&[16, 16]));
});

share_case!(
    domain_listed_without_vms_has_size_zero_after_the_hold_time,
    {
        let shown: &[(u64, &[usize])] = &[(3, &[16, 16]), (10, &[0, 16])];
        assert_eq!(sizes_after(shown), sizes(&[0, 16]));
    }
);

share_case!(share_grows_at_once_and_shrinks_after_a_delay, {
    let mut shares = DomainShares::default();
    let mut hold = |at_s: u64, allocated: u16| {
        shares.update_share(TimeMs(at_s * 1_000), &wanted(4), allocated, 2)
    };
    assert_eq!(hold(0, 2), 2);
    assert_eq!(hold(1, 4), 4);
    assert_eq!(hold(2, 2), 4);
    assert_eq!(hold(60, 2), 4);
    assert_eq!(hold(200, 2), 2);
});

share_case!(share_shrinks_at_once_when_the_wanted_replicas_change, {
    let mut shares = DomainShares::default();
    assert_eq!(shares.update_share(TimeMs(0), &wanted(4), 4, 4), 4);
    assert_eq!(shares.update_share(TimeMs(1), &wanted(2), 2, 4), 2);
});
