//! Choice of a target for a request by the estimated loads.
//!
//! All gateways choose from nearly the same loads, and these are out of date. If each chose the
//! least loaded target, all would choose the same one, so the choice is partly random.

use std::sync::Arc;

use jacinthpoint_types::TimeMs;
use rand::{Rng, seq::IndexedRandom};

use crate::{
    directory::{Target, TargetKey},
    load::{LoadTracker, soonest::WaitLimits},
    prediction::PromptDemand,
    stall::StallPolicy,
    upstream_limit::UpstreamLimits,
    urgency::Reserve,
    warm_up::WarmUpLimits,
};

/// Factor by which a target in another data centre counts as more loaded, because traffic to it
/// costs more and its answers arrive later.
pub(super) const FAR_COST_FACTOR: f64 = 1.08;
/// Largest random addition to the cost of a target, as a fraction of it, so that gateways that read
/// the same reported load do not all choose the same target.
const MAX_JITTER: f64 = 0.25;
/// Number of free slots above which further free slots do not make the choice of a target more
/// probable. An engine reads the prompts of requests that arrive together one after the other, so a
/// burst makes all of them late.
const MAX_ROOM: f64 = 10.0;

/// Reason why no target could be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// There is no target, or each was tried for this request, is suspended, stalled or ejected.
    NoTarget,
    /// All usable targets want no requests for a time.
    Paused,
    /// All usable targets shed load, or have no free slot and a full queue.
    NoRoom,
    /// All usable targets with room have a limit or are cold, and this gateway has no permit.
    Limited,
    /// No usable target with room is predicted to send the first event in time.
    TooLate,
    /// All targets that would send the first event in time are kept for more urgent requests.
    Reserved,
}

/// Candidate targets for one attempt of a request, and the conditions on them.
#[derive(Debug, Clone, Copy)]
pub struct Selection<'a> {
    /// Targets that serve the service and model of the request.
    pub targets: &'a [Arc<Target>],
    /// Targets at which an earlier attempt of this request was made; they are not chosen again.
    pub tried: &'a [TargetKey],
    /// Number of waiting requests at which a target is full, as a fraction of its slots.
    pub queue_share: f64,
    /// What the request asks of a group; `None` for plain services and for requests without a
    /// known length. Targets are then compared by their requests alone.
    pub prompt: Option<PromptDemand<'a>>,
    /// Whether the request is refused if no group is predicted to send its first event in time.
    pub is_wait_limited: bool,
    /// What the request leaves to more urgent ones, if it has a prompt of known length.
    pub reserve: Option<Reserve>,
    /// Limit after which a group without events is considered stalled and is not chosen; `None` for
    /// plain services, whose targets are not checked for stalls.
    pub stall_policy: Option<StallPolicy>,
    /// Limits of the targets' upstreams; `None` if there are none.
    pub limits: Option<&'a UpstreamLimits>,
    /// Limits on requests to those of them that are cold; `None` if there are none.
    pub warm_ups: Option<&'a WarmUpLimits>,
}

impl LoadTracker {
    /// Returns the mean time between two events over the targets for which one is known, or 1 ms if
    /// there is none. A new group is assumed to have this mean: if it seemed faster than all
    /// others, all gateways would send their requests there.
    fn usual_gap_ms(&self, targets: &[Arc<Target>]) -> f64 {
        let gap_ms = |target: &Arc<Target>| self.loads.get(&target.key)?.mean_gap_ms;
        let (sum, count) = targets
            .iter()
            .filter_map(gap_ms)
            .fold((0.0, 0.0), |(sum, count), gap_ms| {
                (sum + gap_ms, count + 1.0)
            });
        if count > 0.0 { sum / count } else { 1.0 }
    }

    /// Chooses a target that is usable and has room. With a valid answer of the hub, the choice is
    /// random: by the predicted time to the first event if the length of the prompt is known, by
    /// room otherwise. Without one, it is the target with the lowest cost.
    ///
    /// # Errors
    ///
    /// Returns the reason if no target can take the request.
    pub fn choose(
        &self,
        selection: &Selection<'_>,
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> Result<Arc<Target>, Refusal> {
        let Selection {
            targets,
            tried,
            queue_share,
            prompt,
            is_wait_limited,
            reserve,
            stall_policy,
            limits,
            warm_ups,
        } = *selection;
        let keys: Vec<TargetKey> = targets.iter().map(|target| target.key.clone()).collect();
        let usable = self.ejector.usable(&keys, now);
        let is_usable = |target: &&Arc<Target>| {
            !tried.contains(&target.key)
                && !self.is_suspended_or_stalled(&target.key, stall_policy, now)
                && usable.contains(&target.key)
        };
        let may_send = |target: &Target| {
            let upstream = &target.upstream;
            // Not `&&`: a permit is asked for wherever one is missing.
            limits.is_none_or(|limits| limits.may_send(upstream, now))
                & warm_ups.is_none_or(|warm_ups| warm_ups.may_send(upstream, now))
        };
        let takes_requests =
            |target: &Target| self.statements.takes_requests(&target.upstream, now);
        let (mut has_usable, mut has_limited, mut has_paused) = (false, false, false);
        let mut with_room: Vec<(f64, &Arc<Target>)> = Vec::new();
        for target in targets.iter().filter(is_usable) {
            if !takes_requests(target) {
                has_paused |= self.statements.pause_ms(&target.upstream, now).is_some();
                continue;
            }
            has_usable = true;
            if !self.has_room(target, queue_share, now) {
                continue;
            }
            if may_send(target) {
                with_room.push((self.load(&target.key, now), target));
            } else {
                has_limited = true;
            }
        }
        let chosen = match &prompt {
            _ if !self.peers.is_fresh(now) => {
                self.lowest_cost(&with_room, self.usual_gap_ms(targets), rng)
            }
            Some(prompt) if !with_room.is_empty() => {
                let limits = WaitLimits {
                    is_wait_limited,
                    reserve,
                };
                Some(self.soonest(&with_room, prompt, limits, now, rng)?)
            }
            _ => self.random_by_room(&with_room, queue_share, now, rng),
        };
        match chosen {
            Some(target) => Ok(target.clone()),
            None if has_limited => Err(Refusal::Limited),
            None if has_usable => Err(Refusal::NoRoom),
            None if has_paused => Err(Refusal::Paused),
            None => Err(Refusal::NoTarget),
        }
    }

    /// Returns whether a target does not shed load, and has a free slot or a place in its queue.
    pub(super) fn has_room(&self, target: &Target, queue_share: f64, now: TimeMs) -> bool {
        let shed_until = self.loads.get(&target.key).and_then(|load| load.shed_until);
        let is_shedding = shed_until.is_some_and(|until| !until.has_passed(now));
        let places = f64::from(target.slots) * (1.0 + queue_share);
        !is_shedding && self.load(&target.key, now) < places
    }

    /// Returns the target with the lowest cost: its requests per slot times its mean time between
    /// two events, times [`FAR_COST_FACTOR`] in another data centre. The loads are uncertain
    /// without the reports of the other gateways, so random jitter is added and targets that are
    /// nearly the best are chosen, too. `usual_gap_ms` is used if the time between events is
    /// not known.
    fn lowest_cost<'a>(
        &self,
        targets: &[(f64, &'a Arc<Target>)],
        usual_gap_ms: f64,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<Target>> {
        let cost = |(requests, target): &(f64, &Arc<Target>), jitter: f64| {
            let load = self.loads.get(&target.key).copied().unwrap_or_default();
            let distance_factor = if target.is_near { 1.0 } else { FAR_COST_FACTOR };
            let gap_ms = load.mean_gap_ms.unwrap_or(usual_gap_ms).max(1.0);
            (requests + 1.0) / f64::from(target.slots) * distance_factor * gap_ms * (1.0 + jitter)
        };
        let costs = targets
            .iter()
            .map(|entry| (cost(entry, rng.random_range(0.0..MAX_JITTER)), entry.1));
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        least.map(|(_, target)| target)
    }

    /// Returns a random target, weighted by its room. All gateways have the same loads, and those that
    /// choose between two load exchanges must not all choose the same target. The room of a target is
    /// what is left of its capacity; if no target has any, it is the free places in its queue. It counts
    /// up to [`MAX_ROOM`], and less in another data centre.
    fn random_by_room<'a>(
        &self,
        targets: &[(f64, &'a Arc<Target>)],
        queue_share: f64,
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<Target>> {
        let free = |(requests, target): &(f64, &Arc<Target>)| {
            self.capacities.requests(&target.key, target.slots, now) - requests
        };
        let has_free = targets.iter().any(|entry| free(entry) > 0.0);
        let room = |entry: &(f64, &Arc<Target>)| {
            let (requests, target) = entry;
            let slots = f64::from(target.slots);
            // Places count for less at a target that takes fewer requests well than it has slots.
            let room = if has_free {
                free(entry)
            } else {
                let capacity = self.capacities.requests(&target.key, target.slots, now);
                (slots * (1.0 + queue_share) - requests) * capacity / slots
            };
            let distance_factor = if target.is_near { 1.0 } else { FAR_COST_FACTOR };
            room.clamp(0.0, MAX_ROOM) / distance_factor
        };
        // The weighted choice fails if there is no target, or if rounding makes all weights zero; any
        // target will do then.
        let chosen = targets.choose_weighted(rng, room).ok().or(targets.last());
        chosen.map(|(_, target)| *target)
    }
}
