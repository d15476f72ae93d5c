//! Decisions on which replica groups may be sent work.
//!
//! A node sends work to a group only under a permit whose deadline has not passed. Probers grant
//! permits from what every member of the group confirmed; the deadline counts from before the
//! confirmation was asked for, so a delayed message can shorten a permit and never lengthen it.
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
