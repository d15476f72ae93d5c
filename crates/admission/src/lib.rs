//! Decisions on which requests get in, and when.
//!
//! Two kinds of layers stand in front of the replica groups. The limits pace one organisation
//! against its own declared rate and concurrency, for the fleet as a whole. The gate looks at the
//! whole load of one node on one deployment: it queues by class, fairness and deadline, keeps
//! capacity for the critical class, and sheds when work comes faster than it drains.
//!
//! Every layer can be off, watch only, or enforce. This crate does no I/O and reads no clock.

pub use crate::{
    bucket::TokenBucket,
    fleet::{Demand, GRANT_VALID_MS, NodeCounts, ShareAllocator, ShareGrant, ShareReport, Shares},
    gate::{
        ArrivalOutcome, ConcurrencyLimit, ConcurrencySettings, Dispatch, FinishedAttempt, Gate,
        GateSettings, QueuedRequest, Refusal, ShedSettings, Shedder, Ticket, WaitQueue,
    },
    limiter::{LimitKind, LimitRefusal, Limiter, LimiterSettings, Limits, Verdict},
    mode::LayerMode,
    rate::PerSecond,
    retry_after::retry_after_ms,
};

mod bucket;
mod fleet;
mod gate;
mod limiter;
mod mode;
mod rate;
mod retry_after;
