//! The entry that an upstream publishes about itself in the store.

use std::net::SocketAddr;

use jacinthpoint_types::{DataCentreId, DeploymentId, FabricDomainId, GroupId, ServiceId, VmId};

/// Whether an upstream takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum UpstreamState {
    /// Takes new requests.
    Ready,
    /// Takes no new requests, finishes those that it runs, and then leaves the fleet.
    Draining,
}

/// State of one member of a replica group. The leader's state is also that of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum GroupState {
    /// The member loads its part of the model.
    Joining,
    /// The member holds its part of the model.
    Ready,
    /// The member is the leader and takes requests.
    Open,
    /// The member is the leader, takes no new requests and finishes those that it runs.
    Closing,
    /// The member is the leader, and the group has lost a member.
    Broken,
}

/// Membership of an upstream in a replica group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Membership {
    /// Name of the group.
    pub group: GroupId,
    /// Epoch of the group's member list, assigned by the gateway that formed the group; later
    /// groups have higher epochs. It is not a `jacinthpoint_types::Epoch`, which `jacinthpoint
    /// node` uses.
    pub epoch: u64,
    /// Position in the member list; 0 is the leader.
    pub rank: usize,
    /// State of the member.
    pub state: GroupState,
}

/// State that an upstream published in its entry, and whether the entry is listed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Name. A restarted upstream may have the same name as before.
    pub id: VmId,
    /// Start time of this incarnation by the upstream's own clock, in Unix milliseconds; 0 if not
    /// published.
    pub started_unix_ms: u64,
    /// Service that the upstream belongs to.
    pub service: ServiceId,
    /// Address that the upstream listens on.
    pub address: SocketAddr,
    /// Data centre that the upstream runs in.
    pub data_centre: DataCentreId,
    /// Whether the upstream takes new requests.
    pub state: UpstreamState,
    /// Maximum number of requests that the upstream runs at once.
    pub slots: u32,
    /// Fabric domain of a model engine; `None` for other upstreams.
    pub domain: Option<FabricDomainId>,
    /// Models whose weights are in the host's memory.
    pub staged: Vec<DeploymentId>,
    /// Model that the upstream holds, if any.
    pub model: Option<DeploymentId>,
    /// Membership in a replica group, if any.
    pub membership: Option<Membership>,
    /// Time for which the upstream stays cold, as published when the entry was written; 0 if it is
    /// warm, `None` if not published. `jacinthpoint_dispatch::WarmUps` has the deadlines.
    pub warm_up_left_ms: Option<u64>,
    /// Whether the upstream's entry is in the store's list, or is kept after an outage as if it
    /// were. An upstream that is cut off from the store continues to serve, although its entry
    /// expires.
    pub is_listed: bool,
}

/// Number that an upstream gave one version of its entry. It counts the writes of one incarnation, so it
/// compares only entries with the same start time.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, derive_more::FromStr,
)]
pub struct EntryNumber(pub u64);

/// An entry of an upstream as it was read, which may be older than one that was read before: a write of which
/// the upstream got no answer may be executed seconds later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WrittenEntry {
    /// What the upstream published.
    pub upstream: Upstream,
    /// The entry's number, if it has one.
    pub number: Option<EntryNumber>,
}

impl From<Upstream> for WrittenEntry {
    /// Returns an entry without a number.
    fn from(upstream: Upstream) -> WrittenEntry {
        WrittenEntry {
            upstream,
            number: None,
        }
    }
}

impl Upstream {
    /// Returns whether new requests may be sent to the upstream: it is not draining, and is listed.
    pub fn is_ready(&self) -> bool {
        self.state == UpstreamState::Ready && self.is_listed
    }

    /// Returns whether the upstream is draining.
    pub fn is_draining(&self) -> bool {
        self.state == UpstreamState::Draining
    }

    /// Returns whether the group of the upstream may continue to serve without the upstream's
    /// entry. This holds for members other than the leader that are not draining: they get their
    /// work from the leader, and no requests of callers.
    pub fn may_serve_unlisted(&self) -> bool {
        let is_not_leader = |membership: &Membership| membership.rank != 0;
        self.membership.as_ref().is_some_and(is_not_leader) && !self.is_draining()
    }
}
