//! Clients of model engines and plain services.
//!
//! What a caller may be told depends on what an upstream may have seen: a request that never left
//! this machine did not run, one whose connection broke later may have. [`StartError`] keeps that
//! difference, and nothing here repeats a request by itself.

pub use crate::{
    engine::{EngineState, Order, OrderReply, cancel, order, state},
    error::{StartError, StreamError, UpstreamError},
    service::{ServiceAnswer, ServiceCall, call_service},
    stream::{StartRequest, StreamEvent, TokenEvent, TokenStream, resume, start},
};

mod engine;
mod error;
mod service;
mod sse;
mod stream;

/// Header that names the attempt; engines key resume and cancel by it.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header that names the caller's request, for run logs.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header that names the replica group a request is meant for.
pub const GROUP_HEADER: &str = "x-group";
/// Header with the group's epoch; an engine of another epoch refuses the request.
pub const EPOCH_HEADER: &str = "x-epoch";
/// Header with the priority class.
pub const PRIORITY_HEADER: &str = "x-priority";
