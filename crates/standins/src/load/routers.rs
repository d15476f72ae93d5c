//! Ways to choose a group: the baselines, and the ones of the routing crate.

use jacinthpoint_routing::{Candidate, choose, choose_near, choose_with_affinity};
use rand::{Rng, rngs::SmallRng};

/// Chooses an index among the candidates; the number is the prompt's prefix.
pub type Router = Box<dyn FnMut(&[Candidate<usize>], u64, &mut SmallRng) -> Option<usize>>;

/// Ways to choose, by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RouterKind {
    /// Any.
    Random,
    /// One after another, each node for itself.
    RoundRobin,
    /// The one with the least reported load.
    LeastReported,
    /// The better of two random ones by own in-flight, the report only breaking ties.
    TwoByInFlight,
    /// The better of two random ones by estimated load.
    TwoByEstimate,
    /// The same among groups in the node's own data centre first.
    NearFirst,
    /// By the prompt's prefix, within a bound on load.
    Affinity,
}

impl RouterKind {
    /// A router of this kind for one node.
    pub fn router(self) -> Router {
        match self {
            RouterKind::Random => Box::new(|candidates, _, rng| {
                let index = (!candidates.is_empty()).then(|| rng.random_range(0..candidates.len()));
                index.map(|index| candidates[index].key)
            }),
            RouterKind::RoundRobin => round_robin(),
            RouterKind::LeastReported => Box::new(|candidates, _, _| {
                let least = candidates.iter().min_by_key(|c| c.reported);
                least.map(|candidate| candidate.key)
            }),
            RouterKind::TwoByInFlight => {
                Box::new(|candidates, _, rng| two_by_in_flight(candidates, rng))
            }
            RouterKind::NearFirst => {
                Box::new(|candidates, _, rng| choose_near(candidates, rng).copied())
            }
            RouterKind::Affinity => Box::new(|candidates, prefix, rng| {
                let hash_of = |key: &usize| *key as u64;
                choose_with_affinity(candidates, prefix, hash_of, rng).copied()
            }),
            RouterKind::TwoByEstimate => {
                Box::new(|candidates, _, rng| choose(candidates, rng).copied())
            }
        }
    }
}

fn round_robin() -> Router {
    let mut next = None;
    Box::new(move |candidates, _, rng| {
        if candidates.is_empty() {
            return None;
        }
        // Nodes that all began with the first would move in step.
        let turn: usize = next.unwrap_or_else(|| rng.random_range(0..candidates.len()));
        next = Some(turn + 1);
        Some(candidates[turn % candidates.len()].key)
    })
}

fn two_by_in_flight(candidates: &[Candidate<usize>], rng: &mut SmallRng) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let first = &candidates[rng.random_range(0..candidates.len())];
    let second = &candidates[rng.random_range(0..candidates.len())];
    let load = |candidate: &Candidate<usize>| (candidate.in_flight, candidate.reported);
    let best = if load(second) < load(first) {
        second
    } else {
        first
    };
    Some(best.key)
}
