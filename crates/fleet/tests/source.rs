//! Tests [`SourceTracker`] with relays that refuse and a store that fails.

use jacinthpoint_fleet::{MAX_RELAYED_AGE_MS, MIN_OUTAGE_MS, SourceTracker};
use jacinthpoint_types::TimeMs;

/// Time between two refusals: the gateway's pause after the refusal of a relay.
const REFUSAL_INTERVAL_MS: u64 = 150;

/// Returns a tracker whose last answer came from a relay, and the time of this answer.
fn tracker() -> (SourceTracker, TimeMs) {
    let mut tracker = SourceTracker::default();
    let now = TimeMs(1_000_000);
    tracker.on_answer(true, now);
    (tracker, now)
}

macro_rules! tracker_tests {
    ($($name:ident: |$tracker:ident, $now:ident| $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let (mut $tracker, $now) = tracker();
                $body
            }
        )+
    };
}

tracker_tests! {
    // A relay refuses even if only the relay itself is cut off from the store. If its refusals
    // counted as an outage of the store, an upstream whose entry was removed meanwhile would be
    // kept for the grace period and still get requests.
    refusals_of_a_relay_without_a_store_failure_are_not_an_outage: |tracker, now| {
        let mut refused_ms = 0;
        while refused_ms < 2 * MIN_OUTAGE_MS {
            tracker.on_relay_refusal(now.plus_ms(refused_ms));
            refused_ms += REFUSAL_INTERVAL_MS;
        }
        let recovery = tracker.on_answer(false, now.plus_ms(refused_ms));
        assert!(!recovery.is_after_outage());
    }

    store_failure_of_min_outage_length_is_an_outage: |tracker, now| {
        assert!(tracker.on_store_failure(now));
        assert!(!tracker.on_store_failure(now.plus_ms(MIN_OUTAGE_MS / 2)));
        assert!(tracker.on_answer(false, now.plus_ms(MIN_OUTAGE_MS)).is_after_outage());
    }

    store_failure_below_min_outage_length_is_not_an_outage: |tracker, now| {
        tracker.on_store_failure(now);
        assert!(!tracker.on_answer(false, now.plus_ms(MIN_OUTAGE_MS / 2)).is_after_outage());
    }

    // A relay that refuses has usually had no answer from the store for `MAX_RELAYED_AGE_MS`, so
    // the unavailability is taken to have begun that long before the store's first failure.
    relay_refusal_before_a_store_failure_moves_the_start_of_the_outage_back: |tracker, now| {
        tracker.on_relay_refusal(now);
        tracker.on_store_failure(now);
        assert!(tracker.on_answer(true, now.plus_ms(MIN_OUTAGE_MS / 2)).is_after_outage());
    }

    // Guards against an outage that counts as shorter by the time for which relays were asked again.
    outage_begins_before_the_first_refusal: |tracker, now| {
        tracker.on_relay_refusal(now);
        tracker.on_relay_refusal(now.plus_ms(MIN_OUTAGE_MS));
        tracker.on_store_failure(now.plus_ms(MIN_OUTAGE_MS));
        assert!(tracker.on_answer(false, now.plus_ms(MIN_OUTAGE_MS + 10)).is_after_outage());
    }

    // Guards against a fleet in which all gateways call the store because a connection of each relay
    // stalled: a relay notices it after the wait and the timeout of a watch, 1.6 s.
    relays_are_asked_again_until_they_notice_a_stalled_connection: |tracker, now| {
        let refused_at = now.plus_ms(MAX_RELAYED_AGE_MS);
        tracker.on_relay_refusal(refused_at);
        assert!(tracker.is_patient(now.plus_ms(1_600 + REFUSAL_INTERVAL_MS)));
        assert!(!tracker.is_patient(refused_at.plus_ms(1_000)));
        tracker.on_answer(true, refused_at);
        assert!(!tracker.is_patient(refused_at));
    }

    answer_after_an_outage_ends_it_for_later_answers: |tracker, now| {
        tracker.on_store_failure(now);
        tracker.on_answer(true, now.plus_ms(MIN_OUTAGE_MS));
        assert!(!tracker.on_answer(true, now.plus_ms(2 * MIN_OUTAGE_MS)).is_after_outage());
    }

    // A relay also refuses when it has only just begun to read the store; it answers soon after.
    first_refusal_after_a_relay_answer_is_retried: |tracker, now| {
        assert!(!tracker.on_relay_refusal(now));
        tracker.on_answer(true, now);
        assert!(!tracker.on_relay_refusal(now));
    }

    // After an answer of the store, the gateway has newer data than the relays, and a relay that
    // refuses has not read this data from the store yet.
    first_refusal_after_a_store_answer_is_not_retried: |tracker, now| {
        tracker.on_answer(false, now);
        assert!(tracker.on_relay_refusal(now));
    }

    backoff_of_a_fallback_reader_is_longer_than_first_backoff_of_another_reader: |tracker, now| {
        tracker.on_store_failure(now);
        assert!(tracker.backoff_ms(false) < tracker.backoff_ms(true));
    }
}
