//! Asks the probers of each fabric domain for permits, and grants them.

use std::{
    collections::BTreeSet,
    net::{SocketAddr, UdpSocket},
};

use jacinthpoint_readiness::{DomainProbers, Permit, grants_digest};
use jacinthpoint_types::{Deadline, NodeId, TimeMs};
use jacinthpoint_wire::{Datagram, GrantTerms, MAX_DATAGRAM_BYTES, PermitGrant, encode};

use crate::{
    control::{members::engines_by_domain, probing::PROBERS_PER_DOMAIN},
    shared::Shared,
};

/// How often permits are asked for; several times within the life of one.
const REQUEST_INTERVAL_MS: u64 = 400;
/// Room for grants in one datagram, beside the other fields.
const MAX_GRANTS_BYTES: usize = MAX_DATAGRAM_BYTES - 128;

/// Keeps the node's permits fresh until it stops.
pub(crate) fn run(shared: &Shared, socket: &UdpSocket) {
    while !shared.is_stopped() {
        record_own_grants(shared);
        send_requests(shared, socket);
        let now = shared.now();
        shared.permits().expire(now);
        shared.sleep_ms(REQUEST_INTERVAL_MS);
    }
}

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
            reply_to: shared.settings.peers_address(),
            known_digest: shared.grant_cache().known_digest(&prober),
        };
        // A lost request is made good by the next one, before the permit runs out.
        let _ = socket.send_to(&encode(&request), address);
    }
}

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

fn prober_addresses(shared: &Shared, probers: &BTreeSet<NodeId>) -> Vec<(NodeId, SocketAddr)> {
    let peers = shared.peers();
    let live = peers.live().filter(|peer| probers.contains(&peer.node));
    live.map(|peer| (peer.node.clone(), peer.address)).collect()
}

fn record_own_grants(shared: &Shared) {
    // Taken before the grants are made, as a remote node would.
    let requested_at = shared.now();
    record_grants(shared, own_grants(shared), requested_at);
}

/// Answers a node that asks for permits.
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

/// Groups grants so that each reply fits into one datagram.
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

/// Grants for the whole groups that this node probes.
fn own_grants(shared: &Shared) -> Vec<PermitGrant> {
    let now = shared.now();
    let domains = shared.domains.lock();
    let confirmed = domains.iter().flat_map(|(name, domain)| {
        let whole = domain.prober.confirmed_groups(now);
        whole.into_iter().map(move |group| (name, domain, group))
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

/// Takes the answer of a prober to a request sent at `requested_at`.
pub(crate) fn on_reply(
    shared: &Shared,
    prober: &NodeId,
    grants: Vec<PermitGrant>,
    requested_at: TimeMs,
) {
    let groups = grants.iter().map(|grant| {
        let domain = grant.fabric_domain.clone();
        (domain, grant.assignment.model.clone())
    });
    let now = shared.now();
    shared.permit_client().on_answer(now, prober, groups);
    record_grants(shared, grants, requested_at);
}

/// Takes grants that answer a request sent at `requested_at`.
fn record_grants(shared: &Shared, grants: Vec<PermitGrant>, requested_at: TimeMs) {
    let now = shared.now();
    // A time from the future was not sent by this node, or before its last start.
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
