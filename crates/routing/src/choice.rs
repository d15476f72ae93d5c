//! Choice among candidates.

use rand::Rng;

use crate::load::estimated_load;

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
    let first_index = match candidates.len() {
        0 => return None,
        1 => return Some(&candidates[0].key),
        count => rng.random_range(0..count),
    };
    let step = rng.random_range(1..candidates.len());
    let first = &candidates[first_index];
    let second = &candidates[(first_index + step) % candidates.len()];
    Some(if second.load() < first.load() {
        &second.key
    } else {
        &first.key
    })
}
