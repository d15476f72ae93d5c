//! Warm-up of upstreams: which ones are cold, and until when.
//!
//! A cold upstream fails under a rate of requests that it takes easily once it is warm. Its service
//! configures the rate that it takes until then, from all gateways together; [`WarmUpLimits`] keeps
//! it. This module decides what a gateway knows, or must assume:
//!
//! - An entry states the time that remains when it is written, so counted from its arrival it ends
//!   late rather than early. It is used for the upstream's first entry, also after its entry was
//!   missing, and whenever it states another time.
//! - The first entry of an incarnation may state nothing. The whole warm-up time is then assumed.
//! - An answer may state the time that remains.
//! - Upstreams of a data centre may be cold when its evacuation ends, before their entries state it.
//!
//! A later end always replaces an earlier one of the same incarnation, and not the other way round:
//! lists of a restored store and answers that are read late are older than what is known.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{Upstream, WarmUp};
use jacinthpoint_types::{Deadline, TimeMs, VmId};

pub use self::{
    issuer::WarmUpIssuer,
    limit::{MAX_WARM_UP_REPORTS, WarmUpAnswer, WarmUpLimits, WarmUpReport},
};

mod issuer;
mod limit;

/// Why an upstream is taken to be cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum WarmUpBasis {
    /// Its entry states it.
    Entry,
    /// The first entry of its incarnation states nothing.
    Unstated,
    /// An answer states it.
    Answer,
    /// The evacuation of its data centre ended.
    Evacuation,
}

/// What is known of one incarnation of an upstream.
#[derive(Debug)]
struct Known {
    started_unix_ms: u64,
    /// Time that its last entry stated, to tell whether the next one states another.
    stated_ms: Option<u64>,
    evacuation_ended_at: Option<TimeMs>,
    /// End of the warm-up.
    until: Deadline,
    is_listed: bool,
}

/// Warm-up of the upstreams as one gateway knows it.
#[derive(Debug, Default)]
pub struct WarmUps {
    known: BTreeMap<VmId, Known>,
}

impl WarmUps {
    /// Records the entry of an upstream whose service has this `warm_up`, whether or not the entry
    /// changed. `evacuation_ended_at` is when the last evacuation of its data centre ended.
    ///
    /// Returns the reason if the upstream is cold and was not known to be.
    pub fn on_entry(
        &mut self,
        upstream: &Upstream,
        warm_up: &WarmUp,
        evacuation_ended_at: Option<TimeMs>,
        now: TimeMs,
    ) -> Option<WarmUpBasis> {
        let (id, stated_ms) = (&upstream.id, upstream.warm_up_left_ms);
        let until = |ms: u64| Deadline::after_ms(now, ms.min(warm_up.duration_ms));
        let before = self
            .known
            .get(id)
            .filter(|known| known.started_unix_ms == upstream.started_unix_ms);
        let stated = match before {
            Some(known) if known.is_listed && known.stated_ms == stated_ms => None,
            Some(_) => stated_ms.map(|ms| (WarmUpBasis::Entry, until(ms))),
            None => Some(match stated_ms {
                Some(ms) => (WarmUpBasis::Entry, until(ms)),
                None => (WarmUpBasis::Unstated, until(warm_up.duration_ms)),
            }),
        };
        let is_same_evacuation =
            before.is_some_and(|known| known.evacuation_ended_at == evacuation_ended_at);
        let ended_at = evacuation_ended_at.filter(|_| !is_same_evacuation);
        let evacuated = ended_at.map(|at| {
            let until = Deadline::after_ms(at, warm_up.duration_ms);
            (WarmUpBasis::Evacuation, until)
        });
        let known_until = before.map_or(Deadline(now), |known| known.until);
        let later = [stated, evacuated]
            .into_iter()
            .flatten()
            .max_by_key(|(_, until)| *until)
            .filter(|(_, until)| *until > known_until && !until.has_passed(now));
        let known = Known {
            started_unix_ms: upstream.started_unix_ms,
            stated_ms,
            evacuation_ended_at,
            until: later.map_or(known_until, |(_, until)| until),
            is_listed: true,
        };
        self.known.insert(id.clone(), known);
        let basis = later.map(|(basis, _)| basis);
        basis.filter(|_| known_until.has_passed(now))
    }

    /// Records the time that remains according to an answer of a known upstream. Returns the reason
    /// if the upstream is cold and was not known to be.
    pub fn on_answer(
        &mut self,
        upstream: &VmId,
        left_ms: u64,
        warm_up: &WarmUp,
        now: TimeMs,
    ) -> Option<WarmUpBasis> {
        let until = Deadline::after_ms(now, left_ms.min(warm_up.duration_ms));
        let known = self.known.get_mut(upstream)?;
        let is_new = known.until.has_passed(now) && !until.has_passed(now);
        known.until = known.until.max(until);
        is_new.then_some(WarmUpBasis::Answer)
    }

    /// Returns the end of an upstream's warm-up; `None` if it is warm.
    pub fn cold_until(&self, upstream: &VmId, now: TimeMs) -> Option<Deadline> {
        let until = self.known.get(upstream)?.until;
        (!until.has_passed(now)).then_some(until)
    }

    /// Drops the upstreams that are not listed any more, once their warm-up has ended.
    pub fn retain(&mut self, is_listed: impl Fn(&VmId) -> bool, now: TimeMs) {
        self.known.retain(|id, known| {
            known.is_listed = is_listed(id);
            known.is_listed || !known.until.has_passed(now)
        });
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
