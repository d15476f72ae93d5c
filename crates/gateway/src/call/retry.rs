//! Retries a request at other targets until it is answered or may not be retried, and builds the
//! final response.
//!
//! A request that may have run is retried only if its route allows it: after an attempt that failed, and beside
//! one that is stalled, which is kept until another one is answered. Retries spend the budget of
//! their service, so that they do not add to an overload. The result code of a failure states
//! whether the request may have run.

use std::{borrow::Cow, rc::Rc, sync::Arc};

use bytes::Bytes;
use hyper::{Response, http::request::Parts};
use jacinthpoint_dispatch::{
    Directory, Refusal, Selection, SuspectId, Target, TargetKey, retry_after_ms, targets_at_home,
};
use jacinthpoint_types::{ResultCode, TimeMs};

use crate::{
    body::AnswerBody,
    call::{
        attempt::{Attempt, AttemptOutcome, OutgoingRequest, WholeAnswer, first_outcome},
        context::Context,
        forward::forward,
        outcome::{log_given_up, pass_on, record_failure, record_not_run},
        refusal::{quarantine_reason, refuse, refuse_quarantined},
        request::shared_headers,
        room::RoomRequest,
        stream,
    },
    events::log_event,
};

/// Maximum number of requests queued at an engine, as a fraction of its slots. A request behind a
/// longer queue would miss its latency objective.
const ENGINE_QUEUE_SHARE: f64 = 0.35;
/// The same for a request that ran or may have run before: it is late already, and refusing it
/// would be worse.
const RETRY_QUEUE_SHARE: f64 = 1.0;
/// Maximum number of requests queued at a plain upstream, as a multiple of its slots. The queue may
/// be longer than at an engine because requests to plain upstreams are short.
const PLAIN_QUEUE_SHARE: f64 = 3.0;
/// Number of attempts that were not sent after which a request is refused.
const MAX_NOT_SENT: u32 = 4;
/// Number of refusals by upstreams after which a request is refused. They have a limit of their
/// own, since `max_attempts` of the route limits only attempts that ran or may have run.
const MAX_NOT_RUN: u32 = 2;
/// Time until the next attempt beside a silent one, after one that did not run. It is four times as long after each
/// further one.
const FIRST_REFUSED_PAUSE_MS: u64 = 100;
/// Time in which a group is expected to be repaired, from which `Retry-After` is drawn.
const EXPECTED_REPAIR_MS: u64 = 1_500;
/// Time in which a slot is expected to become free, from which `Retry-After` is drawn.
const EXPECTED_SLOT_WAIT_MS: u64 = 800;

/// Targets and results of all attempts of a request so far.
#[derive(Debug, Default)]
pub(super) struct AttemptHistory {
    /// Targets of all attempts but those in `unused_targets`.
    tried_targets: Vec<TargetKey>,
    /// Targets of attempts that were given up although they did not stall or fail, since another one went on.
    /// They may be tried again, and count as run already.
    unused_targets: Vec<TargetKey>,
    /// Targets whose failure was recorded. A stall and the end of the same attempt are one failure.
    failed_targets: Vec<TargetKey>,
    /// Attempts whose end is awaited.
    open: u32,
    /// Attempts that ended, and ran or may have run, except those at `unused_targets`.
    runs: u32,
    /// Attempts of which no byte was sent.
    not_sent: u32,
    /// Attempts that the upstream refused without running the request.
    not_run: u32,
    /// Last answer with a server error, which is passed on if no later attempt succeeds.
    last_answer: Option<WholeAnswer>,
    /// Whether it was logged that no target can be selected beside a stalled attempt.
    was_refusal_logged: bool,
    /// Attempts beside a silent one that did not run, since the last event of the stream.
    refused_beside: u32,
    /// Time before which no further one is made.
    next_beside_at: TimeMs,
    /// Place of the request among those of other urgency; `None` if there are none.
    room: Option<RoomRequest>,
}

/// Reason why a request gets no further attempt.
#[derive(Debug)]
enum StopReason {
    /// Selection found no target; holds the reason.
    NothingSelected(Refusal),
    /// The service's retry budget is used up.
    RetryBudgetExhausted,
    /// The request or a part of its prompt is in quarantine.
    Quarantined(SuspectId),
    /// This gateway reaches no upstream, and no other one takes the request.
    Unreachable,
    /// A limit on the number of attempts was reached, or the request must not be retried.
    AttemptsExhausted,
    DeadlinePassed,
    /// The caller ended its sending side, and seems to have left.
    CallerLeft,
}

impl AttemptHistory {
    /// Returns whether no byte of the request was sent to an upstream.
    fn is_unsent(&self) -> bool {
        self.all_runs() + self.not_run == 0
    }

    /// Returns the number of targets at which an attempt runs, ran or may have run.
    pub(super) fn all_runs(&self) -> u32 {
        let unused = u32::try_from(self.unused_targets.len()).unwrap_or(u32::MAX);
        self.open + self.runs + unused
    }

    /// Returns whether the route allows an attempt at a target that was not tried, if all attempts run.
    fn may_try_others(&self, context: &Context) -> bool {
        self.all_runs() < context.route.max_attempts
    }

    /// Returns whether the route allows another attempt beside or after the earlier ones.
    pub(super) fn may_run_again(&self, context: &Context) -> bool {
        self.may_try_others(context) || !self.unused_targets.is_empty()
    }

    /// Records that an attempt begins. Its target is not selected again, unless it is given up unused.
    pub(super) fn on_started(&mut self, target: &Target) {
        self.open += 1;
        self.unused_targets.retain(|key| *key != target.key);
        self.tried_targets.push(target.key.clone());
    }

    /// Records that an open attempt is given up, since another one goes on.
    pub(super) fn on_given_up(&mut self, target: &Target) {
        self.open = self.open.saturating_sub(1);
        if self.failed_targets.contains(&target.key) {
            self.runs += 1;
        } else {
            self.tried_targets.retain(|key| *key != target.key);
            self.unused_targets.push(target.key.clone());
        }
    }

    /// Records a failure of an attempt, or its stall, once in the load tracker.
    pub(super) fn record_failure(&mut self, context: &Context, target: &Target) {
        if !self.failed_targets.contains(&target.key) {
            self.failed_targets.push(target.key.clone());
            record_failure(context, target);
        }
    }

    /// Records that an attempt beside a silent one did not run. The next one is made only after a time that grows,
    /// so that a silent stream does not ask each upstream in turn.
    pub(super) fn on_refused_beside(&mut self, now: TimeMs) {
        let pause_ms = FIRST_REFUSED_PAUSE_MS << (2 * self.refused_beside).min(8);
        self.refused_beside += 1;
        self.next_beside_at = now.plus_ms(pause_ms);
    }

    /// Records that a stream goes on.
    pub(super) fn on_progress(&mut self) {
        self.refused_beside = 0;
    }

    /// Records that an open attempt ended, and whether it may have run.
    pub(super) fn on_ended(&mut self, may_have_run: bool) {
        self.open = self.open.saturating_sub(1);
        self.runs += u32::from(may_have_run);
    }

    /// Logs and counts a failed attempt.
    ///
    /// `what` is the kind of failure, used as a metric label; `why` is the reason for the log.
    pub(super) fn log_failure(
        &self,
        context: &Context,
        target: &Target,
        what: &'static str,
        why: &str,
    ) {
        let gateway = &context.gateway;
        gateway.metrics.count("attempts_failed", what);
        log_event!(warn, AttemptFailed, request = context.request_id, upstream = %target.upstream,
            target = %target.key, what, why, runs = self.runs, open = self.open, elapsed_ms = context.elapsed_ms(),
            "an attempt failed");
    }
}

/// Returns the maximum number of requests queued at an upstream for a first attempt, as a fraction of its slots.
pub(crate) fn first_queue_share(has_engine: bool) -> f64 {
    if has_engine {
        ENGINE_QUEUE_SHARE
    } else {
        PLAIN_QUEUE_SHARE
    }
}

/// Selects the target of the next attempt, excluding the targets of earlier ones.
pub(super) fn choose(context: &Context, history: &AttemptHistory) -> Result<Arc<Target>, Refusal> {
    let gateway = &context.gateway;
    // Uses the newest snapshot, since groups change while a request waits.
    let snapshot = gateway
        .snapshot()
        .unwrap_or_else(|| context.snapshot.clone());
    let queue_share = match context.engine() {
        Some(_) if history.all_runs() > 0 => RETRY_QUEUE_SHARE,
        engine => first_queue_share(engine.is_some()),
    };
    let mut rng = gateway.rng.borrow_mut();
    let (loads, limits) = (gateway.loads.borrow(), gateway.limits.borrow());
    let warm_ups = gateway.warm_ups.limits.borrow();
    let now = gateway.now();
    let mut candidates = targets(context, &snapshot.directory);
    if !history.may_try_others(context) {
        let is_unused = |target: &Arc<Target>| history.unused_targets.contains(&target.key);
        candidates.to_mut().retain(is_unused);
    }
    // A request that may have run is late already, and refusing it would be worse.
    let is_first_run = history.all_runs() == 0;
    let mut prompt = context.prompt_demand();
    let mut reserve = None;
    if let (true, Some(room), Some(prompt)) = (is_first_run, &history.room, &mut prompt) {
        let terms = room.terms(prompt);
        let terms = terms.ok_or(Refusal::Reserved)?;
        prompt.first_event_objective_ms = terms.objective_ms;
        reserve = terms.reserve;
    }
    let selection = Selection {
        targets: &candidates,
        tried: &history.tried_targets,
        queue_share,
        prompt,
        is_wait_limited: is_first_run,
        reserve,
        stall_policy: context.stall_policy(),
        limits: Some(&limits),
        warm_ups: Some(&warm_ups),
    };
    loads.choose(&selection, now, &mut *rng)
}

/// Logs that no target can be selected for the next attempt, with the loads that decided it.
fn log_refusal(context: &Context, history: &AttemptHistory, refusal: Refusal) {
    let gateway = &context.gateway;
    let snapshot = gateway
        .snapshot()
        .unwrap_or_else(|| context.snapshot.clone());
    let targets = targets(context, &snapshot.directory);
    let (loads, now) = (gateway.loads.borrow(), gateway.now());
    let least = |values: &dyn Fn(&Target) -> f64| {
        let values = targets.iter().map(|target| values(target));
        values.min_by(f64::total_cmp)
    };
    let least_load = least(&|target| loads.load(&target.key, now));
    let least_unread_tokens = least(&|target| loads.unread_tokens(&target.key, now));
    log_event!(warn, AttemptFailed, request = context.request_id, what = "choice",
        why = %refusal, model = context.model.as_ref().map(ToString::to_string),
        targets = targets.len(), tried = history.tried_targets.len(), least_load,
        least_unread_tokens, prompt_tokens = context.prompt_tokens,
        version = %snapshot.config.version, "no upstream can be selected for the request");
}

/// Returns the targets that serve the service and model of a request, in its homes.
fn targets<'a>(context: &Context, directory: &'a Directory) -> Cow<'a, [Arc<Target>]> {
    let targets = match (context.engine(), &context.model) {
        (Some(_), Some(model)) => directory.groups(&context.service, model),
        (Some(_), None) => &[],
        (None, _) => directory.plain(&context.service),
    };
    targets_at_home(targets, &context.homes, &context.gateway.settings().regions)
}

/// Makes attempts until one is answered or none may follow, and returns the response.
pub(super) async fn run(context: Rc<Context>, head: Parts, body: Bytes) -> Response<AnswerBody> {
    let gateway = context.gateway.clone();
    let settings = gateway.settings();
    let headers = shared_headers(&context, &head);
    let outgoing = Rc::new(OutgoingRequest {
        head,
        headers,
        body,
    });
    let mut history = AttemptHistory::default();
    let mut is_counted = false;
    // Attempts without an answer, oldest first; all but the newest one are stalled.
    let mut open: Vec<Attempt> = Vec::new();
    loop {
        let Some(newest) = open.last_mut() else {
            if history.is_unsent() && context.is_to_forward() {
                // Another gateway may not know of it.
                if let Some(suspect) = context.quarantined() {
                    return refuse_quarantined(&context, suspect);
                }
                // Its place would hold up those that wait here.
                history.room = None;
                return match forward(&context, &outgoing).await {
                    Some(response) => response,
                    None => finish(&context, history, &StopReason::Unreachable),
                };
            }
            // A request that is forwarded counts for the retry budget where its attempts are made.
            if !std::mem::replace(&mut is_counted, true) {
                context.with_budget(|budget| budget.on_request(&settings.repeats, gateway.now()));
                history.room = RoomRequest::new(&context);
            }
            let target = match choose_next_target(&context, &history) {
                Ok(target) => target,
                Err(reason) => {
                    if let StopReason::NothingSelected(refusal) = reason {
                        if let Some(check_at) = wait_for_room(&context, &mut history, refusal) {
                            gateway.clock.sleep_until(check_at).await;
                            continue;
                        }
                        log_refusal(&context, &history, refusal);
                    }
                    return finish(&context, history, &reason);
                }
            };
            if let Some(room) = &mut history.room {
                room.on_sent(&context);
            }
            history.on_started(&target);
            open.push(Attempt::start(&context, &outgoing, target, None));
            continue;
        };
        let check_at = newest.check_at;
        let (index, outcome) = tokio::select! {
            biased;
            outcome = first_outcome(&mut open) => outcome,
            () = gateway.clock.sleep_until(check_at) => {
                if let Some(newest) = open.last_mut()
                    && newest.check()
                    && context.route.may_retry_executed()
                    && let Some(target) = choose_beside(&context, &mut history)
                {
                    history.record_failure(&context, &newest.target);
                    history.on_started(&target);
                    open.push(Attempt::start(&context, &outgoing, target, None));
                }
                continue;
            }
        };
        let target = open.remove(index).target;
        let goes_on_elsewhere = |open: &[Attempt]| {
            let targets = open.iter().map(|other| &other.target);
            targets.for_each(|other| log_given_up(&context, other, None, &target));
        };
        match outcome {
            AttemptOutcome::Answered(answer) => {
                history.on_ended(true);
                if answer.status.is_server_error() {
                    let why = answer.status.to_string();
                    history.log_failure(&context, &target, "error", &why);
                    history.record_failure(&context, &target);
                    history.last_answer = Some(answer);
                    if !context.route.may_retry_executed() {
                        return finish(&context, history, &StopReason::AttemptsExhausted);
                    }
                    continue;
                }
                gateway.loads.borrow_mut().on_success(&target.key);
                context.record_answer();
                goes_on_elsewhere(&open);
                return pass_on(&context, answer);
            }
            AttemptOutcome::Stream(stream) => {
                return stream::pass_on(context, outgoing, history, *stream, index, open).await;
            }
            AttemptOutcome::NotSent(why) => {
                context.on_not_run();
                history.on_ended(false);
                history.not_sent += 1;
                history.on_refused_beside(gateway.now());
                history.log_failure(&context, &target, "not-sent", &why);
                history.record_failure(&context, &target);
            }
            AttemptOutcome::NotRun(faulty) => {
                context.on_not_run();
                history.on_ended(false);
                history.not_run += 1;
                history.on_refused_beside(gateway.now());
                history.log_failure(&context, &target, "not-run", "refused by the upstream");
                record_not_run(&context, &target, faulty);
            }
            AttemptOutcome::Unknown(why) => {
                history.on_ended(true);
                history.log_failure(&context, &target, "unknown", &why);
                history.record_failure(&context, &target);
                if !context.route.may_retry_executed() {
                    return finish(&context, history, &StopReason::AttemptsExhausted);
                }
            }
            AttemptOutcome::DeadlinePassed => {
                history.on_ended(true);
                let why = "no answer before the deadline";
                history.log_failure(&context, &target, "deadline", why);
                history.record_failure(&context, &target);
                return finish(&context, history, &StopReason::DeadlinePassed);
            }
        }
    }
}

/// Selects the target of an attempt beside one that is stalled, and spends the retry budget; returns `None` if
/// none can be made now, so that the others are awaited.
pub(super) fn choose_beside(
    context: &Context,
    history: &mut AttemptHistory,
) -> Option<Arc<Target>> {
    // Without a retry, nothing else is asked for it, and nothing is logged.
    let is_early = context.gateway.now() < history.next_beside_at;
    if is_early || !history.may_run_again(context) || !context.can_spend_retry() {
        return None;
    }
    match choose_next_target(context, history) {
        Ok(target) => Some(target),
        Err(reason) => {
            if let StopReason::NothingSelected(refusal) = reason
                && !std::mem::replace(&mut history.was_refusal_logged, true)
            {
                log_refusal(context, history, refusal);
            }
            None
        }
    }
}

/// Selects the next target and spends the retry budget if an upstream has already received the
/// request; fails if no further attempt may be made.
fn choose_next_target(
    context: &Context,
    history: &AttemptHistory,
) -> Result<Arc<Target>, StopReason> {
    if context.deadline.has_passed(context.gateway.now()) {
        return Err(StopReason::DeadlinePassed);
    }
    if context.has_caller_left() {
        return Err(StopReason::CallerLeft);
    }
    // A trial is not sent again.
    let suspect = match history.is_unsent() {
        true => context.refused_suspect(),
        false => context.quarantined(),
    };
    if let Some(suspect) = suspect {
        return Err(StopReason::Quarantined(suspect));
    }
    if !history.may_run_again(context)
        || history.not_sent >= MAX_NOT_SENT
        || history.not_run >= MAX_NOT_RUN
    {
        return Err(StopReason::AttemptsExhausted);
    }
    let target = choose(context, history).map_err(StopReason::NothingSelected)?;
    // Attempts of which no byte was sent do not count.
    if !history.is_unsent() && !context.try_spend_retry() {
        return Err(StopReason::RetryBudgetExhausted);
    }
    Ok(target)
}

/// Returns when to choose a target again, if the request has not run and waits for room. An upstream that
/// refused it left it as new as it was.
fn wait_for_room(
    context: &Context,
    history: &mut AttemptHistory,
    refusal: Refusal,
) -> Option<TimeMs> {
    if history.all_runs() > 0 {
        return None;
    }
    history.room.as_mut()?.wait(context, refusal)
}

/// Returns the time until the first upstream of the request's service and model that wants no requests
/// takes them again; 0 if one has taken them meanwhile.
fn earliest_pause_end_ms(context: &Context) -> u64 {
    let gateway = &context.gateway;
    let snapshot = gateway
        .snapshot()
        .unwrap_or_else(|| context.snapshot.clone());
    let (loads, now) = (gateway.loads.borrow(), gateway.now());
    let targets = targets(context, &snapshot.directory);
    let pauses = targets
        .iter()
        .filter_map(|target| loads.statements.pause_ms(&target.upstream, now));
    pauses.min().unwrap_or(0)
}

/// Returns the response to a request that gets no further attempt: the last server error of an
/// upstream, or a refusal by the gateway.
fn finish(
    context: &Context,
    mut history: AttemptHistory,
    reason: &StopReason,
) -> Response<AnswerBody> {
    if let Some(answer) = history.last_answer {
        return pass_on(context, answer);
    }
    let gateway = &context.gateway;
    let may_have_run = history.all_runs() > 0;
    let (code, why, expected_ms) = match reason {
        StopReason::DeadlinePassed if may_have_run => (
            ResultCode::DeadlinePassed,
            "no answer before the deadline",
            None,
        ),
        StopReason::Quarantined(suspect) if may_have_run => (
            ResultCode::UpstreamFailed,
            quarantine_reason(*suspect),
            None,
        ),
        _ if may_have_run => (ResultCode::UpstreamFailed, "all attempts failed", None),
        StopReason::Quarantined(suspect) => return refuse_quarantined(context, *suspect),
        StopReason::Unreachable => (
            ResultCode::NoCapacity,
            "no gateway that reaches upstreams takes the request",
            Some(EXPECTED_REPAIR_MS),
        ),
        StopReason::NothingSelected(Refusal::NoTarget) => (
            ResultCode::NoCapacity,
            "no upstream is available",
            Some(EXPECTED_REPAIR_MS),
        ),
        StopReason::NothingSelected(Refusal::Paused) => (
            ResultCode::NoCapacity,
            "all upstreams want no requests for a time",
            // At least half of the time is drawn, so callers return after the end of the pause.
            Some(2 * earliest_pause_end_ms(context)),
        ),
        StopReason::NothingSelected(Refusal::NoRoom) => (
            ResultCode::NoCapacity,
            "the queues of all upstreams are full",
            Some(EXPECTED_SLOT_WAIT_MS),
        ),
        StopReason::NothingSelected(Refusal::Limited) => (
            ResultCode::NoCapacity,
            "all upstreams get as many requests as their limits allow",
            Some(EXPECTED_SLOT_WAIT_MS),
        ),
        StopReason::NothingSelected(Refusal::TooLate) => (
            ResultCode::NoCapacity,
            "no upstream would send the first event in time",
            Some(EXPECTED_SLOT_WAIT_MS),
        ),
        StopReason::NothingSelected(Refusal::Reserved) => (
            ResultCode::NoCapacity,
            "the room is kept for more urgent requests, or others wait for it",
            Some(EXPECTED_SLOT_WAIT_MS),
        ),
        StopReason::RetryBudgetExhausted => (
            ResultCode::UpstreamRefused,
            "the retry budget is used up",
            Some(EXPECTED_SLOT_WAIT_MS),
        ),
        StopReason::AttemptsExhausted => (
            ResultCode::UpstreamRefused,
            "no upstream ran the request",
            Some(EXPECTED_SLOT_WAIT_MS),
        ),
        StopReason::DeadlinePassed => (
            ResultCode::DeadlineUnreachable,
            "the deadline passed before the request ran",
            None,
        ),
        StopReason::CallerLeft => (
            ResultCode::DeadlineUnreachable,
            "the caller ended its sending side before the request ran",
            None,
        ),
    };
    // The time is random, so that callers that are refused together do not retry together.
    let retry_after = match (reason, &mut history.room) {
        (
            StopReason::NothingSelected(Refusal::NoRoom | Refusal::TooLate | Refusal::Reserved),
            Some(room),
        ) => Some(room.return_ms(context)),
        _ => expected_ms.map(|ms| retry_after_ms(ms, &mut *gateway.rng.borrow_mut())),
    };
    if let (StopReason::NothingSelected(refusal), Some(retry_after_ms)) = (reason, retry_after) {
        record_refused(context, *refusal, retry_after_ms);
    }
    refuse(gateway, &context.request_id, code, why, retry_after)
}

/// Counts a refusal for lack of room as work that the request's model lacks.
fn record_refused(context: &Context, refusal: Refusal, retry_after_ms: u64) {
    let lacks_room = match refusal {
        Refusal::NoTarget | Refusal::NoRoom | Refusal::TooLate | Refusal::Reserved => true,
        Refusal::Paused | Refusal::Limited => false,
    };
    if lacks_room {
        context.record_unmet(retry_after_ms);
    }
}
