//! Every node needs the platform's membership list, without each of them reading it from the
//! platform. A few reader nodes read the list; the other nodes query a reader and fetch the list
//! from it when it changes. The list lags behind the VMs' actual state.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use crossbeam::channel::Receiver;
use jacinthpoint_platform::{MemberRole, MemberState, PlatformMember};
use jacinthpoint_records::Delta;
use jacinthpoint_types::{DataCentreId, FabricDomainId, TimeMs};
use jacinthpoint_wire::{Datagram, PeerReply, PeerRequest, encode};

use crate::{control::messages::ask_peer, events::log_event, shared::Shared};

/// Number of nodes that read the list from the platform.
const READER_COUNT: usize = 3;
/// Interval between a reader's reads, and between another node's queries to a reader.
const READ_INTERVAL_MS: u64 = 1_000;
/// Time since the last confirmation of a node's list after which the node reads the list from the
/// platform, even if it is not a reader.
const STALE_AFTER_MS: u64 = 4_000;

/// Keeps the list current until the node stops. `changed` receives the addresses of nodes that have
/// a newer list. During a platform outage the last list stays in use.
pub(crate) fn run(shared: &Shared, socket: &UdpSocket, changed: &Receiver<SocketAddr>) {
    while !shared.is_stopped() {
        if should_read_platform(shared) {
            read(shared);
        } else {
            query_random_reader(shared, socket);
        }
        if let Ok(address) = changed.recv_timeout(Duration::from_millis(READ_INTERVAL_MS)) {
            fetch(shared, address);
        }
    }
}

/// Returns whether this node is a reader or its list is stale.
fn should_read_platform(shared: &Shared) -> bool {
    let is_reader = shared
        .own_rank(READER_TASK)
        .is_some_and(|rank| rank < READER_COUNT);
    let now = shared.now();
    is_reader || now.since_ms(shared.member_lists().read_at()) >= STALE_AFTER_MS
}

/// Task name by which nodes are ranked as readers.
const READER_TASK: &str = "members-read";

/// Reads the list from the platform. If that fails and this node has no list yet, fetches one from
/// a random live node.
fn read(shared: &Shared) {
    let requested_at = shared.now();
    match shared.platform.members() {
        Ok(list) => {
            let is_changed = shared.member_lists().replace_refused(&list.refused);
            for error in list.refused.iter().filter(|_| is_changed) {
                log_event!(
                    warn, PlatformFailed, %error,
                    "an entry of the membership list cannot be read; the others are used"
                );
            }
            let entries = list.members.iter().map(serde_json::to_string);
            if let Ok(entries) = entries.collect::<Result<Vec<String>, _>>() {
                shared.member_lists().record(entries, requested_at);
            }
        }
        Err(error) => {
            log_event!(
                warn, PlatformFailed, %error,
                "cannot read the membership list from the platform"
            );
            let peer = shared.peers().random_live(1).pop();
            if let Some(peer) = peer.filter(|_| shared.members().is_empty()) {
                fetch(shared, peer.address);
            }
        }
    }
}

/// Sends a query for the list's digest to a random reader. [`on_digest`] handles the reply.
fn query_random_reader(shared: &Shared, socket: &UdpSocket) {
    let mut readers = shared.ranked_nodes(READER_TASK);
    readers.truncate(READER_COUNT);
    let reader = readers.get(rand::random_range(0..readers.len().max(1)));
    let address = reader.and_then(|reader| {
        let peers = shared.peers();
        peers
            .live()
            .find(|peer| &peer.node == reader)
            .map(|peer| peer.address)
    });
    let Some(address) = address else { return };
    let query = Datagram::MembersQuery {
        sent_at: shared.now(),
        reply_to: shared.settings.advertised_peers_address(),
    };
    // If the query or its reply is lost, the next round sends another query.
    let _ = socket.send_to(&encode(&query), address);
}

/// Replies to a query with the digest and age of this node's list.
pub(crate) fn send_digest(shared: &Shared, socket: &UdpSocket, echo: TimeMs, reply_to: SocketAddr) {
    let reply = {
        let lists = shared.member_lists();
        Datagram::MembersDigest {
            echo,
            digest: lists.digest(),
            age_ms: shared.now().since_ms(lists.read_at()) as u32,
            address: shared.settings.advertised_peers_address(),
        }
    };
    let _ = socket.send_to(&encode(&reply), reply_to);
}

/// Handles a reader's digest: a matching digest confirms this node's list. Returns whether the
/// reader's list should be fetched.
pub(crate) fn on_digest(shared: &Shared, echo: TimeMs, digest: u64, age_ms: u32) -> bool {
    // The age is subtracted from the time of the query, so that a delayed reply never makes a list
    // appear newer than it is.
    let read_at = TimeMs(echo.0.saturating_sub(u64::from(age_ms)));
    let mut lists = shared.member_lists();
    lists.confirm(digest, read_at);
    digest != 0 && lists.should_fetch(digest, read_at)
}

/// Fetches the list, or its difference from this node's list, from another node.
fn fetch(shared: &Shared, address: SocketAddr) {
    let requested_at = shared.now();
    let known_digest = shared.member_lists().digest();
    let read_at = |age_ms: u32| TimeMs(requested_at.0.saturating_sub(u64::from(age_ms)));
    match ask_peer(address, &PeerRequest::Members { known_digest }) {
        Ok(PeerReply::Members { entries, age_ms }) => {
            shared.member_lists().record(entries, read_at(age_ms));
        }
        Ok(PeerReply::MembersChange {
            digest,
            age_ms,
            dropped,
            added,
        }) => {
            let change = Delta { dropped, added };
            shared
                .member_lists()
                .record_change(digest, &change, read_at(age_ms));
        }
        // The next round retries, possibly at another node.
        Ok(_) | Err(_) => {}
    }
}

/// Returns the reply to a node that has the list with `known_digest`: the difference if the known
/// list is still kept, else the whole list.
pub(crate) fn reply(shared: &Shared, known_digest: u64) -> PeerReply {
    let lists = shared.member_lists();
    let age_ms = shared.now().since_ms(lists.read_at()) as u32;
    let Some(newest) = lists.newest().filter(|list| list.digest != known_digest) else {
        return PeerReply::Nothing;
    };
    match lists.change_since(known_digest) {
        Some(Delta { dropped, added }) => PeerReply::MembersChange {
            digest: newest.digest,
            age_ms,
            dropped,
            added,
        },
        None => PeerReply::Members {
            entries: newest.entries.clone(),
            age_ms,
        },
    }
}

/// Returns the engine VMs of the list by fabric domain, with each domain's data centre.
pub(crate) fn engines_by_domain(
    members: &[PlatformMember],
) -> BTreeMap<FabricDomainId, (DataCentreId, Vec<&PlatformMember>)> {
    let mut domains: BTreeMap<_, (DataCentreId, Vec<&PlatformMember>)> = BTreeMap::new();
    for member in members
        .iter()
        .filter(|member| member.role == MemberRole::Engine)
    {
        let entry = domains
            .entry(member.fabric_domain.clone())
            .or_insert_with(|| (member.data_centre.clone(), Vec::new()));
        entry.1.push(member);
    }
    domains
}

/// Returns the number of VMs that the list shows as live, not leaving.
pub(crate) fn count_live(members: &[&PlatformMember]) -> usize {
    members
        .iter()
        .filter(|member| member.state == MemberState::Live)
        .count()
}
