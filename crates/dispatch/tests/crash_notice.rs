//! Tests of which requests may have caused a crash.

use jacinthpoint_dispatch::{CrashId, CrashNotices};
use jacinthpoint_types::{TimeMs, VmId};

/// Event at one of two upstreams.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The connection of a request broke: start time of the upstream in the view, time of sending, time.
    Break(u64, u64, u64),
    /// The same at the other upstream.
    BreakElsewhere(u64, u64, u64),
    /// The upstream answered a request that was sent at this time.
    Answer(u64),
}

use Event::{Answer, Break, BreakElsewhere};

/// Returns for each request whose connection broke whether it may have caused a crash.
fn suspects(events: &[Event]) -> Vec<bool> {
    let upstream: VmId = "i-1".parse().expect("valid VM name");
    let other: VmId = "i-2".parse().expect("valid VM name");
    let mut notices = CrashNotices::default();
    let mut suspects = Vec::new();
    for event in events {
        let (upstream, started_unix_ms, sent_at, now) = match *event {
            Break(started_unix_ms, sent_at, now) => (&upstream, started_unix_ms, sent_at, now),
            BreakElsewhere(started_unix_ms, sent_at, now) => {
                (&other, started_unix_ms, sent_at, now)
            }
            Answer(sent_at) => {
                notices.on_answer(&upstream, TimeMs(sent_at));
                continue;
            }
        };
        let crash = CrashId {
            upstream: upstream.clone(),
            started_unix_ms,
        };
        suspects.push(notices.on_break(&crash, TimeMs(sent_at), TimeMs(now)));
    }
    suspects
}

/// Defines tests of which requests may have caused a crash: name, events, result for each broken request.
macro_rules! breaks {
    ($($(#[$meta:meta])* $name:ident: [$($event:expr),*] => $expected:expr,)+) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                assert_eq!(suspects(&[$($event),*]), $expected);
            }
        )+
    };
}

breaks! {
    /// Guards against harmless requests that are blamed because they were sent to an upstream that was down.
    request_that_was_sent_after_the_crash_was_noticed_did_not_cause_it:
        [Break(1, 50, 100), Break(1, 101, 101), Break(1, 900, 901)] => [true, false, false],
    /// Guards against a cause that is overlooked because the connection of another request broke first.
    requests_that_were_in_flight_may_have_caused_it:
        [Break(1, 50, 100), Break(1, 90, 100), Break(1, 100, 103), Break(1, 20, 130)]
            => [true, true, true, true],
    crash_of_another_upstream_is_another_crash:
        [Break(1, 50, 100), BreakElsewhere(1, 150, 151), BreakElsewhere(1, 160, 161)]
            => [true, true, false],
    crash_of_a_later_life_is_another_crash:
        [Break(1, 50, 100), Break(2, 1_150, 1_160), Break(2, 1_200, 1_201), Break(3, 2_200, 2_210)]
            => [true, true, false, true],
    upstream_that_is_no_longer_listed_is_still_down:
        [Break(1, 50, 100), Break(0, 150, 151)] => [true, false],
    upstream_that_is_listed_only_now_may_be_a_later_life:
        [Break(0, 50, 100), Break(1, 150, 151)] => [true, true],
    /// Guards against a cause that is overlooked because the view does not have the new start time yet.
    upstream_that_answered_again_may_crash_again:
        [Break(1, 50, 100), Answer(1_100), Break(1, 1_090, 1_300), Break(1, 1_150, 1_300),
         Break(1, 1_400, 1_401)] => [true, true, true, false],
    /// Guards against an upstream that counts as up because an answer was read late.
    answer_to_a_request_from_before_the_crash_shows_nothing:
        [Break(1, 50, 100), Answer(90), Break(1, 150, 151)] => [true, false],
    /// Guards against a cause that is never found because it crashes upstreams before their first answer, while the
    /// view has an old start time.
    crash_explains_breaks_only_for_a_time:
        [Break(1, 50, 100), Break(1, 4_000, 4_001), Break(1, 5_099, 5_100), Break(1, 5_200, 5_201)]
            => [true, false, true, false],
}
