//! Choice among candidates.

use rand::Rng;

/// A place that could run a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate<K> {
    /// What it is.
    pub key: K,
    /// Requests that this node itself has in flight there.
    pub in_flight: u32,
    /// Requests there, as last reported.
    pub reported: u32,
}

/// Picks the less loaded of two random candidates; `None` if there is none.
pub fn choose<'a, K>(candidates: &'a [Candidate<K>], rng: &mut impl Rng) -> Option<&'a K> {
    if candidates.is_empty() {
        return None;
    }
    let first = &candidates[rng.random_range(0..candidates.len())];
    let second = &candidates[rng.random_range(0..candidates.len())];
    let load = |candidate: &Candidate<K>| (candidate.in_flight, candidate.reported);
    Some(if load(second) < load(first) {
        &second.key
    } else {
        &first.key
    })
}
