//! The owner's side of one slot: what to read and write, and what to answer.
//!
//! Many nodes may believe that they own a slot. Every write is conditional on the version of the
//! page that the decision was made on, so at most one of them writes after any version, and a
//! claim is granted only when its record has been seen in a committed page.

use std::collections::BTreeMap;

use jacinthpoint_types::{AttemptId, Deadline, TimeMs};
use jacinthpoint_wire::{ClaimRequest, ClaimVerdict, KeyOf, ReleaseRequest};

use crate::{
    key::{Bucket, PageName, bucket_of},
    page::{Page, PageVersion, Record},
};

/// After a failed call, requests are refused at once for this long before the next is tried.
const FAIL_FAST_MS: u64 = 500;
/// An idle page is forgotten after this long; it is only a saving of reads.
const FORGET_MS: u64 = 30_000;

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

#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    op: Op,
    bucket: Bucket,
    deadline: Deadline,
}

#[derive(Debug, Default)]
enum Call {
    #[default]
    Idle,
    Reading,
    Writing {
        batch: Vec<Waiting>,
        page: Page,
    },
}

#[derive(Debug)]
struct PageState {
    committed: Option<(PageVersion, Page)>,
    call: Call,
    waiting: Vec<Waiting>,
    write_not_before: TimeMs,
    used_at: TimeMs,
}

/// What the current content of a page says to an operation.
enum Evaluation {
    Verdict(ClaimVerdict),
    NeedsWrite,
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

impl PageState {
    fn new(now: TimeMs) -> PageState {
        PageState {
            committed: None,
            call: Call::Idle,
            waiting: Vec::new(),
            write_not_before: now,
            used_at: now,
        }
    }

    fn is_idle(&self) -> bool {
        matches!(self.call, Call::Idle)
    }

    fn commit(&mut self, version: PageVersion, page: Page) {
        self.committed = Some((version, page));
    }

    /// Answers what can be answered and starts the next call if one is needed and due.
    fn proceed(&mut self, name: PageName, now: TimeMs, batch_ms: u64) -> Vec<Action> {
        if !self.is_idle() {
            return Vec::new();
        }
        let mut actions = self.answer_waiting();
        if self.waiting.is_empty() {
            return actions;
        }
        let Some((expected, page)) = &self.committed else {
            self.call = Call::Reading;
            actions.push(Action::Read { name });
            return actions;
        };
        if now < self.write_not_before {
            return actions;
        }
        let (expected, mut page) = (*expected, page.clone());
        let batch = self.take_batch(&mut page);
        if batch.is_empty() {
            actions.extend(self.refuse_waiting());
            return actions;
        }
        self.write_not_before = now.plus_ms(batch_ms);
        actions.push(Action::Write {
            name,
            expected,
            page: page.clone(),
        });
        self.call = Call::Writing { batch, page };
        actions
    }

    /// Answers whatever the committed page decides.
    fn answer_waiting(&mut self) -> Vec<Action> {
        let Some((_, page)) = &self.committed else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        self.waiting.retain(|waiting| match waiting.evaluate(page) {
            Evaluation::Verdict(verdict) => {
                actions.push(reply(waiting.ticket, verdict));
                false
            }
            Evaluation::NeedsWrite => true,
        });
        actions
    }

    /// Applies waiting operations to `page`. One whose answer depends on another of this batch
    /// waits until that is committed.
    fn take_batch(&mut self, page: &mut Page) -> Vec<Waiting> {
        let mut batch = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let needs_write = matches!(waiting.evaluate(page), Evaluation::NeedsWrite);
            if needs_write && waiting.apply(page) {
                batch.push(waiting);
            } else {
                self.waiting.push(waiting);
            }
        }
        batch
    }

    fn refuse_waiting(&mut self) -> Vec<Action> {
        let refused = std::mem::take(&mut self.waiting);
        refused
            .iter()
            .map(|waiting| reply(waiting.ticket, ClaimVerdict::Unavailable))
            .collect()
    }

    /// Refuses what has reached its deadline. A record already on its way may still be written;
    /// whoever asked no longer dispatches it.
    fn refuse_late(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut keep = |waiting: &Waiting| {
            let is_late = waiting.deadline.has_passed(now);
            if is_late {
                actions.push(reply(waiting.ticket, ClaimVerdict::Unavailable));
            }
            !is_late
        };
        self.waiting.retain(&mut keep);
        if let Call::Writing { batch, .. } = &mut self.call {
            batch.retain(&mut keep);
        }
        actions
    }

    fn next_tick(&self) -> Option<TimeMs> {
        let in_call = match &self.call {
            Call::Writing { batch, .. } => batch.as_slice(),
            Call::Idle | Call::Reading => &[],
        };
        let deadlines = self.waiting.iter().chain(in_call);
        let first = deadlines.map(|waiting| waiting.deadline.0).min()?;
        let can_write = self.is_idle() && !self.waiting.is_empty();
        Some(if can_write {
            first.min(self.write_not_before)
        } else {
            first
        })
    }

    fn is_forgettable(&self, now: TimeMs) -> bool {
        self.is_idle() && self.waiting.is_empty() && now.since_ms(self.used_at) >= FORGET_MS
    }
}

impl Op {
    /// The key that it is about.
    pub fn key(&self) -> &KeyOf {
        match self {
            Op::Claim(request) => &request.key,
            Op::Release(request) => &request.key,
        }
    }

    fn claim(&self) -> AttemptId {
        match self {
            Op::Claim(request) => request.claim,
            Op::Release(request) => request.claim,
        }
    }
}

impl Waiting {
    fn evaluate(&self, page: &Page) -> Evaluation {
        if page.bucket > self.bucket {
            return Evaluation::Verdict(ClaimVerdict::Expired);
        }
        let is_current = page.bucket == self.bucket;
        let record = page.find(self.op.key()).filter(|_| is_current);
        match &self.op {
            Op::Claim(request) => evaluate_claim(request, record),
            Op::Release(_) => match record {
                Some(record) if record.claim == self.op.claim() => Evaluation::NeedsWrite,
                _ => Evaluation::Verdict(ClaimVerdict::Released),
            },
        }
    }

    /// Puts the operation into effect on `page`; `false` if the page has no room.
    fn apply(&self, page: &mut Page) -> bool {
        page.advance(self.bucket);
        match &self.op {
            Op::Claim(_) if page.is_full() => return false,
            Op::Claim(request) => page.put(Record {
                key: request.key.clone(),
                digest: request.digest,
                claim: request.claim,
                runner: request.runner.clone(),
            }),
            Op::Release(request) => page.remove(&request.key),
        }
        true
    }
}

fn evaluate_claim(request: &ClaimRequest, record: Option<&Record>) -> Evaluation {
    let Some(record) = record else {
        return Evaluation::NeedsWrite;
    };
    Evaluation::Verdict(if record.claim == request.claim {
        ClaimVerdict::Granted
    } else if record.digest != request.digest {
        ClaimVerdict::KeyReused
    } else if Some(record.claim) == request.replaces {
        return Evaluation::NeedsWrite;
    } else {
        ClaimVerdict::Held {
            claim: record.claim,
            runner: record.runner.clone(),
        }
    })
}

fn reply(ticket: Ticket, verdict: ClaimVerdict) -> Action {
    Action::Reply { ticket, verdict }
}
