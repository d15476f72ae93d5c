//! Nodes exchange short messages often and large replies rarely. This module sends and receives
//! both: datagrams over UDP for failure detection, permits, shares and notifications, and
//! request-reply exchanges over TCP for peer tables, configurations, membership lists and claims.

use std::{
    collections::BTreeMap,
    io::{self, ErrorKind},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::Arc,
    thread,
    time::Duration,
};

use crossbeam::channel::Sender;
use jacinthpoint_ledger::Op;
use jacinthpoint_membership::OutgoingMessage;
use jacinthpoint_platform::MemberRole;
use jacinthpoint_types::{Deadline, NodeId};
use jacinthpoint_wire::{
    Datagram, MAX_DATAGRAM_BYTES, PeerReply, PeerRequest, PeerState, PeerStatus, PeerUpdate,
    decode, encode, read_frame, write_frame,
};

use crate::{
    control::{config, limits, members, permits},
    events::log_event,
    shared::Shared,
};

/// Interval between ticks of the failure detector.
const TICK_INTERVAL_MS: u64 = 50;
/// Time without a tick from which the process counts as paused.
const PAUSE_MS: u64 = 1_000;
/// Interval at which changes of the other nodes are logged.
const PEER_LOG_INTERVAL_MS: u64 = 500;
/// Interval between requests for another node's whole peer table, in addition to the updates
/// piggybacked on messages.
const SYNC_INTERVAL_MS: u64 = 60_000;
/// Time after which a failed request for a whole peer table is retried.
const SYNC_RETRY_MS: u64 = 1_000;
/// Interval at which the receiving thread checks for the node's stop.
const RECEIVE_POLL_MS: u64 = 100;
/// Pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;
/// Timeout for connecting to a peer and for each read and write on the connection.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// Runs the failure detector until the node stops.
pub(crate) fn run_detector(shared: &Shared, socket: &UdpSocket) {
    let mut ticked_at = shared.now();
    let mut logged = BTreeMap::new();
    let mut log_at = ticked_at;
    while !shared.is_stopped() {
        let candidates = candidates(shared);
        let now = shared.now();
        let pause_ms = now.since_ms(ticked_at);
        if pause_ms >= PAUSE_MS {
            log_event!(
                warn,
                ProcessPaused,
                pause_ms,
                "the process did not run for a time"
            );
        }
        ticked_at = now;
        let outgoing = {
            let mut peers = shared.peers();
            if shared.drain.is_draining() {
                peers.set_leaving();
            }
            peers.tick(now, &candidates)
        };
        send_all(socket, outgoing);
        if now >= log_at {
            log_at = now.plus_ms(PEER_LOG_INTERVAL_MS);
            log_changes(shared, &mut logged);
        }
        shared.sleep_ms(TICK_INTERVAL_MS);
    }
}

/// Logs what changed of the other nodes since the last call.
fn log_changes(shared: &Shared, logged: &mut BTreeMap<NodeId, (PeerStatus, u64, SocketAddr)>) {
    let peers = shared.peers();
    let known = peers.known().map(|update| {
        let PeerState {
            node,
            incarnation,
            address,
            ..
        } = update.peer;
        (node, (update.status, incarnation, address))
    });
    let known: BTreeMap<_, _> = known.collect();
    drop(peers);
    for (node, peer) in known
        .iter()
        .filter(|(node, peer)| logged.get(node) != Some(peer))
    {
        let (status, incarnation, address) = peer;
        log_event!(debug, PeerChanged, %node, ?status, incarnation, %address, "another node changed");
    }
    *logged = known;
}

/// Sends messages of the failure detector.
fn send_all(socket: &UdpSocket, messages: Vec<OutgoingMessage>) {
    for message in messages {
        // A failed send is treated as a lost datagram, which the detector tolerates.
        let _ = socket.send_to(&encode(&Datagram::Peer(message.message)), message.to);
    }
}

/// Returns the addresses to contact when looking for other nodes: the seeds and the nodes on the
/// platform's membership list.
fn candidates(shared: &Shared) -> Vec<SocketAddr> {
    let members = shared.members();
    // Nodes have the role `Entry`.
    let nodes = members
        .iter()
        .filter(|member| member.role == MemberRole::Entry);
    let listed = nodes.map(|member| member.address);
    shared
        .settings
        .seeds
        .iter()
        .copied()
        .chain(listed)
        .collect()
}

/// Fetches the whole peer table of a random live node, as soon as one is known and then once per
/// [`SYNC_INTERVAL_MS`].
pub(crate) fn run_sync(shared: &Shared) {
    let mut next_at = shared.now();
    while !shared.is_stopped() {
        let peer = shared.peers().random_live(1).pop();
        if let Some(peer) = peer.filter(|_| shared.now() >= next_at) {
            let synced = sync_with(shared, peer.address).is_ok();
            next_at = shared.now().plus_ms(if synced {
                SYNC_INTERVAL_MS
            } else {
                SYNC_RETRY_MS
            });
        }
        shared.sleep_ms(TICK_INTERVAL_MS);
    }
}

/// Fetches the whole peer table of one node and passes it to the failure detector.
fn sync_with(shared: &Shared, address: SocketAddr) -> io::Result<()> {
    if let PeerReply::Peers(updates) = ask_peer(address, &PeerRequest::Peers)? {
        let now = shared.now();
        shared.peers().on_sync(updates, now);
    }
    Ok(())
}

/// Sends a request to another node over TCP and returns its reply.
pub(crate) fn ask_peer(address: SocketAddr, request: &PeerRequest) -> io::Result<PeerReply> {
    let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    write_frame(&mut stream, request)?;
    read_frame(&mut stream)
}

/// Queues of the addresses of nodes from which newer data is to be fetched, by kind of data.
pub(crate) struct FetchQueues {
    /// Nodes that announced a newer configuration.
    pub(crate) config: Sender<SocketAddr>,
    /// Nodes that have a newer membership list.
    pub(crate) members: Sender<SocketAddr>,
}

/// Receives datagrams until the node stops.
pub(crate) fn run_receiver(shared: &Shared, socket: &UdpSocket, fetches: &FetchQueues) {
    // Larger than a datagram may be, so that a longer one is not cut to a valid message: `decode`
    // refuses bytes after a message.
    let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
    let timeout = Duration::from_millis(RECEIVE_POLL_MS);
    if let Err(error) = socket.set_read_timeout(Some(timeout)) {
        log_event!(warn, ReceiveFailed, %error, "no time limit for receiving datagrams");
    }
    while !shared.is_stopped() {
        let length = match socket.recv_from(&mut buffer) {
            Ok((length, _)) => length,
            // Interrupted: the process was stopped and goes on.
            Err(error)
                if matches!(
                    error.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) =>
            {
                continue;
            }
            Err(error) => {
                log_event!(warn, ReceiveFailed, %error, "datagrams could not be received");
                shared.sleep_ms(RECEIVE_POLL_MS);
                continue;
            }
        };
        match decode::<Datagram>(&buffer[..length]) {
            Ok(datagram) => on_datagram(shared, socket, fetches, datagram),
            Err(error) => {
                shared.metrics.count("messages_dropped");
                log_event!(debug, MessageDropped, %error, "cannot decode a datagram, dropped");
            }
        }
    }
}

/// Passes a datagram to the module that handles its kind, which may send a reply.
fn on_datagram(shared: &Shared, socket: &UdpSocket, fetches: &FetchQueues, datagram: Datagram) {
    match datagram {
        Datagram::Peer(message) => {
            let now = shared.now();
            let outgoing = shared.peers().on_message(now, message);
            send_all(socket, outgoing);
        }
        Datagram::ConfigNews { revision, address } => {
            if revision > shared.revision() {
                // If the queue is full, a fetch is pending anyway.
                let _ = fetches.config.try_send(address);
            }
        }
        Datagram::PermitRequest {
            sent_at,
            reply_to,
            known_digest,
        } => {
            permits::reply(shared, socket, sent_at, reply_to, known_digest);
        }
        Datagram::PermitReply {
            echo,
            prober,
            digest,
            part,
            parts,
            grants,
        } => {
            shared
                .grant_cache()
                .on_part(&prober, digest, part, parts, &grants);
            permits::on_reply(shared, &prober, grants, echo);
        }
        Datagram::PermitTerms {
            echo,
            prober,
            digest,
            terms,
        } => {
            let grants = shared.grant_cache().on_terms(&prober, digest, &terms);
            permits::on_reply(shared, &prober, grants, echo);
        }
        Datagram::MembersQuery { sent_at, reply_to } => {
            members::send_digest(shared, socket, sent_at, reply_to);
        }
        Datagram::MembersDigest {
            echo,
            digest,
            age_ms,
            address,
        } => {
            if members::on_digest(shared, echo, digest, age_ms) {
                // If the queue is full, a fetch is pending anyway.
                let _ = fetches.members.try_send(address);
            }
        }
        Datagram::ShareReports {
            sent_at,
            reply_to,
            reports,
        } => limits::on_reports(shared, socket, sent_at, reply_to, &reports),
        Datagram::ShareGrants { echo, grants } => limits::apply_grants(shared, echo, grants),
    }
}

/// Answers other nodes' requests over TCP until the node stops. `accept` blocks, so the stop is
/// noticed only after [`wake_peer_listener`] connects.
pub(crate) fn run_peer_listener(shared: &Arc<Shared>, listener: &TcpListener) {
    while !shared.is_stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                let shared = shared.clone();
                let thread = thread::Builder::new().name("peer".to_owned());
                // The requesting node retries a failed exchange.
                let started = thread.spawn(move || answer_peer(&shared, stream).ok());
                if let Err(error) = started {
                    log_event!(warn, AcceptFailed, %error, "no thread for another node's request");
                }
            }
            // For example, the connection was reset before it was accepted, or no file descriptor
            // is free.
            Err(error) => {
                log_event!(warn, AcceptFailed, %error, "another node's connection could not be accepted");
                shared.sleep_ms(ACCEPT_RETRY_DELAY_MS);
            }
        }
    }
}

/// Connects to the node's own peer listener, so that its blocked `accept` returns and
/// [`run_peer_listener`] checks for the node's stop.
pub(crate) fn wake_peer_listener(address: SocketAddr) {
    let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
    // If the connection fails, there is no listener to wake.
    drop(TcpStream::connect_timeout(&address, timeout));
}

/// Reads one request from a connection and writes the reply.
fn answer_peer(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_millis(PEER_TIMEOUT_MS)))?;
    stream.set_write_timeout(Some(Duration::from_millis(PEER_TIMEOUT_MS)))?;
    let reply = match read_frame(&mut stream)? {
        PeerRequest::Members { known_digest } => members::reply(shared, known_digest),
        PeerRequest::Config { above } => config::reply(shared, above),
        PeerRequest::Peers => {
            let peers = shared.peers();
            let own = PeerUpdate {
                peer: peers.own().clone(),
                status: PeerStatus::Live,
            };
            PeerReply::Peers(peers.known().chain([own]).collect())
        }
        PeerRequest::Claim(request) => {
            let deadline = Deadline::after_ms(shared.now(), u64::from(request.wait_ms));
            PeerReply::Verdict(shared.ledger.run(shared, Op::Claim(request), deadline))
        }
        PeerRequest::Release(request) => {
            let deadline = Deadline::after_ms(shared.now(), u64::from(request.wait_ms));
            PeerReply::Verdict(shared.ledger.run(shared, Op::Release(request), deadline))
        }
        PeerRequest::KeptAnswer { claim, wait_ms } => {
            PeerReply::Run(shared.runs.wait(claim, u64::from(wait_ms)))
        }
    };
    write_frame(&mut stream, &reply)
}
