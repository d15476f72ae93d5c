//! News waiting to be passed on.

use std::collections::BTreeMap;

use jacinthpoint_types::NodeId;
use jacinthpoint_wire::PeerUpdate;

/// News in one message; keeps a message well below the MTU.
pub const MAX_UPDATES_PER_MESSAGE: usize = 6;
/// Times that each piece is sent, for each doubling of the number of nodes. Fewer would leave
/// some nodes out when messages are lost.
const SENDS_PER_DOUBLING: u32 = 3;

#[derive(Debug)]
struct Item {
    news: PeerUpdate,
    sends_left: u32,
}

/// News to pass on, the newest on each node.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    items: BTreeMap<NodeId, Item>,
}

impl GossipQueue {
    /// Adds news that replaces older news on the same node.
    pub(crate) fn push(&mut self, news: PeerUpdate, nodes: usize) {
        let doublings = usize::BITS - nodes.leading_zeros();
        let sends_left = SENDS_PER_DOUBLING * (doublings + 1);
        self.items
            .insert(news.peer.node.clone(), Item { news, sends_left });
    }

    /// Takes news for one message, the least often sent first.
    pub(crate) fn take(&mut self) -> Vec<PeerUpdate> {
        let mut due: Vec<(u32, NodeId)> = self
            .items
            .iter()
            .map(|(node, item)| (item.sends_left, node.clone()))
            .collect();
        due.sort_by(|a, b| b.cmp(a));
        due.truncate(MAX_UPDATES_PER_MESSAGE);
        due.into_iter()
            .filter_map(|(_, node)| self.send_once(&node))
            .collect()
    }

    fn send_once(&mut self, node: &NodeId) -> Option<PeerUpdate> {
        let item = self.items.get_mut(node)?;
        let news = item.news.clone();
        item.sends_left -= 1;
        if item.sends_left == 0 {
            self.items.remove(node);
        }
        Some(news)
    }
}
