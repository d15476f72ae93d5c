//! The choice of a target by what is known of the loads.

use std::sync::Arc;

use jacinthpoint_types::TimeMs;
use rand::{Rng, seq::IndexedRandom};

use crate::{
    directory::{Target, TargetKey},
    load::LoadTracker,
    stall::StallPolicy,
};

/// Weight of a target in another data centre: its bytes are dearer and its answers later.
const FAR_WEIGHT: f64 = 1.08;
/// Spread of the random factor on loads, so that gateways that read the same statement do not all
/// choose the same target.
const JITTER: f64 = 0.25;
/// Free places beyond which a target is chosen no more often: the prompts of many requests that
/// come at once are read one after the other, and all of them are late.
const MAX_ROOM: f64 = 10.0;

/// Why no target is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// There is no target, or none that works.
    NoTarget,
    /// All targets have more waiting than the request has time for.
    NoRoom,
}

/// What a request needs of its target.
#[derive(Debug, Clone, Copy)]
pub struct Selection<'a> {
    /// Targets that serve it.
    pub targets: &'a [Arc<Target>],
    /// Targets that failed it.
    pub failed: &'a [TargetKey],
    /// Part of its slots that a target may have waiting before it counts as full.
    pub queue_share: f64,
    /// How long silence of a group is borne; a group that is silent for longer is left alone.
    pub stall_policy: Option<StallPolicy>,
}

impl LoadTracker {
    /// Mean pass of the targets whose passes are known. A new group is taken to be as fast: one that
    /// looked faster than all others would draw the requests of all gateways.
    fn usual_pass_ms(&self, targets: &[Arc<Target>]) -> f64 {
        let pass_ms = |target: &Arc<Target>| self.loads.get(&target.key)?.mean_pass_ms;
        let (sum, count) = targets
            .iter()
            .filter_map(pass_ms)
            .fold((0.0, 0.0), |(sum, count), pass_ms| {
                (sum + pass_ms, count + 1.0)
            });
        if count > 0.0 { sum / count } else { 1.0 }
    }

    /// A target with little work.
    ///
    /// # Errors
    ///
    /// Says why there is none.
    pub fn choose(
        &self,
        selection: &Selection<'_>,
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> Result<Arc<Target>, Refusal> {
        let Selection {
            targets,
            failed,
            queue_share,
            stall_policy,
        } = *selection;
        let keys: Vec<TargetKey> = targets.iter().map(|target| target.key.clone()).collect();
        let usable = self.ejector.usable(&keys, now);
        let is_usable = |target: &&Arc<Target>| {
            !failed.contains(&target.key)
                && !self.is_suspended_or_stalled(&target.key, stall_policy, now)
                && usable.contains(&target.key)
        };
        let mut works = false;
        let mut roomy: Vec<(f64, &Arc<Target>)> = Vec::new();
        for target in targets.iter().filter(is_usable) {
            works = true;
            let load = self.loads.get(&target.key).copied().unwrap_or_default();
            let requests = self.load(&target.key, now);
            let is_shedding = load.shed_until.is_some_and(|until| !until.has_passed(now));
            if !is_shedding && requests < f64::from(target.slots) * (1.0 + queue_share) {
                roomy.push((requests, target));
            }
        }
        let chosen = if self.fleet.is_fresh(now) {
            by_room(&roomy, queue_share, rng)
        } else {
            self.least_loaded(&roomy, self.usual_pass_ms(targets), rng)
        };
        match chosen {
            Some(target) => Ok(target.clone()),
            None if works => Err(Refusal::NoRoom),
            None => Err(Refusal::NoTarget),
        }
    }

    /// The target with the least work for its pace. What is known of each is uncertain, so those
    /// that are nearly the best are chosen too.
    fn least_loaded<'a>(
        &self,
        targets: &[(f64, &'a Arc<Target>)],
        usual_pass_ms: f64,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<Target>> {
        let cost = |(requests, target): &(f64, &Arc<Target>), jitter: f64| {
            let load = self.loads.get(&target.key).copied().unwrap_or_default();
            let distance = if target.is_near { 1.0 } else { FAR_WEIGHT };
            let pace = load.mean_pass_ms.unwrap_or(usual_pass_ms).max(1.0);
            (requests + 1.0) / f64::from(target.slots) * distance * pace * (1.0 + jitter)
        };
        let costs = targets
            .iter()
            .map(|entry| (cost(entry, rng.random_range(0.0..JITTER)), entry.1));
        let least = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        least.map(|(_, target)| target)
    }
}

/// A target by chance, in proportion to its room. All gateways know the same loads, and those that
/// decide between two exchanges must not all choose the same target. A free slot goes before a place
/// in a queue.
fn by_room<'a>(
    targets: &[(f64, &'a Arc<Target>)],
    queue_share: f64,
    rng: &mut impl Rng,
) -> Option<&'a Arc<Target>> {
    let free = |(requests, target): &(f64, &Arc<Target>)| f64::from(target.slots) - requests;
    let has_free = targets.iter().any(|entry| free(entry) > 0.0);
    let room = |entry: &(f64, &Arc<Target>)| {
        let queue = if has_free {
            0.0
        } else {
            f64::from(entry.1.slots) * queue_share
        };
        let distance = if entry.1.is_near { 1.0 } else { FAR_WEIGHT };
        (free(entry) + queue).clamp(0.0, MAX_ROOM) / distance
    };
    // Without any room the last is as good as another.
    let chosen = targets.choose_weighted(rng, room).ok().or(targets.last());
    chosen.map(|(_, target)| *target)
}
