//! Place of a request among those of other urgency that want the same model.
//!
//! Acts on services whose requests have different priorities. `dispatch::RoomClaim` decides; this module
//! asks it for one request, and gives up the request's place when it ends.

use std::{cell::RefCell, rc::Rc};

use jacinthpoint_dispatch::{
    PromptDemand, Refusal, RoomClaim, RoomLine, RoomLines, RoomTerms, Urgency,
};
use jacinthpoint_types::{DeploymentId, ServiceId, TimeMs};

use crate::{call::context::Context, clock::Clock, events::log_event};

/// A request that is not sent yet.
#[derive(Debug)]
pub(super) struct RoomRequest {
    lines: Rc<RefCell<RoomLines>>,
    clock: Clock,
    service: ServiceId,
    model: DeploymentId,
    claim: RoomClaim,
}

impl Drop for RoomRequest {
    fn drop(&mut self) {
        self.with_line(RoomClaim::on_left);
    }
}

impl RoomRequest {
    /// Records the request; returns `None` if all requests for its service have one priority, this
    /// gateway's settings don't ask for it, or the length of its prompt or its model is not known.
    pub(super) fn new(context: &Context) -> Option<RoomRequest> {
        let gateway = &context.gateway;
        let prompt = context.prompt_demand()?;
        let has_priorities = context.snapshot.config.has_priorities(&context.service);
        if !has_priorities || !gateway.settings().reserves_room {
            return None;
        }
        let (service, model) = (context.service.clone(), prompt.model.name.clone());
        let claim = RoomClaim::new(
            gateway
                .room
                .borrow_mut()
                .line(&service, &model, context.started),
            Urgency {
                priority: context.priority(),
                route_priority: context.route.priority,
            },
            &prompt,
            context.deadline,
            context.started,
            &mut *gateway.rng.borrow_mut(),
        );
        Some(RoomRequest {
            lines: gateway.room.clone(),
            clock: gateway.clock,
            service,
            model,
            claim,
        })
    }

    fn with_line<R>(&mut self, work: impl FnOnce(&mut RoomClaim, &mut RoomLine) -> R) -> R {
        let mut lines = self.lines.borrow_mut();
        let line = lines.line(&self.service, &self.model, self.clock.now());
        work(&mut self.claim, line)
    }

    /// Returns what the choice of a target must keep to now; `None` if others that wait go first.
    pub(super) fn terms(&self, prompt: &PromptDemand<'_>) -> Option<RoomTerms> {
        let mut lines = self.lines.borrow_mut();
        let now = self.clock.now();
        let line = lines.line(&self.service, &self.model, now);
        self.claim.terms(line, prompt, now)
    }

    /// Returns when to choose again, if the request waits or goes on waiting; `None` if it is refused.
    pub(super) fn wait(&mut self, context: &Context, refusal: Refusal) -> Option<TimeMs> {
        let now = self.clock.now();
        let was_waiting = self.claim.waited_ms(now).is_some();
        let waits = self.with_line(|claim, line| claim.waits(line, refusal, now));
        if !was_waiting || !waits {
            let outcome = if waits { "waits" } else { "refused" };
            self.log(context, outcome, Some(refusal));
        }
        let mut rng = context.gateway.rng.borrow_mut();
        waits.then(|| self.with_line(|claim, line| claim.check_at(line, now, &mut *rng)))
    }

    /// Records that the request is sent, and ends its wait.
    pub(super) fn on_sent(&mut self, context: &Context) {
        let now = self.clock.now();
        if self.claim.waited_ms(now).is_some() {
            self.log(context, "sent", None);
        }
        self.with_line(|claim, line| claim.on_sent(line, now));
    }

    /// Gives up the place of the refused request, and returns the time after which its caller should return, in
    /// milliseconds.
    pub(super) fn return_ms(&mut self, context: &Context) -> u64 {
        let now = self.clock.now();
        let mut rng = context.gateway.rng.borrow_mut();
        self.with_line(|claim, line| claim.return_ms(line, now, &mut *rng))
    }

    /// Logs and counts what is decided on a request for which there was no room at once.
    fn log(&mut self, context: &Context, outcome: &'static str, refusal: Option<Refusal>) {
        let now = self.clock.now();
        let (reserve, waiting) =
            self.with_line(|claim, line| (line.work.reserve(claim.urgency(), now), line.len()));
        let claim = &self.claim;
        context.gateway.metrics.count("room_waits", outcome);
        log_event!(info, RoomDecided, request = context.request_id, urgency = %claim.urgency(),
            outcome, why = refusal.map(<&str>::from), is_late = claim.is_late(now), waiting,
            waited_ms = claim.waited_ms(now), is_exempt = claim.is_exempt(),
            reserved_for_ms = reserve.map(|reserve| reserve.objective_ms),
            usable_share = reserve.map(|reserve| reserve.usable_share),
            "there was no room for a request at once");
    }
}
