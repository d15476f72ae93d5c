//! States of a request from acceptance to its final answer, as types.
//!
//! A caller that gets the outcome `not-run` may send the request again, so a request must never end
//! with it once an upstream may have started to run it. The compiler checks that only [`Accepted`]
//! can end as not run and that [`Accepted::dispatch`] consumes it. Only [`Dispatched::unstarted`]
//! can make a sent request [`Accepted`] again; the code that calls it must be certain that the
//! upstream did not run the request. A [`Lost`] request never becomes [`Accepted`] again.

use jacinthpoint_types::{Outcome, ResultCode};

/// Final outcome of a request, with the reason if it was not answered.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "a request must get its final answer"]
pub struct Ending {
    outcome: Outcome,
    code: Option<ResultCode>,
}

impl Ending {
    /// Returns the outcome that the caller gets.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the reason for which the request was not answered; `None` if it was.
    pub fn code(&self) -> Option<ResultCode> {
        self.code
    }
}

/// Request that no upstream has run: no byte of it was sent to one, or every upstream that got it
/// refused it.
#[derive(Debug)]
#[must_use]
pub struct Accepted(());

/// Request that an upstream may be running.
#[derive(Debug)]
#[must_use]
pub struct Dispatched {
    /// Set if an earlier attempt was [`Lost`].
    was_lost: bool,
}

/// Request with an attempt that may have run and whose answer was not received in full.
#[derive(Debug)]
#[must_use]
pub struct Lost(());

/// State of a request that the upstream of its last attempt certainly did not run.
#[derive(Debug)]
#[must_use]
pub enum Unstarted {
    /// No upstream has run the request.
    Accepted(Accepted),
    /// The upstream of an earlier attempt may have run the request.
    Lost(Lost),
}

impl Accepted {
    /// Returns the state of a newly accepted request.
    pub fn new() -> Accepted {
        Accepted(())
    }

    /// Marks the request as sent. Must be called before the first byte is sent to an upstream.
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
    /// Ends the request as answered, after the whole answer was delivered.
    pub fn answered(self) -> Ending {
        Ending {
            outcome: Outcome::Answered,
            code: None,
        }
    }

    /// Marks the attempt as not run by its upstream. Call it only if that is certain: no connection
    /// was made, or the upstream refused the request before it ran it.
    pub fn unstarted(self) -> Unstarted {
        if self.was_lost {
            Unstarted::Lost(Lost(()))
        } else {
            Unstarted::Accepted(Accepted(()))
        }
    }

    /// Marks the attempt as lost: it may have run, and its answer is not received unless it is
    /// resumed.
    pub fn lost(self) -> Lost {
        Lost(())
    }
}

impl Lost {
    /// Marks another attempt as sent. Must be called before its first byte is sent, and only for
    /// requests that may run twice.
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
    /// Marks the next attempt as sent. Must be called before its first byte is sent.
    pub fn dispatch(self) -> Dispatched {
        match self {
            Unstarted::Accepted(accepted) => accepted.dispatch(),
            Unstarted::Lost(lost) => lost.dispatch_again(),
        }
    }

    /// Marks an attempt that was sent before as in progress again: its answer is read on, and nothing is
    /// sent.
    pub fn resume(self) -> Dispatched {
        Dispatched { was_lost: true }
    }

    /// Ends the request as not run, or with its outcome unknown if an earlier attempt may have run.
    pub fn give_up(self, code: ResultCode) -> Ending {
        match self {
            Unstarted::Accepted(accepted) => accepted.refuse(code),
            Unstarted::Lost(lost) => lost.give_up(code),
        }
    }
}
