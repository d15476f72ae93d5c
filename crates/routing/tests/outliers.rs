//! Tests of outlier ejection, prefix affinity, preference for near candidates, and subsets.

use jacinthpoint_routing::{Candidate, Ejector, choose_near, choose_with_affinity, subset};
use jacinthpoint_types::TimeMs;
use quickcheck::quickcheck;
use rand::{SeedableRng, rngs::SmallRng};

const NOW: TimeMs = TimeMs(1_000);

fn candidate(key: usize, in_flight: u32, is_near: bool) -> Candidate<usize> {
    Candidate {
        key,
        in_flight,
        reported: 0,
        report_age_ms: 0,
        is_near,
    }
}

/// Records `times` failures of a target, each 5 ms after the request was sent.
fn fail(ejector: &mut Ejector<usize>, key: usize, times: usize, now: TimeMs) {
    for _ in 0..times {
        ejector.on_failure(&key, 5, now);
    }
}

/// Tests which of the targets 0 to 3 are usable `$after_ms` after the failures. `$failures` holds
/// pairs of a target and its number of failures.
macro_rules! ejection_test {
    ($name:ident, $failures:expr, $after_ms:literal, $usable:expr) => {
        #[test]
        fn $name() {
            let mut ejector = Ejector::new();
            for (key, times) in $failures {
                fail(&mut ejector, key, times, NOW);
            }
            let mut usable = ejector.usable(&[0, 1, 2, 3], NOW.plus_ms($after_ms));
            usable.sort();
            assert_eq!(usable, $usable);
        }
    };
}

ejection_test!(two_failures_do_not_eject, [(1, 2)], 0, [0, 1, 2, 3]);
ejection_test!(third_failure_ejects, [(1, 3)], 0, [0, 2, 3]);
ejection_test!(
    ejection_ends_after_five_seconds,
    [(1, 3)],
    5_000,
    [0, 1, 2, 3]
);
ejection_test!(
    half_of_the_targets_stay_usable_if_three_of_four_fail,
    [(0, 3), (1, 3), (2, 3)],
    0,
    [0, 3]
);
ejection_test!(
    half_of_the_targets_stay_usable_if_all_fail,
    [(0, 3), (1, 3), (2, 3), (3, 3)],
    0,
    [0, 1]
);

#[test]
fn second_ejection_takes_one_failure_and_lasts_twice_as_long() {
    let mut ejector = Ejector::new();
    fail(&mut ejector, 1, 3, NOW);
    let first_ejection_end = NOW.plus_ms(5_000);
    fail(&mut ejector, 1, 1, first_ejection_end);
    assert_eq!(
        ejector.usable(&[0, 1, 2], first_ejection_end.plus_ms(9_999)),
        [0, 2]
    );
    assert_eq!(
        ejector.usable(&[0, 1, 2], first_ejection_end.plus_ms(10_000)),
        [0, 1, 2]
    );
    // A success resets the failures and ejections.
    ejector.on_success(&1);
    fail(&mut ejector, 1, 1, first_ejection_end.plus_ms(10_000));
    assert_eq!(
        ejector.usable(&[0, 1, 2], first_ejection_end.plus_ms(10_000)),
        [0, 1, 2]
    );
}

#[test]
fn slow_failures_do_not_eject() {
    let mut ejector = Ejector::new();
    let is_ejected = (0..10).any(|_| ejector.on_failure(&1, 1_000, NOW));
    assert!(!is_ejected);
}

macro_rules! near_test {
    ($name:ident, $near:expr, $far:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let candidates = [candidate(0, $near, true), candidate(1, $far, false)];
            let chosen = choose_near(&candidates, &mut SmallRng::seed_from_u64(1));
            assert_eq!(chosen, Some(&$expected));
        }
    };
}

near_test!(
    near_candidate_is_preferred_to_a_little_less_loaded_far_one,
    5,
    3,
    0
);
near_test!(
    far_candidate_is_chosen_if_the_near_one_has_a_clearly_higher_load,
    9,
    3,
    1
);
near_test!(
    nearly_idle_near_candidate_is_preferred_to_an_idle_far_one,
    1,
    0,
    0
);

quickcheck! {
    fn prefix_gets_the_same_candidate_while_loads_are_equal(prefix: u64, seeds: Vec<u64>) -> bool {
        let candidates: Vec<_> = (0..20).map(|key| candidate(key, 3, true)).collect();
        let mut chosen: Vec<usize> = seeds
            .iter()
            .map(|seed| SmallRng::seed_from_u64(*seed))
            .filter_map(|mut rng| {
                choose_with_affinity(&candidates, prefix, |key| *key as u64, &mut rng).copied()
            })
            .collect();
        chosen.dedup();
        chosen.len() <= 1
    }

    fn overloaded_candidate_is_not_chosen_for_affinity(prefix: u64, overloaded: usize) -> bool {
        let overloaded = overloaded % 20;
        let load = |key| if key == overloaded { 40 } else { 3 };
        let candidates: Vec<_> = (0..20).map(|key| candidate(key, load(key), true)).collect();
        let mut rng = SmallRng::seed_from_u64(prefix);
        choose_with_affinity(&candidates, prefix, |key| *key as u64, &mut rng) != Some(&overloaded)
    }

    fn removing_a_group_replaces_at_most_that_group_in_a_subset(removed: usize) -> bool {
        let groups: Vec<String> = (0..60).map(|group| format!("group-{group}")).collect();
        let mut remaining = groups.clone();
        let removed = remaining.remove(removed % 60);
        let before = subset("node-1", &groups, 12);
        let after = subset("node-1", &remaining, 12);
        let kept = before.iter().filter(|group| after.contains(*group)).count();
        after.len() == 12 && kept == if before.contains(&&removed) { 11 } else { 12 }
    }
}
