//! The node's monotonic clock, and the conversion of wall-clock deadlines to it.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use jacinthpoint_types::{Deadline, TimeMs};

/// Monotonic clock whose times are passed to the crates that decide on requests, groups and limits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> TimeMs {
        // Starts at 1 s so that subtracting a short time does not saturate at zero.
        TimeMs(1_000 + self.start.elapsed().as_millis() as u64)
    }

    /// Converts a caller's deadline in Unix milliseconds to this node's monotonic clock.
    pub(crate) fn deadline_at_unix_ms(&self, unix_ms: u64) -> Deadline {
        Deadline::after_ms(self.now(), unix_ms.saturating_sub(unix_now_ms()))
    }
}

/// Returns the Unix time in milliseconds. Used only for times exchanged with other processes:
/// incarnations, callers' deadlines and the times in idempotency keys. Intervals are measured with
/// [`Clock`].
pub(crate) fn unix_now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
