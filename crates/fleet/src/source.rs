//! Tracks failures of the sources that a watch reads from, and how long the store was unavailable.
//!
//! A gateway watches each kind of objects (the configuration, the upstreams) either in the store
//! itself or at a relay: another gateway of the same data centre that reads the store and serves
//! what it read. A relay refuses requests before it has read the store, and while it has had no
//! answer from the store for [`MAX_RELAYED_AGE_MS`]. A relay's list that is older than the data
//! that the gateway has already read counts as a refusal, too.
//!
//! If a relay gets no answer from the store, either only this relay is cut off, or the store is
//! unavailable. The two need different handling: entries of live upstreams expire while the store
//! is unavailable, so an entry that is missing right after an outage is kept for a while. An entry
//! that is missing at any other time is not.

use jacinthpoint_types::TimeMs;

use crate::view::MIN_OUTAGE_MS;

/// Age of the store's last answer beyond which a relay refuses requests. The sum of this age and
/// the longest time that one watch request to a relay takes is below the limit within which each
/// gateway must put a new configuration in force.
pub const MAX_RELAYED_AGE_MS: u64 = 1_100;
/// Consecutive refusals of a relay after which another source is asked. More than one, because a
/// relay also refuses when it has only just begun to read the store.
const MAX_RELAY_REFUSALS: u32 = 3;
/// Time after the first refusal of a relay for which relays are asked again.
const PATIENCE_MS: u64 = 1_000;
/// Pause after the first failure of the store. Each further failure doubles it, up to
/// [`MAX_BACKOFF_MS`].
const INITIAL_BACKOFF_MS: u64 = 150;
const MAX_BACKOFF_MS: u64 = 600;
/// Pause after a failure of the store for a gateway that reads it only because its relays refuse or
/// do not answer. It is longer because relays retry sooner and get the first answer after an
/// outage; the gateway can then read from them.
const FALLBACK_READER_BACKOFF_MS: u64 = 1_000;

/// Failures and refusals since the last answer to the watch of one kind of objects.
#[derive(Debug, Default)]
pub struct SourceTracker {
    /// Consecutive refusals of relays; [`MAX_RELAY_REFUSALS`] after an answer of the store itself,
    /// so that the next refusal is not retried.
    relay_refusals: u32,
    /// Time of the first refusal of a relay since the last answer.
    refused_since: Option<TimeMs>,
    /// Consecutive failures of the store.
    store_failures: u32,
    /// Start of the store's unavailability; `None` while it answers.
    unavailable_since: Option<TimeMs>,
}

/// Time for which the store was unavailable before an answer, if it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreUnavailability {
    /// Milliseconds between the start of the unavailability and the answer; `None` if the store had
    /// not failed.
    pub unavailable_ms: Option<u64>,
}

impl StoreUnavailability {
    /// Returns whether the store was unavailable for so long that entries of live upstreams may
    /// have expired.
    pub fn is_after_outage(self) -> bool {
        self.unavailable_ms
            .is_some_and(|unavailable_ms| unavailable_ms >= MIN_OUTAGE_MS)
    }
}

impl SourceTracker {
    /// Records an answer of a relay if `is_relayed`, otherwise of the store, and returns how long
    /// the store was unavailable before it.
    ///
    /// After an answer of the store itself, the first refusal of a relay is enough to ask another
    /// source: this gateway then has newer data than the relays, and a relay that refuses has not
    /// read this data from the store yet.
    pub fn on_answer(&mut self, is_relayed: bool, now: TimeMs) -> StoreUnavailability {
        self.relay_refusals = if is_relayed { 0 } else { MAX_RELAY_REFUSALS };
        self.refused_since = None;
        self.store_failures = 0;
        let unavailable_since = self.unavailable_since.take();
        StoreUnavailability {
            unavailable_ms: unavailable_since.map(|since| now.since_ms(since)),
        }
    }

    /// Records the refusal of a relay and returns whether to ask another source now instead of the
    /// same relay again.
    ///
    /// Refusals do not count as unavailability of the store. Only a request to the store itself
    /// shows that it does not answer.
    pub fn on_relay_refusal(&mut self, now: TimeMs) -> bool {
        self.refused_since.get_or_insert(now);
        self.relay_refusals += 1;
        self.relay_refusals >= MAX_RELAY_REFUSALS
    }

    /// Returns whether the relays began to refuse calls only a moment ago, so that a gateway that others
    /// do not depend on asks them again.
    ///
    /// If a connection to the store stalls, a relay finds out half a second after its data became too
    /// old. If all its clients called the store by then, it would get as many calls as there are gateways.
    pub fn is_patient(&self, now: TimeMs) -> bool {
        let since = self.refused_since;
        since.is_some_and(|since| now.since_ms(since) < PATIENCE_MS)
    }

    /// Records a failure of the store itself and returns whether it is the first since the last
    /// answer.
    pub fn on_store_failure(&mut self, now: TimeMs) -> bool {
        self.store_failures += 1;
        let is_first = self.unavailable_since.is_none();
        if is_first {
            // A relay that refuses has usually had no answer from the store for
            // `MAX_RELAYED_AGE_MS`, so the unavailability is taken to have begun that much earlier.
            let before_refusal = |since: TimeMs| TimeMs(since.0.saturating_sub(MAX_RELAYED_AGE_MS));
            self.unavailable_since = Some(self.refused_since.map_or(now, before_refusal));
        }
        is_first
    }

    /// Returns the pause in milliseconds before the store is asked again after its last failure.
    /// `is_fallback_reader` marks a gateway that reads the store only because its relays refuse or
    /// do not answer.
    pub fn backoff_ms(&self, is_fallback_reader: bool) -> u64 {
        if is_fallback_reader {
            return FALLBACK_READER_BACKOFF_MS;
        }
        let doublings = self.store_failures.saturating_sub(1).min(8);
        (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS)
    }
}
