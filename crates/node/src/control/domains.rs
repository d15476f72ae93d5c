//! What the node knows of the fabric domains it has work for.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
};

use jacinthpoint_placement::{Action, Controller, DomainShares, Event, RepairSettings};
use jacinthpoint_readiness::Prober;
use jacinthpoint_types::{Assignment, DataCentreId, FabricDomainId, TimeMs, VmId};

use crate::events::log_event;

/// One fabric domain.
#[derive(Debug)]
pub(crate) struct Domain {
    pub(crate) data_centre: DataCentreId,
    pub(crate) prober: Prober,
    pub(crate) controller: Controller,
    pub(crate) shares: DomainShares,
    /// VMs that say themselves that they are leaving.
    pub(crate) leaving: BTreeSet<VmId>,
    /// The groups as the prober was last told of them.
    probed_groups: Vec<Assignment>,
}

impl Domain {
    pub(crate) fn new(
        name: FabricDomainId,
        data_centre: DataCentreId,
        settings: RepairSettings,
    ) -> Domain {
        Domain {
            data_centre,
            prober: Prober::new(),
            // Controllers of different nodes and of different starts must not share a seed.
            controller: Controller::new(name, settings, rand::random()),
            shares: DomainShares::default(),
            leaving: BTreeSet::new(),
            probed_groups: Vec::new(),
        }
    }

    /// Tells the controller an event, and the prober which groups there are then.
    pub(crate) fn handle(&mut self, now: TimeMs, event: Event) -> Vec<Action> {
        let actions = self.controller.handle(now, event);
        let assignments = self.controller.assignments();
        if assignments != self.probed_groups {
            self.log_swaps(&assignments);
            self.prober.set_groups(assignments.iter().cloned());
            self.probed_groups = assignments;
        }
        actions
    }

    fn log_swaps(&self, assignments: &[Assignment]) {
        let swapped = assignments.iter().filter(|assignment| {
            assignment.epoch.is_swap() && !self.probed_groups.contains(assignment)
        });
        for assignment in swapped {
            let (group, epoch) = (&assignment.group, assignment.epoch);
            log_event!(warn, StandbySwapped, %group, %epoch, "without the platform");
        }
    }
}

/// The domains that this node plans or probes.
#[derive(Debug, Default)]
pub(crate) struct Domains(Mutex<BTreeMap<FabricDomainId, Domain>>);

impl Domains {
    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<FabricDomainId, Domain>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
