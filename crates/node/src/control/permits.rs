//! Asks the probers of each fabric domain for permits, and grants them.

use std::net::UdpSocket;

use jacinthpoint_readiness::Permit;
use jacinthpoint_types::{Deadline, NodeId};
use jacinthpoint_wire::{Datagram, PermitGrant, encode};

use crate::{
    control::{members::engines_by_domain, probing::PROBERS},
    shared::Shared,
};

/// How often permits are asked for; several times within the life of one.
const ASK_MS: u64 = 250;

/// Keeps the node's permits fresh until it stops.
pub(crate) fn run(shared: &Shared, socket: &UdpSocket) {
    while !shared.is_stopped() {
        take_own_grants(shared);
        let request = Datagram::PermitRequest {
            sent_at: shared.now(),
            reply_to: shared.settings.peers_address(),
        };
        let bytes = encode(&request);
        for address in prober_addresses(shared) {
            let _ = socket.send_to(&bytes, address);
        }
        let now = shared.now();
        shared.permits().expire(now);
        shared.sleep_ms(ASK_MS);
    }
}

fn prober_addresses(shared: &Shared) -> Vec<std::net::SocketAddr> {
    let members = shared.members();
    let domains = engines_by_domain(&members);
    let mut probers: Vec<NodeId> = domains
        .keys()
        .flat_map(|domain| {
            shared
                .ranked_nodes(domain.as_str())
                .into_iter()
                .take(PROBERS)
        })
        .collect();
    probers.sort();
    probers.dedup();
    let peers = shared.peers();
    let addresses = peers
        .live()
        .filter(|peer| probers.binary_search(&peer.node).is_ok());
    addresses.map(|peer| peer.address).collect()
}

fn take_own_grants(shared: &Shared) {
    // Taken before the grants are made, as a remote node would.
    let asked_at = shared.now();
    for grant in own_grants(shared) {
        let deadline = Deadline::after_ms(asked_at, u64::from(grant.valid_ms));
        take_grant(shared, grant, deadline);
    }
}

/// Grants for the whole groups that this node probes.
pub(crate) fn own_grants(shared: &Shared) -> Vec<PermitGrant> {
    let now = shared.now();
    let domains = shared.domains.lock();
    let sights = domains.values().flat_map(|domain| {
        domain
            .prober
            .whole_groups(now)
            .into_iter()
            .map(|sight| (domain.data_centre.clone(), sight))
    });
    let grants = sights.map(|(data_centre, sight)| PermitGrant {
        valid_ms: sight.deadline.remaining_ms(now) as u32,
        load: sight.load,
        load_age_ms: now.since_ms(sight.load_at) as u32,
        assignment: sight.assignment,
        data_centre,
    });
    grants.collect()
}

/// Takes a grant into the node's permits.
pub(crate) fn take_grant(shared: &Shared, grant: PermitGrant, deadline: Deadline) {
    let now = shared.now();
    let permit = Permit {
        assignment: grant.assignment,
        data_centre: grant.data_centre,
        deadline,
        load: grant.load,
        load_at: jacinthpoint_types::TimeMs(now.0.saturating_sub(u64::from(grant.load_age_ms))),
    };
    if !deadline.has_passed(now) {
        shared.permits().insert(permit);
    }
}
