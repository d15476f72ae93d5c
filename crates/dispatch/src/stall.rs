//! Detection of streams and groups that make no progress.
//!
//! A group that lost a member still accepts requests but produces no further events. All of its
//! streams stop at the same time, which distinguishes it from a healthy group in which one request
//! is queued or preempted. [`StallPolicy`] decides from the times of the last events whether a stream is
//! stalled, so that another attempt may be made beside it. An engine runs its streams together in passes,
//! and each stream has an event after each pass.

use jacinthpoint_fleet::{Engine, ModelSpec};
use jacinthpoint_types::TimeMs;

/// Fixed part of the stall limit. A pass that reads long prompts takes this much longer than a
/// usual pass, and no healthy group pauses for longer.
const BASE_LIMIT_MS: f64 = 320.0;
/// Number of passes at full batch that may go by without an event before a group is considered
/// stalled.
const MISSED_PASSES: f64 = 3.0;
/// Multiple of the stall limit for a request that waits for its first event at a group without
/// other events. Such a request may be queued, or its prompt is being read. Once a stream has had
/// an event, this multiple does not apply: if no stream of the group has an event within the limit
/// itself, the group counts as stalled.
const FIRST_EVENT_FACTOR: u64 = 3;
/// Multiple of the group's limit after which one stream is considered stalled although the group
/// still produces events for others.
const SINGLE_STREAM_FACTOR: u64 = 4;

/// Time between two checks of a request that waits for its first event.
const CHECK_INTERVAL_MS: u64 = 100;

/// Time without events after which streams and groups of a model are considered stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallPolicy {
    limit_ms: u64,
}

/// Result of checking a stream for a stall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallState {
    /// No stall is detected yet; the next check is due at this time.
    CheckAgainAt(TimeMs),
    /// The whole group makes no progress.
    GroupStalled,
    /// Only this stream makes no progress.
    StreamStalled,
}

impl StallPolicy {
    /// Computes the limit for groups that serve `model`.
    pub fn new(engine: &Engine, model: &ModelSpec) -> StallPolicy {
        let pass_ms = engine.pass_ms(model, f64::from(engine.slots));
        StallPolicy {
            limit_ms: (BASE_LIMIT_MS + MISSED_PASSES * pass_ms) as u64,
        }
    }

    /// Returns the time of the first check for a stall after `since`, the time of the last event
    /// or, before any event, the time at which the request was sent.
    pub fn first_check(self, since: TimeMs) -> TimeMs {
        since.plus_ms(self.limit_ms)
    }

    /// Checks a stream that had events, the last one at `stream_event_at`; a stream without events
    /// is checked by [`StallPolicy::check_waiting`]. `group_event_at` is the time of the last event
    /// of any stream of the group, `None` if there was none.
    pub fn check_stream(
        self,
        stream_event_at: TimeMs,
        group_event_at: Option<TimeMs>,
        now: TimeMs,
    ) -> StallState {
        if now.since_ms(stream_event_at) < self.limit_ms {
            return StallState::CheckAgainAt(self.first_check(stream_event_at));
        }
        let group_event_at = group_event_at.map_or(stream_event_at, |at| at.max(stream_event_at));
        if now.since_ms(group_event_at) >= self.limit_ms {
            return StallState::GroupStalled;
        }
        if now.since_ms(stream_event_at) >= self.limit_ms * SINGLE_STREAM_FACTOR {
            return StallState::StreamStalled;
        }
        StallState::CheckAgainAt(self.first_check(group_event_at))
    }

    /// Returns whether to probe the members of a group because a request sent at `sent_at` has
    /// waited for its first event for the limit and no stream of the group had an event within it.
    /// `group_event_at` is as in [`StallPolicy::check_stream`].
    pub fn should_probe_members(
        self,
        sent_at: TimeMs,
        group_event_at: Option<TimeMs>,
        now: TimeMs,
    ) -> bool {
        let since = group_event_at.map_or(sent_at, |at| at.max(sent_at));
        now.since_ms(since) >= self.limit_ms
    }

    /// Returns the stall limit: a healthy group with running streams produces an event within it.
    pub fn limit_ms(self) -> u64 {
        self.limit_ms
    }

    /// Checks a request that was sent at `sent_at` and waits for its first event. `group_event_at`
    /// is as in [`StallPolicy::check_stream`]. `is_known_stalled` is set if the group is suspended
    /// or the reports of all gateways show that it is stalled; the request then counts as stalled after
    /// the limit itself instead of a multiple of it.
    pub fn check_waiting(
        self,
        sent_at: TimeMs,
        group_event_at: Option<TimeMs>,
        is_known_stalled: bool,
        now: TimeMs,
    ) -> StallState {
        let since = group_event_at.map_or(sent_at, |at| at.max(sent_at));
        let waited_ms = now.since_ms(since);
        let is_confirmed = is_known_stalled && waited_ms >= self.limit_ms;
        if is_confirmed || waited_ms >= self.limit_ms * FIRST_EVENT_FACTOR {
            return StallState::GroupStalled;
        }
        // The group produces events, but none for this request.
        if now.since_ms(sent_at) >= self.limit_ms * FIRST_EVENT_FACTOR * SINGLE_STREAM_FACTOR {
            return StallState::StreamStalled;
        }
        StallState::CheckAgainAt(now.plus_ms(CHECK_INTERVAL_MS))
    }
}
