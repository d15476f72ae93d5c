//! Starts and stops a node: binds its sockets and starts its threads.

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crossbeam::channel;

use crate::{
    caller,
    control::{config, limits, members, messages, permits, planning, probing},
    drain::{Drain, OpenRequest},
    events::log_event,
    http::{BodyMemory, HttpRequest, ListenerLimits, RequestError, Responder, serve},
    ledger,
    metrics::Metrics,
    operator,
    panics::log_panic,
    settings::NodeSettings,
    shared::Shared,
};

/// Capacity of each queue of addresses from which newer data is to be fetched. Further addresses
/// are dropped, because a fetch is pending anyway.
const MAX_QUEUED_FETCHES: usize = 8;
/// Largest body of a caller's request.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Number of threads that read and write the records of requests with an idempotency key on the
/// platform.
const LEDGER_WORKER_COUNT: usize = 8;

/// Maximum number of further ports tried if the port in the settings is 0 and the chosen port is in
/// use for UDP.
const MAX_FREE_PORT_RETRIES: u32 = 20;

/// Handle to a running node. Dropping it stops the node at once, without a planned stop; requests
/// in flight are cut.
pub struct Node {
    shared: Arc<Shared>,
    callers: SocketAddr,
    operators: SocketAddr,
    /// Closed when the node stops; the operators' listener stays open during a planned stop.
    operators_listening: Arc<Drain>,
}

impl Node {
    /// Binds the node's addresses and starts its threads. A port of 0 is replaced by a free port.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or a thread cannot be started.
    pub fn start(mut settings: NodeSettings) -> io::Result<Node> {
        let callers = TcpListener::bind(settings.listen_callers)?;
        let operators = TcpListener::bind(settings.listen_operators)?;
        let (peers, socket) = bind_peers(settings.listen_peers)?;
        settings.listen_callers = callers.local_addr()?;
        settings.listen_operators = operators.local_addr()?;
        settings.listen_peers = peers.local_addr()?;
        let socket = Arc::new(socket);
        let metrics = Metrics::new(settings.statsd)?;
        let limits = ListenerLimits {
            max_connections: settings.max_connections,
            read_deadline_ms: settings.read_deadline_ms,
            max_body_bytes: MAX_BODY_BYTES,
            memory: BodyMemory::new(settings.request_memory_mb * 1024 * 1024),
        };
        let node = Node {
            callers: settings.listen_callers,
            operators: settings.listen_operators,
            operators_listening: Arc::default(),
            shared: Arc::new(Shared::new(settings, metrics)),
        };
        let shared = &node.shared;
        let (members_sender, members_receiver) = channel::bounded(MAX_QUEUED_FETCHES);
        let thread_socket = socket.clone();
        spawn("members", shared, move |shared| {
            members::run(shared, &thread_socket, &members_receiver);
        })?;
        let thread_socket = socket.clone();
        spawn("config-watch", shared, move |shared| {
            config::run_watch(shared, &thread_socket)
        })?;
        let (config_sender, config_receiver) = channel::bounded(MAX_QUEUED_FETCHES);
        let fetches = messages::FetchQueues {
            config: config_sender,
            members: members_sender,
        };
        let thread_socket = socket.clone();
        spawn("config-peers", shared, move |shared| {
            config::run_peers(shared, &thread_socket, &config_receiver)
        })?;
        spawn("probing", shared, |shared| probing::run(shared))?;
        spawn("planning", shared, |shared| planning::run(shared))?;
        let thread_socket = socket.clone();
        spawn("detector", shared, move |shared| {
            messages::run_detector(shared, &thread_socket)
        })?;
        spawn("sync", shared, |shared| messages::run_sync(shared))?;
        let thread_socket = socket.clone();
        spawn("datagrams", shared, move |shared| {
            messages::run_receiver(shared, &thread_socket, &fetches)
        })?;
        let thread_socket = socket.clone();
        spawn("shares", shared, move |shared| {
            limits::run(shared, &thread_socket)
        })?;
        spawn("permits", shared, move |shared| {
            permits::run(shared, &socket)
        })?;
        spawn("peers", shared, move |shared| {
            messages::run_peer_listener(shared, &peers);
        })?;
        spawn("ledger", shared, |shared| ledger::run_timer(shared))?;
        spawn("releases", shared, |shared| ledger::run_releases(shared))?;
        for _ in 0..LEDGER_WORKER_COUNT {
            spawn("ledger-calls", shared, |shared| ledger::run_worker(shared))?;
        }
        let listening = node.operators_listening.clone();
        spawn("operators", shared, move |shared| {
            log_listener_failure("operators", operator::run(shared, operators, &listening));
        })?;
        shared.drain.set_listens(true);
        spawn("callers", shared, move |shared| {
            let handler = shared.clone();
            let handle = Arc::new(
                move |request: Result<&HttpRequest, RequestError>,
                      responder: &mut Responder<'_>| {
                    caller::handle(&handler, request, responder);
                },
            );
            log_listener_failure("callers", serve(callers, limits, &shared.drain, handle));
            shared.drain.set_listens(false);
            log_event!(
                info,
                ListenerClosed,
                "callers' listener closed, no new connections"
            );
        })?;
        log_event!(info, NodeStarted, node = %shared.settings.name, "node started");
        Ok(node)
    }

    /// Returns the address at which callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address at which operators connect.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators
    }

    /// Returns the address on which the node listens for other nodes.
    pub fn peers_address(&self) -> SocketAddr {
        self.shared.settings.listen_peers
    }

    /// Returns whether a planned stop has begun, by [`Node::begin_drain`] or by an operator.
    pub fn is_draining(&self) -> bool {
        self.shared.drain.is_draining()
    }

    /// Begins a planned stop. The node is no longer ready; after the announcement time in the
    /// settings it accepts no new connections.
    pub fn begin_drain(&self) {
        self.shared.begin_drain();
    }

    /// Returns the requests in flight.
    pub fn open_requests(&self) -> Vec<OpenRequest> {
        self.shared.drain.open_requests()
    }

    /// Waits at most `timeout_ms` for the planned stop to end, which is when the callers' listener
    /// is closed and no connection is open. Returns whether it has ended.
    pub fn wait_drained(&self, timeout_ms: u64) -> bool {
        let timeout = Duration::from_millis(timeout_ms);
        self.shared.drain.wait_ended(timeout)
    }

    /// Returns the maximum duration of a planned stop, from the settings.
    pub fn drain_deadline_ms(&self) -> u64 {
        self.shared.settings.drain_deadline_ms
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let cut = self.shared.drain.open_requests();
        // Closes the callers' listener, which checks the drain and not the stop.
        self.shared.drain.begin(Instant::now());
        self.operators_listening.begin(Instant::now());
        self.shared.stop();
        messages::wake_peer_listener(self.peers_address());
        for request in &cut {
            log_event!(warn, RequestCut, %request, "request cut because the node stopped");
        }
        log_event!(info, NodeStopped, cut = cut.len(), "node stopped");
    }
}

/// Binds the same port for TCP and UDP. With port 0 the system chooses a port that is free for TCP;
/// if it is in use for UDP, another port is tried.
fn bind_peers(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut retries_left = MAX_FREE_PORT_RETRIES;
    loop {
        let listener = TcpListener::bind(address)?;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if address.port() != 0 || retries_left == 0 => return Err(error),
            Err(_) => retries_left -= 1,
        }
    }
}

/// Starts a named thread with a reference to the shared state.
fn spawn(
    name: &str,
    shared: &Arc<Shared>,
    run: impl FnOnce(&Arc<Shared>) + Send + 'static,
) -> io::Result<()> {
    let shared = shared.clone();
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            log_panic(thread::current().name().unwrap_or_default(), || {
                run(&shared)
            })
        })?;
    Ok(())
}

/// Logs the failure of a listener, without which the node cannot do its work.
fn log_listener_failure(listener: &str, result: io::Result<()>) {
    if let Err(error) = result {
        log_event!(error, ListenerFailed, listener, %error, "a listener failed");
    }
}
