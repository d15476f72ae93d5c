//! Decisions on which nodes are live, from heartbeats and from what other nodes say.
//!
//! No node is asked about by all others. Each sends its heartbeat to a few peers at a time, with
//! news of a few more. This crate does no I/O and reads no clock.

pub use crate::peers::{PeerTable, SUSPECT_MS};

mod peers;
