//! The messages.

use std::net::SocketAddr;

use jacinthpoint_admission::{ShareGrant, ShareReport};
use jacinthpoint_types::{
    Assignment, AttemptId, DataCentreId, FabricDomainId, NodeId, Revision, TimeMs,
};
use serde::{Deserialize, Serialize};

use crate::claim::{ClaimRequest, ClaimVerdict, ReleaseRequest, RunState};

/// A node's own word on itself, passed on by others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// The node.
    pub node: NodeId,
    /// Raised each time the node starts, and by the node itself to refute a suspicion or to say
    /// that it is leaving.
    pub incarnation: u64,
    /// Where it listens for messages of other nodes, UDP and TCP.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Revision of the configuration it has in force.
    pub revision: Revision,
}

/// What is believed of a node.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum PeerStatus {
    /// It answers.
    Live,
    /// It did not answer, directly or through others, and may refute that.
    Suspect,
    /// It did not refute the suspicion in time.
    Gone,
}

/// What one node says of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The node.
    pub peer: PeerState,
    /// What is believed of it.
    pub status: PeerStatus,
}

/// Purpose of a [`PeerMessage`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessageKind {
    /// Asks for an `Ack` with the same number.
    Ping,
    /// Answers a `Ping`.
    Ack,
    /// Asks the receiver to ping `target` and to pass its `Ack` on.
    PingFor {
        /// The node that did not answer the sender.
        target: SocketAddr,
    },
}

/// Failure detection between nodes, with news of a few of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sender.
    pub from: PeerState,
    /// Ties an answer to its question; chosen by the asker.
    pub number: u32,
    /// What the message is for.
    pub kind: PeerMessageKind,
    /// News of other nodes, and of the receiver if it must refute something.
    pub updates: Vec<PeerUpdate>,
}

/// The part of a grant that changes all the time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantTerms {
    /// Time for which the grant holds, counted by the receiver from when it sent the request that
    /// this grant answers.
    pub valid_ms: u32,
    /// Requests running and queued on the group, as its leader last reported.
    pub load: u32,
    /// Age of that report.
    pub load_age_ms: u32,
}

/// Right to send work to a group, as granted by one of its probers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The group as every member confirmed it.
    pub assignment: Assignment,
    /// Data centre of the group.
    pub data_centre: DataCentreId,
    /// Fabric domain of the group.
    pub fabric_domain: FabricDomainId,
    /// For how long, and under what load.
    pub terms: GrantTerms,
}

/// A message in one UDP datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Failure detection.
    Peer(PeerMessage),
    /// Asks a prober for grants on the groups it probes.
    PermitRequest {
        /// The sender's own time, echoed in the reply and read by nobody else.
        sent_at: TimeMs,
        /// Where to reply.
        reply_to: SocketAddr,
        /// Digest of the groups that the sender knows from this prober; 0 if it knows none.
        known_digest: u64,
    },
    /// Answers a `PermitRequest` with one part of the list.
    PermitReply {
        /// `sent_at` of the request.
        echo: TimeMs,
        /// The prober.
        prober: NodeId,
        /// Digest of the whole list.
        digest: u64,
        /// Number of this part, from 0.
        part: u8,
        /// Number of parts.
        parts: u8,
        /// Grants for groups that may be used.
        grants: Vec<PermitGrant>,
    },
    /// Answers a `PermitRequest` whose digest is right.
    PermitTerms {
        /// `sent_at` of the request.
        echo: TimeMs,
        /// The prober.
        prober: NodeId,
        /// Digest of the list.
        digest: u64,
        /// Terms of each grant, in the order of the list.
        terms: Vec<GrantTerms>,
    },
    /// Tells that the sender has a newer configuration in force.
    ConfigNews {
        /// Its revision.
        revision: Revision,
        /// Where to fetch it.
        address: SocketAddr,
    },
    /// Tells an organisation's home node what is wanted of its limits.
    ShareReports {
        /// The sender's own time, echoed in the reply and read by nobody else.
        sent_at: TimeMs,
        /// Where to reply.
        reply_to: SocketAddr,
        /// A report for each organisation.
        reports: Vec<ShareReport>,
    },
    /// Answers `ShareReports`.
    ShareGrants {
        /// `sent_at` of the reports.
        echo: TimeMs,
        /// A grant for each report.
        grants: Vec<ShareGrant>,
    },
    /// Asks which membership list the receiver has.
    MembersQuery {
        /// The sender's own time, echoed in the reply and read by nobody else.
        sent_at: TimeMs,
        /// Where to reply.
        reply_to: SocketAddr,
    },
    /// Answers a `MembersQuery`.
    MembersDigest {
        /// `sent_at` of the query.
        echo: TimeMs,
        /// Digest of the list; 0 if there is none.
        digest: u64,
        /// Time since it was read from the platform.
        age_ms: u32,
        /// Where to fetch it.
        address: SocketAddr,
    },
}

/// A request over a short TCP connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for the configuration if it is newer than what the sender has.
    Config {
        /// The sender's revision; 0 if it has none.
        above: Revision,
    },
    /// Asks for all nodes that the receiver knows.
    Peers,
    /// Asks for the platform's membership list as the receiver knows it.
    Members {
        /// Digest of the list that the sender knows; 0 if it knows none.
        known_digest: u64,
    },
    /// Asks the owner of a slot for the right to run a keyed request.
    Claim(ClaimRequest),
    /// Takes back a claim that was never dispatched.
    Release(ReleaseRequest),
    /// Asks the runner of a claim for its answer.
    KeptAnswer {
        /// The claim.
        claim: AttemptId,
        /// How long to wait for the end of a run.
        wait_ms: u32,
    },
}

/// Answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The configuration, whole.
    Config {
        /// Its revision.
        revision: Revision,
        /// The records as the platform holds them, in JSON.
        records_json: String,
    },
    /// The configuration, as what changed since the asker's revision.
    ConfigChange {
        /// Its revision.
        revision: Revision,
        /// Number of records it has; a result of another size is thrown away.
        records: u32,
        /// Places, in the asker's list, of records to drop, in rising order.
        dropped: Vec<u32>,
        /// Records to put in, each with its place in the new list, in JSON, in rising order.
        added: Vec<(u32, String)>,
    },
    /// There is nothing newer.
    Nothing,
    /// All nodes known.
    Peers(Vec<PeerUpdate>),
    /// The platform's membership list, whole.
    Members {
        /// Its entries, in JSON.
        entries: Vec<String>,
        /// Time since it was read from the platform.
        age_ms: u32,
    },
    /// The platform's membership list, as what changed since the one that the asker knows.
    MembersChange {
        /// Digest of the list.
        digest: u64,
        /// Time since it was read from the platform.
        age_ms: u32,
        /// Places, in the asker's list, of entries to drop, in rising order.
        dropped: Vec<u32>,
        /// Entries to put in, each with its place in the new list, in JSON, in rising order.
        added: Vec<(u32, String)>,
    },
    /// Answers a `Claim` or `Release`.
    Verdict(ClaimVerdict),
    /// Answers a `KeptAnswer`.
    Run(RunState),
}
