//! A node uses a prober's list of grants only when it is complete and matches its digest. Lost,
//! reordered or mixed parts must not yield a list that no prober sent.

use jacinthpoint_readiness::{GrantCache, grants_digest};
use jacinthpoint_types::{Assignment, Epoch, MemberAddress, NodeId};
use jacinthpoint_wire::{GrantTerms, PermitGrant};
use quickcheck::quickcheck;

fn prober() -> NodeId {
    "node-1".parse().expect("a valid name")
}

fn terms(valid_ms: u32) -> GrantTerms {
    GrantTerms {
        valid_ms,
        load: 0,
        load_age_ms: 0,
    }
}

fn grant(number: u8) -> PermitGrant {
    let member = MemberAddress {
        vm: format!("vm-{number}").parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 9_000).into(),
    };
    PermitGrant {
        assignment: Assignment {
            group: format!("rack.1.{number}").parse().expect("a valid name"),
            epoch: Epoch(u64::from(number)),
            model: "jp-model@v1".parse().expect("a valid model"),
            members: vec![member],
        },
        data_centre: "dc".parse().expect("a valid name"),
        fabric_domain: "rack".parse().expect("a valid name"),
        terms: terms(100),
    }
}

#[test]
fn new_terms_apply_to_the_cached_groups() {
    let grants = vec![grant(1), grant(2)];
    let digest = grants_digest(&grants);
    let mut cache = GrantCache::new();
    assert_eq!(cache.known_digest(&prober()), 0);
    cache.on_part(&prober(), digest, 1, 2, &grants[1..]);
    assert_eq!(cache.known_digest(&prober()), 0);
    cache.on_part(&prober(), digest, 0, 2, &grants[..1]);
    assert_eq!(cache.known_digest(&prober()), digest);
    let renewed = cache.on_terms(&prober(), digest, &[terms(7), terms(8)]);
    let expected: Vec<PermitGrant> = [(1, 7), (2, 8)]
        .map(|(number, valid_ms)| PermitGrant {
            terms: terms(valid_ms),
            ..grant(number)
        })
        .into();
    assert_eq!(renewed, expected);
}

#[test]
fn terms_with_another_digest_or_number_return_no_grants() {
    let mut cache = GrantCache::new();
    cache.on_part(&prober(), grants_digest(&[grant(1)]), 0, 1, &[grant(1)]);
    let other = grants_digest(&[grant(2)]);
    assert_eq!(cache.on_terms(&prober(), other, &[terms(9)]), []);
    let own = grants_digest(&[grant(1)]);
    assert_eq!(cache.on_terms(&prober(), own, &[terms(9), terms(9)]), []);
}

#[test]
fn list_that_does_not_match_its_digest_is_dropped() {
    let mut cache = GrantCache::new();
    cache.on_part(&prober(), grants_digest(&[grant(1)]), 0, 1, &[grant(2)]);
    assert_eq!(cache.known_digest(&prober()), 0);
}

quickcheck! {
    /// Parts of several lists, in any order and number, never form a list that no prober sent.
    fn parts_of_different_lists_are_not_mixed(parts: Vec<(bool, bool)>) -> bool {
        let lists = [vec![grant(1), grant(2)], vec![grant(3), grant(4)]];
        let digests = lists.each_ref().map(|list| grants_digest(list));
        let mut cache = GrantCache::new();
        parts.into_iter().all(|(list, part)| {
            let (list, part) = (usize::from(list), usize::from(part));
            let grants = &lists[list][part..=part];
            cache.on_part(&prober(), digests[list], part as u8, 2, grants);
            let cached = cache.known_digest(&prober());
            cached == 0 || digests.contains(&cached)
        })
    }

    fn digests_are_equal_only_for_equal_lists(a: Vec<u8>, b: Vec<u8>) -> bool {
        let list = |numbers: &[u8]| numbers.iter().map(|number| grant(*number)).collect::<Vec<_>>();
        (grants_digest(&list(&a)) == grants_digest(&list(&b))) == (a == b)
    }
}
