//! Points in time on a process's own monotonic clock.
//!
//! Decision crates never read a clock; the caller hands them the time. Two processes' times are
//! never compared.

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
    /// The point `ms` milliseconds later.
    pub fn plus_ms(self, ms: u64) -> TimeMs {
        TimeMs(self.0.saturating_add(ms))
    }

    /// Milliseconds from `earlier` to this point, or 0 if `earlier` is later.
    pub fn since_ms(self, earlier: TimeMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A point in time after which something no longer holds.
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
    /// The deadline `ms` milliseconds after `now`.
    pub fn after_ms(now: TimeMs, ms: u64) -> Deadline {
        Deadline(now.plus_ms(ms))
    }

    /// Whether the deadline has passed at `now`.
    pub fn has_passed(self, now: TimeMs) -> bool {
        now >= self.0
    }

    /// Milliseconds left at `now`, 0 once it has passed.
    pub fn remaining_ms(self, now: TimeMs) -> u64 {
        self.0.since_ms(now)
    }
}
