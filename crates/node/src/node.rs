//! Starts and stops a node.

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::Arc,
    thread,
    time::Duration,
};

use crossbeam::channel;

use crate::{
    caller,
    control::{config, members, messages, permits, planning, probing},
    events::log_event,
    http::{HttpRequest, ListenerLimits, RequestError, Responder, serve},
    metrics::Metrics,
    operator,
    settings::NodeSettings,
    shared::Shared,
};

/// Nodes that told of a newer configuration and are still to be asked.
const TOLD_ROOM: usize = 8;

/// A running node. It stops when dropped, without a planned stop.
pub struct Node {
    shared: Arc<Shared>,
    callers: SocketAddr,
    operators: SocketAddr,
}

impl Node {
    /// Binds the node's addresses and starts its threads. Ports of 0 are replaced by free ones.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub fn start(mut settings: NodeSettings) -> io::Result<Node> {
        let callers = TcpListener::bind(settings.listen_callers)?;
        let operators = TcpListener::bind(settings.listen_operators)?;
        let peers = TcpListener::bind(settings.listen_peers)?;
        settings.listen_callers = callers.local_addr()?;
        settings.listen_operators = operators.local_addr()?;
        settings.listen_peers = peers.local_addr()?;
        let socket = Arc::new(UdpSocket::bind(settings.listen_peers)?);
        let metrics = Metrics::new(settings.statsd)?;
        let limits = ListenerLimits {
            max_connections: settings.max_connections,
        };
        let node = Node {
            callers: settings.listen_callers,
            operators: settings.listen_operators,
            shared: Arc::new(Shared::new(settings, metrics)),
        };
        let shared = &node.shared;
        spawn("members", shared, |shared| members::run(shared))?;
        let on_socket = socket.clone();
        spawn("config-watch", shared, move |shared| {
            config::run_watch(shared, &on_socket)
        })?;
        let (teller, told) = channel::bounded(TOLD_ROOM);
        let on_socket = socket.clone();
        spawn("config-peers", shared, move |shared| {
            config::run_peers(shared, &on_socket, &told)
        })?;
        spawn("probing", shared, |shared| probing::run(shared))?;
        spawn("planning", shared, |shared| planning::run(shared))?;
        let on_socket = socket.clone();
        spawn("detector", shared, move |shared| {
            messages::run_detector(shared, &on_socket)
        })?;
        spawn("sync", shared, |shared| messages::run_sync(shared))?;
        let on_socket = socket.clone();
        spawn("datagrams", shared, move |shared| {
            messages::run_receiver(shared, &on_socket, &teller)
        })?;
        spawn("permits", shared, move |shared| {
            permits::run(shared, &socket)
        })?;
        spawn("peers", shared, move |shared| {
            report(messages::run_peer_listener(shared, &peers));
        })?;
        operator::start(shared, operators)?;
        spawn("callers", shared, move |shared| {
            let handler = shared.clone();
            let handle = Arc::new(
                move |request: Result<&HttpRequest, RequestError>,
                      responder: &mut Responder<'_>| {
                    caller::handle(&handler, request, responder);
                },
            );
            report(serve(&callers, limits, &shared.drain, handle));
        })?;
        log_event!(info, NodeStarted, node = %shared.settings.name, "started");
        Ok(node)
    }

    /// Where callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Where operators connect.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators
    }

    /// Where other nodes connect.
    pub fn peers_address(&self) -> SocketAddr {
        self.shared.settings.listen_peers
    }

    /// Whether a planned stop has begun, by [`Node::begin_drain`] or by an operator.
    pub fn is_draining(&self) -> bool {
        self.shared.drain.is_draining()
    }

    /// Begins a planned stop: no longer ready, no new connections.
    pub fn begin_drain(&self) {
        log_event!(
            info,
            DrainBegan,
            in_flight = self.shared.drain.in_flight(),
            "leaving"
        );
        self.shared.drain.begin();
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.shared.drain.in_flight()
    }

    /// Waits at most `timeout_ms` for the requests in flight and returns how many are left.
    pub fn wait_idle(&self, timeout_ms: u64) -> u32 {
        self.shared
            .drain
            .wait_idle(Duration::from_millis(timeout_ms))
    }

    /// The longest planned stop, from the settings.
    pub fn drain_deadline_ms(&self) -> u64 {
        self.shared.settings.drain_deadline_ms
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.shared.drain.begin();
        self.shared.stop();
        log_event!(
            info,
            NodeStopped,
            cut = self.shared.drain.in_flight(),
            "stopped"
        );
    }
}

fn spawn(
    name: &str,
    shared: &Arc<Shared>,
    run: impl FnOnce(&Arc<Shared>) + Send + 'static,
) -> io::Result<()> {
    let shared = shared.clone();
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run(&shared))?;
    Ok(())
}

/// A listener that failed leaves the node useless; the log says why.
fn report(result: io::Result<()>) {
    if let Err(error) = result {
        log_event!(error, NodeStopped, %error, "listener failed");
    }
}
