//! How fast the queue drains.

use jacinthpoint_types::Priority;
use strum::EnumCount;

/// Weight of the newest sample in the mean.
const WEIGHT: f64 = 0.02;
/// Share of the mean that a short request of the class takes.
const SHORT_SHARE: f64 = 0.25;

/// Mean time that requests are held on groups, over all and by class.
#[derive(Debug, Clone, Default)]
pub(crate) struct Drain {
    mean_ms: Option<f64>,
    by_class_ms: [Option<f64>; Priority::COUNT],
}

impl Drain {
    /// Takes in a request that was held.
    pub(crate) fn take(&mut self, priority: Priority, held_ms: u64) {
        let held_ms = held_ms as f64;
        for mean in [&mut self.mean_ms, &mut self.by_class_ms[priority as usize]] {
            *mean = Some(mean.map_or(held_ms, |mean| mean + (held_ms - mean) * WEIGHT));
        }
    }

    /// Time in which a number of requests drains through a capacity, by Little's law. It follows
    /// a loss of capacity at once, which counting past departures would not.
    pub(crate) fn time_for_ms(&self, count: usize, capacity: f64) -> Option<u64> {
        let mean_ms = self.mean_ms?;
        (capacity > 0.0).then(|| (count as f64 * mean_ms / capacity) as u64)
    }

    /// Time that even a short request of a class is held.
    pub(crate) fn short_hold_ms(&self, priority: Priority) -> u64 {
        let mean_ms = self.by_class_ms[priority as usize].unwrap_or_default();
        (mean_ms * SHORT_SHARE) as u64
    }
}
