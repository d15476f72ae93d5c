//! Decides which replica groups a node may send work to.
//!
//! A group can run a request only while all of its members are up and agree on its assignment. A
//! node therefore sends work to a group only under a permit whose deadline has not passed.
//! Probers, nodes that probe the members of the groups of a fabric domain, grant a permit once
//! every member of the group has confirmed the assignment. The prober counts the validity of a
//! confirmation from the time at which it sent the probe, and the node counts the validity of a
//! permit from the time at which it requested the permit. A delayed message can therefore shorten
//! a permit but never lengthen it.
//!
//! This crate does no I/O and reads no clock.

pub use crate::{
    grants::{GrantCache, grants_digest},
    permit_client::{DomainProbers, PermitClient},
    permits::{Permit, PermitTable},
    prober::{
        ConfirmedGroup, LEAVING_GRACE_MS, PERMIT_MS, ProbeReport, Prober, STRAGGLER_SLOWNESS,
    },
};

mod grants;
mod permit_client;
mod permits;
mod prober;
