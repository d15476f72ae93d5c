//! Exchange of load reports between gateways.
//!
//! Without this exchange, one of many gateways gets an answer from a given group only every few
//! seconds. It can then estimate the load of the group only from its own few requests and an old
//! reported load. At high load, gateways therefore send one group more requests than the group has
//! slots while another group has free slots, and they cannot distinguish a stalled group from one
//! that rarely answers them.
//!
//! So each gateway reports its requests at each target to one of the gateways, the hub, which
//! aggregates the reports and answers each gateway with the load of all others; in a large fleet,
//! several hubs share this work ([`crate::LoadCell`]). Any gateway can be a hub. Without a hub, each
//! gateway uses only its own requests and the loads that targets report in their answers.

use std::collections::BTreeMap;

use jacinthpoint_types::TimeMs;
use serde::{Deserialize, Serialize};

use crate::directory::TargetKey;

/// Age at which the hub drops a gateway's report: by then, several later reports were lost, or the
/// gateway ended.
const REPORT_VALID_MS: u64 = 500;
/// Time for which the hub reuses an aggregate. It makes the number of aggregations per second
/// independent of the number of gateways.
const AGGREGATE_VALID_MS: u64 = 15;
/// Age at which a gateway no longer uses an answer of the hub.
const ANSWER_VALID_MS: u64 = 450;

/// 32-bit hash of a [`TargetKey`], which identifies the target on the wire. The hashes of two
/// targets are equal with a probability of one in four thousand million; each then appears to have
/// the load of both.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
pub struct TargetDigest(u32);

impl TargetDigest {
    /// Computes the 32-bit FNV-1a hash of a key.
    pub(crate) fn of(key: &str) -> TargetDigest {
        let mix = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
        TargetDigest(key.as_bytes().iter().fold(0x811c_9dc5, mix))
    }
}

impl From<&TargetKey> for TargetDigest {
    fn from(key: &TargetKey) -> TargetDigest {
        TargetDigest::of(key.as_str())
    }
}

/// Load of one target, as one gateway reports it or as the hub aggregated it.
///
/// It goes over the wire through postcard: the order and types of the fields must not change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Hash of the target's key.
    pub target: TargetDigest,
    /// Number of requests at the target.
    pub in_flight: u32,
    /// Total length of the prompts of those of them that had no event yet, in tokens.
    pub unread_tokens: u32,
    /// Time in ms since the last event of any stream from the target; `None` if there was none.
    pub heard_ms: Option<u32>,
    /// Longest time in ms for which a gateway has had requests at the target without an event of
    /// any of them, as that gateway observed it; `None` if no gateway has requests there.
    pub waited_ms: Option<u32>,
}

impl TargetReport {
    /// Combines the report with another gateway's report on the same target.
    pub(crate) fn merge(&mut self, other: &TargetReport) {
        let latest_event = |a: Option<u32>, b: Option<u32>| a.into_iter().chain(b).min();
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.unread_tokens = self.unread_tokens.saturating_add(other.unread_tokens);
        self.heard_ms = latest_event(self.heard_ms, other.heard_ms);
        self.waited_ms = self.waited_ms.max(other.waited_ms);
    }

    /// Returns the report `age_ms` later. The time since the last event is longer then, but nobody has observed
    /// that the wait is, too.
    fn aged(mut self, age_ms: u64) -> TargetReport {
        let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        self.heard_ms = self.heard_ms.map(|ms| ms.saturating_add(age_ms));
        self
    }
}

/// Last report of one gateway on all its targets.
#[derive(Debug)]
struct GatewayReport {
    targets: Vec<TargetReport>,
    reported_at: TimeMs,
}

/// Aggregate of the reports of all gateways.
#[derive(Debug)]
struct Aggregate<K> {
    /// Load of each target over all gateways.
    targets: Vec<TargetReport>,
    /// Number of requests and of unread prompt tokens in `targets` that each gateway reported, by
    /// gateway and target.
    reported: BTreeMap<K, BTreeMap<TargetDigest, (u32, u32)>>,
    computed_at: TimeMs,
}

/// Last reports of all gateways, by the gateway's identity `K`, and the aggregate of these reports.
/// Kept by the hub.
#[derive(Debug)]
pub struct LoadAggregator<K> {
    reports: BTreeMap<K, GatewayReport>,
    aggregate: Option<Aggregate<K>>,
}

impl<K> Default for LoadAggregator<K> {
    fn default() -> LoadAggregator<K> {
        LoadAggregator {
            reports: BTreeMap::new(),
            aggregate: None,
        }
    }
}

impl<K: Ord + Clone> LoadAggregator<K> {
    /// Records a gateway's report, which replaces its previous one.
    pub fn on_report(&mut self, from: K, targets: Vec<TargetReport>, now: TimeMs) {
        let report = GatewayReport {
            targets,
            reported_at: now,
        };
        self.reports.insert(from, report);
    }

    /// Returns the load of each target without the requests of `gateway` itself. `heard_ms` and
    /// `waited_ms` include those that `gateway` reported.
    pub fn load_of_others(&mut self, gateway: &K, now: TimeMs) -> Vec<TargetReport> {
        self.load_without(|key| key == gateway, now)
    }

    /// Like [`LoadAggregator::load_of_others`], without the requests of all reports whose key is left
    /// out.
    pub fn load_without(
        &mut self,
        is_left_out: impl Fn(&K) -> bool,
        now: TimeMs,
    ) -> Vec<TargetReport> {
        let is_old =
            |aggregate: &Aggregate<K>| now.since_ms(aggregate.computed_at) >= AGGREGATE_VALID_MS;
        if self.aggregate.as_ref().is_none_or(is_old) {
            self.aggregate(now);
        }
        let Some(aggregate) = &self.aggregate else {
            return Vec::new();
        };
        let left_out: Vec<&BTreeMap<TargetDigest, (u32, u32)>> = aggregate
            .reported
            .iter()
            .filter(|(key, _)| is_left_out(key))
            .map(|(_, reports)| reports)
            .collect();
        let without = |report: &TargetReport| {
            let mut report = *report;
            for reports in &left_out {
                let own = reports.get(&report.target).copied();
                let (in_flight, unread_tokens) = own.unwrap_or_default();
                report.in_flight = report.in_flight.saturating_sub(in_flight);
                report.unread_tokens = report.unread_tokens.saturating_sub(unread_tokens);
            }
            report
        };
        aggregate.targets.iter().map(without).collect()
    }

    /// Returns whether there is a report that has not expired.
    pub fn has_reports(&self, now: TimeMs) -> bool {
        let mut reports = self.reports.values();
        reports.any(|report| now.since_ms(report.reported_at) < REPORT_VALID_MS)
    }

    /// Drops expired reports and aggregates the others.
    fn aggregate(&mut self, now: TimeMs) {
        self.reports
            .retain(|_, report| now.since_ms(report.reported_at) < REPORT_VALID_MS);
        let mut all: BTreeMap<TargetDigest, TargetReport> = BTreeMap::new();
        let mut reported = BTreeMap::new();
        for (gateway, gateway_report) in &self.reports {
            let age_ms = now.since_ms(gateway_report.reported_at);
            let mut own_reports = BTreeMap::new();
            for report in &gateway_report.targets {
                own_reports.insert(report.target, (report.in_flight, report.unread_tokens));
                let aged = report.aged(age_ms);
                all.entry(report.target)
                    .and_modify(|total| total.merge(&aged))
                    .or_insert(aged);
            }
            reported.insert(gateway.clone(), own_reports);
        }
        self.aggregate = Some(Aggregate {
            targets: all.into_values().collect(),
            reported,
            computed_at: now,
        });
    }
}

/// Load of the other gateways at each target, from the last answers of the hub.
#[derive(Debug, Default)]
pub struct PeerLoad {
    /// Reports by target, with the time at which each was received.
    reports: BTreeMap<TargetDigest, (TargetReport, TimeMs)>,
    answered_at: Option<TimeMs>,
}

impl PeerLoad {
    /// Records an answer of the hub, or a part of one.
    pub fn on_answer(&mut self, reports: &[TargetReport], now: TimeMs) {
        self.answered_at = Some(now);
        self.reports
            .retain(|_, (_, at)| now.since_ms(*at) < ANSWER_VALID_MS);
        for report in reports {
            self.reports.insert(report.target, (*report, now));
        }
    }

    /// Returns all valid reports as they are at `now`.
    pub fn reports(&self, now: TimeMs) -> Vec<TargetReport> {
        let reports = self.reports.values();
        let aged = reports.map(|(report, at)| (report, now.since_ms(*at)));
        let valid = aged.filter(|(_, age_ms)| *age_ms < ANSWER_VALID_MS);
        valid.map(|(report, age_ms)| report.aged(age_ms)).collect()
    }

    /// Returns whether the last answer of the hub is still valid.
    pub fn is_fresh(&self, now: TimeMs) -> bool {
        let at = self.answered_at;
        at.is_some_and(|at| now.since_ms(at) < ANSWER_VALID_MS)
    }

    /// Returns the number of requests that the other gateways have at a target, or `None` if the
    /// last answer of the hub is too old.
    pub fn in_flight(&self, key: &TargetKey, now: TimeMs) -> Option<u32> {
        self.is_fresh(now)
            .then(|| self.report(key, now).map_or(0, |report| report.in_flight))
    }

    /// Returns the number of prompt tokens of the other gateways' requests that a target has yet to
    /// read; 0 if no valid answer of the hub names the target.
    pub fn unread_tokens(&self, key: &TargetKey, now: TimeMs) -> u32 {
        self.report(key, now)
            .map_or(0, |report| report.unread_tokens)
    }

    /// Returns when a stream from a target last had an event at any gateway; `None` if no valid
    /// answer of the hub reports one.
    pub fn last_event_at(&self, key: &TargetKey, now: TimeMs) -> Option<TimeMs> {
        let heard_ms = self.report(key, now)?.heard_ms?;
        Some(TimeMs(now.0.saturating_sub(u64::from(heard_ms))))
    }

    /// Returns whether, by the hub's last answer, some gateway has had requests at a target for `limit_ms` without an
    /// event, and no gateway had an event from there within that time. The age of the answer does not count.
    pub fn is_stalled(&self, key: &TargetKey, limit_ms: u64, now: TimeMs) -> bool {
        let is_long = |ms: u32| u64::from(ms) >= limit_ms;
        self.answer(key, now).is_some_and(|(report, _)| {
            report.waited_ms.is_some_and(is_long) && report.heard_ms.is_none_or(is_long)
        })
    }

    /// Returns what the hub sent for a digest, if it is still valid.
    pub(crate) fn by_digest(&self, digest: TargetDigest, now: TimeMs) -> Option<TargetReport> {
        let (report, at) = self.reports.get(&digest)?;
        (now.since_ms(*at) < ANSWER_VALID_MS).then_some(*report)
    }

    /// Returns the report on a target as it is at `now`, if it is still valid.
    fn report(&self, key: &TargetKey, now: TimeMs) -> Option<TargetReport> {
        let (report, age_ms) = self.answer(key, now)?;
        Some(report.aged(age_ms))
    }

    /// Returns the report on a target as the hub sent it, with its age in milliseconds, if it is still valid.
    fn answer(&self, key: &TargetKey, now: TimeMs) -> Option<(TargetReport, u64)> {
        let (report, at) = self.reports.get(&TargetDigest::from(key))?;
        let age_ms = now.since_ms(*at);
        (age_ms < ANSWER_VALID_MS).then_some((*report, age_ms))
    }
}
