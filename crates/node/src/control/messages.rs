//! Messages between nodes: failure detection and permits over UDP, larger answers over TCP.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::Arc,
    thread,
    time::Duration,
};

use crossbeam::channel::Sender;
use jacinthpoint_ledger::Op;
use jacinthpoint_membership::OutgoingMessage;
use jacinthpoint_platform::MemberRole;
use jacinthpoint_types::Deadline;
use jacinthpoint_wire::{
    Datagram, MAX_DATAGRAM_BYTES, PeerReply, PeerRequest, PeerStatus, PeerUpdate, decode, encode,
    read_frame, write_frame,
};

use crate::{
    control::{config, limits, members, permits},
    events::log_event,
    shared::Shared,
};

/// How often the failure detector is given the time.
const TICK_INTERVAL_MS: u64 = 50;
/// How often all that one other node knows is asked for, beside the news that messages carry.
const SYNC_INTERVAL_MS: u64 = 60_000;
/// How often it is asked for until the first answer.
const SYNC_RETRY_MS: u64 = 1_000;
/// How often a receiving thread looks whether the node stops.
const RECEIVE_POLL_MS: u64 = 100;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY_MS: u64 = 50;
/// Time for a peer to send its request or take its answer.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// Drives the failure detector.
pub(crate) fn run_detector(shared: &Shared, socket: &UdpSocket) {
    while !shared.is_stopped() {
        let candidates = candidates(shared);
        let now = shared.now();
        let outgoing = {
            let mut peers = shared.peers();
            if shared.drain.is_draining() {
                peers.set_leaving();
            }
            peers.tick(now, &candidates)
        };
        send_all(socket, outgoing);
        shared.sleep_ms(TICK_INTERVAL_MS);
    }
}

fn send_all(socket: &UdpSocket, messages: Vec<OutgoingMessage>) {
    for message in messages {
        // The detector is made for lost datagrams.
        let _ = socket.send_to(&encode(&Datagram::Peer(message.message)), message.to);
    }
}

fn candidates(shared: &Shared) -> Vec<SocketAddr> {
    let members = shared.members();
    let entries = members
        .iter()
        .filter(|member| member.role == MemberRole::Entry);
    let listed = entries.map(|member| member.address);
    shared
        .settings
        .seeds
        .iter()
        .copied()
        .chain(listed)
        .collect()
}

/// Asks other nodes for all that they know, soon after the start and then rarely.
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

fn sync_with(shared: &Shared, address: SocketAddr) -> io::Result<()> {
    if let PeerReply::Peers(news) = ask_peer(address, &PeerRequest::Peers)? {
        let now = shared.now();
        shared.peers().on_sync(news, now);
    }
    Ok(())
}

/// Asks another node over TCP.
pub(crate) fn ask_peer(address: SocketAddr, request: &PeerRequest) -> io::Result<PeerReply> {
    let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    write_frame(&mut stream, request)?;
    read_frame(&mut stream)
}

/// Where the addresses of nodes go that have something newer to fetch.
pub(crate) struct FetchQueues {
    /// A newer configuration.
    pub(crate) config: Sender<SocketAddr>,
    /// Another membership list.
    pub(crate) members: Sender<SocketAddr>,
}

/// Receives datagrams until the node stops.
pub(crate) fn run_receiver(shared: &Shared, socket: &UdpSocket, fetches: &FetchQueues) {
    let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
    let _ = socket.set_read_timeout(Some(Duration::from_millis(RECEIVE_POLL_MS)));
    while !shared.is_stopped() {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        match decode::<Datagram>(&buffer[..length]) {
            Ok(datagram) => on_datagram(shared, socket, fetches, datagram),
            Err(error) => {
                shared.metrics.count("messages_dropped");
                log_event!(debug, MessageDropped, %error, "datagram dropped");
            }
        }
    }
}

fn on_datagram(shared: &Shared, socket: &UdpSocket, fetches: &FetchQueues, datagram: Datagram) {
    match datagram {
        Datagram::Peer(message) => {
            let now = shared.now();
            let outgoing = shared.peers().on_message(now, message);
            send_all(socket, outgoing);
        }
        Datagram::ConfigNews { revision, address } => {
            if revision > shared.revision() {
                // A full channel means that a fetch is due anyway.
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
                // A full channel means that a fetch is due anyway.
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

/// Answers other nodes' requests over TCP until the node stops, which [`wake_peer_listener`] lets
/// it see.
pub(crate) fn run_peer_listener(shared: &Arc<Shared>, listener: &TcpListener) {
    while !shared.is_stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                let shared = shared.clone();
                // A node that fails in the exchange asks again.
                thread::spawn(move || answer_peer(&shared, stream).ok());
            }
            // Such as a connection reset before it was accepted, or no free descriptor.
            Err(_) => shared.sleep_ms(ACCEPT_RETRY_DELAY_MS),
        }
    }
}

/// Makes the listener for other nodes look whether the node stops.
pub(crate) fn wake_peer_listener(address: SocketAddr) {
    let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
    // Without a listener there is nothing to wake.
    drop(TcpStream::connect_timeout(&address, timeout));
}

fn answer_peer(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_millis(PEER_TIMEOUT_MS)))?;
    stream.set_write_timeout(Some(Duration::from_millis(PEER_TIMEOUT_MS)))?;
    let reply = match read_frame(&mut stream)? {
        PeerRequest::Members { known_digest } => members::reply(shared, known_digest),
        PeerRequest::Config { above } => config::reply_above(shared, above),
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
