//! Datagrams between gateways. Each may be lost; nothing rests on one alone.

use std::net::SocketAddr;

use jacinthpoint_dispatch::Sighting;
use jacinthpoint_types::VmId;
use serde::{Deserialize, Serialize};

use crate::state::Gateway;

/// Version of the datagrams; others are dropped.
const VERSION: u8 = 2;
/// Longest datagram: one that a link of 1,500 bytes carries whole.
pub(crate) const MAX_BYTES: usize = 1_400;
/// Sightings in a datagram. Each takes up to fourteen bytes.
pub(crate) const MAX_TARGET_REPORTS: usize = 95;

/// Word of a fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Alarm {
    /// The streams of a group with these members have stopped.
    GroupStalled(Vec<VmId>),
    /// An upstream does not answer its owner.
    UpstreamDead(VmId),
}

/// What gateways tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// Word of a fault.
    Alarm(Alarm),
    /// What the sender has at each target.
    LoadReport(Vec<Sighting>),
    /// What all others have there, for one that reported.
    AggregatedLoad(Vec<Sighting>),
}

/// Writes a datagram; `None` if it is too long.
pub(crate) fn encode(datagram: &Datagram) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(datagram, vec![VERSION])
        .inspect_err(|error| tracing::debug!(%error, "a datagram could not be written"))
        .ok()?;
    (bytes.len() <= MAX_BYTES).then_some(bytes)
}

/// Reads a datagram; `None` if it is of another version or none at all.
pub(crate) fn decode(bytes: &[u8]) -> Option<Datagram> {
    postcard::from_bytes(bytes.strip_prefix(&[VERSION])?).ok()
}

/// Sends a datagram to another gateway, if the settings name an address for other gateways.
pub(crate) fn send_to(gateway: &Gateway, datagram: &Datagram, address: SocketAddr) {
    let socket = gateway.peers_socket.borrow().clone();
    let (Some(socket), Some(bytes)) = (socket, encode(datagram)) else {
        return;
    };
    // A datagram that cannot be sent is like one that is lost.
    if let Err(error) = socket.try_send_to(&bytes, address) {
        tracing::debug!(%address, %error, "a datagram was not sent");
    }
}
