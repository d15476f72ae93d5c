//! Tests of the gate before an engine that queues requests and does not serve them in order.

use std::ops::Range;

use jacinthpoint_admission::{
    ConcurrencyLimit, ConcurrencySettings, FinishedAttempt, Gate, GateSettings, QueuedRequest,
};
use jacinthpoint_types::{Deadline, Priority, TimeMs};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const START: TimeMs = TimeMs(10_000);
const GROUP: u32 = 1;
/// Just after the time at which an attempt from `START` is overdue.
const OVERDUE: TimeMs = TimeMs(START.0 + 581);

fn ended(started_at: TimeMs, has_token: bool) -> FinishedAttempt {
    FinishedAttempt {
        priority: Priority::Normal,
        started_at,
        has_token,
        is_failure: false,
    }
}

/// Three attempts fill a group: two run, the third is overdue, and one that ran has just ended.
fn limit_with_vacated_place() -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::new(ConcurrencySettings {
        initial: 3.0,
        max: 3.0,
        ..ConcurrencySettings::default()
    });
    (0..3).for_each(|_| limit.start(Priority::Normal, START));
    (0..2).for_each(|_| limit.on_first_token(START, Priority::Normal, START.plus_ms(20)));
    assert!(!limit.has_room(Priority::Normal, OVERDUE));
    limit.finish(&ended(START, true), OVERDUE);
    limit
}

/// A new attempt that takes an engine's slot before an older one that waits for it.
#[test]
fn vacated_place_is_left_to_an_overdue_attempt() {
    let limit = limit_with_vacated_place();
    assert!(!limit.has_room(Priority::Normal, OVERDUE.plus_ms(99)));
}

/// An important request that waits behind less important ones.
#[test]
fn vacated_place_is_not_kept_from_a_more_important_request() {
    let limit = limit_with_vacated_place();
    assert!(limit.has_room(Priority::High, OVERDUE.plus_ms(1)));
    assert!(!limit.has_room(Priority::Batch, OVERDUE.plus_ms(1)));
}

/// A place that stays empty although no attempt waits for it.
#[test]
fn place_is_not_left_to_an_attempt_that_is_not_overdue() {
    let mut limit = ConcurrencyLimit::new(ConcurrencySettings {
        initial: 2.0,
        max: 2.0,
        ..ConcurrencySettings::default()
    });
    (0..2).for_each(|_| limit.start(Priority::Normal, START));
    limit.on_first_token(START, Priority::Normal, START.plus_ms(20));
    limit.finish(&ended(START, true), TimeMs(OVERDUE.0 - 1));
    assert!(limit.has_room(Priority::Normal, TimeMs(OVERDUE.0 - 1)));
}

/// A place that stays empty after the attempt that it was left to has ended.
#[test]
fn overdue_attempt_that_is_given_up_frees_the_place() {
    let mut limit = limit_with_vacated_place();
    limit.finish(&ended(START, false), OVERDUE.plus_ms(20));
    // The end decreases the limit to 2.55, so there is room for a third attempt but not for a kept place.
    limit.start(Priority::Normal, OVERDUE.plus_ms(20));
    assert!(limit.has_room(Priority::Normal, OVERDUE.plus_ms(20)));
}

/// Ends that leave more places than attempts wait for: one slow prompt holds up a busy group.
#[test]
fn one_overdue_attempt_is_left_one_place() {
    let mut limit = limit_with_vacated_place();
    limit.finish(&ended(START, true), OVERDUE.plus_ms(1));
    assert!(limit.has_room(Priority::Normal, OVERDUE.plus_ms(1)));
}

/// A place that is still kept once the overdue attempt has its slot.
#[test]
fn late_first_token_frees_the_place() {
    let mut limit = ConcurrencyLimit::new(ConcurrencySettings {
        initial: 5.0,
        max: 5.0,
        ..ConcurrencySettings::default()
    });
    // Two run and two are overdue. One that ran ends, and one that was overdue starts; the late
    // token decreases the limit to 4.25.
    (0..4).for_each(|_| limit.start(Priority::Normal, START));
    (0..2).for_each(|_| limit.on_first_token(START, Priority::Normal, START.plus_ms(20)));
    limit.start(Priority::Normal, OVERDUE);
    limit.finish(&ended(START, true), OVERDUE);
    assert!(!limit.has_room(Priority::Normal, OVERDUE));
    limit.on_first_token(START, Priority::Normal, OVERDUE.plus_ms(20));
    assert!(limit.has_room(Priority::Normal, OVERDUE.plus_ms(20)));
}

/// A group that one hung attempt keeps from serving others.
#[test]
fn vacated_place_is_left_to_an_overdue_attempt_for_a_short_time() {
    let limit = limit_with_vacated_place();
    assert!(limit.has_room(Priority::Normal, OVERDUE.plus_ms(100)));
}

/// Engine with two slots and calls of about a second. A waiting attempt looks for a free slot every 5 ms,
/// so a new one, which looks at once, may overtake it.
struct Engine {
    /// Start of each waiting attempt, and its offset in the interval of 5 ms.
    waiting: Vec<(TimeMs, u64, Priority)>,
    /// Start, time of the first token and end of each running attempt.
    running: Vec<(TimeMs, TimeMs, TimeMs, Priority)>,
}

const SLOTS: usize = 2;
const PREFILL_MS: u64 = 20;
/// Range of the time that a call holds a slot. Its width keeps the ends of the two slots apart.
const CALL_MS: Range<u64> = 900..1_100;
/// Interval at which the node looks again, as `POLL_MS` in the node.
const POLL_MS: u64 = 50;

/// Returns the time from the arrival of a critical request, 1.5 s after 60 others, to its answer.
fn critical_answer_ms(seed: u64) -> Option<u64> {
    let rng = &mut SmallRng::seed_from_u64(seed);
    let mut gate: Gate<u32> = Gate::new(GateSettings::default(), START);
    let arrive = |gate: &mut Gate<u32>, priority, now, rng: &mut SmallRng| {
        let request = QueuedRequest {
            organisation: "a".parse().expect("a valid name"),
            priority,
            deadline: Deadline::after_ms(now, 20_000),
            cost: 20,
        };
        gate.arrive(request, &[GROUP], now, rng);
    };
    (0..60).for_each(|_| arrive(&mut gate, Priority::Batch, START, rng));
    let critical_at = START.plus_ms(1_500);
    let mut engine = Engine {
        waiting: Vec::new(),
        running: Vec::new(),
    };
    // The node hears of an end a millisecond later.
    let mut ended_attempts: Vec<FinishedAttempt> = Vec::new();
    for after_ms in 0..25_000 {
        let now = START.plus_ms(after_ms);
        let mut is_poll_due = after_ms % POLL_MS == 0;
        if now == critical_at {
            arrive(&mut gate, Priority::Critical, now, rng);
            is_poll_due = true;
        }
        for finished in ended_attempts.drain(..) {
            gate.finish(&GROUP, finished, now);
            is_poll_due = true;
        }
        while let Some(dispatch) = is_poll_due.then(|| gate.poll(&[GROUP], now)).flatten() {
            gate.mark_dispatched(&dispatch, now);
            gate.start(&GROUP, dispatch.priority, now);
            engine.waiting.push((now, now.0 % 5, dispatch.priority));
        }
        // Threads wake up later than asked, so the offsets drift.
        for (_, offset, _) in &mut engine.waiting {
            *offset = (*offset + u64::from(rng.random_ratio(1, 5))) % 5;
        }
        while engine.running.len() < SLOTS {
            let is_looking = |(_, offset, _): &(TimeMs, u64, Priority)| now.0 % 5 == *offset;
            let Some(index) = engine.waiting.iter().position(is_looking) else {
                break;
            };
            let (started_at, _, priority) = engine.waiting.remove(index);
            let token_at = now.plus_ms(PREFILL_MS);
            let end_at = now.plus_ms(rng.random_range(CALL_MS));
            engine
                .running
                .push((started_at, token_at, end_at, priority));
        }
        for (started_at, token_at, end_at, priority) in &engine.running {
            if *token_at == now {
                gate.on_first_token(&GROUP, *priority, *started_at, now);
            }
            if *end_at == now && *priority == Priority::Critical {
                return Some(now.since_ms(critical_at));
            }
        }
        let ends = engine.running.extract_if(.., |running| running.2 == now);
        ended_attempts.extend(ends.map(|(started_at, _, _, priority)| FinishedAttempt {
            priority,
            ..ended(started_at, true)
        }));
    }
    None
}

/// A critical request that newer ones overtake in the engine until its deadline, 10 s.
#[test]
fn critical_request_is_answered_before_an_engine_that_starts_new_attempts_first() {
    let answers: Vec<_> = (0..1_000).map(critical_answer_ms).collect();
    let late = answers
        .iter()
        .filter(|answer_ms| answer_ms.is_none_or(|answer_ms| answer_ms > 10_000));
    let longest_ms = answers.iter().max();
    assert_eq!(late.count(), 0, "the longest took {longest_ms:?} ms");
}
