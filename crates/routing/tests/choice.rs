//! Tests of the choice among candidates by load.

use jacinthpoint_routing::{Candidate, choose, estimated_load};
use quickcheck::quickcheck;
use rand::{SeedableRng, rngs::SmallRng};

fn candidate(key: usize, in_flight: u32, reported: u32) -> Candidate<usize> {
    Candidate {
        key,
        in_flight,
        reported,
        report_age_ms: 0,
        is_near: true,
    }
}

macro_rules! choice_test {
    ($name:ident, $candidates:expr, $expected:expr) => {
        #[test]
        fn $name() {
            let candidates: Vec<Candidate<usize>> = $candidates;
            for seed in 0..50 {
                let chosen = choose(&candidates, &mut SmallRng::seed_from_u64(seed));
                assert_eq!(chosen.copied(), $expected);
            }
        }
    };
}

choice_test!(no_candidates_give_no_choice, vec![], None);
choice_test!(only_candidate_is_chosen, vec![candidate(4, 9, 9)], Some(4));
choice_test!(
    less_loaded_of_two_is_chosen,
    vec![candidate(0, 2, 2), candidate(1, 1, 1)],
    Some(1)
);
choice_test!(
    lower_reported_load_is_chosen_if_own_requests_are_equal,
    vec![candidate(0, 1, 7), candidate(1, 1, 3)],
    Some(1)
);

quickcheck! {
    fn single_most_loaded_candidate_is_never_chosen(loads: Vec<u8>, seed: u64) -> bool {
        let candidates: Vec<_> =
            loads.iter().enumerate().map(|(k, load)| candidate(k, u32::from(*load), 0)).collect();
        let max = loads.iter().max();
        let chosen = choose(&candidates, &mut SmallRng::seed_from_u64(seed));
        let is_unique = loads.iter().filter(|load| Some(*load) == max).count() == 1;
        loads.len() < 2 || !is_unique || chosen.map(|key| &loads[*key]) != max
    }

    fn old_reports_weigh_less(in_flight: u32, reported: u32, age_ms: u32) -> bool {
        // The halving is not needed; the property holds for all values.
        let (in_flight, reported) = (in_flight / 2, reported / 2);
        let fresh = estimated_load(in_flight, reported, 0);
        let old = estimated_load(in_flight, reported, u64::from(age_ms));
        f64::from(in_flight) <= old && old <= fresh
    }
}
