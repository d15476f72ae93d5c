//! Types of the messages between nodes.

use std::net::SocketAddr;

use jacinthpoint_admission::{ShareGrant, ShareReport};
use jacinthpoint_types::{
    Assignment, AttemptId, DataCentreId, FabricDomainId, NodeId, Revision, TimeMs,
};
use serde::{Deserialize, Serialize};

use crate::claim::{ClaimRequest, ClaimVerdict, ReleaseRequest, RunState};

/// State that a node reports of itself and that other nodes gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// Name of the node.
    pub node: NodeId,
    /// Version of this state, set only by the node itself: its start time at first, raised to refute
    /// a suspicion and to announce that the node is leaving.
    pub incarnation: u64,
    /// Address at which the node receives messages of other nodes over UDP and TCP.
    pub address: SocketAddr,
    /// Data centre of the node.
    pub data_centre: DataCentreId,
    /// Whether the node is about to stop and must get no control work.
    pub leaving: bool,
    /// Revision of the configuration that the node has in force.
    pub revision: Revision,
}

/// Status of a node in the failure detector of another node.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum PeerStatus {
    /// The node answers.
    Live,
    /// The node answered neither directly nor through other nodes, and may still refute the
    /// suspicion.
    Suspect,
    /// The node did not refute the suspicion in time.
    Gone,
}

/// Membership update that one node sends about another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// Last known state of the node.
    pub peer: PeerState,
    /// Status of the node.
    pub status: PeerStatus,
}

/// Purpose of a [`PeerMessage`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessageKind {
    /// Requests an `Ack` with the same number.
    Ping,
    /// Answers a `Ping` or a `PingFor`.
    Ack,
    /// Requests that the receiver ping `target` and forward its `Ack`.
    PingFor {
        /// Address of the node that did not answer the sender.
        target: SocketAddr,
    },
}

/// Failure detector message, with piggybacked membership updates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// State of the sender.
    pub from: PeerState,
    /// Number that the sender of a `Ping` or `PingFor` chooses and that the `Ack` returns.
    pub number: u32,
    /// Purpose of the message.
    pub kind: PeerMessageKind,
    /// Updates about other nodes, and about the receiver if it is not considered live, so that it
    /// can refute this.
    pub updates: Vec<PeerUpdate>,
}

/// Terms of a [`PermitGrant`]: the part that changes all the time, unlike the group's assignment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantTerms {
    /// Validity in milliseconds, counted by the receiver from when it sent the `PermitRequest` that
    /// these terms answer.
    pub valid_ms: u32,
    /// Number of requests running and queued on the group, as last reported by its leader.
    pub load: u32,
    /// Age of that report in milliseconds.
    pub load_age_ms: u32,
}

/// Permit: the right to send requests to a group, granted by one of its probers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// Assignment of the group, confirmed by every member.
    pub assignment: Assignment,
    /// Data centre of the group.
    pub data_centre: DataCentreId,
    /// Fabric domain of the group.
    pub fabric_domain: FabricDomainId,
    /// Validity of the permit and load of the group.
    pub terms: GrantTerms,
}

/// Message in one UDP datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Failure detector message.
    Peer(PeerMessage),
    /// Requests permits from a prober for the groups that it probes.
    PermitRequest {
        /// Sender's clock, echoed in the reply; only the sender interprets it.
        sent_at: TimeMs,
        /// Address for the reply.
        reply_to: SocketAddr,
        /// Digest of the list of groups that the sender has from this prober; 0 if it has none.
        known_digest: u64,
    },
    /// Answers a `PermitRequest` with one part of the prober's list of groups.
    PermitReply {
        /// `sent_at` of the request.
        echo: TimeMs,
        /// Prober that sends the reply.
        prober: NodeId,
        /// Digest of the whole list.
        digest: u64,
        /// Index of this part, from 0.
        part: u8,
        /// Number of parts.
        parts: u8,
        /// Permits for the groups of this part.
        grants: Vec<PermitGrant>,
    },
    /// Answers a `PermitRequest` whose digest matches the prober's list.
    PermitTerms {
        /// `sent_at` of the request.
        echo: TimeMs,
        /// Prober that sends the reply.
        prober: NodeId,
        /// Digest of the list.
        digest: u64,
        /// Terms of each permit, in the order of the list.
        terms: Vec<GrantTerms>,
    },
    /// Announces a configuration that has newly come into force on the sender.
    ConfigNews {
        /// Revision of the configuration.
        revision: Revision,
        /// Address from which to fetch it.
        address: SocketAddr,
    },
    /// Reports the demand of organisations to their home node.
    ShareReports {
        /// Sender's clock, echoed in the reply; only the sender interprets it.
        sent_at: TimeMs,
        /// Address for the reply.
        reply_to: SocketAddr,
        /// One report for each organisation.
        reports: Vec<ShareReport>,
    },
    /// Answers `ShareReports`.
    ShareGrants {
        /// `sent_at` of the reports.
        echo: TimeMs,
        /// One grant for each report whose organisation is in the sender's configuration and has
        /// the sender as its home node.
        grants: Vec<ShareGrant>,
    },
    /// Requests the digest of the receiver's copy of the platform's membership list.
    MembersQuery {
        /// Sender's clock, echoed in the reply; only the sender interprets it.
        sent_at: TimeMs,
        /// Address for the reply.
        reply_to: SocketAddr,
    },
    /// Answers a `MembersQuery`.
    MembersDigest {
        /// `sent_at` of the query.
        echo: TimeMs,
        /// Digest of the list; 0 if the sender has none.
        digest: u64,
        /// Time in milliseconds since the list was read from the platform.
        age_ms: u32,
        /// Address from which to fetch it.
        address: SocketAddr,
    },
}

/// Request over a short TCP connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests the configuration if it is newer than the sender's.
    Config {
        /// Revision that the sender has; 0 if it has none.
        above: Revision,
    },
    /// Requests the receiver's table of nodes.
    Peers,
    /// Requests the receiver's copy of the platform's membership list.
    Members {
        /// Digest of the list that the sender has; 0 if it has none.
        known_digest: u64,
    },
    /// Requests the right to run a request that has an idempotency key, from the owner of the
    /// key's ledger slot.
    Claim(ClaimRequest),
    /// Withdraws a claim whose request was never dispatched.
    Release(ReleaseRequest),
    /// Requests the state of a claim from its runner, with the answer to the claimed request if it
    /// is kept.
    KeptAnswer {
        /// Claim whose state is requested.
        claim: AttemptId,
        /// Maximum time in milliseconds to wait for the end of the run.
        wait_ms: u32,
    },
}

/// Answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Complete configuration.
    Config {
        /// Revision of the configuration.
        revision: Revision,
        /// Records as the platform stores them, in JSON.
        records_json: String,
    },
    /// Difference between the requester's configuration and the current one.
    ConfigChange {
        /// Revision of the current configuration.
        revision: Revision,
        /// Number of records in the current configuration. The requester discards a result with
        /// another number.
        records: u32,
        /// Indices, in the requester's list, of the records to remove, ascending.
        dropped: Vec<u32>,
        /// Records to insert, in JSON, each with its index in the new list, ascending.
        added: Vec<(u32, String)>,
    },
    /// Answers [`PeerRequest::Config`] if the replying node has no configuration newer than the
    /// requester's, and [`PeerRequest::Members`] if it has no list, or one with the requester's
    /// digest.
    Nothing,
    /// All nodes in the sender's table, and the sender itself.
    Peers(Vec<PeerUpdate>),
    /// Complete membership list of the platform.
    Members {
        /// Entries of the list, in JSON.
        entries: Vec<String>,
        /// Time in milliseconds since the list was read from the platform.
        age_ms: u32,
    },
    /// Difference between the requester's membership list and the current one.
    MembersChange {
        /// Digest of the current list.
        digest: u64,
        /// Time in milliseconds since the list was read from the platform.
        age_ms: u32,
        /// Indices, in the requester's list, of the entries to remove, ascending.
        dropped: Vec<u32>,
        /// Entries to insert, in JSON, each with its index in the new list, ascending.
        added: Vec<(u32, String)>,
    },
    /// Answers a `Claim` or `Release`.
    Verdict(ClaimVerdict),
    /// Answers [`PeerRequest::KeptAnswer`] with the state of the claim.
    Run(RunState),
}
