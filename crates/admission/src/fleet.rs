//! Shares of a fleet-wide limit: measured by each node, dealt out by the organisation's home node.

pub use crate::fleet::{
    home::{GRANT_VALID_MS, NodeCounts, ShareAllocator},
    share::{Demand, ShareGrant, ShareReport, Shares},
};

mod home;
mod share;
