//! Settings of a gateway, read from an INI file.

use std::net::SocketAddr;

use jacinthpoint_adapter::has_varied_upstreams;
use jacinthpoint_dispatch::FleetRetryBudgetSettings;
use jacinthpoint_fleet::{Regions, VmCapacity};
use jacinthpoint_settings::{Absent, Reader, SettingsError, SettingsKey, key, number};
use jacinthpoint_types::{DataCentreId, NodeId};

/// Maximum of all settings in milliseconds: one hour. A longer time is most likely a wrong unit.
const MAX_MS: u64 = 3_600_000;

/// Declarations of all keys, by section.
pub const KEYS: &[SettingsKey] = &[
    key("node", "name", Absent::Refused),
    key("node", "data_centre", Absent::Refused),
    // Regions of the data centres, each as DATA_CENTRE:REGION. Requests that may not leave a region are
    // sent only to data centres that are named here.
    key("node", "regions", Absent::Nothing),
    key("node", "first_start", Absent::Default("false")),
    key("listen", "callers", Absent::Refused),
    key("listen", "readiness", Absent::Refused),
    key("listen", "peers", Absent::Nothing),
    key("listen", "metrics", Absent::Nothing),
    key("store", "address", Absent::Refused),
    number("limits", "descriptors", "1024", 300..=10_000_000),
    // The platform kills a process that uses more.
    number("limits", "memory_mb", "160", 16..=10_000_000),
    // What the VM can carry; 0 stands for no limit. Gateways on larger VMs serve the others.
    key("limits", "core_share", Absent::Default("1")),
    key("limits", "link_mbps", Absent::Default("1000")),
    // The platform kills a process that still runs this long after the signal to stop.
    number("stop", "grace_ms", "8000", 1_000..=MAX_MS),
    // The load balancer checks readiness once a second and removes a gateway after two failed
    // checks.
    number("stop", "announce_ms", "2300", 0..=MAX_MS),
    // In each window in which a service gets n requests, all gateways together may send it at most
    // `ratio` * n + `slack` retries.
    key("repeats", "ratio", Absent::Default("0.1")),
    number("repeats", "slack", "10", 0..=1_000_000),
    number("repeats", "window_ms", "10000", 100..=MAX_MS),
    // Whether less urgent requests leave room for more urgent ones.
    key("priorities", "reserve_room", Absent::Default("auto")),
    // Whether upstreams go to the models that callers miss.
    key("groups", "follow_demand", Absent::Default("auto")),
    // Time in which an evacuation of a data centre must be in force; 0: the deployment has none.
    number("evacuations", "apply_ms", "0", 0..=MAX_MS),
    // Whether the gateway learns how many requests each upstream takes well.
    key("upstreams", "learn_capacity", Absent::Default("auto")),
    // Parts of the platform's contract that are in force, by which `auto` is decided.
    key("platform", "features", Absent::Nothing),
    key("logs", "level", Absent::Default("info")),
];

/// Value of a setting that the features of the platform decide unless it is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
enum Switch {
    Auto,
    #[strum(serialize = "true")]
    On,
    #[strum(serialize = "false")]
    Off,
}

impl Switch {
    fn is_on(self, automatic: bool) -> bool {
        match self {
            Switch::Auto => automatic,
            Switch::On => true,
            Switch::Off => false,
        }
    }
}

/// Settings of a gateway that passed all checks.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// Name of the gateway.
    pub name: NodeId,
    /// Data centre of the gateway.
    pub data_centre: DataCentreId,
    /// Regions of the data centres.
    pub regions: Regions,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address for other gateways: TCP for objects read from the store, UDP for alarms and load
    /// reports. If it is `None`, this gateway takes no part in either.
    pub peers: Option<SocketAddr>,
    /// Address for metrics; `None` if they are not served.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Number of file descriptors that the process may have open.
    pub descriptors: usize,
    /// Memory that the process may use.
    pub memory_mb: usize,
    /// What the VM can carry.
    pub capacity: VmCapacity,
    /// Time between the signal to stop and the kill by the platform.
    pub grace_ms: u64,
    /// Time after the signal to stop in which new requests are still accepted, while the load
    /// balancer removes the gateway.
    pub announce_ms: u64,
    /// Limit of the retries that all gateways together may send to each service.
    pub repeats: FleetRetryBudgetSettings,
    /// Whether requests leave room for more urgent ones of their service and model.
    pub reserves_room: bool,
    /// Whether upstreams go to the models that callers miss: requests that are refused or late count as
    /// work, and weights are loaded in reserve.
    pub follows_demand: bool,
    /// Time in which an evacuation of a data centre must be in force; 0 if the deployment has no
    /// evacuations, which are then not read.
    pub evacuation_apply_ms: u64,
    /// Whether the gateway learns how many requests each upstream takes well, and prefers upstreams
    /// by that.
    pub learns_capacity: bool,
    /// Level of the log: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns all errors of the file. `ratio`, `level` and relations between values are checked only
/// if all values other than those of `peers` and `metrics` can be read.
pub fn parse_settings(text: &str) -> Result<GatewaySettings, Vec<SettingsError>> {
    let mut reader = Reader::new(text, KEYS)?;
    reader.check_keys();
    let settings = read(&mut reader);
    if let Some(settings) = &settings {
        check(settings, &mut reader);
    }
    let errors = reader.into_errors();
    match settings {
        Some(settings) if errors.is_empty() => Ok(settings),
        _ => Err(errors),
    }
}

/// Reads all keys; returns `None` if a required key is missing, or a value other than those of
/// `peers` and `metrics` is invalid.
///
/// Every key is read before the first missing one ends the function, so that all missing keys and
/// unreadable values are found.
fn read(reader: &mut Reader<'_>) -> Option<GatewaySettings> {
    let name = reader.value("node", "name");
    let data_centre = reader.value("node", "data_centre");
    let regions = reader.list("node", "regions").into_iter().collect();
    let is_first_start = reader.value("node", "first_start");
    let callers = reader.value("listen", "callers");
    let readiness = reader.value("listen", "readiness");
    let peers = reader.value("listen", "peers");
    let metrics = reader.value("listen", "metrics");
    let store = reader.value("store", "address");
    let descriptors = reader.value("limits", "descriptors");
    let memory_mb = reader.value("limits", "memory_mb");
    let core_share: Option<f64> = reader.value("limits", "core_share");
    let link_mbps: Option<f64> = reader.value("limits", "link_mbps");
    let grace_ms = reader.value("stop", "grace_ms");
    let announce_ms = reader.value("stop", "announce_ms");
    let ratio: Option<f64> = reader.value("repeats", "ratio");
    let slack: Option<u64> = reader.value("repeats", "slack");
    let window_ms = reader.value("repeats", "window_ms");
    let features: Option<String> = reader.value("platform", "features");
    let has_varied_upstreams = features.is_some_and(|text| has_varied_upstreams(&text));
    let reserves_room: Option<Switch> = reader.value("priorities", "reserve_room");
    let follows_demand: Option<Switch> = reader.value("groups", "follow_demand");
    let evacuation_apply_ms = reader.value("evacuations", "apply_ms");
    let learns_capacity: Option<Switch> = reader.value("upstreams", "learn_capacity");
    let log_level = reader.value("logs", "level");
    Some(GatewaySettings {
        name: name?,
        data_centre: data_centre?,
        regions,
        is_first_start: is_first_start?,
        callers: callers?,
        readiness: readiness?,
        peers,
        metrics,
        store: store?,
        descriptors: descriptors?,
        memory_mb: memory_mb?,
        // Values that are no positive numbers become 0, which `check` refuses.
        capacity: VmCapacity {
            core_permille: thousandths(core_share?),
            link_kbps: thousandths(link_mbps?),
        },
        grace_ms: grace_ms?,
        announce_ms: announce_ms?,
        repeats: FleetRetryBudgetSettings {
            ratio: ratio?,
            slack: slack? as f64,
            window_ms: window_ms?,
        },
        reserves_room: reserves_room?.is_on(has_varied_upstreams),
        follows_demand: follows_demand?.is_on(has_varied_upstreams),
        evacuation_apply_ms: evacuation_apply_ms?,
        learns_capacity: learns_capacity?.is_on(has_varied_upstreams),
        log_level: log_level?,
    })
}

/// Returns a limit in thousandths of its unit; the largest value for 0, which stands for no limit.
fn thousandths(limit: f64) -> u32 {
    if limit == 0.0 {
        u32::MAX
    } else {
        (limit * 1_000.0) as u32
    }
}

/// Adds an error for each value that is invalid by itself or together with another one.
fn check(settings: &GatewaySettings, reader: &mut Reader<'_>) {
    if !(0.0..=10.0).contains(&settings.repeats.ratio) {
        let message = format!("`ratio = {}` is not within 0 to 10", settings.repeats.ratio);
        reader.add_error("repeats", Some("ratio"), message);
    }
    let capacity = settings.capacity;
    for (key, value) in [
        ("core_share", capacity.core_permille),
        ("link_mbps", capacity.link_kbps),
    ] {
        if value == 0 {
            let message = format!("`{key}` is neither 0 nor a number of 0.001 or more");
            reader.add_error("limits", Some(key), message);
        }
    }
    if settings.announce_ms >= settings.grace_ms {
        let message = format!(
            "`announce_ms = {}` is not below `grace_ms = {}`, so no time is left for open requests",
            settings.announce_ms, settings.grace_ms
        );
        reader.add_error("stop", Some("announce_ms"), message);
    }
    if settings.callers == settings.readiness {
        let message = format!(
            "`readiness = {}` is the callers' address",
            settings.readiness
        );
        reader.add_error("listen", Some("readiness"), message);
    }
    if !["error", "warn", "info", "debug", "trace"].contains(&settings.log_level.as_str()) {
        let message = format!("`level = {}` is not a level", settings.log_level);
        reader.add_error("logs", Some("level"), message);
    }
}
