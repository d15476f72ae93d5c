//! What an upstream publishes of itself.

use std::net::SocketAddr;

use jacinthpoint_types::{DataCentreId, DeploymentId, FabricDomainId, GroupId, ServiceId, VmId};

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum UpstreamState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// How far a member has come in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum GroupState {
    /// It loads the model.
    Joining,
    /// It holds its part of the model.
    Ready,
    /// It is the head and takes requests.
    Open,
    /// It is the head and finishes what it has.
    Closing,
    /// It is the head and has lost a member.
    Broken,
}

/// Membership of an upstream in a replica group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    /// The group.
    pub group: GroupId,
    /// The epoch of its member list.
    pub epoch: u64,
    /// Position in the member list; 0 is the head.
    pub rank: usize,
    /// How far the member has come.
    pub state: GroupState,
}

/// An upstream, as it describes itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Its name. A restarted upstream may have the name that it had.
    pub id: VmId,
    /// When this life began, by its own clock, in Unix milliseconds; 0 if it does not say.
    pub started_unix_ms: u64,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The fabric domain that it is in, if it is a model engine.
    pub domain: Option<FabricDomainId>,
    /// Models whose weights are on its host.
    pub staged: Vec<DeploymentId>,
    /// The model that it holds, if any.
    pub model: Option<DeploymentId>,
    /// The group that it is in, if any.
    pub membership: Option<Membership>,
    /// Whether its entry is in the store's list. One that is cut off from the store drops out of
    /// the list and serves on.
    pub is_listed: bool,
}

impl Upstream {
    /// Whether it takes new work.
    pub fn is_ready(&self) -> bool {
        self.state == UpstreamState::Ready && self.is_listed
    }

    /// Whether it finishes what it has and leaves.
    pub fn is_leaving(&self) -> bool {
        self.state == UpstreamState::Draining
    }

    /// Whether its group may go on without its entry: the head passes work on to it, and callers'
    /// requests do not reach it.
    pub fn may_serve_unlisted(&self) -> bool {
        let is_member = |membership: &Membership| membership.rank != 0;
        self.membership.as_ref().is_some_and(is_member) && !self.is_leaving()
    }
}
