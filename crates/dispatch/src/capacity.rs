//! What each upstream takes well, learnt from its own answers.
//!
//! The slots of an upstream say how many requests it runs at once, not how many it answers in time.
//! Upstreams of one service differ in speed, some slow down long before their slots are in use, and
//! both change while they run. So the number of requests that an upstream takes well is learnt from
//! whether its answers keep the objectives of their routes: it falls by a factor when too many are
//! late, grows by one request for each round of answers in time, and returns to the slots while
//! nothing is heard. It decides which upstream is preferred, and refuses nothing: a wrong estimate
//! must not turn callers away.
//!
//! For replica groups, the time between two events is also compared with the time that the engine's
//! parameters predict. A group that is slower than the others of its model reads prompts more
//! slowly, too.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::TimeMs;

use crate::{directory::TargetKey, peer_load::TargetDigest};

pub use crate::capacity::shared::{AnswerCounts, SharedCapacities, SharedCapacity};

mod shared;

/// Weight of the newest answer in the moving share of late answers.
const LATE_WEIGHT: f64 = 0.25;
/// Share of late answers above which an upstream has more requests than it takes well. One late
/// answer among others is no reason: answers differ in length.
const MAX_LATE_SHARE: f64 = 0.4;
/// Factor by which the capacity falls.
const DECREASE_FACTOR: f64 = 0.75;
/// Share of the capacity from which answers in time show that it may grow.
const IN_USE_SHARE: f64 = 0.75;
/// Smallest capacity, in requests. A slow upstream still gets some, or nobody would learn that it
/// became faster.
const MIN_CAPACITY: f64 = 1.0;
/// Age at which what was learnt counts half.
const HALF_LIFE_MS: f64 = 5_000.0;
/// Age at which a capacity that all gateways together learnt is no longer used: by then, several later
/// answers of the root were lost, or it learnt that the slots are the limit again.
const SHARED_VALID_MS: u64 = 2_500;
/// Weight of the newest sample in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.1;
/// Bounds of one sample of the slowness. A stream that stalled says little about the streams that
/// follow.
const SLOWNESS_SAMPLE: std::ops::RangeInclusive<f64> = 0.1..=16.0;

/// An answer, or a part of one, that shows how well an upstream takes its requests.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSample {
    /// Number of requests of all gateways that were at the upstream.
    pub requests: f64,
    /// Number of requests that the upstream runs at once.
    pub slots: u32,
    /// Whether the answer missed its objective.
    pub is_late: bool,
    /// Time at which what was measured began.
    pub began_at: TimeMs,
}

/// What was learnt of one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Capacity {
    /// Capacity in requests, and when an answer last confirmed it. `None` as long as nothing limits
    /// it but the slots.
    requests: Option<(f64, TimeMs)>,
    late_share: f64,
    lowered_at: Option<TimeMs>,
    /// Moving average of the slowness, and when it was last updated.
    slowness: Option<(f64, TimeMs)>,
}

/// Returns the weight of what was learnt at `at`: 1 for news, approaching 0 with its age.
fn weight_of(at: TimeMs, now: TimeMs) -> f64 {
    0.5_f64.powf(now.since_ms(at) as f64 / HALF_LIFE_MS)
}

impl Capacity {
    fn requests(&self, slots: u32, now: TimeMs) -> f64 {
        let slots = f64::from(slots);
        self.requests.map_or(slots, |(requests, at)| {
            slots + (requests - slots) * weight_of(at, now)
        })
    }

    /// Records an answer. Returns the new capacity if it was lowered.
    fn on_answer(&mut self, sample: AnswerSample, now: TimeMs) -> Option<f64> {
        // The requests that were at the upstream before its capacity was lowered say nothing about
        // whether that was enough.
        if self.lowered_at.is_some_and(|at| sample.began_at < at) {
            return None;
        }
        let late = if sample.is_late { 1.0 } else { 0.0 };
        self.late_share += LATE_WEIGHT * (late - self.late_share);
        let slots = f64::from(sample.slots);
        let current = self.requests(sample.slots, now);
        if sample.is_late && self.late_share > MAX_LATE_SHARE {
            let used = current.min(sample.requests);
            let lowered = (used * DECREASE_FACTOR).max(MIN_CAPACITY).min(slots);
            self.requests = Some((lowered, now));
            self.lowered_at = Some(now);
            self.late_share = 0.0;
            return Some(lowered);
        }
        if self.requests.is_some() && !sample.is_late && sample.requests >= current * IN_USE_SHARE {
            let raised = current + 1.0 / current.max(1.0);
            self.requests = (raised < slots).then_some((raised, now));
        }
        None
    }
}

/// What this gateway learnt of all upstreams.
#[derive(Debug, Default)]
pub struct Capacities {
    /// Whether anything is learnt. If not, each upstream takes as many requests as it has slots.
    is_enabled: bool,
    by_target: BTreeMap<TargetKey, Capacity>,
    /// Answers since the last report to the other gateways.
    counts: BTreeMap<TargetDigest, AnswerCounts>,
    /// Capacities that all gateways together learnt, in requests, and when each was received.
    shared: BTreeMap<TargetDigest, (f64, TimeMs)>,
}

impl Capacities {
    /// Sets whether anything is learnt. What was learnt before is dropped if not.
    pub fn set_enabled(&mut self, is_enabled: bool) {
        self.is_enabled = is_enabled;
        if !is_enabled {
            self.by_target.clear();
            self.counts.clear();
            self.shared.clear();
        }
    }

    /// Returns whether anything is learnt.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// Records an answer of a target, or a part of one. Returns the new capacity in requests if it
    /// was lowered.
    pub fn on_answer(&mut self, key: &TargetKey, sample: AnswerSample, now: TimeMs) -> Option<f64> {
        if !self.is_enabled {
            return None;
        }
        let digest = TargetDigest::from(key);
        let counts = self.counts.entry(digest);
        counts
            .or_insert_with(|| AnswerCounts::new(digest))
            .add(sample);
        self.capacity_mut(key).on_answer(sample, now)
    }

    /// Returns what is known of a target. Copies the key only if it is new: this is called for each
    /// event of a stream.
    fn capacity_mut(&mut self, key: &TargetKey) -> &mut Capacity {
        if !self.by_target.contains_key(key) {
            self.by_target.insert(key.clone(), Capacity::default());
        }
        self.by_target.get_mut(key).expect("it was just added")
    }

    /// Returns the answers since the last call, for the other gateways.
    pub fn take_counts(&mut self) -> Vec<AnswerCounts> {
        std::mem::take(&mut self.counts).into_values().collect()
    }

    /// Records capacities that all gateways together learnt.
    pub fn on_shared(&mut self, shared: &[SharedCapacity], now: TimeMs) {
        if !self.is_enabled {
            return;
        }
        self.shared
            .retain(|_, (_, at)| now.since_ms(*at) < SHARED_VALID_MS);
        for capacity in shared {
            self.shared
                .insert(capacity.target, (capacity.requests(), now));
        }
    }

    /// Records the time between two events of a stream, with the time that the engine's parameters
    /// predict for it.
    pub fn on_gap(&mut self, key: &TargetKey, gap_ms: f64, predicted_ms: f64, now: TimeMs) {
        if !self.is_enabled || predicted_ms <= 0.0 {
            return;
        }
        let sample =
            (gap_ms / predicted_ms).clamp(*SLOWNESS_SAMPLE.start(), *SLOWNESS_SAMPLE.end());
        let capacity = self.capacity_mut(key);
        // What was measured long ago counts for less, so the newest sample counts for more.
        let (mean, weight) = capacity.slowness.map_or((sample, 1.0), |(mean, at)| {
            (mean, 1.0 - (1.0 - SLOWNESS_WEIGHT) * weight_of(at, now))
        });
        capacity.slowness = Some((mean + weight * (sample - mean), now));
    }

    /// Returns the number of requests that a target with `slots` takes well, at most `slots`.
    pub fn requests(&self, key: &TargetKey, slots: u32, now: TimeMs) -> f64 {
        if !self.is_enabled {
            return f64::from(slots);
        }
        let own = self.by_target.get(key);
        let own = own.map_or(f64::from(slots), |own| own.requests(slots, now));
        let shared = self.shared.get(&TargetDigest::from(key));
        let shared = shared.filter(|(_, at)| now.since_ms(*at) < SHARED_VALID_MS);
        shared.map_or(own, |(shared, _)| own.min(*shared))
    }

    /// Returns the mean slowness of those of `keys` for which it is known, weighted by its age; `None`
    /// if there is none.
    pub fn usual_slowness<'a>(
        &self,
        keys: impl Iterator<Item = &'a TargetKey>,
        now: TimeMs,
    ) -> Option<f64> {
        let known = keys.filter_map(|key| self.by_target.get(key)?.slowness);
        let weighted = known.map(|(mean, at)| (mean, weight_of(at, now)));
        let (sum, weights) = weighted.fold((0.0, 0.0), |(sum, weights), (mean, weight)| {
            (sum + mean * weight, weights + weight)
        });
        (weights > f64::EPSILON).then(|| sum / weights)
    }

    /// Returns how many times as long as usual a target takes for its work, by the age of what is
    /// known: 1 for a target of which nothing was heard for long.
    pub fn slowness(&self, key: &TargetKey, usual: f64, now: TimeMs) -> f64 {
        let known = self.by_target.get(key).and_then(|known| known.slowness);
        known.map_or(1.0, |(mean, at)| {
            1.0 + (mean / usual.max(f64::EPSILON) - 1.0) * weight_of(at, now)
        })
    }

    /// Returns the number of targets whose capacity was lowered within the last half-life and has not
    /// reached their slots since.
    pub fn limited(&self, now: TimeMs) -> usize {
        let is_recent = |capacity: &&Capacity| {
            let confirmed_at = capacity.requests.map(|(_, at)| at);
            confirmed_at.is_some_and(|at| weight_of(at, now) > 0.5)
        };
        self.by_target.values().filter(is_recent).count()
    }

    /// Drops the targets for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&TargetKey) -> bool) {
        self.by_target.retain(|key, _| is_kept(key));
        let by_target = &self.by_target;
        let kept: BTreeSet<TargetDigest> = by_target.keys().map(TargetDigest::from).collect();
        self.counts.retain(|target, _| kept.contains(target));
    }
}
