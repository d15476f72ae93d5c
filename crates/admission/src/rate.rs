//! Rates.

/// A rate a second, of requests or of tokens.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, PartialOrd, derive_more::Display, derive_more::FromStr,
)]
pub struct PerSecond(pub f64);

impl PerSecond {
    /// How much comes in a time.
    pub fn over_ms(self, ms: u64) -> f64 {
        self.0 * ms as f64 / 1_000.0
    }

    /// Time in which an amount comes; a day if the rate is too small for that.
    pub fn time_for_ms(self, amount: f64) -> u64 {
        const DAY_MS: f64 = 86_400_000.0;
        if self.0 <= 0.0 {
            return DAY_MS as u64;
        }
        (amount.max(0.0) * 1_000.0 / self.0).min(DAY_MS).ceil() as u64
    }

    /// A share of the rate.
    pub fn scaled(self, share: f64) -> PerSecond {
        PerSecond(self.0 * share)
    }
}
