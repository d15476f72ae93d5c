//! A node may send requests to a group only while it holds a permit for it. This module requests
//! permits from the probers of each fabric domain and, as a prober, grants permits to other nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, UdpSocket},
};

use jacinthpoint_readiness::{DomainProbers, Permit, grants_digest};
use jacinthpoint_types::{Deadline, Epoch, GroupId, NodeId, TimeMs};
use jacinthpoint_wire::{Datagram, GrantTerms, MAX_DATAGRAM_BYTES, PermitGrant, encode};

use crate::{
    control::{members::engines_by_domain, probing::PROBERS_PER_DOMAIN},
    events::log_event,
    shared::Shared,
};

/// Interval between permit requests. Several requests fit into a permit's validity, so that a lost
/// one does no harm.
const REQUEST_INTERVAL_MS: u64 = 400;
/// Maximum size of the grants in one datagram. The remaining bytes hold the other fields.
const MAX_GRANTS_BYTES: usize = MAX_DATAGRAM_BYTES - 128;

/// Renews the node's permits until the node stops.
pub(crate) fn run(shared: &Shared, socket: &UdpSocket) {
    let mut logged = BTreeMap::new();
    while !shared.is_stopped() {
        record_own_grants(shared);
        send_requests(shared, socket);
        let now = shared.now();
        shared.permits().expire(now);
        log_changes(shared, now, &mut logged);
        shared.sleep_ms(REQUEST_INTERVAL_MS);
    }
}

/// Logs groups for which the node got or lost its permit since the last call.
fn log_changes(shared: &Shared, now: TimeMs, logged: &mut BTreeMap<GroupId, Epoch>) {
    let held: BTreeMap<GroupId, Epoch> = shared
        .permits()
        .held(now)
        .map(|permit| (permit.assignment.group.clone(), permit.assignment.epoch))
        .collect();
    for (group, epoch) in held
        .iter()
        .filter(|(group, epoch)| logged.get(group) != Some(epoch))
    {
        log_event!(debug, GroupChanged, %group, %epoch, usable = true, "the node may use a group");
    }
    for (group, epoch) in logged.iter().filter(|(group, _)| !held.contains_key(group)) {
        log_event!(debug, GroupChanged, %group, %epoch, usable = false, "the node may not use a group");
    }
    *logged = held;
}

/// Sends a permit request to each prober that the permit client selects.
fn send_requests(shared: &Shared, socket: &UdpSocket) {
    let domains = domain_probers(shared);
    let now = shared.now();
    let mut probers = shared.permit_client().probers_to_query(now, &domains);
    probers.remove(&shared.settings.name);
    let all: Vec<NodeId> = domains
        .into_iter()
        .flat_map(|domain| domain.probers)
        .collect();
    shared.grant_cache().retain(&all);
    for (prober, address) in prober_addresses(shared, &probers) {
        let request = Datagram::PermitRequest {
            sent_at: shared.now(),
            reply_to: shared.settings.advertised_peers_address(),
            known_digest: shared.grant_cache().known_digest(&prober),
        };
        // If the request is lost, the next one arrives before the permit expires.
        let _ = socket.send_to(&encode(&request), address);
    }
}

/// Returns the probers of every fabric domain in rank order.
fn domain_probers(shared: &Shared) -> Vec<DomainProbers> {
    let members = shared.members();
    let domains = engines_by_domain(&members);
    let probers = domains.into_iter().map(|(domain, (data_centre, _))| {
        let mut probers = shared.ranked_nodes(domain.as_str());
        probers.truncate(PROBERS_PER_DOMAIN);
        DomainProbers {
            domain,
            data_centre,
            probers,
        }
    });
    probers.collect()
}

/// Returns the addresses of those `probers` that are live.
fn prober_addresses(shared: &Shared, probers: &BTreeSet<NodeId>) -> Vec<(NodeId, SocketAddr)> {
    let peers = shared.peers();
    let live = peers.live().filter(|peer| probers.contains(&peer.node));
    live.map(|peer| (peer.node.clone(), peer.address)).collect()
}

/// Records permits for the groups that this node probes itself.
fn record_own_grants(shared: &Shared) {
    // Read before the grants are made, as a remote node's request time is, so that a permit never
    // lasts longer than its grant.
    let requested_at = shared.now();
    record_grants(shared, own_grants(shared), requested_at);
}

/// Replies to a permit request. If the requesting node already has the grants with this digest,
/// only their terms are sent, else the grants in one or more datagrams.
pub(crate) fn reply(
    shared: &Shared,
    socket: &UdpSocket,
    echo: TimeMs,
    reply_to: SocketAddr,
    known_digest: u64,
) {
    let grants = own_grants(shared);
    let digest = grants_digest(&grants);
    let prober = shared.settings.name.clone();
    if digest == known_digest {
        let terms = grants.iter().map(|grant| grant.terms).collect();
        let reply = Datagram::PermitTerms {
            echo,
            prober,
            digest,
            terms,
        };
        let _ = socket.send_to(&encode(&reply), reply_to);
        return;
    }
    let lists = split_grants(grants);
    let parts = lists.len() as u8;
    for (part, grants) in (0..parts).zip(lists) {
        let prober = prober.clone();
        let reply = Datagram::PermitReply {
            echo,
            prober,
            digest,
            part,
            parts,
            grants,
        };
        let _ = socket.send_to(&encode(&reply), reply_to);
    }
}

/// Splits grants into parts that each fit into one datagram.
fn split_grants(grants: Vec<PermitGrant>) -> Vec<Vec<PermitGrant>> {
    let mut parts: Vec<Vec<PermitGrant>> = vec![Vec::new()];
    let mut used = 0;
    for grant in grants {
        let bytes = encode(&grant).len();
        if used + bytes > MAX_GRANTS_BYTES && used > 0 {
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

/// Returns grants for the groups probed by this node whose members have all confirmed their
/// assignment.
fn own_grants(shared: &Shared) -> Vec<PermitGrant> {
    let now = shared.now();
    let domains = shared.domains.lock();
    let confirmed = domains.iter().flat_map(|(name, domain)| {
        let groups = domain.prober.confirmed_groups(now);
        groups.into_iter().map(move |group| (name, domain, group))
    });
    let grants = confirmed.map(|(name, domain, group)| PermitGrant {
        terms: GrantTerms {
            valid_ms: group.deadline.remaining_ms(now) as u32,
            load: group.load,
            load_age_ms: now.since_ms(group.load_at) as u32,
        },
        assignment: group.assignment,
        data_centre: domain.data_centre.clone(),
        fabric_domain: name.clone(),
    });
    grants.collect()
}

/// Handles a prober's reply to a request sent at `requested_at`.
pub(crate) fn on_reply(
    shared: &Shared,
    prober: &NodeId,
    grants: Vec<PermitGrant>,
    requested_at: TimeMs,
) {
    let domains_and_models = grants.iter().map(|grant| {
        let domain = grant.fabric_domain.clone();
        (domain, grant.assignment.model.clone())
    });
    let now = shared.now();
    shared
        .permit_client()
        .on_answer(now, prober, domains_and_models);
    record_grants(shared, grants, requested_at);
}

/// Records grants that reply to a request sent at `requested_at`, from which their validity is
/// counted.
fn record_grants(shared: &Shared, grants: Vec<PermitGrant>, requested_at: TimeMs) {
    let now = shared.now();
    // This node's clock has not reached `requested_at`, so the grants reply to a request of another
    // node or of an earlier incarnation of this one.
    if requested_at > now {
        return;
    }
    let mut permits = shared.permits();
    for grant in grants {
        let deadline = Deadline::after_ms(requested_at, u64::from(grant.terms.valid_ms));
        if deadline.has_passed(now) {
            continue;
        }
        permits.insert(Permit {
            assignment: grant.assignment,
            data_centre: grant.data_centre,
            deadline,
            load: grant.terms.load,
            load_at: TimeMs(now.0.saturating_sub(u64::from(grant.terms.load_age_ms))),
        });
    }
}
