//! HTTP clients of model engines and plain services.
//!
//! A request must not be reported as not run if an upstream may have run it. A request of which no
//! byte was sent did not run; a request whose connection broke later may have run.
//! [`StartError`] keeps that difference, and no function of this crate retries a request.

pub use crate::{
    engine::{EngineState, Order, OrderReply, cancel, order, state},
    error::{StartError, StreamError, UpstreamError},
    service::{ServiceAnswer, ServiceCall, call_service},
    stream::{StartRequest, StreamEvent, TokenEvent, TokenStream, resume, start},
};

mod bounded;
mod engine;
mod error;
mod exchange;
mod service;
mod sse;
mod stream;

/// Header with the id of the attempt, by which engines resume and cancel it.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header with the id of the caller's request, for the run logs of upstreams.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header with the id of the replica group that a request is meant for.
pub const GROUP_HEADER: &str = "x-group";
/// Header with the epoch of the group. An engine that is in another epoch refuses the request.
pub const EPOCH_HEADER: &str = "x-epoch";
/// Header with the priority class of the request.
pub const PRIORITY_HEADER: &str = "x-priority";
