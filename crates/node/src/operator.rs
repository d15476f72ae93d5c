//! HTTP listener for operators: liveness, readiness, status, metrics and drain.

use std::{io, net::TcpListener, sync::Arc, thread, time::Duration};

use serde_json::{Value, json};
use tiny_http::{Method, Request, Response, Server};

use crate::shared::Shared;

/// Interval at which the listener checks whether the node has stopped.
const STOP_CHECK_MS: u64 = 100;
/// Largest number of live peers listed by `/status`.
const MAX_SHOWN_PEERS: usize = 500;

/// Starts the thread that serves operators until the node stops.
pub(crate) fn start(shared: &Arc<Shared>, listener: TcpListener) -> io::Result<()> {
    let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
    let shared = shared.clone();
    thread::Builder::new()
        .name("operators".to_owned())
        .spawn(move || {
            while !shared.is_stopped() {
                if let Ok(Some(request)) = server.recv_timeout(Duration::from_millis(STOP_CHECK_MS))
                {
                    handle(&shared, request);
                }
            }
        })?;
    Ok(())
}

fn handle(shared: &Shared, request: Request) {
    let path = request
        .url()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    let (status, body) = match (request.method(), path.as_str()) {
        (Method::Get, "/live") => (200, "live\n".to_owned()),
        (Method::Get, "/ready") => readiness(shared),
        (Method::Get, "/status") => (200, format!("{:#}\n", status(shared))),
        (Method::Get, "/metrics") => (200, shared.metrics.render()),
        (Method::Post, "/drain") => {
            shared.begin_drain();
            (202, "draining\n".to_owned())
        }
        _ => (404, "no such path\n".to_owned()),
    };
    // Write errors are ignored: they mean that the operator has disconnected.
    let _ = request.respond(Response::from_string(body).with_status_code(status));
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
