//! Adaptive limit on what one node has in flight on one group.
//!
//! Nodes do not agree on limits. Each lowers its own when first tokens come late and raises it
//! while they come in time, so that the queue forms in front of the groups, where it is ordered,
//! and not inside them.

use jacinthpoint_types::TimeMs;

/// Factor on the limit when a first token comes late or an attempt fails.
const DECREASE: f64 = 0.85;
/// Shortest time between two decreases: several late tokens of one moment are one sign.
const DECREASE_PAUSE_MS: u64 = 500;
/// Share of the limit that must be in use for it to grow; an idle group proves nothing.
const IN_USE_SHARE: f64 = 0.5;

/// How limits adapt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencySettings {
    /// Limit of a group that is new.
    pub initial: f64,
    /// Smallest limit. Not below 1, or the group could never prove itself again.
    pub min: f64,
    /// Largest limit.
    pub max: f64,
    /// Time within which first tokens shall come once a request is dispatched.
    pub first_token_target_ms: u64,
}

impl Default for ConcurrencySettings {
    fn default() -> ConcurrencySettings {
        ConcurrencySettings {
            initial: 4.0,
            min: 1.0,
            max: 64.0,
            first_token_target_ms: 580,
        }
    }
}

/// The limit of one group.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencyLimit {
    settings: ConcurrencySettings,
    limit: f64,
    in_flight: u32,
    decreased_at: TimeMs,
    /// Whether no first token has come late yet.
    is_starting: bool,
}

impl ConcurrencyLimit {
    /// The limit of a group that nothing is known of.
    pub fn new(settings: ConcurrencySettings) -> ConcurrencyLimit {
        ConcurrencyLimit {
            settings,
            limit: settings.initial,
            in_flight: 0,
            decreased_at: TimeMs(0),
            is_starting: true,
        }
    }

    /// The limit now.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Attempts in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether there is room for one more attempt. A limit between two whole numbers counts as the
    /// larger one: with a few slots for each node, the smaller would leave much of a group idle.
    pub fn has_room(&self) -> bool {
        f64::from(self.in_flight) < self.limit
    }

    /// Counts an attempt.
    pub fn start(&mut self) {
        self.in_flight += 1;
    }

    /// Takes in a first token.
    pub fn on_first_token(&mut self, first_token_ms: u64, now: TimeMs) {
        if first_token_ms > self.settings.first_token_target_ms {
            self.decrease(now);
        } else if f64::from(self.in_flight) >= self.limit * IN_USE_SHARE {
            // Doubles with each round of first tokens until one comes late. Growth by one a round
            // would hold back the first burst on a new group for minutes.
            let step = if self.is_starting {
                1.0
            } else {
                1.0 / self.limit
            };
            self.limit = (self.limit + step).min(self.settings.max);
        }
    }

    /// Ends an attempt.
    pub fn finish(&mut self, is_failure: bool, now: TimeMs) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if is_failure {
            self.decrease(now);
        }
    }

    fn decrease(&mut self, now: TimeMs) {
        if now.since_ms(self.decreased_at) >= DECREASE_PAUSE_MS {
            self.limit = (self.limit * DECREASE).max(self.settings.min);
            self.decreased_at = now;
            self.is_starting = false;
        }
    }
}
