//! The owner's side: carries out what the slots decide.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded, unbounded};
use jacinthpoint_ledger::{
    Action, Op, Page, PageName, PageVersion, ReadResult, SLOTS, SlotLedger, Ticket, WriteResult,
    slot_of,
};
use jacinthpoint_platform::{Object, PlatformError, Version};
use jacinthpoint_types::{Deadline, TimeMs};
use jacinthpoint_wire::{ClaimVerdict, ReleaseRequest};
use serde_json::Value;

use crate::{events::log_event, ledger::client::release, shared::Shared};

/// Kind of the pages in the platform's store.
const LEDGER_KIND: &str = "ledger";
/// How often idle pages are looked at, and the threads look whether the node stops.
const IDLE_TICK_MS: u64 = 500;

/// Claims that wait to be taken back.
const MAX_QUEUED_RELEASES: usize = 1_000;

/// A slot with the callers that wait for it.
struct Slot {
    ledger: SlotLedger,
    waiting: BTreeMap<Ticket, Sender<ClaimVerdict>>,
}

/// The slots of this node. Any node can serve any slot; the ranking only decides who is asked.
pub(crate) struct SlotOwner {
    slots: Vec<Mutex<Slot>>,
    next_ticket: AtomicU64,
    store_calls: (Sender<Action>, Receiver<Action>),
    timer_wake: (Sender<()>, Receiver<()>),
    releases: (Sender<ReleaseRequest>, Receiver<ReleaseRequest>),
}

impl SlotOwner {
    pub(crate) fn new(batch_ms: u64) -> SlotOwner {
        let slot = |number| {
            Mutex::new(Slot {
                ledger: SlotLedger::new(number, batch_ms),
                waiting: BTreeMap::new(),
            })
        };
        SlotOwner {
            slots: (0..SLOTS).map(slot).collect(),
            next_ticket: AtomicU64::new(0),
            store_calls: unbounded(),
            timer_wake: bounded(1),
            releases: bounded(MAX_QUEUED_RELEASES),
        }
    }

    /// Runs an operation to its verdict, at most until `deadline`.
    pub(crate) fn run(&self, shared: &Shared, op: Op, deadline: Deadline) -> ClaimVerdict {
        let number = slot_of(op.key());
        let ticket = Ticket(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = bounded(1);
        let now = shared.now();
        let mut slot = self.slot(number);
        slot.waiting.insert(ticket, sender);
        let actions = slot.ledger.submit(now, ticket, op, deadline);
        self.perform(&mut slot, actions);
        drop(slot);
        // Full means that the timer is already about to look.
        let _ = self.timer_wake.0.try_send(());
        let wait = Duration::from_millis(deadline.remaining_ms(now) + IDLE_TICK_MS);
        receiver
            .recv_timeout(wait)
            .unwrap_or(ClaimVerdict::Unavailable)
    }

    /// Takes a claim back after its caller has been answered. If this fails, resends learn from
    /// this node that the claim never ran.
    pub(crate) fn release_later(&self, request: ReleaseRequest) {
        let _ = self.releases.0.try_send(request);
    }

    fn slot(&self, number: u16) -> MutexGuard<'_, Slot> {
        let slot = &self.slots[usize::from(number % SLOTS)];
        slot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn perform(&self, slot: &mut Slot, actions: Vec<Action>) {
        for action in actions {
            if let Action::Reply { ticket, verdict } = action {
                // Nobody waits any more if the asker's time has run out.
                if let Some(sender) = slot.waiting.remove(&ticket) {
                    let _ = sender.send(verdict);
                }
            } else {
                // The receiver lives as long as the sender.
                let _ = self.store_calls.0.send(action);
            }
        }
    }

    /// Lets due slots go on, and tells when the next is due.
    fn tick(&self, now: TimeMs) -> Option<TimeMs> {
        let mut next: Option<TimeMs> = None;
        for number in 0..SLOTS {
            let mut slot = self.slot(number);
            let actions = slot.ledger.tick(now);
            self.perform(&mut slot, actions);
            if let Some(due) = slot.ledger.next_tick() {
                next = Some(next.map_or(due, |next| next.min(due)));
            }
        }
        next
    }
}

/// Lets the slots go on when their time has come, until the node stops.
pub(crate) fn run_timer(shared: &Shared) {
    let owner = &shared.ledger;
    while !shared.is_stopped() {
        let now = shared.now();
        let next = owner.tick(now);
        let wait_ms = next.map_or(IDLE_TICK_MS, |next| next.since_ms(now).min(IDLE_TICK_MS));
        // At least a millisecond, the step of the clock.
        let wait = Duration::from_millis(wait_ms.max(1));
        let _ = owner.timer_wake.1.recv_timeout(wait);
    }
}

/// Takes claims back until the node stops.
pub(crate) fn run_releases(shared: &Shared) {
    let releases = &shared.ledger.releases.1;
    while !shared.is_stopped() {
        let wait = Duration::from_millis(IDLE_TICK_MS);
        if let Ok(request) = releases.recv_timeout(wait) {
            release(shared, &request);
        }
    }
}

/// Makes calls to the platform, one at a time, until the node stops.
pub(crate) fn run_worker(shared: &Shared) {
    let owner = &shared.ledger;
    while !shared.is_stopped() {
        let wait = Duration::from_millis(IDLE_TICK_MS);
        match owner.store_calls.1.recv_timeout(wait) {
            Ok(Action::Read { name }) => {
                let result = read(shared, name);
                let mut slot = owner.slot(name.slot);
                let actions = slot.ledger.on_read(shared.now(), name, result);
                owner.perform(&mut slot, actions);
            }
            Ok(Action::Write {
                name,
                expected,
                page,
            }) => {
                let result = write(shared, name, expected, &page);
                let mut slot = owner.slot(name.slot);
                let actions = slot.ledger.on_written(shared.now(), name, result);
                owner.perform(&mut slot, actions);
            }
            Ok(Action::Reply { .. }) | Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        }
        let _ = owner.timer_wake.0.try_send(());
    }
}

fn read(shared: &Shared, name: PageName) -> ReadResult {
    match shared.platform.get(LEDGER_KIND, &name.to_string()) {
        Ok(Some(object)) => match parse_page(object) {
            Some((version, page)) => ReadResult::Page(version, page),
            None => ReadResult::Failed,
        },
        Ok(None) => ReadResult::Page(PageVersion(0), Page::default()),
        Err(error) => {
            log_event!(warn, LedgerFailed, %name, %error, "page not read");
            ReadResult::Failed
        }
    }
}

fn write(shared: &Shared, name: PageName, expected: PageVersion, page: &Page) -> WriteResult {
    let expected = Version(expected.0);
    let written = shared
        .platform
        .update(LEDGER_KIND, &name.to_string(), expected, page);
    match written {
        Ok(version) => WriteResult::Written(PageVersion(version.0)),
        Err(PlatformError::Conflict { current }) => {
            log_event!(debug, LedgerConflict, %name, version = %current.version, "written first");
            match parse_page(*current) {
                Some((version, page)) => WriteResult::Conflict(version, page),
                None => WriteResult::NotWritten,
            }
        }
        Err(error) => {
            log_event!(warn, LedgerFailed, %name, %error, "page not written");
            if error.is_ambiguous() {
                WriteResult::Ambiguous
            } else {
                WriteResult::NotWritten
            }
        }
    }
}

/// The page in an object; `None` if this release cannot read it.
fn parse_page(object: Object) -> Option<(PageVersion, Page)> {
    let version = PageVersion(object.version.0);
    let page = match object.value {
        Value::Null => Page::default(),
        value => serde_json::from_value(value).ok()?,
    };
    Some((version, page))
}
