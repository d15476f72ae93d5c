//! Decisions on replica groups: which VMs of one fabric domain form which groups.
//!
//! A group never leaves its fabric domain, so the plan of a domain is one object, and a
//! conditional update of it is atomic: no VM can be in two groups, whatever the timing. This crate
//! does no I/O; it is given what is known and returns the next plan, if another one is wanted.

pub use crate::{
    plan::{GroupPlan, Plan},
    planner::{Demand, VmHealth, VmView, next_plan},
    share::domain_share,
};

mod plan;
mod planner;
mod share;
