//! Rendezvous hashing: assigns work that one or a few nodes do for all, such as reading the store,
//! to the live nodes without an election.
//!
//! Every node orders the nodes that it considers live by their weights for a piece of work. Nodes
//! that agree on which nodes are live compute the same order. When a node fails or leaves, only its
//! work moves to other nodes.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `node` for `work`, a hash of both. The node with the highest weight owns
/// the work.
pub fn rendezvous_weight(work: &str, node: &str) -> u64 {
    xxh3_64_with_seed(node.as_bytes(), xxh3_64_with_seed(work.as_bytes(), 0))
}

/// Returns the nodes by descending weight for `work`, so that the owner is first. Nodes of equal
/// weight are ordered by name.
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
