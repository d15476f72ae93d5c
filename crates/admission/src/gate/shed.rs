//! Load shedding by class: the least important class is shed first, and by default the shed level
//! falls more slowly than it rises.
//!
//! A single level determines how much is shed. From 0 to 1 it is the share of the batch class that
//! is shed; from 1 to 2 a growing share of the normal class is shed too, and from 2 to 3 a growing
//! share of the high class. The critical class is never shed.

use jacinthpoint_types::{Priority, TimeMs};
use rand::Rng;

/// Level at which all classes but the critical one are shed.
const MAX_LEVEL: f64 = 3.0;
/// Maximum time since the last observation that counts towards the change of the level.
const MAX_STEP_MS: u64 = 1_000;
/// Share of the target backlog below which the level falls. Between this and the target the level
/// stays, so that it does not oscillate around one value.
const FALL_BELOW_SHARE: f64 = 0.5;

/// Target backlog, and rates at which the shed level rises and falls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShedSettings {
    /// Backlog, as the time in which the queue drains, above which the level rises.
    pub target_ms: u64,
    /// Rate at which the level rises, in levels per second.
    pub rise_per_s: f64,
    /// Rate at which the level falls, in levels per second.
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

/// Shed level, adjusted to the observed backlog.
#[derive(Debug, Clone)]
pub struct Shedder {
    settings: ShedSettings,
    level: f64,
    observed_at: TimeMs,
}

impl Shedder {
    /// Creates a shedder at level 0, which sheds nothing.
    pub fn new(settings: ShedSettings, now: TimeMs) -> Shedder {
        Shedder {
            settings,
            level: 0.0,
            observed_at: now,
        }
    }

    /// Adjusts the level to the backlog, given as the time in which the queue drains.
    pub fn observe(&mut self, backlog_ms: u64, now: TimeMs) {
        let step_s = now.since_ms(self.observed_at).min(MAX_STEP_MS) as f64 / 1_000.0;
        self.observed_at = now;
        let target_ms = self.settings.target_ms as f64;
        if backlog_ms as f64 > target_ms {
            self.level += self.settings.rise_per_s * step_s;
        } else if (backlog_ms as f64) < target_ms * FALL_BELOW_SHARE {
            self.level -= self.settings.fall_per_s * step_s;
        }
        self.level = self.level.clamp(0.0, MAX_LEVEL);
    }

    /// Returns whether to shed a request of this class, at random with the probability that the
    /// level gives for the class.
    pub fn should_shed(&self, priority: Priority, rng: &mut impl Rng) -> bool {
        let share = match priority {
            Priority::Critical => return false,
            Priority::High => self.level - 2.0,
            Priority::Normal => self.level - 1.0,
            Priority::Batch => self.level,
        };
        share > 0.0 && rng.random::<f64>() < share
    }

    /// Returns the current level, from 0 to 3.
    pub fn level(&self) -> f64 {
        self.level
    }
}
