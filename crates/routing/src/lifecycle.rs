//! A request from acceptance to its final answer, as types.
//!
//! A caller who is told `not-run` may send the request again, so that outcome must never be said
//! once an upstream may have started. The compiler checks it: only [`Accepted`] can be refused as
//! not run, [`Accepted::dispatch`] uses it up, and it comes back only with the proof that the
//! attempt did not start. A [`Lost`] request never does.

use jacinthpoint_types::{Outcome, ResultCode};

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "a request must get its final answer"]
pub struct Ending {
    outcome: Outcome,
    code: Option<ResultCode>,
}

impl Ending {
    /// What the caller is told.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Why; `None` for an answer.
    pub fn code(&self) -> Option<ResultCode> {
        self.code
    }
}

/// No byte of the request has left for an upstream, or every upstream that saw it refused it.
#[derive(Debug)]
#[must_use]
pub struct Accepted(());

/// An upstream may be running the request.
#[derive(Debug)]
#[must_use]
pub struct Dispatched {
    was_lost: bool,
}

/// An attempt may have run, and its answer did not come whole.
#[derive(Debug)]
#[must_use]
pub struct Lost(());

/// What is left of a request whose attempt did not start.
#[derive(Debug)]
#[must_use]
pub enum Unstarted {
    /// No attempt has started.
    Accepted(Accepted),
    /// An earlier attempt may have run.
    Lost(Lost),
}

impl Accepted {
    /// A request that was just accepted.
    pub fn new() -> Accepted {
        Accepted(())
    }

    /// Before the first byte leaves.
    pub fn dispatch(self) -> Dispatched {
        Dispatched { was_lost: false }
    }

    /// Ends the request as not run.
    pub fn refuse(self, code: ResultCode) -> Ending {
        Ending {
            outcome: Outcome::NotRun,
            code: Some(code),
        }
    }
}

impl Default for Accepted {
    fn default() -> Accepted {
        Accepted::new()
    }
}

impl Dispatched {
    /// The whole answer was delivered.
    pub fn answered(self) -> Ending {
        Ending {
            outcome: Outcome::Answered,
            code: None,
        }
    }

    /// The attempt certainly did not start: no connection was made, or the upstream refused it
    /// before running.
    pub fn unstarted(self) -> Unstarted {
        if self.was_lost {
            Unstarted::Lost(Lost(()))
        } else {
            Unstarted::Accepted(Accepted(()))
        }
    }

    /// The attempt may have run, and its answer will not come.
    pub fn lost(self) -> Lost {
        Lost(())
    }
}

impl Lost {
    /// Before the first byte of another attempt leaves. Only for requests that may run twice.
    pub fn dispatch_again(self) -> Dispatched {
        Dispatched { was_lost: true }
    }

    /// Ends the request with its outcome unknown.
    pub fn give_up(self, code: ResultCode) -> Ending {
        Ending {
            outcome: Outcome::Unknown,
            code: Some(code),
        }
    }
}

impl Unstarted {
    /// Before the first byte of the next attempt leaves.
    pub fn dispatch(self) -> Dispatched {
        match self {
            Unstarted::Accepted(accepted) => accepted.dispatch(),
            Unstarted::Lost(lost) => lost.dispatch_again(),
        }
    }

    /// Ends the request: not run, or unknown if an earlier attempt may have run.
    pub fn give_up(self, code: ResultCode) -> Ending {
        match self {
            Unstarted::Accepted(accepted) => accepted.refuse(code),
            Unstarted::Lost(lost) => lost.give_up(code),
        }
    }
}
