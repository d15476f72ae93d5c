//! HTTP/1.1 towards callers, over `httparse`.
//!
//! `tiny_http` serves the operators. It cannot bound the callers' connections, give a slow head a
//! deadline, close a kept-alive connection during a planned stop, or tell that a caller has left,
//! so callers get this listener; see `docs/design/caller-listener.md`.

pub(crate) use crate::http::{
    listener::{ListenerLimits, serve},
    request::{HttpRequest, RequestError},
    response::Responder,
};

mod listener;
mod request;
mod response;
