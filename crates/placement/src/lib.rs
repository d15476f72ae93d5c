//! Decisions on replica groups: which VMs of one fabric domain form which groups.
//!
//! A group never leaves its fabric domain, so the plan of a domain is one object, and a
//! conditional update of it is atomic: no VM can be in two groups, whatever the timing. This crate
//! does no I/O: a [`Controller`] is told events and the time, and returns actions.

pub use crate::{
    controller::Controller,
    event::{Action, Demand, EngineReport, Event, ListedVm, Order, OrderResult},
    health::{VM_SUSPECT_MS, VmHealth, VmView},
    plan::{GroupPlan, Plan, PlanVersion},
    planner::{PlanInput, next_plan},
    settings::{RepairSettings, Repairs},
    share::{DeploymentDemand, DomainShares, allocate_groups},
    store::AUTHORITY_MS,
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
