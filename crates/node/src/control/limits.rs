//! An organisation's limits apply to the whole fleet, but its requests arrive at many nodes. Each
//! node reports the demand that it sees to the organisation's home node, which grants the node a
//! share of the limits. This module sends the reports, and replies to them as a home node.

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

/// Interval between reports of demand. Several reports fit into a grant's validity, so that a lost
/// one does no harm.
const REPORT_INTERVAL_MS: u64 = 500;
/// Number of reports in one datagram. With the longest names the datagram is still below the MTU.
const REPORTS_PER_DATAGRAM: usize = 7;

/// Reports demand until the node stops.
pub(crate) fn run(shared: &Shared, socket: &UdpSocket) {
    while !shared.is_stopped() {
        shared.sleep_ms(REPORT_INTERVAL_MS);
        update_node_counts(shared);
        let Some(in_force) = shared.config() else {
            continue;
        };
        for (home, reports) in due_reports(shared, &in_force.config) {
            send_reports(shared, socket, home, reports);
        }
        let now = shared.now();
        shared.limits.share_allocator().expire(now);
    }
}

/// Names the destination of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum HomeAddress {
    ThisNode,
    Remote(SocketAddr),
}

/// Passes the current numbers of nodes to this node's share allocator and limiters.
fn update_node_counts(shared: &Shared) {
    let members = shared.members();
    // Nodes have the role `Entry`.
    let nodes = members
        .iter()
        .filter(|member| member.role == MemberRole::Entry);
    let live = shared.peers().live().count() + 1;
    // The list lags: a live node counts as listed even if it is not on the list yet.
    let listed = nodes.count().max(live);
    let now = shared.now();
    shared
        .limits
        .share_allocator()
        .set_node_counts(NodeCounts { listed, live }, now);
    for mut limiter in shared.limits.shards() {
        limiter.set_listed_nodes(listed);
    }
}

/// Returns the reports of this node by destination. Organisations without limits are not reported.
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

/// Returns the address of the organisation's home node, or `None` if the node is not live.
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

/// Returns the home node of an organisation, the first in its ranking.
fn home_node(shared: &Shared, organisation: &OrganisationId) -> Option<NodeId> {
    let task = format!("limits/{organisation}");
    shared.ranked_nodes(&task).into_iter().next()
}

/// Sends reports to a home node, or handles them at once if this node is the home node.
fn send_reports(shared: &Shared, socket: &UdpSocket, home: HomeAddress, reports: Vec<ShareReport>) {
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
                // If the datagram is lost, the next report replaces it.
                let _ = socket.send_to(&encode(&datagram), address);
            }
        }
    }
}

/// Replies to another node's reports with grants.
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

/// Returns grants for those reports whose organisation has this node as its home node. Reports of
/// other organisations get no grant, because two home nodes could grant the same share twice.
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
        Some(shared.limits.share_allocator().grant(report, &limits, now))
    });
    grants.collect()
}

/// Applies grants that reply to a report sent at `sent_at`, from which their validity is counted.
pub(crate) fn apply_grants(shared: &Shared, sent_at: TimeMs, grants: Vec<ShareGrant>) {
    // This node's clock has not reached `sent_at`, so the grants reply to a report of another node
    // or of an earlier incarnation of this one.
    if sent_at > shared.now() {
        return;
    }
    for grant in grants {
        let until = Deadline::after_ms(sent_at, u64::from(grant.valid_ms));
        let mut limiter = shared.limits.lock_limiter_of(&grant.organisation);
        limiter.apply_grant(&grant.organisation, grant.shares, until);
    }
}
