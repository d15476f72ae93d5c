//! Share reports: what organisations want from this node, told to their home nodes, which grant
//! shares of the fleet-wide limits.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
};

use jacinthpoint_admission::{NodeCounts, ShareGrant, ShareReport};
use jacinthpoint_platform::MemberRole;
use jacinthpoint_records::Config;
use jacinthpoint_types::{Deadline, NodeId, OrganisationId, TimeMs};
use jacinthpoint_wire::{Datagram, encode};

use crate::{caller::declared_limits, shared::Shared};

/// How often demand is reported; several times within the life of a grant.
const REPORT_INTERVAL_MS: u64 = 500;
/// Reports in one datagram, so that it stays below the MTU with the longest names.
const REPORTS_PER_DATAGRAM: usize = 7;

/// Reports until the node stops.
pub(crate) fn run(shared: &Shared, socket: &UdpSocket) {
    while !shared.is_stopped() {
        shared.sleep_ms(REPORT_INTERVAL_MS);
        update_node_counts(shared);
        let Some(in_force) = shared.config() else {
            continue;
        };
        for (home, reports) in due_reports(shared, &in_force.config) {
            send(shared, socket, home, reports);
        }
        let now = shared.now();
        shared.limits.home().expire(now);
    }
}

/// Where a report goes: to this node itself, or to another one's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum HomeAddress {
    ThisNode,
    Remote(SocketAddr),
}

fn update_node_counts(shared: &Shared) {
    let members = shared.members();
    let entries = members
        .iter()
        .filter(|member| member.role == MemberRole::Entry);
    let live = shared.peers().live().count() + 1;
    // The list lags; a node that is heard of counts although it is not listed yet.
    let listed = entries.count().max(live);
    let now = shared.now();
    shared
        .limits
        .home()
        .set_node_counts(NodeCounts { listed, live }, now);
    for mut limiter in shared.limits.shards() {
        limiter.set_listed_nodes(listed);
    }
}

fn due_reports(shared: &Shared, config: &Config) -> BTreeMap<HomeAddress, Vec<ShareReport>> {
    let now = shared.now();
    let mut reports: BTreeMap<HomeAddress, Vec<ShareReport>> = BTreeMap::new();
    for mut limiter in shared.limits.shards() {
        for (organisation, demand) in limiter.take_demands(now) {
            let is_limited = config
                .organisations
                .get(&organisation)
                .is_some_and(|record| !declared_limits(record).is_empty());
            let home = is_limited
                .then(|| home_address(shared, &organisation))
                .flatten();
            let Some(home) = home else { continue };
            let report = ShareReport {
                node: shared.settings.name.clone(),
                held: limiter.shares(&organisation, now),
                organisation,
                demand,
            };
            reports.entry(home).or_default().push(report);
        }
    }
    reports
}

fn home_address(shared: &Shared, organisation: &OrganisationId) -> Option<HomeAddress> {
    let home = home_node(shared, organisation)?;
    if home == shared.settings.name {
        return Some(HomeAddress::ThisNode);
    }
    let peers = shared.peers();
    let address = peers
        .live()
        .find(|peer| peer.node == home)
        .map(|peer| peer.address);
    address.map(HomeAddress::Remote)
}

fn home_node(shared: &Shared, organisation: &OrganisationId) -> Option<NodeId> {
    let task = format!("limits/{organisation}");
    shared.ranked_nodes(&task).into_iter().next()
}

fn send(shared: &Shared, socket: &UdpSocket, home: HomeAddress, reports: Vec<ShareReport>) {
    let sent_at = shared.now();
    match home {
        HomeAddress::ThisNode => {
            let grants = grants_for(shared, &reports);
            apply_grants(shared, sent_at, grants);
        }
        HomeAddress::Remote(address) => {
            for part in reports.chunks(REPORTS_PER_DATAGRAM) {
                let datagram = Datagram::ShareReports {
                    sent_at,
                    reply_to: shared.settings.listen_peers,
                    reports: part.to_vec(),
                };
                // A lost datagram is made good by the next one.
                let _ = socket.send_to(&encode(&datagram), address);
            }
        }
    }
}

/// Grants shares to another node.
pub(crate) fn on_reports(
    shared: &Shared,
    socket: &UdpSocket,
    sent_at: TimeMs,
    reply_to: SocketAddr,
    reports: &[ShareReport],
) {
    let grants = grants_for(shared, reports);
    if !grants.is_empty() {
        let reply = Datagram::ShareGrants {
            echo: sent_at,
            grants,
        };
        let _ = socket.send_to(&encode(&reply), reply_to);
    }
}

/// Grants for the organisations whose home is this node. For the others there is none: two homes
/// could grant the same share twice.
fn grants_for(shared: &Shared, reports: &[ShareReport]) -> Vec<ShareGrant> {
    let Some(in_force) = shared.config() else {
        return Vec::new();
    };
    let now = shared.now();
    let own = reports.iter().filter(|report| {
        home_node(shared, &report.organisation).as_ref() == Some(&shared.settings.name)
    });
    let grants = own.filter_map(|report| {
        let record = in_force.config.organisations.get(&report.organisation)?;
        let limits = declared_limits(record);
        Some(shared.limits.home().grant(report, &limits, now))
    });
    grants.collect()
}

/// Takes grants into the node's limits.
pub(crate) fn apply_grants(shared: &Shared, sent_at: TimeMs, grants: Vec<ShareGrant>) {
    // An echo from the future was not sent by this node, or before its last start.
    if sent_at > shared.now() {
        return;
    }
    for grant in grants {
        let until = Deadline::after_ms(sent_at, u64::from(grant.valid_ms));
        let mut limiter = shared.limits.of(&grant.organisation);
        limiter.apply_grant(&grant.organisation, grant.shares, until);
    }
}
