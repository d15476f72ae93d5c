//! Owner side of the records of requests with an idempotency key. The records are divided into
//! slots by key. This module runs operations on slots and performs the store calls that the slots
//! request.

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

/// Kind of the platform's objects that hold the pages. A page holds a part of a slot's records and
/// is one object.
const LEDGER_KIND: &str = "ledger";
/// Maximum wait of the ledger's threads. After it, the timer ticks all slots, and every thread
/// checks for the node's stop.
const IDLE_TICK_MS: u64 = 500;

/// Maximum number of claims queued for release.
const MAX_QUEUED_RELEASES: usize = 1_000;

/// Holds a slot and the operations that wait for a verdict.
struct Slot {
    ledger: SlotLedger,
    waiting: BTreeMap<Ticket, Sender<ClaimVerdict>>,
}

/// Holds all slots. Any node can serve any slot; the ranking only decides which node is asked.
pub(crate) struct SlotOwner {
    slots: Vec<Mutex<Slot>>,
    next_ticket: AtomicU64,
    /// Reads and writes that wait for a worker thread.
    store_calls: (Sender<Action>, Receiver<Action>),
    /// Wakes the timer thread early.
    timer_wake: (Sender<()>, Receiver<()>),
    /// Claims to release.
    releases: (Sender<ReleaseRequest>, Receiver<ReleaseRequest>),
}

impl SlotOwner {
    /// Returns an owner whose pages are written at most once per `batch_ms`.
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

    /// Runs an operation and returns its verdict. The slot should reply by `deadline`. If no reply
    /// has arrived `IDLE_TICK_MS` later, the result is [`ClaimVerdict::Unavailable`].
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
        // If the channel is full, the timer has a pending wake-up.
        let _ = self.timer_wake.0.try_send(());
        // The margin allows for a timer that ticks the slot after the deadline.
        let wait = Duration::from_millis(deadline.remaining_ms(now) + IDLE_TICK_MS);
        receiver
            .recv_timeout(wait)
            .unwrap_or(ClaimVerdict::Unavailable)
    }

    /// Queues a claim for release, so that the caller's answer does not wait for it. If the queue
    /// is full or the release fails, the record stays; a resend then queries this node, whose run
    /// table shows that the claim never ran.
    pub(crate) fn release_later(&self, request: ReleaseRequest) {
        let _ = self.releases.0.try_send(request);
    }

    fn slot(&self, number: u16) -> MutexGuard<'_, Slot> {
        let slot = &self.slots[usize::from(number % SLOTS)];
        slot.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends replies to the waiting operations and queues the store calls.
    fn perform(&self, slot: &mut Slot, actions: Vec<Action>) {
        for action in actions {
            if let Action::Reply { ticket, verdict } = action {
                // The receiver is gone if the wait of the operation has timed out.
                if let Some(sender) = slot.waiting.remove(&ticket) {
                    let _ = sender.send(verdict);
                }
            } else {
                // Cannot fail: this struct holds the receiver as well as the sender.
                let _ = self.store_calls.0.send(action);
            }
        }
    }

    /// Ticks all slots. Returns the earliest time at which one must be ticked again, if any.
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

/// Ticks all slots until the node stops: when one must be ticked, when the timer is woken early,
/// and after `IDLE_TICK_MS` at the latest.
pub(crate) fn run_timer(shared: &Shared) {
    let owner = &shared.ledger;
    while !shared.is_stopped() {
        let now = shared.now();
        let next = owner.tick(now);
        let wait_ms = next.map_or(IDLE_TICK_MS, |next| next.since_ms(now).min(IDLE_TICK_MS));
        // At least 1 ms, the resolution of the clock.
        let wait = Duration::from_millis(wait_ms.max(1));
        let _ = owner.timer_wake.1.recv_timeout(wait);
    }
}

/// Releases queued claims until the node stops.
pub(crate) fn run_releases(shared: &Shared) {
    let releases = &shared.ledger.releases.1;
    while !shared.is_stopped() {
        let wait = Duration::from_millis(IDLE_TICK_MS);
        if let Ok(request) = releases.recv_timeout(wait) {
            release(shared, &request);
        }
    }
}

/// Performs queued store calls, one at a time, until the node stops. Several workers run in
/// parallel.
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

/// Reads a page from the platform. A missing page is returned as an empty page of version 0.
fn read(shared: &Shared, name: PageName) -> ReadResult {
    match shared.platform.get(LEDGER_KIND, &name.to_string()) {
        Ok(Some(object)) => match parse_page(object) {
            Some((version, page)) => ReadResult::Page(version, page),
            None => ReadResult::Failed,
        },
        Ok(None) => ReadResult::Page(PageVersion(0), Page::default()),
        Err(error) => {
            log_event!(warn, LedgerFailed, %name, %error, "cannot read the page");
            ReadResult::Failed
        }
    }
}

/// Writes a page to the platform if its version is still `expected`.
fn write(shared: &Shared, name: PageName, expected: PageVersion, page: &Page) -> WriteResult {
    let expected = Version(expected.0);
    let written = shared
        .platform
        .update(LEDGER_KIND, &name.to_string(), expected, page);
    match written {
        Ok(version) => WriteResult::Written(PageVersion(version.0)),
        Err(PlatformError::Conflict { current }) => {
            log_event!(
                debug, LedgerConflict, %name, version = %current.version,
                "another owner wrote the page first"
            );
            match parse_page(*current) {
                Some((version, page)) => WriteResult::Conflict(version, page),
                None => WriteResult::NotWritten,
            }
        }
        Err(error) => {
            log_event!(warn, LedgerFailed, %name, %error, "cannot write the page");
            if error.is_ambiguous() {
                WriteResult::Ambiguous
            } else {
                WriteResult::NotWritten
            }
        }
    }
}

/// Parses the page in an object. Returns `None` if this version of the program cannot read its
/// format.
fn parse_page(object: Object) -> Option<(PageVersion, Page)> {
    let version = PageVersion(object.version.0);
    let page = match object.value {
        // A conflict with an object that does not exist is reported with the value null.
        Value::Null => Page::default(),
        value => serde_json::from_value(value).ok()?,
    };
    Some((version, page))
}
