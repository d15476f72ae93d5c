//! Tests of the stall detection for waiting requests, streams and groups.

use jacinthpoint_dispatch::{StallPolicy, StallState};
use jacinthpoint_types::TimeMs;

use crate::support::{engine, now};

fn policy() -> StallPolicy {
    let engine = engine();
    StallPolicy::new(&engine, &engine.models[0])
}

/// Longest time until a stall of a stream that had events is detected. Clients disconnect after two
/// seconds without an event, and another group needs half a second for its first one.
const DETECTION_MS: u64 = 1_000;

macro_rules! stall_tests {
    ($($name:ident: $check:expr, $expected:pat,)+) => {
        $(
            #[test]
            fn $name() {
                let state = ($check)(policy());
                assert!(matches!(state, $expected), "{state:?}");
            }
        )+
    };
}

fn later(ms: u64) -> TimeMs {
    now().plus_ms(ms)
}

stall_tests! {
    stream_with_recent_event_is_checked_again: |s: StallPolicy|
        s.check_stream(now(), Some(now()), later(100)),
        StallState::CheckAgainAt(_),
    stream_and_group_without_events_mean_a_stalled_group: |s: StallPolicy|
        s.check_stream(now(), Some(now()), later(DETECTION_MS)),
        StallState::GroupStalled,
    single_stream_without_events_is_checked_again: |s: StallPolicy|
        s.check_stream(now(), Some(later(DETECTION_MS)), later(DETECTION_MS)),
        StallState::CheckAgainAt(_),
    single_stream_without_events_for_long_is_stalled: |s: StallPolicy| {
        s.check_stream(now(), Some(later(4 * DETECTION_MS)), later(4 * DETECTION_MS))
    }, StallState::StreamStalled,
    // A request in the queue of a healthy group must not indicate a dead member: it would
    // be sent to a second group and run twice.
    request_waiting_longer_than_the_limit_is_checked_again: |s: StallPolicy|
        s.check_waiting(now(), None, false, later(DETECTION_MS)),
        StallState::CheckAgainAt(_),
    waiting_request_at_a_known_stalled_group_means_a_stalled_group: |s: StallPolicy| {
        s.check_waiting(now(), None, true, later(DETECTION_MS))
    }, StallState::GroupStalled,
    request_waiting_for_long_means_a_stalled_group: |s: StallPolicy| {
        s.check_waiting(now(), None, false, later(3 * DETECTION_MS))
    }, StallState::GroupStalled,
}

#[test]
fn members_are_probed_only_without_recent_events_of_the_group() {
    assert!(policy().should_probe_members(now(), None, later(DETECTION_MS)));
    assert!(!policy().should_probe_members(
        now(),
        Some(later(DETECTION_MS)),
        later(DETECTION_MS + 100)
    ));
}
