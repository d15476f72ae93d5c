//! Starts a gateway's tasks and stops them after a signal.

use std::{collections::BTreeMap, io, panic, path::PathBuf, rc::Rc};

use jacinthpoint_settings::SettingsError;
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    task::{LocalSet, spawn_local},
};

use crate::{
    clock::sleep_ms,
    edge::{serve_callers, serve_metrics, serve_readiness},
    events::log_event,
    lease::{Lease, maintain_lease},
    limit_exchange, load_reports,
    owner::manage_groups,
    peers,
    quarantine::maintain_quarantine,
    reach::maintain_reach,
    relay::serve_gateways,
    roster::maintain_roster,
    settings::{GatewaySettings, parse_settings},
    state::{Gateway, Phase},
    store::{CallCounts, call_counts},
    watch::{expire_entries, watch_config, watch_evacuations, watch_suspicions, watch_upstreams},
};

/// Time between two checks for open connections while the gateway stops.
const STOP_POLL_INTERVAL_MS: u64 = 20;
/// Time before the end of the announcement from which connections close after their next answer. Callers
/// whose connection is in use learn of the stop by an answer in this time.
const CLOSING_MS: u64 = 700;
/// Time after the announcement in which requests are still served, since they may have been sent before
/// their connection ended.
const LAST_REQUESTS_MS: u64 = 300;
/// Time before the end of the grace time at which requests that are still open are answered as failed.
const STOP_MARGIN_MS: u64 = 800;
/// Time before the end of the grace time at which the process exits, so that it is not killed.
const EXIT_MARGIN_MS: u64 = 300;
/// Time between the last decision on connections and the exit.
const EXIT_PAUSE_MS: u64 = 1;
/// Time between two checks for expired idle connections and for dropped log lines.
const MAINTENANCE_INTERVAL_MS: u64 = 1_000;
/// Time between two log events on revoked connections.
const REVOCATIONS_LOG_INTERVAL_MS: u64 = 1_000;
/// Time between two log events on the calls to the store.
const CALLS_LOG_INTERVAL_MS: u64 = 5_000;

/// Error that prevents a gateway from starting.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum GatewayError {
    /// An address could not be bound, a signal handler could not be installed, or the runtime could
    /// not be created.
    #[display("cannot {action}: {error}")]
    Io {
        /// The action that failed, such as "install the handler of SIGTERM".
        action: String,
        /// Error of the operating system.
        error: io::Error,
    },
}

/// Returns a function that adds the failed action to an error of the operating system.
fn io_error(action: impl Into<String>) -> impl FnOnce(io::Error) -> GatewayError {
    let action = action.into();
    |error| GatewayError::Io { action, error }
}

/// Runs a gateway until SIGTERM or SIGINT, and returns the number of requests that were cut by the
/// stop.
///
/// `path` is the settings file, which is read again on SIGHUP. `dropped_lines` returns the number
/// of log lines that were dropped so far.
///
/// # Errors
///
/// Fails if an address cannot be bound, a signal handler cannot be installed, or the runtime cannot
/// be created.
pub fn run(
    settings: GatewaySettings,
    path: PathBuf,
    dropped_lines: impl Fn() -> usize + 'static,
) -> Result<usize, GatewayError> {
    log_panics();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(io_error("create the runtime"))?;
    LocalSet::new().block_on(&runtime, serve(settings, path, dropped_lines))
}

/// Logs each panic as an event, besides its usual output.
fn log_panics() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        let location = panic.location().map(ToString::to_string);
        let message = panic.payload_as_str();
        log_event!(error, TaskPanicked, location, message, "a task panicked");
        default_hook(panic);
    }));
}

/// Binds the addresses, starts all tasks, and handles signals.
async fn serve(
    settings: GatewaySettings,
    path: PathBuf,
    dropped_lines: impl Fn() -> usize + 'static,
) -> Result<usize, GatewayError> {
    let mut terminate =
        signal(SignalKind::terminate()).map_err(io_error("install the handler of SIGTERM"))?;
    let mut interrupt =
        signal(SignalKind::interrupt()).map_err(io_error("install the handler of SIGINT"))?;
    let mut hangup =
        signal(SignalKind::hangup()).map_err(io_error("install the handler of SIGHUP"))?;
    let callers = bind("callers", settings.callers).await?;
    let readiness = bind("readiness", settings.readiness).await?;
    let peers = match settings.peers {
        Some(address) => {
            let socket = UdpSocket::bind(address).await.map_err(io_error(format!(
                "bind the peers address {address} for UDP"
            )))?;
            Some((bind("peers", address).await?, Rc::new(socket)))
        }
        None => None,
    };
    let metrics = settings.metrics;
    log_event!(info, GatewayStarted, node = %settings.name, data_centre = %settings.data_centre,
        store = %settings.store, core_permille = settings.capacity.core_permille,
        link_kbps = settings.capacity.link_kbps, version = env!("CARGO_PKG_VERSION"),
        "the gateway started");
    let gateway = Rc::new(Gateway::new(settings));
    let lease = Rc::new(Lease::default());
    spawn_local(watch_config(gateway.clone()));
    spawn_local(watch_upstreams(gateway.clone()));
    spawn_local(watch_evacuations(gateway.clone()));
    spawn_local(watch_suspicions(gateway.clone()));
    spawn_local(maintain_quarantine(gateway.clone()));
    spawn_local(maintain_reach(gateway.clone()));
    spawn_local(expire_entries(gateway.clone()));
    spawn_local(maintain_roster(gateway.clone()));
    spawn_local(maintain_lease(gateway.clone(), lease.clone()));
    spawn_local(manage_groups(gateway.clone(), lease));
    spawn_local(serve_callers(gateway.clone(), callers));
    spawn_local(serve_readiness(gateway.clone(), readiness));
    if let Some((listener, socket)) = peers {
        *gateway.peers_socket.borrow_mut() = Some(socket.clone());
        spawn_local(serve_gateways(gateway.clone(), listener));
        spawn_local(peers::receive(gateway.clone(), socket));
        spawn_local(load_reports::send_reports(gateway.clone()));
    } else {
        spawn_local(limit_exchange::issue_alone(gateway.clone()));
    }
    if let Some(address) = metrics {
        spawn_local(serve_metrics(gateway.clone(), address));
    }
    spawn_local(log_drops_and_close_idle(gateway.clone(), dropped_lines));
    spawn_local(log_store_calls());
    spawn_local(log_revocations(gateway.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&gateway, &path),
        }
    }
    Ok(stop(&gateway).await)
}

/// Binds a TCP listener to the address that the settings have under `key`.
async fn bind(key: &str, address: std::net::SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address).await.map_err(io_error(format!(
        "bind the {key} address {address} for TCP"
    )))
}

/// Reads the settings file again and replaces the settings in force, unless the file has errors.
///
/// Some settings take effect only at the next start: the addresses of listeners, the number of
/// descriptors, the log level, the registration in the roster, and the store's address for the
/// roster and the lease. A watch uses the store's new address after its next failure or change of
/// source.
fn reload(gateway: &Gateway, path: &std::path::Path) {
    let settings = std::fs::read_to_string(path)
        .map_err(|error| error.to_string())
        .and_then(|text| parse_settings(&text).map_err(|errors| join_errors(&errors)));
    match settings {
        Ok(settings) => {
            let is_changed = settings != *gateway.settings();
            log_event!(
                info,
                SettingsReloaded,
                is_changed,
                "the settings were read again"
            );
            gateway.replace_settings(settings);
        }
        Err(error) => {
            log_event!(
                error,
                SettingsRefused,
                error,
                "the settings file cannot be used; the settings in force stay"
            );
        }
    }
}

fn join_errors(errors: &[SettingsError]) -> String {
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    errors.join("; ")
}

/// Runs for ever: logs the total number of dropped log lines whenever it has grown, and closes idle
/// connections that have expired or whose target is gone.
async fn log_drops_and_close_idle(gateway: Rc<Gateway>, dropped_lines: impl Fn() -> usize) {
    let mut dropped_before = 0;
    loop {
        sleep_ms(MAINTENANCE_INTERVAL_MS).await;
        let dropped = dropped_lines();
        if dropped != dropped_before {
            dropped_before = dropped;
            log_event!(
                warn,
                LogLinesDropped,
                dropped,
                "log lines were dropped; `dropped` is the total since the start"
            );
        }
        let Some(snapshot) = gateway.snapshot() else {
            continue;
        };
        let known: std::collections::BTreeSet<_> = snapshot
            .directory
            .targets()
            .map(|target| target.key.clone())
            .collect();
        gateway
            .pool
            .close_expired(|key| known.contains(key), gateway.now());
    }
}

/// Logs the numbers of calls to the store for ever, whenever there were any.
async fn log_store_calls() {
    let mut logged = CallCounts::new();
    loop {
        sleep_ms(CALLS_LOG_INTERVAL_MS).await;
        let counts = call_counts();
        for ((kind, call), count) in &counts {
            let calls = count - logged.get(&(*kind, *call)).copied().unwrap_or_default();
            if calls > 0 {
                let call: &'static str = call.into();
                log_event!(info, StoreCalled, kind, call, calls, "the store was called");
            }
        }
        logged = counts;
    }
}

/// Logs the numbers of revoked connections and requests for ever, whenever there were any.
async fn log_revocations(gateway: Rc<Gateway>) {
    let mut logged = BTreeMap::new();
    loop {
        sleep_ms(REVOCATIONS_LOG_INTERVAL_MS).await;
        let counts = gateway.memory.revocations();
        for ((listener, activity), count) in &counts {
            let before: u64 = logged
                .get(&(*listener, *activity))
                .copied()
                .unwrap_or_default();
            if *count > before {
                log_event!(warn, ConnectionsRevoked, %listener, %activity, revoked = count - before,
                    request_bytes = gateway.memory.request_bytes(),
                    answer_bytes = gateway.memory.answers().bytes(),
                    open = gateway.open_connections.get(),
                    "connections were ended, or their requests refused, for others");
            }
        }
        logged = counts;
    }
}

/// Stops the gateway as planned, and returns the number of requests that were cut.
///
/// The gateway reports itself as not ready at once, and refuses requests that would not end in time.
/// [`CLOSING_MS`] before the end of the announcement, connections begin to close after their next answer,
/// and at its end those without a request end. Shortly afterwards, all new requests are refused. Once no
/// request is open, or [`STOP_MARGIN_MS`] before the end of the grace time, no connections are accepted.
async fn stop(gateway: &Gateway) -> usize {
    let settings = gateway.settings();
    let began = gateway.now();
    log_event!(
        info,
        StopBegan,
        open = gateway.open_requests.get(),
        "the planned stop began"
    );
    let end = began.plus_ms(settings.grace_ms.saturating_sub(EXIT_MARGIN_MS));
    let last_answers = began.plus_ms(settings.grace_ms.saturating_sub(STOP_MARGIN_MS));
    gateway.ends_at.set(Some(last_answers));
    gateway.phase.send_replace(Phase::Leaving);
    let announced = began.plus_ms(settings.announce_ms).min(last_answers);
    let closing = began.plus_ms(settings.announce_ms.saturating_sub(CLOSING_MS));
    gateway.clock.sleep_until(closing.min(announced)).await;
    gateway.phase.send_replace(Phase::Closing);
    gateway.clock.sleep_until(announced).await;
    gateway.phase.send_replace(Phase::EndingIdle);
    let refuse_at = announced.plus_ms(LAST_REQUESTS_MS).min(last_answers);
    let has_work = || gateway.open_connections.get() + gateway.open_requests.get() > 0;
    while gateway.now() < refuse_at && has_work() {
        sleep_ms(STOP_POLL_INTERVAL_MS).await;
    }
    gateway.phase.send_replace(Phase::Refusing);
    while gateway.now() < last_answers && gateway.open_requests.get() > 0 {
        sleep_ms(STOP_POLL_INTERVAL_MS).await;
    }
    gateway.phase.send_replace(Phase::Ending);
    let has_unwritten = || gateway.quarantine.borrow().has_unwritten();
    let is_busy = || gateway.open_listeners.get() > 0 || has_work() || has_unwritten();
    while gateway.now() < end && is_busy() {
        sleep_ms(STOP_POLL_INTERVAL_MS).await;
    }
    gateway.phase.send_replace(Phase::Exiting);
    // Lets the tasks of connections act on it.
    sleep_ms(EXIT_PAUSE_MS).await;
    let cut = gateway.cut_requests.get() + gateway.open_requests.get();
    log_event!(
        info,
        GatewayStopped,
        cut,
        connections = gateway.open_connections.get(),
        "the gateway stopped"
    );
    cut
}
