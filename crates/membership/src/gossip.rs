//! Queue of membership updates that are piggybacked on outgoing messages.

use std::collections::BTreeMap;

use jacinthpoint_types::NodeId;
use jacinthpoint_wire::PeerUpdate;

/// Maximum number of queued updates in one message; keeps the message well below the MTU.
pub const MAX_UPDATES_PER_MESSAGE: usize = 6;
/// Number of messages in which each update is sent, per doubling of the number of nodes. With
/// fewer, some nodes would miss updates when messages are lost.
const SENDS_PER_DOUBLING: u32 = 3;

/// Update and the number of messages in which it is still to be sent.
#[derive(Debug)]
struct QueuedUpdate {
    update: PeerUpdate,
    sends_left: u32,
}

/// Updates to send, at most one for each node.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    queued: BTreeMap<NodeId, QueuedUpdate>,
}

impl GossipQueue {
    /// Adds an update and drops the queued one about the same node, if any. `nodes` is the number of
    /// other nodes, which determines how often the update is sent.
    pub(crate) fn push(&mut self, update: PeerUpdate, nodes: usize) {
        let doublings = usize::BITS - nodes.leading_zeros();
        let sends_left = SENDS_PER_DOUBLING * (doublings + 1);
        self.queued.insert(
            update.peer.node.clone(),
            QueuedUpdate { update, sends_left },
        );
    }

    /// Returns the updates for one message, those with the most sends left first, and counts them
    /// as sent.
    pub(crate) fn take(&mut self) -> Vec<PeerUpdate> {
        let mut due: Vec<(u32, NodeId)> = self
            .queued
            .iter()
            .map(|(node, queued)| (queued.sends_left, node.clone()))
            .collect();
        due.sort_by(|a, b| b.cmp(a));
        due.truncate(MAX_UPDATES_PER_MESSAGE);
        due.into_iter()
            .filter_map(|(_, node)| self.take_one(&node))
            .collect()
    }

    /// Returns the update about a node for one message, and removes it from the queue if that was
    /// its last send.
    fn take_one(&mut self, node: &NodeId) -> Option<PeerUpdate> {
        let queued = self.queued.get_mut(node)?;
        let update = queued.update.clone();
        queued.sends_left -= 1;
        if queued.sends_left == 0 {
            self.queued.remove(node);
        }
        Some(update)
    }
}
