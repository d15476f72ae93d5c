//! Choice of a candidate by load and distance, by the power of two random choices.

use rand::Rng;

use crate::load::estimated_load;

/// Factor on the load of a far candidate. A far candidate is chosen instead of a near one only if
/// the load of the near one is higher than this factor times the load of the far one, plus
/// [`FAR_LOAD_MARGIN`].
const FAR_LOAD_FACTOR: f64 = 1.2;
/// Number of requests added to the multiple of the far candidate's load. Without it, a load of one
/// request against none would count as a large difference.
const FAR_LOAD_MARGIN: f64 = 2.0;

/// Group or server that could run a request, with its load.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<K> {
    /// Identity of the group or server.
    pub key: K,
    /// Number of requests that this node has in flight at the candidate.
    pub in_flight: u32,
    /// Number of requests of all nodes at the candidate, as last reported.
    pub reported: u32,
    /// Age of the report, in ms.
    pub report_age_ms: u64,
    /// Set if the candidate is in this node's data centre.
    pub is_near: bool,
}

impl<K> Candidate<K> {
    /// Returns the estimated number of requests at the candidate, see [`estimated_load`].
    pub fn load(&self) -> f64 {
        estimated_load(self.in_flight, self.reported, self.report_age_ms)
    }
}

/// Chooses the less loaded of two different random candidates. Chooses the only candidate if there
/// is one, and returns `None` if there is none.
///
/// If nodes chose the least loaded of all candidates, all nodes that got the same report would
/// choose the same one.
pub fn choose<'a, K>(candidates: &'a [Candidate<K>], rng: &mut impl Rng) -> Option<&'a K> {
    let chosen = less_loaded_of_two(candidates.len(), |index| &candidates[index], rng);
    chosen.map(|candidate| &candidate.key)
}

/// Chooses as [`choose`] does, but prefers near candidates: a far one is chosen only if there is no
/// near one or if the near one has a clearly higher load.
pub fn choose_near<'a, K>(candidates: &'a [Candidate<K>], rng: &mut impl Rng) -> Option<&'a K> {
    let (near, far): (Vec<_>, Vec<_>) = candidates.iter().partition(|c| c.is_near);
    let near = less_loaded_of_two(near.len(), |index| near[index], rng);
    let far = less_loaded_of_two(far.len(), |index| far[index], rng);
    let chosen = match (near, far) {
        (Some(near), Some(far)) if is_far_preferred(near, far) => Some(far),
        (near, far) => near.or(far),
    };
    chosen.map(|candidate| &candidate.key)
}

/// Returns whether the load of `near` is so much higher that `far` is chosen instead.
fn is_far_preferred<K>(near: &Candidate<K>, far: &Candidate<K>) -> bool {
    near.load() > FAR_LOAD_FACTOR * far.load() + FAR_LOAD_MARGIN
}

/// Returns the less loaded of two different random candidates out of `count`, the only one if
/// `count` is 1, and `None` if it is 0. `at` returns the candidate at an index.
fn less_loaded_of_two<'a, K: 'a>(
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
