//! One page as its owner sees it: what is committed, what is under way, and who waits.

use jacinthpoint_types::{Deadline, TimeMs};
use jacinthpoint_wire::{ClaimRequest, ClaimVerdict};

use crate::{
    key::{Bucket, PageName},
    page::{Page, PageVersion, Record},
    slot::{Action, Op, Ticket},
};

/// An idle page is forgotten after this long; it is only a saving of reads.
const FORGET_MS: u64 = 30_000;

/// An operation that waits for its verdict.
#[derive(Debug, Clone)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) op: Op,
    pub(crate) bucket: Bucket,
    pub(crate) deadline: Deadline,
}

/// The call to the platform that is under way for a page; at most one at a time.
#[derive(Debug, Default)]
pub(crate) enum Call {
    #[default]
    Idle,
    Reading,
    Writing {
        batch: Vec<Waiting>,
        page: Page,
    },
}

/// One page.
#[derive(Debug)]
pub(crate) struct PageState {
    pub(crate) committed: Option<(PageVersion, Page)>,
    pub(crate) call: Call,
    pub(crate) waiting: Vec<Waiting>,
    write_not_before: TimeMs,
    pub(crate) used_at: TimeMs,
}

/// What the current content of a page says to an operation.
enum Evaluation {
    Verdict(ClaimVerdict),
    NeedsWrite,
}

impl PageState {
    pub(crate) fn new(now: TimeMs) -> PageState {
        PageState {
            committed: None,
            call: Call::Idle,
            waiting: Vec::new(),
            write_not_before: now,
            used_at: now,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.call, Call::Idle)
    }

    pub(crate) fn commit(&mut self, version: PageVersion, page: Page) {
        self.committed = Some((version, page));
    }

    /// Answers what can be answered and starts the next call if one is needed and due.
    pub(crate) fn proceed(&mut self, name: PageName, now: TimeMs, batch_ms: u64) -> Vec<Action> {
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
    pub(crate) fn answer_waiting(&mut self) -> Vec<Action> {
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

    pub(crate) fn refuse_waiting(&mut self) -> Vec<Action> {
        let refused = std::mem::take(&mut self.waiting);
        refused
            .iter()
            .map(|waiting| reply(waiting.ticket, ClaimVerdict::Unavailable))
            .collect()
    }

    /// Refuses what has reached its deadline. A record already on its way may still be written;
    /// whoever asked no longer dispatches it.
    pub(crate) fn refuse_late(&mut self, now: TimeMs) -> Vec<Action> {
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

    pub(crate) fn next_tick(&self) -> Option<TimeMs> {
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

    pub(crate) fn is_forgettable(&self, now: TimeMs) -> bool {
        self.is_idle() && self.waiting.is_empty() && now.since_ms(self.used_at) >= FORGET_MS
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

/// Answers a caller.
pub(crate) fn reply(ticket: Ticket, verdict: ClaimVerdict) -> Action {
    Action::Reply { ticket, verdict }
}
