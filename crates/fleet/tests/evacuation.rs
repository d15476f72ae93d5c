//! Tests of which data centres are evacuated after lists and changes, without a network.
//!
//! Load: a data centre is emptied while callers go on, and takes requests again later.

use std::collections::BTreeSet;

use jacinthpoint_fleet::{
    ConfigVersion, EvacuationChange, Evacuations, FleetConfig, FleetView,
    RESTORED_EVACUATION_HOLD_MS, Upstream,
};
use jacinthpoint_types::{DataCentreId, TimeMs};

const BEGAN: TimeMs = TimeMs(10_000);
const LATER: TimeMs = TimeMs(20_000);

fn id(name: &str) -> DataCentreId {
    name.parse().expect("a valid name")
}

fn list(names: &[&str]) -> BTreeSet<DataCentreId> {
    names.iter().map(|name| id(name)).collect()
}

fn change(name: &str, is_evacuated: bool) -> EvacuationChange {
    EvacuationChange {
        data_centre: id(name),
        is_evacuated,
    }
}

/// Defines tests that begin with an evacuation of `a`: name, body.
macro_rules! evacuations {
    ($($name:ident: |$evacuations:ident| $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let mut $evacuations = Evacuations::default();
                $evacuations.apply_list(&list(&["a"]), BEGAN);
                $body
            }
        )+
    };
}

evacuations! {
    listed_data_centre_is_evacuated: |evacuations| {
        assert!(evacuations.is_evacuated(&id("a")));
        assert!(!evacuations.is_evacuated(&id("b")));
    }

    removal_ends_the_evacuation_once: |evacuations| {
        assert_eq!(evacuations.end(id("a"), LATER), Some(change("a", false)));
        assert_eq!(evacuations.end(id("a"), TimeMs(30_000)), None);
        assert_eq!(evacuations.ended_at(&id("a")), Some(LATER));
    }

    // Guards against a change that was missed while the store was unavailable or lost its history.
    later_list_begins_and_ends_evacuations: |evacuations| {
        let changes = evacuations.apply_list(&list(&["b"]), LATER);
        assert_eq!(changes, [change("b", true), change("a", false)]);
        assert_eq!(evacuations.ended_at(&id("a")), Some(LATER));
    }

    second_evacuation_forgets_the_end_of_the_first: |evacuations| {
        evacuations.end(id("a"), LATER);
        assert_eq!(evacuations.begin(id("a")), Some(change("a", true)));
        assert_eq!(evacuations.ended_at(&id("a")), None);
    }

    // Guards against requests to a data centre whose evacuation is on a page that cannot be read.
    unfinished_list_ends_no_evacuation: |evacuations| {
        let changes = evacuations.apply_unfinished_list(&list(&["b"]));
        assert_eq!(changes, [change("b", true)]);
        assert!(evacuations.is_evacuated(&id("a")));
    }

    // Guards against an acknowledged evacuation that ends because the store was restored.
    evacuation_that_a_restored_store_lacks_is_held: |evacuations| {
        assert_eq!(evacuations.apply_restored_list(&list(&[]), LATER), []);
        assert_eq!(evacuations.apply_list(&list(&[]), LATER), []);
        let end = LATER.plus_ms(RESTORED_EVACUATION_HOLD_MS);
        assert_eq!(evacuations.release_held(TimeMs(end.0 - 1)), []);
        assert_eq!(evacuations.release_held(end), [change("a", false)]);
    }

    evacuation_that_is_written_again_after_a_restore_stays: |evacuations| {
        evacuations.apply_restored_list(&list(&[]), LATER);
        assert_eq!(evacuations.begin(id("a")), None);
        let end = LATER.plus_ms(RESTORED_EVACUATION_HOLD_MS);
        assert_eq!(evacuations.release_held(end), []);
        assert!(evacuations.is_evacuated(&id("a")));
    }
}

/// Guards against requests to an evacuated data centre from a gateway that has just started.
#[test]
fn view_is_complete_only_with_the_evacuations_that_are_expected() {
    let mut view = FleetView::default();
    let version = ConfigVersion(1);
    let config = FleetConfig::new(version, vec![], vec![], vec![], Default::default());
    view.apply_config(config);
    view.apply_list(Vec::<Upstream>::new(), false, BEGAN);
    assert!(view.is_complete());
    view.expect_evacuations();
    assert!(!view.is_complete());
    view.evacuations.apply_list(&list(&[]), BEGAN);
    assert!(view.is_complete());
}
