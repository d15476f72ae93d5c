//! Shares of fleet-wide limits: each node measures its demand, and the home node of an
//! organisation allocates shares of its limits accordingly.

pub use crate::fleet::{
    home::{GRANT_VALID_MS, NodeCounts, ShareAllocator},
    share::{Demand, ShareGrant, ShareReport, Shares},
};

mod home;
mod share;
