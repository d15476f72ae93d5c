//! Decisions on one request: where it goes, when it is sent again and when it is refused.
//!
//! Every gateway sees only its own part of the traffic and what upstreams state in their answers,
//! which is old by the time it is read. This crate does no I/O and reads no clock.

pub use crate::{
    budget::{FleetRetryBudget, FleetRetryBudgetSettings},
    demand::DemandMeter,
    directory::{Directory, Target, TargetGroup, TargetKey},
    load::{LoadTracker, Refusal, Selection, retry_after_ms},
    peer_load::{LoadAggregator, PeerLoad, TargetDigest, TargetReport},
    stall::{StallPolicy, StallState},
};

mod budget;
mod demand;
mod directory;
mod load;
mod peer_load;
mod stall;
