//! Makes one attempt of a request at one upstream.
//!
//! An upstream can accept a request and then make no progress for a time. Nobody knows whether it will go
//! on, so an attempt is not given up for its silence: [`Attempt::check`] finds that it is stalled, and
//! another one may be made beside it. Answers that are not streams are read whole; streams are returned open.

use std::{
    cell::Cell,
    future::poll_fn,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{self, Poll},
};

use bytes::Bytes;
use hyper::{HeaderMap, Response, StatusCode, body::Incoming, http::request::Parts};
use jacinthpoint_dispatch::{AnswerSample, StallState, Target, TargetKey};
use jacinthpoint_fleet::RequestKind;
use jacinthpoint_types::{Deadline, TimeMs, VmId};

use crate::{
    alarm,
    call::{
        answer::{
            AnswerKind, classify, is_event_stream, reported_load, stated_limit, stated_pause_ms,
            stated_warm_up_left_ms, states_leaving,
        },
        context::{Context, Origin},
        outcome::{Awaited, BreakPoint, log_stall, record_suspected_crash},
        request::build_request,
        stated::{self, Stated, Statement},
        whole_body::{self, BodyError},
    },
    connection::{Connection, SendError},
    datagram::Alarm,
    events::log_event,
    pool::Checkout,
    state::Gateway,
};

/// Timeout for connecting to an upstream. Connections within a region take a few milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Multiple of the route's latency objective after which an attempt without a stall policy counts as
/// stalled.
const MAX_OBJECTIVES_WAITED: u64 = 3;

/// Time between two checks of a stalled attempt.
const STALL_RECHECK_MS: u64 = 250;

/// Minimum time between two reports to other gateways that the same group is stalled.
const STALL_REPORT_INTERVAL_MS: u64 = 800;

/// Counts a request as in flight at its target until dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    gateway: Rc<Gateway>,
    key: TargetKey,
    /// Length of the prompt in tokens, until the target has read it; 0 from then on.
    unread_tokens: u32,
    sent_at: TimeMs,
    /// Wait at the target that was predicted when the request was sent.
    predicted_wait_ms: f64,
}

impl InFlightGuard {
    fn new(context: &Context, target: &Target) -> InFlightGuard {
        let (gateway, key) = (&context.gateway, &target.key);
        let now = gateway.now();
        gateway.limits.borrow_mut().on_sent(&target.upstream, now);
        let mut warm_ups = gateway.warm_ups.limits.borrow_mut();
        warm_ups.on_sent(&target.upstream, now);
        drop(warm_ups);
        let mut loads = gateway.loads.borrow_mut();
        let predicted_wait_ms = context.prompt_demand().map_or(0.0, |prompt| {
            prompt.wait_ms(loads.unread_tokens(key, now), loads.load(key, now))
        });
        loads.on_sent(key, context.prompt_tokens, now);
        drop(loads);
        InFlightGuard {
            gateway: gateway.clone(),
            key: key.clone(),
            unread_tokens: context.prompt_tokens,
            sent_at: now,
            predicted_wait_ms,
        }
    }

    /// Returns the time at which the attempt began, at most that at which the request was sent.
    pub(super) fn sent_at(&self) -> TimeMs {
        self.sent_at
    }

    /// Records the first event of the stream, which shows that the target has read the prompt. Later
    /// calls do nothing.
    pub(super) fn on_event(&mut self) {
        if self.unread_tokens > 0 {
            let now = self.gateway.now();
            let elapsed_ms = now.since_ms(self.sent_at);
            let mut loads = self.gateway.loads.borrow_mut();
            loads.on_first_event(&self.key, elapsed_ms, self.predicted_wait_ms, now);
            loads.on_prompt_read(&self.key, std::mem::take(&mut self.unread_tokens));
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut loads = self.gateway.loads.borrow_mut();
        loads.on_prompt_read(&self.key, self.unread_tokens);
        loads.on_ended(&self.key);
    }
}

/// An answer that was read to its end.
#[derive(Debug)]
pub(super) struct WholeAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// An answer whose head has arrived and whose body has not been read.
#[derive(Debug)]
pub(super) struct OpenAnswer {
    pub(super) target: Arc<Target>,
    pub(super) response: Response<Incoming>,
    pub(super) connection: Connection,
    pub(super) in_flight: InFlightGuard,
}

/// Result of an attempt.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// No byte of the request was sent; holds the reason. Safe to retry.
    NotSent(String),
    /// The upstream did not run the request. Holds the group member that it named as faulty, if
    /// any.
    NotRun(Option<VmId>),
    /// The upstream may have run the request; holds the reason for giving up.
    Unknown(String),
    /// The deadline passed; the upstream may have run the request.
    DeadlinePassed,
    /// The upstream answered, with any status.
    Answered(WholeAnswer),
    /// The upstream started a stream of events with status 200.
    Stream(Box<OpenAnswer>),
}

/// The parts of the request that are the same in every attempt.
#[derive(Debug)]
pub(super) struct OutgoingRequest {
    /// Head of the caller's request, of which only the method and URI are sent.
    pub(super) head: Parts,
    /// Headers sent in every attempt.
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// An attempt that is being made, as long as its answer is awaited. Dropping it gives the attempt up.
pub(super) struct Attempt {
    context: Rc<Context>,
    pub(super) target: Arc<Target>,
    outcome: Pin<Box<dyn Future<Output = AttemptOutcome>>>,
    /// Time at which the request was sent, while the head of the answer is awaited.
    awaits_head_since: Rc<Cell<Option<TimeMs>>>,
    /// Time at which [`Attempt::check`] is due.
    pub(super) check_at: TimeMs,
    /// Whether it was logged that the attempt is stalled.
    was_stall_logged: bool,
}

impl Attempt {
    /// Begins to send the request to `target`. `last_event_id` is the event after which a stream is resumed.
    pub(super) fn start(
        context: &Rc<Context>,
        outgoing: &Rc<OutgoingRequest>,
        target: Arc<Target>,
        last_event_id: Option<String>,
    ) -> Attempt {
        let awaits_head_since = Rc::new(Cell::new(None));
        // Counts the request as in flight from now on.
        let in_flight = InFlightGuard::new(context, &target);
        let (sent_context, outgoing) = (context.clone(), outgoing.clone());
        let (sent_target, sent_at) = (target.clone(), awaits_head_since.clone());
        let outcome = Box::pin(async move {
            let last_event_id = last_event_id.as_deref();
            let (context, target) = (&*sent_context, &sent_target);
            send(
                context,
                &outgoing,
                target,
                last_event_id,
                in_flight,
                &sent_at,
            )
            .await
        });
        Attempt {
            check_at: first_check_at(context, context.gateway.now()),
            context: context.clone(),
            target,
            outcome,
            awaits_head_since,
            was_stall_logged: false,
        }
    }

    /// Polls for the end of the wait for the answer.
    pub(super) fn poll_outcome(&mut self, task: &mut task::Context<'_>) -> Poll<AttemptOutcome> {
        self.outcome.as_mut().poll(task)
    }

    /// Checks at [`Attempt::check_at`] whether the attempt is stalled, and sets the time of the next check. Logs it
    /// once.
    ///
    /// Reports the group as stalled if the stall policy asks for a probe of its members.
    pub(super) fn check(&mut self) -> bool {
        let gateway = &self.context.gateway;
        let now = gateway.now();
        self.check_at = now.plus_ms(STALL_RECHECK_MS);
        let Some(sent_at) = self.awaits_head_since.get() else {
            return false;
        };
        // What arrived while the process did not run has not been read yet.
        if gateway.pauses.possible_age_ms(now) > 0 {
            return false;
        }
        match check_progress(&self.context, &self.target, sent_at) {
            StallState::CheckAgainAt(at) => {
                self.check_at = at;
                false
            }
            StallState::GroupStalled | StallState::StreamStalled => {
                if !std::mem::replace(&mut self.was_stall_logged, true) {
                    log_stall(&self.context, &self.target, Awaited::Head, sent_at);
                }
                true
            }
        }
    }
}

/// Waits for the first outcome of several attempts; returns it with the attempt's index.
pub(super) async fn first_outcome(attempts: &mut [Attempt]) -> (usize, AttemptOutcome) {
    poll_fn(|task| {
        for (index, attempt) in attempts.iter_mut().enumerate() {
            if let Poll::Ready(outcome) = attempt.poll_outcome(task) {
                return Poll::Ready((index, outcome));
            }
        }
        Poll::Pending
    })
    .await
}

/// Sends the request to `target` and waits for the answer, or for the head of a stream, until the deadline.
///
/// `awaits_head_since` is set while the head is awaited.
async fn send(
    context: &Context,
    outgoing: &OutgoingRequest,
    target: &Arc<Target>,
    last_event_id: Option<&str>,
    in_flight: InFlightGuard,
    awaits_head_since: &Cell<Option<TimeMs>>,
) -> AttemptOutcome {
    let gateway = &context.gateway;
    let connect_timeout_ms = CONNECT_TIMEOUT_MS.min(context.remaining_ms());
    // A request that may not be retried gets a new connection or one that was idle only briefly,
    // since the upstream may close a connection that was idle for longer.
    let may_retry = context.route.may_retry_executed();
    let checkout = gateway
        .pool
        .checkout(target, may_retry, connect_timeout_ms, gateway.now())
        .await;
    let Checkout {
        mut connection,
        is_new,
    } = match checkout {
        Ok(checkout) => checkout,
        Err(error) => {
            let mut reach = gateway.reach.borrow_mut();
            reach.on_connect_failed(&target.upstream);
            return AttemptOutcome::NotSent(error.to_string());
        }
    };
    if is_new {
        gateway.reach.borrow_mut().on_connected();
    }
    let request = build_request(
        context,
        &outgoing.head,
        &outgoing.headers,
        &outgoing.body,
        target,
        last_event_id,
    );
    log_event!(debug, RequestSent, request = context.request_id, upstream = %target.upstream,
        target = %target.key, is_new, elapsed_ms = context.elapsed_ms(),
        "a request is being sent to an upstream");
    context.on_sending();
    let sent_at = gateway.now();
    awaits_head_since.set(Some(sent_at));
    let deadline = gateway.clock.instant(context.deadline.0);
    let response = tokio::time::timeout_at(deadline, connection.send(request)).await;
    awaits_head_since.set(None);
    let Ok(response) = response else {
        return AttemptOutcome::DeadlinePassed;
    };
    let response = match response {
        Ok(response) => response,
        Err(error @ SendError::NotSent) => return AttemptOutcome::NotSent(error.to_string()),
        Err(error) => {
            if let SendError::NoHead(_) = error {
                let elapsed_ms = gateway.now().since_ms(sent_at);
                let broke_at = BreakPoint::without_head(is_new, elapsed_ms);
                record_suspected_crash(context, target, broke_at, sent_at);
            }
            return AttemptOutcome::Unknown(error.to_string());
        }
    };
    if let Some(requests) = reported_load(response.headers()) {
        gateway
            .loads
            .borrow_mut()
            .on_load_reported(&target.key, requests, gateway.now());
    }
    let kind = classify(&response, &context.request_id, is_new);
    if let Some(limit) = stated_limit(&response, &kind) {
        record_statement(context, target, Statement::Limit(limit), sent_at);
    }
    if let (Some(left_ms), Some(warm_up)) =
        (stated_warm_up_left_ms(&response, &kind), context.warm_up())
    {
        let (metrics, now) = (&gateway.metrics, gateway.now());
        let warm_ups = &gateway.warm_ups;
        warm_ups.on_answer(&target.upstream, left_ms, &warm_up, metrics, now);
    }
    if states_leaving(&response, &kind) {
        record_statement(context, target, Statement::Leaving, sent_at);
    }
    if let Some(pause_ms) = stated_pause_ms(&response, &kind) {
        let until = Deadline::after_ms(gateway.now(), pause_ms);
        record_statement(context, target, Statement::PausedUntil(until), sent_at);
    }
    if matches!(kind, AnswerKind::NotRun(_) | AnswerKind::Usable) {
        let mut notices = gateway.crash_notices.borrow_mut();
        notices.on_answer(&target.upstream, sent_at);
    }
    match kind {
        AnswerKind::NotRun(faulty) => {
            gateway
                .pool
                .put_back_after_body(&target.key, connection, response, gateway.now());
            AttemptOutcome::NotRun(faulty)
        }
        AnswerKind::FalsePromise => {
            AttemptOutcome::Unknown(format!("status {} without a refusal", response.status()))
        }
        AnswerKind::Unusable(why) => AttemptOutcome::Unknown(why.to_owned()),
        AnswerKind::Usable => {
            let open = OpenAnswer {
                target: target.clone(),
                response,
                connection,
                in_flight,
            };
            let is_stream = context.route.kind == RequestKind::Stream;
            if is_stream && is_event_stream(&open.response) {
                AttemptOutcome::Stream(Box::new(open))
            } else {
                read_whole(context, open).await
            }
        }
    }
}

/// Records what an upstream stated of itself in the answer to a request that was sent at `sent_at`, also for
/// the gateway that forwards the request, if one does.
fn record_statement(context: &Context, target: &Target, statement: Statement, sent_at: TimeMs) {
    let gateway = &context.gateway;
    let stated = Stated {
        upstream: target.upstream.clone(),
        asked_unix_ms: target.started_unix_ms,
        statement,
    };
    stated::record(gateway, &context.request_id, &stated, sent_at);
    if let Origin::Gateway(for_other, _) = &context.origin {
        for_other.add(stated);
    }
}

/// Reads the body of an answer that is not streamed; it is passed on only once it is complete.
async fn read_whole(context: &Context, open: OpenAnswer) -> AttemptOutcome {
    let gateway = &context.gateway;
    let OpenAnswer {
        target,
        response,
        connection,
        in_flight,
    } = open;
    let (head, body) = response.into_parts();
    let deadline = gateway.clock.instant(context.deadline.0);
    let body = match tokio::time::timeout_at(deadline, whole_body::read(gateway, body)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            if matches!(error, BodyError::Broken(_)) {
                let sent_at = in_flight.sent_at();
                record_suspected_crash(context, &target, BreakPoint::AfterHead, sent_at);
            }
            return AttemptOutcome::Unknown(error.to_string());
        }
        Err(_) => return AttemptOutcome::DeadlinePassed,
    };
    record_whole_answer(context, &target, head.status, in_flight.sent_at());
    gateway
        .pool
        .put_back(&target.key, connection, &head.headers, gateway.now());
    AttemptOutcome::Answered(WholeAnswer {
        status: head.status,
        headers: head.headers,
        body,
    })
}

/// Records whether an upstream of a plain service answered in time. Failures say nothing about how
/// many requests it takes.
fn record_whole_answer(context: &Context, target: &Target, status: StatusCode, sent_at: TimeMs) {
    if target.group.is_some() || !status.is_success() {
        return;
    }
    let gateway = &context.gateway;
    let now = gateway.now();
    let mut loads = gateway.loads.borrow_mut();
    let sample = AnswerSample {
        requests: loads.load(&target.key, now),
        slots: target.slots,
        is_late: now.since_ms(sent_at) > context.route.answer_objective_ms,
        began_at: sent_at,
    };
    let lowered = loads.capacities.on_answer(&target.key, sample, now);
    drop(loads);
    if let Some(capacity) = lowered {
        log_capacity(context, target, sample, capacity);
    }
}

/// Logs that an upstream takes fewer requests well than was known.
pub(super) fn log_capacity(
    context: &Context,
    target: &Target,
    sample: AnswerSample,
    capacity: f64,
) {
    let gateway = &context.gateway;
    gateway
        .metrics
        .count("capacities_lowered", target.upstream.as_str());
    log_event!(info, CapacityLowered, request = context.request_id, upstream = %target.upstream,
        target = %target.key, capacity, requests = sample.requests, slots = sample.slots,
        answered_ms = gateway.now().since_ms(sample.began_at),
        "an upstream answers late and is preferred for fewer requests");
}

/// Returns the time of the first check of an attempt that begins at `started_at`, at most the deadline.
fn first_check_at(context: &Context, started_at: TimeMs) -> TimeMs {
    let deadline = context.deadline.0;
    let check_at = match context.stall_policy() {
        Some(policy) => policy.first_check(started_at),
        None if !context.route.may_retry_executed() => deadline,
        None => started_at.plus_ms(context.route.answer_objective_ms * MAX_OBJECTIVES_WAITED),
    };
    check_at.min(deadline)
}

/// Decides whether an attempt that was sent at `sent_at` and has no answer yet makes progress.
fn check_progress(context: &Context, target: &Target, sent_at: TimeMs) -> StallState {
    let gateway = &context.gateway;
    let now = gateway.now();
    let Some(stall_policy) = context.stall_policy() else {
        let stalled_at = first_check_at(context, sent_at);
        return if now >= stalled_at {
            StallState::StreamStalled
        } else {
            StallState::CheckAgainAt(stalled_at)
        };
    };
    let loads = gateway.loads.borrow();
    let group_event_at = loads.last_event_at(&target.key, now);
    let is_suspended_or_stalled =
        loads.is_suspended_or_stalled(&target.key, Some(stall_policy), now);
    drop(loads);
    if stall_policy.should_probe_members(sent_at, group_event_at, now) {
        report_stall(gateway, target, false);
    }
    stall_policy.check_waiting(sent_at, group_event_at, is_suspended_or_stalled, now)
}

/// Reports that the target's group makes no progress, so that the owner of the groups (the gateway
/// that holds the lease) probes the members of the group.
///
/// `had_event` says that the stalled stream had received an event; only then is the group also
/// suspended for new requests. Does nothing if the target is not a group or is suspended already.
/// Sends at most one report for each group within [`STALL_REPORT_INTERVAL_MS`].
pub(super) fn report_stall(gateway: &Gateway, target: &Target, had_event: bool) {
    let Some(group) = &target.group else {
        return;
    };
    let now = gateway.now();
    if gateway.loads.borrow().is_suspended(&target.key, now) {
        return;
    }
    if had_event {
        gateway.loads.borrow_mut().suspend(&target.key, now);
    }
    let reported_at = gateway.stall_reported_at.borrow().get(&target.key).copied();
    if reported_at.is_some_and(|at| now.since_ms(at) < STALL_REPORT_INTERVAL_MS) {
        return;
    }
    gateway
        .stall_reported_at
        .borrow_mut()
        .insert(target.key.clone(), now);
    gateway.metrics.count("groups_silent", "silence");
    log_event!(warn, GroupSilent, group = %group.id, head = %target.upstream,
        has_flowed = had_event, "a group makes no progress");
    alarm::raise(gateway, &Alarm::GroupStalled(group.members.clone()));
}
