//! Token bucket that limits a rate and allows short bursts.

use jacinthpoint_types::{PerSecond, TimeMs};

/// Token bucket: its level rises at `rate` up to `capacity`.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    rate: PerSecond,
    capacity: f64,
    level: f64,
    /// Time up to which the level is computed.
    level_at: TimeMs,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: PerSecond, capacity: f64, now: TimeMs) -> TokenBucket {
        TokenBucket {
            rate,
            capacity,
            level: capacity,
            level_at: now,
        }
    }

    /// Changes rate and capacity. The level is only cut to the new capacity and never raised:
    /// otherwise a node whose share of a limit shrinks and grows again could admit a full burst
    /// after each change.
    pub fn resize(&mut self, rate: PerSecond, capacity: f64, now: TimeMs) {
        self.refill_until(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Takes `amount` from the bucket.
    ///
    /// An amount above the capacity needs only a full bucket and leaves a negative level;
    /// otherwise it could never be taken.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds after which the bucket holds enough; takes nothing.
    pub fn take(&mut self, amount: f64, now: TimeMs) -> Result<(), u64> {
        self.refill_until(now);
        let needed = amount.min(self.capacity);
        if self.level < needed {
            return Err(self.rate.ms_to_accrue(needed - self.level));
        }
        self.level -= amount;
        Ok(())
    }

    /// Puts back an amount that was taken and not used.
    pub fn give_back(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.capacity);
    }

    fn refill_until(&mut self, now: TimeMs) {
        let gained = self.rate.accrued_in_ms(now.since_ms(self.level_at));
        self.level = (self.level + gained).min(self.capacity);
        self.level_at = self.level_at.max(now);
    }
}
