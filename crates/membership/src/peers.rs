//! The nodes that one node knows.

use std::collections::BTreeMap;

use jacinthpoint_types::{NodeId, Revision, TimeMs};
use jacinthpoint_wire::PeerState;

/// A node not heard of for this long is suspect and gets no share of the control work.
pub const SUSPECT_MS: u64 = 2_000;
/// A node not heard of for this long is forgotten.
const FORGET_MS: u64 = 60_000;

#[derive(Debug, Clone)]
struct Peer {
    state: PeerState,
    heard_at: TimeMs,
}

/// What one node knows of the others.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<NodeId, Peer>,
}

impl PeerTable {
    /// An empty table.
    pub fn new() -> PeerTable {
        PeerTable::default()
    }

    /// Takes in what a node says of itself.
    pub fn on_heartbeat(&mut self, state: PeerState, now: TimeMs) {
        match self.peers.get_mut(&state.node) {
            Some(peer) if state.incarnation < peer.state.incarnation => {}
            Some(peer) => {
                *peer = Peer {
                    state,
                    heard_at: now,
                }
            }
            None => {
                self.peers.insert(
                    state.node.clone(),
                    Peer {
                        state,
                        heard_at: now,
                    },
                );
            }
        }
    }

    /// Takes in what another node says of one: enough to send it a heartbeat, not to believe it
    /// live.
    pub fn on_hearsay(&mut self, state: PeerState, now: TimeMs) {
        let unheard = TimeMs(now.0.saturating_sub(SUSPECT_MS));
        let peer = Peer {
            state: state.clone(),
            heard_at: unheard,
        };
        self.peers.entry(state.node).or_insert(peer);
    }

    /// Forgets nodes that have long been silent.
    pub fn forget(&mut self, now: TimeMs) {
        self.peers
            .retain(|_, peer| now.since_ms(peer.heard_at) < FORGET_MS);
    }

    /// Nodes that are live and stay.
    pub fn live(&self, now: TimeMs) -> impl Iterator<Item = &PeerState> {
        let is_live = move |peer: &&Peer| now.since_ms(peer.heard_at) < SUSPECT_MS;
        self.peers
            .values()
            .filter(is_live)
            .map(|peer| &peer.state)
            .filter(|state| !state.leaving)
    }

    /// All nodes known, live or not.
    pub fn known(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values().map(|peer| &peer.state)
    }

    /// The highest revision that a live node has in force, and that node.
    pub fn newest_revision(&self, now: TimeMs) -> Option<(Revision, &PeerState)> {
        self.live(now)
            .map(|state| (state.revision, state))
            .max_by_key(|(revision, _)| *revision)
    }
}
