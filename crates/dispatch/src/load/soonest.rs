//! Choice of a target for a request with a prompt, by the predicted time to its first event.

use std::sync::Arc;

use jacinthpoint_types::TimeMs;
use rand::{Rng, seq::IndexedRandom};

use crate::{
    directory::{Target, TargetKey},
    load::{LoadTracker, choice::FAR_COST_FACTOR},
    prediction::PromptDemand,
};

/// Weight of the share of slots in use against the predicted time until the first event, in usual
/// prompts. Of two groups with equally many tokens to read, the one with fewer streams is faster.
const BUSY_WEIGHT: f64 = 2.0;
/// Unread tokens of a group above which it is avoided, as a fraction of what one pass may read. More
/// requests arrive before the pass ends, so a group that is filled up to the limit exceeds it.
const LONG_PASS_FILL: f64 = 0.6;
/// Range of predicted times among which the choice is random, in usual prompts. The loads of other
/// gateways are out of date by about that much.
const CHOICE_SPREAD: f64 = 0.5;
/// Smallest limit on the wait at a group, as a fraction of the objective for the first event: an idle
/// group takes requests even if it is too slow for the objective.
const MIN_WAIT_SHARE: f64 = 0.25;
/// Overhead that is assumed before any was measured, as a fraction of the same objective.
const ASSUMED_OVERHEAD_SHARE: f64 = 0.5;
/// Age at which a measured overhead counts half.
const OVERHEAD_HALF_LIFE_MS: f64 = 2_000.0;

impl LoadTracker {
    /// Returns a random target, weighted by the predicted time until the first event, out of
    /// `targets` with the number of requests at each. Targets that would read so much in one pass that
    /// the streams they run are paused for too long are avoided. If `is_wait_limited` is set, returns
    /// `None` if all targets would send the first event after its objective.
    pub(super) fn soonest<'a>(
        &self,
        targets: &[(f64, &'a Arc<Target>)],
        prompt: &PromptDemand<'_>,
        is_wait_limited: bool,
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> Option<&'a Arc<Target>> {
        let usual_overhead_ms = self.usual_overhead_ms(targets, prompt);
        let objective_ms = prompt.first_event_objective_ms as f64;
        let keys = targets.iter().map(|(_, target)| &target.key);
        let usual_slowness = self.capacities.usual_slowness(keys);
        let cost_ms = |(requests, target): &(f64, &Arc<Target>)| {
            let unread_tokens = self.unread_tokens(&target.key, now);
            let slowness = usual_slowness.map_or(1.0, |usual| {
                self.capacities.slowness(&target.key, usual, now)
            });
            let wait_ms = prompt.wait_ms(unread_tokens, *requests) * slowness;
            let overhead_ms = self.overhead_ms(&target.key, usual_overhead_ms, now);
            let pass_fill = prompt.pass_fill(unread_tokens, *requests);
            let max_wait_ms = (objective_ms - overhead_ms).max(objective_ms * MIN_WAIT_SHARE);
            if is_wait_limited && wait_ms > max_wait_ms {
                return None;
            }
            let busy = requests / self.capacities.requests(&target.key, target.slots, now);
            let long_pass_ms =
                (pass_fill - LONG_PASS_FILL).max(0.0) * prompt.gap_objective_ms as f64;
            let cost_ms = wait_ms
                + overhead_ms
                + busy * prompt.usual_reading_ms() * slowness * BUSY_WEIGHT
                + long_pass_ms;
            let distance_factor = if target.is_near { 1.0 } else { FAR_COST_FACTOR };
            Some(cost_ms * distance_factor)
        };
        let costs: Vec<(f64, &Arc<Target>)> = targets
            .iter()
            .filter_map(|entry| Some((cost_ms(entry)?, entry.1)))
            .collect();
        let least = costs.iter().map(|(cost, _)| *cost).min_by(f64::total_cmp)?;
        let scale_ms = (prompt.usual_reading_ms() * CHOICE_SPREAD).max(1.0);
        let weight = |(cost, _): &(f64, &Arc<Target>)| (-(cost - least) / scale_ms).exp();
        let chosen = costs.choose_weighted(rng, weight).ok().or(costs.first());
        chosen.map(|(_, target)| *target)
    }

    /// Returns the mean overhead (see [`LoadTracker::on_first_event`]) of the targets for which it is
    /// known, or an assumed one if there is none.
    fn usual_overhead_ms(&self, targets: &[(f64, &Arc<Target>)], prompt: &PromptDemand<'_>) -> f64 {
        let known = |(_, target): &(f64, &Arc<Target>)| {
            let (mean_ms, _) = self.loads.get(&target.key)?.overhead_ms?;
            Some(mean_ms)
        };
        let known: Vec<f64> = targets.iter().filter_map(known).collect();
        if known.is_empty() {
            return prompt.first_event_objective_ms as f64 * ASSUMED_OVERHEAD_SHARE;
        }
        known.iter().sum::<f64>() / known.len() as f64
    }

    /// Returns the overhead of a target. A measured one approaches the usual one with its age, so
    /// that a target that was slow is tried again.
    fn overhead_ms(&self, key: &TargetKey, usual_ms: f64, now: TimeMs) -> f64 {
        let measured = self.loads.get(key).and_then(|load| load.overhead_ms);
        measured.map_or(usual_ms, |(mean_ms, at)| {
            let weight = 0.5_f64.powf(now.since_ms(at) as f64 / OVERHEAD_HALF_LIFE_MS);
            usual_ms + (mean_ms - usual_ms) * weight
        })
    }
}
