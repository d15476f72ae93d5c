//! What the node knows of the fabric domains it has work for.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use jacinthpoint_placement::Plan;
use jacinthpoint_platform::Version;
use jacinthpoint_readiness::{ProbeReport, Prober};
use jacinthpoint_types::{DataCentreId, FabricDomainId, TimeMs, VmId};

/// The plan of a domain as last read or written.
#[derive(Debug, Clone, Default)]
pub(crate) struct KnownPlan {
    pub(crate) version: Version,
    pub(crate) plan: Plan,
}

/// Last probe of a VM that was answered.
#[derive(Debug, Clone)]
pub(crate) struct VmSight {
    pub(crate) answered_at: TimeMs,
    pub(crate) report: ProbeReport,
}

/// One fabric domain.
#[derive(Debug)]
pub(crate) struct Domain {
    pub(crate) data_centre: DataCentreId,
    pub(crate) known: Option<KnownPlan>,
    pub(crate) prober: Prober,
    pub(crate) sights: BTreeMap<VmId, VmSight>,
}

impl Domain {
    pub(crate) fn new(data_centre: DataCentreId) -> Domain {
        Domain {
            data_centre,
            known: None,
            prober: Prober::new(),
            sights: BTreeMap::new(),
        }
    }

    /// Takes a plan unless a newer one is known.
    pub(crate) fn learn(&mut self, known: KnownPlan) {
        if self
            .known
            .as_ref()
            .is_some_and(|old| old.version > known.version)
        {
            return;
        }
        self.prober
            .set_groups(known.plan.groups.iter().map(|group| group.assignment()));
        self.known = Some(known);
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
