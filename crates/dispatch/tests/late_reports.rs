//! Stall detection while load reports are late, or a target has left the directory.

use jacinthpoint_dispatch::{
    LoadAggregator, LoadTracker, StallPolicy, StallState, Target, TargetDigest, TargetReport,
};

use crate::support::{engine, groups, now};

fn policy() -> StallPolicy {
    let engine = engine();
    StallPolicy::new(&engine, &engine.models[0])
}

/// Returns the hub's report on a target: the time since its last event, and the longest time for which a
/// gateway has waited there.
fn report(target: &Target, heard_ms: u32, waited_ms: u32) -> TargetReport {
    TargetReport {
        target: TargetDigest::from(&target.key),
        in_flight: 2,
        unread_tokens: 0,
        heard_ms: Some(heard_ms),
        waited_ms: Some(waited_ms),
    }
}

/// Time for which an answer of the hub is used, less a moment.
const LATE_MS: u64 = 440;

/// Guards against requests that are kept from a group whose events this gateway forwards: the answer of the
/// hub is older than they are.
#[test]
fn group_with_an_event_here_is_not_stalled_by_an_older_answer_of_the_hub() {
    let target = &groups(1)[0];
    let limit_ms = policy().limit_ms();
    let silent_ms = u32::try_from(limit_ms).expect("it is short");
    let mut loads = LoadTracker::default();
    loads.on_sent(&target.key, 0, now());
    let answered_at = now().plus_ms(limit_ms);
    loads.on_peer_loads(&[report(target, silent_ms, silent_ms)], answered_at);
    assert!(loads.is_stalled(&target.key, limit_ms, answered_at));
    loads.on_event(&target.key, None, answered_at.plus_ms(1));
    assert!(!loads.is_stalled(&target.key, limit_ms, answered_at.plus_ms(LATE_MS)));
}

/// Defines tests in which a valid answer of the hub is old: name, the times since the last event and the longest wait by
/// that answer, in milliseconds.
macro_rules! late_answers {
    ($($name:ident: |$limit_ms:ident| $heard_ms:expr, $waited_ms:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let target = &groups(1)[0];
                let $limit_ms = u32::try_from(policy().limit_ms()).expect("it is short");
                let mut loads = LoadTracker::default();
                loads.on_peer_loads(&[report(target, $heard_ms, $waited_ms)], now());
                let later = now().plus_ms(LATE_MS);
                assert!(!loads.is_stalled(&target.key, policy().limit_ms(), later));
            }
        )+
    };
}

// Guards against sound groups that count as stalled while the hub is late: the time for which nobody reported was
// taken for silence of the group.
late_answers! {
    short_silence_in_a_late_answer_is_no_stall: |limit_ms| limit_ms / 2, limit_ms / 2,
    event_of_another_stream_in_a_late_answer_shows_progress: |limit_ms| limit_ms / 2, limit_ms * 2,
}

/// Guards against the same while a gateway is late with its report: the hub counts its last one until it is too old.
#[test]
fn late_report_of_a_gateway_does_not_make_a_group_stalled() {
    let target = &groups(1)[0];
    let limit_ms = policy().limit_ms();
    let mut hub = LoadAggregator::default();
    let short_ms = u32::try_from(limit_ms / 2).expect("it is short");
    hub.on_report("late", vec![report(target, short_ms, short_ms)], now());
    let later = now().plus_ms(LATE_MS);
    let mut loads = LoadTracker::default();
    loads.on_peer_loads(&hub.load_of_others(&"other", later), later);
    assert!(!loads.is_stalled(&target.key, limit_ms, later));
}

/// Guards against streams that look silent as soon as their target has left the directory: its events are counted
/// while it runs requests.
#[test]
fn target_that_left_the_directory_is_judged_by_its_events() {
    let targets = groups(2);
    let (left, others) = (&targets[0], &targets[1..]);
    let mut loads = LoadTracker::default();
    loads.on_sent(&left.key, 0, now());
    loads.on_sent(&left.key, 0, now());
    loads.retain(others.iter());
    let event_at = now().plus_ms(1_000);
    loads.on_event(&left.key, Some(100), event_at);
    loads.on_ended(&left.key);
    loads.retain(others.iter());
    let checked_at = event_at.plus_ms(policy().limit_ms() - 1);
    let group_event_at = loads.last_event_at(&left.key, checked_at);
    assert_eq!(group_event_at, Some(event_at));
    let state = policy().check_stream(now(), group_event_at, checked_at);
    assert!(matches!(state, StallState::CheckAgainAt(_)), "{state:?}");
    assert_eq!(loads.load(&left.key, checked_at), 1.0);
    loads.on_ended(&left.key);
    loads.retain(others.iter());
    assert_eq!(loads.last_event_at(&left.key, checked_at), None);
}
