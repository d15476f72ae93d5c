//! The owner's side of one slot: what to read and write, and what to answer.
//!
//! Many nodes may believe that they own a slot. Every write is conditional on the version of the
//! page that the decision was made on, so at most one of them writes after any version, and a
//! claim is granted only when its record has been seen in a committed page.

use std::collections::BTreeMap;

use jacinthpoint_types::{AttemptId, Deadline, TimeMs};
use jacinthpoint_wire::{ClaimRequest, ClaimVerdict, ReleaseRequest, ScopedKey};

use crate::{
    key::{PageName, bucket_of},
    page::{Page, PageVersion},
    page_state::{Call, PageState, Waiting, reply},
};

/// After a failed call, requests are refused at once for this long before the next is tried.
const FAIL_FAST_MS: u64 = 500;

/// Names a caller of [`SlotLedger::submit`] until it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct Ticket(pub u64);

/// What is asked of the slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Op {
    /// Record a claim, unless another holds the key.
    Claim(ClaimRequest),
    /// Take a claim out.
    Release(ReleaseRequest),
}

/// What the shell must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read a page and hand the result to [`SlotLedger::on_read`].
    Read {
        /// The page.
        name: PageName,
    },
    /// Write a page if its version is `expected`, and hand the result to
    /// [`SlotLedger::on_written`].
    Write {
        /// The page.
        name: PageName,
        /// Version on which the content was decided.
        expected: PageVersion,
        /// New content.
        page: Page,
    },
    /// Answer a caller.
    Reply {
        /// Who.
        ticket: Ticket,
        /// The answer.
        verdict: ClaimVerdict,
    },
}

/// What came of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult {
    /// The page; version 0 and empty if it does not exist.
    Page(PageVersion, Page),
    /// No answer, a refusal, or a page that cannot be read.
    Failed,
}

/// What came of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect and gave the page this version.
    Written(PageVersion),
    /// Another write came first; this is the page now.
    Conflict(PageVersion, Page),
    /// It certainly did not take effect.
    NotWritten,
    /// The answer was lost; it may have taken effect, or may yet.
    Ambiguous,
}

/// One slot as its owner sees it.
#[derive(Debug)]
pub struct SlotLedger {
    slot: u16,
    batch_ms: u64,
    pages: BTreeMap<PageName, PageState>,
    failing_until: Option<Deadline>,
}

impl SlotLedger {
    /// A slot whose pages are written at most once every `batch_ms` each.
    pub fn new(slot: u16, batch_ms: u64) -> SlotLedger {
        SlotLedger {
            slot,
            batch_ms,
            pages: BTreeMap::new(),
            failing_until: None,
        }
    }

    /// Takes in an operation; it is answered by a later [`Action::Reply`], at `deadline` at the
    /// latest if [`SlotLedger::tick`] is called then.
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
        let fails_fast = self.fails_fast(now);
        let state = self
            .pages
            .entry(name)
            .or_insert_with(|| PageState::new(now));
        state.used_at = now;
        state.waiting.push(Waiting {
            ticket,
            op,
            bucket,
            deadline,
        });
        if fails_fast {
            // What the committed page answers needs no platform.
            let mut actions = state.answer_waiting();
            actions.extend(state.refuse_waiting());
            return actions;
        }
        state.proceed(name, now, self.batch_ms)
    }

    /// Takes in the result of a read.
    pub fn on_read(&mut self, now: TimeMs, name: PageName, result: ReadResult) -> Vec<Action> {
        let Some(state) = self.pages.get_mut(&name) else {
            return Vec::new();
        };
        state.call = Call::Idle;
        match result {
            ReadResult::Page(version, page) => {
                state.commit(version, page);
                self.failing_until = None;
                state.proceed(name, now, self.batch_ms)
            }
            ReadResult::Failed => {
                self.failing_until = Some(Deadline::after_ms(now, FAIL_FAST_MS));
                state.refuse_waiting()
            }
        }
    }

    /// Takes in the result of a write.
    pub fn on_written(&mut self, now: TimeMs, name: PageName, result: WriteResult) -> Vec<Action> {
        let Some(state) = self.pages.get_mut(&name) else {
            return Vec::new();
        };
        let Call::Writing { batch, page } = std::mem::take(&mut state.call) else {
            return Vec::new();
        };
        // In the order of arrival, and before those that came while the write was on its way.
        state.waiting.splice(0..0, batch);
        match result {
            WriteResult::Written(version) => {
                state.commit(version, page);
                self.failing_until = None;
            }
            WriteResult::Conflict(version, current) => {
                state.commit(version, current);
                self.failing_until = None;
            }
            WriteResult::NotWritten => {
                self.failing_until = Some(Deadline::after_ms(now, FAIL_FAST_MS));
                return state.refuse_waiting();
            }
            // The read shows the claims if the write took effect. If it did not, or will only
            // later, another write on the version read settles it: one of the two conflicts.
            WriteResult::Ambiguous => state.committed = None,
        }
        state.proceed(name, now, self.batch_ms)
    }

    /// Sends what is due, refuses what has waited too long and forgets idle pages.
    pub fn tick(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        for (name, state) in &mut self.pages {
            actions.extend(state.refuse_late(now));
            actions.extend(state.proceed(*name, now, self.batch_ms));
        }
        self.pages.retain(|_, state| !state.is_forgettable(now));
        actions
    }

    /// When [`SlotLedger::tick`] is next needed.
    pub fn next_tick(&self) -> Option<TimeMs> {
        self.pages.values().filter_map(PageState::next_tick).min()
    }

    fn fails_fast(&self, now: TimeMs) -> bool {
        let is_calling = || self.pages.values().any(|state| !state.is_idle());
        self.failing_until
            .is_some_and(|until| !until.has_passed(now) || is_calling())
    }
}

impl Op {
    /// The key that it is about.
    pub fn key(&self) -> &ScopedKey {
        match self {
            Op::Claim(request) => &request.key,
            Op::Release(request) => &request.key,
        }
    }

    pub(crate) fn claim(&self) -> AttemptId {
        match self {
            Op::Claim(request) => request.claim,
            Op::Release(request) => request.claim,
        }
    }
}
