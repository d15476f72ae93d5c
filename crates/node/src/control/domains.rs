//! Holds the state of the fabric domains that the node probes or plans.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
};

use jacinthpoint_placement::{
    Action, Controller, DomainShares, Event, PlanVersion, RepairSettings,
};
use jacinthpoint_readiness::Prober;
use jacinthpoint_types::{Assignment, DataCentreId, FabricDomainId, TimeMs, VmId};

use crate::events::log_event;

/// Holds the prober and the controller of one fabric domain.
#[derive(Debug)]
pub(crate) struct Domain {
    name: FabricDomainId,
    pub(crate) data_centre: DataCentreId,
    pub(crate) prober: Prober,
    pub(crate) controller: Controller,
    /// Numbers of VMs of all domains, and the number of groups of each deployment allocated to this
    /// domain.
    pub(crate) shares: DomainShares,
    /// VMs whose last answer to a probe reported that they are leaving.
    pub(crate) leaving: BTreeSet<VmId>,
    /// The assignments last passed to the prober.
    probed_groups: Vec<Assignment>,
}

impl Domain {
    pub(crate) fn new(
        name: FabricDomainId,
        data_centre: DataCentreId,
        settings: RepairSettings,
    ) -> Domain {
        Domain {
            name: name.clone(),
            data_centre,
            prober: Prober::new(),
            // Controllers on different nodes, and of different incarnations of one node, must not
            // share a seed.
            controller: Controller::new(name, settings, rand::random()),
            shares: DomainShares::default(),
            leaving: BTreeSet::new(),
            probed_groups: Vec::new(),
        }
    }

    /// Passes an event to the controller and returns the resulting actions. If the assignments
    /// changed, the prober gets the new ones.
    pub(crate) fn handle(&mut self, now: TimeMs, event: Event) -> Vec<Action> {
        let known = self.controller.plan().map(|(version, _)| version);
        let actions = self.controller.handle(now, event);
        self.log_plan(known);
        let assignments = self.controller.assignments();
        if assignments != self.probed_groups {
            self.log_swaps(&assignments);
            self.prober.set_groups(assignments.iter().cloned());
            self.probed_groups = assignments;
        }
        actions
    }

    /// Logs the known plan if its version is not `old`.
    fn log_plan(&self, old: Option<PlanVersion>) {
        if let Some((version, plan)) = self.controller.plan().filter(|(new, _)| old != Some(*new)) {
            let (domain, version, fence) = (&self.name, version.0, plan.fence);
            log_event!(debug, PlanKnown, %domain, version, fence, "another version of the plan is known");
        }
    }

    /// Logs the new assignments that result from a standby swap.
    fn log_swaps(&self, assignments: &[Assignment]) {
        let swapped = assignments.iter().filter(|assignment| {
            assignment.epoch.has_swaps() && !self.probed_groups.contains(assignment)
        });
        for assignment in swapped {
            let (group, epoch) = (&assignment.group, assignment.epoch);
            log_event!(
                warn, StandbySwapped, %group, %epoch,
                "standby replaced a member while the platform was unavailable"
            );
        }
    }
}

/// Holds the fabric domains that this node probes or plans, by name.
#[derive(Debug, Default)]
pub(crate) struct Domains(Mutex<BTreeMap<FabricDomainId, Domain>>);

impl Domains {
    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<FabricDomainId, Domain>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
