//! Order of requests of different urgency while room is short.
//!
//! The more urgent a request is, the sooner it usually wants its first event, and the shorter are the
//! queues behind which it is refused as too late. Left to that, the least urgent requests take all
//! room. So a less urgent request is sent only where it leaves a part of the wait that the more
//! urgent ones can bear; without such a target it waits at the gateway, if room is expected in time,
//! or is refused at once.
//!
//! A gateway judges by what it has seen itself: the recent work of each urgency on a model, and how
//! many requests came and were sent.

use std::collections::BTreeMap;

use jacinthpoint_types::{DeploymentId, ServiceId, TimeMs};

pub use crate::urgency::{
    claim::{RoomClaim, RoomTerms},
    line::RoomLine,
};

mod claim;
mod line;

/// Half-life of the recent work of an urgency.
const WORK_HALF_LIFE_MS: f64 = 5_000.0;
/// Time without a request after which an urgency keeps nothing free.
const SEEN_MS: u64 = 30_000;
/// Smallest share of the wait that others can bear which stays usable, so that a request waits for
/// room rather than for an idle target.
const MIN_USABLE_SHARE: f64 = 0.25;
/// Part of that wait that is kept free, as a multiple of the more urgent share of the work: loads are out of
/// date, and the more urgent requests arrive unevenly.
const KEPT_RATIO: f64 = 2.0;
/// Time between two requests that are sent, before any was.
const ASSUMED_SPACING_MS: f64 = 1_000.0;

/// Rank of a request among those that want the same targets; the least is the most urgent. Requests of
/// equal priority are ranked by their routes, also if the priority is that of their organisations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
#[display("{priority}.{route_priority}")]
pub struct Urgency {
    /// Priority of the organisation, or else of the route; 0 is the highest.
    pub priority: u8,
    /// Priority of the route.
    pub route_priority: u8,
}

/// Part of the targets' time that a request leaves to those that go before it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reserve {
    /// Shortest time to the first event that any of those requests wants, in milliseconds.
    pub objective_ms: u64,
    /// Share of the wait that they can bear up to which the request may use a target.
    pub usable_share: f64,
}

/// A sum whose parts count half after each half-life.
#[derive(Debug, Clone, Copy, Default)]
struct Decayed {
    sum: f64,
    added_at: TimeMs,
}

impl Decayed {
    fn at(&self, now: TimeMs) -> f64 {
        self.sum * 0.5_f64.powf(now.since_ms(self.added_at) as f64 / WORK_HALF_LIFE_MS)
    }

    fn add(&mut self, part: f64, now: TimeMs) {
        self.sum = self.at(now) + part;
        self.added_at = now;
    }
}

/// Recent requests of one urgency.
#[derive(Debug, Clone, Copy, Default)]
struct RecentWork {
    /// Prompt tokens.
    tokens: Decayed,
    /// Objective for the first event of the latest request.
    objective_ms: u64,
}

impl RecentWork {
    fn is_recent(&self, now: TimeMs) -> bool {
        now.since_ms(self.tokens.added_at) < SEEN_MS
    }
}

/// Recent work of all urgencies that use the same targets.
#[derive(Debug, Default)]
pub struct UrgencyWork {
    recent: BTreeMap<Urgency, RecentWork>,
    /// Requests, and those of them that were sent.
    asked: Decayed,
    sent: Decayed,
}

impl UrgencyWork {
    /// Records a request with the length of its prompt and its objective for the first event.
    pub fn on_request(&mut self, urgency: Urgency, tokens: u32, objective_ms: u64, now: TimeMs) {
        self.asked.add(1.0, now);
        let work = self.recent.entry(urgency).or_default();
        work.tokens.add(f64::from(tokens.max(1)), now);
        work.objective_ms = objective_ms;
    }

    /// Returns what a request leaves to the more urgent ones; `None` if there were none lately.
    pub fn reserve(&self, urgency: Urgency, now: TimeMs) -> Option<Reserve> {
        let recent = self.recent.values().filter(|work| work.is_recent(now));
        let all_tokens: f64 = recent.map(|work| work.tokens.at(now)).sum();
        let urgent = || self.more_urgent(urgency, now);
        let urgent_tokens: f64 = urgent().map(|work| work.tokens.at(now)).sum();
        let objective_ms = urgent().map(|work| work.objective_ms).min()?;
        let kept_share = KEPT_RATIO * urgent_tokens / all_tokens.max(f64::EPSILON);
        Some(Reserve {
            objective_ms,
            usable_share: (1.0 - kept_share).max(MIN_USABLE_SHARE),
        })
    }

    /// Returns the recent work that is more urgent.
    fn more_urgent(&self, urgency: Urgency, now: TimeMs) -> impl Iterator<Item = &RecentWork> {
        let more_urgent = self.recent.range(..urgency).map(|(_, work)| work);
        more_urgent.filter(move |work| work.is_recent(now))
    }

    /// Returns whether there was a request lately.
    fn is_recent(&self, now: TimeMs) -> bool {
        now.since_ms(self.asked.added_at) < SEEN_MS
    }

    /// Records that a request is sent to a target.
    pub fn on_sent(&mut self, now: TimeMs) {
        self.sent.add(1.0, now);
    }

    /// Returns the share of recent requests that were sent.
    pub fn sent_share(&self, now: TimeMs) -> f64 {
        // Requests that just arrived are not sent yet.
        ((self.sent.at(now) + 1.0) / (self.asked.at(now) + 1.0)).min(1.0)
    }

    /// Returns the mean time between two recent requests that were sent, in milliseconds.
    pub fn sent_spacing_ms(&self, now: TimeMs) -> f64 {
        let window_ms = WORK_HALF_LIFE_MS / std::f64::consts::LN_2;
        window_ms / (self.sent.at(now) + window_ms / ASSUMED_SPACING_MS)
    }

    /// Returns the longest objective of more urgent requests, in milliseconds; 0 if there were none
    /// lately.
    pub fn longest_objective_ms(&self, urgency: Urgency, now: TimeMs) -> u64 {
        let objectives = self.more_urgent(urgency, now).map(|work| work.objective_ms);
        objectives.max().unwrap_or(0)
    }
}

/// Work and waiting requests of all services and models at one gateway.
#[derive(Debug, Default)]
pub struct RoomLines {
    lines: BTreeMap<(ServiceId, DeploymentId), RoomLine>,
}

impl RoomLines {
    /// Returns the line of the requests for a model of a service. A new line takes the place of those that
    /// were not asked for lately.
    pub fn line(
        &mut self,
        service: &ServiceId,
        model: &DeploymentId,
        now: TimeMs,
    ) -> &mut RoomLine {
        let key = (service.clone(), model.clone());
        if !self.lines.contains_key(&key) {
            self.lines.retain(|_, line| line.is_in_use(now));
        }
        self.lines.entry(key).or_default()
    }

    /// Returns the number of lines that are kept.
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Returns whether no line is kept.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.lines.values().map(RoomLine::len).sum()
    }
}
