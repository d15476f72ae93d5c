//! Accepts connections of callers, of the load balancer's readiness checks, and of metrics readers.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use jacinthpoint_adapter::paths;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    body::{AnswerBody, full_body},
    call,
    clock::sleep_ms,
    connection::set_caller_options,
    events::log_event,
    metrics::Metrics,
    state::{Gateway, Phase},
    store::{CallType, call_counts},
};

/// Number of file descriptors that are reserved for listeners, the store and files. The rest is
/// divided equally between callers and upstreams.
const RESERVED_DESCRIPTORS: usize = 250;
/// Pause after a failed accept, so that a lack of descriptors does not cause a busy loop.
const ACCEPT_PAUSE_MS: u64 = 20;
/// Minimum of the limit on the size of a request head. Before a configuration is loaded, the
/// default limit applies, but at least this.
const MIN_HEAD_BYTES: usize = 8 * 1_024;
/// Extra space in the read buffer for body bytes that arrive together with the head.
const HEAD_SLACK_BYTES: usize = 1_024;

/// Accepts connections of callers for ever, and closes those beyond the limit that follows from the
/// number of descriptors.
pub(crate) async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let descriptors = gateway.settings().descriptors;
    let max_connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(2) / 2;
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log_event!(warn, AcceptFailed, %error, "a connection could not be accepted");
                sleep_ms(ACCEPT_PAUSE_MS).await;
                continue;
            }
        };
        if gateway.open_connections.get() >= max_connections {
            gateway.metrics.count("connections_refused", "too-many");
            log_event!(
                warn,
                AcceptFailed,
                open = max_connections,
                "a caller's new connection is closed, because the maximum number is open"
            );
            continue;
        }
        gateway
            .open_connections
            .set(gateway.open_connections.get() + 1);
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            let _guard = OpenConnectionGuard(gateway.clone());
            serve_connection(&gateway, stream).await;
        });
    }
}

/// Decrements the number of open connections when dropped, also if the connection's task panics.
struct OpenConnectionGuard(Rc<Gateway>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        let open = &self.0.open_connections;
        open.set(open.get() - 1);
    }
}

/// Serves one caller's connection until it ends, or until its current request ends if the gateway
/// is closing.
async fn serve_connection(gateway: &Rc<Gateway>, stream: TcpStream) {
    set_caller_options(&stream);
    let limits = gateway
        .snapshot()
        .map_or_else(Default::default, |s| s.config.limits);
    let head_bytes = limits.max_header_bytes.max(MIN_HEAD_BYTES) + HEAD_SLACK_BYTES;
    let requests = Cell::new(0_u64);
    let service = service_fn(|request| {
        requests.set(requests.get() + 1);
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(call::answer(gateway, request, false).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout also limits the idle time between two requests, which is why it is as long
        // as the idle timeout.
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut phase = gateway.phase.subscribe();
    let is_closing = phase.wait_for(|phase| *phase >= Phase::Closing);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = is_closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    let why = match &result {
        Ok(()) if requests.get() == 0 => "unused",
        Ok(()) => "done",
        Err(error) if error.is_timeout() => "idle",
        Err(_) => "failed",
    };
    gateway.metrics.count("connections_ended", why);
    log_event!(
        debug,
        ConnectionEnded,
        why,
        requests = requests.get(),
        is_stopping = *gateway.phase.borrow() != Phase::Serving,
        error = result.err().map(|error| error.to_string()),
        "a caller's connection ended"
    );
}

/// Answers all requests on `listener` for ever with the status and text that `respond` returns for
/// the path.
async fn serve_text(
    listener: TcpListener,
    respond: impl Fn(&str) -> (StatusCode, String) + 'static,
) {
    let respond = Rc::new(respond);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep_ms(ACCEPT_PAUSE_MS).await;
            continue;
        };
        let respond = respond.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (status, text) = respond(request.uri().path());
                let mut response: Response<AnswerBody> =
                    Response::new(full_body(Bytes::from(text)));
                *response.status_mut() = status;
                async move { Ok::<_, Infallible>(response) }
            });
            let result = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = result {
                tracing::debug!(%error, "a connection to the readiness or metrics address failed");
            }
        });
    }
}

/// Answers the load balancer's readiness checks, and logs each change of the answer.
pub(crate) async fn serve_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    let was_ready = Cell::new(false);
    let respond = move |path: &str| {
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
    serve_text(listener, respond).await;
}

/// Serves the metrics as text at `address`. If it cannot be bound, logs this and returns: a gateway
/// without metrics still serves callers.
pub(crate) async fn serve_metrics(gateway: Rc<Gateway>, address: SocketAddr) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log_event!(warn, AcceptFailed, %address, %error, "metrics are not served");
            return;
        }
    };
    let respond = move |_: &str| (StatusCode::OK, render(&gateway.metrics, &gateway));
    serve_text(listener, respond).await;
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
        ("gateways", gateway.gateway_count.get() as f64),
        (
            "prompt_parts_quarantined",
            gateway.quarantine.borrow().len() as f64,
        ),
        (
            "upstreams_reachable",
            f64::from(u8::from(!gateway.reach.borrow().is_cut())),
        ),
        ("requests_open", gateway.open_requests.get() as f64),
        ("connections_open", gateway.open_connections.get() as f64),
        ("store_reads", calls_where(false)),
        ("store_writes", calls_where(true)),
    ])
}
