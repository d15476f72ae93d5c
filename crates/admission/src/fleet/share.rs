//! Reports and grants by which nodes divide fleet-wide limits.

use jacinthpoint_types::{NodeId, OrganisationId};
use serde::{Deserialize, Serialize};
use strum::EnumCount;

use crate::limiter::LimitKind;

/// One number for each kind of limit, indexed by [`LimitKind`].
type ByKind = [f32; LimitKind::COUNT];

/// Demand below this rate counts as idle.
const IDLE_REQUESTS_PER_S: f32 = 0.01;

/// Shares of an organisation's limits, each from 0 to 1.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Shares(ByKind);

impl Shares {
    /// Returns the same share of every limit.
    pub fn all(share: f64) -> Shares {
        Shares([share as f32; LimitKind::COUNT])
    }

    /// Returns the share of one of `nodes` nodes if each limit is split evenly.
    pub fn even(nodes: usize) -> Shares {
        Shares::all(1.0 / nodes.max(1) as f64)
    }

    /// Returns the shares that `share` returns for each kind of limit.
    pub fn by_kind(share: impl Fn(LimitKind) -> f64) -> Shares {
        let kinds = [
            LimitKind::Requests,
            LimitKind::Tokens,
            LimitKind::Concurrency,
        ];
        Shares(kinds.map(|kind| share(kind) as f32))
    }

    /// Returns the share of one limit, from 0 to 1. A value received over the network may be out
    /// of this range or not finite; the latter counts as 0.
    pub fn of(&self, kind: LimitKind) -> f64 {
        let share = f64::from(self.0[kind as usize]);
        if share.is_finite() {
            share.clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// Returns the larger of the two shares for each limit.
    pub fn max(&self, other: &Shares) -> Shares {
        Shares::by_kind(|kind| self.of(kind).max(other.of(kind)))
    }
}

/// Load that an organisation's callers send to one node, admitted and refused.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Demand(ByKind);

impl Demand {
    /// Creates a demand in requests per second, tokens per second and requests in flight or
    /// refused.
    pub fn new(requests_per_s: f64, tokens_per_s: f64, concurrency: f64) -> Demand {
        Demand([
            requests_per_s as f32,
            tokens_per_s as f32,
            concurrency as f32,
        ])
    }

    /// Returns the demand of one kind. A value received over the network may be negative or not
    /// finite; both count as 0.
    pub fn of(&self, kind: LimitKind) -> f64 {
        let demand = f64::from(self.0[kind as usize]);
        if demand.is_finite() {
            demand.max(0.0)
        } else {
            0.0
        }
    }

    /// Returns whether the demand is too small to report.
    pub fn is_idle(&self) -> bool {
        let [requests_per_s, _, concurrency] = self.0;
        requests_per_s < IDLE_REQUESTS_PER_S && concurrency < 1.0
    }

    /// Returns the weighted mean with a newer measurement, whose weight is from 0 to 1.
    pub fn mixed_with(self, newer: Demand, weight: f64) -> Demand {
        let mix = |old: f32, new: f32| old + (new - old) * weight as f32;
        Demand([
            mix(self.0[0], newer.0[0]),
            mix(self.0[1], newer.0[1]),
            mix(self.0[2], newer.0[2]),
        ])
    }
}

/// Report of the demand of one organisation on one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Node that reports.
    pub node: NodeId,
    /// Organisation that sends the requests.
    pub organisation: OrganisationId,
    /// Measured demand.
    pub demand: Demand,
    /// Shares that the node applied when it sent the report.
    pub held: Shares,
}

/// Grant with which the home node answers a [`ShareReport`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Organisation whose limits are shared.
    pub organisation: OrganisationId,
    /// Shares that the node may apply.
    pub shares: Shares,
    /// Validity in milliseconds, counted by the receiver from when it sent its report.
    pub valid_ms: u32,
}
