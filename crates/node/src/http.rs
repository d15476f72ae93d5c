//! HTTP/1.1 towards callers, over `httparse`.
//!
//! `tiny_http` serves the operators. It cannot bound the callers' connections, give a slow head a
//! deadline, close a kept-alive connection during a planned stop, or tell that a caller has left,
//! so callers get this listener; see `docs/design/caller-listener.md`.

pub(crate) use crate::http::{
    head::HttpRequest,
    listener::{ListenerLimits, serve},
    request::RequestError,
    response::Responder,
};

mod head;
mod listener;
mod overflow;
mod request;
mod response;
