//! Requests that one gateway may send to cold upstreams.
//!
//! The rate that a cold upstream takes holds over all gateways together, so each request needs a
//! permit of the hub, as with limits that upstreams name ([`crate::UpstreamLimits`]). The window is
//! shorter here: one second. A permit is therefore valid from when it was asked for, not from when
//! it arrived, which a gateway that was frozen would read late.

use std::{cell::Cell, collections::BTreeMap};

use jacinthpoint_types::{Deadline, PerSecond, TimeMs, VmId};
use serde::{Deserialize, Serialize};

/// Time from the report that asks for a permit until the permit expires.
pub(super) const PERMIT_VALID_MS: u64 = 500;
/// Time after the last request that needed a permit for which a gateway asks for one in advance.
const WANTED_MS: u64 = 2_000;
/// Time between two requests for a permit of the same upstream.
const ASK_INTERVAL_MS: u64 = 50;
/// Time between two reports of the end of a warm-up, so that a new hub learns it.
const REPORT_INTERVAL_MS: u64 = 250;
/// Difference below which a later end that another gateway reports is the delay of its datagrams.
/// Taken as later, ends would move on as they go back and forth.
pub(super) const MAX_DELAY_MS: u64 = 500;
/// Longest warm-up that is taken from another gateway.
const MAX_LEFT_MS: u32 = 600_000;
/// Maximum number of upstreams in one report or answer, so that it fits into a datagram: each takes
/// up to 95 bytes with the longest name.
pub const MAX_WARM_UP_REPORTS: usize = 14;

/// A cold upstream as one gateway reports it to the hub, from which it may ask for a permit.
///
/// It goes over the wire through postcard: the order and types of the fields must not change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WarmUpReport {
    /// The upstream.
    pub upstream: VmId,
    /// Rate that it takes while it is cold.
    pub max_per_s: PerSecond,
    /// Time until the end of its warm-up as far as this gateway knows it first-hand; 0 if it only
    /// heard of it from the hub.
    pub left_ms: u32,
    /// Whether the gateway asks for a permit.
    pub wants_permit: bool,
    /// Time of the report on the gateway's own clock. The hub returns it.
    pub asked_at: TimeMs,
}

/// What the hub knows of a cold upstream, with the permits that it issues.
///
/// It goes over the wire through postcard: the order and types of the fields must not change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WarmUpAnswer {
    /// The upstream.
    pub upstream: VmId,
    /// Rate that it takes while it is cold.
    pub max_per_s: PerSecond,
    /// Time until the end of its warm-up; 0 if the hub knows of none.
    pub left_ms: u32,
    /// Number of permits.
    pub permits: u8,
    /// Time of the report that is answered, on the clock of the gateway that sent it.
    pub asked_at: TimeMs,
}

/// A cold upstream at one gateway.
#[derive(Debug)]
struct Cold {
    max_per_s: PerSecond,
    /// End of the warm-up that this gateway knows first-hand.
    own_until: Deadline,
    /// End of the warm-up according to the hub.
    told_until: Deadline,
    /// Ends of the permits, the oldest first.
    permits: Vec<Deadline>,
    /// Time of the last request that needed a permit.
    wanted_at: Cell<Option<TimeMs>>,
    /// Time of the last report to the hub.
    reported_at: Option<TimeMs>,
}

impl Cold {
    fn is_over(&self, now: TimeMs) -> bool {
        self.own_until.has_passed(now) && self.told_until.has_passed(now)
    }

    fn has_permit(&self, now: TimeMs) -> bool {
        self.permits.iter().any(|until| !until.has_passed(now))
    }

    fn wants_permit(&self, now: TimeMs) -> bool {
        let wanted_at = self.wanted_at.get();
        let is_wanted = wanted_at.is_some_and(|at| now.since_ms(at) < WANTED_MS);
        is_wanted && !self.is_over(now) && !self.has_permit(now)
    }
}

/// Cold upstreams as one gateway knows them, and its permits.
#[derive(Debug, Default)]
pub struct WarmUpLimits {
    cold: BTreeMap<VmId, Cold>,
}

impl WarmUpLimits {
    /// Records that an upstream is cold until a time that this gateway knows first-hand.
    pub fn on_cold(&mut self, upstream: &VmId, max_per_s: PerSecond, until: Deadline, now: TimeMs) {
        if until.has_passed(now) {
            return;
        }
        let cold = self.entry(upstream, max_per_s, now);
        cold.max_per_s = max_per_s;
        cold.own_until = cold.own_until.max(until);
    }

    fn entry(&mut self, upstream: &VmId, max_per_s: PerSecond, now: TimeMs) -> &mut Cold {
        self.cold.entry(upstream.clone()).or_insert_with(|| Cold {
            max_per_s,
            own_until: Deadline(now),
            told_until: Deadline(now),
            permits: Vec::new(),
            wanted_at: Cell::new(None),
            reported_at: None,
        })
    }

    /// Records an answer of the hub, or a part of one. Returns the upstreams that this gateway did
    /// not know to be cold.
    pub fn on_hub_answer(&mut self, answers: &[WarmUpAnswer], now: TimeMs) -> Vec<VmId> {
        let mut learnt = Vec::new();
        for answer in answers.iter().filter(|answer| answer.max_per_s.is_valid()) {
            let left_ms = u64::from(answer.left_ms.min(MAX_LEFT_MS));
            let was_cold = self.is_cold(&answer.upstream, now);
            if left_ms > 0 {
                let until = Deadline::after_ms(now, left_ms);
                let cold = self.entry(&answer.upstream, answer.max_per_s, now);
                let known_until = cold.own_until.max(cold.told_until);
                if !was_cold || until > Deadline(known_until.0.plus_ms(MAX_DELAY_MS)) {
                    cold.told_until = until;
                }
            }
            if !was_cold && self.is_cold(&answer.upstream, now) {
                learnt.push(answer.upstream.clone());
            }
            if let Some(cold) = self.cold.get_mut(&answer.upstream) {
                let until = Deadline::after_ms(answer.asked_at, PERMIT_VALID_MS);
                cold.permits.retain(|until| !until.has_passed(now));
                if !until.has_passed(now) {
                    let permits = std::iter::repeat_n(until, usize::from(answer.permits));
                    cold.permits.extend(permits);
                }
            }
        }
        learnt
    }

    /// Drops the limits of upstreams for which `is_limited` returns false: their service limits no
    /// requests any more.
    pub fn retain(&mut self, is_limited: impl Fn(&VmId) -> bool) {
        self.cold.retain(|upstream, _| is_limited(upstream));
    }

    /// Returns whether an upstream is cold.
    pub fn is_cold(&self, upstream: &VmId, now: TimeMs) -> bool {
        let cold = self.cold.get(upstream);
        cold.is_some_and(|cold| !cold.is_over(now))
    }

    /// Returns whether a request may be sent to an upstream: the upstream is warm, or this gateway
    /// has a permit. Otherwise the gateway will ask for one.
    pub fn may_send(&self, upstream: &VmId, now: TimeMs) -> bool {
        match self.cold.get(upstream) {
            Some(cold) if !cold.is_over(now) => {
                cold.wanted_at.set(Some(now));
                cold.has_permit(now)
            }
            _ => true,
        }
    }

    /// Records that a request is sent to an upstream, which uses a permit if the upstream is cold.
    pub fn on_sent(&mut self, upstream: &VmId, now: TimeMs) {
        if let Some(cold) = self.cold.get_mut(upstream) {
            cold.permits.retain(|until| !until.has_passed(now));
            if !cold.is_over(now) && !cold.permits.is_empty() {
                cold.permits.remove(0);
            }
        }
    }

    /// Returns the reports for the hub that are due, at most [`MAX_WARM_UP_REPORTS`]: those of
    /// upstreams that this gateway knows first-hand, every [`REPORT_INTERVAL_MS`], and those that
    /// ask for a permit.
    ///
    /// They ask for none if `is_counted` is not set, see [`crate::UpstreamLimits::due_reports`].
    pub fn due_reports(&mut self, is_counted: bool, now: TimeMs) -> Vec<WarmUpReport> {
        let wants_permit = |cold: &Cold| is_counted && cold.wants_permit(now);
        let is_due = |cold: &Cold| {
            let is_after = |ms: u64| cold.reported_at.is_none_or(|at| now.since_ms(at) >= ms);
            let is_own = !cold.own_until.has_passed(now);
            (is_own && is_after(REPORT_INTERVAL_MS))
                || (wants_permit(cold) && is_after(ASK_INTERVAL_MS))
        };
        self.cold.retain(|_, cold| !cold.is_over(now));
        let mut due: Vec<_> = self
            .cold
            .iter_mut()
            .filter(|(_, cold)| is_due(cold))
            .collect();
        // The reports that waited longest come first, so that none waits for ever.
        due.sort_by_key(|(_, cold)| cold.reported_at);
        due.truncate(MAX_WARM_UP_REPORTS);
        let report = |(upstream, cold): (&VmId, &mut Cold)| {
            cold.reported_at = Some(now);
            let left_ms = cold.own_until.remaining_ms(now);
            WarmUpReport {
                upstream: upstream.clone(),
                max_per_s: cold.max_per_s,
                left_ms: u32::try_from(left_ms).unwrap_or(MAX_LEFT_MS),
                wants_permit: wants_permit(cold),
                asked_at: now,
            }
        };
        due.into_iter().map(report).collect()
    }
}
