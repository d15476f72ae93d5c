//! Decisions on where a request goes, and how it ends.
//!
//! Load reports lag, and several nodes see the same report; sending everything to the one that
//! looks least loaded would send all of it to the same place. This crate does no I/O.

pub use crate::{
    choice::{Candidate, choose},
    lifecycle::{Accepted, Dispatched, Ending, Lost, Unstarted},
    load::estimated_load,
    retry::{Failure, RetryBudgets, pause_ms},
};

mod choice;
mod lifecycle;
mod load;
mod retry;
