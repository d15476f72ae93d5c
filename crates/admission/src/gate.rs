//! The gate in front of the replica groups of one deployment, on one node.
//!
//! A request arrives, waits in the queue, is dispatched to a group with room, and finishes. The
//! caller passes in the groups that may be used now; the gate keeps no list of its own.

use std::collections::BTreeMap;

use jacinthpoint_types::{Deadline, Priority, TimeMs};
use rand::Rng;

use crate::{gate::drain::Drain, mode::LayerMode};

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

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// Capacity is kept for more important work.
    Shed {
        /// Expected time until such a request would be taken.
        wait_ms: u64,
    },
    /// The deadline would pass before the answer is whole.
    DeadlineUnreachable {
        /// Expected time until the queue has drained.
        wait_ms: u64,
    },
}

/// What became of an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// It waits.
    Queued {
        /// Names it from now on.
        ticket: Ticket,
        /// What a watching layer would have refused it for.
        watched: Option<Refusal>,
    },
    /// It is refused.
    Refused(Refusal),
}

/// The next request to go, and the groups that have room for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch<K> {
    /// The request.
    pub ticket: Ticket,
    /// Its class.
    pub priority: Priority,
    /// Groups to choose from, at least one.
    pub open: Vec<K>,
}

/// The end of an attempt on a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedAttempt {
    /// Class of the request.
    pub priority: Priority,
    /// Time from dispatch to the end.
    pub held_ms: u64,
    /// Whether the group failed it.
    pub is_failure: bool,
}

/// Queue, concurrency limits and shedding for one deployment.
#[derive(Debug)]
pub struct Gate<K> {
    settings: GateSettings,
    queue: WaitQueue,
    limits: BTreeMap<K, ConcurrencyLimit>,
    non_critical_in_flight: u32,
    drain: Drain,
    shedder: Shedder,
}

impl<K: Ord + Clone> Gate<K> {
    /// A gate that has seen nothing.
    pub fn new(settings: GateSettings, now: TimeMs) -> Gate<K> {
        Gate {
            queue: WaitQueue::new(),
            limits: BTreeMap::new(),
            non_critical_in_flight: 0,
            drain: Drain::default(),
            shedder: Shedder::new(settings.shed, now),
            settings,
        }
    }

    /// Takes a request into the queue, or refuses it.
    pub fn arrive(
        &mut self,
        waiting: QueuedRequest,
        usable: &[K],
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> ArrivalOutcome {
        let wait_ms = self.expected_wait_ms(waiting.priority, usable, now);
        let backlog_ms = self.backlog_ms(usable);
        self.shedder.observe(backlog_ms.unwrap_or(0), now);
        let refusals = [
            (
                self.settings.shedding,
                self.check_shed(&waiting, wait_ms, rng),
            ),
            (
                self.settings.deadlines,
                self.check_deadline(&waiting, wait_ms, now),
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
            ticket: self.queue.push(waiting),
        }
    }

    /// The next request to go if a group has room for it.
    pub fn poll(&mut self, usable: &[K]) -> Option<Dispatch<K>> {
        let (ticket, priority) = self.queue.peek()?;
        if !self.has_room_for_class(priority, usable) {
            return None;
        }
        let open: Vec<K> = usable
            .iter()
            .filter(|key| self.has_room(key))
            .cloned()
            .collect();
        (!open.is_empty()).then_some(Dispatch {
            ticket,
            priority,
            open,
        })
    }

    /// Takes a dispatched request off the queue. `false` if it is no longer there.
    pub fn mark_dispatched(&mut self, dispatch: &Dispatch<K>, now: TimeMs) -> bool {
        self.drain.departed(dispatch.priority, now);
        self.queue.remove(dispatch.ticket, true)
    }

    /// Takes a request off the queue unserved. `false` if it is no longer there.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        self.queue.remove(ticket, false)
    }

    /// Takes off the queue what can no longer make its deadline, so that it is refused now and
    /// not when the deadline has passed.
    pub fn remove_deadline_unreachable(&mut self, now: TimeMs) -> Vec<Ticket> {
        let is_enforced = self.settings.deadlines == LayerMode::Enforce;
        let drain = &self.drain;
        let latest = |priority| {
            let needed_ms = if is_enforced {
                drain.short_hold_ms(priority)
            } else {
                0
            };
            Deadline::after_ms(now, needed_ms)
        };
        let hopeless = self.queue.due_before(latest);
        for ticket in &hopeless {
            self.queue.remove(*ticket, false);
        }
        hopeless
    }

    /// Counts an attempt on a group. Later attempts of a request do not queue again.
    pub fn start(&mut self, key: &K, priority: Priority) {
        let settings = self.settings.concurrency;
        let limit = self.limits.entry(key.clone());
        limit
            .or_insert_with(|| ConcurrencyLimit::new(settings))
            .start();
        if priority != Priority::Critical {
            self.non_critical_in_flight += 1;
        }
    }

    /// Takes in the time from dispatch to the first token.
    pub fn on_first_token(&mut self, key: &K, first_token_ms: u64, now: TimeMs) {
        if let Some(limit) = self.limits.get_mut(key) {
            limit.on_first_token(first_token_ms, now);
        }
    }

    /// Ends an attempt on a group.
    pub fn finish(&mut self, key: &K, finished: FinishedAttempt, now: TimeMs) {
        if let Some(limit) = self.limits.get_mut(key) {
            limit.finish(finished.is_failure, now);
        }
        if finished.priority != Priority::Critical {
            self.non_critical_in_flight = self.non_critical_in_flight.saturating_sub(1);
        }
        if !finished.is_failure {
            self.drain.held(finished.priority, finished.held_ms);
        }
    }

    /// Forgets groups that are not usable and have nothing in flight.
    pub fn retain(&mut self, usable: &[K]) {
        self.limits
            .retain(|key, limit| limit.in_flight() > 0 || usable.contains(key));
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Requests that this node may have in flight on the usable groups.
    pub fn capacity(&self, usable: &[K]) -> f64 {
        let limit_of = |key: &K| {
            let limit = self.limits.get(key).map(ConcurrencyLimit::limit);
            limit.unwrap_or(self.settings.concurrency.initial)
        };
        usable.iter().map(limit_of).sum()
    }

    /// Classes shed now, as a level from 0 (none) to 3 (all but the critical one).
    pub fn shed_level(&self) -> f64 {
        self.shedder.level()
    }

    /// Expected wait of a newcomer of a class; `None` while too little is known.
    ///
    /// The longer of two estimates: what is ahead through the capacity of now, and the class's own
    /// line at its own pace.
    pub fn expected_wait_ms(&self, priority: Priority, usable: &[K], now: TimeMs) -> Option<u64> {
        let ahead = self.queue.len_up_to(priority);
        if ahead == 0 {
            return Some(0);
        }
        let through_ms = self
            .drain
            .through_capacity_ms(ahead, self.capacity(usable))?;
        let in_line = self.queue.len_of(priority);
        if in_line == 0 {
            return Some(through_ms);
        }
        let by_departures_ms = self.drain.by_departures_ms(in_line, priority, now);
        Some(through_ms.max(by_departures_ms))
    }

    /// Time in which everything that waits drains; `None` while too little is known.
    pub fn backlog_ms(&self, usable: &[K]) -> Option<u64> {
        let queued = self.queue.len();
        if queued == 0 {
            return Some(0);
        }
        self.drain
            .through_capacity_ms(queued, self.capacity(usable))
    }

    fn has_room(&self, key: &K) -> bool {
        self.settings.concurrency_mode != LayerMode::Enforce
            || self.limits.get(key).is_none_or(ConcurrencyLimit::has_room)
    }

    /// Whether work of this class may use more of the capacity; the rest is kept for the critical
    /// one.
    fn has_room_for_class(&self, priority: Priority, usable: &[K]) -> bool {
        if priority == Priority::Critical || self.settings.reservation != LayerMode::Enforce {
            return true;
        }
        let open_to_all = self.capacity(usable) * (1.0 - self.settings.reserved_share);
        // One is always allowed, or a node with a single slot would serve the critical class only.
        f64::from(self.non_critical_in_flight) < open_to_all.max(1.0)
    }

    fn check_shed(
        &self,
        waiting: &QueuedRequest,
        wait_ms: Option<u64>,
        rng: &mut impl Rng,
    ) -> Option<Refusal> {
        let wait_ms = wait_ms.unwrap_or_default();
        self.shedder
            .should_shed(waiting.priority, rng)
            .then_some(Refusal::Shed { wait_ms })
    }

    /// Refuses what would still be waiting, or be cut in the middle, when its deadline passes.
    fn check_deadline(
        &self,
        waiting: &QueuedRequest,
        wait_ms: Option<u64>,
        now: TimeMs,
    ) -> Option<Refusal> {
        let wait_ms = wait_ms.filter(|wait_ms| *wait_ms > 0)?;
        let needed_ms = wait_ms + self.drain.short_hold_ms(waiting.priority);
        let is_late = needed_ms > waiting.deadline.remaining_ms(now);
        is_late.then_some(Refusal::DeadlineUnreachable { wait_ms })
    }
}
