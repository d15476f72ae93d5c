//! Start and stop of a gateway.

use std::{io, path::PathBuf, rc::Rc};

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
    lease::{Lease, keep_lease},
    load_reports,
    owner::own_groups,
    peers,
    relay::serve_gateways,
    roster::keep_roster,
    settings::{GatewaySettings, parse_settings},
    state::{Gateway, Phase},
    watch::{expire_entries, watch_config, watch_upstreams},
};

/// Time between two looks at what is left to do while stopping.
const STOP_POLL_MS: u64 = 20;
/// Time before the end of the grace time at which the process ends by itself.
const STOP_MARGIN_MS: u64 = 300;
/// Time between two looks for connections that are too old and for dropped log lines.
const TIDY_EVERY_MS: u64 = 1_000;

/// Why a gateway could not run.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum GatewayError {
    /// An address could not be bound, or signals not be caught.
    #[display("{what}: {error}")]
    Io {
        /// What failed.
        what: String,
        /// The system's error.
        error: io::Error,
    },
}

fn io_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> GatewayError {
    let what = what.into();
    |error| GatewayError::Io { what, error }
}

/// Runs a gateway until it is told to stop; returns the number of requests that the stop cut.
///
/// `path` is the settings file, which is read again on SIGHUP. `dropped_lines` counts the log lines
/// that were dropped so far.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn run(
    settings: GatewaySettings,
    path: PathBuf,
    dropped_lines: impl Fn() -> usize + 'static,
) -> Result<usize, GatewayError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(io_error("runtime"))?;
    LocalSet::new().block_on(&runtime, serve(settings, path, dropped_lines))
}

async fn serve(
    settings: GatewaySettings,
    path: PathBuf,
    dropped_lines: impl Fn() -> usize + 'static,
) -> Result<usize, GatewayError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(io_error("SIGTERM"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(io_error("SIGINT"))?;
    let mut hangup = signal(SignalKind::hangup()).map_err(io_error("SIGHUP"))?;
    let callers = bind("callers", settings.callers).await?;
    let readiness = bind("readiness", settings.readiness).await?;
    let peers = match settings.peers {
        Some(address) => {
            let socket = UdpSocket::bind(address)
                .await
                .map_err(io_error(format!("peers address {address}")))?;
            Some((bind("peers", address).await?, Rc::new(socket)))
        }
        None => None,
    };
    let metrics = settings.metrics;
    log_event!(info, GatewayStarted, node = %settings.name, data_centre = %settings.data_centre,
        store = %settings.store, version = env!("CARGO_PKG_VERSION"), "the gateway started");
    let gateway = Rc::new(Gateway::new(settings));
    let lease = Rc::new(Lease::default());
    spawn_local(watch_config(gateway.clone()));
    spawn_local(watch_upstreams(gateway.clone()));
    spawn_local(expire_entries(gateway.clone()));
    spawn_local(keep_roster(gateway.clone()));
    spawn_local(keep_lease(gateway.clone(), lease.clone()));
    spawn_local(own_groups(gateway.clone(), lease));
    spawn_local(serve_callers(gateway.clone(), callers));
    spawn_local(serve_readiness(gateway.clone(), readiness));
    if let Some((listener, socket)) = peers {
        *gateway.peers_socket.borrow_mut() = Some(socket.clone());
        spawn_local(serve_gateways(gateway.clone(), listener));
        spawn_local(peers::receive(gateway.clone(), socket));
        spawn_local(load_reports::send_reports(gateway.clone()));
    }
    if let Some(address) = metrics {
        spawn_local(serve_metrics(gateway.clone(), address));
    }
    spawn_local(tidy(gateway.clone(), dropped_lines));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&gateway, &path),
        }
    }
    Ok(stop(&gateway).await)
}

async fn bind(what: &str, address: std::net::SocketAddr) -> Result<TcpListener, GatewayError> {
    TcpListener::bind(address)
        .await
        .map_err(io_error(format!("{what} address {address}")))
}

/// Reads the settings file again. Addresses that are bound stay as they are.
fn reload(gateway: &Gateway, path: &std::path::Path) {
    let settings = std::fs::read_to_string(path)
        .map_err(|error| error.to_string())
        .and_then(|text| parse_settings(&text).map_err(|errors| join(&errors)));
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
            log_event!(error, SettingsRefused, error, "the settings in force stay");
        }
    }
}

fn join(errors: &[SettingsError]) -> String {
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    errors.join("; ")
}

async fn tidy(gateway: Rc<Gateway>, dropped_lines: impl Fn() -> usize) {
    let mut dropped_before = 0;
    loop {
        sleep_ms(TIDY_EVERY_MS).await;
        let dropped = dropped_lines();
        if dropped != dropped_before {
            dropped_before = dropped;
            log_event!(warn, LogLinesDropped, dropped, "log lines were dropped");
        }
        let Some(snapshot) = gateway.snapshot() else {
            continue;
        };
        let known: std::collections::BTreeSet<_> = snapshot
            .directory
            .targets()
            .map(|target| target.key.clone())
            .collect();
        gateway.pool.tidy(|key| known.contains(key), gateway.now());
    }
}

/// Stops as planned: no longer ready at once, then no more requests on kept connections, then the
/// end when nothing is left or the grace time is over.
async fn stop(gateway: &Gateway) -> usize {
    let settings = gateway.settings();
    let began = gateway.now();
    log_event!(
        info,
        StopBegan,
        open = gateway.open_requests.get(),
        "the planned stop began"
    );
    gateway.phase.send_replace(Phase::Leaving);
    let end = began.plus_ms(settings.grace_ms.saturating_sub(STOP_MARGIN_MS));
    let announced = began.plus_ms(settings.announce_ms).min(end);
    gateway.clock.sleep_until(announced).await;
    gateway.phase.send_replace(Phase::Closing);
    while gateway.now() < end && gateway.open_connections.get() > 0 {
        sleep_ms(STOP_POLL_MS).await;
    }
    let cut = gateway.open_requests.get();
    log_event!(info, GatewayStopped, cut, "the gateway stopped");
    cut
}
