//! Open-loop arrivals: requests come whether or not earlier ones were answered.

use jacinthpoint_types::{OrganisationId, Priority};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::load::shape::{ClassShape, OrganisationShape, Shape};

/// Longest prompt or answer, as a multiple of the mean.
const MAX_LENGTH_FACTOR: f64 = 5.0;

/// One request that comes.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When, from the start.
    pub at_ms: u64,
    /// Who asks.
    pub organisation: OrganisationId,
    /// In which class.
    pub priority: Priority,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Length of the answer.
    pub answer_tokens: u32,
    /// Prefix that the prompt shares with others.
    pub prefix: u64,
    /// Time from arrival to the deadline of the whole answer.
    pub patience_ms: u64,
}

/// Poisson arrivals of a shape at a mean rate outside bursts. The same seed gives the same ones.
pub fn arrivals(shape: &Shape, rate_per_s: f64, duration_ms: u64, seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let max_factor = shape.max_factor();
    let mut at_ms = 0.0;
    let mut all = Vec::new();
    loop {
        at_ms += exponential(&mut rng, 1_000.0 / (rate_per_s * max_factor));
        if at_ms >= duration_ms as f64 {
            return all;
        }
        // Thinning: draws at the highest rate and keeps the share that is due at this time.
        let kept = rng.random::<f64>() < shape.factor_at(at_ms as u64) / max_factor;
        if kept {
            all.push(draw(shape, at_ms as u64, &mut rng));
        }
    }
}

fn draw(shape: &Shape, at_ms: u64, rng: &mut SmallRng) -> Arrival {
    let organisations = &shape.organisations;
    let index = weighted(organisations.iter().map(|o| o.weight), rng);
    let organisation: &OrganisationShape = &organisations[index];
    let class_index = weighted(organisation.classes.iter().map(|c| c.weight), rng);
    let class: &ClassShape = &organisation.classes[class_index];
    let prefix = u64::from(rng.random_range(0..organisation.prefixes));
    Arrival {
        at_ms,
        organisation: organisation.name.parse().expect("shapes use valid names"),
        priority: class.priority,
        prompt_tokens: length(class.prompt_tokens, rng),
        answer_tokens: length(class.answer_tokens, rng),
        prefix: index as u64 * u64::from(u32::MAX) + prefix,
        patience_ms: class.patience_ms,
    }
}

fn length(mean: f64, rng: &mut SmallRng) -> u32 {
    exponential(rng, mean).clamp(1.0, mean * MAX_LENGTH_FACTOR) as u32
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// An index with a chance in proportion to its weight.
pub(crate) fn weighted(weights: impl Iterator<Item = f64> + Clone, rng: &mut SmallRng) -> usize {
    let mut left = rng.random::<f64>() * weights.clone().sum::<f64>();
    let mut last = 0;
    for (index, weight) in weights.enumerate() {
        last = index;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}
