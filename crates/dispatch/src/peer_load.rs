//! Many gateways that each have few requests at each target.
//!
//! A gateway sees an answer of each group every few seconds. What it knows of the load there is its
//! own few requests and an old statement, so at high load it fills one group beyond its slots while
//! another has room, and it cannot tell a group that has stopped from one that it hears of rarely.
//! So gateways exchange what each has at each target. One of them, the hub, adds the reports up and
//! answers each with the sum; any gateway can be the hub, and without one each decides by what it
//! sees itself.

use std::collections::BTreeMap;

use jacinthpoint_types::TimeMs;
use serde::{Deserialize, Serialize};

use crate::directory::TargetKey;

/// Age from which a report no longer counts: some reports in a row were lost, or its gateway ended.
const REPORT_VALID_MS: u64 = 500;
/// Time for which sums are reused. It bounds the hub's work by time, not by the number of gateways.
const SUM_VALID_MS: u64 = 40;
/// Age from which a hub's answer no longer counts.
const ANSWER_VALID_MS: u64 = 450;

/// Short form of a target's key on the wire. Two targets may share one, with a chance of one in
/// four thousand million a pair; then each looks as loaded as both.
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

impl From<&TargetKey> for TargetDigest {
    /// FNV-1a with 32 bits.
    fn from(key: &TargetKey) -> TargetDigest {
        let mix = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
        TargetDigest(key.as_str().as_bytes().iter().fold(0x811c_9dc5, mix))
    }
}

/// What one gateway, or all of them, have seen of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// The target.
    pub target: TargetDigest,
    /// Requests there.
    pub in_flight: u32,
    /// Time since an event came from there; `None` if none is known.
    pub heard_ms: Option<u32>,
    /// Longest time for which a gateway has had requests there without hearing of any.
    pub waited_ms: Option<u32>,
}

impl TargetReport {
    /// Adds what another gateway saw.
    fn add(&mut self, other: &TargetReport) {
        let earliest = |a: Option<u32>, b: Option<u32>| a.into_iter().chain(b).min();
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.heard_ms = earliest(self.heard_ms, other.heard_ms);
        self.waited_ms = self.waited_ms.max(other.waited_ms);
    }

    /// The same, seen `age_ms` later without news.
    fn aged(mut self, age_ms: u64) -> TargetReport {
        let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        let later = |ms: u32| ms.saturating_add(age_ms);
        self.heard_ms = self.heard_ms.map(later);
        self.waited_ms = self.waited_ms.map(later);
        self
    }
}

#[derive(Debug)]
struct Report {
    sightings: Vec<TargetReport>,
    reported_at: TimeMs,
}

/// The sum of reports, and what each gateway has in it.
#[derive(Debug)]
struct Sum<K> {
    all: Vec<TargetReport>,
    in_flight: BTreeMap<K, BTreeMap<TargetDigest, u32>>,
    summed_at: TimeMs,
}

/// Adds up the reports of gateways, which are named by `K`.
#[derive(Debug)]
pub struct LoadAggregator<K> {
    reports: BTreeMap<K, Report>,
    sum: Option<Sum<K>>,
}

impl<K> Default for LoadAggregator<K> {
    fn default() -> LoadAggregator<K> {
        LoadAggregator {
            reports: BTreeMap::new(),
            sum: None,
        }
    }
}

impl<K: Ord + Clone> LoadAggregator<K> {
    /// Takes in a gateway's report, which replaces its last one.
    pub fn on_report(&mut self, from: K, sightings: Vec<TargetReport>, now: TimeMs) {
        let report = Report {
            sightings,
            reported_at: now,
        };
        self.reports.insert(from, report);
    }

    /// What all gateways but `asker` have at each target.
    pub fn others(&mut self, asker: &K, now: TimeMs) -> Vec<TargetReport> {
        let is_old = |sum: &Sum<K>| now.since_ms(sum.summed_at) >= SUM_VALID_MS;
        if self.sum.as_ref().is_none_or(is_old) {
            self.add_up(now);
        }
        let Some(sum) = &self.sum else {
            return Vec::new();
        };
        let own = sum.in_flight.get(asker);
        let without_own = |sighting: &TargetReport| {
            let own = own.and_then(|own| own.get(&sighting.target));
            TargetReport {
                in_flight: sighting.in_flight.saturating_sub(own.copied().unwrap_or(0)),
                ..*sighting
            }
        };
        sum.all.iter().map(without_own).collect()
    }

    fn add_up(&mut self, now: TimeMs) {
        self.reports
            .retain(|_, report| now.since_ms(report.reported_at) < REPORT_VALID_MS);
        let mut all: BTreeMap<TargetDigest, TargetReport> = BTreeMap::new();
        let mut in_flight = BTreeMap::new();
        for (gateway, report) in &self.reports {
            let age_ms = now.since_ms(report.reported_at);
            let mut own = BTreeMap::new();
            for sighting in &report.sightings {
                own.insert(sighting.target, sighting.in_flight);
                let aged = sighting.aged(age_ms);
                all.entry(sighting.target)
                    .and_modify(|sum| sum.add(&aged))
                    .or_insert(aged);
            }
            in_flight.insert(gateway.clone(), own);
        }
        self.sum = Some(Sum {
            all: all.into_values().collect(),
            in_flight,
            summed_at: now,
        });
    }
}

/// What a gateway last heard from its hub.
#[derive(Debug, Default)]
pub struct PeerLoad {
    sightings: BTreeMap<TargetDigest, (TargetReport, TimeMs)>,
    answered_at: Option<TimeMs>,
}

impl PeerLoad {
    /// Takes in an answer of the hub, or a part of one.
    pub fn on_answer(&mut self, sightings: &[TargetReport], now: TimeMs) {
        self.answered_at = Some(now);
        self.sightings
            .retain(|_, (_, at)| now.since_ms(*at) < ANSWER_VALID_MS);
        for sighting in sightings {
            self.sightings.insert(sighting.target, (*sighting, now));
        }
    }

    /// Whether the hub answered of late.
    pub fn is_fresh(&self, now: TimeMs) -> bool {
        let at = self.answered_at;
        at.is_some_and(|at| now.since_ms(at) < ANSWER_VALID_MS)
    }

    /// Requests that other gateways have at a target; `None` without a hub.
    pub fn in_flight(&self, key: &TargetKey, now: TimeMs) -> Option<u32> {
        self.is_fresh(now)
            .then(|| self.sighting(key, now).map_or(0, |s| s.in_flight))
    }

    /// When any gateway last heard of a target.
    pub fn heard_at(&self, key: &TargetKey, now: TimeMs) -> Option<TimeMs> {
        let heard_ms = self.sighting(key, now)?.heard_ms?;
        Some(TimeMs(now.0.saturating_sub(u64::from(heard_ms))))
    }

    /// Whether requests have been at a target for `limit_ms` and no gateway has heard of any.
    pub fn is_stalled(&self, key: &TargetKey, limit_ms: u64, now: TimeMs) -> bool {
        let is_long = |ms: u32| u64::from(ms) >= limit_ms;
        self.sighting(key, now).is_some_and(|sighting| {
            sighting.waited_ms.is_some_and(is_long) && sighting.heard_ms.is_none_or(is_long)
        })
    }

    fn sighting(&self, key: &TargetKey, now: TimeMs) -> Option<TargetReport> {
        let (sighting, at) = self.sightings.get(&TargetDigest::from(key))?;
        let age_ms = now.since_ms(*at);
        (age_ms < ANSWER_VALID_MS).then(|| sighting.aged(age_ms))
    }
}
