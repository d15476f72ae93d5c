//! Table of the other nodes, with the last known state and status of each.

use std::collections::BTreeMap;

use jacinthpoint_types::{NodeId, TimeMs};
use jacinthpoint_wire::{PeerState, PeerStatus, PeerUpdate};

/// Time for which a gone node is kept in the table, so that a delayed update cannot make it live
/// again.
const GONE_EXPIRY_MS: u64 = 120_000;

/// Last known state and status of one node.
#[derive(Debug, Clone)]
pub(crate) struct Peer {
    pub(crate) state: PeerState,
    pub(crate) status: PeerStatus,
    /// Time of the last change of status, incarnation, address or `leaving`.
    pub(crate) changed_at: TimeMs,
}

impl Peer {
    /// Returns the update to gossip about this peer.
    pub(crate) fn to_update(&self) -> PeerUpdate {
        PeerUpdate {
            peer: self.state.clone(),
            status: self.status,
        }
    }
}

/// Last known state and status of each other node.
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

    /// Records the state that a node sent of itself and marks the node live; ignores an incarnation
    /// lower than the known one. Returns whether the change must be gossiped.
    pub(crate) fn on_sender_state(&mut self, state: PeerState, now: TimeMs) -> bool {
        let Some(peer) = self.peers.get_mut(&state.node) else {
            let node = state.node.clone();
            self.peers.insert(
                node,
                Peer {
                    state,
                    status: PeerStatus::Live,
                    changed_at: now,
                },
            );
            return true;
        };
        if state.incarnation < peer.state.incarnation {
            return false;
        }
        // A changed revision alone is not gossiped: the node announces a new configuration by
        // `ConfigNews`, and each of its messages carries its revision.
        let is_changed = peer.status != PeerStatus::Live
            || peer.state.incarnation != state.incarnation
            || peer.state.leaving != state.leaving
            || peer.state.address != state.address;
        if is_changed {
            peer.changed_at = now;
        }
        peer.state = state;
        peer.status = PeerStatus::Live;
        is_changed
    }

    /// Records an update that one node sent about another and returns whether it was new. Of two
    /// updates about the same incarnation the one with the worse status wins: an update refutes a
    /// suspicion only by a higher incarnation, which only the node itself sets. A message from the
    /// node itself refutes a suspicion without a higher incarnation, too (see
    /// [`PeerTable::on_sender_state`]).
    pub(crate) fn on_update(&mut self, update: &PeerUpdate, now: TimeMs) -> bool {
        if let Some(peer) = self.peers.get(&update.peer.node) {
            let known = (peer.state.incarnation, peer.status);
            if (update.peer.incarnation, update.status) <= known {
                return false;
            }
        }
        let peer = Peer {
            state: update.peer.clone(),
            status: update.status,
            changed_at: now,
        };
        self.peers.insert(update.peer.node.clone(), peer);
        true
    }

    /// Sets the status of a node.
    pub(crate) fn set_status(&mut self, node: &NodeId, status: PeerStatus, now: TimeMs) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.status = status;
            peer.changed_at = now;
        }
    }

    /// Returns the suspects that have not refuted the suspicion within `suspicion_ms`.
    pub(crate) fn expired_suspects(&self, now: TimeMs, suspicion_ms: u64) -> Vec<NodeId> {
        let expired = self.peers.values().filter(|peer| {
            peer.status == PeerStatus::Suspect && now.since_ms(peer.changed_at) >= suspicion_ms
        });
        expired.map(|peer| peer.state.node.clone()).collect()
    }

    /// Removes nodes that have been gone for [`GONE_EXPIRY_MS`].
    pub(crate) fn remove_long_gone(&mut self, now: TimeMs) {
        self.peers.retain(|_, peer| {
            peer.status != PeerStatus::Gone || now.since_ms(peer.changed_at) < GONE_EXPIRY_MS
        });
    }
}
