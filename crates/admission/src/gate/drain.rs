//! Estimates how fast the queue drains, from the dispatches and hold times of attempts. The hold
//! time of an attempt is the time from its dispatch to its end.

use jacinthpoint_types::{Priority, TimeMs};
use strum::EnumCount;

/// Weight of the newest sample in the mean hold time.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Hold time of a short request as a share of the mean of its class.
const SHORT_REQUEST_SHARE: f64 = 0.25;
/// Time constant with which the count of dispatches decays.
const DISPATCH_DECAY_MS: f64 = 10_000.0;
/// Largest estimate that is returned.
const MAX_WAIT_MS: f64 = 600_000.0;

/// Number of requests dispatched from the queue, decaying exponentially with time.
#[derive(Debug, Clone, Copy, Default)]
struct Dispatches {
    count: f64,
    updated_at: TimeMs,
}

impl Dispatches {
    fn count_at(&self, now: TimeMs) -> f64 {
        self.count * (-(now.since_ms(self.updated_at) as f64) / DISPATCH_DECAY_MS).exp()
    }

    fn record(&mut self, now: TimeMs) {
        self.count = self.count_at(now) + 1.0;
        self.updated_at = now;
    }
}

/// Recent dispatches and mean hold time of one class.
#[derive(Debug, Clone, Copy, Default)]
struct ClassEstimator {
    dispatches: Dispatches,
    mean_hold_ms: Option<f64>,
}

/// Mean hold time of all attempts, and the dispatches and mean hold time of each class.
#[derive(Debug, Clone, Default)]
pub(crate) struct DrainEstimator {
    mean_hold_ms: Option<f64>,
    classes: [ClassEstimator; Priority::COUNT],
}

impl DrainEstimator {
    /// Records the hold time of a finished attempt.
    pub(crate) fn on_finished(&mut self, priority: Priority, hold_ms: u64) {
        let hold_ms = hold_ms as f64;
        let of_class = &mut self.classes[priority as usize].mean_hold_ms;
        for mean in [&mut self.mean_hold_ms, of_class] {
            *mean = Some(mean.map_or(hold_ms, |mean| mean + (hold_ms - mean) * SAMPLE_WEIGHT));
        }
    }

    /// Records the dispatch of a request to a group.
    pub(crate) fn on_dispatched(&mut self, priority: Priority, now: TimeMs) {
        self.classes[priority as usize].dispatches.record(now);
    }

    /// Returns the time in which `capacity` concurrent slots serve `count` requests, by Little's
    /// law; `None` until an attempt has finished, or if there is no capacity. This estimate
    /// reflects a loss of capacity at once, unlike one from past dispatches.
    pub(crate) fn drain_ms_by_capacity(&self, count: usize, capacity: f64) -> Option<u64> {
        let hold_ms = self.mean_hold_ms?;
        (capacity > 0.0).then(|| (count as f64 * hold_ms / capacity).min(MAX_WAIT_MS) as u64)
    }

    /// Returns the time in which `count` requests of one class are dispatched at the class's
    /// dispatch rate of about the last 10 s. Unlike the estimate by capacity, it accounts for a
    /// class that is rarely dispatched because more important classes use the capacity.
    pub(crate) fn drain_ms_by_dispatch_rate(
        &self,
        count: usize,
        priority: Priority,
        now: TimeMs,
    ) -> u64 {
        let recent = self.classes[priority as usize].dispatches.count_at(now);
        (count as f64 * DISPATCH_DECAY_MS / recent.max(1e-6)).min(MAX_WAIT_MS) as u64
    }

    /// Returns the hold time of a short request of a class, as a lower bound for the time that any
    /// request needs; 0 until an attempt of the class has finished.
    pub(crate) fn short_request_hold_ms(&self, priority: Priority) -> u64 {
        let hold_ms = self.classes[priority as usize]
            .mean_hold_ms
            .unwrap_or_default();
        (hold_ms * SHORT_REQUEST_SHARE) as u64
    }
}
