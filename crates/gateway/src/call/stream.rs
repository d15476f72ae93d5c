//! Forwards a stream of events to the caller and resumes it at another target if its target fails.
//!
//! A stream can break off or stall after the caller has received events. The request is then sent
//! to another target with the id of the last whole event, and only later events follow, so the
//! caller sees one stream without a gap. An answer that does not go on after that event counts as
//! broken, and nothing of it reaches the caller. The body of a stream that cannot be resumed ends
//! without the last chunk, by which the caller detects that it is incomplete.

use std::{rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use jacinthpoint_adapter::headers;
use jacinthpoint_dispatch::{StallPolicy, StallState, Target};
use jacinthpoint_types::TimeMs;

use crate::{
    body::{AnswerBody, PartSender, channel},
    call::{
        answer::{is_framed, states_event_stream},
        attempt::{AttemptOutcome, OpenAnswer, OutgoingRequest, report_stall, send},
        context::Context,
        event_splitter::EventSplitter,
        outcome::{
            Awaited, BreakPoint, StreamTimes, log_stall, record_end, record_failure,
            record_not_run, record_suspected_crash, remove_connection_headers,
        },
        refusal::quarantine_reason,
        retry::{AttemptHistory, choose},
    },
    events::log_event,
    panics::catch_panic,
};

/// Time after the deadline in which the upstream may still end the stream itself.
const DEADLINE_SLACK_MS: u64 = 100;
/// Time between two searches for a target that can resume a stream, and between two checks of a
/// stalled stream that cannot be resumed.
const RECHECK_INTERVAL_MS: u64 = 100;

/// Reason why forwarding from one target ended.
enum StreamEnd {
    /// The stream ended regularly.
    Complete,
    /// The caller closed its connection.
    CallerLeft,
    /// The deadline and [`DEADLINE_SLACK_MS`] passed.
    DeadlinePassed,
    /// The stream broke off or stalled; holds the reason.
    Broken(String),
}

/// Forwards one request's stream over all its attempts.
struct StreamForwarder {
    context: Rc<Context>,
    outgoing: Rc<OutgoingRequest>,
    history: AttemptHistory,
    parts: PartSender,
    splitter: EventSplitter,
    /// The caller's own `Last-Event-ID`: the event after which this request continues.
    caller_last_id: Option<String>,
    first_event_at: Option<TimeMs>,
    /// Time of the last event, or of the head of the current attempt before its first event.
    last_progress_at: TimeMs,
    longest_gap_ms: u64,
    /// Whether the retry that resumes the stream has been taken from the budget.
    has_spent_retry: bool,
}

/// Returns the response whose body is the stream, and forwards the stream in a task of its own.
pub(super) fn pass_on(
    context: Rc<Context>,
    outgoing: Rc<OutgoingRequest>,
    history: AttemptHistory,
    open: OpenAnswer,
) -> Response<AnswerBody> {
    let mut head = Response::new(());
    *head.headers_mut() = open.response.headers().clone();
    remove_connection_headers(head.headers_mut());
    let (parts, body) = channel();
    let last_id = outgoing.headers.get(headers::LAST_EVENT_ID);
    let forwarder = StreamForwarder {
        caller_last_id: last_id.and_then(|id| id.to_str().ok()).map(str::to_owned),
        last_progress_at: context.gateway.now(),
        context,
        outgoing,
        history,
        parts,
        splitter: EventSplitter::default(),
        first_event_at: None,
        longest_gap_ms: 0,
        has_spent_retry: false,
    };
    tokio::task::spawn_local(async move {
        let context = forwarder.context.clone();
        if catch_panic(forwarder.run(open)).await.is_err() {
            log_event!(
                warn,
                RequestFailed,
                request = context.request_id,
                why = "the forwarding of a stream panicked",
                "a stream failed before its end"
            );
            record_end(&context, StatusCode::OK, "broken", None);
        }
    });
    head.map(|()| body)
}

impl StreamForwarder {
    /// Forwards the stream until it ends, resuming it at other targets as needed.
    async fn run(mut self, mut open: OpenAnswer) {
        loop {
            // Counts the attempt that opened this stream.
            self.history.runs += 1;
            let target = open.target.clone();
            let end = self.forward(open).await;
            let context = self.context.clone();
            match end {
                StreamEnd::Complete => {
                    context.gateway.loads.borrow_mut().on_success(&target.key);
                    self.record_end("answered");
                    return self.parts.finish();
                }
                StreamEnd::CallerLeft => {
                    log_event!(info, CallerLeft, request = context.request_id,
                        target = %target.key, elapsed_ms = context.elapsed_ms(),
                        last_event = self.splitter.last_id(), "the caller left");
                    return self.record_end("caller-left");
                }
                StreamEnd::DeadlinePassed => return self.break_off("deadline-passed"),
                StreamEnd::Broken(why) => {
                    self.history.on_failure(&context, &target, "stream", &why);
                    record_failure(&context, &target);
                    match self.resume().await {
                        Some(next) => open = next,
                        None => return self.break_off("broken"),
                    }
                }
            }
        }
    }

    /// Forwards events from one target until the stream ends there.
    async fn forward(&mut self, open: OpenAnswer) -> StreamEnd {
        let OpenAnswer {
            target,
            response,
            connection,
            in_flight,
        } = open;
        let mut in_flight = in_flight;
        let gateway = self.context.gateway.clone();
        let stall_policy = self.context.stall_policy();
        let (head, mut body) = response.into_parts();
        let is_framed = is_framed(&head.headers, &body);
        let must_follow = self.must_follow();
        // A server that begins or goes on with a stream may have no more events, and says so.
        let may_end_without_event =
            is_framed && (must_follow.is_none() || states_event_stream(&head.headers));
        self.splitter.begin_attempt(must_follow);
        let deadline_with_slack = self.context.deadline.0.plus_ms(DEADLINE_SLACK_MS);
        self.last_progress_at = gateway.now();
        let mut check_at = self.first_check_at(stall_policy);
        let mut last_event_in_attempt_at = None;
        // Number of pieces with whole events that this target has sent.
        let mut pieces = 0_u32;
        let mut was_retry_denied = false;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.parts.closed() => return StreamEnd::CallerLeft,
                () = gateway.clock.sleep_until(check_at.min(deadline_with_slack)) => {
                    let now = gateway.now();
                    if now >= deadline_with_slack {
                        return StreamEnd::DeadlinePassed;
                    }
                    // What arrived while the process did not run has not been read yet.
                    if stall_policy.is_some() && gateway.pauses.possible_age_ms(now) > 0 {
                        check_at = now.plus_ms(RECHECK_INTERVAL_MS);
                        continue;
                    }
                    let had_event = last_event_in_attempt_at.is_some();
                    let loads = gateway.loads.borrow();
                    let group_event_at = loads.last_event_at(&target.key, now);
                    let is_suspended_or_stalled =
                        loads.is_suspended_or_stalled(&target.key, stall_policy, now);
                    drop(loads);
                    let verdict = stall_policy.map(|policy| if had_event {
                        policy.check_stream(self.last_progress_at, group_event_at, now)
                    } else {
                        policy.check_waiting(
                            self.last_progress_at,
                            group_event_at,
                            is_suspended_or_stalled,
                            now,
                        )
                    });
                    match verdict {
                        None => check_at = deadline_with_slack,
                        Some(StallState::CheckAgainAt(at)) => check_at = at,
                        Some(verdict) => {
                            // Before the first event, the group is reported only when
                            // `check_waiting` returns `GroupStalled`. That may be later than for
                            // an attempt that waits for its head: see `check_progress`.
                            if verdict == StallState::GroupStalled {
                                report_stall(&gateway, &target, had_event);
                            }
                            // Without a retry, the target may still be the one that goes on.
                            let may_try = !was_retry_denied || self.context.can_spend_retry();
                            if self.can_resume() && may_try {
                                if self.context.try_spend_retry() {
                                    self.has_spent_retry = true;
                                    let awaited =
                                        if had_event { Awaited::Event } else { Awaited::FirstEvent };
                                    log_stall(&self.context, &target, awaited, self.last_progress_at);
                                    return StreamEnd::Broken("no event in time".to_owned());
                                }
                                was_retry_denied = true;
                            }
                            check_at = now.plus_ms(RECHECK_INTERVAL_MS);
                        }
                    }
                    continue;
                }
            };
            let bytes = match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue,
                },
                Some(Err(error)) => {
                    if pieces < 2 {
                        record_suspected_crash(&self.context, &target, BreakPoint::AfterHead);
                    }
                    return StreamEnd::Broken(error.to_string());
                }
                None if self.splitter.has_incomplete_event() => {
                    // With a length or chunks, the upstream has ended the answer itself.
                    if pieces < 2 && !is_framed {
                        record_suspected_crash(&self.context, &target, BreakPoint::AfterHead);
                    }
                    return StreamEnd::Broken("the stream ended within an event".to_owned());
                }
                None if !self.splitter.has_event() && !may_end_without_event => {
                    if !is_framed {
                        record_suspected_crash(&self.context, &target, BreakPoint::AfterHead);
                    }
                    return StreamEnd::Broken("the stream ended before an event".to_owned());
                }
                None => {
                    if pieces == 1 {
                        self.context.record_answer();
                    }
                    gateway
                        .pool
                        .put_back(&target.key, connection, &head.headers, gateway.now());
                    return StreamEnd::Complete;
                }
            };
            let events = match self.splitter.push(bytes) {
                Ok(Some(events)) => events,
                Ok(None) => continue,
                Err(error) => return StreamEnd::Broken(error.to_string()),
            };
            pieces += 1;
            if pieces == 2 {
                self.context.record_answer();
            }
            in_flight.on_event();
            self.record_events(&target, &mut last_event_in_attempt_at);
            if !self.parts.send(events).await {
                return StreamEnd::CallerLeft;
            }
        }
    }

    /// Returns the time of the first stall check, or the request's deadline without slack if there
    /// is no stall policy.
    fn first_check_at(&self, stall_policy: Option<StallPolicy>) -> TimeMs {
        match stall_policy {
            Some(policy) => policy.first_check(self.last_progress_at),
            None => self.context.deadline.0,
        }
    }

    /// Records the time of arrival of events in the load tracker and in the stream's latencies.
    ///
    /// `last_event_in_attempt_at` is the time of the attempt's last event before these, and is set
    /// to now.
    fn record_events(&mut self, target: &Target, last_event_in_attempt_at: &mut Option<TimeMs>) {
        let gateway = &self.context.gateway;
        let now = gateway.now();
        let gap_ms = last_event_in_attempt_at
            .replace(now)
            .map(|begin| now.since_ms(begin));
        gateway
            .loads
            .borrow_mut()
            .on_event(&target.key, gap_ms, now);
        if self.first_event_at.is_some() {
            self.longest_gap_ms = self.longest_gap_ms.max(now.since_ms(self.last_progress_at));
        } else {
            self.first_event_at = Some(now);
        }
        self.last_progress_at = now;
    }

    /// Returns the event that the next attempt must go on after: the last one of this request, or else
    /// that which the caller names.
    fn must_follow(&self) -> Option<String> {
        if !self.context.route.may_retry_executed() {
            return None;
        }
        let caller_last_id = self.caller_last_id.as_deref();
        let caller_last_id = caller_last_id.filter(|id| id.parse::<u64>().is_ok());
        self.splitter
            .last_id()
            .or(caller_last_id)
            .map(str::to_owned)
    }

    /// Returns whether the route and the events so far allow another attempt to resume the stream.
    fn can_resume(&self) -> bool {
        self.context.route.may_retry_executed()
            && self.splitter.is_resumable()
            && self.history.runs < self.context.route.max_attempts
    }

    /// Opens the rest of the stream at another target, and makes further attempts if one fails.
    ///
    /// Returns `None` if the stream cannot be resumed, the caller left or the deadline passed. The
    /// request is recorded as broken in all three cases.
    async fn resume(&mut self) -> Option<OpenAnswer> {
        let context = self.context.clone();
        while self.can_resume() && !context.deadline.has_passed(context.gateway.now()) {
            if let Some(suspect) = context.quarantined() {
                log_event!(
                    warn,
                    AttemptFailed,
                    request = context.request_id,
                    what = "resume",
                    why = quarantine_reason(suspect),
                    "a stream cannot be resumed"
                );
                return None;
            }
            let target = match choose(&context, &self.history) {
                Ok(target) => target,
                Err(refusal) => {
                    log_event!(warn, AttemptFailed, request = context.request_id,
                        what = "resume", why = %refusal, "a stream cannot be resumed yet");
                    if !self.wait_for_target().await {
                        return None;
                    }
                    continue;
                }
            };
            let has_retry = std::mem::take(&mut self.has_spent_retry) || context.try_spend_retry();
            if !has_retry {
                log_event!(
                    warn,
                    AttemptFailed,
                    request = context.request_id,
                    what = "resume",
                    why = "the retry budget is used up",
                    "a stream cannot be resumed"
                );
                return None;
            }
            let last_id = self.splitter.last_id().map(str::to_owned);
            let last_id = last_id.or_else(|| self.caller_last_id.clone());
            log_event!(info, StreamResumed, request = context.request_id, target = %target.key,
                after = last_id, elapsed_ms = context.elapsed_ms(),
                "a request to resume a stream is being sent to another target");
            // `true` keeps the attempt until the deadline while it waits for its head, even if it
            // stalls and another one may follow. After the head, `forward` checks it for a stall.
            let attempt = send(&context, &self.outgoing, &target, last_id.as_deref(), true).await;
            let (what, why) = match attempt {
                AttemptOutcome::Stream(open) => return Some(*open),
                AttemptOutcome::NotSent(why) => {
                    record_failure(&context, &target);
                    ("not-sent", why)
                }
                AttemptOutcome::NotRun(faulty) => {
                    record_not_run(&context, &target, faulty);
                    ("not-run", "refused by the upstream".to_owned())
                }
                AttemptOutcome::Unknown(why) => {
                    self.history.runs += 1;
                    record_failure(&context, &target);
                    ("unknown", why)
                }
                AttemptOutcome::Answered(answer) => {
                    self.history.runs += 1;
                    ("error", format!("{}, and no stream", answer.status))
                }
                AttemptOutcome::DeadlinePassed => return None,
            };
            self.history.on_failure(&context, &target, what, &why);
        }
        None
    }

    /// Waits [`RECHECK_INTERVAL_MS`] before the next search for a target; returns `false` if the
    /// caller left meanwhile.
    async fn wait_for_target(&self) -> bool {
        tokio::select! {
            () = self.parts.closed() => false,
            () = tokio::time::sleep(Duration::from_millis(RECHECK_INTERVAL_MS)) => true,
        }
    }

    /// Ends the body without the last chunk, and records the failure.
    fn break_off(self, outcome: &'static str) {
        log_event!(
            warn,
            RequestFailed,
            request = self.context.request_id,
            last_event = self.splitter.last_id(),
            runs = self.history.runs,
            why = outcome,
            "a stream failed before its end"
        );
        self.record_end(outcome);
    }

    /// Records the end of the request.
    fn record_end(&self, outcome: &'static str) {
        let times = self.first_event_at.map(|first_event_at| StreamTimes {
            first_event_ms: first_event_at.since_ms(self.context.started),
            longest_gap_ms: self.longest_gap_ms,
        });
        record_end(&self.context, StatusCode::OK, outcome, times);
    }
}
