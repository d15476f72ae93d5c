//! Requests that wait at one gateway for room at the targets of a model, and the order in which
//! refused callers return.

use jacinthpoint_types::{Deadline, TimeMs};
use rand::Rng;
use slotmap::SlotMap;

use crate::urgency::{Urgency, UrgencyWork};

/// Most requests that wait in a line; their bodies are in the gateway's memory.
const MAX_WAITING: usize = 16;
/// Most returns of refused callers that are remembered.
const MAX_RETURNS: usize = 64;
/// Time between two requests of a line that are sent, before any was measured.
const ASSUMED_SPACING_MS: f64 = 100.0;
/// Weight of the newest time between two requests that are sent.
const SPACING_WEIGHT: f64 = 0.3;
/// Half-life after which an empty line forgets what was measured.
const SPACING_HALF_LIFE_MS: f64 = 1_000.0;
/// Part of the remaining time that a request waits, or that a refused caller is sent away for, as a
/// divisor. What is left is enough for another attempt, and callers wait no longer than that.
const WAIT_DIVISOR: u64 = 3;
/// Smallest upper end of the range from which the time of a return is drawn.
const MIN_RETURN_MS: u64 = 200;

slotmap::new_key_type! {
    /// Identifies a waiting request.
    pub(super) struct WaiterKey;
}

/// A request that waits.
#[derive(Debug, Clone, Copy)]
struct Waiter {
    urgency: Urgency,
    /// Time from which it is late, and goes behind those of its urgency that are not.
    late_at: TimeMs,
    deadline: Deadline,
    gives_up_at: TimeMs,
}

impl Waiter {
    /// Returns its place in the order; the least goes first.
    fn rank(&self, now: TimeMs) -> (Urgency, bool, Deadline) {
        (self.urgency, now >= self.late_at, self.deadline)
    }
}

/// Requests for one model that wait at one gateway.
#[derive(Debug)]
pub struct RoomLine {
    /// Recent work on the model.
    pub work: UrgencyWork,
    waiters: SlotMap<WaiterKey, Waiter>,
    /// Moving average of the time between two requests that were sent while others waited.
    spacing_ms: f64,
    /// Time of the last change by which `spacing_ms` is counted: a request was sent, or the line
    /// became empty or stopped being so.
    counted_at: TimeMs,
    /// Times at which refused callers return.
    returns: Vec<(TimeMs, Urgency)>,
}

impl Default for RoomLine {
    fn default() -> RoomLine {
        RoomLine {
            work: UrgencyWork::default(),
            waiters: SlotMap::default(),
            spacing_ms: ASSUMED_SPACING_MS,
            counted_at: TimeMs(0),
            returns: Vec::new(),
        }
    }
}

impl RoomLine {
    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns whether a request must let one that waits go first.
    pub(super) fn goes_behind(&self, urgency: Urgency, is_late: bool, now: TimeMs) -> bool {
        let mut waiters = self.waiters.values();
        waiters.any(|waiter| (waiter.urgency, now >= waiter.late_at) <= (urgency, is_late))
    }

    /// Returns whether a waiting request is the first of its line.
    pub(super) fn is_first(&self, key: WaiterKey, now: TimeMs) -> bool {
        let rank = |key| self.waiters.get(key).map(|waiter| (waiter.rank(now), key));
        let first = self.waiters.keys().filter_map(rank).min();
        first.is_some_and(|(_, first)| first == key)
    }

    /// Records the time from which a waiting request is late.
    pub(super) fn on_late(&mut self, key: WaiterKey, late_at: TimeMs) {
        if let Some(waiter) = self.waiters.get_mut(key) {
            waiter.late_at = late_at;
        }
    }

    /// Adds a request and returns its key, if it is expected to be sent in time. From `late_at` on, its first event comes
    /// late wherever it is sent.
    pub(super) fn join(
        &mut self,
        urgency: Urgency,
        late_at: TimeMs,
        deadline: Deadline,
        now: TimeMs,
    ) -> Option<WaiterKey> {
        let max_wait_ms = deadline.remaining_ms(now) / WAIT_DIVISOR;
        let waiter = Waiter {
            urgency,
            late_at,
            deadline,
            gives_up_at: now.plus_ms(max_wait_ms),
        };
        let ahead = self.waiters.values();
        let ahead = ahead.filter(|other| other.rank(now) <= waiter.rank(now));
        let expected_ms = (ahead.count() + 1) as f64 * self.spacing_ms(now);
        if self.waiters.len() >= MAX_WAITING || expected_ms > max_wait_ms as f64 {
            return None;
        }
        if self.waiters.is_empty() {
            self.spacing_ms = self.spacing_ms(now);
            self.counted_at = now;
        }
        Some(self.waiters.insert(waiter))
    }

    /// Returns whether a request goes on waiting: it has waited less than the time it may, and room is
    /// still expected within that time.
    pub(super) fn stays(&self, key: WaiterKey, now: TimeMs) -> bool {
        let Some(waiter) = self.waiters.get(key) else {
            return false;
        };
        let ahead = self.waiters.values();
        let ahead = ahead.filter(|other| other.rank(now) < waiter.rank(now));
        let left_ms = waiter.gives_up_at.since_ms(now) as f64;
        // The next request may be sent at any moment, however long the last one was ago.
        now < waiter.gives_up_at && ahead.count() as f64 * self.spacing_ms(now) <= left_ms
    }

    /// Records that a waiting request is sent.
    pub(super) fn on_sent(&mut self, key: WaiterKey, now: TimeMs) {
        if self.waiters.remove(key).is_some() {
            let sample_ms = now.since_ms(self.counted_at) as f64;
            self.spacing_ms += SPACING_WEIGHT * (sample_ms - self.spacing_ms);
            self.counted_at = now;
        }
    }

    /// Records that a waiting request is refused, or that its caller left.
    pub(super) fn on_left(&mut self, key: WaiterKey, now: TimeMs) {
        if self.waiters.remove(key).is_some() && self.waiters.is_empty() {
            let waited_ms = now.since_ms(self.counted_at) as f64;
            self.spacing_ms = self.spacing_ms.max(waited_ms);
            self.counted_at = now;
        }
    }

    /// Returns the time after which a refused caller should return. It returns behind all that wait or
    /// return at most as late and are at least as urgent, each of which takes the time that one of
    /// them takes to be sent. The time is drawn, so that callers that are refused together return one
    /// after the other; it is at most the part of the remaining time that callers wait.
    pub(super) fn return_ms(
        &mut self,
        urgency: Urgency,
        deadline: Deadline,
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> u64 {
        self.returns.retain(|(at, _)| *at > now);
        let waiting = self.waiters.values().map(|waiter| waiter.urgency);
        let returning = self.returns.iter().map(|(_, urgency)| *urgency);
        let ahead = waiting.chain(returning).filter(|other| *other <= urgency);
        let expected_ms = (ahead.count() + 1) as f64 * self.spacing_ms(now);
        let longest_ms = deadline.remaining_ms(now) / WAIT_DIVISOR;
        let limit_ms = (expected_ms as u64).max(MIN_RETURN_MS).min(longest_ms);
        let return_ms = rng.random_range(limit_ms / 2..=limit_ms);
        if self.returns.len() < MAX_RETURNS {
            self.returns.push((now.plus_ms(return_ms), urgency));
        }
        return_ms
    }

    /// Returns the time between two requests that are sent: the measured one, or the time since the
    /// last if it is longer. An empty line forgets what was measured.
    fn spacing_ms(&self, now: TimeMs) -> f64 {
        let since_ms = now.since_ms(self.counted_at) as f64;
        if self.waiters.is_empty() {
            let weight = 0.5_f64.powf(since_ms / SPACING_HALF_LIFE_MS);
            return ASSUMED_SPACING_MS + (self.spacing_ms - ASSUMED_SPACING_MS) * weight;
        }
        self.spacing_ms.max(since_ms)
    }
}
