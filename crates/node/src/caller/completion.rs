//! Runs model calls. The group that generates an answer may fail while it does. The answer is then
//! continued on another group, if the request may run more than once, and the caller sees one
//! uninterrupted answer.

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
        answer::{self, ErrorAnswer},
        call::Call,
        context::Context,
        format::{AnswerFormat, stream_end},
        gate::{AttemptSlot, Rejection, start_without_queue, wait_in_queue},
        idempotency::{self, KeyCheck},
        limits::{self, max_tokens, retry_after_s},
        retry,
        select::wait_for_group,
    },
    events::log_event,
    http::{HttpRequest, Responder},
    metrics::TokenGaps,
    shared::Shared,
};

/// Time limit for connecting to an engine.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// A stream that delivers nothing for this long is resumed on a new connection.
const STALL_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of failures of an attempt's stream without a token in between. After one more,
/// the attempt counts as lost.
const MAX_STREAM_FAILURES: u32 = 2;
/// Pause between searches for a group for a request that may have run.
const NO_GROUP_PAUSE_MS: u64 = 100;
/// Time limit for cancelling an attempt on an engine.
const CANCEL_TIMEOUT_MS: u64 = 300;

/// Runs a model call and writes its answer.
///
/// # Errors
///
/// Returns the error answer to write if the call was not answered.
pub(crate) fn run(
    shared: &Shared,
    config: &Config,
    context: &Context,
    request: &HttpRequest,
    responder: &mut Responder<'_>,
) -> Result<(), ErrorAnswer> {
    let call = Call::read(config, context, request)?;
    let mut admitted = limits::admit_request(shared, config, context, max_tokens(&call.body))?;
    let claim = match idempotency::check_key_and_claim(shared, context, request)? {
        KeyCheck::Run(claim) => claim,
        KeyCheck::Replay(answer) => {
            idempotency::replay(responder, &answer);
            return Ok(());
        }
    };
    let mut run = CompletionRun {
        shared,
        context,
        call: &call,
        responder,
        received_tokens: Vec::new(),
        finish_reason: None,
        first_token_at: None,
        token_gaps: TokenGaps::new(&shared.metrics, &context.organisation, context.priority),
        failed_groups: BTreeSet::new(),
        slot: None,
        retry_after_s: None,
    };
    let ending = run.run_attempts();
    run.record_metrics(&ending);
    // Before the end of the answer, after which the caller may read the metrics.
    run.token_gaps.flush();
    admitted.record_generated(run.received_tokens.len());
    if let Some(claim) = claim {
        claim.settle(
            &ending,
            Some(
                run.format()
                    .kept_answer(&run.received_tokens, run.finish_reason.as_deref()),
            ),
        );
    }
    run.write_end(&ending)
}

/// Result of one attempt.
enum AttemptResult {
    /// The attempt certainly did not run; another group may take the request. [`Unstarted`] means
    /// that no attempt is in progress, but earlier ones may have run.
    NotRun(Unstarted, Failure),
    /// The attempt may have run, and its stream is lost.
    Lost(Lost),
    /// The request ended with this attempt, answered or not.
    Ended(Ending),
}

/// State of a model call while it runs.
struct CompletionRun<'a, 's> {
    shared: &'a Shared,
    context: &'a Context,
    call: &'a Call<'a>,
    responder: &'a mut Responder<'s>,
    /// Tokens received so far, over all attempts.
    received_tokens: Vec<String>,
    finish_reason: Option<String>,
    first_token_at: Option<TimeMs>,
    token_gaps: TokenGaps<'a>,
    failed_groups: BTreeSet<GroupId>,
    slot: Option<AttemptSlot<'a>>,
    /// `Retry-After` from the gate's last rejection.
    retry_after_s: Option<u32>,
}

impl CompletionRun<'_, '_> {
    fn format(&self) -> AnswerFormat<'_> {
        AnswerFormat {
            request: self.context.request,
            call: self.call,
        }
    }

    /// Attempts the call on one group after the other, until it ends.
    fn run_attempts(&mut self) -> Ending {
        // No attempt is in progress while the state is `Unstarted`.
        let mut state = Unstarted::Accepted(Accepted::new());
        let model = self.call.deployment.model_ref();
        let target = self.call.deployment.name.as_str();
        self.shared
            .retries
            .on_request(&self.context.organisation, target);
        loop {
            // Failure of this round's attempt; decides whether the call is attempted again.
            let attempt_failure;
            if self.context.deadline.has_passed(self.shared.now()) {
                return state.give_up(ResultCode::DeadlinePassed);
            }
            let permit = match self.next_permit(&model) {
                Ok(permit) => permit,
                Err(_) if self.may_wait_for_group(&state) => {
                    // A request that may have run waits for a group until its deadline. Groups on
                    // which it failed may be repaired by then, so they are candidates again.
                    self.failed_groups.clear();
                    self.shared.sleep_ms(NO_GROUP_PAUSE_MS);
                    continue;
                }
                Err(rejection) => {
                    self.retry_after_s = Some(retry_after_s(rejection.wait_ms));
                    return state.give_up(rejection.code);
                }
            };
            let end = self.attempt(&permit, state.dispatch());
            self.release_slot(&end);
            state = match end {
                AttemptResult::Ended(ending) => return ending,
                AttemptResult::NotRun(unstarted, failure) => {
                    attempt_failure = failure;
                    unstarted
                }
                AttemptResult::Lost(lost) if self.call.repeatable => {
                    attempt_failure = Failure::Lost;
                    // No attempt is in progress, but this one may have run.
                    Unstarted::Lost(lost)
                }
                AttemptResult::Lost(lost) => return lost.give_up(ResultCode::UpstreamFailed),
            };
            self.failed_groups.insert(permit.assignment.group);
            if !self.may_retry(attempt_failure) {
                return retry::give_up(state, attempt_failure);
            }
        }
    }

    /// Returns whether the call waits for another group: it may have run and may run again, so its
    /// outcome would be unknown without one, and its caller is still connected.
    fn may_wait_for_group(&self, state: &Unstarted) -> bool {
        // `Unstarted::Lost`: no attempt is in progress, but an earlier one may have run.
        let may_have_run = self.call.repeatable && matches!(state, Unstarted::Lost(_));
        may_have_run && !self.responder.caller_has_disconnected()
    }

    /// Returns the permit for the next attempt's group. The attempt bypasses the queue if a group
    /// has failed the request or tokens were received.
    fn next_permit(&mut self, model: &ModelRef) -> Result<Permit, Rejection> {
        if self.failed_groups.is_empty() && self.received_tokens.is_empty() {
            // A keyed request continues without its caller, since a resend may ask for its answer.
            let caller_has_disconnected =
                || !self.call.is_keyed && self.responder.caller_has_disconnected();
            let body = &self.call.body;
            let (permit, slot) = wait_in_queue(
                self.shared,
                self.context,
                model,
                body,
                caller_has_disconnected,
            )?;
            self.slot = Some(slot);
            return Ok(permit);
        }
        let permit = wait_for_group(self.shared, self.context, model, &self.failed_groups);
        let permit = permit.ok_or(Rejection {
            code: ResultCode::NoCapacity,
            wait_ms: 0,
        })?;
        self.slot = Some(start_without_queue(
            self.shared,
            self.context,
            model,
            &permit,
        ));
        Ok(permit)
    }

    /// Releases the gate's slot; marks it as failed unless the request ended.
    fn release_slot(&mut self, end: &AttemptResult) {
        let slot = self.slot.take();
        if let Some(mut slot) = slot.filter(|_| !matches!(end, AttemptResult::Ended(_))) {
            slot.mark_failed();
        }
    }

    /// Returns whether the call may be attempted on another group, after the backoff. An answer
    /// whose group was lost is continued without backoff and without a retry budget, so that no
    /// generated tokens are lost and the caller does not see the answer start again.
    fn may_retry(&self, failure: Failure) -> bool {
        let failures = self.failed_groups.len() as u32;
        let target = self.call.deployment.name.as_str();
        let continues_answer = !self.received_tokens.is_empty() && failure == Failure::Lost;
        continues_answer
            || retry::pause_before_retry(self.shared, self.context, target, failure, failures)
    }

    /// Starts an attempt on the group of `permit` and relays its stream.
    fn attempt(&mut self, permit: &Permit, state: Dispatched) -> AttemptResult {
        let Some(leader) = permit.assignment.leader() else {
            return AttemptResult::NotRun(state.unstarted(), Failure::Lost);
        };
        let _in_flight = self.shared.enter_group(&permit.assignment.group);
        let attempt = AttemptId::new();
        let mut body = self.call.body.clone();
        if !self.received_tokens.is_empty() {
            body["continue_from"] = json!(self.received_tokens);
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
        let stall_timeout_ms = self.stall_timeout_ms();
        let started = jacinthpoint_upstream::start(
            leader.address,
            &request,
            CONNECT_TIMEOUT_MS,
            stall_timeout_ms,
        );
        match started {
            Ok(stream) => self.relay(permit, attempt, Ok(stream), state),
            Err(error) if error.is_not_run() => {
                self.log_failure(permit, &error);
                if self.is_still_permitted(permit) {
                    // The failure applies to the permit held now, too. Revoked until the next grant,
                    // so that other requests do not spend retries on the same failure.
                    self.shared.permits().revoke(&permit.assignment.group);
                }
                AttemptResult::NotRun(state.unstarted(), retry::failure_of(&error))
            }
            // An engine may send its response head only with the first token, so it may hold the
            // attempt although no response came in time.
            Err(StartError::NoAnswer { .. }) => {
                self.relay(permit, attempt, Err(StreamError::Stalled), state)
            }
            Err(_) => AttemptResult::Lost(state.lost()),
        }
    }

    fn log_failure(&self, permit: &Permit, error: &impl std::fmt::Display) {
        let group = &permit.assignment.group;
        log_event!(
            info, AttemptFailed, request = %self.context.request, %group, %error,
            "attempt failed"
        );
    }

    /// Passes tokens to the caller until the answer is complete. Resumes a stalled or broken
    /// stream.
    fn relay(
        &mut self,
        permit: &Permit,
        attempt: AttemptId,
        mut stream: Result<TokenStream, StreamError>,
        state: Dispatched,
    ) -> AttemptResult {
        let mut failures = 0;
        loop {
            let next = match &mut stream {
                Ok(stream) => stream.next_event(),
                Err(error) => Err(error.clone()),
            };
            match next {
                Ok(StreamEvent::End) => return AttemptResult::Ended(state.answered()),
                Ok(StreamEvent::KeepAlive) => {
                    if !self.call.is_keyed && self.responder.caller_has_disconnected() {
                        // The caller has disconnected and gets no answer. Here and below, the
                        // result code `UpstreamFailed` is only logged and counted.
                        return self.abort(permit, attempt, state, ResultCode::UpstreamFailed);
                    }
                }
                Ok(StreamEvent::Token(token)) => {
                    failures = 0;
                    if !self.on_token(token) && !self.call.is_keyed {
                        return self.abort(permit, attempt, state, ResultCode::UpstreamFailed);
                    }
                }
                // The answer is complete; only the end marker of its stream is missing.
                Err(_) if self.finish_reason.is_some() => {
                    return AttemptResult::Ended(state.answered());
                }
                Err(_) if !self.call.is_keyed && self.responder.caller_has_disconnected() => {
                    return self.abort(permit, attempt, state, ResultCode::UpstreamFailed);
                }
                Err(error) => {
                    self.log_failure(permit, &error);
                    stream = self.resume(permit, attempt, &error);
                    // A stalled attempt that can be resumed is assumed to wait in the engine's
                    // queue, which is not a failure.
                    let is_queued = error == StreamError::Stalled && stream.is_ok();
                    failures += u32::from(!is_queued);
                    // `resume` returns `Malformed` if the attempt can no longer be resumed.
                    let is_lost = matches!(stream, Err(StreamError::Malformed { .. }));
                    if is_lost || failures > MAX_STREAM_FAILURES {
                        self.cancel(permit, attempt);
                        return AttemptResult::Lost(state.lost());
                    }
                }
            }
            if self.context.deadline.has_passed(self.shared.now()) {
                return self.abort(permit, attempt, state, ResultCode::DeadlinePassed);
            }
        }
    }

    /// Cancels the attempt and ends the request with `code`.
    fn abort(
        &self,
        permit: &Permit,
        attempt: AttemptId,
        state: Dispatched,
        code: ResultCode,
    ) -> AttemptResult {
        self.cancel(permit, attempt);
        AttemptResult::Ended(state.lost().give_up(code))
    }

    /// Resumes the attempt on a new connection.
    ///
    /// # Errors
    ///
    /// `Malformed` means that the attempt can no longer be resumed; after other errors `resume`
    /// may be called again.
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
        let leader = leader.filter(|_| self.is_still_permitted(permit));
        let leader = leader.ok_or_else(|| lost("the group may no longer be used"))?;
        // In tokens of the whole answer, including those sent in `continue_from`.
        let offset = self.received_tokens.len() as u64;
        let stall_timeout_ms = self.stall_timeout_ms();
        let resumed = jacinthpoint_upstream::resume(
            leader.address,
            attempt,
            offset,
            CONNECT_TIMEOUT_MS,
            stall_timeout_ms,
        );
        resumed.map_err(|error| match error {
            StartError::Refused { .. } => lost("the engine no longer holds the attempt"),
            StartError::NotSent { message } | StartError::NoAnswer { message } => {
                StreamError::Broken { message }
            }
        })
    }

    /// Returns whether the node still holds a permit for the same assignment of the group.
    fn is_still_permitted(&self, permit: &Permit) -> bool {
        let now = self.shared.now();
        let permits = self.shared.permits();
        permits
            .held(now)
            .any(|held| held.assignment == permit.assignment)
    }

    /// Read timeout of a stream: `STALL_TIMEOUT_MS`, or the shorter time to the deadline.
    fn stall_timeout_ms(&self) -> u64 {
        let left_ms = self.context.deadline.remaining_ms(self.shared.now());
        // Not 0, which would mean no timeout.
        left_ms.clamp(1, STALL_TIMEOUT_MS)
    }

    fn cancel(&self, permit: &Permit, attempt: AttemptId) {
        if let Some(leader) = permit.assignment.leader() {
            // Errors are ignored: if the leader cannot be reached because the group is lost, the
            // engine ends the attempt itself once the group's assignment changes.
            let _ = jacinthpoint_upstream::cancel(leader.address, attempt, CANCEL_TIMEOUT_MS);
        }
    }

    /// Records a token and, for a streamed answer, writes it to the caller. Returns `false` if the
    /// write failed because the caller has disconnected.
    fn on_token(&mut self, token: TokenEvent) -> bool {
        self.first_token_at.get_or_insert(self.shared.now());
        if let Some(slot) = &mut self.slot {
            slot.on_token();
        }
        self.token_gaps.record_token();
        let event = self
            .call
            .wants_stream
            .then(|| self.format().token_event(&token));
        self.finish_reason = token.finish_reason;
        self.received_tokens.push(token.text);
        let Some(event) = event else { return true };
        if !self.responder.is_head_sent() {
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
            .write_chunk(format!("data: {event}\n\n").as_bytes())
            .is_ok()
    }

    /// Writes the rest of an answered call, or returns the error answer to one that was not
    /// answered.
    fn write_end(&mut self, ending: &Ending) -> Result<(), ErrorAnswer> {
        if ending.outcome() != Outcome::Answered {
            log_event!(
                info, RequestFailed, request = %self.context.request,
                organisation = %self.context.organisation, outcome = %ending.outcome(),
                code = ending.code().map(ResultCode::number), "request not answered"
            );
            let mut error = ErrorAnswer::from_ending(ending, "the request was not answered");
            if error.retry_after_s.is_some() {
                error.retry_after_s = self.retry_after_s.or(error.retry_after_s);
            }
            return Err(error);
        }
        if self.call.wants_stream {
            let end = stream_end();
            let _ = self
                .responder
                .write_chunk(end.as_bytes())
                .and_then(|()| self.responder.end_stream());
        } else {
            let body = self
                .format()
                .whole_body(&self.received_tokens, self.finish_reason.as_deref())
                .to_string();
            answer::write_json(self.responder, Outcome::Answered, body.as_bytes());
        }
        Ok(())
    }

    fn record_metrics(&self, ending: &Ending) {
        let now = self.shared.now();
        let since_us = |at: TimeMs| at.since_ms(self.context.accepted_at) * 1_000;
        self.shared.metrics.record_request_end(
            &self.context.organisation,
            self.context.priority,
            ending.outcome(),
            self.first_token_at.map(since_us),
            since_us(now),
        );
    }
}
