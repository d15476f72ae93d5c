//! Entries of the platform's membership list.

use std::net::SocketAddr;

use jacinthpoint_types::{DataCentreId, FabricDomainId, ServiceId, VmId};
use serde::{Deserialize, Serialize};

/// Purpose of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRole {
    /// The VM runs a model engine.
    Engine,
    /// The VM runs a plain service.
    Service(ServiceId),
    /// The VM runs a node of this system.
    Entry,
}

/// Lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// The VM is running.
    Live,
    /// The VM is about to be removed and must get no new requests.
    Leaving,
}

/// Entry for one VM in the platform's membership list, which lags behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformMember {
    /// Id of the VM.
    pub vm: VmId,
    /// Incarnation of the VM; increases each time the VM is replaced or restarted.
    pub incarnation: u64,
    /// Address that the VM's process listens on: HTTP for upstreams, UDP for nodes.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Fabric domain of the VM.
    pub fabric_domain: FabricDomainId,
    /// Purpose of the VM.
    pub role: MemberRole,
    /// Lifecycle state of the VM.
    pub state: MemberState,
}

/// The platform's membership list.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Members {
    /// Entries that could be read.
    pub members: Vec<PlatformMember>,
    /// For each other entry, the reason.
    pub refused: Vec<String>,
}
