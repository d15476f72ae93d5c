//! What is known of a request from its head.

use std::rc::Rc;

use jacinthpoint_dispatch::{FleetBudget, Silence};
use jacinthpoint_fleet::{Engine, Organisation, Route};
use jacinthpoint_types::{Deadline, DeploymentId, ServiceId, TimeMs};

use crate::state::{Gateway, Snapshot};

/// Counts a request as open while it lives.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    gateway: Rc<Gateway>,
}

impl OpenRequest {
    /// Counts one more.
    pub(crate) fn new(gateway: Rc<Gateway>) -> OpenRequest {
        gateway.open_requests.set(gateway.open_requests.get() + 1);
        OpenRequest { gateway }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open = &self.gateway.open_requests;
        open.set(open.get() - 1);
    }
}

/// One request.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) snapshot: Rc<Snapshot>,
    /// The caller's id for it.
    pub(crate) attempt_id: String,
    pub(crate) route: Route,
    pub(crate) organisation: Option<Organisation>,
    pub(crate) service: ServiceId,
    pub(crate) model: Option<DeploymentId>,
    pub(crate) started: TimeMs,
    pub(crate) deadline: Deadline,
    pub(crate) _open: OpenRequest,
}

impl Context {
    /// Milliseconds since the request began.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.gateway.now().since_ms(self.started)
    }

    /// Milliseconds until its deadline.
    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline.remaining_ms(self.gateway.now())
    }

    /// The engines of its service, if it has any.
    pub(crate) fn engine(&self) -> Option<&Engine> {
        let service = self.snapshot.config.services.get(&self.service)?;
        service.engine.as_ref()
    }

    /// How long silence of its stream is borne.
    pub(crate) fn silence(&self) -> Option<Silence> {
        let engine = self.engine()?;
        let model = engine.model(self.model.as_ref()?.as_str())?;
        Some(Silence::new(engine, model))
    }

    /// Name of its customer for logs and metrics.
    pub(crate) fn organisation_name(&self) -> &str {
        self.organisation
            .as_ref()
            .map_or("none", |organisation| organisation.id.as_str())
    }

    /// Works on the budget of repeats of its service.
    pub(crate) fn with_budget<R>(&self, work: impl FnOnce(&mut FleetBudget) -> R) -> R {
        let mut budgets = self.gateway.budgets.borrow_mut();
        work(budgets.entry(self.service.clone()).or_default())
    }

    /// Takes a repeat out of the budget; `false` if there is none left.
    pub(crate) fn may_spend_repeat(&self) -> bool {
        let gateway = &self.gateway;
        let settings = gateway.settings();
        let gateways = gateway.gateway_count.get();
        self.with_budget(|budget| budget.try_repeat(&settings.repeats, gateways, gateway.now()))
    }
}
