//! Choice of a target for a request with a prompt, by the predicted time to its first event.

use std::sync::Arc;

use jacinthpoint_types::TimeMs;
use rand::{Rng, seq::IndexedRandom};

use crate::{
    directory::{Target, TargetKey},
    load::{
        LoadTracker,
        choice::{FAR_COST_FACTOR, Refusal},
    },
    prediction::PromptDemand,
    urgency::Reserve,
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

/// Limits on the wait at a target.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitLimits {
    /// Whether the first event must be predicted to come within the request's objective.
    pub(super) is_wait_limited: bool,
    /// What the request leaves to more urgent ones.
    pub(super) reserve: Option<Reserve>,
}

impl Reserve {
    /// Returns whether the reserve would be kept at a group with `unread_tokens` and `requests` if it got
    /// the request, too. A prompt counts up to the usual length: a longer one is read in the time of a
    /// few usual ones, and would otherwise find room far less often. A group with a free slot and nothing
    /// to read takes any.
    fn is_kept(
        &self,
        prompt: &PromptDemand<'_>,
        overhead_ms: f64,
        (unread_tokens, requests): (f64, f64),
    ) -> bool {
        let engine = prompt.engine;
        if unread_tokens <= 0.0 && requests < f64::from(engine.slots) {
            return true;
        }
        let own_tokens = f64::from(prompt.prompt_tokens).min(engine.mean_prompt_tokens);
        let wait_ms = prompt.wait_ms(unread_tokens + own_tokens, requests + 1.0);
        wait_ms <= max_wait_ms(self.objective_ms, overhead_ms) * self.usable_share
    }
}

/// Returns the longest wait at a target with which a request meets this objective.
fn max_wait_ms(objective_ms: u64, overhead_ms: f64) -> f64 {
    let objective_ms = objective_ms as f64;
    (objective_ms - overhead_ms).max(objective_ms * MIN_WAIT_SHARE)
}

impl LoadTracker {
    /// Returns a random target, weighted by the predicted time until the first event, out of
    /// `targets` with the number of requests at each. Targets that would read so much in one pass that
    /// the streams they run are paused for too long are avoided.
    ///
    /// # Errors
    ///
    /// Fails if no target is within the limits, see [`WaitLimits`].
    pub(super) fn soonest<'a>(
        &self,
        targets: &[(f64, &'a Arc<Target>)],
        prompt: &PromptDemand<'_>,
        limits: WaitLimits,
        now: TimeMs,
        rng: &mut impl Rng,
    ) -> Result<&'a Arc<Target>, Refusal> {
        let usual_overhead_ms = self.usual_overhead_ms(targets, prompt);
        let keys = targets.iter().map(|(_, target)| &target.key);
        let usual_slowness = self.capacities.usual_slowness(keys, now);
        let mut is_reserved = false;
        let mut cost_ms = |(requests, target): &(f64, &Arc<Target>)| {
            let unread_tokens = self.unread_tokens(&target.key, now);
            let slowness = usual_slowness.map_or(1.0, |usual| {
                self.capacities.slowness(&target.key, usual, now)
            });
            let wait_ms = prompt.wait_ms(unread_tokens, *requests);
            let overhead_ms = self.overhead_ms(&target.key, usual_overhead_ms, now);
            let pass_fill = prompt.pass_fill(unread_tokens, *requests);
            let max_wait_ms = max_wait_ms(prompt.first_event_objective_ms, overhead_ms);
            if limits.is_wait_limited && wait_ms > max_wait_ms {
                return None;
            }
            let state = (unread_tokens, *requests);
            if limits
                .reserve
                .is_some_and(|reserve| !reserve.is_kept(prompt, overhead_ms, state))
            {
                is_reserved = true;
                return None;
            }
            let busy = requests / self.capacities.requests(&target.key, target.slots, now);
            let long_pass_ms =
                (pass_fill - LONG_PASS_FILL).max(0.0) * prompt.gap_objective_ms as f64;
            // What was learnt only moves requests: the limits above decide by the engine's parameters.
            let cost_ms = wait_ms * slowness
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
        let least = costs.iter().map(|(cost, _)| *cost);
        let least = least.min_by(f64::total_cmp).ok_or(match is_reserved {
            true => Refusal::Reserved,
            false => Refusal::TooLate,
        })?;
        let scale_ms = (prompt.usual_reading_ms() * CHOICE_SPREAD).max(1.0);
        let weight = |(cost, _): &(f64, &Arc<Target>)| (-(cost - least) / scale_ms).exp();
        let chosen = costs.choose_weighted(rng, weight).ok().or(costs.first());
        chosen.map(|(_, target)| *target).ok_or(Refusal::TooLate)
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
