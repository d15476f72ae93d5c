//! Reads the section `[admission]`: modes and limits of the admission layers.

use jacinthpoint_admission::{
    ConcurrencySettings, GateSettings, LayerMode, LimiterSettings, ShedSettings,
};

use jacinthpoint_settings::Reader;

/// Holds the settings of the admission layers. Each mode is `off`, `watch` or `enforce`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Mode of the organisations' limits on requests and tokens per second.
    pub rate: LayerMode,
    /// Mode of the organisations' limit on requests in flight.
    pub concurrency: LayerMode,
    /// Time for which an unused rate accumulates, which bounds a burst.
    pub burst_ms: u64,
    /// Mode of the adaptive limit on the node's requests in flight on one group.
    pub group_concurrency: LayerMode,
    /// Target time to the first token, to which the adaptive limit is adjusted.
    pub first_token_target_ms: u64,
    /// Mode of the layer that refuses requests that cannot meet their deadline.
    pub deadlines: LayerMode,
    /// Mode of the layer that sheds requests by class.
    pub shedding: LayerMode,
    /// Mode of the layer that reserves capacity for the critical class.
    pub reservation: LayerMode,
    /// Share of the capacity reserved for the critical class, in percent.
    pub reserved_percent: u8,
    /// Maximum number of requests that wait for one model.
    pub max_queued: usize,
}

impl AdmissionSettings {
    /// Returns the default settings.
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

    /// Returns the settings of the limiter that applies the organisations' limits.
    pub fn limiter(&self) -> LimiterSettings {
        LimiterSettings {
            rate_mode: self.rate,
            concurrency_mode: self.concurrency,
            burst_ms: self.burst_ms,
        }
    }

    /// Returns the settings of the gates in front of the groups.
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

/// Reads the section. Returns `None` if a value is faulty; the reader holds the faults.
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
