//! Settings of the gate and their defaults.

use crate::{
    gate::{concurrency::ConcurrencySettings, shed::ShedSettings},
    mode::LayerMode,
};

/// Modes and parameters of the layers of a gate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GateSettings {
    /// Mode of the adaptive concurrency limits, one for each group.
    pub concurrency_mode: LayerMode,
    /// Parameters of the adaptive concurrency limits.
    pub concurrency: ConcurrencySettings,
    /// Mode of reserving capacity for the critical class.
    pub reservation_mode: LayerMode,
    /// Share of the capacity, from 0 to 1, that only the critical class may use.
    pub reserved_share: f64,
    /// Mode of shedding load by class.
    pub shedding_mode: LayerMode,
    /// Parameters of shedding.
    pub shed: ShedSettings,
    /// Mode of refusing requests that cannot meet their deadline.
    pub deadline_mode: LayerMode,
    /// Maximum number of queued requests. Bounds memory, so it applies in every mode.
    pub max_queued: usize,
}

impl Default for GateSettings {
    fn default() -> GateSettings {
        GateSettings {
            concurrency_mode: LayerMode::Enforce,
            concurrency: ConcurrencySettings::default(),
            reservation_mode: LayerMode::Watch,
            reserved_share: 0.1,
            shedding_mode: LayerMode::Watch,
            shed: ShedSettings::default(),
            deadline_mode: LayerMode::Enforce,
            max_queued: 2_000,
        }
    }
}
