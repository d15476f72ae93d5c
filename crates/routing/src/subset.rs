//! The part of all groups that one node sends to.
//!
//! At the target size a node before every group would hold permits, load reports and connections
//! of hundreds. A subset keeps each node's state bounded and still spreads all nodes over all
//! groups.

use jacinthpoint_types::rendezvous_weight;

/// Keeps the `size` groups that rank highest for a node. Groups that come or go change the subsets
/// only where they stand.
pub fn subset<'a, G: AsRef<str>>(node: &str, groups: &'a [G], size: usize) -> Vec<&'a G> {
    if groups.len() <= size {
        return groups.iter().collect();
    }
    let mut ranked: Vec<(u64, &G)> = groups
        .iter()
        .map(|group| (rendezvous_weight(node, group.as_ref()), group))
        .collect();
    ranked.select_nth_unstable_by(size, |a, b| b.0.cmp(&a.0));
    ranked.truncate(size);
    ranked.into_iter().map(|(_, group)| group).collect()
}
