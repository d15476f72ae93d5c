//! Tests of the durations by which requests are expected to end.

use jacinthpoint_dispatch::RequestDurations;

/// Durations of a route's requests, oldest first, and the usual one.
macro_rules! usual_durations {
    ($($name:ident: $durations:expr => $expected:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut durations = RequestDurations::default();
                for duration_ms in $durations {
                    durations.on_end("r-1", duration_ms);
                    durations.on_end("r-2", 7);
                }
                assert_eq!(durations.usual_ms("r-1"), $expected);
            }
        )+
    };
}

usual_durations! {
    few_requests_have_no_usual_duration: [900; 7] => None;
    one_in_twenty_may_last_longer: [[10; 19].as_slice(), &[5_000]].concat() => Some(10);
    more_than_one_in_twenty_may_not: [[10; 18].as_slice(), &[5_000; 2]].concat() => Some(5_000);
    slower_requests_replace_earlier_ones: (0..200).map(|index| index * 10) => Some(1_960);
}

#[test]
fn unknown_route_has_no_durations() {
    let durations = RequestDurations::default();
    assert_eq!(durations.usual_ms("r-1"), None);
    assert_eq!(durations.longest_ms("r-1"), None);
}

#[test]
fn longest_duration_is_known_from_the_first_request_on() {
    let mut durations = RequestDurations::default();
    durations.on_end("r-1", 5_000);
    durations.on_end("r-1", 10);
    assert_eq!(durations.longest_ms("r-1"), Some(5_000));
}
