//! Allocates shares of an organisation's limits on its home node.
//!
//! The sum of all shares must stay within the limit, also while grants are lost or arrive late, or
//! while another node becomes the home node. A share therefore grows only into the part of the
//! limit that no other node may still be using.

use std::collections::BTreeMap;

use jacinthpoint_types::{Deadline, NodeId, OrganisationId, TimeMs};

use crate::{
    fleet::share::{Demand, ShareGrant, ShareReport, Shares},
    limiter::{LimitKind, Limits},
};

/// Time for which a grant is valid. Nodes send several reports in this time, so one lost datagram
/// does not end a grant.
pub const GRANT_VALID_MS: u64 = 3_000;

/// Numbers of nodes in the fleet, as counted by the home node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeCounts {
    /// Nodes on the platform's membership list. A node without a valid grant applies an even share
    /// among these.
    pub listed: usize,
    /// Nodes that the home node considers live, suspects included, and the home node itself.
    pub live: usize,
}

/// Last report of a node and the shares that it may be using.
#[derive(Debug, Clone)]
struct NodeShare {
    demand: Demand,
    /// For each limit, the largest share that the node may be using.
    outstanding: Shares,
    /// Time until which the node may use these shares.
    expires_at: Deadline,
}

/// Allocates the shares of all organisations whose home is this node.
#[derive(Debug)]
pub struct ShareAllocator {
    node_counts: NodeCounts,
    /// Time at which the grants of a previous home node have expired. No share grows before.
    growth_allowed_at: Deadline,
    /// Report and shares of each node, by organisation.
    shares_by_organisation: BTreeMap<OrganisationId, BTreeMap<NodeId, NodeShare>>,
}

impl ShareAllocator {
    /// Creates an allocator without reports. It grows no share for [`GRANT_VALID_MS`], since
    /// another node may have been the home node until now.
    pub fn new(now: TimeMs) -> ShareAllocator {
        ShareAllocator {
            node_counts: NodeCounts { listed: 1, live: 1 },
            growth_allowed_at: Deadline::after_ms(now, GRANT_VALID_MS),
            shares_by_organisation: BTreeMap::new(),
        }
    }

    /// Sets the numbers of nodes. With a change, this node may have become the home node of an
    /// organisation; no share grows until the grants of the previous home node have expired.
    pub fn set_node_counts(&mut self, node_counts: NodeCounts, now: TimeMs) {
        if node_counts != self.node_counts {
            self.node_counts = node_counts;
            self.growth_allowed_at = Deadline::after_ms(now, GRANT_VALID_MS);
        }
    }

    /// Records a node's report and grants it shares.
    pub fn grant(&mut self, report: &ShareReport, limits: &Limits, now: TimeMs) -> ShareGrant {
        let node_shares = self
            .shares_by_organisation
            .entry(report.organisation.clone())
            .or_default();
        node_shares.retain(|_, share| !share.expires_at.has_passed(now));
        let expires_at = Deadline::after_ms(now, GRANT_VALID_MS);
        node_shares.insert(
            report.node.clone(),
            NodeShare {
                demand: report.demand,
                outstanding: report.held,
                expires_at,
            },
        );
        let may_grow = self.growth_allowed_at.has_passed(now);
        // Listed nodes that are not live may still apply an even share each, so the live nodes
        // share only the rest of each limit.
        let live_part = self.node_counts.live.min(self.node_counts.listed) as f64
            / self.node_counts.listed.max(1) as f64;
        let shares = Shares::by_kind(|kind| {
            let target = target_share(node_shares, &report.node, kind, limits, live_part);
            let bound = if may_grow {
                live_part - outstanding_elsewhere(node_shares, &report.node, kind)
            } else {
                report.held.of(kind)
            };
            target.min(bound).max(0.0)
        });
        if let Some(own) = node_shares.get_mut(&report.node) {
            // The grant may be lost: until its next report, the node may apply the old or the new
            // shares.
            own.outstanding = report.held.max(&shares);
        }
        ShareGrant {
            organisation: report.organisation.clone(),
            shares,
            valid_ms: GRANT_VALID_MS as u32,
        }
    }

    /// Removes organisations that no node has reported within [`GRANT_VALID_MS`].
    pub fn expire(&mut self, now: TimeMs) {
        for node_shares in self.shares_by_organisation.values_mut() {
            node_shares.retain(|_, share| !share.expires_at.has_passed(now));
        }
        self.shares_by_organisation
            .retain(|_, node_shares| !node_shares.is_empty());
    }
}

/// Returns the sum of the shares that all other nodes may be using.
fn outstanding_elsewhere(
    node_shares: &BTreeMap<NodeId, NodeShare>,
    node: &NodeId,
    kind: LimitKind,
) -> f64 {
    let others = node_shares.iter().filter(|(name, _)| *name != node);
    others.map(|(_, share)| share.outstanding.of(kind)).sum()
}

/// Returns the share that a node gets for its demand, before other nodes' outstanding shares are
/// considered. `live_part` is the part of the limit that the live nodes may use together; the rest
/// is left to listed nodes without a grant.
///
/// Without a declared limit above 0, the share has no effect and `live_part` is returned. If the
/// total demand is within `live_part`, each node gets its demand plus a proportional part of
/// the rest. Otherwise the allocation is max-min fair: small demands are met in full and large ones
/// get equal parts of the remainder, so that a node with very high demand takes nothing from a node
/// with little.
fn target_share(
    node_shares: &BTreeMap<NodeId, NodeShare>,
    node: &NodeId,
    kind: LimitKind,
    limits: &Limits,
    live_part: f64,
) -> f64 {
    let Some(limit) = limits.of(kind).filter(|limit| *limit > 0.0) else {
        return live_part;
    };
    let wanted = |share: &NodeShare| share.demand.of(kind) / limit;
    let own = node_shares.get(node).map_or(0.0, wanted);
    let sum: f64 = node_shares.values().map(wanted).sum();
    if sum <= 0.0 {
        return live_part / node_shares.len().max(1) as f64;
    }
    if sum <= live_part {
        return own * live_part / sum;
    }
    own.min(max_min_cap(
        node_shares.values().map(wanted).collect(),
        live_part,
    ))
}

/// Returns the cap at which the demands, each cut to the cap, add up to `available`.
fn max_min_cap(mut wanted: Vec<f64>, available: f64) -> f64 {
    wanted.sort_by(f64::total_cmp);
    let mut remaining = available;
    for (index, demand) in wanted.iter().enumerate() {
        let even = remaining / (wanted.len() - index) as f64;
        if *demand >= even {
            return even;
        }
        remaining -= demand;
    }
    available
}
