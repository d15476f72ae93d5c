//! Reads and writes the plan of the domain on the platform.
//!
//! A call may fail, or its answer may be lost after a write took effect. The store tracks the plan
//! that was last confirmed, a write whose outcome is unknown, and when the next call may be made.

use jacinthpoint_types::{Deadline, TimeMs};
use rand::{Rng, rngs::SmallRng};

use crate::{
    event::Action,
    plan::{Plan, PlanVersion},
};

/// Time for which a confirmed plan permits its writer to send orders, counted from when the
/// confirming read or write was requested.
pub const ORDER_AUTHORITY_MS: u64 = 1_000;
/// Time between two reads if nothing suggests that the plan changed.
const READ_INTERVAL_MS: u64 = 10_000;
/// Minimum time between two reads of a plan that may have changed.
const MIN_READ_GAP_MS: u64 = 250;
/// Minimum time between two writes, so that changes that occur together are written together.
const MIN_WRITE_GAP_MS: u64 = 250;
/// Upper bound of the pause after the first failed call; doubled by each further failure.
const INITIAL_BACKOFF_MS: u64 = 250;
/// Maximum pause after failed calls.
const MAX_BACKOFF_MS: u64 = 4_000;
/// Time over which the first writes after an outage are spread, since every domain has changes to
/// write then.
const RECOVERY_SPREAD_MS: u64 = 2_000;
/// Time without an answer after which the outcome of a call counts as unknown.
const CALL_TIMEOUT_MS: u64 = 10_000;

/// The plan that was last read or written.
#[derive(Debug, Clone)]
pub(crate) struct KnownPlan {
    pub(crate) version: PlanVersion,
    pub(crate) plan: Plan,
    /// When the call was requested that last confirmed this version.
    pub(crate) confirmed_at: TimeMs,
}

/// A call to the platform.
#[derive(Debug, Clone)]
enum Call {
    Read,
    Write(Box<Plan>),
}

/// The known plan and the calls to the platform that read and write it.
#[derive(Debug, Default)]
pub(crate) struct PlanStore {
    known: Option<KnownPlan>,
    /// The call in progress and when it times out.
    call: Option<(Call, Deadline)>,
    /// The plan of a write that may have taken effect.
    uncertain_write: Option<Plan>,
    /// Whether a read that starts from now on is requested. One in progress does not count: its answer
    /// may be older than what the request is about.
    is_read_requested: bool,
    /// When the last read was started.
    read_started_at: Option<TimeMs>,
    /// Consecutive failed calls.
    failures: u32,
    is_unavailable: bool,
    may_call_at: TimeMs,
    may_write_at: TimeMs,
}

impl PlanStore {
    pub(crate) fn known(&self) -> Option<&KnownPlan> {
        self.known.as_ref()
    }

    /// Returns whether the last call to the platform failed.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Returns the plan of a write that may have taken effect and was not read back yet.
    pub(crate) fn uncertain_write(&self) -> Option<&Plan> {
        self.uncertain_write.as_ref()
    }

    /// Returns whether a write is in progress, so that another plan may be in force soon.
    pub(crate) fn is_writing(&self) -> bool {
        matches!(self.call, Some((Call::Write(_), _)))
    }

    /// Requests a read as soon as the minimum time between two reads has passed.
    pub(crate) fn request_read(&mut self) {
        self.is_read_requested = true;
    }

    /// Withdraws the request for a read, since the known plan is as new as what it was about.
    pub(crate) fn withdraw_read_request(&mut self) {
        self.is_read_requested = false;
    }

    /// Returns whether a write may start: the known plan is certain, no call is in progress, the
    /// platform is available and no pause between writes is running.
    pub(crate) fn may_write(&self, now: TimeMs) -> bool {
        let is_certain =
            self.uncertain_write.is_none() && self.call.is_none() && self.known.is_some();
        is_certain && !self.is_read_requested && !self.is_unavailable && now >= self.may_write_at
    }

    /// Returns the action that replaces the known plan.
    pub(crate) fn write(&mut self, now: TimeMs, plan: Plan) -> Option<Action> {
        let expected = self.known.as_ref()?.version;
        let deadline = Deadline::after_ms(now, CALL_TIMEOUT_MS);
        self.call = Some((Call::Write(Box::new(plan.clone())), deadline));
        self.may_write_at = now.plus_ms(MIN_WRITE_GAP_MS);
        Some(Action::WritePlan { expected, plan })
    }

    /// Returns the action that reads the plan, if a read is due.
    pub(crate) fn read_if_due(&mut self, now: TimeMs) -> Option<Action> {
        self.expire_call(now);
        if self.call.is_some() || now < self.may_call_at {
            return None;
        }
        let since_read_ms = self.read_started_at.map(|at| now.since_ms(at));
        let is_urgent =
            self.uncertain_write.is_some() || self.known.is_none() || self.is_unavailable;
        let is_requested_and_due =
            self.is_read_requested && since_read_ms.is_none_or(|ms| ms >= MIN_READ_GAP_MS);
        let is_stale = since_read_ms.is_none_or(|ms| ms >= READ_INTERVAL_MS);
        if !(is_urgent || is_requested_and_due || is_stale) {
            return None;
        }
        self.read_started_at = Some(now);
        self.is_read_requested = false;
        self.call = Some((Call::Read, Deadline::after_ms(now, CALL_TIMEOUT_MS)));
        Some(Action::ReadPlan)
    }

    fn expire_call(&mut self, now: TimeMs) {
        let has_expired = |(_, deadline): &(Call, Deadline)| deadline.has_passed(now);
        if self.call.as_ref().is_some_and(has_expired) {
            self.on_ambiguous();
        }
    }

    /// Records the plan that a call found in force. Returns whether it differs from the known one.
    pub(crate) fn on_plan_found(
        &mut self,
        now: TimeMs,
        asked_at: TimeMs,
        version: PlanVersion,
        plan: Plan,
        rng: &mut SmallRng,
    ) -> bool {
        self.on_answer(now, rng);
        self.call = None;
        // Answers are ordered by the time of their request, not by version: an older request is
        // outdated however late its answer comes, and a lower version in a newer answer means that
        // the stored object was lost.
        let is_older = self
            .known
            .as_ref()
            .is_some_and(|known| asked_at < known.confirmed_at);
        if is_older {
            return false;
        }
        self.uncertain_write = None;
        let is_new = self
            .known
            .as_ref()
            .is_none_or(|known| known.version != version || known.plan != plan);
        self.known = Some(KnownPlan {
            version,
            plan,
            confirmed_at: asked_at,
        });
        is_new
    }

    /// Records that the write in progress took effect. Returns the plan written.
    pub(crate) fn on_written(
        &mut self,
        now: TimeMs,
        asked_at: TimeMs,
        version: PlanVersion,
        rng: &mut SmallRng,
    ) -> Option<Plan> {
        self.on_answer(now, rng);
        let (Call::Write(plan), _) = self.call.take()? else {
            return None;
        };
        self.known = Some(KnownPlan {
            version,
            plan: (*plan).clone(),
            confirmed_at: asked_at,
        });
        Some(*plan)
    }

    /// Records that the outcome of the call is unknown. After a write, the plan is read back before
    /// the next write; a read is repeated.
    pub(crate) fn on_ambiguous(&mut self) {
        match self.call.take() {
            Some((Call::Write(plan), _)) => self.uncertain_write = Some(*plan),
            Some((Call::Read, _)) => self.is_read_requested = true,
            None => {}
        }
    }

    /// Records that the call failed without effect. The next call waits for a random pause.
    pub(crate) fn on_failed(&mut self, now: TimeMs, rng: &mut SmallRng) {
        self.call = None;
        self.is_unavailable = true;
        let pause_ms = INITIAL_BACKOFF_MS << self.failures.min(4);
        let pause_ms = pause_ms.min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.may_call_at = now.plus_ms(rng.random_range(pause_ms / 2..=pause_ms));
    }

    fn on_answer(&mut self, now: TimeMs, rng: &mut SmallRng) {
        if self.is_unavailable {
            let spread_ms = rng.random_range(0..=RECOVERY_SPREAD_MS);
            self.may_write_at = now.plus_ms(spread_ms);
        }
        self.is_unavailable = false;
        self.failures = 0;
    }

    /// Delays the next write by at least `ms`, to let the controller that wrote the known
    /// plan send its orders.
    pub(crate) fn delay_writes(&mut self, now: TimeMs, ms: u64) {
        self.may_write_at = self.may_write_at.max(now.plus_ms(ms));
    }
}
