//! Tests of which targets requests are sent to while data centres are evacuated, without a network.
//!
//! Load: callers go on while all upstreams of a data centre are emptied, also those with the least load.

use std::collections::BTreeSet;

use jacinthpoint_dispatch::{LoadTracker, Refusal, targets_at_home};
use jacinthpoint_fleet::{DataCentreRegion, Evacuations, Homes, Region, Regions};
use jacinthpoint_types::TimeMs;
use rand::{SeedableRng, rngs::SmallRng};

use crate::support::{groups_in, now, selection};

const DATA_CENTRES: [&str; 6] = ["a", "a", "b", "b", "c", "c"];

/// Returns the upstreams that requests are sent to while these data centres are evacuated, or why none is.
fn used(evacuated: &[&str]) -> Result<BTreeSet<String>, Refusal> {
    let mut evacuations = Evacuations::default();
    for id in evacuated {
        evacuations.begin(id.parse().expect("valid name"));
    }
    evacuations.end("d".parse().expect("valid name"), TimeMs(0));
    let targets = groups_in(&DATA_CENTRES, &evacuations);
    let mut loads = LoadTracker::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut used = BTreeSet::new();
    for _ in 0..40 {
        let target = loads.choose(&selection(&targets), now(), &mut rng)?;
        loads.on_sent(&target.key, 0, now());
        used.insert(target.upstream.to_string());
    }
    Ok(used)
}

/// Defines tests: name, evacuated data centres, numbers of the upstreams that get requests.
macro_rules! evacuated {
    ($($name:ident: $evacuated:expr => $upstreams:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let expected = $upstreams.into_iter().map(|index: usize| format!("i-{index:03}"));
                assert_eq!(used(&$evacuated), Ok(expected.collect()));
            }
        )+
    };
}

evacuated! {
    all_take_requests_without_an_evacuation: [] => [0, 1, 2, 3, 4, 5],
    upstreams_there_get_none: ["b"] => [0, 1, 4, 5],
    two_data_centres_may_be_evacuated: ["a", "c"] => [2, 3],
    unknown_data_centre_changes_nothing: ["nowhere"] => [0, 1, 2, 3, 4, 5],
}

#[test]
fn nothing_is_chosen_if_all_are_evacuated() {
    assert_eq!(used(&["a", "b", "c"]), Err(Refusal::NoTarget));
}

/// Load: callers whose data may not leave a region. A data centre whose region is unknown gets none of them.
#[test]
fn requests_stay_in_their_homes() {
    let regions = ["a:north", "b:south"].map(|text| text.parse::<DataCentreRegion>());
    let regions: Regions = regions
        .map(|entry| entry.expect("valid"))
        .into_iter()
        .collect();
    let targets = groups_in(&DATA_CENTRES, &Evacuations::default());
    let names = |homes: &Homes| -> Vec<String> {
        let targets = targets_at_home(&targets, homes, &regions);
        let names = targets.iter().map(|target| target.upstream.to_string());
        names.collect()
    };
    assert_eq!(names(&Homes::default()).len(), targets.len());
    assert_eq!(
        names(&Homes::new([Region::from("south")])),
        ["i-002", "i-003"]
    );
}
