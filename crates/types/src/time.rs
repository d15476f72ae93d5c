//! Points in time on a process's own monotonic clock.
//!
//! Crates without I/O do not read a clock; the code that calls them passes the current time. Times
//! of different processes must not be compared.

use serde::{Deserialize, Serialize};

/// Milliseconds since an arbitrary start of one process's monotonic clock.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
pub struct TimeMs(pub u64);

impl TimeMs {
    /// Returns the point in time `ms` milliseconds later.
    pub fn plus_ms(self, ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds from `earlier` to this point in time, or 0 if `earlier` is later.
    pub fn since_ms(self, earlier: TimeMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Point in time at which the time for something ends or a value expires.
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
pub struct Deadline(pub TimeMs);

impl Deadline {
    /// Returns the deadline `ms` milliseconds after `now`.
    pub fn after_ms(now: TimeMs, ms: u64) -> Deadline {
        Deadline(now.plus_ms(ms))
    }

    /// Returns whether the deadline has passed at `now`. At the deadline itself it has passed.
    pub fn has_passed(self, now: TimeMs) -> bool {
        now >= self.0
    }

    /// Returns the milliseconds left at `now`, or 0 once the deadline has passed.
    pub fn remaining_ms(self, now: TimeMs) -> u64 {
        self.0.since_ms(now)
    }
}
