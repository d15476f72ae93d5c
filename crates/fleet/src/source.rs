//! How the reading of a kind of objects goes on: from the store, or from another gateway that reads
//! it, a reader.
//!
//! A reader that has not heard from the store for [`MAX_RELAYED_AGE_MS`] refuses. It may be cut off alone, or
//! the store may be away. The difference matters: entries of live upstreams lapse while the store
//! is away, so a missing one is kept for a while after its outages, and only then.

use jacinthpoint_types::TimeMs;

use crate::view::MIN_OUTAGE_MS;

/// Age of the store's last answer beyond which a reader refuses. With the time that a watch of
/// another gateway takes, it stays below the shortest time for a configuration to be in force.
pub const MAX_RELAYED_AGE_MS: u64 = 1_100;
/// Refusals of a reader, which may just have begun to read, before others are asked.
const MAX_REFUSALS: u32 = 3;
/// Pause after the first failure of the store; it doubles up to the longest.
const BACKOFF_MS: u64 = 150;
const MAX_BACKOFF_MS: u64 = 600;
/// Pause after a failure of the store for a gateway that reads it only because no reader knows
/// anything new: the readers find out first that it is back.
const SUBSTITUTE_BACKOFF_MS: u64 = 1_000;

/// How the reading of one kind goes.
#[derive(Debug, Default)]
pub struct SourceTracker {
    /// Refusals of readers in a row.
    refusals: u32,
    /// Whether a reader refused since the last answer.
    is_refused: bool,
    /// Failures of the store in a row.
    failures: u32,
    away_since: Option<TimeMs>,
}

/// What an answer says about the time before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recovery {
    /// For how long the store was away, if it was.
    pub unavailable_ms: Option<u64>,
}

impl Recovery {
    /// Whether live entries may have lapsed meanwhile.
    pub fn is_after_outage(self) -> bool {
        self.unavailable_ms
            .is_some_and(|unavailable_ms| unavailable_ms >= MIN_OUTAGE_MS)
    }
}

impl SourceTracker {
    /// Takes in an answer of the store, or of a reader. Readers whose knowledge was older than the
    /// store's get no second chance when they are asked again.
    pub fn on_answer(&mut self, is_relayed: bool, now: TimeMs) -> Recovery {
        self.refusals = if is_relayed { 0 } else { MAX_REFUSALS };
        self.is_refused = false;
        self.failures = 0;
        let away_since = self.away_since.take();
        Recovery {
            unavailable_ms: away_since.map(|since| now.since_ms(since)),
        }
    }

    /// Takes in the refusal of a reader; tells whether to ask another one now. Whether the store is
    /// away shows only when it is asked itself.
    pub fn on_relay_refusal(&mut self) -> bool {
        self.is_refused = true;
        self.refusals += 1;
        self.refusals >= MAX_REFUSALS
    }

    /// Takes in a failure of the store itself; tells whether it is the first of an outage.
    pub fn on_store_failure(&mut self, now: TimeMs) -> bool {
        self.failures += 1;
        let is_first = self.away_since.is_none();
        if is_first {
            // Readers that refused had not heard from it for that long either.
            let unheard_ms = if self.is_refused {
                MAX_RELAYED_AGE_MS
            } else {
                0
            };
            self.away_since = Some(TimeMs(now.0.saturating_sub(unheard_ms)));
        }
        is_first
    }

    /// Pause before the store is asked again after its last failure; `is_substitute` for a gateway
    /// that reads it only because its readers refuse.
    pub fn backoff_ms(&self, is_substitute: bool) -> u64 {
        if is_substitute {
            return SUBSTITUTE_BACKOFF_MS;
        }
        let doublings = self.failures.saturating_sub(1).min(8);
        (BACKOFF_MS << doublings).min(MAX_BACKOFF_MS)
    }
}
