//! Decides which VMs of a fabric domain form which replica groups, and repairs the groups.
//!
//! All members of a group are in one fabric domain. The plan of a domain is therefore one object on
//! the platform, which controllers replace by an atomic conditional update, so that no VM is in two
//! groups even if several controllers are active. This crate does no I/O: a [`Controller`] handles
//! events at a given time and returns actions.

pub use crate::{
    controller::Controller,
    event::{Action, Demand, EngineReport, Event, ListedVm, Order, OrderResult},
    health::{VM_SUSPECT_MS, VmHealth, VmView},
    plan::{GroupPlan, Plan, PlanVersion},
    planner::{PlanInput, next_plan},
    settings::{RepairSettings, Repairs},
    share::{DeploymentDemand, DomainShares, allocate_groups},
    store::ORDER_AUTHORITY_MS,
};

mod controller;
mod event;
mod health;
mod orders;
mod plan;
mod planner;
mod settings;
mod share;
mod store;
mod swap;
