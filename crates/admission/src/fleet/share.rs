//! What nodes tell each other about limits.

use jacinthpoint_types::{NodeId, OrganisationId};
use serde::{Deserialize, Serialize};
use strum::EnumCount;

use crate::limiter::LimitKind;

/// A number for each kind of limit.
type ByKind = [f32; LimitKind::COUNT];

/// Demand below this counts as none.
const IDLE_REQUESTS_PER_S: f32 = 0.01;

/// Shares of an organisation's limits, from 0 to 1 each.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Shares(ByKind);

impl Shares {
    /// The same share of every limit.
    pub fn all(share: f64) -> Shares {
        Shares([share as f32; LimitKind::COUNT])
    }

    /// An even share among a number of nodes.
    pub fn even(nodes: usize) -> Shares {
        Shares::all(1.0 / nodes.max(1) as f64)
    }

    /// Shares by kind.
    pub fn by_kind(share: impl Fn(LimitKind) -> f64) -> Shares {
        let kinds = [
            LimitKind::Requests,
            LimitKind::Tokens,
            LimitKind::Concurrency,
        ];
        Shares(kinds.map(|kind| share(kind) as f32))
    }

    /// The share of one limit. What came over the network may be no number; that counts as 0.
    pub fn of(&self, kind: LimitKind) -> f64 {
        let share = f64::from(self.0[kind as usize]);
        if share.is_finite() {
            share.clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// The larger of two shares of each limit.
    pub fn max(&self, other: &Shares) -> Shares {
        Shares::by_kind(|kind| self.of(kind).max(other.of(kind)))
    }
}

/// What an organisation wants from one node, whether it gets it or not.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Demand(ByKind);

impl Demand {
    /// Requests a second, tokens a second, and requests in flight at once.
    pub fn new(requests_per_s: f64, tokens_per_s: f64, concurrency: f64) -> Demand {
        Demand([
            requests_per_s as f32,
            tokens_per_s as f32,
            concurrency as f32,
        ])
    }

    /// The demand of one kind. What came over the network may be no number; that counts as 0.
    pub fn of(&self, kind: LimitKind) -> f64 {
        let demand = f64::from(self.0[kind as usize]);
        if demand.is_finite() {
            demand.max(0.0)
        } else {
            0.0
        }
    }

    /// Whether nothing is wanted.
    pub fn is_idle(&self) -> bool {
        let [requests_per_s, _, concurrency] = self.0;
        requests_per_s < IDLE_REQUESTS_PER_S && concurrency < 1.0
    }

    /// Moves towards a newer measurement by a weight from 0 to 1.
    pub fn mixed_with(self, newer: Demand, weight: f64) -> Demand {
        let mix = |old: f32, new: f32| old + (new - old) * weight as f32;
        Demand([
            mix(self.0[0], newer.0[0]),
            mix(self.0[1], newer.0[1]),
            mix(self.0[2], newer.0[2]),
        ])
    }
}

/// One node's demand for one organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// The node.
    pub node: NodeId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// What is wanted.
    pub demand: Demand,
    /// Shares that the node applies now.
    pub held: Shares,
}

/// Answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The organisation.
    pub organisation: OrganisationId,
    /// Shares that the node may apply.
    pub shares: Shares,
    /// How long, counted by the receiver from when it sent its report.
    pub valid_ms: u32,
}
