//! Admission control: decides which requests are admitted, and when.
//!
//! Two components protect the replica groups. The limiter holds each organisation to its own declared
//! rate and concurrency, which apply to the whole fleet. The gate handles the load of one node on
//! one deployment: it queues requests by class, by fairness between organisations and by deadline,
//! reserves capacity for the critical class, and sheds load while the queue takes longer than a
//! target time to drain.
//!
//! Each component consists of layers with a mode of their own: off, watch or enforce. This crate
//! does no I/O and reads no clock: the calling code passes in the time.

pub use jacinthpoint_types::PerSecond;

pub use crate::{
    bucket::TokenBucket,
    fleet::{Demand, GRANT_VALID_MS, NodeCounts, ShareAllocator, ShareGrant, ShareReport, Shares},
    gate::{
        ArrivalOutcome, ConcurrencyLimit, ConcurrencySettings, Dispatch, FinishedAttempt, Gate,
        GateSettings, QueuedRequest, Refusal, ShedSettings, Shedder, Ticket, WaitQueue,
    },
    limiter::{LimitKind, LimitRefusal, Limiter, LimiterSettings, Limits, Verdict},
    mode::LayerMode,
    retry_after::retry_after_ms,
};

mod bucket;
mod fleet;
mod gate;
mod limiter;
mod mode;
mod retry_after;
