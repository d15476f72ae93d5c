//! Membership of nodes in the fleet: decides which nodes are live.
//!
//! A node is one process of this program. The platform's membership list holds the registered nodes
//! and VMs; this crate decides which of the nodes answer.
//!
//! With hundreds of nodes, heartbeats from each node to all others would cost more than all other
//! control traffic. Instead, each node pings one other node per period. A node that answers neither
//! directly nor through a few other nodes becomes suspect, and counts as gone unless it refutes the
//! suspicion in time. Membership updates are piggybacked on the same messages. This is the SWIM
//! protocol (Das, Gupta, Motivala 2002). This crate does no I/O and reads no clock: the calling code
//! passes in the time.

pub use crate::{
    detector::{
        DIRECT_TIMEOUT_MS, Membership, OutgoingMessage, PERIOD_MS, PROBE_TIMEOUT_MS, SUSPICION_MS,
    },
    gossip::MAX_UPDATES_PER_MESSAGE,
};

mod detector;
mod gossip;
mod table;
