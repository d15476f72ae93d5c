//! Adaptive limit on the attempts that one node has in flight on one group.
//!
//! Requests should wait in the gate's queue, which is ordered by class, fairness and deadline, and
//! not in a queue inside a group, which is not. Each node therefore lowers its limit for a group
//! when first tokens come late and raises it while they come in time. Nodes do not coordinate their
//! limits.

use jacinthpoint_types::TimeMs;

/// Factor applied to the limit when a first token comes late or an attempt fails.
const DECREASE_FACTOR: f64 = 0.85;
/// Minimum time between two decreases: several late tokens at one moment have the same cause and
/// count once.
const DECREASE_PAUSE_MS: u64 = 500;
/// Share of the limit that must be in use for the limit to grow: early tokens of an idle group do
/// not show that it could run more.
const MIN_USE_SHARE_TO_GROW: f64 = 0.5;

/// Bounds and latency target of the adaptive limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencySettings {
    /// Limit of a new group.
    pub initial: f64,
    /// Minimum limit. Must be at least 1: below that the group would get no attempts, so that its
    /// limit could never grow again.
    pub min: f64,
    /// Maximum limit.
    pub max: f64,
    /// Time from dispatch after which a first token counts as late.
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

/// Adaptive concurrency limit of one group.
#[derive(Debug, Clone, PartialEq)]
pub struct ConcurrencyLimit {
    settings: ConcurrencySettings,
    limit: f64,
    in_flight: u32,
    decreased_at: TimeMs,
    /// Whether the limit has not been decreased yet; until then it grows exponentially.
    is_in_slow_start: bool,
}

impl ConcurrencyLimit {
    /// Creates the limit of a new group.
    pub fn new(settings: ConcurrencySettings) -> ConcurrencyLimit {
        ConcurrencyLimit {
            settings,
            limit: settings.initial,
            in_flight: 0,
            decreased_at: TimeMs(0),
            is_in_slow_start: true,
        }
    }

    /// Returns the current limit.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns whether there is room for one more attempt. A fractional limit is rounded up: with
    /// only a few slots per node, rounding down would leave much of a group idle.
    pub fn has_room(&self) -> bool {
        f64::from(self.in_flight) < self.limit
    }

    /// Counts the start of an attempt.
    pub fn start(&mut self) {
        self.in_flight += 1;
    }

    /// Adjusts the limit to the time from dispatch to the first token of an attempt.
    pub fn on_first_token(&mut self, first_token_ms: u64, now: TimeMs) {
        if first_token_ms > self.settings.first_token_target_ms {
            self.decrease(now);
        } else if f64::from(self.in_flight) >= self.limit * MIN_USE_SHARE_TO_GROW {
            // In slow start, each timely first token raises the limit by 1, so `limit` of them
            // double it. After slow start, `limit` of them raise it by about 1. Without slow start,
            // the first burst on a new group would be held back for minutes.
            let step = if self.is_in_slow_start {
                1.0
            } else {
                1.0 / self.limit
            };
            self.limit = (self.limit + step).min(self.settings.max);
        }
    }

    /// Counts the end of an attempt; a failure decreases the limit.
    pub fn finish(&mut self, is_failure: bool, now: TimeMs) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if is_failure {
            self.decrease(now);
        }
    }

    fn decrease(&mut self, now: TimeMs) {
        if now.since_ms(self.decreased_at) >= DECREASE_PAUSE_MS {
            self.limit = (self.limit * DECREASE_FACTOR).max(self.settings.min);
            self.decreased_at = now;
            self.is_in_slow_start = false;
        }
    }
}
