//! HTTP listener for operators: liveness, readiness, status, metrics and drain.

use std::{io, net::TcpListener, sync::Arc};

use serde_json::{Value, json};

use crate::{
    drain::Drain,
    http::{BodyMemory, HttpRequest, ListenerLimits, RequestError, Responder, serve},
    shared::Shared,
};

/// Maximum number of connections of operators. A few tools ask each node at a time.
const MAX_CONNECTIONS: usize = 256;
/// Time for a whole head, and again for a whole body.
const READ_DEADLINE_MS: u64 = 2_000;
/// Largest body. No call has one.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// Largest number of live peers listed by `/status`.
const MAX_SHOWN_PEERS: usize = 500;

/// Serves operators until `listening` is closed. A planned stop of the node is of no concern to it, since
/// operators watch that, too.
///
/// # Errors
///
/// Fails if the listener cannot be set up.
pub(crate) fn run(
    shared: &Arc<Shared>,
    listener: TcpListener,
    listening: &Arc<Drain>,
) -> io::Result<()> {
    let shared = shared.clone();
    let handler = move |request: Result<&HttpRequest, RequestError>,
                        responder: &mut Responder<'_>| {
        let (status, body) = match request {
            Ok(request) => answer(&shared, request),
            Err(RequestError::Refused(code, message)) => {
                (code.http_status(), format!("{message}\n"))
            }
            Err(RequestError::Broken) => return,
        };
        let headers = [("content-type", "text/plain; charset=UTF-8")];
        // A failed write means that the operator has disconnected.
        let _ = responder.write_whole(status, &headers, body.as_bytes());
    };
    let limits = ListenerLimits {
        max_connections: MAX_CONNECTIONS,
        read_deadline_ms: READ_DEADLINE_MS,
        max_body_bytes: MAX_BODY_BYTES,
        memory: BodyMemory::new(MAX_CONNECTIONS * MAX_BODY_BYTES),
    };
    serve(listener, limits, listening, Arc::new(handler))
}

fn answer(shared: &Shared, request: &HttpRequest) -> (u16, String) {
    match (request.method.as_str(), request.path()) {
        ("GET", "/live") => (200, "live\n".to_owned()),
        ("GET", "/ready") => readiness(shared),
        ("GET", "/status") => (200, format!("{:#}\n", status(shared))),
        ("GET", "/metrics") => (200, shared.metrics.render()),
        ("POST", "/drain") => {
            shared.begin_drain();
            (202, "draining\n".to_owned())
        }
        _ => (404, "no such path\n".to_owned()),
    }
}

fn readiness(shared: &Shared) -> (u16, String) {
    if shared.drain.is_draining() {
        return (503, "leaving\n".to_owned());
    }
    if shared.config().is_none() {
        return (503, "no configuration yet\n".to_owned());
    }
    (200, "ready\n".to_owned())
}

fn status(shared: &Shared) -> Value {
    let now = shared.now();
    let permits: Vec<Value> = shared
        .permits()
        .held(now)
        .map(|permit| {
            json!({
                "group": permit.assignment.group,
                "epoch": permit.assignment.epoch,
                "model": permit.assignment.model.to_string(),
                "members": permit.assignment.members.iter().map(|m| &m.vm).collect::<Vec<_>>(),
                "load": permit.load,
                "remaining_ms": permit.deadline.remaining_ms(now),
            })
        })
        .collect();
    let peers: Vec<Value> = shared
        .peers()
        .live()
        .take(MAX_SHOWN_PEERS)
        .map(|peer| json!({ "node": peer.node, "revision": peer.revision }))
        .collect();
    let domains: Vec<String> = shared
        .domains
        .lock()
        .keys()
        .map(ToString::to_string)
        .collect();
    json!({
        "node": shared.settings.name,
        "data_centre": shared.settings.data_centre,
        "revision": shared.revision(),
        "draining": shared.drain.is_draining(),
        "in_flight": shared.drain.in_flight(),
        "permits": permits,
        "peers": peers,
        "domains": domains,
    })
}
