//! Token bucket.

use jacinthpoint_types::TimeMs;

use crate::rate::PerSecond;

/// A bucket that fills at a rate up to its capacity.
#[derive(Debug, Clone, PartialEq)]
pub struct TokenBucket {
    rate: PerSecond,
    capacity: f64,
    level: f64,
    filled_at: TimeMs,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: PerSecond, capacity: f64, now: TimeMs) -> TokenBucket {
        TokenBucket {
            rate,
            capacity,
            level: capacity,
            filled_at: now,
        }
    }

    /// Changes rate and capacity. What is in the bucket stays, as far as it still fits: a share
    /// that comes and goes must not bring new bursts with it.
    pub fn resize(&mut self, rate: PerSecond, capacity: f64, now: TimeMs) {
        self.fill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Takes an amount, or says how long to wait for it.
    ///
    /// # Errors
    ///
    /// Fails with the time in milliseconds after which the amount is there.
    ///
    /// An amount above the capacity needs a full bucket and leaves a debt; otherwise it could
    /// never be taken.
    pub fn take(&mut self, amount: f64, now: TimeMs) -> Result<(), u64> {
        self.fill(now);
        let needed = amount.min(self.capacity);
        if self.level < needed {
            return Err(self.rate.time_for_ms(needed - self.level));
        }
        self.level -= amount;
        Ok(())
    }

    /// Gives back what was taken and not used.
    pub fn give_back(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.capacity);
    }

    fn fill(&mut self, now: TimeMs) {
        let gained = self.rate.over_ms(now.since_ms(self.filled_at));
        self.level = (self.level + gained).min(self.capacity);
        self.filled_at = self.filled_at.max(now);
    }
}
