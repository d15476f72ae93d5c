//! Runs model calls. The group that generates an answer may fail while it does. The answer is then
//! continued on another group, if the request may run more than once, and the caller sees one
//! uninterrupted answer.
//!
//! A group that is silent may go on. Its attempt is therefore kept until another one has sent a token, and
//! resumed if there is no other one.

use std::collections::{BTreeSet, VecDeque};

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
        resume::{OpenAttempt, ResumeError, may_go_on, resume_stream},
        retry,
        select::{CAPACITY_WAIT_MS, choose_group, wait_for_group},
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
/// another group is looked for.
const MAX_STREAM_FAILURES: u32 = 2;
/// Pause between searches for a group for a request that may have run, and before a silent attempt is
/// resumed again.
const NO_GROUP_PAUSE_MS: u64 = 100;

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
        kept: VecDeque::new(),
        reconsider_failed_at: None,
        last_failure: None,
        slot: None,
        retry_after_s: None,
    };
    let ending = run.run_attempts();
    run.cancel_kept();
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
    /// The attempt is silent and may go on. It is in [`CompletionRun::kept`].
    Silent(Lost),
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
    /// Silent attempts, in the order in which they are resumed if no other group takes the request.
    kept: VecDeque<OpenAttempt>,
    /// Time from which the groups that failed are candidates again while attempts are kept.
    reconsider_failed_at: Option<TimeMs>,
    /// The failure after which no other attempt may be made; only the kept ones may go on.
    last_failure: Option<Failure>,
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
        // While the state is `Unstarted`, no attempt but those in `kept` is in progress.
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
            if self.kept.is_empty()
                && let Some(failure) = self.last_failure
            {
                return retry::give_up(state, failure);
            }
            let permit = match self.next_permit(&model) {
                Ok(permit) => permit,
                Err(_) if let Some(kept) = self.kept.pop_front() => {
                    let end = self.resume_kept(kept, &model, state.resume());
                    self.slot = None;
                    state = match end {
                        AttemptResult::Ended(ending) => return ending,
                        AttemptResult::NotRun(unstarted, _) => unstarted,
                        AttemptResult::Lost(lost) | AttemptResult::Silent(lost) => {
                            Unstarted::Lost(lost)
                        }
                    };
                    continue;
                }
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
                AttemptResult::Lost(lost) | AttemptResult::Silent(lost) => {
                    attempt_failure = Failure::Lost;
                    // This attempt may have run.
                    Unstarted::Lost(lost)
                }
            };
            self.failed_groups.insert(permit.assignment.group);
            let is_final = matches!(state, Unstarted::Lost(_)) && !self.call.repeatable;
            if is_final || !self.may_retry(attempt_failure) {
                self.last_failure = Some(attempt_failure);
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

    /// Goes on with a silent attempt, after a pause.
    fn resume_kept(
        &mut self,
        kept: OpenAttempt,
        model: &ModelRef,
        state: Dispatched,
    ) -> AttemptResult {
        self.shared.sleep_ms(NO_GROUP_PAUSE_MS);
        let now = self.shared.now();
        let reconsider_at = self
            .reconsider_failed_at
            .get_or_insert(now.plus_ms(CAPACITY_WAIT_MS));
        if now >= *reconsider_at {
            self.reconsider_failed_at = None;
            self.failed_groups.clear();
        }
        let _in_flight = self.shared.enter_group(&kept.permit.assignment.group);
        self.slot = Some(start_without_queue(
            self.shared,
            self.context,
            model,
            &kept.permit,
        ));
        // One failure more, and another group is looked for again.
        let failures = MAX_STREAM_FAILURES;
        self.relay(kept, Err(StreamError::Stalled), failures, state)
    }

    /// Returns a group for another attempt while the request has silent attempts, if there is one. The
    /// groups of these attempts and of `own` are not chosen.
    fn other_group(&self, model: &ModelRef, own: Option<&GroupId>) -> Option<Permit> {
        if self.last_failure.is_some() {
            return None;
        }
        let silent = self.kept.iter().map(|kept| &kept.permit.assignment.group);
        let excluded = self.failed_groups.iter().chain(silent).chain(own);
        choose_group(self.shared, model, &excluded.cloned().collect())
    }

    /// Cancels the silent attempts, since another one is used or the request has ended.
    fn cancel_kept(&mut self) {
        for kept in self.kept.drain(..) {
            kept.cancel();
        }
    }

    /// Returns the permit for the next attempt's group. The attempt bypasses the queue if a group
    /// has failed the request or tokens were received. While attempts are kept, fails at once if no
    /// other group is usable.
    fn next_permit(&mut self, model: &ModelRef) -> Result<Permit, Rejection> {
        let is_first = self.failed_groups.is_empty() && self.kept.is_empty();
        if is_first && self.received_tokens.is_empty() {
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
        let permit = if self.kept.is_empty() {
            wait_for_group(self.shared, self.context, model, &self.failed_groups)
        } else {
            self.other_group(model, None)
        };
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
        let open = OpenAttempt::new(permit, attempt);
        match started {
            Ok(stream) => self.relay(open, Ok(stream), 0, state),
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
                self.relay(open, Err(StreamError::Stalled), 0, state)
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
    /// stream. `failures` is the number of failures since the last token.
    fn relay(
        &mut self,
        mut open: OpenAttempt,
        mut stream: Result<TokenStream, StreamError>,
        mut failures: u32,
        state: Dispatched,
    ) -> AttemptResult {
        loop {
            let next = match &mut stream {
                Ok(stream) => {
                    open.on_received();
                    stream.next_event()
                }
                Err(error) => Err(error.clone()),
            };
            match next {
                Ok(StreamEvent::End) => return AttemptResult::Ended(state.answered()),
                Ok(StreamEvent::KeepAlive) => {
                    if !self.call.is_keyed && self.responder.caller_has_disconnected() {
                        // The caller has disconnected and gets no answer. Here and below, the
                        // result code `UpstreamFailed` is only logged and counted.
                        return self.abort(&open, state, ResultCode::UpstreamFailed);
                    }
                }
                Ok(StreamEvent::Token(token)) => {
                    failures = 0;
                    if !self.on_token(token) && !self.call.is_keyed {
                        return self.abort(&open, state, ResultCode::UpstreamFailed);
                    }
                    self.cancel_kept();
                }
                // The answer is complete; only the end marker of its stream is missing.
                Err(_) if self.finish_reason.is_some() => {
                    return AttemptResult::Ended(state.answered());
                }
                Err(_) if !self.call.is_keyed && self.responder.caller_has_disconnected() => {
                    return self.abort(&open, state, ResultCode::UpstreamFailed);
                }
                Err(error) => {
                    self.log_failure(&open.permit, &error);
                    let resumed = self.resume(&open, &error);
                    // A stalled attempt that can be resumed is assumed to wait in the engine's
                    // queue, which is not a failure.
                    let is_queued = error == StreamError::Stalled && resumed.is_ok();
                    failures += u32::from(!is_queued);
                    let has_failed = failures > MAX_STREAM_FAILURES;
                    let is_lost = match &resumed {
                        Ok(_) => false,
                        Err(error) => open.is_lost(error, has_failed, self.shared.now()),
                    };
                    if is_lost {
                        open.cancel();
                        return AttemptResult::Lost(state.lost());
                    }
                    if has_failed || self.can_be_replaced(&open.permit) {
                        self.kept.push_back(open);
                        return AttemptResult::Silent(state.lost());
                    }
                    stream = resumed.map_err(ResumeError::into_stream_error);
                }
            }
            if self.context.deadline.has_passed(self.shared.now()) {
                return self.abort(&open, state, ResultCode::DeadlinePassed);
            }
        }
    }

    /// Returns whether the group of an attempt may no longer be used, and another one may take the request.
    fn can_be_replaced(&self, permit: &Permit) -> bool {
        let assignment = &permit.assignment;
        self.call.repeatable
            && !self.is_still_permitted(permit)
            && self
                .other_group(&assignment.model, Some(&assignment.group))
                .is_some()
    }

    /// Cancels the attempt and ends the request with `code`.
    fn abort(&self, open: &OpenAttempt, state: Dispatched, code: ResultCode) -> AttemptResult {
        open.cancel();
        AttemptResult::Ended(state.lost().give_up(code))
    }

    /// Resumes the attempt on a new connection, after its stream ended with `error`.
    fn resume(&self, open: &OpenAttempt, error: &StreamError) -> Result<TokenStream, ResumeError> {
        if let StreamError::Malformed { message } = error {
            return Err(ResumeError::Lost(message.clone()));
        }
        if !may_go_on(self.shared, &open.permit) {
            return Err(ResumeError::Lost("the group has changed".to_owned()));
        }
        // In tokens of the whole answer, including those sent in `continue_from`.
        let offset = self.received_tokens.len() as u64;
        resume_stream(open, offset, CONNECT_TIMEOUT_MS, self.stall_timeout_ms())
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
