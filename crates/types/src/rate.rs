//! Rate of requests or tokens.

use serde::{Deserialize, Serialize};

/// Rate per second, of requests or of tokens.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
pub struct PerSecond(pub f64);

impl PerSecond {
    /// Returns whether the rate is a finite number and not negative.
    pub fn is_valid(self) -> bool {
        self.0.is_finite() && self.0 >= 0.0
    }

    /// Returns the amount that accrues at this rate in `ms` milliseconds.
    pub fn accrued_in_ms(self, ms: u64) -> f64 {
        self.0 * ms as f64 / 1_000.0
    }

    /// Returns the time in milliseconds in which `amount` accrues at this rate, at most one day.
    pub fn ms_to_accrue(self, amount: f64) -> u64 {
        const DAY_MS: f64 = 86_400_000.0;
        if self.0 <= 0.0 {
            return DAY_MS as u64;
        }
        (amount.max(0.0) * 1_000.0 / self.0).min(DAY_MS).ceil() as u64
    }

    /// Returns the rate multiplied by `share`.
    pub fn scaled(self, share: f64) -> PerSecond {
        PerSecond(self.0 * share)
    }
}
