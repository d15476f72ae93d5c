//! Time of the process, in milliseconds of the monotonic clock.

use std::time::{Duration, Instant};

use jacinthpoint_types::TimeMs;

/// Converts between instants of the monotonic clock and [`TimeMs`]. The clock starts at
/// [`START_MS`] instead of 0, so that times before its start can be expressed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Returns a clock that reads [`START_MS`] now.
    pub(crate) fn new() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(self) -> TimeMs {
        TimeMs(START_MS + self.start.elapsed().as_millis() as u64)
    }

    /// Returns the instant of `time`, or of the clock's start if `time` is earlier.
    pub(crate) fn instant(self, time: TimeMs) -> tokio::time::Instant {
        let elapsed = Duration::from_millis(time.0.saturating_sub(START_MS));
        tokio::time::Instant::from_std(self.start + elapsed)
    }

    /// Waits until `time`.
    pub(crate) async fn sleep_until(self, time: TimeMs) {
        tokio::time::sleep_until(self.instant(time)).await;
    }
}

/// Reading of the clock at its start: one hour. Times up to an hour earlier can be expressed.
const START_MS: u64 = 3_600_000;

/// Waits `ms` milliseconds.
pub(crate) async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
