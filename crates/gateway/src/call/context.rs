//! Data of one request that all its attempts share, determined from its head.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use jacinthpoint_dispatch::{
    Admission, FleetRetryBudget, PromptDemand, RequestContent, StallPolicy, SuspectId, Target,
};
use jacinthpoint_fleet::{Engine, Homes, Organisation, RequestKind, Route, WarmUp};
use jacinthpoint_types::{Deadline, DeploymentId, ServiceId, TimeMs};

use crate::{
    call::stated::StatedForOther,
    edge::CallerConnection,
    events::log_event,
    memory::Account,
    state::{Gateway, Snapshot},
};

/// Counts a request as open until dropped.
#[derive(Debug)]
pub(crate) struct OpenRequestGuard {
    gateway: Rc<Gateway>,
}

impl OpenRequestGuard {
    /// Increments the number of open requests.
    pub(crate) fn new(gateway: Rc<Gateway>) -> OpenRequestGuard {
        gateway.open_requests.set(gateway.open_requests.get() + 1);
        OpenRequestGuard { gateway }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let open = &self.gateway.open_requests;
        open.set(open.get() - 1);
    }
}

/// Where a request comes from.
#[derive(Debug, Clone)]
pub(crate) enum Origin {
    /// A caller, on this connection.
    Caller(Rc<CallerConnection>),
    /// Another gateway, which forwards it, and gets to know what upstreams state.
    /// What the request holds is counted beside what its connection does.
    Gateway(Rc<StatedForOther>, Rc<Account>),
}

impl Origin {
    /// Waits until the request is given up because its caller seems to have left.
    pub(crate) async fn wait_for_leaving(&self) {
        match self {
            Origin::Caller(caller) => caller.wait_for_leaving().await,
            // The connection of the other gateway ends, and the request with it.
            Origin::Gateway(..) => std::future::pending().await,
        }
    }
}

/// A request's route, organisation, target service and deadline, with the configuration in force
/// when it arrived.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) snapshot: Rc<Snapshot>,
    /// Id that the caller sent for the request in the header `headers::ATTEMPT_ID`; the same in all
    /// attempts. Empty if the caller sent none.
    pub(crate) request_id: String,
    pub(crate) route: Route,
    pub(crate) organisation: Option<Organisation>,
    /// Regions in which the request may be served, by its route and its organisation.
    pub(crate) homes: Homes,
    pub(crate) service: ServiceId,
    pub(crate) model: Option<DeploymentId>,
    /// Length of the prompt in tokens; 0 if the caller gave none.
    pub(crate) prompt_tokens: u32,
    /// What tells whether the request is in quarantine.
    pub(crate) content: RequestContent,
    /// What is in quarantine and is tried by this request.
    pub(crate) tried: RefCell<Vec<SuspectId>>,
    pub(crate) started: TimeMs,
    pub(crate) origin: Origin,
    /// Whether a byte of the request may have been sent to an upstream or another gateway.
    pub(crate) is_sent: Rc<Cell<bool>>,
    pub(crate) deadline: Deadline,
    pub(crate) _open_guard: OpenRequestGuard,
}

impl Context {
    /// Returns the time in milliseconds since the request arrived.
    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.gateway.now().since_ms(self.started)
    }

    /// Returns the time in milliseconds until the deadline.
    pub(crate) fn remaining_ms(&self) -> u64 {
        self.deadline.remaining_ms(self.gateway.now())
    }

    /// Returns the engine settings of the request's service; `None` for a plain service.
    pub(crate) fn engine(&self) -> Option<&Engine> {
        let service = self.snapshot.config.services.get(&self.service)?;
        service.engine.as_ref()
    }

    /// Returns the limit on requests to cold upstreams of the request's service, if there is one.
    pub(crate) fn warm_up(&self) -> Option<WarmUp> {
        let service = self.snapshot.config.services.get(&self.service)?;
        service.warm_up
    }

    /// Records that this request was refused for lack of room, or answered late: work that its model
    /// lacks. It counts for at most `max_ms`.
    pub(super) fn record_unmet(&self, max_ms: u64) {
        if !self.gateway.settings().follows_demand {
            return;
        }
        let engine_and_model = self.engine().zip(self.model.as_ref());
        if let Some((engine, name)) = engine_and_model
            && let Some(model) = engine.model(name.as_str())
        {
            let slots = f64::from(engine.slots.max(1));
            let run_ms = slots * 1_000.0 / engine.group_rate_per_s(model).max(f64::EPSILON);
            let now = self.gateway.now();
            let mut loads = self.gateway.loads.borrow_mut();
            loads.on_unmet(&self.service, name, run_ms, max_ms, now);
        }
    }

    /// Returns the policy by which attempts of this request count as stalled; `None` without an
    /// engine or a known model.
    pub(crate) fn stall_policy(&self) -> Option<StallPolicy> {
        let engine = self.engine()?;
        let model = engine.model(self.model.as_ref()?.as_str())?;
        Some(StallPolicy::new(engine, model))
    }

    /// Returns what the request asks of a group; `None` without an engine, a known model or a length
    /// of the prompt.
    pub(crate) fn prompt_demand(&self) -> Option<PromptDemand<'_>> {
        let engine = self.engine()?;
        let model = engine.model(self.model.as_ref()?.as_str())?;
        (self.prompt_tokens > 0).then_some(PromptDemand {
            engine,
            model,
            prompt_tokens: self.prompt_tokens,
            first_event_objective_ms: self.route.answer_objective_ms,
            gap_objective_ms: self.route.gap_objective_ms,
        })
    }

    /// Returns the priority of the organisation, or else of the route; 0 is the highest.
    pub(crate) fn priority(&self) -> u8 {
        let organisation = self.organisation.as_ref();
        let of_organisation = organisation.and_then(|organisation| organisation.priority);
        of_organisation.unwrap_or(self.route.priority)
    }

    /// Returns the organisation's name for logs and metrics, or "none".
    pub(crate) fn organisation_name(&self) -> &str {
        self.organisation
            .as_ref()
            .map_or("none", |organisation| organisation.name.as_str())
    }

    /// Returns the count of what the request holds.
    pub(crate) fn account(&self) -> &Account {
        match &self.origin {
            Origin::Caller(caller) => &caller.account,
            Origin::Gateway(_, account) => account,
        }
    }

    /// Returns whether this gateway reaches no upstream and may forward the request.
    pub(crate) fn is_to_forward(&self) -> bool {
        matches!(self.origin, Origin::Caller(_)) && self.gateway.reach.borrow().is_cut()
    }

    /// Records that the request is being sent to an upstream or another gateway.
    pub(crate) fn on_sending(&self) {
        self.is_sent.set(true);
        self.set_only_run(true);
    }

    /// Records that the request does not run where it was sent, and may be sent elsewhere.
    pub(crate) fn on_not_run(&self) {
        self.set_only_run(false);
    }

    fn set_only_run(&self, may_run: bool) {
        if let Origin::Caller(caller) = &self.origin
            && self.route.kind == RequestKind::NonIdempotent
        {
            caller.set_only_run(may_run);
        }
    }

    /// Returns whether the caller seems to have left, so that the request is not sent again.
    pub(crate) fn has_caller_left(&self) -> bool {
        matches!(&self.origin, Origin::Caller(caller) if caller.has_left())
    }

    /// Returns what of the request is in quarantine, if anything is and it is not sent as a trial of that. To be
    /// asked before the request is sent for the first time.
    pub(crate) fn refused_suspect(&self) -> Option<SuspectId> {
        let gateway = &self.gateway;
        let mut tried = self.tried.borrow_mut();
        let mut quarantine = gateway.quarantine.borrow_mut();
        let is_servable = self.has_target();
        match quarantine.admit(&self.content, &tried, is_servable, gateway.now()) {
            Admission::Free => None,
            Admission::Refused(suspect) => Some(suspect),
            Admission::Trial(suspects) => {
                gateway.metrics.count("quarantines", "tried");
                let names: Vec<_> = suspects.iter().map(ToString::to_string).collect();
                log_event!(warn, QuarantineTried, request = self.request_id, suspects = ?names,
                    "a request in quarantine is sent, to find out whether it still crashes upstreams");
                tried.extend(suspects);
                None
            }
        }
    }

    /// Returns whether there is an upstream or group that serves requests of this kind and is not known to be
    /// down.
    fn has_target(&self) -> bool {
        let directory = &self.snapshot.directory;
        let targets = match &self.model {
            Some(model) if self.engine().is_some() => directory.groups(&self.service, model),
            _ => directory.plain(&self.service),
        };
        let notices = self.gateway.crash_notices.borrow();
        let now = self.gateway.now();
        let is_down =
            |target: &Arc<Target>| notices.is_down(&target.upstream, target.started_unix_ms, now);
        !targets.iter().all(is_down)
    }

    /// Returns what of the request is in quarantine, if anything is.
    pub(crate) fn quarantined(&self) -> Option<SuspectId> {
        self.gateway.quarantine.borrow().quarantined(&self.content)
    }

    /// Records that an upstream writes an answer to the request.
    pub(crate) fn record_answer(&self) {
        let now = self.gateway.now();
        let mut quarantine = self.gateway.quarantine.borrow_mut();
        quarantine.on_answer(&self.content, now);
    }

    /// Calls `work` with the retry budget of the request's service.
    pub(crate) fn with_budget<R>(&self, work: impl FnOnce(&mut FleetRetryBudget) -> R) -> R {
        let mut budgets = self.gateway.budgets.borrow_mut();
        work(budgets.entry(self.service.clone()).or_default())
    }

    /// Returns whether the retry budget allows another retry now, without spending it.
    pub(crate) fn can_spend_retry(&self) -> bool {
        let gateway = &self.gateway;
        let settings = gateway.settings();
        let (slack, now) = (gateway.slack_share(), gateway.now());
        let usage = self.with_budget(|budget| budget.usage(&settings.repeats, slack, now));
        f64::from(usage.retries) + 1.0 <= usage.max_retries
    }

    /// Spends one retry of the service's budget; returns `false` if the budget is used up. Logs
    /// either with the budget's use before.
    pub(crate) fn try_spend_retry(&self) -> bool {
        let gateway = &self.gateway;
        let settings = gateway.settings();
        let (slack, now) = (gateway.slack_share(), gateway.now());
        let (usage, is_allowed) = self.with_budget(|budget| {
            let usage = budget.usage(&settings.repeats, slack, now);
            (usage, budget.try_retry(&settings.repeats, slack, now))
        });
        let outcome = if is_allowed { "sent" } else { "denied" };
        gateway.metrics.count("retries", outcome);
        log_event!(info, RetryDecided, request = self.request_id, service = %self.service, outcome,
            retries = usage.retries, max_retries = usage.max_retries, requests = usage.requests,
            gateways = slack.gateways, has_slack = now >= slack.usable_from,
            "a retry is sent, or denied by the retry budget");
        is_allowed
    }
}
