//! Subset of the groups to which one node sends requests.
//!
//! At the size for which the fleet is designed, a node that sent requests to every group would hold
//! permits, load reports and connections for hundreds of groups. A subset bounds the state of each
//! node and still spreads all nodes over all groups.

use jacinthpoint_types::rendezvous_weight;

/// Returns the `size` groups that rank highest for a node by rendezvous hashing, or all groups if
/// there are at most `size`. Adding or removing a group changes only the subsets that contain it.
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
