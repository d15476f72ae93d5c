//! HTTP/1.1 server for callers, built on `httparse`.
//!
//! `tiny_http`, which serves the operators, cannot limit the number of connections, set a deadline
//! for a slowly sent head, close kept-alive connections during a planned stop, or detect that a
//! caller has disconnected. See `docs/design/caller-listener.md`.

pub(crate) use crate::http::{
    body_memory::BodyMemory,
    head::HttpRequest,
    listener::{ListenerLimits, serve},
    request::RequestError,
    response::Responder,
};

mod body_memory;
mod head;
mod listener;
mod overflow;
mod request;
mod response;
