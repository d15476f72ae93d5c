//! State of one slot at its owner: decides what to read, write and answer.
//!
//! Several nodes may act as owner of the same slot at once, for instance while they disagree on the
//! list of live nodes. Two rules keep them from granting the same key twice. Every write states the
//! page version on which its content is based and takes effect only if the page still has that
//! version, so each version has at most one successor. And a claim is granted only after its record
//! has been seen in a committed page.

use std::collections::BTreeMap;

use jacinthpoint_types::{AttemptId, Deadline, TimeMs};
use jacinthpoint_wire::{ClaimRequest, ClaimVerdict, ReleaseRequest, ScopedKey};

use crate::{
    key::{PageName, bucket_of},
    page::{Page, PageVersion},
    page_state::{Call, PageState, PendingOp, reply},
};

/// Time after a failed call to the store during which operations that need the store are refused at
/// once. After it, the next operation calls the store again.
const FAIL_FAST_MS: u64 = 500;

/// Identifies an operation given to [`SlotLedger::submit`] until it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct Ticket(pub u64);

/// Operation on a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Record a claim, unless another claim holds the key.
    Claim(ClaimRequest),
    /// Remove the record of a claim.
    Release(ReleaseRequest),
}

/// Action that the calling code must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read a page and pass the result to [`SlotLedger::on_read`].
    Read {
        /// The page.
        name: PageName,
    },
    /// Write a page if its version is `expected`, and pass the result to
    /// [`SlotLedger::on_written`].
    Write {
        /// The page.
        name: PageName,
        /// Version of the page on which the new content is based.
        expected: PageVersion,
        /// New content.
        page: Page,
    },
    /// Answer an operation.
    Reply {
        /// Ticket of the operation.
        ticket: Ticket,
        /// The answer.
        verdict: ClaimVerdict,
    },
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// The page and its version; version 0 and an empty page if it does not exist.
    Page(PageVersion, Page),
    /// The store did not answer or refused, or the content is not a valid page.
    Failed,
}

/// Result of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect and gave the page this version.
    Written(PageVersion),
    /// Another write came first; holds the current version and content of the page.
    Conflict(PageVersion, Page),
    /// The write certainly did not take effect.
    NotWritten,
    /// The answer was lost. The write may have taken effect, or may still do so later.
    Ambiguous,
}

/// Holds the pages and pending operations of one slot at its owner.
#[derive(Debug)]
pub struct SlotLedger {
    slot: u16,
    batch_ms: u64,
    pages: BTreeMap<PageName, PageState>,
    /// Set from a failed call to the store until a successful one: time until which new operations
    /// that need the store are refused.
    refuse_until: Option<Deadline>,
}

impl SlotLedger {
    /// Returns a slot that writes each of its pages at most once every `batch_ms`.
    pub fn new(slot: u16, batch_ms: u64) -> SlotLedger {
        SlotLedger {
            slot,
            batch_ms,
            pages: BTreeMap::new(),
            refuse_until: None,
        }
    }

    /// Adds an operation. An [`Action::Reply`], returned by this or a later call, answers it; at
    /// the latest the call of [`SlotLedger::tick`] at `deadline`.
    pub fn submit(
        &mut self,
        now: TimeMs,
        ticket: Ticket,
        op: Op,
        deadline: Deadline,
    ) -> Vec<Action> {
        let Some(bucket) = bucket_of(op.key().key) else {
            return vec![reply(ticket, ClaimVerdict::Unavailable)];
        };
        let name = bucket.page(self.slot);
        let refuses_at_once = self.refuses_at_once(now);
        let state = self
            .pages
            .entry(name)
            .or_insert_with(|| PageState::new(now));
        state.last_used_at = now;
        state.pending.push(PendingOp {
            ticket,
            op,
            bucket,
            deadline,
        });
        if refuses_at_once {
            // Operations whose answer follows from the committed page need no call to the store.
            let mut actions = state.answer_from_committed_page();
            actions.extend(state.refuse_all());
            return actions;
        }
        state.proceed(name, now, self.batch_ms)
    }

    /// Handles the result of a read.
    pub fn on_read(&mut self, now: TimeMs, name: PageName, result: ReadResult) -> Vec<Action> {
        let Some(state) = self.pages.get_mut(&name) else {
            return Vec::new();
        };
        state.call = Call::Idle;
        match result {
            ReadResult::Page(version, page) => {
                state.set_committed(version, page);
                self.refuse_until = None;
                state.proceed(name, now, self.batch_ms)
            }
            ReadResult::Failed => {
                self.refuse_until = Some(Deadline::after_ms(now, FAIL_FAST_MS));
                state.refuse_all()
            }
        }
    }

    /// Handles the result of a write.
    pub fn on_written(&mut self, now: TimeMs, name: PageName, result: WriteResult) -> Vec<Action> {
        let Some(state) = self.pages.get_mut(&name) else {
            return Vec::new();
        };
        let Call::Writing { batch, page } = std::mem::take(&mut state.call) else {
            return Vec::new();
        };
        // Operations stay in their order of arrival: the batch precedes those that arrived during
        // the write.
        state.pending.splice(0..0, batch);
        match result {
            WriteResult::Written(version) => {
                state.set_committed(version, page);
                self.refuse_until = None;
            }
            WriteResult::Conflict(version, current) => {
                state.set_committed(version, current);
                self.refuse_until = None;
            }
            WriteResult::NotWritten => {
                self.refuse_until = Some(Deadline::after_ms(now, FAIL_FAST_MS));
                return state.refuse_all();
            }
            // The page is read again. If the write took effect, the page shows the claims.
            // Otherwise the batch is written again, based on the version read. If the first write
            // still takes effect later, only one of the two can succeed, because both expect the
            // same version.
            WriteResult::Ambiguous => state.committed = None,
        }
        state.proceed(name, now, self.batch_ms)
    }

    /// Starts calls that are due, refuses operations at their deadline and evicts idle pages.
    pub fn tick(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        for (name, state) in &mut self.pages {
            actions.extend(state.refuse_expired(now));
            actions.extend(state.proceed(*name, now, self.batch_ms));
        }
        self.pages.retain(|_, state| !state.is_evictable(now));
        actions
    }

    /// Returns the time at which [`SlotLedger::tick`] must be called next, if any.
    pub fn next_tick(&self) -> Option<TimeMs> {
        self.pages.values().filter_map(PageState::next_tick).min()
    }

    /// Returns whether a new operation that needs the store is refused at once. Such operations
    /// are refused for [`FAIL_FAST_MS`] after a failed call to the store. The next operation after
    /// that calls the store; until a call succeeds, others are refused while one is in progress.
    fn refuses_at_once(&self, now: TimeMs) -> bool {
        let is_calling = || self.pages.values().any(|state| !state.is_idle());
        self.refuse_until
            .is_some_and(|until| !until.has_passed(now) || is_calling())
    }
}

impl Op {
    /// Returns the key of the operation.
    pub fn key(&self) -> &ScopedKey {
        match self {
            Op::Claim(request) => &request.key,
            Op::Release(request) => &request.key,
        }
    }

    /// Returns the claim to record or to remove.
    pub(crate) fn claim(&self) -> AttemptId {
        match self {
            Op::Claim(request) => request.claim,
            Op::Release(request) => request.claim,
        }
    }
}
