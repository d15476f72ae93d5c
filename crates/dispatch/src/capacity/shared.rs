//! Capacities that all gateways learn together.
//!
//! Each of many gateways gets an answer of a plain upstream every few seconds, which is too rarely to
//! follow its speed. So gateways count their answers, and the root of the load exchange learns from all
//! of them. It tells the capacities that are below the slots to every gateway that reports.

use std::collections::BTreeMap;

use jacinthpoint_types::TimeMs;
use serde::{Deserialize, Serialize};

use crate::{
    capacity::{
        AnswerSample, DECREASE_FACTOR, IN_USE_SHARE, LATE_WEIGHT, MAX_LATE_SHARE, MIN_CAPACITY,
        weight_of,
    },
    peer_load::TargetDigest,
};

/// Time after a decrease in which late answers lower a capacity no further. The requests behind them
/// were sent before the gateways knew of the decrease.
const SETTLE_MS: u64 = 1_000;
/// Time without answers after which a target is dropped.
const UNREPORTED_MS: u64 = 60_000;
/// Share of the slots from which a capacity need not be told to anybody.
const UNLIMITED_SHARE: f64 = 0.95;

/// Answers of one target at one gateway since its last report.
///
/// It goes over the wire through postcard: the order and types of the fields must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Hash of the target's key.
    pub target: TargetDigest,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Number of answers.
    pub answers: u32,
    /// Number of them that missed their objective.
    pub late: u32,
    /// Sum over the answers of the requests that were at the target.
    pub requests_sum: u32,
}

impl AnswerCounts {
    pub(super) fn new(target: TargetDigest) -> AnswerCounts {
        AnswerCounts {
            target,
            slots: 0,
            answers: 0,
            late: 0,
            requests_sum: 0,
        }
    }

    pub(super) fn add(&mut self, sample: AnswerSample) {
        self.slots = sample.slots;
        self.answers = self.answers.saturating_add(1);
        self.late = self.late.saturating_add(u32::from(sample.is_late));
        self.requests_sum = self.requests_sum.saturating_add(sample.requests as u32);
    }
}

/// Capacity of one target, as the root learnt it.
///
/// It goes over the wire through postcard: the order and types of the fields must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedCapacity {
    /// Hash of the target's key.
    pub target: TargetDigest,
    /// Capacity in thousandths of a request.
    pub requests_permille: u32,
}

impl SharedCapacity {
    /// Returns the capacity in requests.
    pub fn requests(&self) -> f64 {
        f64::from(self.requests_permille) / 1_000.0
    }
}

/// What the root learnt of one target.
#[derive(Debug, Clone, Copy)]
struct Learnt {
    slots: f64,
    /// Capacity in requests, as of `confirmed_at`.
    requests: f64,
    confirmed_at: TimeMs,
    late_share: f64,
    lowered_at: Option<TimeMs>,
    reported_at: TimeMs,
}

impl Learnt {
    fn requests(&self, now: TimeMs) -> f64 {
        self.slots + (self.requests - self.slots) * weight_of(self.confirmed_at, now)
    }

    fn on_counts(&mut self, counts: &AnswerCounts, now: TimeMs) {
        self.reported_at = now;
        let answers = f64::from(counts.answers);
        let late_share = f64::from(counts.late.min(counts.answers)) / answers;
        let weight = 1.0 - (1.0 - LATE_WEIGHT).powf(answers);
        self.late_share += weight * (late_share - self.late_share);
        let used = f64::from(counts.requests_sum) / answers;
        let current = self.requests(now);
        let is_settling = |at: TimeMs| now.since_ms(at) < SETTLE_MS;
        if counts.late > 0 && self.late_share > MAX_LATE_SHARE {
            if !self.lowered_at.is_some_and(is_settling) {
                let lowered = current.min(used) * DECREASE_FACTOR;
                self.requests = lowered.max(MIN_CAPACITY).min(self.slots);
                self.confirmed_at = now;
                self.lowered_at = Some(now);
                self.late_share = 0.0;
            }
        } else if counts.late == 0 && current < self.slots && used >= current * IN_USE_SHARE {
            self.requests = (current + answers / current.max(1.0)).min(self.slots);
            self.confirmed_at = now;
        }
    }
}

/// What the root learnt of all targets.
#[derive(Debug, Default)]
pub struct SharedCapacities(BTreeMap<TargetDigest, Learnt>);

impl SharedCapacities {
    /// Records a gateway's answers since its last report.
    pub fn on_report(&mut self, reports: &[AnswerCounts], now: TimeMs) {
        for counts in reports.iter().filter(|counts| counts.answers > 0) {
            let slots = f64::from(counts.slots.max(1));
            let learnt = self.0.entry(counts.target).or_insert(Learnt {
                slots,
                requests: slots,
                confirmed_at: now,
                late_share: 0.0,
                lowered_at: None,
                reported_at: now,
            });
            learnt.slots = slots;
            learnt.on_counts(counts, now);
        }
    }

    /// Returns the capacities that are below the slots, the smallest share first.
    pub fn limited(&self, now: TimeMs) -> Vec<SharedCapacity> {
        let limited = self.0.iter().filter_map(|(target, learnt)| {
            let requests = learnt.requests(now);
            let share = requests / learnt.slots;
            (share < UNLIMITED_SHARE).then_some((share, *target, requests))
        });
        let mut limited: Vec<_> = limited.collect();
        limited.sort_by(|a, b| a.0.total_cmp(&b.0));
        let capacity = |(_, target, requests): (f64, TargetDigest, f64)| SharedCapacity {
            target,
            requests_permille: (requests * 1_000.0) as u32,
        };
        limited.into_iter().map(capacity).collect()
    }

    /// Drops the targets of which nothing is reported any more.
    pub fn drop_old(&mut self, now: TimeMs) {
        self.0
            .retain(|_, learnt| now.since_ms(learnt.reported_at) < UNREPORTED_MS);
    }
}
