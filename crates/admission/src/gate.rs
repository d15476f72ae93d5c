//! Gate: admits requests of one node to the replica groups of one deployment.
//!
//! A request is queued or refused on arrival, waits in the queue, is dispatched to a group with
//! room, and finishes. The calling code passes in the groups that are usable now; the gate keeps no
//! list of groups.

use std::collections::BTreeMap;

use jacinthpoint_types::{Deadline, Priority, TimeMs};
use rand::Rng;

use crate::{gate::drain::DrainEstimator, mode::LayerMode};

pub use crate::gate::{
    concurrency::{ConcurrencyLimit, ConcurrencySettings},
    queue::{QueuedRequest, Ticket, WaitQueue},
    settings::GateSettings,
    shed::{ShedSettings, Shedder},
};

mod concurrency;
mod drain;
mod queue;
mod settings;
mod shed;

/// Reason for which the gate refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// The request's class is shed to keep capacity for more important classes, or the queue is
    /// full.
    Shed {
        /// Expected time in the queue for such a request, in milliseconds; if the queue is full,
        /// the time in which it drains. 0 if no estimate is possible yet.
        wait_ms: u64,
    },
    /// The deadline would pass before the answer is complete.
    DeadlineUnreachable {
        /// Expected time in the queue for such a request, in milliseconds.
        wait_ms: u64,
    },
}

/// Outcome of a request's arrival at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// The request is queued.
    Queued {
        /// Identifies the request in the queue.
        ticket: Ticket,
        /// Refusal that a layer in watch mode would have given.
        watched: Option<Refusal>,
    },
    /// The request is refused.
    Refused(Refusal),
}

/// Next request to dispatch, and the groups that have room for it. `K` is the key of a group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch<K> {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Priority class of the request.
    pub priority: Priority,
    /// Groups with room, at least one.
    pub groups_with_room: Vec<K>,
}

/// Finished attempt on a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedAttempt {
    /// Priority class of the request.
    pub priority: Priority,
    /// Time of the attempt's start, as given to [`Gate::start`].
    pub started_at: TimeMs,
    /// Whether the attempt delivered a first token.
    pub has_token: bool,
    /// Whether the attempt failed because of the group.
    pub is_failure: bool,
}

/// Queue, concurrency limits and load shedding for one deployment. `K` is the key of a group.
#[derive(Debug)]
pub struct Gate<K> {
    settings: GateSettings,
    queue: WaitQueue,
    limits: BTreeMap<K, ConcurrencyLimit>,
    non_critical_in_flight: u32,
    drain: DrainEstimator,
    shedder: Shedder,
}

impl<K: Ord + Clone> Gate<K> {
    /// Creates a gate with an empty queue.
    pub fn new(settings: GateSettings, now: TimeMs) -> Gate<K> {
        Gate {
            queue: WaitQueue::new(),
            limits: BTreeMap::new(),
            non_critical_in_flight: 0,
            drain: DrainEstimator::default(),
            shedder: Shedder::new(settings.shed, now),
            settings,
        }
    }

    /// Queues a request or refuses it.
    pub fn arrive(
        &mut self,
        request: QueuedRequest,
        usable: &[K],
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> ArrivalOutcome {
        let wait_ms = self.expected_wait_ms(request.priority, usable, now);
        let backlog_ms = self.backlog_ms(usable);
        // Without an estimate, the shed level falls as with an empty queue.
        self.shedder.observe(backlog_ms.unwrap_or(0), now);
        let refusals = [
            (
                self.settings.shedding_mode,
                self.check_shed(&request, wait_ms, rng),
            ),
            (
                self.settings.deadline_mode,
                self.check_deadline(&request, wait_ms, now),
            ),
        ];
        let refusal_in = |wanted: LayerMode| {
            let mut in_mode = refusals.iter().filter(|(mode, _)| *mode == wanted);
            in_mode.find_map(|(_, refusal)| *refusal)
        };
        if let Some(refusal) = refusal_in(LayerMode::Enforce) {
            return ArrivalOutcome::Refused(refusal);
        }
        if self.queue.len() >= self.settings.max_queued {
            let wait_ms = backlog_ms.unwrap_or_default();
            return ArrivalOutcome::Refused(Refusal::Shed { wait_ms });
        }
        ArrivalOutcome::Queued {
            watched: refusal_in(LayerMode::Watch),
            ticket: self.queue.push(request),
        }
    }

    /// Returns the next request to dispatch if a group has room for it.
    pub fn poll(&mut self, usable: &[K], now: TimeMs) -> Option<Dispatch<K>> {
        let (ticket, priority) = self.queue.peek()?;
        if !self.has_room_for_class(priority, usable) {
            return None;
        }
        let groups_with_room: Vec<K> = usable
            .iter()
            .filter(|key| self.has_room(key, priority, now))
            .cloned()
            .collect();
        (!groups_with_room.is_empty()).then_some(Dispatch {
            ticket,
            priority,
            groups_with_room,
        })
    }

    /// Removes a dispatched request from the queue; returns `false` if it is no longer queued.
    pub fn mark_dispatched(&mut self, dispatch: &Dispatch<K>, now: TimeMs) -> bool {
        self.drain.on_dispatched(dispatch.priority, now);
        self.queue.remove(dispatch.ticket, true)
    }

    /// Removes a request from the queue without dispatching it; returns `false` if it is no longer
    /// queued.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket, false)
    }

    /// Removes and returns the queued requests that can no longer meet their deadline, so that they
    /// are refused now and not only when the deadline has passed. If the deadline mode is not
    /// `Enforce`, removes only requests whose deadline has passed.
    pub fn remove_deadline_unreachable(&mut self, now: TimeMs) -> Vec<Ticket> {
        let is_enforced = self.settings.deadline_mode == LayerMode::Enforce;
        let drain = &self.drain;
        let latest_unreachable_deadline = |priority| {
            let needed_ms = if is_enforced {
                drain.short_request_hold_ms(priority)
            } else {
                0
            };
            Deadline::after_ms(now, needed_ms)
        };
        let unreachable = self.queue.with_deadline_up_to(latest_unreachable_deadline);
        for ticket in &unreachable {
            self.queue.remove(*ticket, false);
        }
        unreachable
    }

    /// Records the start of an attempt on a group. A retry is a further attempt; its request is not
    /// queued again.
    pub fn start(&mut self, key: &K, priority: Priority, now: TimeMs) {
        let settings = self.settings.concurrency;
        let limit = self.limits.entry(key.clone());
        limit
            .or_insert_with(|| ConcurrencyLimit::new(settings))
            .start(priority, now);
        if priority != Priority::Critical {
            self.non_critical_in_flight += 1;
        }
    }

    /// Records the first token of an attempt that started at `started_at`.
    pub fn on_first_token(&mut self, key: &K, priority: Priority, started_at: TimeMs, now: TimeMs) {
        if let Some(limit) = self.limits.get_mut(key) {
            limit.on_first_token(started_at, priority, now);
        }
    }

    /// Records the end of an attempt on a group.
    pub fn finish(&mut self, key: &K, finished: FinishedAttempt, now: TimeMs) {
        if let Some(limit) = self.limits.get_mut(key) {
            limit.finish(&finished, now);
        }
        if finished.priority != Priority::Critical {
            self.non_critical_in_flight = self.non_critical_in_flight.saturating_sub(1);
        }
        if !finished.is_failure {
            let hold_ms = now.since_ms(finished.started_at);
            self.drain.on_finished(finished.priority, hold_ms);
        }
    }

    /// Removes the limits of groups that are not usable and have nothing in flight.
    pub fn retain(&mut self, usable: &[K]) {
        self.limits
            .retain(|key, limit| limit.in_flight() > 0 || usable.contains(key));
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of requests that this node may have in flight on the usable groups.
    pub fn capacity(&self, usable: &[K]) -> f64 {
        let limit_of = |key: &K| {
            let limit = self.limits.get(key).map(ConcurrencyLimit::limit);
            limit.unwrap_or(self.settings.concurrency.initial)
        };
        usable.iter().map(limit_of).sum()
    }

    /// Returns the shed level, from 0 (nothing) to 3 (all classes but the critical one).
    pub fn shed_level(&self) -> f64 {
        self.shedder.level()
    }

    /// Returns the expected wait of a request of a class that arrives now: 0 if no queued request is
    /// ahead of it; otherwise `None` until an attempt has finished, or if there is no capacity.
    ///
    /// This is the longer of two estimates: the time in which the current capacity serves all
    /// requests ahead of it, and the time in which the queued requests of its class are dispatched
    /// at the class's recent dispatch rate.
    pub fn expected_wait_ms(&self, priority: Priority, usable: &[K], now: TimeMs) -> Option<u64> {
        let ahead = self.queue.len_up_to(priority);
        if ahead == 0 {
            return Some(0);
        }
        let by_capacity_ms = self
            .drain
            .drain_ms_by_capacity(ahead, self.capacity(usable))?;
        let ahead_in_class = self.queue.len_of(priority);
        if ahead_in_class == 0 {
            return Some(by_capacity_ms);
        }
        let by_dispatch_rate_ms =
            self.drain
                .drain_ms_by_dispatch_rate(ahead_in_class, priority, now);
        Some(by_capacity_ms.max(by_dispatch_rate_ms))
    }

    /// Returns the time in which the whole queue drains: 0 if it is empty; otherwise `None` until an
    /// attempt has finished, or if there is no capacity.
    pub fn backlog_ms(&self, usable: &[K]) -> Option<u64> {
        let queued = self.queue.len();
        if queued == 0 {
            return Some(0);
        }
        self.drain
            .drain_ms_by_capacity(queued, self.capacity(usable))
    }

    fn has_room(&self, key: &K, priority: Priority, now: TimeMs) -> bool {
        let has_room = |limit: &ConcurrencyLimit| limit.has_room(priority, now);
        self.settings.concurrency_mode != LayerMode::Enforce
            || self.limits.get(key).is_none_or(has_room)
    }

    /// Returns whether a request of this class may start without using the capacity that is
    /// reserved for the critical class.
    fn has_room_for_class(&self, priority: Priority, usable: &[K]) -> bool {
        if priority == Priority::Critical || self.settings.reservation_mode != LayerMode::Enforce {
            return true;
        }
        let unreserved = self.capacity(usable) * (1.0 - self.settings.reserved_share);
        // One request is always allowed: otherwise a node with a single slot would serve only the
        // critical class.
        f64::from(self.non_critical_in_flight) < unreserved.max(1.0)
    }

    fn check_shed(
        &self,
        request: &QueuedRequest,
        wait_ms: Option<u64>,
        rng: &mut impl Rng,
    ) -> Option<Refusal> {
        let wait_ms = wait_ms.unwrap_or_default();
        self.shedder
            .should_shed(request.priority, rng)
            .then_some(Refusal::Shed { wait_ms })
    }

    /// Returns the refusal of a request that would still be queued, or only partly answered, when
    /// its deadline passes. Never refuses a request that need not wait or whose wait is unknown.
    fn check_deadline(
        &self,
        request: &QueuedRequest,
        wait_ms: Option<u64>,
        now: TimeMs,
    ) -> Option<Refusal> {
        let wait_ms = wait_ms.filter(|wait_ms| *wait_ms > 0)?;
        let needed_ms = wait_ms + self.drain.short_request_hold_ms(request.priority);
        let is_late = needed_ms > request.deadline.remaining_ms(now);
        is_late.then_some(Refusal::DeadlineUnreachable { wait_ms })
    }
}
