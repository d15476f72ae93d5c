//! Readers that refuse and a store that fails.

use jacinthpoint_fleet::{MIN_OUTAGE_MS, SourceTracker};
use jacinthpoint_types::TimeMs;

/// Time between two refusals, as the gateway leaves it.
const REFUSED_PAUSE_MS: u64 = 150;

/// A reading that had an answer of a reader.
fn reading() -> (SourceTracker, TimeMs) {
    let mut reading = SourceTracker::default();
    let now = TimeMs(1_000_000);
    reading.on_answer(true, now);
    (reading, now)
}

macro_rules! readings {
    ($($name:ident: |$reading:ident, $now:ident| $body:block)+) => {
        $(
            #[test]
            fn $name() {
                let (mut $reading, $now) = reading();
                $body
            }
        )+
    };
}

readings! {
    // An entry that was removed meanwhile was kept for the grace of an outage, and got requests
    // after its time (grown Coralbank, scale-2).
    reader_that_is_cut_off_is_no_outage: |reading, now| {
        let mut refused_ms = 0;
        while refused_ms < 2 * MIN_OUTAGE_MS {
            reading.on_relay_refusal();
            refused_ms += REFUSED_PAUSE_MS;
        }
        let back = reading.on_answer(false, now.plus_ms(refused_ms));
        assert!(!back.is_after_outage());
    }

    store_that_fails_for_long_was_away: |reading, now| {
        assert!(reading.on_store_failure(now));
        assert!(!reading.on_store_failure(now.plus_ms(MIN_OUTAGE_MS / 2)));
        assert!(reading.on_answer(false, now.plus_ms(MIN_OUTAGE_MS)).is_after_outage());
    }

    short_failure_is_no_outage: |reading, now| {
        reading.on_store_failure(now);
        assert!(!reading.on_answer(false, now.plus_ms(MIN_OUTAGE_MS / 2)).is_after_outage());
    }

    // Readers refuse only some time after the store's last answer.
    refusals_before_a_failure_date_the_outage_back: |reading, now| {
        reading.on_relay_refusal();
        reading.on_store_failure(now);
        assert!(reading.on_answer(true, now.plus_ms(MIN_OUTAGE_MS / 2)).is_after_outage());
    }

    outage_ends_with_the_first_answer: |reading, now| {
        reading.on_store_failure(now);
        reading.on_answer(true, now.plus_ms(MIN_OUTAGE_MS));
        assert!(!reading.on_answer(true, now.plus_ms(2 * MIN_OUTAGE_MS)).is_after_outage());
    }

    reader_that_just_began_gets_a_second_chance: |reading, now| {
        assert!(!reading.on_relay_refusal());
        reading.on_answer(true, now);
        assert!(!reading.on_relay_refusal());
    }

    stale_reader_gets_none_once_the_store_knew_more: |reading, now| {
        reading.on_answer(false, now);
        assert!(reading.on_relay_refusal());
    }

    readers_try_again_sooner_than_substitutes: |reading, now| {
        reading.on_store_failure(now);
        assert!(reading.backoff_ms(false) < reading.backoff_ms(true));
    }
}
