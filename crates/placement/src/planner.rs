//! Computes the next plan of a fabric domain: which VMs form which replica groups.
//!
//! VMs fail, leave and return, and the number of groups wanted changes. The planner starts from the
//! plan in force, replaces lost members, moves groups off leaving VMs and to new model versions,
//! and forms missing groups, with as little downtime and as few weight loads as it can.

use std::collections::BTreeSet;

use jacinthpoint_types::{FabricDomainId, GroupId};
use rand::rngs::SmallRng;

use crate::{
    event::Demand, health::VmView, plan::Plan, planner::draft::Draft, settings::RepairSettings,
};

mod cost;
mod draft;
mod form;
mod repair;

/// Input of the planner.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The fabric domain.
    pub domain: &'a FabricDomainId,
    /// The plan in force.
    pub current: &'a Plan,
    /// Groups wanted of each deployment.
    pub demands: &'a [Demand],
    /// Health of the domain's VMs.
    pub vms: &'a [VmView],
    /// Groups of the current plan in which every member reported that it is ready.
    pub serving: &'a BTreeSet<GroupId>,
    /// Cost weights, estimates and limits for the choice of a repair.
    pub settings: &'a RepairSettings,
    /// Fencing token of the next plan; higher than every token seen so far.
    pub fence: u64,
}

/// Returns the plan that replaces the current one, or `None` if the current one stays in force.
///
/// Demands are met in order of priority. `rng` generates the ids of new groups.
pub fn next_plan(input: &PlanInput<'_>, rng: &mut SmallRng) -> Option<Plan> {
    let mut draft = Draft::new(input);
    draft.mark_outgoing();
    draft.dissolve_surplus();
    draft.repair_groups();
    draft.free_vms_for_broken_groups();
    draft.dissolve_replaced();
    draft.form_groups(rng);
    draft.fill_standbys();
    draft.finish()
}
