//! Rendezvous hashing: deals control work over the live nodes without electing any.
//!
//! Every node ranks the nodes it believes live for a piece of work. Nodes that agree on who is
//! live agree on the ranking, and when one node goes only its own work moves.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `node` for `work`; the highest weight owns the work.
pub fn rendezvous_weight(work: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(work.as_bytes(), 0))
}

/// The nodes ordered by weight for `work`, the owner first.
pub fn rendezvous_order<'a, N: AsRef<str> + 'a>(
    work: &str,
    nodes: impl IntoIterator<Item = &'a N>,
) -> Vec<&'a N> {
    let mut order: Vec<&N> = nodes.into_iter().collect();
    order.sort_by_cached_key(|&node| {
        (
            Reverse(rendezvous_weight(work, node.as_ref())),
            node.as_ref(),
        )
    });
    order
}
