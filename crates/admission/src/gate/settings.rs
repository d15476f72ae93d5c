//! Settings of the gate.

use crate::{
    gate::{concurrency::ConcurrencySettings, shed::ShedSettings},
    mode::LayerMode,
};

/// Settings of the gate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateSettings {
    /// Mode of the concurrency limits of the groups.
    pub concurrency_mode: LayerMode,
    /// How those limits adapt.
    pub concurrency: ConcurrencySettings,
    /// Mode of the capacity kept for the critical class.
    pub reservation: LayerMode,
    /// Share of the capacity that only the critical class may use.
    pub reserved_share: f64,
    /// Mode of shedding by class.
    pub shedding: LayerMode,
    /// How shedding rises and falls.
    pub shed: ShedSettings,
    /// Mode of refusing what cannot make its deadline.
    pub deadlines: LayerMode,
    /// Requests that may wait; a bound on memory, in every mode.
    pub max_queued: usize,
}

impl Default for GateSettings {
    fn default() -> GateSettings {
        GateSettings {
            concurrency_mode: LayerMode::Enforce,
            concurrency: ConcurrencySettings::default(),
            reservation: LayerMode::Watch,
            reserved_share: 0.1,
            shedding: LayerMode::Watch,
            shed: ShedSettings::default(),
            deadlines: LayerMode::Enforce,
            max_queued: 2_000,
        }
    }
}
