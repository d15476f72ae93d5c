//! Bounds the memory and the places that connections take, whatever is sent on them.
//!
//! All listeners count what their connections hold in one budget, which the answers of upstreams share
//! ([`crate::buffered`]). When it is short, or all places of a listener are taken, the connections that hold most
//! and progress least are revoked: those that wait for bytes of a request, for a request, or for a caller that
//! does not read. A request that was sent on is never revoked while it runs and its caller
//! reads. Time is passed in.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use jacinthpoint_types::TimeMs;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::Notify;

use crate::buffered::AnswerBuffers;

/// Part of the process's memory that requests and answers may take together.
const BUDGET_DIVISOR: usize = 4;
/// Maximum of the part that answers may take.
const MAX_ANSWER_BYTES: usize = 40 * 1_024 * 1_024;
/// Bytes that a connection may hold even if the budget is used up: a head and body of ordinary length. All
/// connections together hold little then.
const SHORT_BYTES: usize = 8 * 1_024;
/// Time without a byte from which a request counts as stopped, and a connection as idle. A lost packet is repeated
/// by then.
const STALLED_MS: u64 = 1_000;
/// Time after which the rate of a request's bytes is judged.
const RATE_WINDOW_MS: u64 = 2_000;
/// Rate below which a request counts as slow.
const MIN_BYTES_PER_S: u64 = 1_024;
/// Time after which a connection that has ended may be closed for others. By then, its caller has read its answer.
const ENDED_MS: u64 = 200;
/// Time after which a caller that reads nothing of its answer may be cut off for others.
const UNREAD_MS: u64 = 3_000;
/// Memory that a field of a request's head takes beside its text.
const FIELD_BYTES: usize = 160;

/// Returns the memory that a head of this length with this number of fields takes.
#[must_use]
pub fn head_memory(bytes: usize, fields: usize) -> usize {
    bytes + fields * FIELD_BYTES
}

/// The listener that accepted a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Listener {
    /// That for callers.
    Callers,
    /// That for other gateways.
    Peers,
    /// That for readiness checks.
    Readiness,
    /// That for readers of metrics.
    Metrics,
    /// None: a request that another gateway forwards, counted beside its connection.
    Forwarded,
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Activity {
    /// It has ended, and is read so that no answer is lost.
    Ended,
    /// Bytes of a request arrive.
    Receiving,
    /// It waits for a request.
    Idle,
    /// Bytes of an answer wait for the caller.
    Sending,
    /// A whole request runs.
    Working,
}

/// The memory that a connection or a request would take is not there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("too little memory is left for the request")]
pub struct NoMemory;

new_key_type! { struct HolderId; }

/// What is known of a connection, or of one request.
#[derive(Debug)]
struct Holder {
    listener: Listener,
    activity: Cell<Activity>,
    bytes: Cell<usize>,
    /// Time at which the activity began.
    began_at: Cell<TimeMs>,
    /// Bytes that were received since then.
    received_bytes: Cell<u64>,
    /// Time of the last byte that was received or sent.
    progress_at: Cell<TimeMs>,
    is_revoked: Cell<bool>,
    revoked: Notify,
}

impl Holder {
    /// Returns whether its bytes stop, or arrive so slowly that nobody should wait for them.
    fn is_slow(&self, now: TimeMs) -> bool {
        let idle_ms = now.since_ms(self.progress_at.get());
        let age_ms = now.since_ms(self.began_at.get());
        let due_bytes = age_ms * MIN_BYTES_PER_S / 1_000;
        idle_ms >= STALLED_MS || age_ms >= RATE_WINDOW_MS && self.received_bytes.get() < due_bytes
    }

    /// Returns whether its place may be given to a new connection.
    fn yields_place(&self, now: TimeMs) -> bool {
        let idle_ms = now.since_ms(self.progress_at.get());
        match self.activity.get() {
            Activity::Ended => now.since_ms(self.began_at.get()) >= ENDED_MS,
            Activity::Receiving => self.is_slow(now),
            Activity::Idle => idle_ms >= STALLED_MS,
            Activity::Sending => idle_ms >= UNREAD_MS,
            Activity::Working => false,
        }
    }
}

#[derive(Debug)]
struct State {
    max_bytes: usize,
    holders: RefCell<SlotMap<HolderId, Rc<Holder>>>,
    /// Bytes of all holders that are not revoked.
    bytes: Cell<usize>,
    answers: AnswerBuffers,
    revocations: RefCell<BTreeMap<(Listener, Activity), u64>>,
}

/// The budget of a process.
#[derive(Debug, Clone)]
pub struct Memory(Rc<State>);

impl Memory {
    /// Returns the budget of a process that may use this much memory.
    #[must_use]
    pub fn new(memory_mb: usize) -> Memory {
        let max_bytes = memory_mb.saturating_mul(1_024 * 1_024) / BUDGET_DIVISOR;
        Memory(Rc::new(State {
            max_bytes,
            holders: RefCell::default(),
            bytes: Cell::default(),
            answers: AnswerBuffers::new(max_bytes.min(MAX_ANSWER_BYTES)),
            revocations: RefCell::default(),
        }))
    }

    /// Returns the count of the answers that share the budget.
    #[must_use]
    pub fn answers(&self) -> &AnswerBuffers {
        &self.0.answers
    }

    /// Returns the number of bytes that requests hold.
    #[must_use]
    pub fn request_bytes(&self) -> usize {
        self.0.bytes.get()
    }

    /// Begins to count a connection, or a request that is counted by itself.
    #[must_use]
    pub fn open(&self, listener: Listener, activity: Activity, now: TimeMs) -> Account {
        let holder = Rc::new(Holder {
            listener,
            activity: Cell::new(activity),
            bytes: Cell::default(),
            began_at: Cell::new(now),
            received_bytes: Cell::default(),
            progress_at: Cell::new(now),
            is_revoked: Cell::default(),
            revoked: Notify::new(),
        });
        let id = self.0.holders.borrow_mut().insert(holder.clone());
        Account {
            memory: self.clone(),
            id,
            holder,
        }
    }

    /// Returns the number of connections of a listener that are not revoked.
    #[must_use]
    pub fn open_connections(&self, listener: Listener) -> usize {
        let holders = self.0.holders.borrow();
        let open = holders.values();
        let open = open.filter(|holder| holder.listener == listener && !holder.is_revoked.get());
        open.count()
    }

    /// Revokes the connection of a listener whose place is best given to another one; returns whether there is
    /// one.
    pub fn revoke_slow(&self, listener: Listener, now: TimeMs) -> bool {
        self.revoke_first(listener, |holder| holder.yields_place(now))
    }

    /// Revokes a connection of a listener without regard to its progress, unless all have a request that runs;
    /// returns whether there is one.
    pub fn revoke_any(&self, listener: Listener) -> bool {
        self.revoke_first(listener, |holder| {
            holder.activity.get() != Activity::Working
        })
    }

    fn revoke_first(&self, listener: Listener, may_revoke: impl Fn(&Holder) -> bool) -> bool {
        let holders = self.0.holders.borrow();
        let open = holders.values().filter(|holder| {
            holder.listener == listener && !holder.is_revoked.get() && may_revoke(holder)
        });
        let least = open.min_by_key(|holder| (holder.activity.get(), holder.progress_at.get()));
        if let Some(least) = least {
            self.revoke(least);
        }
        least.is_some()
    }

    /// Returns how many connections and requests were revoked so far, by listener and activity.
    #[must_use]
    pub fn revocations(&self) -> BTreeMap<(Listener, Activity), u64> {
        self.0.revocations.borrow().clone()
    }

    /// Returns how many bytes requests may hold. A quarter of the budget is always left to them.
    fn max_request_bytes(&self) -> usize {
        let max = self.0.max_bytes;
        max - self.0.answers.bytes().min(max / 4 * 3)
    }

    fn revoke(&self, holder: &Holder) {
        holder.is_revoked.set(true);
        let key = (holder.listener, holder.activity.get());
        *self.0.revocations.borrow_mut().entry(key).or_default() += 1;
        self.set_total(self.0.bytes.get() - holder.bytes.get());
        holder.revoked.notify_waiters();
    }

    fn set_total(&self, bytes: usize) {
        self.0.bytes.set(bytes);
        self.0.answers.set_request_bytes(bytes);
    }

    /// Revokes requests that arrive until the others fit: those that have stopped first, and the longest of them.
    fn limit(&self, now: TimeMs) {
        while self.0.bytes.get() > self.max_request_bytes() {
            let holders = self.0.holders.borrow();
            let arriving = holders.values().filter(|holder| {
                holder.activity.get() == Activity::Receiving
                    && !holder.is_revoked.get()
                    && holder.bytes.get() > SHORT_BYTES
            });
            let key = |holder: &&Rc<Holder>| (holder.is_slow(now), holder.bytes.get());
            let Some(most) = arriving.max_by_key(key) else {
                return;
            };
            self.revoke(most);
        }
    }
}

/// What one connection holds, counted until dropped.
#[derive(Debug)]
pub struct Account {
    memory: Memory,
    id: HolderId,
    holder: Rc<Holder>,
}

impl Account {
    /// Records what the connection does from now on.
    pub fn set_activity(&self, activity: Activity, now: TimeMs) {
        if self.holder.activity.replace(activity) != activity {
            self.holder.began_at.set(now);
            self.holder.received_bytes.set(0);
            self.holder.progress_at.set(now);
        }
    }

    /// Returns what the connection does.
    #[must_use]
    pub fn activity(&self) -> Activity {
        self.holder.activity.get()
    }

    /// Records that this number of bytes was received.
    pub fn on_received(&self, bytes: usize, now: TimeMs) {
        let received = &self.holder.received_bytes;
        received.set(received.get().saturating_add(bytes as u64));
        self.holder.progress_at.set(now);
    }

    /// Records that bytes were sent.
    pub fn on_sent(&self, now: TimeMs) {
        self.holder.progress_at.set(now);
    }

    /// Returns the number of bytes that the connection holds.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.holder.bytes.get()
    }

    /// Sets the number of bytes that the connection holds. Others may be revoked for them.
    ///
    /// # Errors
    ///
    /// Fails if the connection is revoked, or if nothing else can be and it holds more than a short request.
    pub fn set_bytes(&self, bytes: usize, now: TimeMs) -> Result<(), NoMemory> {
        let before = self.holder.bytes.replace(bytes);
        if self.is_revoked() {
            return Err(NoMemory);
        }
        let memory = &self.memory;
        memory.set_total(memory.0.bytes.get() + bytes - before);
        if bytes <= before {
            return Ok(());
        }
        // This much is always left to requests.
        if memory.0.bytes.get() <= memory.0.max_bytes / 4 {
            return Ok(());
        }
        memory.limit(now);
        let is_over = memory.0.bytes.get() > memory.max_request_bytes();
        if self.is_revoked() || is_over && bytes > SHORT_BYTES {
            return Err(NoMemory);
        }
        Ok(())
    }

    /// Returns whether the connection has to end, since others need what it holds.
    #[must_use]
    pub fn is_revoked(&self) -> bool {
        self.holder.is_revoked.get()
    }

    /// Waits until [`Account::is_revoked`].
    pub async fn revoked(&self) {
        while !self.is_revoked() {
            self.holder.revoked.notified().await;
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let memory = &self.memory;
        memory.0.holders.borrow_mut().remove(self.id);
        if !self.is_revoked() {
            memory.set_total(memory.0.bytes.get() - self.holder.bytes.get());
        }
    }
}
