//! The messages.

use std::net::SocketAddr;

use jacinthpoint_types::{Assignment, DataCentreId, NodeId, Revision, TimeMs};
use serde::{Deserialize, Serialize};

/// A node's own word on itself, passed on by others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// The node.
    pub node: NodeId,
    /// Raised each time the node starts, and by the node itself when it refutes a suspicion.
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

/// Sign of life, with news of a few other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: PeerState,
    /// Other nodes that the sender believes live.
    pub others: Vec<PeerState>,
}

/// Right to send work to a group, as granted by one of its probers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitGrant {
    /// The group as every member confirmed it.
    pub assignment: Assignment,
    /// Data centre of the group.
    pub data_centre: DataCentreId,
    /// Time for which the grant holds, counted by the receiver from when it sent the request that
    /// this grant answers.
    pub valid_ms: u32,
    /// Requests running and queued on the group, as its leader last reported.
    pub load: u32,
    /// Age of that report.
    pub load_age_ms: u32,
}

/// A message in one UDP datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Sign of life.
    Heartbeat(Heartbeat),
    /// Asks a prober for grants on the groups it probes.
    PermitRequest {
        /// The sender's own time, echoed in the reply and read by nobody else.
        sent_at: TimeMs,
        /// Where to reply.
        reply_to: SocketAddr,
    },
    /// Answers a `PermitRequest`; several datagrams if there are many groups.
    PermitReply {
        /// `sent_at` of the request.
        echo: TimeMs,
        /// Grants for groups that may be used.
        grants: Vec<PermitGrant>,
    },
}

/// A request over a short TCP connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for the configuration if it is newer than what the sender has.
    Config {
        /// The sender's revision.
        above: Revision,
    },
}

/// Answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The configuration.
    Config {
        /// Its revision.
        revision: Revision,
        /// The records as the platform holds them, in JSON.
        records_json: String,
    },
    /// There is nothing newer.
    Nothing,
}
