//! State of one page at its owner: committed content, call in progress and pending operations.

use jacinthpoint_types::{Deadline, TimeMs};
use jacinthpoint_wire::{ClaimRequest, ClaimVerdict};

use crate::{
    key::{Bucket, PageName},
    page::{Page, PageVersion, Record},
    slot::{Action, Op, Ticket},
};

/// Time after its last use for which an idle page is kept in memory. Keeping it only saves reads.
const IDLE_RETENTION_MS: u64 = 30_000;

/// Operation that has no verdict yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingOp {
    pub(crate) ticket: Ticket,
    pub(crate) op: Op,
    pub(crate) bucket: Bucket,
    pub(crate) deadline: Deadline,
}

/// Call to the store in progress for a page; there is at most one at a time.
#[derive(Debug, Default)]
pub(crate) enum Call {
    #[default]
    Idle,
    Reading,
    Writing {
        batch: Vec<PendingOp>,
        page: Page,
    },
}

/// Holds the state of one page.
#[derive(Debug)]
pub(crate) struct PageState {
    /// Content last seen in the store and its version; `None` if the page must be read.
    pub(crate) committed: Option<(PageVersion, Page)>,
    pub(crate) call: Call,
    pub(crate) pending: Vec<PendingOp>,
    /// Time before which the page is not written again.
    write_not_before: TimeMs,
    pub(crate) last_used_at: TimeMs,
}

/// Result of checking an operation against the content of a page.
enum Evaluation {
    /// The verdict follows from the page.
    Verdict(ClaimVerdict),
    /// The operation must change the page.
    NeedsWrite,
}

impl PageState {
    pub(crate) fn new(now: TimeMs) -> PageState {
        PageState {
            committed: None,
            call: Call::Idle,
            pending: Vec::new(),
            write_not_before: now,
            last_used_at: now,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        matches!(self.call, Call::Idle)
    }

    /// Sets the content last seen in the store.
    pub(crate) fn set_committed(&mut self, version: PageVersion, page: Page) {
        self.committed = Some((version, page));
    }

    /// Answers the operations whose verdict follows from the committed page, and starts a read or
    /// write if one is needed and due.
    pub(crate) fn proceed(&mut self, name: PageName, now: TimeMs, batch_ms: u64) -> Vec<Action> {
        if !self.is_idle() {
            return Vec::new();
        }
        let mut actions = self.answer_from_committed_page();
        if self.pending.is_empty() {
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
            // The page is full, and all pending operations are claims.
            actions.extend(self.refuse_all());
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

    /// Answers the pending operations whose verdict follows from the committed page.
    pub(crate) fn answer_from_committed_page(&mut self) -> Vec<Action> {
        let Some((_, page)) = &self.committed else {
            return Vec::new();
        };
        let mut actions = Vec::new();
        self.pending.retain(|pending| match pending.evaluate(page) {
            Evaluation::Verdict(verdict) => {
                actions.push(reply(pending.ticket, verdict));
                false
            }
            Evaluation::NeedsWrite => true,
        });
        actions
    }

    /// Applies pending operations to `page` and returns them. An operation whose verdict depends on
    /// another one of this batch stays pending until that one is committed. A claim for which the
    /// page has no room stays pending, too.
    fn take_batch(&mut self, page: &mut Page) -> Vec<PendingOp> {
        let mut batch = Vec::new();
        for pending in std::mem::take(&mut self.pending) {
            let needs_write = matches!(pending.evaluate(page), Evaluation::NeedsWrite);
            if needs_write && pending.apply(page) {
                batch.push(pending);
            } else {
                self.pending.push(pending);
            }
        }
        batch
    }

    /// Answers all pending operations with [`ClaimVerdict::Unavailable`].
    pub(crate) fn refuse_all(&mut self) -> Vec<Action> {
        let refused = std::mem::take(&mut self.pending);
        refused
            .iter()
            .map(|pending| reply(pending.ticket, ClaimVerdict::Unavailable))
            .collect()
    }

    /// Answers operations whose deadline has passed with [`ClaimVerdict::Unavailable`]. A write in
    /// progress may still commit the record of such a claim, but its runner no longer dispatches
    /// it.
    pub(crate) fn refuse_expired(&mut self, now: TimeMs) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut keep = |pending: &PendingOp| {
            let is_expired = pending.deadline.has_passed(now);
            if is_expired {
                actions.push(reply(pending.ticket, ClaimVerdict::Unavailable));
            }
            !is_expired
        };
        self.pending.retain(&mut keep);
        if let Call::Writing { batch, .. } = &mut self.call {
            batch.retain(&mut keep);
        }
        actions
    }

    /// Returns the time of the next deadline or due write, or `None` if no operation is pending.
    pub(crate) fn next_tick(&self) -> Option<TimeMs> {
        let in_write = match &self.call {
            Call::Writing { batch, .. } => batch.as_slice(),
            Call::Idle | Call::Reading => &[],
        };
        let deadlines = self.pending.iter().chain(in_write);
        let first = deadlines.map(|pending| pending.deadline.0).min()?;
        let can_write = self.is_idle() && !self.pending.is_empty();
        Some(if can_write {
            first.min(self.write_not_before)
        } else {
            first
        })
    }

    /// Returns whether the page is idle and was last used at least [`IDLE_RETENTION_MS`] ago.
    pub(crate) fn is_evictable(&self, now: TimeMs) -> bool {
        self.is_idle()
            && self.pending.is_empty()
            && now.since_ms(self.last_used_at) >= IDLE_RETENTION_MS
    }
}

impl PendingOp {
    /// Checks the operation against the content of `page`.
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

    /// Applies the operation to `page`. Returns `false` for a claim if the page is full.
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

/// Returns the action that answers an operation.
pub(crate) fn reply(ticket: Ticket, verdict: ClaimVerdict) -> Action {
    Action::Reply { ticket, verdict }
}
