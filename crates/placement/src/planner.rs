//! The next plan of a fabric domain.

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

/// What the next plan is worked out from.
#[derive(Debug, Clone, Copy)]
pub struct PlanInput<'a> {
    /// The domain.
    pub domain: &'a FabricDomainId,
    /// The plan in force.
    pub current: &'a Plan,
    /// Groups wanted.
    pub demands: &'a [Demand],
    /// The domain's VMs.
    pub vms: &'a [VmView],
    /// Groups of the current plan whose members all confirm it.
    pub serving: &'a BTreeSet<GroupId>,
    /// Weights and estimates.
    pub settings: &'a RepairSettings,
    /// Fence of the next plan, above every fence that was ever seen.
    pub fence: u64,
}

/// The plan that should replace the current one, or `None` if it should stay.
///
/// Demands are served most important first. The generator makes the ids of new groups.
pub fn next_plan(input: &PlanInput<'_>, rng: &mut SmallRng) -> Option<Plan> {
    let mut draft = Draft::new(input);
    draft.mark_moves();
    draft.drop_surplus();
    draft.repair_groups();
    draft.help_broken_groups();
    draft.release_outgoing();
    draft.form_groups(rng);
    draft.fill_standbys();
    draft.finish()
}
