//! Passes a stream on, event by event, and goes on at another group when its own is lost.

use std::{rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body::Body, header};
use jacinthpoint_adapter::headers;
use jacinthpoint_dispatch::{Silence, Verdict};
use jacinthpoint_types::TimeMs;

use crate::{
    body::{AnswerBody, BrokenOff, PartSender, channel},
    call::{
        attempt::{Attempt, OpenStream, Sending, send, suspect},
        context::Context,
        event_splitter::EventSplitter,
        outcome::{StreamTimes, clean, note_end, note_failure, note_not_run},
        retry::{Tries, choose},
    },
    events::log_event,
};

/// Time after the deadline for which a stream's own end is waited for.
const DEADLINE_SLACK_MS: u64 = 100;

/// Why a stream at one group ended.
enum End {
    /// Whole.
    Complete,
    /// The caller left.
    CallerLeft,
    /// The route's time is over.
    DeadlinePassed,
    /// The upstream broke off or went silent.
    Broken(String),
}

/// A stream on its way.
struct Relay {
    context: Rc<Context>,
    sending: Rc<Sending>,
    tries: Tries,
    parts: PartSender,
    splitter: EventSplitter,
    /// Last event that the caller had before this request.
    caller_last_id: Option<String>,
    first_event_at: Option<TimeMs>,
    last_event_at: TimeMs,
    longest_gap_ms: u64,
}

/// Answers with the stream; it goes on in a task of its own.
pub(super) fn pass_on(
    context: Rc<Context>,
    sending: Rc<Sending>,
    tries: Tries,
    open: OpenStream,
) -> Response<AnswerBody> {
    let mut head = Response::new(());
    *head.headers_mut() = open.response.headers().clone();
    clean(head.headers_mut());
    let (parts, body) = channel();
    let last_id = sending.headers.get(headers::LAST_EVENT_ID);
    let relay = Relay {
        caller_last_id: last_id.and_then(|id| id.to_str().ok()).map(str::to_owned),
        last_event_at: context.gateway.now(),
        context,
        sending,
        tries,
        parts,
        splitter: EventSplitter::default(),
        first_event_at: None,
        longest_gap_ms: 0,
    };
    tokio::task::spawn_local(relay.run(open));
    head.map(|()| body)
}

impl Relay {
    async fn run(mut self, mut open: OpenStream) {
        loop {
            self.tries.runs += 1;
            let target = open.target.clone();
            let end = self.relay(open).await;
            let context = self.context.clone();
            match end {
                End::Complete => {
                    context.gateway.loads.borrow_mut().on_success(&target.key);
                    return self.note_end("answered");
                }
                End::CallerLeft => {
                    log_event!(info, CallerLeft, request = context.attempt_id,
                        target = %target.key, elapsed_ms = context.elapsed_ms(),
                        last_event = self.splitter.last_id(), "the caller left");
                    return self.note_end("caller-left");
                }
                End::DeadlinePassed => return self.break_off("deadline-passed").await,
                End::Broken(why) => {
                    self.tries.on_failure(&context, &target, "stream", &why);
                    note_failure(&context, &target);
                    match self.resume().await {
                        Some(next) => open = next,
                        None => return self.break_off("broken").await,
                    }
                }
            }
        }
    }

    /// Passes events on from one group until the stream ends there.
    async fn relay(&mut self, open: OpenStream) -> End {
        let OpenStream {
            target,
            response,
            connection,
            in_flight,
        } = open;
        let _in_flight = in_flight;
        let gateway = self.context.gateway.clone();
        let silence = self.context.silence();
        let (head, mut body) = response.into_parts();
        // Without a length or chunks, only the end of the connection marks the end of the answer.
        let is_framed = body.size_hint().exact().is_some()
            || head.headers.contains_key(header::TRANSFER_ENCODING);
        let deadline = self.context.deadline.0.plus_ms(DEADLINE_SLACK_MS);
        self.last_event_at = gateway.now();
        let mut look_at = self.first_look(silence);
        let mut gap_begin = None;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = self.parts.closed() => return End::CallerLeft,
                () = gateway.clock.sleep_until(look_at.min(deadline)) => {
                    let now = gateway.now();
                    if now >= deadline {
                        return End::DeadlinePassed;
                    }
                    let has_flowed = gap_begin.is_some();
                    let loads = gateway.loads.borrow();
                    let group_at = loads.last_event_at(&target.key, now);
                    let is_known_silent = loads.is_stuck(&target.key, silence, now);
                    drop(loads);
                    let verdict = silence.map(|s| if has_flowed {
                        s.judge(self.last_event_at, group_at, now)
                    } else {
                        s.judge_waiting(self.last_event_at, group_at, is_known_silent, now)
                    });
                    match verdict {
                        None => look_at = deadline,
                        Some(Verdict::LookAgainAt(at)) => look_at = at,
                        Some(verdict) => {
                            if verdict == Verdict::GroupIsSilent {
                                suspect(&gateway, &target, has_flowed);
                            }
                            if self.can_resume() {
                                return End::Broken("no event in time".to_owned());
                            }
                            look_at = now.plus_ms(LOOK_AGAIN_MS);
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
                Some(Err(error)) => return End::Broken(error.to_string()),
                None if self.splitter.has_rest() && !is_framed => {
                    return End::Broken("the connection ended within an event".to_owned());
                }
                None => {
                    gateway
                        .pool
                        .put_back(&target.key, connection, &head.headers, gateway.now());
                    let rest = self.splitter.take_rest();
                    if !rest.is_empty() && self.parts.send(Ok(rest)).await.is_err() {
                        return End::CallerLeft;
                    }
                    return End::Complete;
                }
            };
            let Ok(events) = self.splitter.push(bytes) else {
                return End::Broken("an event is too long".to_owned());
            };
            let Some(events) = events else { continue };
            self.note_events(&target, &mut gap_begin);
            if self.parts.send(Ok(events)).await.is_err() {
                return End::CallerLeft;
            }
        }
    }

    fn first_look(&self, silence: Option<Silence>) -> TimeMs {
        match silence {
            Some(silence) => silence.first_look(self.last_event_at),
            None => self.context.deadline.0,
        }
    }

    fn note_events(
        &mut self,
        target: &jacinthpoint_dispatch::Target,
        gap_begin: &mut Option<TimeMs>,
    ) {
        let gateway = &self.context.gateway;
        let now = gateway.now();
        let gap_ms = gap_begin.replace(now).map(|begin| now.since_ms(begin));
        gateway
            .loads
            .borrow_mut()
            .on_event(&target.key, gap_ms, now);
        if self.first_event_at.is_some() {
            self.longest_gap_ms = self.longest_gap_ms.max(now.since_ms(self.last_event_at));
        } else {
            self.first_event_at = Some(now);
        }
        self.last_event_at = now;
    }

    fn can_resume(&self) -> bool {
        self.context.route.may_repeat() && self.tries.runs < self.context.route.max_attempts
    }

    /// Opens the rest of the stream at another group.
    async fn resume(&mut self) -> Option<OpenStream> {
        self.splitter.drop_rest();
        let context = self.context.clone();
        while self.can_resume() && !context.deadline.has_passed(context.gateway.now()) {
            let target = match choose(&context, &self.tries) {
                Ok(target) => target,
                Err(refusal) => {
                    log_event!(warn, AttemptFailed, request = context.attempt_id,
                        what = "resume", why = %refusal, "a stream cannot go on now");
                    if !self.wait_for_target().await {
                        return None;
                    }
                    continue;
                }
            };
            if !context.may_spend_repeat() {
                log_event!(
                    warn,
                    AttemptFailed,
                    request = context.attempt_id,
                    what = "resume",
                    why = "no budget for a repeat",
                    "a stream cannot go on"
                );
                return None;
            }
            let last_id = self.splitter.last_id().map(str::to_owned);
            let last_id = last_id.or_else(|| self.caller_last_id.clone());
            log_event!(info, StreamResumed, request = context.attempt_id, target = %target.key,
                after = last_id, elapsed_ms = context.elapsed_ms(), "a stream goes on");
            let attempt = send(&context, &self.sending, &target, last_id.as_deref(), true).await;
            let (what, why) = match attempt {
                Attempt::Stream(open) => return Some(*open),
                Attempt::NotSent(why) => {
                    note_failure(&context, &target);
                    ("not-sent", why)
                }
                Attempt::NotRun(faulty) => {
                    note_not_run(&context, &target, faulty);
                    ("not-run", "refused by the upstream".to_owned())
                }
                Attempt::Unknown(why) => {
                    self.tries.runs += 1;
                    note_failure(&context, &target);
                    ("unknown", why)
                }
                Attempt::Answered(answer) => {
                    self.tries.runs += 1;
                    ("error", answer.status.to_string())
                }
                Attempt::DeadlinePassed => return None,
            };
            self.tries.on_failure(&context, &target, what, &why);
        }
        None
    }

    /// Waits a little for a group that can take the stream over; `false` if the caller left.
    async fn wait_for_target(&self) -> bool {
        tokio::select! {
            () = self.parts.closed() => false,
            () = tokio::time::sleep(Duration::from_millis(LOOK_AGAIN_MS)) => true,
        }
    }

    /// Ends the answer so that it does not look complete.
    async fn break_off(self, outcome: &'static str) {
        let _ = self.parts.send(Err(BrokenOff)).await;
        log_event!(
            warn,
            RequestFailed,
            request = self.context.attempt_id,
            last_event = self.splitter.last_id(),
            runs = self.tries.runs,
            why = outcome,
            "a stream was broken off"
        );
        self.note_end(outcome);
    }

    fn note_end(&self, outcome: &'static str) {
        let times = self.first_event_at.map(|first_event_at| StreamTimes {
            first_event_ms: first_event_at.since_ms(self.context.started),
            longest_gap_ms: self.longest_gap_ms,
        });
        note_end(&self.context, StatusCode::OK, outcome, times);
    }
}

/// Time between two looks for a group that can take a stream over.
const LOOK_AGAIN_MS: u64 = 100;
