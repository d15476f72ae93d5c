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

/// Numbers of nodes that the home node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeCounts {
    /// Nodes on the platform's membership list. A node without a valid grant applies an even share
    /// among these.
    pub listed: usize,
    /// Nodes that the home node considers live, including itself.
    pub live: usize,
}

/// Last report of a node and the shares that it may be using.
#[derive(Debug, Clone)]
struct NodeShare {
    demand: Demand,
    /// For each limit, the largest share that the node may be using.
    outstanding: Shares,
    until: Deadline,
}

/// Allocates the shares of all organisations whose home is this node.
#[derive(Debug)]
pub struct ShareAllocator {
    node_counts: NodeCounts,
    /// Time at which the grants of a previous home node have expired. No share grows before.
    growth_allowed_at: Deadline,
    pools: BTreeMap<OrganisationId, BTreeMap<NodeId, NodeShare>>,
}

impl ShareAllocator {
    /// Creates an allocator without reports. It grows no share for [`GRANT_VALID_MS`], since
    /// another node may have been home until now.
    pub fn new(now: TimeMs) -> ShareAllocator {
        ShareAllocator {
            node_counts: NodeCounts { listed: 1, live: 1 },
            growth_allowed_at: Deadline::after_ms(now, GRANT_VALID_MS),
            pools: BTreeMap::new(),
        }
    }

    /// Sets the numbers of nodes. When they change, another node may have been home until now; no
    /// share grows until its grants have expired.
    pub fn set_node_counts(&mut self, node_counts: NodeCounts, now: TimeMs) {
        if node_counts != self.node_counts {
            self.node_counts = node_counts;
            self.growth_allowed_at = Deadline::after_ms(now, GRANT_VALID_MS);
        }
    }

    /// Records a node's report and grants it shares.
    pub fn grant(&mut self, report: &ShareReport, limits: &Limits, now: TimeMs) -> ShareGrant {
        let pool = self.pools.entry(report.organisation.clone()).or_default();
        pool.retain(|_, share| !share.until.has_passed(now));
        let until = Deadline::after_ms(now, GRANT_VALID_MS);
        pool.insert(
            report.node.clone(),
            NodeShare {
                demand: report.demand,
                outstanding: report.held,
                until,
            },
        );
        let may_grow = self.growth_allowed_at.has_passed(now);
        let available = self.node_counts.live.min(self.node_counts.listed) as f64
            / self.node_counts.listed.max(1) as f64;
        let shares = Shares::by_kind(|kind| {
            let target = target_share(pool, &report.node, kind, limits, available);
            let bound = if may_grow {
                available - outstanding_elsewhere(pool, &report.node, kind)
            } else {
                report.held.of(kind)
            };
            target.min(bound).max(0.0)
        });
        if let Some(own) = pool.get_mut(&report.node) {
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
        for pool in self.pools.values_mut() {
            pool.retain(|_, share| !share.until.has_passed(now));
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }
}

/// Returns the sum of the shares that all other nodes may be using.
fn outstanding_elsewhere(
    pool: &BTreeMap<NodeId, NodeShare>,
    node: &NodeId,
    kind: LimitKind,
) -> f64 {
    let others = pool.iter().filter(|(name, _)| *name != node);
    others.map(|(_, share)| share.outstanding.of(kind)).sum()
}

/// Returns the share that a node gets for its demand, before other nodes' outstanding shares are
/// considered. `available` is the part of the limit that the live nodes may use together; the rest
/// is left to listed nodes without a grant.
///
/// If the total demand is within `available`, each node gets its demand plus a proportional part of
/// the rest. Otherwise the allocation is max-min fair: small demands are met in full and large ones
/// get equal parts of the remainder, so that a node with very high demand takes nothing from a node
/// with little.
fn target_share(
    pool: &BTreeMap<NodeId, NodeShare>,
    node: &NodeId,
    kind: LimitKind,
    limits: &Limits,
    available: f64,
) -> f64 {
    let Some(limit) = limits.of(kind).filter(|limit| *limit > 0.0) else {
        return available;
    };
    let wanted = |share: &NodeShare| share.demand.of(kind) / limit;
    let own = pool.get(node).map_or(0.0, wanted);
    let sum: f64 = pool.values().map(wanted).sum();
    if sum <= 0.0 {
        return available / pool.len().max(1) as f64;
    }
    if sum <= available {
        return own * available / sum;
    }
    own.min(max_min_cap(pool.values().map(wanted).collect(), available))
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
