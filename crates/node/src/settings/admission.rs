//! Section `[admission]`: modes and bounds of the admission layers.

use jacinthpoint_admission::{
    ConcurrencySettings, GateSettings, LayerMode, LimiterSettings, ShedSettings,
};

use jacinthpoint_settings::Reader;

/// Settings of the admission layers. Each mode is `off`, `watch` or `enforce`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Limits of organisations on requests and tokens a second.
    pub rate: LayerMode,
    /// Limit of organisations on requests in flight.
    pub concurrency: LayerMode,
    /// Time over which an unused rate may be saved up for a burst.
    pub burst_ms: u64,
    /// Adaptive limit on what the node has in flight on one group.
    pub group_concurrency: LayerMode,
    /// Time within which first tokens shall come, for that limit.
    pub first_token_target_ms: u64,
    /// Refusal of what cannot make its deadline.
    pub deadlines: LayerMode,
    /// Shedding by class.
    pub shedding: LayerMode,
    /// Capacity kept for the critical class.
    pub reservation: LayerMode,
    /// How much of it, in percent.
    pub reserved_percent: u8,
    /// Requests that may wait for one deployment.
    pub max_queued: usize,
}

impl AdmissionSettings {
    /// The defaults.
    pub fn new() -> AdmissionSettings {
        let gate = GateSettings::default();
        AdmissionSettings {
            rate: LayerMode::Enforce,
            concurrency: LayerMode::Enforce,
            burst_ms: 2_000,
            group_concurrency: gate.concurrency_mode,
            first_token_target_ms: gate.concurrency.first_token_target_ms,
            deadlines: gate.deadline_mode,
            shedding: gate.shedding_mode,
            reservation: gate.reservation_mode,
            reserved_percent: 10,
            max_queued: gate.max_queued,
        }
    }

    /// What the limits of organisations need of it.
    pub fn limiter(&self) -> LimiterSettings {
        LimiterSettings {
            rate_mode: self.rate,
            concurrency_mode: self.concurrency,
            burst_ms: self.burst_ms,
        }
    }

    /// What the gates need of it.
    pub fn gate(&self) -> GateSettings {
        GateSettings {
            concurrency_mode: self.group_concurrency,
            concurrency: ConcurrencySettings {
                first_token_target_ms: self.first_token_target_ms,
                ..ConcurrencySettings::default()
            },
            reservation_mode: self.reservation,
            reserved_share: f64::from(self.reserved_percent.min(100)) / 100.0,
            shedding_mode: self.shedding,
            shed: ShedSettings::default(),
            deadline_mode: self.deadlines,
            max_queued: self.max_queued,
        }
    }
}

impl Default for AdmissionSettings {
    fn default() -> AdmissionSettings {
        AdmissionSettings::new()
    }
}

/// Reads the section.
pub(super) fn read(reader: &mut Reader<'_>) -> Option<AdmissionSettings> {
    const SECTION: &str = "admission";
    let rate = reader.value(SECTION, "rate");
    let concurrency = reader.value(SECTION, "concurrency");
    let burst_ms = reader.value(SECTION, "burst_ms");
    let group_concurrency = reader.value(SECTION, "group_concurrency");
    let first_token_target_ms = reader.value(SECTION, "first_token_target_ms");
    let deadlines = reader.value(SECTION, "deadlines");
    let shedding = reader.value(SECTION, "shedding");
    let reservation = reader.value(SECTION, "reservation");
    let reserved_percent = reader.value(SECTION, "reserved_percent");
    let max_queued = reader.value(SECTION, "max_queued");
    Some(AdmissionSettings {
        rate: rate?,
        concurrency: concurrency?,
        burst_ms: burst_ms?,
        group_concurrency: group_concurrency?,
        first_token_target_ms: first_token_target_ms?,
        deadlines: deadlines?,
        shedding: shedding?,
        reservation: reservation?,
        reserved_percent: reserved_percent?,
        max_queued: max_queued?,
    })
}
