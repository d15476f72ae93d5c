//! Choice among candidates.

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

choice_test!(none_of_none, vec![], None);
choice_test!(the_only_one, vec![candidate(4, 9, 9)], Some(4));
choice_test!(
    less_loaded_of_two,
    vec![candidate(0, 2, 2), candidate(1, 1, 1)],
    Some(1)
);
choice_test!(
    less_reported_when_own_is_equal,
    vec![candidate(0, 1, 7), candidate(1, 1, 3)],
    Some(1)
);

quickcheck! {
    fn most_loaded_is_never_chosen(loads: Vec<u8>, seed: u64) -> bool {
        let candidates: Vec<_> =
            loads.iter().enumerate().map(|(k, load)| candidate(k, u32::from(*load), 0)).collect();
        let most = loads.iter().max();
        let chosen = choose(&candidates, &mut SmallRng::seed_from_u64(seed));
        let is_unique = loads.iter().filter(|load| Some(*load) == most).count() == 1;
        loads.len() < 2 || !is_unique || chosen.map(|key| &loads[*key]) != most
    }

    fn old_reports_weigh_less(in_flight: u32, reported: u32, age_ms: u32) -> bool {
        let (in_flight, reported) = (in_flight / 2, reported / 2);
        let fresh = estimated_load(in_flight, reported, 0);
        let old = estimated_load(in_flight, reported, u64::from(age_ms));
        f64::from(in_flight) <= old && old <= fresh
    }
}
