//! Model calls: an answer from one replica group, or continued over several.

use std::collections::BTreeSet;

use jacinthpoint_readiness::Permit;
use jacinthpoint_records::Config;
use jacinthpoint_routing::{Accepted, Dispatched, Ending, Failure, Lost, Unstarted};
use jacinthpoint_types::{AttemptId, GroupId, ModelRef, Outcome, ResultCode, TimeMs};
use jacinthpoint_upstream::{
    StartError, StartRequest, StreamError, StreamEvent, TokenEvent, TokenStream,
};
use serde_json::json;

use crate::{
    caller::{
        answer::{self, Refusal},
        call::Call,
        context::Context,
        format::{Format, stream_end},
        gate::{Slot, Turned, start_again, wait_turn},
        limits::{self, max_tokens, retry_after_s},
        once::{self, Entry},
        retry,
        select::wait_for_group,
    },
    events::log_event,
    http::{HttpRequest, Responder},
    metrics::TokenGaps,
    shared::Shared,
};

/// Time to make a connection to an engine.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// A stream without a token for this long is taken up on a new connection.
const SILENCE_MS: u64 = 1_000;
/// Times that taking up one attempt may fail without a token in between.
const MAX_FAILED_RESUMES: u32 = 2;
/// Pause of an answer begun before groups are looked for again.
const BEGUN_PAUSE_MS: u64 = 100;
/// Time for an engine to take a cancel.
const CANCEL_TIMEOUT_MS: u64 = 300;

/// Runs a model call to its final answer.
pub(crate) fn run(
    shared: &Shared,
    config: &Config,
    context: &Context,
    request: &HttpRequest,
    responder: &mut Responder<'_>,
) -> Result<(), Refusal> {
    let call = Call::read(config, context, request)?;
    let mut admitted = limits::admit_named(shared, config, context, max_tokens(&call.body))?;
    let claim = match once::enter(shared, context, request)? {
        Entry::Run(claim) => claim,
        Entry::Replay(answer) => {
            once::replay(responder, &answer);
            return Ok(());
        }
    };
    let mut running = Running {
        shared,
        context,
        call: &call,
        responder,
        delivered: Vec::new(),
        finish_reason: None,
        first_token_at: None,
        token_gaps: TokenGaps::new(&shared.metrics, &context.organisation, context.priority),
        failed_groups: BTreeSet::new(),
        slot: None,
        retry_after_s: None,
    };
    let ending = running.drive();
    running.record(&ending);
    admitted.generated(running.delivered.len());
    if let Some(claim) = claim {
        claim.settle(
            &ending,
            Some(
                running
                    .format()
                    .kept(&running.delivered, running.finish_reason.as_deref()),
            ),
        );
    }
    running.finish(&ending)
}

/// Why one attempt ended without the whole answer.
enum AttemptEnd {
    /// It did not start.
    Unstarted(Unstarted, Failure),
    /// It may have run.
    Lost(Lost),
    /// The request is over.
    Over(Ending),
}

struct Running<'a, 's> {
    shared: &'a Shared,
    context: &'a Context,
    call: &'a Call<'a>,
    responder: &'a mut Responder<'s>,
    delivered: Vec<String>,
    finish_reason: Option<String>,
    first_token_at: Option<TimeMs>,
    token_gaps: TokenGaps<'a>,
    failed_groups: BTreeSet<GroupId>,
    slot: Option<Slot<'a>>,
    retry_after_s: Option<u32>,
}

impl Running<'_, '_> {
    fn format(&self) -> Format<'_> {
        Format {
            request: self.context.request,
            call: self.call,
        }
    }

    fn drive(&mut self) -> Ending {
        let mut state = Unstarted::Accepted(Accepted::new());
        let model = self.call.deployment.model_ref();
        let target = self.call.deployment.name.as_str();
        self.shared
            .retries
            .on_request(&self.context.organisation, target);
        loop {
            let cause;
            if self.context.deadline.has_passed(self.shared.now()) {
                return state.give_up(ResultCode::DeadlinePassed);
            }
            let permit = match self.next_group(&model) {
                Ok(permit) => permit,
                Err(_) if self.may_wait_on(&state) => {
                    // An answer begun waits until its deadline, for repaired groups as well.
                    self.failed_groups.clear();
                    self.shared.sleep_ms(BEGUN_PAUSE_MS);
                    continue;
                }
                Err(turned) => {
                    self.retry_after_s = Some(retry_after_s(turned.wait_ms));
                    return state.give_up(turned.code);
                }
            };
            let end = self.attempt(&permit, state.dispatch());
            self.leave_group(&end);
            state = match end {
                AttemptEnd::Over(ending) => return ending,
                AttemptEnd::Unstarted(unstarted, failure) => {
                    cause = failure;
                    unstarted
                }
                AttemptEnd::Lost(lost) if self.call.repeatable => {
                    cause = Failure::Lost;
                    Unstarted::Lost(lost)
                }
                AttemptEnd::Lost(lost) => return lost.give_up(ResultCode::UpstreamFailed),
            };
            self.failed_groups.insert(permit.assignment.group);
            if !self.may_retry(cause) {
                return retry::give_up(state, cause);
            }
        }
    }

    /// Whether the request may have run, and would be lost without another group, for a caller that
    /// still waits.
    fn may_wait_on(&self, state: &Unstarted) -> bool {
        let is_begun = self.call.repeatable && matches!(state, Unstarted::Lost(_));
        is_begun && !self.responder.caller_is_gone()
    }

    /// Where the next attempt goes: the first one after its turn in the queue.
    fn next_group(&mut self, model: &ModelRef) -> Result<Permit, Turned> {
        if self.failed_groups.is_empty() && self.delivered.is_empty() {
            // A keyed request runs on, since a resend may ask for its answer.
            let caller_is_gone = || !self.call.is_keyed && self.responder.caller_is_gone();
            let body = &self.call.body;
            let (permit, slot) = wait_turn(self.shared, self.context, model, body, caller_is_gone)?;
            self.slot = Some(slot);
            return Ok(permit);
        }
        let permit = wait_for_group(self.shared, self.context, model, &self.failed_groups);
        let permit = permit.ok_or(Turned {
            code: ResultCode::NoCapacity,
            wait_ms: 0,
        })?;
        self.slot = Some(start_again(self.shared, self.context, model, &permit));
        Ok(permit)
    }

    fn leave_group(&mut self, end: &AttemptEnd) {
        let slot = self.slot.take();
        if let Some(mut slot) = slot.filter(|_| !matches!(end, AttemptEnd::Over(_))) {
            slot.fail();
        }
    }

    /// Whether another group may take the request. An answer begun is always continued: what was
    /// generated is not lost, and the caller sees no second start.
    fn may_retry(&self, cause: Failure) -> bool {
        let failures = self.failed_groups.len() as u32;
        let target = self.call.deployment.name.as_str();
        let is_begun = !self.delivered.is_empty() && cause == Failure::Lost;
        is_begun || retry::may_follow(self.shared, self.context, target, cause, failures)
    }

    fn attempt(&mut self, permit: &Permit, state: Dispatched) -> AttemptEnd {
        let Some(leader) = permit.assignment.leader() else {
            return AttemptEnd::Unstarted(state.unstarted(), Failure::Lost);
        };
        let _in_flight = self.shared.enter_group(&permit.assignment.group);
        let attempt = AttemptId::new();
        let mut body = self.call.body.clone();
        if !self.delivered.is_empty() {
            body["continue_from"] = json!(self.delivered);
        }
        let request = StartRequest {
            request: self.context.request,
            attempt,
            group: &permit.assignment.group,
            epoch: permit.assignment.epoch,
            priority: self.context.priority,
            path: self.call.path,
            body: &body,
        };
        let silence_ms = self.silence_ms();
        let started =
            jacinthpoint_upstream::start(leader.address, &request, CONNECT_TIMEOUT_MS, silence_ms);
        match started {
            Ok(stream) => self.relay(permit, attempt, Ok(stream), state),
            Err(error) if error.is_not_run() => {
                self.log_failure(permit, &error);
                if self.still_permitted(permit) {
                    // Until the next grant no other request spends a retry to find out the same.
                    self.shared.permits().revoke(&permit.assignment.group);
                }
                AttemptEnd::Unstarted(state.unstarted(), retry::failure_of(&error))
            }
            // An engine that answers only with its first token may hold the attempt all the same.
            Err(StartError::NoAnswer { .. }) => {
                self.relay(permit, attempt, Err(StreamError::Stalled), state)
            }
            Err(_) => AttemptEnd::Lost(state.lost()),
        }
    }

    fn log_failure(&self, permit: &Permit, error: &impl std::fmt::Display) {
        let group = &permit.assignment.group;
        log_event!(info, AttemptFailed, request = %self.context.request, %group, %error, "attempt");
    }

    /// Passes tokens on until the answer is whole, taking a silent or broken stream up again.
    fn relay(
        &mut self,
        permit: &Permit,
        attempt: AttemptId,
        mut stream: Result<TokenStream, StreamError>,
        state: Dispatched,
    ) -> AttemptEnd {
        let mut failures = 0;
        loop {
            let next = match &mut stream {
                Ok(stream) => stream.next_event(),
                Err(error) => Err(error.clone()),
            };
            match next {
                Ok(StreamEvent::End) => return AttemptEnd::Over(state.answered()),
                Ok(StreamEvent::KeepAlive) => {
                    if !self.call.is_keyed && self.responder.caller_is_gone() {
                        return self.leave(permit, attempt, state, ResultCode::UpstreamFailed);
                    }
                }
                Ok(StreamEvent::Token(token)) => {
                    failures = 0;
                    if !self.deliver(token) && !self.call.is_keyed {
                        return self.leave(permit, attempt, state, ResultCode::UpstreamFailed);
                    }
                }
                // Only the end marker is missing.
                Err(_) if self.finish_reason.is_some() => {
                    return AttemptEnd::Over(state.answered());
                }
                Err(_) if !self.call.is_keyed && self.responder.caller_is_gone() => {
                    return self.leave(permit, attempt, state, ResultCode::UpstreamFailed);
                }
                Err(error) => {
                    self.log_failure(permit, &error);
                    stream = self.resume(permit, attempt, &error);
                    // A silent stream of an attempt that the engine still holds is a queue's.
                    let is_queued = error == StreamError::Stalled && stream.is_ok();
                    failures += u32::from(!is_queued);
                    let is_lost = matches!(stream, Err(StreamError::Malformed { .. }));
                    if is_lost || failures > MAX_FAILED_RESUMES {
                        self.cancel(permit, attempt);
                        return AttemptEnd::Lost(state.lost());
                    }
                }
            }
            if self.context.deadline.has_passed(self.shared.now()) {
                return self.leave(permit, attempt, state, ResultCode::DeadlinePassed);
            }
        }
    }

    /// Ends the request and its attempt.
    fn leave(
        &self,
        permit: &Permit,
        attempt: AttemptId,
        state: Dispatched,
        code: ResultCode,
    ) -> AttemptEnd {
        self.cancel(permit, attempt);
        AttemptEnd::Over(state.lost().give_up(code))
    }

    /// Takes the attempt up on a new connection. `Malformed` means that there is nothing to take
    /// up any more.
    fn resume(
        &self,
        permit: &Permit,
        attempt: AttemptId,
        error: &StreamError,
    ) -> Result<TokenStream, StreamError> {
        let lost = |message: &str| StreamError::Malformed {
            message: message.to_owned(),
        };
        if matches!(error, StreamError::Malformed { .. }) {
            return Err(error.clone());
        }
        let leader = permit.assignment.leader();
        let leader = leader.filter(|_| self.still_permitted(permit));
        let leader = leader.ok_or_else(|| lost("the group may no longer be used"))?;
        let offset = self.delivered.len() as u64;
        let silence_ms = self.silence_ms();
        let resumed = jacinthpoint_upstream::resume(
            leader.address,
            attempt,
            offset,
            CONNECT_TIMEOUT_MS,
            silence_ms,
        );
        resumed.map_err(|error| match error {
            StartError::Refused { .. } => lost("the engine no longer holds the attempt"),
            StartError::NotSent { message } | StartError::NoAnswer { message } => {
                StreamError::Broken { message }
            }
        })
    }

    fn still_permitted(&self, permit: &Permit) -> bool {
        let now = self.shared.now();
        let permits = self.shared.permits();
        permits
            .held(now)
            .any(|held| held.assignment == permit.assignment)
    }

    fn silence_ms(&self) -> u64 {
        let left_ms = self.context.deadline.remaining_ms(self.shared.now());
        // A timeout of zero would mean none.
        left_ms.clamp(1, SILENCE_MS)
    }

    fn cancel(&self, permit: &Permit, attempt: AttemptId) {
        if let Some(leader) = permit.assignment.leader() {
            // A group that is lost stops by itself.
            let _ = jacinthpoint_upstream::cancel(leader.address, attempt, CANCEL_TIMEOUT_MS);
        }
    }

    /// Takes a token; `false` if the caller has gone.
    fn deliver(&mut self, token: TokenEvent) -> bool {
        self.first_token_at.get_or_insert(self.shared.now());
        if let Some(slot) = &mut self.slot {
            slot.on_token();
        }
        self.token_gaps.token();
        let event = self.call.wants_stream.then(|| self.format().event(&token));
        self.finish_reason = token.finish_reason;
        self.delivered.push(token.text);
        let Some(event) = event else { return true };
        if !self.responder.head_sent() {
            let request = self.context.request.to_string();
            let headers = [
                ("content-type", "text/event-stream"),
                ("x-request-id", &*request),
            ];
            if self.responder.begin_stream(&headers).is_err() {
                return false;
            }
        }
        self.responder
            .chunk(format!("data: {event}\n\n").as_bytes())
            .is_ok()
    }

    fn finish(&mut self, ending: &Ending) -> Result<(), Refusal> {
        if ending.outcome() != Outcome::Answered {
            log_event!(
                info, RequestFailed, request = %self.context.request,
                organisation = %self.context.organisation, outcome = %ending.outcome(),
                code = ending.code().map(ResultCode::number), "not answered"
            );
            let mut refusal = Refusal::from_ending(ending, "the request was not answered");
            if refusal.retry_after_s.is_some() {
                refusal.retry_after_s = self.retry_after_s.or(refusal.retry_after_s);
            }
            return Err(refusal);
        }
        if self.call.wants_stream {
            let end = stream_end();
            let _ = self
                .responder
                .chunk(end.as_bytes())
                .and_then(|()| self.responder.end_stream());
        } else {
            let body = self
                .format()
                .whole_body(&self.delivered, self.finish_reason.as_deref())
                .to_string();
            answer::whole_json(self.responder, Outcome::Answered, body.as_bytes());
        }
        Ok(())
    }

    fn record(&self, ending: &Ending) {
        let now = self.shared.now();
        let since_us = |at: TimeMs| at.since_ms(self.context.accepted_at) * 1_000;
        self.shared.metrics.record_end(
            &self.context.organisation,
            self.context.priority,
            ending.outcome(),
            self.first_token_at.map(since_us),
            since_us(now),
        );
    }
}
