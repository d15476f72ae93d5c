//! When a stream that has fallen silent is given up at its group.
//!
//! A group that lost a member goes on accepting requests and makes no progress. Its streams stop
//! together, which tells it from a single request that waits in a queue or was preempted.

use jacinthpoint_fleet::{Engine, ModelSpec};
use jacinthpoint_types::TimeMs;

/// StallPolicy beyond some passes that no healthy group shows: a pass that reads long prompts.
const FLOOR_MS: f64 = 320.0;
/// Passes that may be missed.
const PASSES: f64 = 3.0;
/// Times the limit for which a request waits for its first event at a group that shows no other:
/// it may stand in a queue, or its prompt be read, and only streams that flowed and stopped tell.
const WAITING_FACTOR: u64 = 3;
/// Times the group's silence after which a single stream is given up although others flow.
const LONE_FACTOR: u64 = 4;

/// Time between two looks at a request that waits.
const LOOK_AGAIN_MS: u64 = 100;

/// How long silence is borne.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallPolicy {
    limit_ms: u64,
}

/// What a silence means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallState {
    /// Look again at this time.
    CheckAgainAt(TimeMs),
    /// The whole group makes no progress.
    GroupStalled,
    /// Only this stream makes no progress.
    StreamStalled,
}

impl StallPolicy {
    /// The limit for groups of a model.
    pub fn new(engine: &Engine, model: &ModelSpec) -> StallPolicy {
        let pass_ms = engine.pass_ms(model, f64::from(engine.slots));
        StallPolicy {
            limit_ms: (FLOOR_MS + PASSES * pass_ms) as u64,
        }
    }

    /// The first time to look, for a stream that last gave a sign at `since`.
    pub fn first_check(self, since: TimeMs) -> TimeMs {
        since.plus_ms(self.limit_ms)
    }

    /// Judges a stream that last gave a sign at `stream_at` (its sending, before its first event)
    /// at a group that last had any event at `group_at`.
    pub fn check_stream(
        self,
        stream_at: TimeMs,
        group_at: Option<TimeMs>,
        now: TimeMs,
    ) -> StallState {
        if now.since_ms(stream_at) < self.limit_ms {
            return StallState::CheckAgainAt(self.first_check(stream_at));
        }
        let group_at = group_at.map_or(stream_at, |at| at.max(stream_at));
        if now.since_ms(group_at) >= self.limit_ms {
            return StallState::GroupStalled;
        }
        if now.since_ms(stream_at) >= self.limit_ms * LONE_FACTOR {
            return StallState::StreamStalled;
        }
        StallState::CheckAgainAt(self.first_check(group_at))
    }

    /// Whether a request that waits for its first event since `sent_at` is a reason to ask the
    /// group's members for a sign of life.
    pub fn should_probe_members(
        self,
        sent_at: TimeMs,
        group_at: Option<TimeMs>,
        now: TimeMs,
    ) -> bool {
        let since = group_at.map_or(sent_at, |at| at.max(sent_at));
        now.since_ms(since) >= self.limit_ms
    }

    /// StallPolicy that no healthy group shows.
    pub fn limit_ms(self) -> u64 {
        self.limit_ms
    }

    /// Judges a request that waits for its first event since `sent_at`. `is_known_silent` tells
    /// that the group is known to make no progress.
    pub fn check_waiting(
        self,
        sent_at: TimeMs,
        group_at: Option<TimeMs>,
        is_known_silent: bool,
        now: TimeMs,
    ) -> StallState {
        let since = group_at.map_or(sent_at, |at| at.max(sent_at));
        let waited_ms = now.since_ms(since);
        let is_lost = is_known_silent && waited_ms >= self.limit_ms;
        if is_lost || waited_ms >= self.limit_ms * WAITING_FACTOR {
            return StallState::GroupStalled;
        }
        if now.since_ms(sent_at) >= self.limit_ms * WAITING_FACTOR * LONE_FACTOR {
            return StallState::StreamStalled;
        }
        StallState::CheckAgainAt(now.plus_ms(LOOK_AGAIN_MS))
    }
}
