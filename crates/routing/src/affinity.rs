//! Prefix affinity with a load bound.
//!
//! Requests whose prompts share a prefix are sent to the same group, whose engine has that prefix
//! in its cache. Every node ranks the groups for a prefix by rendezvous hashing, so nodes agree
//! without exchanging messages. The choice does not depend on notifications of what each engine has
//! cached, which can be late or lost. A group whose load is clearly above the mean is skipped, so
//! that a popular prefix does not overload one group.

use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::choice::{Candidate, choose};

/// Number of requests above the mean load from which a group is not chosen for affinity. Near
/// full capacity, every request above the mean waits for a slot, which costs more time than the
/// cached prefix saves.
const MAX_ABOVE_MEAN: f64 = 1.0;

/// Chooses the first of the two highest-ranked groups for `prefix` that is within the load bound,
/// or by load alone if neither is. `prefix` is a hash of the prompt's prefix. `hash_of` must return
/// the same value for a group on every node.
pub fn choose_with_affinity<'a, K>(
    candidates: &'a [Candidate<K>],
    prefix: u64,
    hash_of: impl Fn(&K) -> u64,
    rng: &mut impl Rng,
) -> Option<&'a K> {
    let rank = |candidate: &Candidate<K>| {
        xxh3_64_with_seed(&hash_of(&candidate.key).to_le_bytes(), prefix)
    };
    let mut first: Option<(u64, &Candidate<K>)> = None;
    let mut second: Option<(u64, &Candidate<K>)> = None;
    let mut sum = 0.0;
    for candidate in candidates {
        sum += candidate.load();
        let ranked = Some((rank(candidate), candidate));
        if ranked.map(|(rank, _)| rank) > first.map(|(rank, _)| rank) {
            second = first;
            first = ranked;
        } else if ranked.map(|(rank, _)| rank) > second.map(|(rank, _)| rank) {
            second = ranked;
        }
    }
    let bound = sum / candidates.len().max(1) as f64 + MAX_ABOVE_MEAN;
    let is_within = |candidate: &&Candidate<K>| candidate.load() < bound;
    let preferred = [first, second].into_iter().flatten().map(|(_, c)| c);
    preferred
        .into_iter()
        .find(is_within)
        .map(|candidate| &candidate.key)
        .or_else(|| choose(candidates, rng))
}
