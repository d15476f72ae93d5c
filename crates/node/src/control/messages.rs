//! Messages between nodes: heartbeats and permits over UDP, larger answers over TCP.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::Arc,
    thread,
    time::Duration,
};

use jacinthpoint_platform::MemberRole;
use jacinthpoint_types::Deadline;
use jacinthpoint_wire::{
    Datagram, Heartbeat, MAX_DATAGRAM_BYTES, PeerReply, PeerRequest, PermitGrant, decode, encode,
    read_frame, write_frame,
};

use crate::{control::permits, events::log_event, shared::Shared};

/// How often heartbeats are sent.
const HEARTBEAT_MS: u64 = 300;
/// Nodes named in one heartbeat.
const MAX_HEARSAY: usize = 8;
/// How often a receiving thread looks whether the node stops.
const RECEIVE_POLL_MS: u64 = 100;
/// Time for a peer to send its request or take its answer.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// Sends heartbeats to the nodes known, on the platform's list and in the settings.
pub(crate) fn run_heartbeats(shared: &Shared, socket: &UdpSocket) {
    while !shared.is_stopped() {
        let now = shared.now();
        let others = shared
            .peers()
            .live(now)
            .take(MAX_HEARSAY)
            .cloned()
            .collect();
        let heartbeat = Heartbeat {
            from: shared.own_state(),
            others,
        };
        let bytes = encode(&Datagram::Heartbeat(heartbeat));
        for address in heartbeat_targets(shared) {
            // A lost datagram is made good by the next one.
            let _ = socket.send_to(&bytes, address);
        }
        shared.peers().forget(now);
        shared.sleep_ms(HEARTBEAT_MS);
    }
}

fn heartbeat_targets(shared: &Shared) -> Vec<SocketAddr> {
    let mut targets: Vec<SocketAddr> = shared.settings.seeds.clone();
    targets.extend(shared.peers().known().map(|peer| peer.address));
    let members = shared.members();
    let entries = members
        .iter()
        .filter(|member| member.role == MemberRole::Entry);
    targets.extend(entries.map(|member| member.address));
    targets.sort();
    targets.dedup();
    targets.retain(|address| *address != shared.settings.peers_address());
    targets
}

/// Receives datagrams until the node stops.
pub(crate) fn run_receiver(shared: &Shared, socket: &UdpSocket) {
    let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
    let _ = socket.set_read_timeout(Some(Duration::from_millis(RECEIVE_POLL_MS)));
    while !shared.is_stopped() {
        let Ok((length, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        match decode::<Datagram>(&buffer[..length]) {
            Ok(datagram) => on_datagram(shared, socket, datagram),
            Err(error) => {
                shared.metrics.count("messages_dropped");
                log_event!(debug, MessageDropped, %error, "datagram dropped");
            }
        }
    }
}

fn on_datagram(shared: &Shared, socket: &UdpSocket, datagram: Datagram) {
    match datagram {
        Datagram::Heartbeat(heartbeat) => {
            let now = shared.now();
            let mut peers = shared.peers();
            for other in heartbeat.others {
                if other.node != shared.settings.name {
                    peers.on_hearsay(other, now);
                }
            }
            peers.on_heartbeat(heartbeat.from, now);
        }
        Datagram::PermitRequest { sent_at, reply_to } => {
            for grants in split_grants(permits::own_grants(shared)) {
                let reply = Datagram::PermitReply {
                    echo: sent_at,
                    grants,
                };
                let _ = socket.send_to(&encode(&reply), reply_to);
            }
        }
        Datagram::PermitReply { echo, grants } => {
            // An echo from the future was not sent by this node, or before its last start.
            if echo > shared.now() {
                return;
            }
            for grant in grants {
                let deadline = Deadline::after_ms(echo, u64::from(grant.valid_ms));
                permits::take_grant(shared, grant, deadline);
            }
        }
    }
}

/// Groups grants so that each reply fits into one datagram.
fn split_grants(grants: Vec<PermitGrant>) -> Vec<Vec<PermitGrant>> {
    const ROOM_BYTES: usize = MAX_DATAGRAM_BYTES - 32;
    let mut parts: Vec<Vec<PermitGrant>> = Vec::new();
    let mut used = ROOM_BYTES;
    for grant in grants {
        let bytes = encode(&grant).len();
        if used + bytes > ROOM_BYTES || parts.is_empty() {
            parts.push(Vec::new());
            used = 0;
        }
        used += bytes;
        if let Some(part) = parts.last_mut() {
            part.push(grant);
        }
    }
    parts
}

/// Answers other nodes' requests over TCP until the node stops.
pub(crate) fn run_peer_listener(shared: &Arc<Shared>, listener: &TcpListener) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    while !shared.is_stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                let shared = shared.clone();
                // A node that fails in the exchange asks again.
                thread::spawn(move || answer_peer(&shared, stream).ok());
            }
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
    Ok(())
}

fn answer_peer(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_read_timeout(Some(Duration::from_millis(PEER_TIMEOUT_MS)))?;
    stream.set_write_timeout(Some(Duration::from_millis(PEER_TIMEOUT_MS)))?;
    let reply = match read_frame(&mut stream)? {
        PeerRequest::Config { above } => match shared.config() {
            Some(in_force) if in_force.config.revision > above => PeerReply::Config {
                revision: in_force.config.revision,
                records_json: in_force.records_json.clone(),
            },
            _ => PeerReply::Nothing,
        },
    };
    write_frame(&mut stream, &reply)
}
