//! StallPolicy of one request, of a stream and of a group.

use jacinthpoint_dispatch::{StallPolicy, StallState};
use jacinthpoint_types::TimeMs;

use crate::support::{engine, now};

fn silence() -> StallPolicy {
    let engine = engine();
    StallPolicy::new(&engine, &engine.models[0])
}

/// Longest time to the verdict on streams that flowed and stopped: clients leave after two seconds
/// without an event, and the next group needs half a second for its first one.
const STREAM_MS: u64 = 1_000;

macro_rules! verdicts {
    ($($name:ident: $verdict:expr, $holds:pat,)+) => {
        $(
            #[test]
            fn $name() {
                let verdict = ($verdict)(silence());
                assert!(matches!(verdict, $holds), "{verdict:?}");
            }
        )+
    };
}

fn later(ms: u64) -> TimeMs {
    now().plus_ms(ms)
}

verdicts! {
    stream_that_flows: |s: StallPolicy| s.check_stream(now(), Some(now()), later(100)),
        StallState::CheckAgainAt(_),
    stream_that_stopped_with_its_group: |s: StallPolicy| s.check_stream(now(), Some(now()), later(STREAM_MS)),
        StallState::GroupStalled,
    stream_that_stopped_alone: |s: StallPolicy| s.check_stream(now(), Some(later(STREAM_MS)), later(STREAM_MS)),
        StallState::CheckAgainAt(_),
    stream_that_stays_stopped_alone: |s: StallPolicy| {
        s.check_stream(now(), Some(later(4 * STREAM_MS)), later(4 * STREAM_MS))
    }, StallState::StreamStalled,
    // A request that waits in a queue of a healthy group was taken for a sign of a dead one, and
    // requests were sent twice.
    request_that_waits: |s: StallPolicy| s.check_waiting(now(), None, false, later(STREAM_MS)),
        StallState::CheckAgainAt(_),
    request_at_a_group_that_lost_a_member: |s: StallPolicy| {
        s.check_waiting(now(), None, true, later(STREAM_MS))
    }, StallState::GroupStalled,
    request_that_waits_for_long: |s: StallPolicy| {
        s.check_waiting(now(), None, false, later(3 * STREAM_MS))
    }, StallState::GroupStalled,
}

#[test]
fn waiting_is_reason_to_ask() {
    assert!(silence().should_probe_members(now(), None, later(STREAM_MS)));
    assert!(!silence().should_probe_members(now(), Some(later(STREAM_MS)), later(STREAM_MS + 100)));
}
