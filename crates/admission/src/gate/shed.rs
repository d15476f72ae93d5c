//! Shedding by class: the lowest first, restored slowly.
//!
//! One level says how much is shed. Up to 1 it is the share of the batch class, up to 2 that of
//! the normal class, up to 3 that of the high class. The critical class is never shed here.

use jacinthpoint_types::{Priority, TimeMs};
use rand::Rng;

/// The level at which all but the critical class is shed.
const MAX_LEVEL: f64 = 3.0;
/// Longest time between two observations that moves the level.
const MAX_STEP_MS: u64 = 1_000;
/// Backlog, as a share of the target, below which the level falls. Between this and the target it
/// stays, so that it does not swing around one value.
const FALL_BELOW: f64 = 0.5;

/// How shedding rises and falls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShedSettings {
    /// Backlog, as time to drain, above which the level rises.
    pub target_ms: u64,
    /// Levels a second by which it rises.
    pub rise_per_s: f64,
    /// Levels a second by which it falls.
    pub fall_per_s: f64,
}

impl Default for ShedSettings {
    fn default() -> ShedSettings {
        ShedSettings {
            target_ms: 3_000,
            rise_per_s: 0.2,
            fall_per_s: 0.02,
        }
    }
}

/// The level and how it moves.
#[derive(Debug, Clone)]
pub struct Shedder {
    settings: ShedSettings,
    level: f64,
    observed_at: TimeMs,
}

impl Shedder {
    /// A shedder that sheds nothing yet.
    pub fn new(settings: ShedSettings, now: TimeMs) -> Shedder {
        Shedder {
            settings,
            level: 0.0,
            observed_at: now,
        }
    }

    /// Takes in the backlog.
    pub fn observe(&mut self, backlog_ms: u64, now: TimeMs) {
        let step_s = now.since_ms(self.observed_at).min(MAX_STEP_MS) as f64 / 1_000.0;
        self.observed_at = now;
        let target_ms = self.settings.target_ms as f64;
        if backlog_ms as f64 > target_ms {
            self.level += self.settings.rise_per_s * step_s;
        } else if (backlog_ms as f64) < target_ms * FALL_BELOW {
            self.level -= self.settings.fall_per_s * step_s;
        }
        self.level = self.level.clamp(0.0, MAX_LEVEL);
    }

    /// Whether a request of this class is shed.
    pub fn should_shed(&self, priority: Priority, rng: &mut impl Rng) -> bool {
        let share = match priority {
            Priority::Critical => return false,
            Priority::High => self.level - 2.0,
            Priority::Normal => self.level - 1.0,
            Priority::Batch => self.level,
        };
        share > 0.0 && rng.random::<f64>() < share
    }

    /// The level now.
    pub fn level(&self) -> f64 {
        self.level
    }
}
