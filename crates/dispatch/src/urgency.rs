//! Order of requests of different urgency while room is short.
//!
//! The more urgent a request is, the sooner it usually wants its first event, and the shorter are the
//! queues behind which it is refused as too late. Left to that, the least urgent requests take all
//! room. So a less urgent request is sent only where it leaves a part of the wait that the more
//! urgent ones can bear; without such a target it waits at the gateway, if room is expected in time,
//! or is refused at once.
//!
//! A gateway judges by what it has seen itself: the recent work of each urgency on a model, and how
//! fast its own waiting requests were sent.

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
/// Largest such share. Loads are out of date, and requests that go first arrive unevenly.
const MAX_USABLE_SHARE: f64 = 0.5;
/// Weight of earlier requests in the share that is sent, for each further one.
const SHARE_DECAY: f64 = 0.95;

/// Rank of a request among those that want the same targets; 0 is the most urgent.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    derive_more::FromStr,
)]
pub struct Urgency(pub u8);

/// Part of the targets' time that a request leaves to those that go before it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reserve {
    /// Shortest time to the first event that any of those requests wants, in milliseconds.
    pub objective_ms: u64,
    /// Share of the wait that they can bear up to which the request may use a target.
    pub usable_share: f64,
}

/// Recent requests of one urgency.
#[derive(Debug, Clone, Copy)]
struct RecentWork {
    /// Prompt tokens, decayed.
    tokens: f64,
    /// Objective for the first event of the latest request.
    objective_ms: u64,
    seen_at: TimeMs,
}

/// Recent work of all urgencies that use the same targets.
#[derive(Debug, Default)]
pub struct UrgencyWork {
    recent: BTreeMap<Urgency, RecentWork>,
    /// Requests, and those of them that were sent; both decayed with each request.
    asked: f64,
    sent: f64,
}

impl UrgencyWork {
    /// Records a request with the length of its prompt and its objective for the first event.
    pub fn on_request(&mut self, urgency: Urgency, tokens: u32, objective_ms: u64, now: TimeMs) {
        self.asked = self.asked * SHARE_DECAY + 1.0;
        self.sent *= SHARE_DECAY;
        let decayed = self.recent.get(&urgency).map_or(0.0, |work| {
            work.tokens * 0.5_f64.powf(now.since_ms(work.seen_at) as f64 / WORK_HALF_LIFE_MS)
        });
        let work = RecentWork {
            tokens: decayed + f64::from(tokens.max(1)),
            objective_ms,
            seen_at: now,
        };
        self.recent.insert(urgency, work);
    }

    /// Returns what a request leaves to the more urgent ones, and if it is late already, also to those
    /// of the same urgency that are not; `None` if there were none lately.
    pub fn reserve(&self, urgency: Urgency, is_late: bool, now: TimeMs) -> Option<Reserve> {
        let current = |work: &RecentWork| now.since_ms(work.seen_at) < SEEN_MS;
        let tokens = |work: &RecentWork| {
            work.tokens * 0.5_f64.powf(now.since_ms(work.seen_at) as f64 / WORK_HALF_LIFE_MS)
        };
        let (mut all_tokens, mut first_tokens) = (0.0, 0.0);
        let mut objective_ms = None;
        for (other, work) in self.recent.iter().filter(|(_, work)| current(work)) {
            all_tokens += tokens(work);
            if *other < urgency || (is_late && *other == urgency) {
                first_tokens += tokens(work);
                let shortest_ms = objective_ms.unwrap_or(u64::MAX).min(work.objective_ms);
                objective_ms = Some(shortest_ms);
            }
        }
        let share = first_tokens / all_tokens.max(f64::EPSILON);
        objective_ms.map(|objective_ms| Reserve {
            objective_ms,
            usable_share: (MAX_USABLE_SHARE * (1.0 - share)).max(MIN_USABLE_SHARE),
        })
    }

    /// Records that a request is sent to a target.
    pub fn on_sent(&mut self) {
        self.sent += 1.0;
    }

    /// Returns the share of recent requests that were sent.
    pub fn sent_share(&self) -> f64 {
        // Requests that just arrived are not sent yet.
        ((self.sent + 1.0) / self.asked.max(1.0)).min(1.0)
    }

    /// Returns the longest objective of more urgent requests, in milliseconds; 0 if there were none
    /// lately.
    pub fn longest_objective_ms(&self, urgency: Urgency, now: TimeMs) -> u64 {
        let recent = self.recent.iter();
        let ahead = recent
            .filter(|(other, work)| **other < urgency && now.since_ms(work.seen_at) < SEEN_MS);
        ahead.map(|(_, work)| work.objective_ms).max().unwrap_or(0)
    }
}

/// Work and waiting requests of all services and models at one gateway.
#[derive(Debug, Default)]
pub struct RoomLines {
    lines: BTreeMap<(ServiceId, DeploymentId), RoomLine>,
}

impl RoomLines {
    /// Returns the line of the requests for a model of a service.
    pub fn line(&mut self, service: &ServiceId, model: &DeploymentId) -> &mut RoomLine {
        let key = (service.clone(), model.clone());
        self.lines.entry(key).or_default()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.lines.values().map(RoomLine::len).sum()
    }
}
