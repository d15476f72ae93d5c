//! Claim of one request on room at the targets of its model.

use jacinthpoint_types::{Deadline, TimeMs};
use rand::Rng;

use crate::{
    load::Refusal,
    prediction::PromptDemand,
    urgency::{Reserve, RoomLine, Urgency, line::WaiterKey},
};

/// Share of the requests of each urgency for which nothing is kept free, as a multiple of the share of
/// all requests that is served. It is above a quarter, so that every kind, size and organisation is
/// still served at least a quarter as often as all.
const FLOOR_SHARE: f64 = 0.35;

/// Shortest time between two choices of a target for a waiting request: loads change at each exchange
/// with the other gateways.
const MIN_RECHECK_MS: u64 = 25;
/// Longest time after which a request sees whether it has become the first of its line.
const MAX_NOT_FIRST_MS: u64 = 50;
/// Part of the time that the first request of a line has waited after which a target is chosen again, as a
/// divisor. All gateways see room at once, and would fill it at once.
const RECHECK_DIVISOR: u64 = 4;

/// What the choice of a target must keep to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomTerms {
    /// Objective for the first event, from now, in milliseconds.
    pub objective_ms: u64,
    /// What is left to requests that go first.
    pub reserve: Option<Reserve>,
}

/// A request that is not sent yet, with its place in the line if it waits.
#[derive(Debug)]
pub struct RoomClaim {
    urgency: Urgency,
    started: TimeMs,
    deadline: Deadline,
    /// Time from which its first event comes late wherever it is sent.
    late_at: TimeMs,
    /// Whether it goes without regard to others, so that its urgency is not starved.
    is_exempt: bool,
    /// Its key in the line, and since when it waits.
    place: Option<(WaiterKey, TimeMs)>,
}

impl RoomClaim {
    /// Records a request that arrives.
    pub fn new(
        line: &mut RoomLine,
        urgency: Urgency,
        prompt: &PromptDemand<'_>,
        deadline: Deadline,
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> RoomClaim {
        let objective_ms = prompt.first_event_objective_ms;
        line.work
            .on_request(urgency, prompt.prompt_tokens, objective_ms, now);
        // Of the most urgent requests none needs it.
        let is_exempt = line.work.longest_objective_ms(urgency, now) > 0
            && rng.random_bool(FLOOR_SHARE * line.work.sent_share(now));
        RoomClaim {
            urgency,
            started: now,
            deadline,
            // The other half of the objective is needed at the target.
            late_at: now.plus_ms(objective_ms / 2),
            is_exempt,
            place: None,
        }
    }

    /// Returns the request's urgency.
    pub fn urgency(&self) -> Urgency {
        self.urgency
    }

    /// Returns whether the request goes without regard to others.
    pub fn is_exempt(&self) -> bool {
        self.is_exempt
    }

    /// Returns whether the request's first event comes late wherever it is sent.
    pub fn is_late(&self, now: TimeMs) -> bool {
        now >= self.late_at
    }

    /// Returns how long the request has waited; `None` if it does not wait.
    pub fn waited_ms(&self, now: TimeMs) -> Option<u64> {
        self.place.map(|(_, since)| now.since_ms(since))
    }

    /// Returns what the choice of a target must keep to now; `None` if others that wait go first.
    pub fn terms(
        &self,
        line: &RoomLine,
        prompt: &PromptDemand<'_>,
        now: TimeMs,
    ) -> Option<RoomTerms> {
        let urgency = self.urgency;
        let objective_ms = prompt.first_event_objective_ms;
        if self.is_exempt {
            let longest_ms = line.work.longest_objective_ms(urgency, now);
            return Some(RoomTerms {
                objective_ms: objective_ms.max(longest_ms),
                reserve: None,
            });
        }
        let is_next = match self.place {
            Some((key, _)) => line.is_first(key),
            None => !line.goes_behind(urgency),
        };
        is_next.then(|| RoomTerms {
            objective_ms: objective_ms.saturating_sub(now.since_ms(self.started)),
            reserve: line.work.reserve(urgency, now),
        })
    }

    /// Records that no target can be chosen, and returns whether the request waits, or goes on waiting.
    pub fn waits(&mut self, line: &mut RoomLine, refusal: Refusal, now: TimeMs) -> bool {
        // In the other cases the objective is too near already, or nobody knows when there will be room.
        if refusal != Refusal::Reserved {
            return false;
        }
        if self.place.is_some() {
            return !self.is_late(now);
        }
        let key = line.join(self.urgency, self.late_at, now);
        self.place = key.map(|key| (key, now));
        self.place.is_some()
    }

    /// Returns when a target is chosen again for a waiting request, which is not after the time from which it
    /// is refused as late.
    pub fn check_at(&self, line: &RoomLine, now: TimeMs, rng: &mut impl Rng) -> TimeMs {
        let longest_ms = match self.place {
            Some((key, since)) if line.is_first(key) => {
                MIN_RECHECK_MS + now.since_ms(since) / RECHECK_DIVISOR
            }
            // Nobody tells it when the requests before it have gone, and the check costs no choice.
            _ => MAX_NOT_FIRST_MS,
        };
        let check_at = now.plus_ms(rng.random_range(MIN_RECHECK_MS..=longest_ms));
        check_at.min(self.late_at)
    }

    /// Records that the request is sent.
    pub fn on_sent(&mut self, line: &mut RoomLine, now: TimeMs) {
        line.work.on_sent(now);
        self.on_left(line);
    }

    /// Records that the request is refused, or that its caller left.
    pub fn on_left(&mut self, line: &mut RoomLine) {
        if let Some((key, _)) = self.place.take() {
            line.leave(key);
        }
    }

    /// Gives up the place of a refused request, and returns the time after which its caller should return, in
    /// milliseconds.
    pub fn return_ms(&mut self, line: &mut RoomLine, now: TimeMs, rng: &mut impl Rng) -> u64 {
        self.on_left(line);
        line.return_ms(self.urgency, self.deadline, now, rng)
    }
}
