//! Reads the stream of one attempt: splits it into whole events, and finds how it ended and whether it is
//! stalled.

use std::{
    pin::Pin,
    sync::Arc,
    task::{self, Poll, ready},
};

use bytes::Bytes;
use hyper::{
    HeaderMap,
    body::{Body, Incoming},
};
use jacinthpoint_dispatch::{AnswerSample, LoadTracker, StallPolicy, StallState, Target};
use jacinthpoint_types::TimeMs;

use crate::{
    buffered::UnfinishedAnswer,
    call::{
        answer::{is_framed, states_event_stream},
        attempt::{InFlightGuard, OpenAnswer, log_capacity, report_stall},
        context::Context,
        event_splitter::{EventSplitter, Piece, StreamPosition},
        outcome::{Awaited, BreakPoint, log_stall, record_suspected_crash},
    },
    connection::Connection,
};

/// Time between two checks of a stalled stream.
pub(super) const RECHECK_INTERVAL_MS: u64 = 100;

/// Maximum length of the comments of a stream that are held.
const MAX_HELD_BYTES: usize = 64 * 1_024;
/// Maximum number of pieces with such comments.
const MAX_HELD_PIECES: usize = 256;

/// What one frame of an attempt's stream brought.
#[derive(Debug)]
pub(super) enum StreamStep {
    /// Whole events.
    Events(Piece),
    /// No whole event yet.
    Nothing,
    /// The stream ended regularly.
    Complete,
    /// The stream broke off, or does not go on where it should; holds the reason.
    Broken(String),
}

/// An attempt whose answer is a stream. Dropping it gives the attempt up.
#[derive(Debug)]
pub(super) struct OpenStream {
    pub(super) target: Arc<Target>,
    connection: Connection,
    in_flight: InFlightGuard,
    fields: HeaderMap,
    body: Incoming,
    /// Whether the end of the answer is marked, by a length or by chunks.
    is_framed: bool,
    /// Whether the stream may end without an event.
    may_end_without_event: bool,
    splitter: EventSplitter,
    unfinished: UnfinishedAnswer,
    /// Whether reading waits until callers have read theirs.
    is_paused: bool,
    /// Number of pieces with whole events.
    pieces: u32,
    /// Time of the last event or, before any, that of the head.
    progress_at: TimeMs,
    last_event_at: Option<TimeMs>,
    /// Comments that came while it was not known whether the stream goes on here.
    held_comments: Vec<Bytes>,
    /// Whether anything of this attempt was forwarded.
    is_forwarded: bool,
    /// Whether it was logged that the stream is stalled, since its last event.
    was_stall_logged: bool,
    stall_policy: Option<StallPolicy>,
    /// Time at which [`OpenStream::check`] is due.
    pub(super) check_at: TimeMs,
}

impl OpenStream {
    /// Begins to read an answer. It has to go on after the event `must_follow`, if there is one.
    pub(super) fn new(
        context: &Context,
        open: OpenAnswer,
        must_follow: Option<String>,
    ) -> OpenStream {
        let now = context.gateway.now();
        let stall_policy = context.stall_policy();
        let (head, body) = open.response.into_parts();
        let is_framed = is_framed(&head.headers, &body);
        // A server that begins or goes on with a stream may have no more events, and says so.
        let may_end_without_event =
            is_framed && (must_follow.is_none() || states_event_stream(&head.headers));
        OpenStream {
            target: open.target,
            connection: open.connection,
            in_flight: open.in_flight,
            fields: head.headers,
            body,
            is_framed,
            may_end_without_event,
            splitter: EventSplitter::new(must_follow),
            unfinished: context.gateway.memory.answers().begin_answer(),
            is_paused: false,
            pieces: 0,
            progress_at: now,
            last_event_at: None,
            held_comments: Vec::new(),
            is_forwarded: false,
            was_stall_logged: false,
            stall_policy,
            check_at: match stall_policy {
                Some(policy) => policy.first_check(now),
                None => context.deadline.0,
            },
        }
    }

    /// Polls for the next frame. Whole events move `position`.
    pub(super) fn poll_step(
        &mut self,
        context: &Context,
        position: &mut StreamPosition,
        task: &mut task::Context<'_>,
    ) -> Poll<StreamStep> {
        let may_read = self.unfinished.poll_may_read(task);
        self.is_paused = may_read.is_pending();
        if let Err(error) = ready!(may_read) {
            return Poll::Ready(StreamStep::Broken(error.to_string()));
        }
        let frame = ready!(Pin::new(&mut self.body).poll_frame(task));
        Poll::Ready(match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => self.on_bytes(context, bytes, position),
                // Trailers are dropped.
                Err(_) => StreamStep::Nothing,
            },
            Some(Err(error)) => {
                if self.pieces < 2 {
                    self.record_break(context);
                }
                StreamStep::Broken(error.to_string())
            }
            None if self.splitter.has_incomplete_event() => {
                // With a length or chunks, the upstream has ended the answer itself.
                if self.pieces < 2 && !self.is_framed {
                    self.record_break(context);
                }
                StreamStep::Broken("the stream ended within an event".to_owned())
            }
            None if !self.splitter.has_event() && !self.may_end_without_event => {
                if !self.is_framed {
                    self.record_break(context);
                }
                StreamStep::Broken("the stream ended before an event".to_owned())
            }
            None => StreamStep::Complete,
        })
    }

    /// Records that the connection broke before the second event.
    fn record_break(&self, context: &Context) {
        let sent_at = self.in_flight.sent_at();
        record_suspected_crash(context, &self.target, BreakPoint::AfterHead, sent_at);
    }

    fn on_bytes(
        &mut self,
        context: &Context,
        bytes: Bytes,
        position: &mut StreamPosition,
    ) -> StreamStep {
        let pushed = self.splitter.push(bytes, position);
        self.unfinished.set_bytes(self.splitter.buffer_bytes());
        let piece = match pushed {
            Ok(Some(piece)) => piece,
            Ok(None) => return StreamStep::Nothing,
            Err(error) => return StreamStep::Broken(error.to_string()),
        };
        self.pieces += 1;
        if self.pieces == 2 {
            context.record_answer();
        }
        self.in_flight.on_event();
        let gateway = &context.gateway;
        let now = gateway.now();
        let last_event_at = self.last_event_at.replace(now);
        let gap_ms = last_event_at.map(|begin| now.since_ms(begin));
        let mut loads = gateway.loads.borrow_mut();
        loads.on_event(&self.target.key, gap_ms, now);
        let lowered = gap_ms
            .and_then(|gap_ms| learn_from_gap(context, &self.target, &mut loads, gap_ms, now));
        drop(loads);
        if let Some((sample, capacity)) = lowered {
            log_capacity(context, &self.target, sample, capacity);
        }
        self.progress_at = now;
        self.was_stall_logged = false;
        StreamStep::Events(piece)
    }

    /// Returns what is to be forwarded after a piece. If it is not decided that the stream goes on here, comments
    /// are held until then, because they do not show it.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too many of them.
    pub(super) fn forwardable(
        &mut self,
        piece: Piece,
        is_decided: bool,
    ) -> Result<Vec<Bytes>, &'static str> {
        if !is_decided && !piece.has_content && !self.is_forwarded {
            self.held_comments.push(piece.bytes);
            let held_bytes: usize = self.held_comments.iter().map(Bytes::len).sum();
            return match held_bytes > MAX_HELD_BYTES || self.held_comments.len() > MAX_HELD_PIECES {
                true => Err("the stream has comments and no event"),
                false => Ok(Vec::new()),
            };
        }
        self.is_forwarded = true;
        let mut pieces = std::mem::take(&mut self.held_comments);
        pieces.push(piece.bytes);
        Ok(pieces)
    }

    /// Returns the headers of the answer.
    pub(super) fn fields(&self) -> &HeaderMap {
        &self.fields
    }

    /// Keeps the connection of a stream that ended regularly for other requests.
    pub(super) fn finish(self, context: &Context) {
        let gateway = &context.gateway;
        if self.pieces == 1 {
            context.record_answer();
        }
        gateway.pool.put_back(
            &self.target.key,
            self.connection,
            &self.fields,
            gateway.now(),
        );
        gateway.loads.borrow_mut().on_success(&self.target.key);
    }

    /// Checks at [`OpenStream::check_at`] whether the stream is stalled, and sets the time of the next check. Logs it
    /// once.
    ///
    /// Reports the group as stalled if it is.
    pub(super) fn check(&mut self, context: &Context) -> bool {
        let gateway = &context.gateway;
        let now = gateway.now();
        self.check_at = now.plus_ms(RECHECK_INTERVAL_MS);
        let Some(policy) = self.stall_policy else {
            return false;
        };
        if self.is_paused {
            self.progress_at = now;
            return false;
        }
        // What arrived while the process did not run has not been read yet.
        if gateway.pauses.possible_age_ms(now) > 0 {
            return false;
        }
        let key = &self.target.key;
        let loads = gateway.loads.borrow();
        let group_event_at = loads.last_event_at(key, now);
        let is_suspended_or_stalled = loads.is_suspended_or_stalled(key, Some(policy), now);
        drop(loads);
        let had_event = self.last_event_at.is_some();
        let verdict = if had_event {
            policy.check_stream(self.progress_at, group_event_at, now)
        } else {
            policy.check_waiting(
                self.progress_at,
                group_event_at,
                is_suspended_or_stalled,
                now,
            )
        };
        match verdict {
            StallState::CheckAgainAt(at) => {
                self.check_at = at;
                return false;
            }
            // Before the first event, the group is reported only here. That may be later than for an
            // attempt that waits for its head: see `Attempt::check`.
            StallState::GroupStalled => report_stall(gateway, &self.target, had_event),
            StallState::StreamStalled => {}
        }
        if !std::mem::replace(&mut self.was_stall_logged, true) {
            let awaited = if had_event {
                Awaited::Event
            } else {
                Awaited::FirstEvent
            };
            log_stall(context, &self.target, awaited, self.progress_at);
        }
        true
    }

    /// Returns the time since the last event or, before any, since the head, in milliseconds.
    pub(super) fn silent_ms(&self, now: TimeMs) -> u64 {
        now.since_ms(self.progress_at)
    }
}

/// Records what the time between two events of a stream shows of its group. Returns the group's new
/// capacity in requests, and why, if it was lowered.
fn learn_from_gap(
    context: &Context,
    target: &Target,
    loads: &mut LoadTracker,
    gap_ms: u64,
    now: TimeMs,
) -> Option<(AnswerSample, f64)> {
    if !loads.capacities.is_enabled() {
        return None;
    }
    let engine = context.engine()?;
    let model = engine.model(context.model.as_ref()?.as_str())?;
    let requests = loads.load(&target.key, now);
    let running = requests.min(f64::from(engine.slots));
    let predicted_ms = engine.pass_ms(model, running);
    loads
        .capacities
        .on_gap(&target.key, gap_ms as f64, predicted_ms, now);
    let sample = AnswerSample {
        requests,
        slots: target.slots,
        is_late: gap_ms > context.route.gap_objective_ms,
        began_at: TimeMs(now.0.saturating_sub(gap_ms)),
    };
    let lowered = loads.capacities.on_answer(&target.key, sample, now)?;
    Some((sample, lowered))
}
