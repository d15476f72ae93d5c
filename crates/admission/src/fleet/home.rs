//! The home node of an organisation deals out shares of its limits.
//!
//! A share grows only into what no other node may still be using. So the sum of all shares stays
//! within the limit while grants are lost, arrive late, or the home moves to another node.

use std::collections::BTreeMap;

use jacinthpoint_types::{Deadline, NodeId, OrganisationId, TimeMs};

use crate::{
    fleet::share::{Demand, ShareGrant, ShareReport, Shares},
    limiter::{LimitKind, Limits},
};

/// How long a grant holds. Several reports go out in this time.
pub const GRANT_VALID_MS: u64 = 3_000;

/// The nodes, as the home node sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeCounts {
    /// Nodes on the platform's list. A node that hears of no home applies an even share of these.
    pub listed: usize,
    /// Nodes among them that this one hears.
    pub live: usize,
}

#[derive(Debug, Clone)]
struct NodeShare {
    demand: Demand,
    outstanding: Shares,
    until: Deadline,
}

/// Shares of all organisations whose home is this node.
#[derive(Debug)]
pub struct ShareAllocator {
    membership: NodeCounts,
    settled_at: Deadline,
    pools: BTreeMap<OrganisationId, BTreeMap<NodeId, NodeShare>>,
}

impl ShareAllocator {
    /// A home that has heard nothing yet.
    pub fn new(now: TimeMs) -> ShareAllocator {
        ShareAllocator {
            membership: NodeCounts { listed: 1, live: 1 },
            settled_at: Deadline::after_ms(now, GRANT_VALID_MS),
            pools: BTreeMap::new(),
        }
    }

    /// Takes in the nodes. When they change, another node may have been home until now; no share
    /// grows until its grants have ended.
    pub fn set_node_counts(&mut self, membership: NodeCounts, now: TimeMs) {
        if membership != self.membership {
            self.membership = membership;
            self.settled_at = Deadline::after_ms(now, GRANT_VALID_MS);
        }
    }

    /// Takes a node's report and grants it a share.
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
        let may_grow = self.settled_at.has_passed(now);
        let whole = self.membership.live.min(self.membership.listed) as f64
            / self.membership.listed.max(1) as f64;
        let shares = Shares::by_kind(|kind| {
            let target = target_share(pool, &report.node, kind, limits, whole);
            let bound = if may_grow {
                whole - outstanding_elsewhere(pool, &report.node, kind)
            } else {
                report.held.of(kind)
            };
            target.min(bound).max(0.0)
        });
        if let Some(own) = pool.get_mut(&report.node) {
            // Until the next report tells, the node may apply the old or the new share.
            own.outstanding = report.held.max(&shares);
        }
        ShareGrant {
            organisation: report.organisation.clone(),
            shares,
            valid_ms: GRANT_VALID_MS as u32,
        }
    }

    /// Forgets organisations that no node reports.
    pub fn expire(&mut self, now: TimeMs) {
        for pool in self.pools.values_mut() {
            pool.retain(|_, share| !share.until.has_passed(now));
        }
        self.pools.retain(|_, pool| !pool.is_empty());
    }
}

fn outstanding_elsewhere(
    pool: &BTreeMap<NodeId, NodeShare>,
    node: &NodeId,
    kind: LimitKind,
) -> f64 {
    let others = pool.iter().filter(|(name, _)| *name != node);
    others.map(|(_, share)| share.outstanding.of(kind)).sum()
}

/// The share that a node's demand deserves.
///
/// Under the limit each node gets its demand and a part of the rest in proportion. Above it, small
/// demands are met whole and the large ones get equal parts of what is left, so that a node with a
/// flood takes nothing from one with a trickle.
fn target_share(
    pool: &BTreeMap<NodeId, NodeShare>,
    node: &NodeId,
    kind: LimitKind,
    limits: &Limits,
    whole: f64,
) -> f64 {
    let Some(limit) = limits.of(kind).filter(|limit| *limit > 0.0) else {
        return whole;
    };
    let wanted = |share: &NodeShare| share.demand.of(kind) / limit;
    let own = pool.get(node).map_or(0.0, wanted);
    let sum: f64 = pool.values().map(wanted).sum();
    if sum <= 0.0 {
        return whole / pool.len().max(1) as f64;
    }
    if sum <= whole {
        return own * whole / sum;
    }
    own.min(level(pool.values().map(wanted).collect(), whole))
}

/// The level at which demands cut to it add up to `whole`.
fn level(mut wanted: Vec<f64>, whole: f64) -> f64 {
    wanted.sort_by(f64::total_cmp);
    let mut left = whole;
    for (index, demand) in wanted.iter().enumerate() {
        let even = left / (wanted.len() - index) as f64;
        if *demand >= even {
            return even;
        }
        left -= demand;
    }
    whole
}
