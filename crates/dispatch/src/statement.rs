//! What upstreams state of themselves in their answers: that they leave, or want no requests for a time.
//!
//! The store tells that an upstream leaves, too, but it may be behind or out of reach, and it does not
//! know of a pause. A statement holds for one life of an upstream: it ends when the view has another start
//! time, which may be lower, since the clock of a machine may have been set back in between. The view does
//! not go back to an earlier life by itself: it is ordered by the store's revisions.

use std::collections::BTreeMap;

use jacinthpoint_types::{Deadline, TimeMs, VmId};

/// Longest pause that is believed. A longer one is most likely a wrong unit.
const MAX_PAUSE_MS: u64 = 300_000;
/// Number of statements above which those of upstreams that are gone are dropped.
const MAX_STATEMENTS: usize = 4_096;

/// What one life of an upstream stated.
#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Start time of that life, in Unix milliseconds; 0 if it was not known.
    started_unix_ms: u64,
    is_leaving: bool,
    paused_until: Option<Deadline>,
}

/// Lives of an upstream around an answer, each as its start time in Unix milliseconds; 0 if it is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnsweringLife {
    /// Life to which the request was sent.
    pub asked_unix_ms: u64,
    /// Life that the view has when the answer is read.
    pub listed_unix_ms: u64,
}

/// Statements of all upstreams, as one gateway got them.
#[derive(Debug, Default)]
pub struct UpstreamStatements(BTreeMap<VmId, Statement>);

impl UpstreamStatements {
    /// Returns the statement of the life that answered; `None` if the upstream has started again since,
    /// or if that cannot be told.
    fn of_life(&mut self, upstream: &VmId, life: AnsweringLife) -> Option<&mut Statement> {
        self.on_life(upstream, life.listed_unix_ms);
        let started_unix_ms = match life.listed_unix_ms {
            0 => life.asked_unix_ms,
            listed => listed,
        };
        let blank = Statement {
            started_unix_ms,
            is_leaving: false,
            paused_until: None,
        };
        let statement = self.0.entry(upstream.clone()).or_insert(blank);
        if statement.started_unix_ms == 0 {
            statement.started_unix_ms = started_unix_ms;
        }
        let is_same = [0, statement.started_unix_ms].contains(&life.asked_unix_ms);
        is_same.then_some(statement)
    }

    /// Records that an upstream leaves. Returns whether that is new.
    pub fn on_leaving(&mut self, upstream: &VmId, life: AnsweringLife) -> bool {
        let statement = self.of_life(upstream, life);
        statement.is_some_and(|statement| !std::mem::replace(&mut statement.is_leaving, true))
    }

    /// Records that an upstream wants no requests for `pause_ms`, at most five minutes. Of several
    /// pauses, the one that ends last holds. Returns its end if that changed.
    pub fn on_pause(
        &mut self,
        upstream: &VmId,
        life: AnsweringLife,
        pause_ms: u64,
        now: TimeMs,
    ) -> Option<Deadline> {
        let until = Deadline::after_ms(now, pause_ms.min(MAX_PAUSE_MS));
        let statement = self.of_life(upstream, life)?;
        let is_later = statement.paused_until.is_none_or(|known| known.0 < until.0);
        is_later.then(|| *statement.paused_until.insert(until))
    }

    /// Applies the start time of an upstream, as the view has it, 0 if it is not known: another life
    /// has stated nothing yet.
    pub fn on_life(&mut self, upstream: &VmId, started_unix_ms: u64) {
        let Some(known) = self.0.get_mut(upstream) else {
            return;
        };
        if known.started_unix_ms == 0 {
            known.started_unix_ms = started_unix_ms;
        } else if ![0, known.started_unix_ms].contains(&started_unix_ms) {
            self.0.remove(upstream);
        }
    }

    /// Drops the statements of upstreams that are not known, if there are too many.
    pub fn limit(&mut self, is_known: impl Fn(&VmId) -> bool) {
        if self.0.len() > MAX_STATEMENTS {
            self.0.retain(|upstream, _| is_known(upstream));
        }
    }

    /// Returns whether an upstream takes requests, by what it stated.
    pub fn takes_requests(&self, upstream: &VmId, now: TimeMs) -> bool {
        self.0.get(upstream).is_none_or(|statement| {
            let paused_until = statement.paused_until;
            !statement.is_leaving && paused_until.is_none_or(|until| until.has_passed(now))
        })
    }

    /// Returns the time until an upstream that does not leave takes requests again; `None` if it takes
    /// them or leaves.
    pub fn pause_ms(&self, upstream: &VmId, now: TimeMs) -> Option<u64> {
        let statement = self.0.get(upstream)?;
        let until = statement.paused_until.filter(|_| !statement.is_leaving)?;
        (!until.has_passed(now)).then(|| until.remaining_ms(now))
    }

    /// Returns whether no upstream stated anything.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
