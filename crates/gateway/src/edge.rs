//! Accepts connections of callers, of the load balancer's readiness checks, and of metrics readers.

use std::{cell::Cell, future, io, net::SocketAddr, rc::Rc};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, body::Incoming};
use jacinthpoint_adapter::paths;
use jacinthpoint_listener::{HANDSHAKE_MS, ignore_attempts};
use jacinthpoint_types::TimeMs;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    body::{AnswerBody, full_body},
    clock::sleep_ms,
    events::log_event,
    explain,
    memory::Listener,
    metrics::Metrics,
    state::{Gateway, OpenConnectionGuard, Phase},
    store::{CallType, call_counts},
};

pub(crate) use crate::edge::{
    caller::CallerConnection,
    guarded::{open_account, serve_guarded},
};

mod caller;
mod caller_io;
mod guarded;

/// Number of file descriptors that are reserved for listeners, the store, files and
/// [`SURPLUS_CONNECTIONS`]. The rest is divided equally between callers and upstreams.
const RESERVED_DESCRIPTORS: usize = 250;
/// Pause after a failed accept, so that a lack of descriptors does not cause a busy loop.
const ACCEPT_PAUSE_MS: u64 = 20;
/// Number of connections above the limit whose requests are refused.
const SURPLUS_CONNECTIONS: usize = 32;
/// Number of connections of readiness checks, and of readers of metrics. A load balancer and a few readers have one
/// each.
const MAX_TEXT_CONNECTIONS: usize = 16;
/// Maximum size of the head of their requests.
const MAX_TEXT_HEAD_BYTES: usize = 16 * 1_024;
/// Time between two log events on connections above the limit.
const SURPLUS_LOG_INTERVAL_MS: u64 = 1_000;

/// Time in which the queue of a listener is empty once connections are accepted again.
const QUEUE_EMPTY_MS: u64 = 100;

/// Since when connections have waited in the queue of the callers' listener.
#[derive(Debug, Default)]
struct ListenerQueue {
    full_since: TimeMs,
    last_full_at: TimeMs,
}

impl ListenerQueue {
    /// Records that no connection is accepted now.
    fn on_full(&mut self, now: TimeMs) {
        if now.since_ms(self.last_full_at) > QUEUE_EMPTY_MS {
            self.full_since = now;
        }
        self.last_full_at = now;
    }

    /// Returns for how long a connection that is accepted now may have waited.
    fn wait_ms(&self, now: TimeMs) -> u64 {
        match now.since_ms(self.last_full_at) {
            ..=QUEUE_EMPTY_MS => now.since_ms(self.full_since),
            _ => 0,
        }
    }
}

/// Accepts connections of callers until the gateway ends them all.
///
/// Above the limit that follows from the number of descriptors, requests are refused, and well above it
/// connections wait until others end.
pub(crate) async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let descriptors = gateway.settings().descriptors;
    let max_connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(2) / 2;
    gateway.open_listeners.set(gateway.open_listeners.get() + 1);
    let mut phase = gateway.phase.subscribe();
    let ending = phase.wait_for(|phase| *phase >= Phase::Ending);
    let mut ending = std::pin::pin!(ending);
    let mut queue = ListenerQueue::default();
    loop {
        let is_full = gateway.open_connections.get() >= max_connections + SURPLUS_CONNECTIONS;
        if is_full {
            queue.on_full(gateway.now());
        }
        let accepted = tokio::select! {
            biased;
            _ = ending.as_mut() => break,
            () = sleep_ms(ACCEPT_PAUSE_MS), if is_full => {
                gateway.memory.revoke_slow(Listener::Callers, gateway.now());
                continue;
            }
            accepted = listener.accept(), if !is_full => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let queued_ms = queue.wait_ms(gateway.now());
                begin_serving(&gateway, stream, max_connections, queued_ms);
            }
            Err(error) => {
                log_event!(warn, AcceptFailed, %error, "a connection could not be accepted");
                sleep_ms(ACCEPT_PAUSE_MS).await;
            }
        }
    }
    for stream in accept_last(listener).await {
        let queued_ms = queue.wait_ms(gateway.now());
        begin_serving(&gateway, stream, max_connections, queued_ms);
    }
    gateway.open_listeners.set(gateway.open_listeners.get() - 1);
}

/// Closes a listener. Returns the connections that were established by then, which would be reset otherwise.
pub(crate) async fn accept_last(listener: TcpListener) -> Vec<TcpStream> {
    if let Err(error) = ignore_attempts(&listener) {
        log_event!(
            warn,
            AcceptFailed,
            %error,
            "connections that arrive as the listener closes may be reset"
        );
    }
    sleep_ms(HANDSHAKE_MS).await;
    let (queued, error) = accept_queued(listener);
    if let Some(error) = error {
        log_event!(warn, AcceptFailed, %error, "queued connections could not be accepted");
    }
    queued
}

/// Accepts the connections that wait in a listener's queue, and closes the listener. Returns what was
/// accepted, and the error that ended it if there was one.
fn accept_queued(listener: TcpListener) -> (Vec<TcpStream>, Option<io::Error>) {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(error) => return (Vec::new(), Some(error)),
    };
    let mut queued = Vec::new();
    loop {
        let accepted = listener.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match accepted {
            Ok(stream) => queued.push(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return (queued, None),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => return (queued, Some(error)),
        }
    }
}

/// Serves a new connection in a task of its own.
fn begin_serving(gateway: &Rc<Gateway>, stream: TcpStream, max_connections: usize, queued_ms: u64) {
    let open = gateway.open_connections.get();
    let guard = OpenConnectionGuard::new(gateway);
    let now = gateway.now();
    let is_surplus = open >= max_connections && !gateway.memory.revoke_slow(Listener::Callers, now);
    if is_surplus {
        gateway.metrics.count("connections_refused", "too-many");
        let logged_at = &gateway.surplus_logged_at;
        if now.since_ms(logged_at.get()) >= SURPLUS_LOG_INTERVAL_MS {
            logged_at.set(now);
            log_event!(
                warn,
                AcceptFailed,
                open,
                "the requests of a caller's new connection are refused, because the maximum number is open"
            );
        }
    }
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        let _guard = guard;
        caller::serve_caller(&gateway, stream, is_surplus, queued_ms).await;
    });
}

/// Answers all requests on `listener` for ever with the status and text that `respond` returns for
/// the path and query.
async fn serve_text(
    gateway: Rc<Gateway>,
    kind: Listener,
    listener: TcpListener,
    respond: impl Fn(&str, &str) -> (StatusCode, String) + 'static,
) {
    let respond = Rc::new(respond);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log_event!(warn, AcceptFailed, %error,
                    "a connection to the readiness or metrics address could not be accepted");
                sleep_ms(ACCEPT_PAUSE_MS).await;
                continue;
            }
        };
        // Lets the connections before read their requests: a check that waits among many others is not
        // ended by the next of them.
        tokio::task::yield_now().await;
        // A new one is preferred: a check sends its request with the connection and is answered at once.
        let Some(account) = open_account(&gateway, kind, MAX_TEXT_CONNECTIONS, true) else {
            continue;
        };
        let (gateway, respond) = (gateway.clone(), respond.clone());
        tokio::task::spawn_local(async move {
            let respond = |request: Request<Incoming>| {
                let uri = request.uri();
                let (status, text) = respond(uri.path(), uri.query().unwrap_or_default());
                let mut response: Response<AnswerBody> =
                    Response::new(full_body(Bytes::from(text)));
                *response.status_mut() = status;
                future::ready(response)
            };
            let result =
                serve_guarded(&gateway, stream, account, MAX_TEXT_HEAD_BYTES, respond).await;
            if let Err(error) = result {
                tracing::debug!(%error, "a connection to the readiness or metrics address failed");
            }
        });
    }
}

/// Answers the load balancer's readiness checks, and logs each change of the answer.
pub(crate) async fn serve_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    let was_ready = Cell::new(false);
    let of_listener = gateway.clone();
    let respond = move |path: &str, _: &str| {
        if path != paths::READY {
            return (StatusCode::NOT_FOUND, String::new());
        }
        let is_ready = gateway.is_ready();
        if was_ready.replace(is_ready) != is_ready {
            let version = gateway.view.borrow().version();
            log_event!(info, ReadyChanged, ready = is_ready, %version, "readiness changed");
        }
        let status = if is_ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        (status, String::new())
    };
    serve_text(of_listener, Listener::Readiness, listener, respond).await;
}

/// Serves the metrics as text at `address`, and explanations of choices. If it cannot be bound, logs this and returns: a gateway
/// without metrics still serves callers.
pub(crate) async fn serve_metrics(gateway: Rc<Gateway>, address: SocketAddr) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log_event!(warn, AcceptFailed, %address, %error, "metrics are not served");
            return;
        }
    };
    let of_listener = gateway.clone();
    let respond = move |path: &str, query: &str| match path {
        explain::PATH => explain::explain(&gateway, query),
        _ => (StatusCode::OK, render(&gateway.metrics, &gateway)),
    };
    serve_text(of_listener, Listener::Metrics, listener, respond).await;
}

/// Returns all metrics as text, with gauges of the gateway's current state.
fn render(metrics: &Metrics, gateway: &Gateway) -> String {
    let calls = call_counts();
    let calls_where = |is_write: bool| {
        let of_type = calls
            .iter()
            .filter(|((_, call), _)| (*call == CallType::Write) == is_write);
        of_type.map(|(_, count)| *count as f64).sum()
    };
    let view = gateway.view.borrow();
    let snapshot = gateway.snapshot();
    let groups = snapshot.map_or(0, |snapshot| {
        snapshot
            .directory
            .targets()
            .filter(|target| target.group.is_some())
            .count()
    });
    metrics.render(&[
        ("config_version", view.version().0 as f64),
        ("upstreams", view.upstreams().len() as f64),
        ("groups_open", groups as f64),
        ("gateways", gateway.gateway_count.get().unwrap_or(0) as f64),
        (
            "prompt_parts_quarantined",
            gateway.quarantine.borrow().len() as f64,
        ),
        (
            "upstreams_reachable",
            f64::from(u8::from(!gateway.reach.borrow().is_cut())),
        ),
        (
            "limited_capacities",
            gateway.loads.borrow().capacities.limited(gateway.now()) as f64,
        ),
        (
            "data_centres_evacuated",
            view.evacuations.evacuated().len() as f64,
        ),
        ("requests_open", gateway.open_requests.get() as f64),
        ("requests_waiting", gateway.room.borrow().waiting() as f64),
        ("connections_open", gateway.open_connections.get() as f64),
        (
            "connections_revoked",
            gateway.memory.revocations().values().sum::<u64>() as f64,
        ),
        ("request_bytes", gateway.memory.request_bytes() as f64),
        ("answer_bytes", gateway.memory.answers().bytes() as f64),
        ("store_reads", calls_where(false)),
        ("store_writes", calls_where(true)),
    ])
}
