//! Decisions on which nodes are live.
//!
//! With hundreds of nodes, heartbeats from each to all would cost more than all other control
//! traffic. Each node instead pings one other a period; a node that does not answer, directly or
//! through a few others, becomes suspect, and gone unless it refutes that in time. News of such
//! changes rides on the same messages. The method is that of SWIM (Das, Gupta, Motivala 2002).
//! This crate does no I/O and reads no clock.

pub use crate::{
    detector::{
        DIRECT_TIMEOUT_MS, Membership, OutgoingMessage, PERIOD_MS, PROBE_TIMEOUT_MS, SUSPICION_MS,
    },
    gossip::MAX_UPDATES_PER_MESSAGE,
};

mod detector;
mod gossip;
mod table;
