//! Limits that upstreams name in their answers, and permits to send requests to a limited upstream.
//!
//! An upstream in need names how many requests a second it takes from all gateways together. No
//! gateway knows what the others send. A fixed share for each gateway fails as soon as gateways
//! come or go, and it allows too much if there are many gateways, since each sends whole requests.
//! So a request to a limited upstream needs a permit. One of the gateways, the hub, issues permits
//! at the named rate to the gateways that ask; see [`crate::PermitIssuer`]. A permit is for one
//! request and expires soon, so the hub knows what can still be sent. A gateway without a permit
//! sends the request elsewhere or refuses it.

use std::{cell::Cell, collections::BTreeMap};

use jacinthpoint_types::{Deadline, PerSecond, TimeMs, VmId};
use serde::{Deserialize, Serialize};

/// Largest difference between the ages of two statements that the delays of datagrams can cause.
const MAX_AGE_ERROR_MS: u64 = 100;
/// Time for which a permit may be used. It is short, since the requests of all valid permits may
/// arrive at once.
const PERMIT_VALID_MS: u64 = 500;
/// Time after the last request that needed a permit for which a gateway asks for one in advance.
const WANTED_MS: u64 = 2_000;
/// Time after which the end of a limit is forgotten. By then, all gateways have heard of it.
const END_KEPT_MS: u64 = 30_000;
/// Time after its last statement for which the limit of an upstream that is not listed is kept.
const UNLISTED_KEPT_MS: u64 = 60_000;
/// Time between two requests for a permit of the same upstream.
const ASK_INTERVAL_MS: u64 = 50;
/// Maximum number of upstreams in one report or answer, so that it fits into a datagram: each takes
/// up to 90 bytes with the longest name.
pub const MAX_LIMIT_REPORTS: usize = 16;

/// What an upstream stated about its limit in an answer. It was true at some time between
/// `asked_at` and `heard_at`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Statement {
    /// `None` after the limit ended.
    pub(crate) limit: Option<PerSecond>,
    /// Time at which the request was sent.
    pub(crate) asked_at: TimeMs,
    /// Time at which the answer was read. A gateway that was frozen reads answers late.
    pub(crate) heard_at: TimeMs,
}

impl Statement {
    /// Returns the statement of a gateway or hub with the ages that it has at `now`.
    pub(crate) fn with_ages(
        limit: Option<PerSecond>,
        ages: StatementAges,
        now: TimeMs,
    ) -> Statement {
        let at = |age_ms: u32| TimeMs(now.0.saturating_sub(u64::from(age_ms)));
        Statement {
            limit,
            asked_at: at(ages.asked_ms),
            heard_at: at(ages.heard_ms),
        }
    }

    /// Returns the ages at `now`.
    pub(crate) fn ages(&self, now: TimeMs) -> StatementAges {
        let age_ms = |at: TimeMs| u32::try_from(now.since_ms(at)).unwrap_or(u32::MAX);
        StatementAges {
            asked_ms: age_ms(self.asked_at),
            heard_ms: age_ms(self.heard_at),
        }
    }

    /// Replaces this statement with `next`, unless `next` may be older. If it cannot be told which
    /// of the two is the newer one, the lower limit stays.
    pub(crate) fn update(&mut self, next: Statement) {
        let per_s = |limit: Option<PerSecond>| limit.map_or(f64::INFINITY, |limit| limit.0);
        let (before, after) = (per_s(self.limit), per_s(next.limit));
        if after == before {
            self.asked_at = self.asked_at.max(next.asked_at);
            self.heard_at = self.heard_at.max(next.heard_at);
            return;
        }
        let is_newer = if after < before {
            next.heard_at >= self.asked_at
        } else {
            next.asked_at > self.heard_at.plus_ms(MAX_AGE_ERROR_MS)
        };
        if is_newer {
            *self = next;
        }
    }
}

/// Ages of a statement on the wire.
///
/// The order and types of the fields must not change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementAges {
    /// Time in ms since the request was sent.
    pub asked_ms: u32,
    /// Time in ms since the answer was read.
    pub heard_ms: u32,
}

/// Statement of an upstream as one gateway reports it to the hub, which may ask for a permit.
///
/// It goes over the wire through postcard: the order and types of the fields must not change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The upstream.
    pub upstream: VmId,
    /// Limit that it named; `None` after the limit ended.
    pub limit: Option<PerSecond>,
    /// Ages of the statement.
    pub ages: StatementAges,
    /// Whether the gateway asks for a permit.
    pub wants_permit: bool,
}

/// The hub's newest statement of an upstream, with the permits that it issues.
///
/// It goes over the wire through postcard: the order and types of the fields must not change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitAnswer {
    /// The upstream.
    pub upstream: VmId,
    /// Limit that it named; `None` after the limit ended.
    pub limit: Option<PerSecond>,
    /// Ages of the statement.
    pub ages: StatementAges,
    /// Number of permits.
    pub permits: u8,
}

/// A limited upstream at one gateway.
#[derive(Debug)]
struct State {
    statement: Statement,
    /// Ends of the permits, the oldest first.
    permits: Vec<Deadline>,
    /// Time of the last request that needed a permit.
    wanted_at: Cell<Option<TimeMs>>,
    /// Time of the last report to the hub.
    reported_at: TimeMs,
}

impl State {
    fn has_permit(&self, now: TimeMs) -> bool {
        self.permits.iter().any(|until| !until.has_passed(now))
    }

    fn wants_permit(&self, now: TimeMs) -> bool {
        let wanted_at = self.wanted_at.get();
        self.statement.limit.is_some()
            && !self.has_permit(now)
            && wanted_at.is_some_and(|at| now.since_ms(at) < WANTED_MS)
    }
}

/// Limits of upstreams as one gateway knows them, and its permits.
#[derive(Debug, Default)]
pub struct UpstreamLimits {
    states: BTreeMap<VmId, State>,
}

impl UpstreamLimits {
    /// Records the limit that an upstream names in an answer, or `None` for an answer without one.
    /// The request was sent at `asked_at`. Returns whether the limit differs from the one known
    /// before.
    pub fn on_answer(
        &mut self,
        upstream: &VmId,
        limit: Option<PerSecond>,
        asked_at: TimeMs,
        now: TimeMs,
    ) -> bool {
        if limit.is_none() && !self.states.contains_key(upstream) {
            return false;
        }
        let statement = Statement {
            limit,
            asked_at,
            heard_at: now,
        };
        self.record(upstream, statement)
    }

    /// Records an answer of the hub, or a part of one. Returns the upstreams whose limit differs
    /// from the one known before.
    pub fn on_hub_answer(&mut self, answers: &[LimitAnswer], now: TimeMs) -> Vec<VmId> {
        let mut changed = Vec::new();
        for answer in answers {
            let is_known = self.states.contains_key(&answer.upstream);
            if !is_valid(answer.limit) || (answer.limit.is_none() && !is_known) {
                continue;
            }
            let statement = Statement::with_ages(answer.limit, answer.ages, now);
            // The hub's times are later by the delay of its datagrams. Without a change, the time
            // stays, or statements would grow younger as they go back and forth.
            let is_new = self.limit(&answer.upstream) != answer.limit;
            if is_new && self.record(&answer.upstream, statement) {
                changed.push(answer.upstream.clone());
            }
            if let Some(state) = self.states.get_mut(&answer.upstream) {
                let until = Deadline::after_ms(now, PERMIT_VALID_MS);
                let permits = std::iter::repeat_n(until, usize::from(answer.permits));
                state.permits.retain(|until| !until.has_passed(now));
                state.permits.extend(permits);
            }
        }
        changed
    }

    /// Stores a statement unless a newer one is known; returns whether the limit changed.
    fn record(&mut self, upstream: &VmId, statement: Statement) -> bool {
        let Some(state) = self.states.get_mut(upstream) else {
            let state = State {
                statement,
                permits: Vec::new(),
                wanted_at: Cell::new(None),
                reported_at: TimeMs::default(),
            };
            self.states.insert(upstream.clone(), state);
            return statement.limit.is_some();
        };
        let before = state.statement.limit;
        state.statement.update(statement);
        before != state.statement.limit
    }

    /// Returns the limit of an upstream; `None` if it has none.
    pub fn limit(&self, upstream: &VmId) -> Option<PerSecond> {
        self.states.get(upstream)?.statement.limit
    }

    /// Returns whether a request may be sent to an upstream: the upstream has no limit, or this
    /// gateway has a permit. Otherwise the gateway will ask for one.
    pub fn may_send(&self, upstream: &VmId, now: TimeMs) -> bool {
        let Some(state) = self.states.get(upstream) else {
            return true;
        };
        if state.statement.limit.is_none() {
            return true;
        }
        state.wanted_at.set(Some(now));
        state.has_permit(now)
    }

    /// Records that a request is sent to an upstream, which uses a permit if the upstream is
    /// limited.
    pub fn on_sent(&mut self, upstream: &VmId, now: TimeMs) {
        if let Some(state) = self.states.get_mut(upstream) {
            state.permits.retain(|until| !until.has_passed(now));
            if state.statement.limit.is_some() && !state.permits.is_empty() {
                state.permits.remove(0);
            }
        }
    }

    /// Returns the reports for the hub that are due, at most [`MAX_LIMIT_REPORTS`]: those with a
    /// statement since the last report, and those that ask for a permit.
    ///
    /// They ask for none if `is_counted` is not set: until all other gateways count this one, some
    /// of them may use another hub than this one does, and issue the whole limit there.
    pub fn due_reports(&mut self, is_counted: bool, now: TimeMs) -> Vec<LimitReport> {
        let wants_permit = |state: &State| is_counted && state.wants_permit(now);
        let is_due = |state: &State| {
            let may_ask = now.since_ms(state.reported_at) >= ASK_INTERVAL_MS;
            state.statement.heard_at > state.reported_at || (may_ask && wants_permit(state))
        };
        let mut due: Vec<_> = self
            .states
            .iter_mut()
            .filter(|(_, state)| is_due(state))
            .collect();
        // The reports that waited longest come first, so that none waits for ever.
        due.sort_by_key(|(_, state)| state.reported_at);
        due.truncate(MAX_LIMIT_REPORTS);
        due.into_iter()
            .map(|(upstream, state)| {
                state.reported_at = now;
                LimitReport {
                    upstream: upstream.clone(),
                    limit: state.statement.limit,
                    ages: state.statement.ages(now),
                    wants_permit: wants_permit(state),
                }
            })
            .collect()
    }

    /// Drops the limits that ended long ago, and those of upstreams that are not listed any more.
    /// An entry may be away for a time, so the latter are kept until [`UNLISTED_KEPT_MS`] after the
    /// last statement.
    pub fn retain(&mut self, is_listed: impl Fn(&VmId) -> bool, now: TimeMs) {
        self.states.retain(|upstream, state| {
            let is_recent = now.since_ms(state.statement.heard_at) < UNLISTED_KEPT_MS;
            is_kept(&state.statement, now) && (is_recent || is_listed(upstream))
        });
    }
}

/// Returns whether a statement still matters: it names a limit, or the limit ended recently.
pub(crate) fn is_kept(statement: &Statement, now: TimeMs) -> bool {
    statement.limit.is_some() || now.since_ms(statement.heard_at) < END_KEPT_MS
}

/// Returns whether a limit from another gateway can be used.
pub(crate) fn is_valid(limit: Option<PerSecond>) -> bool {
    limit.is_none_or(PerSecond::is_valid)
}
