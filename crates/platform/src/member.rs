//! Entries of the platform's membership list.

use std::net::SocketAddr;

use jacinthpoint_types::{DataCentreId, FabricDomainId, ServiceId, VmId};
use serde::{Deserialize, Serialize};

/// What a VM is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberRole {
    /// Runs a model engine.
    Engine,
    /// Runs a plain service.
    Service(ServiceId),
    /// Runs a node of this system.
    Entry,
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// It runs.
    Live,
    /// It is about to go and takes no new work.
    Leaving,
}

/// One VM of the lagging membership list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformMember {
    /// The VM.
    pub vm: VmId,
    /// Raised each time the VM is replaced or restarted.
    pub incarnation: u64,
    /// Where its process listens: HTTP for upstreams, UDP for nodes.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its fabric domain.
    pub fabric_domain: FabricDomainId,
    /// What it is for.
    pub role: MemberRole,
    /// Whether it stays.
    pub state: MemberState,
}
