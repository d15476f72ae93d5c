//! Reads and checks the settings file of a node, which is in INI format.
//!
//! One run reports all faults of a file, each with its line. An unknown key is an error with a
//! suggestion, because a misspelt setting that is silently ignored does more harm than one that is
//! refused.

use std::net::SocketAddr;

use jacinthpoint_placement::RepairSettings;
use jacinthpoint_settings::Reader;
use jacinthpoint_types::{DataCentreId, NodeId};

use crate::settings::clashes::check_clashes;

pub use crate::settings::admission::AdmissionSettings;
pub use crate::settings::keys::KEYS;
pub use jacinthpoint_settings::{Absent, SettingsError, SettingsKey};

mod admission;
mod clashes;
mod keys;

/// Holds the checked settings of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the node.
    pub name: NodeId,
    /// Data centre of the node.
    pub data_centre: DataCentreId,
    /// Address on which the node listens for callers.
    pub listen_callers: SocketAddr,
    /// Address on which the node listens for operators and the load balancer's health checks.
    pub listen_operators: SocketAddr,
    /// Address on which the node listens for other nodes, over UDP and TCP.
    pub listen_peers: SocketAddr,
    /// Address at which other nodes reach this node, if it differs from `listen_peers`.
    pub advertise_peers: Option<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Nodes to contact first. The others are found through the platform's membership list.
    pub seeds: Vec<SocketAddr>,
    /// Deadline of a request that states none.
    pub default_deadline_ms: u64,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// Memory of all requests of callers together.
    pub request_memory_mb: usize,
    /// Time within which a caller must send the whole head of a request, and then again the whole
    /// body.
    pub read_deadline_ms: u64,
    /// Time in a planned stop between the loss of readiness and the closing of the callers'
    /// listener.
    pub drain_announce_ms: u64,
    /// Maximum duration of a planned stop, including `drain_announce_ms`.
    pub drain_deadline_ms: u64,
    /// Minimum time between two writes of one page of records of requests with an idempotency key.
    pub ledger_batch_ms: u64,
    /// Address to which metrics are sent in the statsd format.
    pub statsd: Option<SocketAddr>,
    /// Modes and limits of the admission layers.
    pub admission: AdmissionSettings,
    /// Weights, time estimates and limits for repairs of groups.
    pub repair: RepairSettings,
}

impl NodeSettings {
    /// Returns the address at which other nodes reach this node, which it announces to them.
    pub fn advertised_peers_address(&self) -> SocketAddr {
        self.advertise_peers.unwrap_or(self.listen_peers)
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns all faults found in the file.
pub fn parse_settings(text: &str) -> Result<NodeSettings, Vec<SettingsError>> {
    let mut reader = Reader::new(text, KEYS)?;
    reader.check_keys();
    let settings = read(&mut reader);
    if let Some(settings) = &settings {
        check_clashes(settings, &mut reader);
    }
    let errors = reader.into_errors();
    match settings {
        Some(settings) if errors.is_empty() => Ok(settings),
        _ => Err(errors),
    }
}

/// Reads all keys before it checks that none is missing, so that all faults are reported.
fn read(reader: &mut Reader<'_>) -> Option<NodeSettings> {
    let name = reader.value("node", "name");
    let data_centre = reader.value("node", "data_centre");
    let listen_callers = reader.value("listen", "callers");
    let listen_operators = reader.value("listen", "operators");
    let listen_peers = reader.value("listen", "peers");
    let advertise_peers = reader.value("listen", "advertise_peers");
    let platform = reader.value("platform", "address");
    let seeds = reader.list("peers", "seeds");
    let default_deadline_ms = reader.value("limits", "default_deadline_ms");
    let max_connections = reader.value("limits", "max_connections");
    let request_memory_mb = reader.value("limits", "request_memory_mb");
    let read_deadline_ms = reader.value("limits", "read_deadline_ms");
    let drain_announce_ms = reader.value("limits", "drain_announce_ms");
    let drain_deadline_ms = reader.value("limits", "drain_deadline_ms");
    let ledger_batch_ms = reader.value("ledger", "batch_ms");
    let statsd = reader.value("metrics", "statsd");
    let admission = admission::read(reader);
    let repair = read_repair(reader);
    Some(NodeSettings {
        name: name?,
        data_centre: data_centre?,
        listen_callers: listen_callers?,
        listen_operators: listen_operators?,
        listen_peers: listen_peers?,
        advertise_peers,
        platform: platform?,
        seeds,
        default_deadline_ms: default_deadline_ms?,
        max_connections: max_connections?,
        request_memory_mb: request_memory_mb?,
        read_deadline_ms: read_deadline_ms?,
        drain_announce_ms: drain_announce_ms?,
        drain_deadline_ms: drain_deadline_ms?,
        ledger_batch_ms: ledger_batch_ms?,
        statsd,
        admission: admission?,
        repair: repair?,
    })
}

fn read_repair(reader: &mut Reader<'_>) -> Option<RepairSettings> {
    const SECTION: &str = "repair";
    let group_downtime_weight = reader.value(SECTION, "group_downtime_weight");
    let stranded_weight = reader.value(SECTION, "stranded_weight");
    let load_ms = reader.value(SECTION, "load_ms");
    let replace_ms = reader.value(SECTION, "replace_ms");
    let wait_ms = reader.value(SECTION, "wait_ms");
    let max_loads = reader.value(SECTION, "max_loads");
    let damping_ms = reader.value(SECTION, "damping_ms");
    Some(RepairSettings {
        group_downtime_weight: group_downtime_weight?,
        stranded_weight: stranded_weight?,
        load_ms: load_ms?,
        replace_ms: replace_ms?,
        wait_ms: wait_ms?,
        max_loads: max_loads?,
        damping_ms: damping_ms?,
        // The kinds of repair that are allowed; they cannot be set in the file.
        repairs: RepairSettings::new().repairs,
    })
}
