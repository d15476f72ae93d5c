//! Choice among candidates.

use rand::Rng;

use crate::load::estimated_load;

/// How many times as loaded a near candidate must be before a far one is taken.
const SPILL_RATIO: f64 = 1.2;
/// Requests that it must have beyond that, so that nearly idle places do not count as far apart.
const SPILL_EXTRA: f64 = 2.0;

/// A place that could run a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<K> {
    /// What it is.
    pub key: K,
    /// Requests that this node itself has in flight there.
    pub in_flight: u32,
    /// Requests there, as last reported.
    pub reported: u32,
    /// Age of that report.
    pub report_age_ms: u64,
    /// Whether it is in this node's data centre.
    pub is_near: bool,
}

impl<K> Candidate<K> {
    /// Requests that are probably there now.
    pub fn load(&self) -> f64 {
        estimated_load(self.in_flight, self.reported, self.report_age_ms)
    }
}

/// Picks the less loaded of two different random candidates; `None` if there is none.
///
/// The least loaded of all would be the same one for every node that sees the same report.
pub fn choose<'a, K>(candidates: &'a [Candidate<K>], rng: &mut impl Rng) -> Option<&'a K> {
    let chosen = better_of_two(candidates.len(), |index| &candidates[index], rng);
    chosen.map(|candidate| &candidate.key)
}

/// As [`choose`], among the near candidates first; a far one is taken where there is no near one
/// or the near one has clearly more to do.
pub fn choose_near<'a, K>(candidates: &'a [Candidate<K>], rng: &mut impl Rng) -> Option<&'a K> {
    let (near, far): (Vec<_>, Vec<_>) = candidates.iter().partition(|c| c.is_near);
    let near = better_of_two(near.len(), |index| near[index], rng);
    let far = better_of_two(far.len(), |index| far[index], rng);
    let chosen = match (near, far) {
        (Some(near), Some(far)) if spills(near, far) => Some(far),
        (near, far) => near.or(far),
    };
    chosen.map(|candidate| &candidate.key)
}

fn spills<K>(near: &Candidate<K>, far: &Candidate<K>) -> bool {
    near.load() > SPILL_RATIO * far.load() + SPILL_EXTRA
}

fn better_of_two<'a, K: 'a>(
    count: usize,
    at: impl Fn(usize) -> &'a Candidate<K>,
    rng: &mut impl Rng,
) -> Option<&'a Candidate<K>> {
    let first_index = match count {
        0 => return None,
        1 => return Some(at(0)),
        count => rng.random_range(0..count),
    };
    let step = rng.random_range(1..count);
    let (first, second) = (at(first_index), at((first_index + step) % count));
    Some(if second.load() < first.load() {
        second
    } else {
        first
    })
}
