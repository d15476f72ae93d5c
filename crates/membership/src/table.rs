//! What is believed of each node.

use std::collections::BTreeMap;

use jacinthpoint_types::{NodeId, TimeMs};
use jacinthpoint_wire::{PeerState, PeerStatus, PeerUpdate};

/// How long a gone node is remembered, so that late news cannot bring it back.
const FORGET_MS: u64 = 120_000;

#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) state: PeerState,
    pub(crate) status: PeerStatus,
    pub(crate) since: TimeMs,
}

impl Peer {
    pub(crate) fn update(&self) -> PeerUpdate {
        PeerUpdate {
            peer: self.state.clone(),
            status: self.status,
        }
    }
}

/// Nodes other than this one.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    peers: BTreeMap<NodeId, Peer>,
}

impl PeerTable {
    pub(crate) fn get(&self, node: &NodeId) -> Option<&Peer> {
        self.peers.get(node)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Takes what a node says of itself; returns whether others should hear of it.
    pub(crate) fn on_direct(&mut self, state: PeerState, now: TimeMs) -> bool {
        let Some(peer) = self.peers.get_mut(&state.node) else {
            let node = state.node.clone();
            self.peers.insert(
                node,
                Peer {
                    state,
                    status: PeerStatus::Live,
                    since: now,
                },
            );
            return true;
        };
        if state.incarnation < peer.state.incarnation {
            return false;
        }
        // A revision alone spreads with the configuration and is no news.
        let is_news = peer.status != PeerStatus::Live
            || peer.state.incarnation != state.incarnation
            || peer.state.leaving != state.leaving
            || peer.state.address != state.address;
        if is_news {
            peer.since = now;
        }
        peer.state = state;
        peer.status = PeerStatus::Live;
        is_news
    }

    /// Takes what a node says of another; returns whether it was new. Of two words on the same
    /// incarnation the worse one counts, since only the node itself may refute it.
    pub(crate) fn on_update(&mut self, news: &PeerUpdate, now: TimeMs) -> bool {
        if let Some(peer) = self.peers.get(&news.peer.node) {
            let known = (peer.state.incarnation, peer.status);
            if (news.peer.incarnation, news.status) <= known {
                return false;
            }
        }
        let peer = Peer {
            state: news.peer.clone(),
            status: news.status,
            since: now,
        };
        self.peers.insert(news.peer.node.clone(), peer);
        true
    }

    /// Marks a node as suspect or gone.
    pub(crate) fn set_status(&mut self, node: &NodeId, status: PeerStatus, now: TimeMs) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.status = status;
            peer.since = now;
        }
    }

    /// Suspects whose time to refute is over.
    pub(crate) fn unrefuted(&self, now: TimeMs, suspicion_ms: u64) -> Vec<NodeId> {
        let over = self.peers.values().filter(|peer| {
            peer.status == PeerStatus::Suspect && now.since_ms(peer.since) >= suspicion_ms
        });
        over.map(|peer| peer.state.node.clone()).collect()
    }

    /// Forgets nodes that have long been gone.
    pub(crate) fn forget(&mut self, now: TimeMs) {
        self.peers.retain(|_, peer| {
            peer.status != PeerStatus::Gone || now.since_ms(peer.since) < FORGET_MS
        });
    }
}
