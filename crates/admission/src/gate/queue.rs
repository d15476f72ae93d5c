//! Requests that wait: by class, then fairly by organisation, then by deadline.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{Deadline, OrganisationId, Priority};
use slotmap::{SlotMap, new_key_type};
use strum::{EnumCount, IntoEnumIterator};

new_key_type! {
    /// Names a request while it waits.
    pub struct Ticket;
}

/// A request that waits.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// Who asks.
    pub organisation: OrganisationId,
    /// In which class.
    pub priority: Priority,
    /// When the answer is no longer wanted.
    pub deadline: Deadline,
    /// What it costs relative to others, such as the tokens it may generate.
    pub cost: u32,
}

/// Requests of one organisation in one class.
#[derive(Debug, Default)]
struct Line {
    /// What the organisation was served in this class, as a place on the clock of the class.
    served: f64,
    waiting: BTreeSet<(Deadline, u64, Ticket)>,
}

/// Requests of one class.
#[derive(Debug, Default)]
struct Class {
    /// Moves on with what is served. An organisation that comes back joins here, so that time
    /// without requests saves up no credit.
    clock: f64,
    lines: BTreeMap<OrganisationId, Line>,
    count: usize,
}

/// The queue.
#[derive(Debug, Default)]
pub struct WaitQueue {
    classes: [Class; Priority::COUNT],
    waiting: SlotMap<Ticket, (QueuedRequest, u64)>,
    pushed: u64,
}

impl WaitQueue {
    /// An empty queue.
    pub fn new() -> WaitQueue {
        WaitQueue::default()
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: QueuedRequest) -> Ticket {
        self.pushed += 1;
        let number = self.pushed;
        let class = &mut self.classes[waiting.priority as usize];
        let (organisation, deadline) = (waiting.organisation.clone(), waiting.deadline);
        let ticket = self.waiting.insert((waiting, number));
        class.push(organisation, (deadline, number, ticket));
        ticket
    }

    /// The request whose turn it is, and its class.
    pub fn peek(&self) -> Option<(Ticket, Priority)> {
        let ticket = self.classes.iter().find_map(Class::peek)?;
        let (waiting, _) = self.waiting.get(ticket)?;
        Some((ticket, waiting.priority))
    }

    /// Removes a request; `false` if it is not there. One that is served counts against its
    /// organisation.
    pub fn remove(&mut self, ticket: Ticket, is_served: bool) -> bool {
        let Some((waiting, number)) = self.waiting.remove(ticket) else {
            return false;
        };
        let class = &mut self.classes[waiting.priority as usize];
        let cost = if is_served { waiting.cost } else { 0 };
        let entry = (waiting.deadline, number, ticket);
        class.remove(&waiting.organisation, &entry, f64::from(cost));
        true
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Requests of each class whose deadline is not after the one that `latest` gives the class.
    pub fn due_before(&self, latest: impl Fn(Priority) -> Deadline) -> Vec<Ticket> {
        let mut due = Vec::new();
        for (class, priority) in self.classes.iter().zip(Priority::iter()) {
            let latest = latest(priority);
            for line in class.lines.values() {
                let early = line.waiting.iter().take_while(|entry| entry.0 <= latest);
                due.extend(early.map(|(_, _, ticket)| *ticket));
            }
        }
        due
    }

    /// Requests that wait in a class.
    pub fn len_of(&self, priority: Priority) -> usize {
        self.classes[priority as usize].count
    }

    /// Requests that wait in a class and the more important ones.
    pub fn len_up_to(&self, priority: Priority) -> usize {
        let classes = &self.classes[..=priority as usize];
        classes.iter().map(|class| class.count).sum()
    }
}

impl Class {
    fn push(&mut self, organisation: OrganisationId, entry: (Deadline, u64, Ticket)) {
        let line = self.lines.entry(organisation).or_default();
        if line.waiting.is_empty() {
            line.served = line.served.max(self.clock);
        }
        line.waiting.insert(entry);
        self.count += 1;
    }

    /// The earliest deadline of the organisation that was served least.
    fn peek(&self) -> Option<Ticket> {
        let waiting = self.lines.values().filter(|line| !line.waiting.is_empty());
        let line = waiting.min_by(|a, b| a.served.total_cmp(&b.served))?;
        line.waiting.first().map(|(_, _, ticket)| *ticket)
    }

    fn remove(&mut self, name: &OrganisationId, entry: &(Deadline, u64, Ticket), cost: f64) {
        let Some(line) = self.lines.get_mut(name) else {
            return;
        };
        if !line.waiting.remove(entry) {
            return;
        }
        self.count -= 1;
        if cost > 0.0 {
            self.clock = self.clock.max(line.served);
            line.served += cost;
        }
        let clock = self.clock;
        // An organisation that waits for nothing and is not ahead of the others needs no memory.
        self.lines
            .retain(|_, line| !line.waiting.is_empty() || line.served > clock);
    }
}
