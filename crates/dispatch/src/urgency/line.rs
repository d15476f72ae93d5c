//! Requests that wait at one gateway for room at the targets of a model, and the order in which
//! refused callers return.

use std::cmp::Reverse;

use jacinthpoint_types::{Deadline, TimeMs};
use rand::Rng;
use slotmap::SlotMap;

use crate::urgency::{Urgency, UrgencyWork};

/// Most requests that wait in a line; their bodies are in the gateway's memory.
const MAX_WAITING: usize = 16;
/// Most returns of refused callers that are remembered.
const MAX_RETURNS: usize = 256;
/// Part of the remaining time that a refused caller is sent away for, as a divisor. Callers wait no
/// longer than that, and what is left is enough for another attempt.
const RETURN_DIVISOR: u64 = 3;
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
    /// Time from which its first event comes late wherever it is sent.
    late_at: TimeMs,
}

/// Requests for one model at one gateway.
#[derive(Debug, Default)]
pub struct RoomLine {
    /// Recent work on the model.
    pub work: UrgencyWork,
    waiters: SlotMap<WaiterKey, Waiter>,
    /// Times at which refused callers return.
    returns: Vec<(TimeMs, Urgency)>,
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

    /// Returns whether a new request must let one that waits go first.
    pub(super) fn goes_behind(&self, urgency: Urgency) -> bool {
        let mut waiters = self.waiters.values();
        waiters.any(|waiter| waiter.urgency <= urgency)
    }

    /// Returns whether a waiting request is the first of its line: the most urgent, and of those the one
    /// that is late soonest.
    pub(super) fn is_first(&self, key: WaiterKey) -> bool {
        let waiters = self.waiters.iter();
        let first = waiters.min_by_key(|(key, waiter)| (waiter.urgency, waiter.late_at, *key));
        first.is_some_and(|(first, _)| first == key)
    }

    /// Adds a request and returns its key, if it is expected to be sent before it is late.
    pub(super) fn join(
        &mut self,
        urgency: Urgency,
        late_at: TimeMs,
        now: TimeMs,
    ) -> Option<WaiterKey> {
        let waiters = self.waiters.values();
        let ahead = waiters.filter(|other| (other.urgency, other.late_at) <= (urgency, late_at));
        let expected_ms = (ahead.count() + 1) as f64 * self.work.sent_spacing_ms(now);
        let is_expected = now < late_at && expected_ms <= (late_at.0 - now.0) as f64;
        (is_expected && self.waiters.len() < MAX_WAITING)
            .then(|| self.waiters.insert(Waiter { urgency, late_at }))
    }

    /// Removes a request that is sent or refused, or whose caller left.
    pub(super) fn leave(&mut self, key: WaiterKey) {
        self.waiters.remove(key);
    }

    /// Returns the time after which a refused caller should return. Room is expected for it after all
    /// that return before it and are at least as urgent, at the pace at which requests are sent; the
    /// more requests find no room, the longer. The time is drawn, so that callers that are refused
    /// together return one after the other; it is at most the part of the remaining time that callers
    /// wait.
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
        let spacing_ms = self.work.sent_spacing_ms(now) / self.work.sent_share(now);
        let expected_ms = (ahead.count() + 1) as f64 * spacing_ms;
        let longest_ms = deadline.remaining_ms(now) / RETURN_DIVISOR;
        let limit_ms = (expected_ms as u64).max(MIN_RETURN_MS).min(longest_ms);
        let return_ms = rng.random_range(limit_ms / 2..=limit_ms);
        if self.returns.len() >= MAX_RETURNS {
            // The least urgent is ahead of the fewest, and of those the nearest for the shortest time.
            let returns = self.returns.iter().enumerate();
            let dropped = returns.max_by_key(|(_, (at, urgency))| (*urgency, Reverse(*at)));
            if let Some((dropped, _)) = dropped {
                self.returns.swap_remove(dropped);
            }
        }
        self.returns.push((now.plus_ms(return_ms), urgency));
        return_ms
    }

    /// Returns whether anything in the line still bears on a decision.
    pub(super) fn is_in_use(&self, now: TimeMs) -> bool {
        let is_return_due = self.returns.iter().any(|(at, _)| *at > now);
        !self.is_empty() || is_return_due || self.work.is_recent(now)
    }
}
