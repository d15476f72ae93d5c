//! Load of each target as estimated by one gateway, and the choice of a target.
//!
//! An engine runs its requests as a batch, in passes of a few decoding steps, and sends an event of
//! each stream after each pass. If it has a free slot, a new request joins the next pass; otherwise
//! the request waits until another ends.
//!
//! The load of a target is the number of this gateway's requests there plus that of the other
//! gateways, which one of the gateways, the hub, reports. If the latter is not known, the load that
//! the target last reported is used instead, discounted by its age.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jacinthpoint_routing::{Ejector, estimated_load};
use jacinthpoint_types::{Deadline, DeploymentId, ServiceId, TimeMs};
use rand::Rng;

use crate::{
    capacity::Capacities,
    directory::{Target, TargetKey},
    peer_load::{PeerLoad, TargetDigest, TargetReport},
    stall::StallPolicy,
    statement::UpstreamStatements,
    unmet_work::{self, UnmetWork},
};

pub use crate::load::{
    choice::{Refusal, Selection},
    explain::{Standing, TargetExplanation},
};

mod choice;
mod explain;
mod soonest;

/// Weight of the newest gap in the moving average of the time between two events of a stream.
const GAP_WEIGHT: f64 = 0.1;
/// Weight of the newest sample in the moving average of a target's overhead.
const OVERHEAD_WEIGHT: f64 = 0.15;
/// Largest sample of a target's overhead that is taken in full, as a multiple of the average.
const MAX_OVERHEAD_RATIO: f64 = 2.0;
/// Time for which a target that shed a request is not chosen, unless it reports its load earlier.
const SHED_MS: u64 = 150;
/// Time for which a target that made no progress is suspended. By the end of it, the owner (the
/// gateway that holds the lease and sends orders) has closed the group if a member is dead.
const SUSPENDED_MS: u64 = 2_500;
/// Time after its last event for which a target without requests of this gateway is still reported
/// to the other gateways.
const EVENT_REPORTED_MS: u64 = 1_000;
/// Lower limit on the expected time until there is room. [`retry_after_ms`] returns a random time
/// between half of the limited time and all of it.
const MIN_RETRY_AFTER_MS: u64 = 200;
/// Upper limit on the same expected time, and so on the returned time.
const MAX_RETRY_AFTER_MS: u64 = 2_500;

/// Load and recent behaviour of one target.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    /// Number of this gateway's requests at the target.
    in_flight: u32,
    /// Total length of the prompts of those of them that had no event yet, in tokens.
    unread_tokens: u32,
    /// Time since which `in_flight` has been above zero.
    busy_since: TimeMs,
    /// Load that the target last reported, in requests, and when.
    reported: u32,
    reported_at: TimeMs,
    last_event_at: Option<TimeMs>,
    /// Moving average of the time between two events of a stream, which is about the time of one
    /// pass.
    mean_gap_ms: Option<f64>,
    /// Moving average of the overhead, see [`LoadTracker::on_first_event`], and when it was last
    /// updated.
    overhead_ms: Option<(f64, TimeMs)>,
    suspended_until: Option<Deadline>,
    shed_until: Option<Deadline>,
}

/// Loads, suspensions and ejections of all targets at one gateway.
#[derive(Debug, Default)]
pub struct LoadTracker {
    loads: BTreeMap<TargetKey, Load>,
    peers: PeerLoad,
    ejector: Ejector<TargetKey>,
    /// What each target takes well.
    pub capacities: Capacities,
    unmet: UnmetWork,
    /// What upstreams stated of themselves.
    pub statements: UpstreamStatements,
}

impl LoadTracker {
    /// Records that this gateway sends a request to a target, with the length of its prompt (0 if it
    /// has none).
    pub fn on_sent(&mut self, key: &TargetKey, prompt_tokens: u32, now: TimeMs) {
        let load = self.loads.entry(key.clone()).or_default();
        if load.in_flight == 0 {
            load.busy_since = now;
        }
        load.in_flight += 1;
        // Callers announce the length, so the sum may be anything.
        load.unread_tokens = load.unread_tokens.saturating_add(prompt_tokens);
    }

    /// Records the first event of a request, `elapsed_ms` after it was sent. `predicted_wait_ms` is
    /// the wait at the target that was predicted then. The rest of the time is the overhead of the
    /// target: the reading of the request's own prompt, the rest of a pass, and delays on the way.
    pub fn on_first_event(
        &mut self,
        key: &TargetKey,
        elapsed_ms: u64,
        predicted_wait_ms: f64,
        now: TimeMs,
    ) {
        if let Some(load) = self.loads.get_mut(key) {
            let sample_ms = (elapsed_ms as f64 - predicted_wait_ms).max(0.0);
            let mean_ms = load.overhead_ms.map_or(sample_ms, |(mean_ms, _)| mean_ms);
            // A request that stalled says little about the requests that follow.
            let sample_ms = sample_ms.min(mean_ms * MAX_OVERHEAD_RATIO);
            load.overhead_ms = Some((mean_ms + OVERHEAD_WEIGHT * (sample_ms - mean_ms), now));
        }
    }

    /// Records that a target has read the prompt of a request, or will not read it.
    pub fn on_prompt_read(&mut self, key: &TargetKey, prompt_tokens: u32) {
        if let Some(load) = self.loads.get_mut(key) {
            load.unread_tokens = load.unread_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Records that a request of this gateway ended, successfully or not.
    pub fn on_ended(&mut self, key: &TargetKey) {
        if let Some(load) = self.loads.get_mut(key) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Records the number of running and waiting requests that a target reported, which also ends
    /// the time for which a target that shed a request is not chosen.
    pub fn on_load_reported(&mut self, key: &TargetKey, requests: u32, now: TimeMs) {
        let load = self.loads.entry(key.clone()).or_default();
        load.reported = requests;
        load.reported_at = now;
        load.shed_until = None;
    }

    /// Records an event of a stream, which ends a suspension of its target. `gap_ms` is the time
    /// since the previous event of the stream, `None` for the first.
    pub fn on_event(&mut self, key: &TargetKey, gap_ms: Option<u64>, now: TimeMs) {
        let Some(load) = self.loads.get_mut(key) else {
            return;
        };
        load.last_event_at = Some(now);
        load.suspended_until = None;
        if let Some(gap_ms) = gap_ms {
            let mean = load.mean_gap_ms.unwrap_or(gap_ms as f64);
            load.mean_gap_ms = Some(mean + GAP_WEIGHT * (gap_ms as f64 - mean));
        }
    }

    /// Records that a target shed a request because it had no room.
    pub fn on_shed(&mut self, key: &TargetKey, now: TimeMs) {
        let load = self.loads.entry(key.clone()).or_default();
        load.shed_until = Some(Deadline::after_ms(now, SHED_MS));
    }

    /// Excludes a target that made no progress from selection, until it makes progress or
    /// `SUSPENDED_MS` have passed.
    pub fn suspend(&mut self, key: &TargetKey, now: TimeMs) {
        let until = Deadline::after_ms(now, SUSPENDED_MS);
        self.loads.entry(key.clone()).or_default().suspended_until = Some(until);
    }

    /// Records a successful answer, which ends a suspension or ejection of the target.
    pub fn on_success(&mut self, key: &TargetKey) {
        self.ejector.on_success(key);
        if let Some(load) = self.loads.get_mut(key) {
            load.suspended_until = None;
        }
    }

    /// Records that a request failed at a target; the failure counts for an ejection however long
    /// it took. Returns whether it starts an ejection of the target.
    pub fn on_failure(&mut self, key: &TargetKey, now: TimeMs) -> bool {
        self.ejector.on_failure(key, 0, now)
    }

    /// Records an answer of the hub, or a part of one: the load of the other gateways at each
    /// target.
    pub fn on_peer_loads(&mut self, reports: &[TargetReport], now: TimeMs) {
        self.peers.on_answer(reports, now);
    }

    /// Returns whether the last answer of the hub is still valid.
    pub fn has_peer_loads(&self, now: TimeMs) -> bool {
        self.peers.is_fresh(now)
    }

    /// Returns this gateway's load reports for the hub. A target is left out if this gateway has no
    /// request there and had no event from there for `EVENT_REPORTED_MS`.
    pub fn target_reports(&self, now: TimeMs) -> Vec<TargetReport> {
        let ms_since = |at: TimeMs| u32::try_from(now.since_ms(at)).unwrap_or(u32::MAX);
        let report = |(key, load): (&TargetKey, &Load)| {
            let waiting_since = load
                .last_event_at
                .map_or(load.busy_since, |at| at.max(load.busy_since));
            TargetReport {
                target: TargetDigest::from(key),
                in_flight: load.in_flight,
                unread_tokens: load.unread_tokens,
                heard_ms: load.last_event_at.map(ms_since),
                waited_ms: (load.in_flight > 0).then(|| ms_since(waiting_since)),
            }
        };
        let is_relevant = |report: &TargetReport| {
            let is_recent = |ms: u32| u64::from(ms) < EVENT_REPORTED_MS;
            report.in_flight > 0 || report.heard_ms.is_some_and(is_recent)
        };
        let reports = self.loads.iter().map(report).filter(is_relevant);
        // Those of models come first, since the exchange leaves out reports beyond a limit.
        self.unmet.reports(now).into_iter().chain(reports).collect()
    }

    /// Records that this gateway refused a request for lack of room, or answered it late. It counts as
    /// work for `run_ms`, the time that it would have taken, but at most for `max_ms`.
    pub fn on_unmet(
        &mut self,
        service: &ServiceId,
        model: &DeploymentId,
        run_ms: f64,
        max_ms: u64,
        now: TimeMs,
    ) {
        self.unmet.retain_recent(now);
        self.unmet.on_unmet(service, model, run_ms, max_ms, now);
    }

    /// Returns the number of requests of a model that gateways refused or answered late, as if they ran.
    pub fn unmet(&self, service: &ServiceId, model: &DeploymentId, now: TimeMs) -> f64 {
        let digest = unmet_work::digest(service, model);
        let at_peers = self.peers.by_digest(digest, now);
        self.unmet.running(service, model, now)
            + at_peers.as_ref().map_or(0.0, UnmetWork::running_at_peers)
    }

    /// Returns when a stream from a target last had an event, at this gateway or any other.
    pub fn last_event_at(&self, key: &TargetKey, now: TimeMs) -> Option<TimeMs> {
        let at_this_gateway = self.loads.get(key).and_then(|load| load.last_event_at);
        at_this_gateway.max(self.peers.last_event_at(key, now))
    }

    /// Returns whether, by the last answer of the hub, some gateway has waited at a target for
    /// `limit_ms` without an event and no gateway had an event from there within that time. Returns
    /// `false` if no valid answer names the target, or this gateway had an event from there since.
    pub fn is_stalled(&self, key: &TargetKey, limit_ms: u64, now: TimeMs) -> bool {
        let own_event_at = self.loads.get(key).and_then(|load| load.last_event_at);
        own_event_at.is_none_or(|at| now.since_ms(at) >= limit_ms)
            && self.peers.is_stalled(key, limit_ms, now)
    }

    /// Returns whether a target is suspended, see [`LoadTracker::suspend`].
    pub fn is_suspended(&self, key: &TargetKey, now: TimeMs) -> bool {
        let until = self.loads.get(key).and_then(|load| load.suspended_until);
        until.is_some_and(|until| !until.has_passed(now))
    }

    /// Returns whether a target makes no progress: this gateway suspended it, or it is stalled by
    /// the limit of `stall_policy`, see [`LoadTracker::is_stalled`]. Without a policy, only the
    /// suspension counts.
    pub fn is_suspended_or_stalled(
        &self,
        key: &TargetKey,
        stall_policy: Option<StallPolicy>,
        now: TimeMs,
    ) -> bool {
        let is_stalled = |policy: StallPolicy| self.is_stalled(key, policy.limit_ms(), now);
        self.is_suspended(key, now) || stall_policy.is_some_and(is_stalled)
    }

    /// Returns the estimated number of requests of all gateways at a target.
    pub fn load(&self, key: &TargetKey, now: TimeMs) -> f64 {
        let load = self.loads.get(key).copied().unwrap_or_default();
        match self.peers.in_flight(key, now) {
            Some(of_peers) => f64::from(load.in_flight + of_peers),
            None => estimated_load(
                load.in_flight,
                load.reported,
                now.since_ms(load.reported_at),
            ),
        }
    }

    /// Returns the number of prompt tokens that a target has yet to read, for the requests of all
    /// gateways.
    pub fn unread_tokens(&self, key: &TargetKey, now: TimeMs) -> f64 {
        let own = self.loads.get(key).map_or(0, |load| load.unread_tokens);
        f64::from(own) + f64::from(self.peers.unread_tokens(key, now))
    }

    /// Removes the ejections of targets that are not in `targets`, and their loads unless they
    /// still run a request of this gateway.
    pub fn retain<'a>(&mut self, targets: impl Iterator<Item = &'a Arc<Target>>) {
        let keys: BTreeSet<&TargetKey> = targets.map(|target| &target.key).collect();
        self.loads
            .retain(|key, load| load.in_flight > 0 || keys.contains(key));
        self.ejector.retain(|key| keys.contains(key));
        self.capacities.retain(|key| keys.contains(key));
    }
}

/// Returns the time after which a refused caller should retry, if there will probably be room in
/// `room_expected_in_ms`. The expected time is first limited to
/// `MIN_RETRY_AFTER_MS..=MAX_RETRY_AFTER_MS`. The result is drawn evenly from the range between half
/// of the limited time and all of it, so that callers that are refused together do not retry
/// together.
pub fn retry_after_ms(room_expected_in_ms: u64, rng: &mut impl Rng) -> u64 {
    let limit_ms = room_expected_in_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    rng.random_range(limit_ms / 2..=limit_ms)
}
