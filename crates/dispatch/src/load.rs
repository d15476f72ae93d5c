//! How loaded each target is, and the choice among them.
//!
//! An engine batches: a request that finds a free slot starts with the next pass, one that finds
//! none waits for another to end. A target's load is what the gateway has there itself and what
//! the other gateways have there; if that is not known, what the target last stated, discounted by
//! its age.

use std::{collections::BTreeMap, sync::Arc};

use jacinthpoint_routing::{Ejector, estimated_load};
use jacinthpoint_types::{Deadline, TimeMs};
use rand::Rng;

use crate::{
    directory::{Target, TargetKey},
    peer_load::{PeerLoad, TargetDigest, TargetReport},
    stall::StallPolicy,
};

pub use crate::load::choice::{Refusal, Selection};

mod choice;

/// Weight of the newest pass in the mean of a target's passes.
const PACE_WEIGHT: f64 = 0.1;
/// Time for which a target that sheds load is left alone unless it states room.
const SHED_MS: u64 = 150;
/// Time for which a target without progress gets no work: the owner of the groups has closed it by
/// then if it is dead.
const SUSPENDED_MS: u64 = 2_500;
/// Time for which an event from a target where there is no request now is worth telling others.
const HEARD_OF_LATE_MS: u64 = 1_000;
/// Shortest time to name to a caller who is refused.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// Longest time to name to a caller who is refused.
const MAX_RETRY_AFTER_MS: u64 = 2_500;

#[derive(Debug, Clone, Copy, Default)]
struct Load {
    in_flight: u32,
    /// Since when there has been a request all the time.
    busy_since: TimeMs,
    stated: u32,
    stated_at: TimeMs,
    last_event_at: Option<TimeMs>,
    mean_pass_ms: Option<f64>,
    suspended_until: Option<Deadline>,
    shed_until: Option<Deadline>,
}

/// Loads of all targets, as one gateway knows them.
#[derive(Debug, Default)]
pub struct LoadTracker {
    loads: BTreeMap<TargetKey, Load>,
    fleet: PeerLoad,
    ejector: Ejector<TargetKey>,
}

impl LoadTracker {
    /// A request is sent there.
    pub fn on_sent(&mut self, key: &TargetKey, now: TimeMs) {
        let load = self.loads.entry(key.clone()).or_default();
        if load.in_flight == 0 {
            load.busy_since = now;
        }
        load.in_flight += 1;
    }

    /// A request that was sent there is over.
    pub fn on_ended(&mut self, key: &TargetKey) {
        if let Some(load) = self.loads.get_mut(key) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// The target states how many requests run and wait there.
    pub fn on_load_reported(&mut self, key: &TargetKey, requests: u32, now: TimeMs) {
        let load = self.loads.entry(key.clone()).or_default();
        load.stated = requests;
        load.stated_at = now;
        load.shed_until = None;
    }

    /// An event of a stream from there; `gap_ms` is the time since the one before.
    pub fn on_event(&mut self, key: &TargetKey, gap_ms: Option<u64>, now: TimeMs) {
        let Some(load) = self.loads.get_mut(key) else {
            return;
        };
        load.last_event_at = Some(now);
        load.suspended_until = None;
        if let Some(gap_ms) = gap_ms {
            let mean = load.mean_pass_ms.unwrap_or(gap_ms as f64);
            load.mean_pass_ms = Some(mean + PACE_WEIGHT * (gap_ms as f64 - mean));
        }
    }

    /// The target is refused work for want of room.
    pub fn on_shed(&mut self, key: &TargetKey, now: TimeMs) {
        let load = self.loads.entry(key.clone()).or_default();
        load.shed_until = Some(Deadline::after_ms(now, SHED_MS));
    }

    /// The target made no progress; it gets no work until it does, or for a time.
    pub fn suspend(&mut self, key: &TargetKey, now: TimeMs) {
        let until = Deadline::after_ms(now, SUSPENDED_MS);
        self.loads.entry(key.clone()).or_default().suspended_until = Some(until);
    }

    /// The target gave a good answer.
    pub fn on_success(&mut self, key: &TargetKey) {
        self.ejector.on_success(key);
        if let Some(load) = self.loads.get_mut(key) {
            load.suspended_until = None;
        }
    }

    /// The target failed a request; tells whether it is left alone for a time.
    pub fn on_failure(&mut self, key: &TargetKey, now: TimeMs) -> bool {
        self.ejector.on_failure(key, 0, now)
    }

    /// Takes in what other gateways have at each target.
    pub fn on_peer_loads(&mut self, sightings: &[TargetReport], now: TimeMs) {
        self.fleet.on_answer(sightings, now);
    }

    /// Whether it is known what other gateways see.
    pub fn has_peer_loads(&self, now: TimeMs) -> bool {
        self.fleet.is_fresh(now)
    }

    /// What this gateway has at each target, for the others.
    pub fn target_reports(&self, now: TimeMs) -> Vec<TargetReport> {
        let ms_since = |at: TimeMs| u32::try_from(now.since_ms(at)).unwrap_or(u32::MAX);
        let sighting = |(key, load): (&TargetKey, &Load)| {
            let quiet_since = load
                .last_event_at
                .map_or(load.busy_since, |at| at.max(load.busy_since));
            TargetReport {
                target: TargetDigest::from(key),
                in_flight: load.in_flight,
                heard_ms: load.last_event_at.map(ms_since),
                waited_ms: (load.in_flight > 0).then(|| ms_since(quiet_since)),
            }
        };
        let is_worth_telling = |sighting: &TargetReport| {
            let is_recent = |ms: u32| u64::from(ms) < HEARD_OF_LATE_MS;
            sighting.in_flight > 0 || sighting.heard_ms.is_some_and(is_recent)
        };
        let sightings = self.loads.iter().map(sighting);
        sightings.filter(is_worth_telling).collect()
    }

    /// When a stream from there last had an event, here or at another gateway.
    pub fn last_event_at(&self, key: &TargetKey, now: TimeMs) -> Option<TimeMs> {
        let here = self.loads.get(key).and_then(|load| load.last_event_at);
        here.max(self.fleet.heard_at(key, now))
    }

    /// Whether all gateways together have heard nothing from there for `limit_ms` although there
    /// are requests.
    pub fn is_stalled(&self, key: &TargetKey, limit_ms: u64, now: TimeMs) -> bool {
        self.fleet.is_stalled(key, limit_ms, now)
    }

    /// Whether it gets no work for want of progress.
    pub fn is_suspended(&self, key: &TargetKey, now: TimeMs) -> bool {
        let until = self.loads.get(key).and_then(|load| load.suspended_until);
        until.is_some_and(|until| !until.has_passed(now))
    }

    /// Whether it is known to make no progress, from here or from all gateways together; `silence`
    /// tells how long its silence is borne.
    pub fn is_suspended_or_stalled(
        &self,
        key: &TargetKey,
        silence: Option<StallPolicy>,
        now: TimeMs,
    ) -> bool {
        let is_stalled = |silence: StallPolicy| self.is_stalled(key, silence.limit_ms(), now);
        self.is_suspended(key, now) || silence.is_some_and(is_stalled)
    }

    /// Requests that are probably there.
    pub fn load(&self, key: &TargetKey, now: TimeMs) -> f64 {
        let load = self.loads.get(key).copied().unwrap_or_default();
        match self.fleet.in_flight(key, now) {
            Some(of_others) => f64::from(load.in_flight + of_others),
            None => estimated_load(load.in_flight, load.stated, now.since_ms(load.stated_at)),
        }
    }

    /// Forgets targets that are gone.
    pub fn retain<'a>(&mut self, targets: impl Iterator<Item = &'a Arc<Target>>) {
        let keys: Vec<TargetKey> = targets.map(|target| target.key.clone()).collect();
        let is_known = |key: &TargetKey| keys.contains(key);
        self.loads
            .retain(|key, load| load.in_flight > 0 || is_known(key));
        self.ejector.retain(&keys);
    }
}

/// When a refused caller should come back: spread over the time in which room is expected, so that
/// callers refused together do not return together.
pub fn retry_after_ms(expected_ms: u64, rng: &mut impl Rng) -> u64 {
    let limit_ms = expected_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    rng.random_range(limit_ms / 2..=limit_ms)
}
