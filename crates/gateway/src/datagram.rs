//! Datagrams between gateways and their encoding.
//!
//! Any datagram may be lost. Load reports are repeated, and a gateway that misses an alarm detects
//! the fault by its own requests.

use std::net::SocketAddr;

use jacinthpoint_dispatch::{
    AnswerCounts, LimitAnswer, LimitReport, SharedCapacity, TargetReport, WarmUpAnswer,
    WarmUpReport,
};
use jacinthpoint_types::VmId;
use serde::{Deserialize, Serialize};

use crate::state::Gateway;

/// Version of the encoding, the first byte of a datagram. Datagrams of other versions are dropped.
const VERSION: u8 = 3;
/// Maximum length of a datagram, so that a link with an MTU of 1,500 bytes carries it unfragmented.
pub(crate) const MAX_BYTES: usize = 1_400;
/// Maximum number of per-target load reports in a datagram. Each takes up to 22 bytes.
pub(crate) const MAX_TARGET_REPORTS: usize = 60;

/// Notification of a fault at an upstream or a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Alarm {
    /// The streams of a group with these members are stalled.
    GroupStalled(Vec<VmId>),
    /// An upstream does not answer the probes of the owner of the groups.
    UpstreamDead(VmId),
}

/// A message between gateways. New kinds are added at the end: a gateway drops those that it does
/// not know.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// Notification of a fault.
    Alarm(Alarm),
    /// Report of the sender's requests at each target, sent to the root by gateways of builds that do
    /// not know [`Datagram::Cell`], and to roots of such builds.
    LoadReport(Vec<TargetReport>),
    /// The answer to such a report, or a part of it: the load that all other gateways have at each of
    /// these targets.
    AggregatedLoad(Vec<TargetReport>),
    /// Report of upstreams' limits to the hub, with requests for permits.
    LimitReport {
        /// The reports that are due.
        reports: Vec<LimitReport>,
        /// Whether the hub answers with all limits that it knows.
        is_sync: bool,
    },
    /// The hub's answer to a report of limits, or a part of it.
    LimitAnswer(Vec<LimitAnswer>),
    /// Message of the exchange of loads.
    Cell(CellMessage),
    /// Message of the exchange of capacities.
    Capacity(CapacityMessage),
    /// Message of the exchange of permits for cold upstreams.
    WarmUp(WarmUpMessage),
}

/// A message between a gateway and the root on what upstreams take well.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum CapacityMessage {
    /// Answers of targets since the sender's last report, sent to the root.
    Report(Vec<AnswerCounts>),
    /// The root's answer: the capacities that are below the slots.
    Shared(Vec<SharedCapacity>),
}

/// A message between a gateway and the hub that issues permits for cold upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum WarmUpMessage {
    /// The reports that are due, sent to the hub.
    Report(Vec<WarmUpReport>),
    /// The hub's answer, or a part of it. The hub also sends what it knows without being asked, to
    /// each gateway that synchronises limits.
    Answer(Vec<WarmUpAnswer>),
}

/// A message between a member and the hub of its cell, or between a hub and the root.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum CellMessage {
    /// A member's requests at each target, sent to its hub.
    Member(Vec<TargetReport>),
    /// One part of the sum of a cell, sent by its hub to the root.
    Cell {
        /// Number of the part, from 0 on.
        part: u8,
        /// Load of the cell at these targets.
        reports: Vec<TargetReport>,
    },
    /// The hub's answer to a member, or a part of it.
    ToMember {
        /// The root, which issues permits; `None` if the hub knows none.
        root: Option<SocketAddr>,
        /// Load of all other gateways at these targets.
        loads: Vec<TargetReport>,
    },
    /// The root's answer to a hub, or a part of it: the load of all other cells.
    ToHub(Vec<TargetReport>),
}

/// Encodes a datagram; returns `None` if it is longer than [`MAX_BYTES`].
pub(crate) fn encode(datagram: &Datagram) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(datagram, vec![VERSION])
        .inspect_err(|error| tracing::debug!(%error, "a datagram could not be encoded"))
        .ok()?;
    (bytes.len() <= MAX_BYTES).then_some(bytes)
}

/// Decodes a datagram; returns `None` if it has another version or is malformed.
pub(crate) fn decode(bytes: &[u8]) -> Option<Datagram> {
    postcard::from_bytes(bytes.strip_prefix(&[VERSION])?).ok()
}

/// Sends a datagram to another gateway. Does nothing if the settings configure no address for other
/// gateways, or if the datagram is too long.
pub(crate) fn send_to(gateway: &Gateway, datagram: &Datagram, address: SocketAddr) {
    let socket = gateway.peers_socket.borrow().clone();
    let (Some(socket), Some(bytes)) = (socket, encode(datagram)) else {
        return;
    };
    // A failure to send is handled like the loss of a datagram.
    if let Err(error) = socket.try_send_to(&bytes, address) {
        tracing::debug!(%address, %error, "a datagram was not sent");
    }
}
