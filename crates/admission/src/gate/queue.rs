//! Queue of requests, ordered by class, then by fairness between organisations, then by deadline.
//!
//! Fairness within a class is start-time fair queueing: each organisation has a virtual start time
//! that advances by the cost of its dispatched requests, and the organisation with the lowest one
//! is next.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{Deadline, OrganisationId, Priority};
use slotmap::{SlotMap, new_key_type};
use strum::{EnumCount, IntoEnumIterator};

new_key_type! {
    /// Identifies a request while it is queued.
    pub struct Ticket;
}

/// Queued request.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Priority class of the request.
    pub priority: Priority,
    /// Time at which the answer must be complete.
    pub deadline: Deadline,
    /// Cost relative to other requests, such as the number of tokens it may generate.
    pub cost: u32,
}

/// Queued requests of one organisation in one class.
#[derive(Debug, Default)]
struct OrganisationQueue {
    /// Virtual start time of the organisation's next request.
    next_start: f64,
    /// Requests by deadline, then by arrival number.
    entries: BTreeSet<(Deadline, u64, Ticket)>,
}

/// Queued requests of one class.
#[derive(Debug, Default)]
struct ClassQueue {
    /// Virtual start time of the last dispatched request. An organisation whose queue was empty
    /// continues here at the earliest, so that it accumulates no credit while it sends nothing.
    virtual_time: f64,
    organisations: BTreeMap<OrganisationId, OrganisationQueue>,
    count: usize,
}

/// Queue of the requests of one gate.
#[derive(Debug, Default)]
pub struct WaitQueue {
    classes: [ClassQueue; Priority::COUNT],
    /// Queued requests and their arrival numbers.
    requests: SlotMap<Ticket, (QueuedRequest, u64)>,
    /// Number of requests pushed so far, which is the arrival number of the last one.
    pushed: u64,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new() -> WaitQueue {
        WaitQueue::default()
    }

    /// Adds a request.
    pub fn push(&mut self, request: QueuedRequest) -> Ticket {
        self.pushed += 1;
        let number = self.pushed;
        let class = &mut self.classes[request.priority as usize];
        let (organisation, deadline) = (request.organisation.clone(), request.deadline);
        let ticket = self.requests.insert((request, number));
        class.push(organisation, (deadline, number, ticket));
        ticket
    }

    /// Returns the next request to dispatch, and its class.
    pub fn peek(&self) -> Option<(Ticket, Priority)> {
        let ticket = self.classes.iter().find_map(ClassQueue::peek)?;
        let (request, _) = self.requests.get(ticket)?;
        Some((ticket, request.priority))
    }

    /// Removes a request; returns `false` if it is not queued. The cost of a dispatched request is
    /// charged to its organisation.
    pub fn remove(&mut self, ticket: Ticket, is_dispatched: bool) -> bool {
        let Some((request, number)) = self.requests.remove(ticket) else {
            return false;
        };
        let class = &mut self.classes[request.priority as usize];
        let cost = if is_dispatched { request.cost } else { 0 };
        let entry = (request.deadline, number, ticket);
        class.remove(&request.organisation, &entry, f64::from(cost));
        true
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns the requests whose deadline is at or before the time that `latest` returns for their
    /// class.
    pub fn with_deadline_up_to(&self, latest: impl Fn(Priority) -> Deadline) -> Vec<Ticket> {
        let mut tickets = Vec::new();
        for (class, priority) in self.classes.iter().zip(Priority::iter()) {
            let latest = latest(priority);
            for queue in class.organisations.values() {
                let early = queue.entries.iter().take_while(|entry| entry.0 <= latest);
                tickets.extend(early.map(|(_, _, ticket)| *ticket));
            }
        }
        tickets
    }

    /// Returns the number of queued requests of a class.
    pub fn len_of(&self, priority: Priority) -> usize {
        self.classes[priority as usize].count
    }

    /// Returns the number of queued requests of a class and all more important ones.
    pub fn len_up_to(&self, priority: Priority) -> usize {
        let classes = &self.classes[..=priority as usize];
        classes.iter().map(|class| class.count).sum()
    }
}

impl ClassQueue {
    fn push(&mut self, organisation: OrganisationId, entry: (Deadline, u64, Ticket)) {
        let queue = self.organisations.entry(organisation).or_default();
        if queue.entries.is_empty() {
            queue.next_start = queue.next_start.max(self.virtual_time);
        }
        queue.entries.insert(entry);
        self.count += 1;
    }

    /// Returns the request with the earliest deadline of the organisation with the lowest virtual
    /// start time.
    fn peek(&self) -> Option<Ticket> {
        let waiting = self
            .organisations
            .values()
            .filter(|queue| !queue.entries.is_empty());
        let next = waiting.min_by(|a, b| a.next_start.total_cmp(&b.next_start))?;
        next.entries.first().map(|(_, _, ticket)| *ticket)
    }

    /// Removes an entry and charges `cost` to its organisation. `cost` is 0 for a request that was
    /// not dispatched.
    fn remove(&mut self, name: &OrganisationId, entry: &(Deadline, u64, Ticket), cost: f64) {
        let Some(queue) = self.organisations.get_mut(name) else {
            return;
        };
        if !queue.entries.remove(entry) {
            return;
        }
        self.count -= 1;
        if cost > 0.0 {
            self.virtual_time = self.virtual_time.max(queue.next_start);
            queue.next_start += cost;
        }
        let virtual_time = self.virtual_time;
        // An empty queue whose next start is not after the virtual time behaves like a new one and
        // is removed.
        self.organisations
            .retain(|_, queue| !queue.entries.is_empty() || queue.next_start > virtual_time);
    }
}
