//! One node of the driver: its gate and router.

use std::collections::HashMap;

use jacinthpoint_admission::{
    ArrivalOutcome, FinishedAttempt, Gate, GateSettings, QueuedRequest, Refusal, Ticket,
};
use jacinthpoint_routing::{Candidate, Ejector};
use jacinthpoint_types::{Deadline, Priority, TimeMs};
use rand::{SeedableRng, rngs::SmallRng};

use crate::load::{
    arrivals::Arrival,
    routers::{Router, RouterKind},
};

/// Share of a class above which the class counts as shed.
const SHED_SHARE: f64 = 0.5;

/// A node.
pub(crate) struct Node {
    pub(crate) rng: SmallRng,
    pub(crate) in_flight: Vec<u32>,
    pub(crate) flaps: u64,
    ejector: Option<Ejector<usize>>,
    router: Router,
    gate: Option<Gate<usize>>,
    tickets: HashMap<Ticket, usize>,
    waiting: HashMap<usize, Ticket>,
    classes_shed: u32,
}

/// A request that may go, and where it may go to.
pub(crate) struct Go {
    pub(crate) request: usize,
    pub(crate) open: Vec<usize>,
}

impl Node {
    pub(crate) fn new(
        seed: u64,
        router: RouterKind,
        gate: Option<GateSettings>,
        ejects: bool,
        groups: usize,
    ) -> Node {
        Node {
            rng: SmallRng::seed_from_u64(seed),
            in_flight: vec![0; groups],
            flaps: 0,
            ejector: ejects.then(Ejector::new),
            router: router.router(),
            gate: gate.map(|settings| Gate::new(settings, TimeMs(0))),
            tickets: HashMap::new(),
            waiting: HashMap::new(),
            classes_shed: 0,
        }
    }

    pub(crate) fn has_gate(&self) -> bool {
        self.gate.is_some()
    }

    /// Groups that the node does not leave alone.
    pub(crate) fn not_ejected(&self, usable: Vec<usize>, now: TimeMs) -> Vec<usize> {
        match &self.ejector {
            Some(ejector) => ejector.usable(&usable, now),
            None => usable,
        }
    }

    /// Queues a request, or refuses it.
    pub(crate) fn arrive(
        &mut self,
        request: usize,
        arrival: &Arrival,
        deadline: Deadline,
        usable: &[usize],
        now: TimeMs,
    ) -> Result<(), Refusal> {
        let Some(gate) = &mut self.gate else {
            return Ok(());
        };
        let waiting = QueuedRequest {
            organisation: arrival.organisation.clone(),
            priority: arrival.priority,
            deadline,
            cost: arrival.answer_tokens,
        };
        let arrived = gate.arrive(waiting, usable, now, &mut self.rng);
        self.count_flaps();
        match arrived {
            ArrivalOutcome::Queued { ticket, .. } => {
                self.tickets.insert(ticket, request);
                self.waiting.insert(request, ticket);
                Ok(())
            }
            ArrivalOutcome::Refused(refusal) => Err(refusal),
        }
    }

    /// The next request to go, taken off the queue.
    pub(crate) fn next(&mut self, usable: &[usize], now: TimeMs) -> Option<Go> {
        let gate = self.gate.as_mut()?;
        let dispatch = gate.poll(usable, now)?;
        gate.mark_dispatched(&dispatch, now);
        let request = self.tickets.remove(&dispatch.ticket)?;
        self.waiting.remove(&request);
        Some(Go {
            request,
            open: dispatch.groups_with_room,
        })
    }

    /// Takes a request off the queue unserved; `false` if it does not wait.
    pub(crate) fn withdraw(&mut self, request: usize) -> bool {
        let Some(ticket) = self.waiting.remove(&request) else {
            return false;
        };
        self.tickets.remove(&ticket);
        self.gate.as_mut().is_some_and(|gate| gate.withdraw(ticket))
    }

    /// Requests that can no longer make their deadline, taken off the queue.
    pub(crate) fn take_hopeless(&mut self, now: TimeMs) -> Vec<usize> {
        let Some(gate) = &mut self.gate else {
            return Vec::new();
        };
        let hopeless = gate.remove_deadline_unreachable(now).into_iter();
        let requests: Vec<usize> = hopeless
            .filter_map(|ticket| self.tickets.remove(&ticket))
            .collect();
        self.waiting
            .retain(|request, _| !requests.contains(request));
        requests
    }

    pub(crate) fn choose(&mut self, candidates: &[Candidate<usize>], prefix: u64) -> Option<usize> {
        (self.router)(candidates, prefix, &mut self.rng)
    }

    pub(crate) fn start(&mut self, group: usize, priority: Priority, now: TimeMs) {
        self.in_flight[group] += 1;
        if let Some(gate) = &mut self.gate {
            gate.start(&group, priority, now);
        }
    }

    pub(crate) fn on_first_token(
        &mut self,
        group: usize,
        priority: Priority,
        started_at: TimeMs,
        now: TimeMs,
    ) {
        if let Some(gate) = &mut self.gate {
            gate.on_first_token(&group, priority, started_at, now);
        }
    }

    pub(crate) fn finish(&mut self, group: usize, finished: FinishedAttempt, now: TimeMs) {
        self.in_flight[group] -= 1;
        if let Some(ejector) = &mut self.ejector {
            if finished.is_failure {
                ejector.on_failure(&group, now.since_ms(finished.started_at), now);
            } else {
                ejector.on_success(&group);
            }
        }
        if let Some(gate) = &mut self.gate {
            gate.finish(&group, finished, now);
        }
    }

    fn count_flaps(&mut self) {
        let level = self.gate.as_ref().map_or(0.0, Gate::shed_level);
        let classes_shed = (level + 1.0 - SHED_SHARE) as u32;
        self.flaps += u64::from(classes_shed > self.classes_shed);
        self.classes_shed = classes_shed;
    }
}
