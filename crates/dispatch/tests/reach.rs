//! Tests of when a gateway counts as reaching no upstream.

use jacinthpoint_dispatch::UpstreamReach;
use jacinthpoint_types::TimeMs;

/// Event at a gateway: a connection to the upstream with this number failed, or one was established.
#[derive(Debug, Clone, Copy)]
enum Event {
    Failed(usize),
    Connected,
}

use Event::{Connected, Failed};

fn reach_after(events: &[Event]) -> UpstreamReach {
    let mut reach = UpstreamReach::default();
    for event in events {
        match event {
            Failed(upstream) => {
                let id = format!("i-{upstream}").parse().expect("valid VM name");
                reach.on_connect_failed(&id);
            }
            Connected => reach.on_connected(),
        }
    }
    reach
}

/// Defines tests of whether the path to upstreams has to be checked: name, events, number of upstreams,
/// result.
macro_rules! checks {
    ($($name:ident: [$($event:expr),*], $upstreams:expr => $expected:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let reach = reach_after(&[$($event),*]);
                assert_eq!(reach.needs_check($upstreams), $expected);
                assert!(!reach.is_cut());
            }
        )+
    };
}

checks! {
    three_upstreams_that_fail_are_checked: [Failed(0), Failed(1), Failed(2)], 51 => true,
    // Guards against an upstream that is silent for a second and passes for a cut path.
    one_upstream_that_fails_again_is_not_checked: [Failed(0), Failed(0), Failed(0), Failed(0)], 51 => false,
    connection_in_between_ends_the_suspicion: [Failed(0), Failed(1), Connected, Failed(2)], 51 => false,
    both_of_two_upstreams_are_checked: [Failed(0), Failed(1)], 2 => true,
    no_upstream_is_not_checked: [], 0 => false,
}

#[test]
fn path_is_checked_until_an_upstream_is_reached() {
    let mut reach = reach_after(&[Failed(0), Failed(1), Failed(2)]);
    assert!(reach.on_checked(false, TimeMs(1_000)));
    assert!(reach.is_cut());
    assert!(reach.needs_check(51));
    assert!(!reach.on_checked(false, TimeMs(1_300)));
    assert_eq!(reach.cut_ms(TimeMs(1_500)), 500);
    assert!(reach.on_checked(true, TimeMs(1_600)));
    assert!(!reach.is_cut());
    assert!(!reach.needs_check(51));
    assert_eq!(reach.cut_ms(TimeMs(1_700)), 0);
}
