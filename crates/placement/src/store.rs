//! The plan as the platform holds it: calls on their way, pacing, and what is known for certain.

use jacinthpoint_types::{Deadline, TimeMs};
use rand::{Rng, rngs::SmallRng};

use crate::{
    event::Action,
    plan::{Plan, PlanVersion},
};

/// How long a read or write that confirmed the plan gives authority for orders, counted from when
/// the call was asked for.
pub const AUTHORITY_MS: u64 = 1_000;
/// How often the plan is read when nothing suggests that it changed.
const POLL_MS: u64 = 10_000;
/// Shortest time between two reads that something suggests.
const READ_GAP_MS: u64 = 250;
/// Shortest time between two writes, so that changes that come together are written together.
const WRITE_GAP_MS: u64 = 250;
/// First pause after a failed call; doubled by each further one.
const BACKOFF_MS: u64 = 250;
/// Longest pause after failed calls.
const MAX_BACKOFF_MS: u64 = 4_000;
/// Writes after an outage are spread over this time, since every domain has some to make.
const RECOVERY_SPREAD_MS: u64 = 2_000;
/// A call without any answer for this long counts as ambiguous.
const CALL_TIMEOUT_MS: u64 = 10_000;

/// The plan as last read or written.
#[derive(Debug, Clone)]
pub(crate) struct KnownPlan {
    pub(crate) version: PlanVersion,
    pub(crate) plan: Plan,
    /// When the call was asked for that last found this version in force.
    pub(crate) confirmed_at: TimeMs,
}

#[derive(Debug, Clone)]
enum Call {
    Read,
    Write(Box<Plan>),
}

/// Traffic with the platform over one plan.
#[derive(Debug, Default)]
pub(crate) struct PlanStore {
    known: Option<KnownPlan>,
    call: Option<(Call, Deadline)>,
    /// A write that may have taken effect.
    unsure: Option<Plan>,
    wants_read: bool,
    read_at: Option<TimeMs>,
    failures: u32,
    is_down: bool,
    may_call_at: TimeMs,
    may_write_at: TimeMs,
}

impl PlanStore {
    pub(crate) fn known(&self) -> Option<&KnownPlan> {
        self.known.as_ref()
    }

    /// Whether the last call to the platform failed.
    pub(crate) fn is_down(&self) -> bool {
        self.is_down
    }

    /// A write that may have taken effect and was not read back yet.
    pub(crate) fn unsure(&self) -> Option<&Plan> {
        self.unsure.as_ref()
    }

    /// Whether another plan may be in force in a moment.
    pub(crate) fn is_writing(&self) -> bool {
        matches!(self.call, Some((Call::Write(_), _)))
    }

    /// Asks for a read at the next opportunity.
    pub(crate) fn want_read(&mut self) {
        self.wants_read = true;
    }

    pub(crate) fn may_write(&self, now: TimeMs) -> bool {
        let is_certain = self.unsure.is_none() && self.call.is_none() && self.known.is_some();
        is_certain && !self.wants_read && !self.is_down && now >= self.may_write_at
    }

    /// Asks for a write over the plan known.
    pub(crate) fn write(&mut self, now: TimeMs, plan: Plan) -> Option<Action> {
        let expected = self.known.as_ref()?.version;
        let deadline = Deadline::after_ms(now, CALL_TIMEOUT_MS);
        self.call = Some((Call::Write(Box::new(plan.clone())), deadline));
        self.may_write_at = now.plus_ms(WRITE_GAP_MS);
        Some(Action::WritePlan { expected, plan })
    }

    /// Asks for a read if one is due.
    pub(crate) fn read_if_due(&mut self, now: TimeMs) -> Option<Action> {
        self.give_up_lost_call(now);
        if self.call.is_some() || now < self.may_call_at {
            return None;
        }
        let since_read_ms = self.read_at.map(|at| now.since_ms(at));
        let is_urgent = self.unsure.is_some() || self.known.is_none() || self.is_down;
        let is_wanted = self.wants_read && since_read_ms.is_none_or(|ms| ms >= READ_GAP_MS);
        let is_stale = since_read_ms.is_none_or(|ms| ms >= POLL_MS);
        if !(is_urgent || is_wanted || is_stale) {
            return None;
        }
        self.read_at = Some(now);
        self.call = Some((Call::Read, Deadline::after_ms(now, CALL_TIMEOUT_MS)));
        Some(Action::ReadPlan)
    }

    fn give_up_lost_call(&mut self, now: TimeMs) {
        let is_lost = |(_, deadline): &(Call, Deadline)| deadline.has_passed(now);
        if self.call.as_ref().is_some_and(is_lost) {
            self.on_ambiguous();
        }
    }

    /// The plan was found; tells whether another one than before is in force.
    pub(crate) fn on_found(
        &mut self,
        now: TimeMs,
        asked_at: TimeMs,
        version: PlanVersion,
        plan: Plan,
        rng: &mut SmallRng,
    ) -> bool {
        self.on_answer(now, rng);
        self.call = None;
        // An answer that was asked for before a later one says nothing new, however late it comes.
        // A lower version in a newer answer means that the object was lost.
        let is_older = self
            .known
            .as_ref()
            .is_some_and(|known| asked_at < known.confirmed_at);
        if is_older {
            return false;
        }
        self.unsure = None;
        self.wants_read = false;
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

    /// The write on its way took effect; returns the plan written.
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

    /// The answer was lost: the plan is read back before anything else.
    pub(crate) fn on_ambiguous(&mut self) {
        if let Some((Call::Write(plan), _)) = self.call.take() {
            self.unsure = Some(*plan);
        }
    }

    /// The call did nothing.
    pub(crate) fn on_failed(&mut self, now: TimeMs, rng: &mut SmallRng) {
        self.call = None;
        self.is_down = true;
        let pause_ms = BACKOFF_MS << self.failures.min(4);
        let pause_ms = pause_ms.min(MAX_BACKOFF_MS);
        self.failures += 1;
        self.may_call_at = now.plus_ms(rng.random_range(pause_ms / 2..=pause_ms));
    }

    fn on_answer(&mut self, now: TimeMs, rng: &mut SmallRng) {
        if self.is_down {
            let spread_ms = rng.random_range(0..=RECOVERY_SPREAD_MS);
            self.may_write_at = now.plus_ms(spread_ms);
        }
        self.is_down = false;
        self.failures = 0;
    }

    /// Keeps writes back, to let another controller finish.
    pub(crate) fn hold_writes(&mut self, now: TimeMs, ms: u64) {
        self.may_write_at = self.may_write_at.max(now.plus_ms(ms));
    }
}
