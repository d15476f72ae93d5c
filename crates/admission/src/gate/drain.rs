//! How fast the queue drains.

use jacinthpoint_types::{Priority, TimeMs};
use strum::EnumCount;

/// Weight of the newest sample in the mean.
const WEIGHT: f64 = 0.02;
/// Share of the mean that a short request of the class takes.
const SHORT_SHARE: f64 = 0.25;
/// Time over which departures are counted; older ones fade.
const DEPARTURES_MS: f64 = 10_000.0;
/// Longest wait that is told apart.
const MAX_WAIT_MS: f64 = 600_000.0;

/// Departures from the queue, fading with time.
#[derive(Debug, Clone, Copy, Default)]
struct Departures {
    count: f64,
    at: TimeMs,
}

impl Departures {
    fn faded(&self, now: TimeMs) -> f64 {
        self.count * (-(now.since_ms(self.at) as f64) / DEPARTURES_MS).exp()
    }

    fn take(&mut self, now: TimeMs) {
        self.count = self.faded(now) + 1.0;
        self.at = now;
    }
}

/// What is known of one class.
#[derive(Debug, Clone, Copy, Default)]
struct ClassDrain {
    departures: Departures,
    hold_ms: Option<f64>,
}

/// How long requests are held on groups, and how fast each class leaves the queue.
#[derive(Debug, Clone, Default)]
pub(crate) struct Drain {
    hold_ms: Option<f64>,
    classes: [ClassDrain; Priority::COUNT],
}

impl Drain {
    /// Takes in a request that was held on a group.
    pub(crate) fn held(&mut self, priority: Priority, held_ms: u64) {
        let held_ms = held_ms as f64;
        let of_class = &mut self.classes[priority as usize].hold_ms;
        for mean in [&mut self.hold_ms, of_class] {
            *mean = Some(mean.map_or(held_ms, |mean| mean + (held_ms - mean) * WEIGHT));
        }
    }

    /// Takes in a request that left the queue for a group.
    pub(crate) fn departed(&mut self, priority: Priority, now: TimeMs) {
        self.classes[priority as usize].departures.take(now);
    }

    /// Time in which a number of requests drains through a capacity, by Little's law. It follows
    /// a loss of capacity at once, which counting past departures does not.
    pub(crate) fn through_capacity_ms(&self, count: usize, capacity: f64) -> Option<u64> {
        let hold_ms = self.hold_ms?;
        (capacity > 0.0).then(|| (count as f64 * hold_ms / capacity).min(MAX_WAIT_MS) as u64)
    }

    /// Time in which a number of requests of one class leaves at the pace of the last seconds. A
    /// class that more important work crowds out hardly leaves at all, however much capacity
    /// there is.
    pub(crate) fn by_departures_ms(&self, count: usize, priority: Priority, now: TimeMs) -> u64 {
        let recent = self.classes[priority as usize].departures.faded(now);
        (count as f64 * DEPARTURES_MS / recent.max(1e-6)).min(MAX_WAIT_MS) as u64
    }

    /// Time that even a short request of a class is held.
    pub(crate) fn short_hold_ms(&self, priority: Priority) -> u64 {
        let hold_ms = self.classes[priority as usize].hold_ms.unwrap_or_default();
        (hold_ms * SHORT_SHARE) as u64
    }
}
