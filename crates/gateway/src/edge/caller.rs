//! Serves one caller's connection.
//!
//! A connection that ends at the wrong moment loses a request: one that lies unread in the socket, one
//! whose answer is on its way, or one whose caller is slow to read. So the stage of each connection is
//! tracked, and it ends only between an answer and the next request, with the sending side first. As
//! HTTP cannot exclude that a request crosses the end of an idle connection, callers are told
//! beforehand, by `Connection: close` in the answers of a gateway that stops.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Method, Request, Response, Version,
    body::{Body, Frame, Incoming, SizeHint},
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use jacinthpoint_fleet::CallerLimits;
use jacinthpoint_types::{Deadline, TimeMs};
use tokio::{net::TcpStream, sync::Notify, time::timeout};

use crate::{
    body::{AbortedBody, AnswerBody},
    call::{self, Origin},
    connection::{limit_unsent_bytes, set_caller_options},
    edge::caller_io::CallerIo,
    events::log_event,
    framing::ReadBound,
    memory::{Account, Activity, Listener, head_memory},
    state::{Gateway, Phase},
};

/// Minimum size of a connection's buffer for a request head. A larger limit than the one in force may come
/// while the connection is open; the limit itself is checked when the head was read.
const MIN_HEAD_BUFFER_BYTES: usize = 64 * 1_024;
/// Extra space in the read buffer for body bytes that arrive together with the head.
const HEAD_SLACK_BYTES: usize = 1_024;
/// Time for which a new connection is kept for its first request while the gateway ends all idle ones, or
/// above the limit. The request was sent with the connection, or follows within a round trip.
const FIRST_REQUEST_WAIT_MS: u64 = 500;
/// Time for which a connection is kept for one more request while the gateway ends all idle ones, after an
/// answer that did not say that it closes. A caller that comes back at once sends it within a round trip.
const NEXT_REQUEST_WAIT_MS: u64 = 50;
/// Time for which an answer is still awaited after the caller has ended its sending side. A caller that has
/// left looks the same until something is sent to it, and its work at the upstream should end.
const HALF_CLOSE_WAIT_MS: u64 = 400;
/// Time between two parts of a stream, both sent after the caller has ended its sending side, from which
/// on it is known to read: otherwise the first would have been answered by a reset.
const RESET_WAIT_MS: u64 = 100;
/// Maximum time for which a connection that has ended is read, so that it is not reset.
const LINGER_MS: u64 = 10_000;
/// Time without a received byte after which that reading ends, unless a request was refused before its end:
/// its caller may still send the rest, with pauses.
const LINGER_IDLE_MS: u64 = 1_000;
/// The same during a stop, which should not take longer for callers that leave their connection open.
const LINGER_IDLE_AT_STOP_MS: u64 = 200;
/// Time in which a revoked connection must have refused its request, if it has one, and ended.
const REVOKED_MS: u64 = 500;
/// Time after a connection was accepted in which an end of the caller's bytes may have arrived before.
const ACCEPTED_LATELY_MS: u64 = 100;
/// Time between two checks of a connection that is due to end but has not ended.
const RECHECK_INTERVAL_MS: u64 = 50;
/// Time in which the body of a refused request must arrive for its connection to be kept.
const REFUSED_BODY_WAIT_MS: u64 = 10;

/// What a caller's connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// For the first byte of a request.
    Idle,
    /// For the rest of a head, whose first byte arrived at this time.
    Head(TimeMs),
    /// For the body of a request, or for its answer to be sent.
    Request,
}

/// What of a request or its answer was awaited when its connection ended, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum Awaited {
    /// The rest of the request's head.
    Head,
    /// The rest of the request's body.
    Body,
    /// The beginning of the answer.
    Answer,
    /// The end of the answer, which had begun.
    EndOfAnswer,
    /// The end of the answer, all of which was there, while the caller did not read.
    Writing,
}

/// First event on a connection that ends it before an answer is whole, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum EndCause {
    /// The caller ended its sending side, and was considered gone.
    CallerEnded,
    /// Reading failed, as after a reset.
    ReadFailed(io::ErrorKind),
    /// Writing failed, as after a reset.
    WriteFailed(io::ErrorKind),
    /// The caller read nothing of its answer for too long.
    CallerStalled,
    /// The body of the answer was aborted; another event of the request says why.
    AnswerAborted,
}

impl EndCause {
    /// Returns the kind of the I/O error, if there was one.
    fn error_kind(self) -> Option<io::ErrorKind> {
        match self {
            EndCause::ReadFailed(kind) | EndCause::WriteFailed(kind) => Some(kind),
            EndCause::CallerEnded | EndCause::CallerStalled | EndCause::AnswerAborted => None,
        }
    }
}

/// State of a caller's connection, shared by its I/O and its requests.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    gateway: Rc<Gateway>,
    /// What the connection holds.
    pub(crate) account: Account,
    /// Length of the head that is being read.
    head_bytes: Cell<usize>,
    accepted_at: TimeMs,
    /// Time for which it may have waited to be accepted.
    queued_ms: u64,
    /// Whether the maximum number of connections was open before, so that requests are refused.
    pub(crate) is_surplus: bool,
    requests: Cell<u64>,
    stage: Cell<Stage>,
    /// Id of the current or last request; empty if the caller sent none.
    request_id: RefCell<String>,
    /// Time at which the head of that request had arrived.
    request_began_at: Cell<TimeMs>,
    /// Number of bytes that were written since then.
    written_bytes: Cell<u64>,
    /// Time of the last byte that was written.
    written_at: Cell<Option<TimeMs>>,
    /// What ends the connection before the current answer is whole, if anything has happened that does.
    end_cause: Cell<Option<EndCause>>,
    /// Whether the body of the current request was read to its end.
    is_body_read: Cell<bool>,
    /// Number of bytes of that body that were not read yet; `None` if its length is not known beforehand.
    unread_body_bytes: Cell<Option<u64>>,
    /// Whether bytes were read since the body was read to its end.
    has_read_ahead: Cell<bool>,
    /// Whether the caller of the current request sees the end of a stream only by the end of the connection.
    has_unframed_streams: Cell<bool>,
    /// Whether the answer to the current request has begun.
    has_answer_begun: Cell<bool>,
    /// Whether the body of that answer is sent in chunks.
    is_answer_chunked: Cell<bool>,
    /// Notified if the current request is given up because the caller seems to have left.
    given_up: Notify,
    /// Whether the answer is awaited until the deadline, even if the caller seems to have left.
    is_kept_without_caller: Cell<bool>,
    /// Deadline of the current or last request.
    deadline: Cell<Option<Deadline>>,
    /// Time of the last byte that was read or written.
    progress_at: Cell<TimeMs>,
    /// Whether bytes wait for the caller to read.
    is_write_blocked: Cell<bool>,
    /// Time at which the caller ended its sending side.
    ended_at: Cell<Option<TimeMs>>,
    /// Time of the first write after that.
    first_write_after_end_at: Cell<Option<TimeMs>>,
    /// Whether writes after that showed that the caller still reads.
    is_reading_after_end: Cell<bool>,
    /// Time at which the connection's task checks it next.
    check_at: Cell<TimeMs>,
    /// Deadline for which that time was chosen.
    checked_due_at: Cell<Option<TimeMs>>,
    /// Wakes the task if it has to check sooner.
    recheck: Notify,
}

impl CallerConnection {
    fn new(gateway: Rc<Gateway>, is_surplus: bool, queued_ms: u64) -> CallerConnection {
        let now = gateway.now();
        CallerConnection {
            account: gateway.memory.open(Listener::Callers, Activity::Idle, now),
            head_bytes: Cell::new(0),
            gateway,
            queued_ms,
            accepted_at: now,
            is_surplus,
            requests: Cell::new(0),
            stage: Cell::new(Stage::Idle),
            request_id: RefCell::default(),
            request_began_at: Cell::new(now),
            written_bytes: Cell::new(0),
            written_at: Cell::new(None),
            end_cause: Cell::new(None),
            is_body_read: Cell::new(true),
            unread_body_bytes: Cell::new(Some(0)),
            has_read_ahead: Cell::new(false),
            has_unframed_streams: Cell::new(false),
            has_answer_begun: Cell::new(false),
            is_answer_chunked: Cell::new(false),
            given_up: Notify::new(),
            is_kept_without_caller: Cell::new(false),
            deadline: Cell::new(None),
            progress_at: Cell::new(now),
            is_write_blocked: Cell::new(false),
            ended_at: Cell::new(None),
            first_write_after_end_at: Cell::new(None),
            is_reading_after_end: Cell::new(false),
            check_at: Cell::new(now),
            checked_due_at: Cell::new(None),
            recheck: Notify::new(),
        }
    }

    /// Returns the limits in force, which change while a connection is open.
    fn limits(&self) -> CallerLimits {
        *self.gateway.caller_limits.borrow()
    }

    fn phase(&self) -> Phase {
        *self.gateway.phase.borrow()
    }

    /// Records until when the caller waits for the answer to the current request.
    pub(crate) fn on_deadline_known(&self, deadline: Deadline) {
        self.deadline.set(Some(deadline));
    }

    /// Records whether the current request may be running at an upstream and must not run twice. Its
    /// answer is then awaited even if the caller seems to have left.
    pub(crate) fn set_only_run(&self, may_run: bool) {
        self.is_kept_without_caller.set(may_run);
    }

    /// Returns whether the caller ended its sending side so long ago that its request is not sent again.
    pub(crate) fn has_left(&self) -> bool {
        let until = self.answer_awaited_until();
        until.is_some_and(|until| self.gateway.now() >= until)
    }

    /// Waits until the caller seems to have left and no answer to its request has begun.
    pub(crate) async fn wait_for_leaving(&self) {
        self.given_up.notified().await;
    }

    /// Reads the body of a request that is refused, as far as it has arrived. The connection is closed
    /// after the refusal if there is more, since the caller may send the rest or not.
    pub(crate) async fn discard_body(&self, has_expectation: bool, mut body: Incoming) {
        let read_to_end = async { while let Some(Ok(_)) = body.frame().await {} };
        let wait = Duration::from_millis(REFUSED_BODY_WAIT_MS);
        // Reading would make the HTTP library ask a caller for the body that waits to be asked.
        let is_read = !has_expectation && timeout(wait, read_to_end).await.is_ok();
        self.is_body_read.set(is_read);
    }

    /// Records that the body of the current request was read to its end.
    pub(crate) fn on_body_read(&self) {
        self.is_body_read.set(true);
        (self.account).set_activity(Activity::Working, self.gateway.now());
    }

    /// Returns which bytes the HTTP library may get with its next read.
    pub(super) fn read_bound(&self) -> ReadBound {
        match (self.stage.get(), self.unread_body_bytes.get()) {
            (Stage::Request, None) if !self.is_body_read.get() => ReadBound::Open,
            (Stage::Request, Some(bytes @ 1..)) => ReadBound::Body(bytes),
            _ => ReadBound::Head,
        }
    }

    /// Records that this number of bytes was read, within [`CallerConnection::read_bound`].
    pub(super) fn on_read(&self, bytes: usize) {
        let now = self.gateway.now();
        self.progress_at.set(now);
        if self.stage.get() == Stage::Idle {
            self.stage.set(Stage::Head(now));
            self.account.set_activity(Activity::Receiving, now);
        }
        self.account.on_received(bytes, now);
        match (self.stage.get(), self.unread_body_bytes.get()) {
            (Stage::Idle | Stage::Head(_), _) => {
                let head_bytes = self.head_bytes.get() + bytes;
                self.head_bytes.set(head_bytes);
                // The HTTP library's buffer grows by doubling. If the connection is revoked, its task ends it.
                let _ = self.account.set_bytes(2 * head_bytes, now);
            }
            (Stage::Request, Some(unread @ 1..)) => {
                let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
                self.unread_body_bytes
                    .set(Some(unread.saturating_sub(bytes)));
            }
            (Stage::Request, Some(0)) => self.has_read_ahead.set(true),
            (Stage::Request, None) => self.has_read_ahead.set(self.is_body_read.get()),
        }
    }

    /// Records that this number of bytes was written.
    pub(super) fn on_written(&self, bytes: usize) {
        let now = self.gateway.now();
        self.progress_at.set(now);
        self.written_at.set(Some(now));
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.written_bytes
            .set(self.written_bytes.get().saturating_add(bytes));
        self.is_write_blocked.set(false);
        self.account.on_sent(now);
        if self.account.activity() == Activity::Sending {
            self.account.set_activity(self.activity(), now);
        }
        if self.ended_at.get().is_some() {
            let first_at = self.first_write_after_end_at.get().unwrap_or(now);
            self.first_write_after_end_at.set(Some(first_at));
            if now.since_ms(first_at) >= RESET_WAIT_MS {
                self.is_reading_after_end.set(true);
            }
        }
    }

    /// Records that the caller does not read what is written.
    pub(super) fn on_write_blocked(&self) {
        self.is_write_blocked.set(true);
        if matches!(self.account.activity(), Activity::Idle | Activity::Working) {
            (self.account).set_activity(Activity::Sending, self.gateway.now());
        }
    }

    /// Returns what the connection does while its caller reads.
    fn activity(&self) -> Activity {
        match self.stage.get() {
            Stage::Idle => Activity::Idle,
            Stage::Head(_) => Activity::Receiving,
            Stage::Request if self.is_body_read.get() => Activity::Working,
            Stage::Request => Activity::Receiving,
        }
    }

    /// Returns whether the connection ends by itself after it was revoked: it is idle, or has a request that waits
    /// for the rest of its body and is refused.
    fn ends_when_revoked(&self) -> bool {
        let is_ending = match self.stage.get() {
            Stage::Idle => true,
            Stage::Head(_) => false,
            Stage::Request => !self.has_answer_begun.get(),
        };
        is_ending && !self.is_write_blocked.get()
    }

    /// Records what ends the connection, unless something else has before.
    pub(super) fn on_end_cause(&self, cause: EndCause) {
        self.end_cause
            .set(Some(self.end_cause.get().unwrap_or(cause)));
    }

    /// Records that the caller has ended its sending side.
    pub(super) fn on_end_of_bytes(&self) {
        if self.ended_at.get().is_none() {
            let now = self.gateway.now();
            // It may have arrived while the process did not run, or the connection was not accepted.
            let mut age_ms = self.gateway.pauses.possible_age_ms(now);
            if now.since_ms(self.accepted_at) < ACCEPTED_LATELY_MS {
                age_ms = age_ms.max(self.queued_ms);
            }
            self.ended_at
                .set(Some(TimeMs(now.0.saturating_sub(age_ms))));
        }
    }

    /// Returns whether a byte is due that shows whether a caller that has ended its sending side reads the rest
    /// of its answer. One that has left answers it by a reset, so that the next one cannot be written.
    ///
    /// The HTTP library, which writes whole chunks, has nothing left to write, or the write is blocked.
    pub(super) fn is_probe_due(&self) -> bool {
        let now = self.gateway.now();
        let is_open = self.stage.get() == Stage::Request
            && self.has_answer_begun.get()
            && self.is_answer_chunked.get()
            && !self.is_write_blocked.get();
        let until = self.answer_awaited_until();
        is_open
            && !self.is_reading_after_end.get()
            && match self.first_write_after_end_at.get() {
                None => true,
                Some(first_at) => {
                    until.is_some_and(|until| now >= until)
                        && now.since_ms(first_at) >= RESET_WAIT_MS
                }
            }
    }

    /// Returns whether the connection stays open for an answer although the caller has ended its sending side.
    pub(super) fn is_kept_after_end(&self) -> bool {
        let now = self.gateway.now();
        let Some(until) = self.answer_awaited_until() else {
            return false;
        };
        // A body that ends too early makes the request fail with an answer of its own.
        if now >= until && self.is_body_read.get() && !self.has_answer_begun.get() {
            // The request ends with an answer, in case that the caller reads.
            self.given_up.notify_one();
            return true;
        }
        now < until
    }

    /// Returns the time until which an answer is awaited although the caller has ended its sending side;
    /// `None` if it has not, or awaits none.
    fn answer_awaited_until(&self) -> Option<TimeMs> {
        let ended_at = self.ended_at.get()?;
        if self.is_write_blocked.get() {
            return Some(self.stalled_from());
        }
        if self.stage.get() != Stage::Request {
            return None;
        }
        let is_kept = self.is_kept_without_caller.get() || self.is_reading_after_end.get();
        let deadline = self.deadline.get().filter(|_| is_kept);
        let short = ended_at.plus_ms(HALF_CLOSE_WAIT_MS);
        Some(deadline.map_or(short, |deadline| {
            deadline.0.plus_ms(HALF_CLOSE_WAIT_MS).max(short)
        }))
    }

    /// Returns whether the caller has ended its sending side.
    pub(super) fn has_caller_ended(&self) -> bool {
        self.ended_at.get().is_some()
    }

    /// Returns the time from which a caller that reads nothing of its answer is given up: after the
    /// request's deadline, and once it was idle for the configured time.
    fn stalled_from(&self) -> TimeMs {
        let idle_until = self
            .progress_at
            .get()
            .plus_ms(self.limits().idle_timeout_ms);
        let deadline = self.deadline.get();
        deadline.map_or(idle_until, |deadline| deadline.0.max(idle_until))
    }

    /// Returns whether the caller has read nothing of its answer for too long.
    pub(super) fn has_stalled(&self) -> bool {
        self.gateway.now() >= self.stalled_from()
    }

    /// Returns the time from which the gateway may end the connection, as long as nothing changes.
    fn end_at(&self) -> Option<TimeMs> {
        if self.is_write_blocked.get() {
            return None;
        }
        match self.stage.get() {
            Stage::Idle if self.account.is_revoked() => Some(self.progress_at.get()),
            Stage::Idle if self.phase() >= Phase::EndingIdle || self.is_surplus => {
                Some(match self.requests.get() {
                    0 => self.accepted_at.plus_ms(FIRST_REQUEST_WAIT_MS),
                    _ => self.progress_at.get().plus_ms(NEXT_REQUEST_WAIT_MS),
                })
            }
            Stage::Idle => {
                let idle_ms = self.limits().idle_timeout_ms;
                Some(self.progress_at.get().plus_ms(idle_ms))
            }
            Stage::Head(since) => Some(since.plus_ms(self.limits().header_timeout_ms)),
            Stage::Request => None,
        }
    }

    /// Returns whether the exit of the process cuts an answer whose caller could take it for whole.
    fn is_cut_unmarked(&self) -> bool {
        self.phase() >= Phase::Exiting
            && self.has_unframed_streams.get()
            && self.stage.get() == Stage::Request
    }

    /// Returns the time without a received byte after which the reading of an ended connection ends.
    pub(super) fn linger_idle_ms(&self) -> u64 {
        match self.phase() {
            phase if phase >= Phase::EndingIdle => LINGER_IDLE_AT_STOP_MS,
            _ if self.account.is_revoked() => LINGER_IDLE_AT_STOP_MS,
            _ if !self.is_body_read.get() => LINGER_MS,
            _ => LINGER_IDLE_MS,
        }
    }

    /// Returns whether the gateway ends the connection now, if no bytes wait in the socket.
    pub(super) fn is_to_end(&self) -> bool {
        let now = self.gateway.now();
        self.end_at().is_some_and(|end_at| now >= end_at)
    }

    /// Returns the time at which the connection has to be checked, if nothing changes.
    fn due_at(&self) -> Option<TimeMs> {
        let stalled_from = self.is_write_blocked.get().then(|| self.stalled_from());
        let times = [self.end_at(), self.answer_awaited_until(), stalled_from];
        times.into_iter().flatten().min()
    }

    /// Sets and returns the time of the next check. Without a deadline, it is not after any that may
    /// begin meanwhile.
    fn next_check_at(&self) -> TimeMs {
        let now = self.gateway.now();
        let due_at = self.due_at();
        let latest = now.plus_ms(self.limits().idle_timeout_ms);
        let check_at = match due_at {
            Some(due_at) if due_at > now => due_at.min(latest),
            // The connection has not ended yet, although it may.
            Some(_) => now.plus_ms(RECHECK_INTERVAL_MS),
            None => latest,
        };
        self.check_at.set(check_at);
        self.checked_due_at.set(due_at);
        check_at
    }

    /// Wakes the connection's task if it has to check sooner than it will.
    fn update_check(&self) {
        let due_at = self.due_at();
        let is_sooner = due_at.is_some_and(|due_at| due_at < self.check_at.get());
        if is_sooner && due_at != self.checked_due_at.get() {
            self.recheck.notify_one();
        }
    }

    /// Records that the head of a request has arrived. The request ends when the guard is dropped.
    fn begin_request(self: &Rc<Self>, request: &Request<Incoming>) -> RequestGuard {
        self.requests.set(self.requests.get() + 1);
        self.request_id.replace(call::request_id(request.headers()));
        self.request_began_at.set(self.gateway.now());
        self.written_bytes.set(0);
        self.end_cause.set(None);
        self.stage.set(Stage::Request);
        self.is_body_read.set(request.body().is_end_stream());
        self.unread_body_bytes
            .set(request.body().size_hint().exact());
        self.has_unframed_streams
            .set(request.version() < Version::HTTP_11);
        self.has_read_ahead.set(false);
        let now = self.gateway.now();
        let head_bytes = head_memory(self.head_bytes.take(), request.headers().len());
        self.account.set_activity(self.activity(), now);
        // If the connection is revoked, its body is not read.
        let _ = self.account.set_bytes(head_bytes, now);
        self.has_answer_begun.set(false);
        self.is_answer_chunked.set(false);
        RequestGuard {
            connection: self.clone(),
            is_whole: false,
            has_body: request.method() != Method::HEAD,
        }
    }

    /// Answers a request. The connection ends after the answer if the answer says so, or this gateway stops,
    /// has too many connections, or has not read the whole request.
    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        guard: RequestGuard,
    ) -> Response<TrackedBody> {
        let origin = Origin::Caller(self.clone());
        let version = request.version();
        let mut response = call::answer(self.gateway.clone(), request, origin).await;
        self.has_answer_begun.set(true);
        // A stream may end only after the announcement, when its connection ends at once.
        let is_stream = response.body().size_hint().exact().is_none();
        let is_chunked = is_stream && guard.has_body && !self.has_unframed_streams.get();
        self.is_answer_chunked.set(is_chunked);
        let closing_from = if is_stream {
            Phase::Leaving
        } else {
            Phase::Closing
        };
        if response.headers().contains_key(header::CONNECTION)
            || self.phase() >= closing_from
            || self.is_surplus
            || !self.is_body_read.get()
            || self.account.is_revoked()
        {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            // Otherwise, the HTTP library adds `keep-alive` if a caller of HTTP/1.0 has asked for it.
            *response.version_mut() = version;
        }
        response.map(|body| TrackedBody { body, guard })
    }

    /// Logs that the connection ends while a request has no whole answer.
    fn log_unfinished(&self, awaited: Awaited) {
        let now = self.gateway.now();
        let cause = self.end_cause.get();
        let is_read = awaited != Awaited::Head;
        (self.gateway.metrics).count("answers_unfinished", &awaited.to_string());
        log_event!(
            warn,
            AnswerUnfinished,
            request = is_read.then(|| self.request_id.borrow().clone()),
            %awaited,
            why = cause.map(|cause| cause.to_string()),
            error = cause.and_then(EndCause::error_kind).map(|kind| kind.to_string()),
            elapsed_ms = is_read.then(|| now.since_ms(self.request_began_at.get())),
            written_bytes = is_read.then(|| self.written_bytes.get()),
            since_written_ms = self.written_at.get().map(|at| now.since_ms(at)),
            half_closed_ms = self.ended_at.get().map(|at| now.since_ms(at)),
            requests = self.requests.get(),
            is_stopping = self.phase() != Phase::Serving,
            "a caller's connection ends while a request has no whole answer"
        );
    }

    /// Logs what of a request or an answer is left at the end of the connection, if its request is not open
    /// any more or was not read.
    fn log_rest(&self) {
        let has_write_ended = matches!(
            self.end_cause.get(),
            Some(EndCause::WriteFailed(_) | EndCause::CallerStalled)
        );
        match self.stage.get() {
            Stage::Head(_) => self.log_unfinished(Awaited::Head),
            Stage::Idle if self.is_write_blocked.get() || has_write_ended => {
                self.log_unfinished(Awaited::Writing);
            }
            Stage::Idle | Stage::Request => {}
        }
    }

    /// Logs that bytes arrived after the end of the connection, if they are those of another request.
    pub(super) fn on_bytes_after_end(&self, bytes: &[u8]) {
        // Otherwise, they are the rest of a request that was refused or could not be read.
        if self.stage.get() != Stage::Idle || !self.is_body_read.get() {
            return;
        }
        let why = match self.phase() {
            Phase::Serving => "idle",
            _ => "stop",
        };
        self.gateway.metrics.count("requests_unread", why);
        log_event!(
            warn,
            RequestUnread,
            request = call::request_id_of_bytes(bytes),
            why,
            requests = self.requests.get(),
            "a request arrived after the end of its connection and was not read"
        );
    }

    /// Records that a request's answer has been handed to the HTTP library, or that it gets none.
    fn on_request_ended(&self) {
        let now = self.gateway.now();
        self.progress_at.set(now);
        self.is_kept_without_caller.set(false);
        let has_read_ahead = self.has_read_ahead.get();
        self.stage.set(if has_read_ahead {
            Stage::Head(now)
        } else {
            Stage::Idle
        });
        // Fewer bytes are always held.
        let _ = self.account.set_bytes(0, now);
        self.account.set_activity(self.activity(), now);
        if self.is_write_blocked.get() {
            self.on_write_blocked();
        }
    }
}

/// Marks the connection as waiting for the next request when dropped, and logs a request that has no whole
/// answer then, however its task ended.
struct RequestGuard {
    connection: Rc<CallerConnection>,
    /// Whether the whole answer was handed to the HTTP library.
    is_whole: bool,
    /// Whether the answer has a body on the wire.
    has_body: bool,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let connection = &self.connection;
        let has_begun = connection.has_answer_begun.get();
        if !self.is_whole && (self.has_body || !has_begun) {
            connection.log_unfinished(match has_begun {
                true => Awaited::EndOfAnswer,
                false if connection.is_body_read.get() => Awaited::Answer,
                false => Awaited::Body,
            });
        }
        connection.on_request_ended();
    }
}

/// Body of an answer, until whose end the connection belongs to its request.
struct TrackedBody {
    body: AnswerBody,
    guard: RequestGuard,
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        // An empty body is not polled, and one of known length not beyond its last byte.
        self.guard.is_whole |= self.body.is_end_stream();
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = AbortedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AbortedBody>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        match &polled {
            Poll::Ready(None) => self.guard.is_whole = true,
            Poll::Ready(Some(Err(AbortedBody))) => {
                self.guard.connection.on_end_cause(EndCause::AnswerAborted);
            }
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves one caller's connection until it ends. `is_surplus` says that its requests are refused, and `queued_ms`
/// for how long it may have waited in the listener's queue.
pub(super) async fn serve_caller(
    gateway: &Rc<Gateway>,
    stream: TcpStream,
    is_surplus: bool,
    queued_ms: u64,
) {
    set_caller_options(&stream);
    limit_unsent_bytes(&stream);
    let connection = Rc::new(CallerConnection::new(
        gateway.clone(),
        is_surplus,
        queued_ms,
    ));
    let head_bytes = connection
        .limits()
        .max_header_bytes
        .max(MIN_HEAD_BUFFER_BYTES)
        + HEAD_SLACK_BYTES;
    let service = service_fn(|request: Request<Incoming>| {
        let connection = connection.clone();
        // Begins at once, since the HTTP library reads on before it polls the future.
        let guard = connection.begin_request(&request);
        async move { Ok::<_, Infallible>(connection.answer(request, guard).await) }
    });
    // Timeouts are those of `CallerConnection`; the HTTP library's do not follow the configuration.
    let mut http = http1::Builder::new()
        .max_buf_size(head_bytes)
        .serve_connection(
            TokioIo::new(CallerIo::new(stream, connection.clone())),
            service,
        );
    let mut phase = gateway.phase.subscribe();
    let mut limits = gateway.caller_limits.subscribe();
    let mut revoked_until = None;
    let result = loop {
        let polled = std::future::poll_fn(|context| {
            let result = Pin::new(&mut http).poll(context);
            if result.is_pending() {
                connection.update_check();
            }
            result
        });
        let check_at = connection.next_check_at();
        tokio::select! {
            biased;
            result = polled => break Some(result),
            () = connection.recheck.notified() => {}
            _ = phase.changed() => {}
            _ = limits.changed() => {}
            () = connection.account.revoked(), if revoked_until.is_none() => {
                let wait_ms = if connection.ends_when_revoked() { REVOKED_MS } else { 0 };
                revoked_until = Some(gateway.now().plus_ms(wait_ms));
            }
            () = gateway.clock.sleep_until(revoked_until.unwrap_or(check_at)) => {}
        }
        let is_over = revoked_until.is_some_and(|until| gateway.now() >= until);
        if connection.is_cut_unmarked() || is_over {
            break None;
        }
    };
    connection.log_rest();
    let why = match &result {
        Some(result) => end_reason(&connection, result),
        None if connection.account.is_revoked() => "revoked",
        None => "cut",
    };
    let is_cut = matches!(why, "cut" | "revoked");
    let is_to_reset = is_cut && connection.has_unframed_streams.get();
    gateway.metrics.count("connections_ended", why);
    log_event!(
        debug,
        ConnectionEnded,
        why,
        requests = connection.requests.get(),
        is_stopping = connection.phase() != Phase::Serving,
        error = result.and_then(Result::err).map(|error| error.to_string()),
        "a caller's connection ended"
    );
    let io = http.into_parts().io.into_inner();
    if is_to_reset {
        io.reset();
        return;
    }
    let linger_ms = match connection.account.is_revoked() {
        true => LINGER_IDLE_AT_STOP_MS,
        false => LINGER_MS,
    };
    let until = gateway.now().plus_ms(linger_ms);
    (connection.account).set_activity(Activity::Ended, gateway.now());
    io.linger(until, gateway.clock).await;
}

/// Returns why a connection ended, for metrics and the log.
fn end_reason(connection: &CallerConnection, result: &hyper::Result<()>) -> &'static str {
    match result {
        // The body of an answer was aborted.
        Err(error) if error.is_user() => "cut",
        Err(_) if connection.stage.get() == Stage::Request => "cut",
        Err(_) if connection.has_caller_ended() => "caller",
        Err(_) => "failed",
        Ok(()) if connection.has_caller_ended() => "caller",
        Ok(()) if connection.requests.get() == 0 => "unused",
        Ok(()) if connection.phase() >= Phase::Closing => "stop",
        Ok(()) => "idle",
    }
}
