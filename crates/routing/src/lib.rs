//! Choice of a replica group for a request, retries, and the final outcome of a request.
//!
//! Load reports are late, and several nodes get the same one. If each node sent its requests to the
//! group with the lowest reported load, all would send them to the same group. A node therefore
//! chooses among a few groups that are drawn at random or ranked by a hash of the prompt's prefix.
//!
//! A node is a process started as `jacinthpoint node`. Gateways (`jacinthpoint gateway`) use only
//! [`Ejector`] and [`estimated_load`], in which "node" then means the gateway. This crate does no
//! I/O.

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
