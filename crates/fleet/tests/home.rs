//! Tests of the regions in which requests may be served, without a network.
//!
//! Load: callers whose data may not leave a region, while upstreams elsewhere have more room.

use jacinthpoint_fleet::{DataCentreRegion, Homes, Region, Regions};

fn homes(names: &[&str]) -> Homes {
    Homes::new(names.iter().map(|name| Region::from(*name)))
}

/// Defines tests: name, homes of the route, of the organisation, and the allowed of the regions `north` and
/// `south`, and of a data centre without a region.
macro_rules! homes {
    ($($name:ident: $route:expr, $organisation:expr => $allowed:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let homes = homes(&$route).both(&homes(&$organisation));
                let (north, south) = (Region::from("north"), Region::from("south"));
                let allowed = [Some(&north), Some(&south), None].map(|region| homes.allow(region));
                assert_eq!(allowed, $allowed);
            }
        )+
    };
}

homes! {
    none_allow_all: [], [] => [true, true, true],
    those_of_the_route_bind: ["north"], [] => [true, false, false],
    those_of_the_organisation_bind: [], ["south"] => [false, true, false],
    both_bind: ["north", "south"], ["south"] => [false, true, false],
    contradicting_ones_allow_none: ["north"], ["south"] => [false, false, false],
}

#[test]
fn regions_of_data_centres_are_parsed() {
    let entries = ["dc-1:north", "dc-2:south"].map(|text| text.parse::<DataCentreRegion>());
    let regions: Regions = entries
        .map(|entry| entry.expect("valid"))
        .into_iter()
        .collect();
    assert_eq!(regions.of("dc-2"), Some(&Region::from("south")));
    assert_eq!(regions.of("dc-3"), None);
    assert!("dc-1".parse::<DataCentreRegion>().is_err());
}
