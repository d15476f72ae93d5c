//! Decisions on where a request goes, and how it ends.
//!
//! Load reports lag, and several nodes see the same report; sending everything to the one that
//! looks least loaded would send all of it to the same place. This crate does no I/O.

pub use crate::{
    affinity::choose_with_affinity,
    choice::{Candidate, choose, choose_near},
    ejection::Ejector,
    lifecycle::{Accepted, Dispatched, Ending, Lost, Unstarted},
    load::estimated_load,
    retry::{Failure, RetryBudgets, backoff_ms},
    subset::subset,
};

mod affinity;
mod choice;
mod ejection;
mod lifecycle;
mod load;
mod retry;
mod subset;
