//! Adaptive limit on the attempts that one node has in flight on one group.
//!
//! Requests should wait in the gate's queue, which is ordered by class, fairness and deadline, and
//! not in a queue inside a group, which is not. Each node therefore lowers its limit for a group
//! when first tokens come late and raises it while they come in time. Nodes do not coordinate their
//! limits.
//!
//! An attempt without a first token after the target time is overdue: it probably waits in the
//! group's queue. Engines need not serve their queue in order, so a new attempt could take the next
//! free slot before it. The place of an attempt that ends is therefore kept for a short time from
//! requests that are not more important than an overdue attempt.

use std::collections::{BTreeMap, VecDeque};

use jacinthpoint_types::{Priority, TimeMs};

use crate::gate::FinishedAttempt;

/// Factor applied to the limit when a first token comes late or an attempt fails.
const DECREASE_FACTOR: f64 = 0.85;
/// Minimum time between two decreases: several late tokens at one moment have the same cause and
/// count once.
const DECREASE_PAUSE_MS: u64 = 500;
/// Share of the limit that must be in use for the limit to grow: early tokens of an idle group do
/// not show that it could run more.
const MIN_USE_SHARE_TO_GROW: f64 = 0.5;
/// Time for which the place of an attempt that has ended is left to an overdue attempt. Longer than
/// an engine takes to start a queued request on a free slot, a step of a few tens of milliseconds.
const HANDOVER_MS: u64 = 100;

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
    /// Number of attempts in flight without a first token, by their start and class.
    without_token: BTreeMap<(TimeMs, Priority), u32>,
    /// Ends of attempts whose places are left to overdue attempts until `HANDOVER_MS` later.
    vacated_at: VecDeque<TimeMs>,
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
            without_token: BTreeMap::new(),
            vacated_at: VecDeque::new(),
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

    /// Returns whether there is room for one more attempt, of this class. A fractional limit is
    /// rounded up: with only a few slots per node, rounding down would leave much of a group idle.
    pub fn has_room(&self, priority: Priority, now: TimeMs) -> bool {
        f64::from(self.in_flight + self.places_left_to_overdue(priority, now)) < self.limit
    }

    /// Counts the start of an attempt.
    pub fn start(&mut self, priority: Priority, now: TimeMs) {
        self.in_flight += 1;
        *self.without_token.entry((now, priority)).or_default() += 1;
    }

    /// Adjusts the limit to the first token of an attempt that started at `started_at`.
    pub fn on_first_token(&mut self, started_at: TimeMs, priority: Priority, now: TimeMs) {
        self.remove_without_token(started_at, priority);
        if started_at < self.overdue_before(now) {
            // It has taken one of the places that were left to overdue attempts.
            self.vacated_at.pop_front();
        }
        self.adjust_to_first_token(started_at, now);
    }

    /// Counts the end of an attempt; a failure decreases the limit.
    pub fn finish(&mut self, finished: &FinishedAttempt, now: TimeMs) {
        if !finished.has_token {
            self.remove_without_token(finished.started_at, finished.priority);
        }
        if !finished.has_token && !finished.is_failure {
            // An attempt given up before its first token indicates load, as a late token does.
            self.adjust_to_first_token(finished.started_at, now);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        if finished.is_failure {
            self.decrease(now);
        }
        self.vacated_at
            .retain(|vacated_at| now.since_ms(*vacated_at) < HANDOVER_MS);
        // An attempt without a token may not have had a slot of the engine.
        if finished.has_token {
            self.vacated_at.push_back(now);
        }
    }

    fn adjust_to_first_token(&mut self, started_at: TimeMs, now: TimeMs) {
        if started_at < self.overdue_before(now) {
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

    /// Returns the number of places kept from requests of a class, at most one for each overdue
    /// attempt of the same class or a more important one.
    fn places_left_to_overdue(&self, priority: Priority, now: TimeMs) -> u32 {
        let vacated = self
            .vacated_at
            .iter()
            .filter(|vacated_at| now.since_ms(**vacated_at) < HANDOVER_MS);
        // The most important class is the lowest, so this excludes what started at the bound.
        let overdue = self
            .without_token
            .range(..(self.overdue_before(now), Priority::Critical))
            .filter(|((_, overdue_priority), _)| *overdue_priority <= priority);
        let overdue: u32 = overdue.map(|(_, count)| count).sum();
        overdue.min(vacated.count() as u32)
    }

    /// Attempts without a first token that started before the returned time are overdue.
    fn overdue_before(&self, now: TimeMs) -> TimeMs {
        TimeMs(now.0.saturating_sub(self.settings.first_token_target_ms))
    }

    fn remove_without_token(&mut self, started_at: TimeMs, priority: Priority) {
        if let Some(count) = self.without_token.get_mut(&(started_at, priority)) {
            *count -= 1;
            if *count == 0 {
                self.without_token.remove(&(started_at, priority));
            }
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
