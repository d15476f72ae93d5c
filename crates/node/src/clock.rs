//! The node's monotonic clock and the callers' wall clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use jacinthpoint_types::{Deadline, TimeMs};

/// Reads the time for the decision crates.
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
        // Starts at 1 s so that small subtractions do not meet zero.
        TimeMs(1_000 + self.start.elapsed().as_millis() as u64)
    }

    /// A caller's deadline, given in Unix milliseconds, on this node's monotonic clock.
    pub(crate) fn deadline_at_unix_ms(&self, unix_ms: u64) -> Deadline {
        Deadline::after_ms(self.now(), unix_ms.saturating_sub(unix_now_ms()))
    }
}

/// Unix time in milliseconds; only for points in time that callers name.
pub(crate) fn unix_now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
