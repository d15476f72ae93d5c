//! Forwards a stream of events to the caller, over one or several attempts.
//!
//! A stream can break off or fall silent after the caller has received events. The request is then sent to
//! another target with the id of the last whole event, and only later events follow, so the caller sees one
//! stream without a gap. An answer that does not go on after that event counts as broken, and nothing of it
//! reaches the caller.
//!
//! A silent attempt may still go on, and the one after it may fail. So it is kept beside the next one: the
//! attempt that has an event first is forwarded, and only then are the others given up.
//!
//! The body of a stream that ends without all events has no last chunk, by which the caller detects that it is
//! incomplete.

use std::{
    future::poll_fn,
    rc::Rc,
    sync::Arc,
    task::{self, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::{HeaderMap, Response, StatusCode};
use jacinthpoint_adapter::headers;
use jacinthpoint_dispatch::Target;
use jacinthpoint_types::{ResultCode, TimeMs};
use tokio::{sync::oneshot, time::timeout_at};

use crate::{
    body::{AnswerBody, PartSender, channel},
    call::{
        attempt::{Attempt, AttemptOutcome, OpenAnswer, OutgoingRequest},
        context::{Context, Origin},
        event_splitter::{Piece, StreamPosition},
        open_stream::{OpenStream, RECHECK_INTERVAL_MS, StreamStep},
        outcome::{
            StreamTimes, log_given_up, record_end, record_not_run, remove_connection_headers,
        },
        refusal::{quarantine_reason, refuse},
        retry::{AttemptHistory, choose, choose_beside},
    },
    events::log_event,
    panics::catch_panic,
};

/// Time after the deadline in which the upstream may still end the stream itself.
pub(super) const DEADLINE_SLACK_MS: u64 = 100;

/// An attempt that may go on with the stream.
enum Contender {
    /// The head of its answer is awaited.
    Awaited(Attempt),
    /// Its answer is a stream, whose next event is awaited.
    Open(Box<OpenStream>),
}

/// Why a part of a stream cannot be sent.
enum Unsent {
    /// The caller left.
    CallerLeft,
    /// The gateway that forwarded the request read nothing for too long.
    NotRead,
}

/// What happened at a contender.
enum Step {
    /// The wait for the head of its answer ended.
    Outcome(AttemptOutcome),
    /// Its stream went on or ended.
    Stream(StreamStep),
}

impl Contender {
    fn poll_step(
        &mut self,
        context: &Context,
        position: &mut StreamPosition,
        task: &mut task::Context<'_>,
    ) -> Poll<Step> {
        match self {
            Contender::Awaited(attempt) => attempt.poll_outcome(task).map(Step::Outcome),
            Contender::Open(stream) => stream.poll_step(context, position, task).map(Step::Stream),
        }
    }

    fn target(&self) -> &Arc<Target> {
        match self {
            Contender::Awaited(attempt) => &attempt.target,
            Contender::Open(stream) => &stream.target,
        }
    }

    /// Returns the time at which [`Contender::check`] is due.
    fn check_at(&self) -> TimeMs {
        match self {
            Contender::Awaited(attempt) => attempt.check_at,
            Contender::Open(stream) => stream.check_at,
        }
    }

    /// Returns whether the attempt is stalled, and sets the time of the next check.
    fn check(&mut self, context: &Context) -> bool {
        match self {
            Contender::Awaited(attempt) => attempt.check(),
            Contender::Open(stream) => stream.check(context),
        }
    }
}

/// Waits for the next step of any contender; returns it with the contender's index.
async fn next_step(
    contenders: &mut [Contender],
    context: &Context,
    position: &mut StreamPosition,
) -> (usize, Step) {
    poll_fn(|task| {
        for (index, contender) in contenders.iter_mut().enumerate() {
            if let Poll::Ready(step) = contender.poll_step(context, position, task) {
                return Poll::Ready((index, step));
            }
        }
        Poll::Pending
    })
    .await
}

/// Forwards one request's stream over all its attempts.
struct StreamForwarder {
    context: Rc<Context>,
    outgoing: Rc<OutgoingRequest>,
    history: AttemptHistory,
    parts: PartSender,
    /// Receives the headers of the response; `None` once they were sent.
    head: Option<oneshot::Sender<HeaderMap>>,
    /// Attempts that may go on with the stream, oldest first; all but the newest one are stalled. It is a
    /// single one while the stream flows.
    contenders: Vec<Contender>,
    position: StreamPosition,
    /// The caller's own `Last-Event-ID`: the event after which this request continues.
    caller_last_id: Option<String>,
    first_event_at: Option<TimeMs>,
    last_event_at: Option<TimeMs>,
    longest_gap_ms: u64,
}

/// Returns the response whose body is the stream, and forwards the stream in a task of its own.
///
/// `others` are the other attempts that are open, oldest first, and may still go on; `index` is the place of the one
/// whose answer began among them. The head of the response is then that of the attempt that goes on.
pub(super) async fn pass_on(
    context: Rc<Context>,
    outgoing: Rc<OutgoingRequest>,
    history: AttemptHistory,
    open: OpenAnswer,
    index: usize,
    others: Vec<Attempt>,
) -> Response<AnswerBody> {
    let (parts, body) = channel(context.gateway.memory.answers());
    let (head_sender, head) = oneshot::channel();
    let last_id = outgoing.headers.get(headers::LAST_EVENT_ID);
    let mut forwarder = StreamForwarder {
        caller_last_id: last_id.and_then(|id| id.to_str().ok()).map(str::to_owned),
        context: context.clone(),
        outgoing,
        history,
        parts,
        head: Some(head_sender),
        contenders: others.into_iter().map(Contender::Awaited).collect(),
        position: StreamPosition::default(),
        first_event_at: None,
        last_event_at: None,
        longest_gap_ms: 0,
    };
    let stream = OpenStream::new(&context, open, forwarder.must_follow());
    let contender = Contender::Open(Box::new(stream));
    forwarder.contenders.insert(index, contender);
    // Without others, it is known at once.
    forwarder.send_head();
    let task_context = context.clone();
    tokio::task::spawn_local(async move {
        if catch_panic(forwarder.run()).await.is_err() {
            log_event!(
                warn,
                RequestFailed,
                request = task_context.request_id,
                why = "the forwarding of a stream panicked",
                "a stream failed before its end"
            );
            record_end(&task_context, StatusCode::OK, "broken", None);
        }
    });
    let Ok(mut fields) = head.await else {
        let (gateway, id) = (&context.gateway, &context.request_id);
        let why = "all attempts failed";
        return refuse(gateway, id, ResultCode::UpstreamFailed, why, None);
    };
    let mut response = Response::new(body);
    remove_connection_headers(&mut fields);
    *response.headers_mut() = fields;
    response
}

impl StreamForwarder {
    /// Forwards the stream until it ends, with further attempts as needed.
    async fn run(mut self) {
        let context = self.context.clone();
        let gateway = &context.gateway;
        let deadline_with_slack = context.deadline.0.plus_ms(DEADLINE_SLACK_MS);
        loop {
            self.send_head();
            let Some(newest) = self.contenders.last() else {
                if !self.begin_again().await {
                    return self.break_off("broken");
                }
                continue;
            };
            let check_at = newest.check_at().min(deadline_with_slack);
            let step = tokio::select! {
                // What has arrived is read before a stream counts as stalled.
                biased;
                step = next_step(&mut self.contenders, &context, &mut self.position) => step,
                () = self.parts.closed() => return self.on_caller_left(),
                () = gateway.clock.sleep_until(check_at) => {
                    if gateway.now() >= deadline_with_slack {
                        return self.break_off("deadline-passed");
                    }
                    self.check_progress();
                    continue;
                }
            };
            match step {
                (_, Step::Stream(StreamStep::Nothing)) => {}
                (index, Step::Stream(StreamStep::Events(piece))) => {
                    match self.on_events(index, piece).await {
                        Ok(()) => {}
                        Err(Unsent::CallerLeft) => return self.on_caller_left(),
                        Err(Unsent::NotRead) => return self.break_off("caller-stalled"),
                    }
                }
                (index, Step::Stream(StreamStep::Complete)) => {
                    self.give_up_others(index);
                    self.send_head();
                    if let Some(Contender::Open(stream)) = self.contenders.pop() {
                        stream.finish(&context);
                    }
                    self.record_end("answered");
                    return self.parts.finish();
                }
                (index, Step::Stream(StreamStep::Broken(why))) => {
                    self.on_failure(index, true, "stream", &why);
                }
                (index, Step::Outcome(outcome)) => self.on_outcome(index, outcome),
            }
        }
    }

    /// Forwards events of a contender, which the stream goes on with from then on. Comments decide nothing.
    ///
    /// # Errors
    ///
    /// Fails if they cannot be sent to the caller.
    async fn on_events(&mut self, index: usize, piece: Piece) -> Result<(), Unsent> {
        let has_content = piece.has_content;
        if has_content {
            self.give_up_others(index);
            self.history.on_progress();
            self.send_head();
        }
        let is_decided = self.contenders.len() == 1;
        let index = if is_decided { 0 } else { index };
        let Contender::Open(stream) = &mut self.contenders[index] else {
            return Ok(());
        };
        let pieces = match stream.forwardable(piece, is_decided) {
            Ok(pieces) => pieces,
            Err(why) => {
                self.on_failure(index, true, "stream", why);
                return Ok(());
            }
        };
        let now = self.context.gateway.now();
        if !pieces.is_empty() {
            self.first_event_at.get_or_insert(now);
            if let Some(last_event_at) = self.last_event_at.replace(now) {
                self.longest_gap_ms = self.longest_gap_ms.max(now.since_ms(last_event_at));
            }
        }
        for bytes in pieces {
            self.send_part(bytes).await?;
        }
        Ok(())
    }

    /// Sends a part of the stream to the caller, or to the gateway that forwarded the request.
    ///
    /// A caller's connection ends if it takes nothing for too long. That to another gateway does not, so the
    /// same limit is kept here.
    async fn send_part(&self, bytes: Bytes) -> Result<(), Unsent> {
        let sending = self.parts.send(bytes);
        let is_sent = match &self.context.origin {
            Origin::Caller(_) => sending.await,
            Origin::Gateway(..) => {
                let gateway = &self.context.gateway;
                let idle_ms = gateway.caller_limits.borrow().idle_timeout_ms;
                let idle_until = gateway.now().plus_ms(idle_ms);
                let until = self.context.deadline.0.max(idle_until);
                match timeout_at(gateway.clock.instant(until), sending).await {
                    Ok(is_sent) => is_sent,
                    Err(_) => return Err(Unsent::NotRead),
                }
            }
        };
        if is_sent {
            Ok(())
        } else {
            Err(Unsent::CallerLeft)
        }
    }

    /// Sends the headers of the response, unless several attempts may still go on with the stream.
    fn send_head(&mut self) {
        if let [Contender::Open(stream)] = self.contenders.as_slice()
            && let Some(head) = self.head.take()
        {
            // An error means that the caller has left, which the body shows, too.
            let _ = head.send(stream.fields().clone());
        }
    }

    /// Gives up all contenders but one.
    fn give_up_others(&mut self, index: usize) {
        if self.contenders.len() == 1 {
            return;
        }
        let preferred = self.contenders.swap_remove(index);
        let now = self.context.gateway.now();
        for other in self.contenders.drain(..) {
            let silent_ms = match &other {
                Contender::Awaited(_) => None,
                Contender::Open(stream) => Some(stream.silent_ms(now)),
            };
            self.history.on_given_up(other.target());
            log_given_up(&self.context, other.target(), silent_ms, preferred.target());
        }
        self.contenders.push(preferred);
    }

    /// Handles the end of the wait for the head of a contender's answer.
    fn on_outcome(&mut self, index: usize, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Stream(open) => {
                let must_follow = self.must_follow();
                let stream = OpenStream::new(&self.context, *open, must_follow);
                self.contenders[index] = Contender::Open(Box::new(stream));
            }
            AttemptOutcome::NotSent(why) => {
                self.history.on_refused_beside(self.context.gateway.now());
                self.on_failure(index, false, "not-sent", &why);
            }
            AttemptOutcome::NotRun(faulty) => {
                let target = self.contenders.remove(index).target().clone();
                self.history.on_ended(false);
                self.history.on_refused_beside(self.context.gateway.now());
                record_not_run(&self.context, &target, faulty);
                let why = "refused by the upstream";
                (self.history).log_failure(&self.context, &target, "not-run", why);
            }
            AttemptOutcome::Unknown(why) => self.on_failure(index, true, "unknown", &why),
            AttemptOutcome::Answered(answer) => {
                let why = format!("{}, and no stream", answer.status);
                self.remove(index, true, "error", &why);
            }
            AttemptOutcome::DeadlinePassed => {
                let why = "no answer before the deadline";
                self.remove(index, true, "deadline", why);
            }
        }
    }

    /// Removes a contender whose upstream failed. The others are still awaited.
    fn on_failure(&mut self, index: usize, may_have_run: bool, what: &'static str, why: &str) {
        let target = self.remove(index, may_have_run, what, why);
        self.history.record_failure(&self.context, &target);
    }

    /// Removes a contender that does not go on with the stream; returns its target.
    fn remove(
        &mut self,
        index: usize,
        may_have_run: bool,
        what: &'static str,
        why: &str,
    ) -> Arc<Target> {
        let target = self.contenders.remove(index).target().clone();
        self.history.on_ended(may_have_run);
        self.history.log_failure(&self.context, &target, what, why);
        target
    }

    /// Makes another attempt beside the newest one, if that one is stalled and another one is allowed.
    fn check_progress(&mut self) {
        let context = self.context.clone();
        let Some(newest) = self.contenders.last_mut() else {
            return;
        };
        if !newest.check(&context) || !self.position.is_resumable() {
            return;
        }
        if !context.route.may_retry_executed() {
            return;
        }
        if let Some(target) = choose_beside(&context, &mut self.history) {
            self.history.record_failure(&context, newest.target());
            self.begin_at(target);
        }
    }

    /// Returns the event that the next attempt must go on after: the last one of this request, or else
    /// that which the caller names.
    fn must_follow(&self) -> Option<String> {
        if !self.context.route.may_retry_executed() {
            return None;
        }
        let caller_last_id = self.caller_last_id.as_deref();
        let caller_last_id = caller_last_id.filter(|id| id.parse::<u64>().is_ok());
        self.position
            .last_id()
            .or(caller_last_id)
            .map(str::to_owned)
    }

    /// Returns whether the route and the events so far allow another attempt to resume the stream.
    fn can_resume(&self) -> bool {
        self.context.route.may_retry_executed()
            && self.position.is_resumable()
            && self.history.may_run_again(&self.context)
    }

    /// Makes another attempt after all have failed, once there is a target; returns `false` if the stream cannot
    /// be resumed, the caller left or the deadline passed.
    async fn begin_again(&mut self) -> bool {
        let context = self.context.clone();
        let mut was_delay_logged = false;
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
                return false;
            }
            let chosen = match choose(&context, &self.history) {
                // Retries become available again as time passes.
                Ok(_) if !context.can_spend_retry() => Err("the retry budget is used up"),
                Ok(target) => Ok(target),
                Err(refusal) => Err(refusal.into()),
            };
            match chosen {
                Ok(target) if context.try_spend_retry() => {
                    self.begin_at(target);
                    return true;
                }
                Ok(_) => {}
                Err(why) => {
                    if !std::mem::replace(&mut was_delay_logged, true) {
                        log_event!(
                            warn,
                            AttemptFailed,
                            request = context.request_id,
                            what = "resume",
                            why,
                            "a stream cannot be resumed yet"
                        );
                    }
                }
            }
            if !self.wait_for_target().await {
                return false;
            }
        }
        false
    }

    /// Sends the request for the rest of the stream to a target.
    fn begin_at(&mut self, target: Arc<Target>) {
        let context = &self.context;
        let last_id = self.position.last_id().map(str::to_owned);
        let last_id = last_id.or_else(|| self.caller_last_id.clone());
        log_event!(info, StreamResumed, request = context.request_id, target = %target.key,
            after = last_id, elapsed_ms = context.elapsed_ms(),
            "a request to resume a stream is being sent to another target");
        self.history.on_started(&target);
        let attempt = Attempt::start(context, &self.outgoing, target, last_id);
        self.contenders.push(Contender::Awaited(attempt));
    }

    /// Waits [`RECHECK_INTERVAL_MS`] before the next search for a target; returns `false` if the
    /// caller left meanwhile.
    async fn wait_for_target(&self) -> bool {
        tokio::select! {
            () = self.parts.closed() => false,
            () = tokio::time::sleep(Duration::from_millis(RECHECK_INTERVAL_MS)) => true,
        }
    }

    /// Records that the caller closed its connection. All attempts are given up.
    fn on_caller_left(self) {
        let target = self
            .contenders
            .last()
            .map(|newest| newest.target().key.to_string());
        log_event!(
            info,
            CallerLeft,
            request = self.context.request_id,
            target,
            elapsed_ms = self.context.elapsed_ms(),
            last_event = self.position.last_id(),
            "the caller left"
        );
        self.record_end("caller-left");
    }

    /// Ends the body without the last chunk, and records the failure. A response that has not begun is a
    /// refusal, which is recorded there.
    fn break_off(self, outcome: &'static str) {
        if self.head.is_some() {
            return;
        }
        log_event!(
            warn,
            RequestFailed,
            request = self.context.request_id,
            last_event = self.position.last_id(),
            runs = self.history.all_runs(),
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
        let route = &self.context.route;
        let is_late = |times: StreamTimes| {
            times.first_event_ms > route.answer_objective_ms
                || times.longest_gap_ms > route.gap_objective_ms
        };
        // After a second run, the request was late because the first one failed.
        if self.history.all_runs() <= 1 && times.is_some_and(is_late) {
            self.context.record_unmet(u64::MAX);
        }
        record_end(&self.context, StatusCode::OK, outcome, times);
    }
}
