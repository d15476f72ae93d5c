//! Tests of what upstreams state of themselves.

use jacinthpoint_dispatch::{AnsweringLife, UpstreamStatements};
use jacinthpoint_types::{TimeMs, VmId};

/// Event of one upstream: a statement in the answer to a request sent to a life, or the start time of the life in the
/// view.
#[derive(Debug, Clone, Copy)]
enum Event {
    Leaving(u64),
    /// A pause: life, length in milliseconds, time.
    Pause(u64, u64, u64),
    Life(u64),
}

use Event::{Leaving, Life, Pause};

fn takes_requests(events: &[Event], at: u64) -> bool {
    let upstream: VmId = "i-1".parse().expect("valid VM name");
    let mut statements = UpstreamStatements::default();
    let mut listed_unix_ms = 0;
    for event in events {
        let life = |asked_unix_ms| AnsweringLife {
            asked_unix_ms,
            listed_unix_ms,
        };
        match *event {
            Leaving(asked) => {
                statements.on_leaving(&upstream, life(asked));
            }
            Pause(asked, pause_ms, now) => {
                statements.on_pause(&upstream, life(asked), pause_ms, TimeMs(now));
            }
            Life(listed) => {
                listed_unix_ms = listed;
                statements.on_life(&upstream, listed);
            }
        }
    }
    statements.takes_requests(&upstream, TimeMs(at))
}

/// Defines tests of whether an upstream takes requests: name, events, time, result.
macro_rules! statements {
    ($($name:ident: [$($event:expr),*], $at:expr => $expected:expr,)+) => {
        $(
            #[test]
            fn $name() {
                assert_eq!(takes_requests(&[$($event),*], $at), $expected);
            }
        )+
    };
}

statements! {
    upstream_without_statement_takes_requests: [], 1_000 => true,
    leaving_upstream_takes_none: [Leaving(5)], 900_000 => false,
    entry_of_the_same_life_does_not_end_its_leaving: [Leaving(5), Life(5)], 1_000 => false,
    // Guards against statements that outlast a start after the clock of the machine was set back.
    life_with_a_lower_start_time_takes_requests: [Leaving(5), Life(4)], 1_000 => true,
    life_with_a_lower_start_time_ends_a_pause: [Pause(5, 2_000, 1_000), Life(4)], 1_500 => true,
    // Guards against statements that are dropped since the upstream stated something in a life with a higher start time.
    life_with_a_lower_start_time_can_leave: [Life(5), Pause(5, 500, 0), Life(4), Leaving(4)], 1_000 => false,
    life_with_a_lower_start_time_can_pause: [Life(5), Pause(5, 500, 0), Life(4), Pause(4, 5_000, 1_000)], 5_000 => false,
    entry_without_a_start_time_does_not_end_its_leaving: [Leaving(5), Life(0)], 1_000 => false,
    later_life_takes_requests: [Leaving(5), Life(6)], 1_000 => true,
    // A gateway may read an answer late, after the upstream has started again.
    statement_of_an_older_life_says_nothing: [Pause(6, 10, 0), Leaving(5)], 1_000 => true,
    statement_of_a_listed_life_before_says_nothing: [Life(6), Leaving(5)], 1_000 => true,
    statement_of_a_life_before_with_a_higher_start_time_says_nothing: [Life(4), Pause(4, 10, 0), Leaving(5)], 1_000 => true,
    late_statement_does_not_end_that_of_the_listed_life: [Life(4), Pause(4, 5_000, 0), Pause(5, 10, 0)], 4_000 => false,
    answer_of_an_unknown_life_is_of_the_listed_one: [Life(5), Leaving(0)], 1_000 => false,
    pausing_upstream_takes_none: [Pause(5, 2_000, 1_000)], 2_999 => false,
    pause_ends: [Pause(5, 2_000, 1_000)], 3_001 => true,
    shorter_pause_does_not_end_a_longer_one: [Pause(5, 2_000, 1_000), Pause(5, 100, 1_500)], 2_900 => false,
    longer_pause_replaces_a_shorter_one: [Pause(5, 500, 1_000), Pause(5, 2_000, 1_200)], 3_000 => false,
    later_life_ends_a_pause: [Pause(5, 2_000, 1_000), Life(6)], 1_500 => true,
    // The entry of an upstream may be missing from the list while it answers.
    listing_of_an_unknown_life_does_not_end_its_leaving: [Leaving(0), Life(5)], 1_000 => false,
    later_life_after_an_unknown_one_takes_requests: [Leaving(0), Life(5), Life(6)], 1_000 => true,
    absurd_pause_is_limited: [Pause(5, u64::MAX, 1_000)], 400_000 => true,
}
