//! Failure detector of one node, after the SWIM protocol.

use std::net::SocketAddr;

use jacinthpoint_types::{Deadline, NodeId, Revision, TimeMs};
use jacinthpoint_wire::{PeerMessage, PeerMessageKind, PeerState, PeerStatus, PeerUpdate};
use rand::{Rng, rngs::SmallRng, seq::SliceRandom};

use crate::{
    gossip::GossipQueue,
    table::{Peer, PeerTable},
};

/// Interval at which a node probes one other node.
pub const PERIOD_MS: u64 = 500;
/// Time after which a ping without an ack is repeated through other nodes.
pub const DIRECT_TIMEOUT_MS: u64 = 200;
/// Time after which a probe without an ack makes its target suspect. Below the period, so that
/// probes do not overlap.
pub const PROBE_TIMEOUT_MS: u64 = 450;
/// Time that a suspect has to refute the suspicion before it is gone.
pub const SUSPICION_MS: u64 = 1_500;
/// Number of nodes that are asked to ping a target that did not answer directly.
const INDIRECT_PROBES: usize = 3;
/// Time for which an ack is awaited for a ping that another node asked for.
const RELAY_MS: u64 = 1_000;

/// Message to send, and its destination.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Address of the receiving node.
    pub to: SocketAddr,
    /// Message to encode and send.
    pub message: PeerMessage,
}

/// Probe of another node that has not been answered yet.
#[derive(Debug)]
struct Probe {
    target: NodeId,
    address: SocketAddr,
    number: u32,
    /// Time at which other nodes are asked to ping the target; `None` once they have been.
    indirect_at: Option<TimeMs>,
    deadline: Deadline,
}

/// Ping sent for another node, whose ack is forwarded to that node.
#[derive(Debug)]
struct RelayedPing {
    number: u32,
    requester: SocketAddr,
    /// Number of the requester's own message, returned with the ack.
    requester_number: u32,
    deadline: Deadline,
}

/// Failure detector of one node: its own state, its table of the other nodes, and its probe in
/// progress.
#[derive(Debug)]
pub struct Membership {
    own: PeerState,
    table: PeerTable,
    gossip: GossipQueue,
    /// Nodes that are still to be probed in the current round.
    round: Vec<NodeId>,
    probe: Option<Probe>,
    relays: Vec<RelayedPing>,
    next_period_at: TimeMs,
    /// Last number assigned to a new `Ping`. An `Ack` has the number of the ping that it answers,
    /// and a `PingFor` that of its probe.
    last_number: u32,
    rng: SmallRng,
}

impl Membership {
    /// Creates a failure detector with an empty table of other nodes. `rng` determines the order in
    /// which they are probed.
    pub fn new(own: PeerState, rng: SmallRng) -> Membership {
        Membership {
            own,
            table: PeerTable::default(),
            gossip: GossipQueue::default(),
            round: Vec::new(),
            probe: None,
            relays: Vec::new(),
            next_period_at: TimeMs(0),
            last_number: 1,
            rng,
        }
    }

    /// Returns the state that this node sends of itself.
    pub fn own(&self) -> &PeerState {
        &self.own
    }

    /// Sets the configuration revision that this node has in force.
    pub fn set_revision(&mut self, revision: Revision) {
        self.own.revision = revision;
    }

    /// Announces to the other nodes that this node is leaving.
    pub fn set_leaving(&mut self) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.raise_own_incarnation(self.own.incarnation);
        }
    }

    /// Returns the other nodes that are neither gone nor leaving; unlike [`PeerStatus::Live`], this
    /// includes suspects.
    ///
    /// The control work (probing domains, planning, owning ledger slots) is divided among these
    /// nodes and this one. A suspect keeps its part until it is gone, so that a single lost message
    /// moves no work.
    pub fn live(&self) -> impl Iterator<Item = &PeerState> {
        let not_gone_or_leaving = self
            .table
            .iter()
            .filter(|peer| peer.status != PeerStatus::Gone && !peer.state.leaving);
        not_gone_or_leaving.map(|peer| &peer.state)
    }

    /// Returns the state and status of all other nodes in the table.
    pub fn known(&self) -> impl Iterator<Item = PeerUpdate> {
        self.table.iter().map(Peer::to_update)
    }

    /// Returns the highest configuration revision that one of the nodes in [`Membership::live`] has
    /// in force, and that node.
    pub fn newest_revision(&self) -> Option<(Revision, &PeerState)> {
        self.live()
            .map(|state| (state.revision, state))
            .max_by_key(|(revision, _)| *revision)
    }

    /// Returns up to `count` of the nodes in [`Membership::live`], chosen at random.
    pub fn random_live(&mut self, count: usize) -> Vec<PeerState> {
        let mut live: Vec<PeerState> = self.live().cloned().collect();
        live.shuffle(&mut self.rng);
        live.truncate(count);
        live
    }

    /// Handles timeouts and starts the probe of each period; returns the messages to send.
    ///
    /// `candidates` are the addresses of nodes in the settings and in the platform's membership
    /// list; the table may lack some of these nodes. In each period, one candidate address is
    /// pinged at which the table has no live or suspect node. This also lets both sides of a
    /// network partition find each other again after it, if each considers the other gone.
    pub fn tick(&mut self, now: TimeMs, candidates: &[SocketAddr]) -> Vec<OutgoingMessage> {
        let mut sends = Vec::new();
        for node in self.table.expired_suspects(now, SUSPICION_MS) {
            self.set_status(&node, PeerStatus::Gone, now);
        }
        self.table.remove_long_gone(now);
        self.relays.retain(|relay| !relay.deadline.has_passed(now));
        self.advance_probe(now, &mut sends);
        if now >= self.next_period_at {
            self.next_period_at = now.plus_ms(PERIOD_MS);
            self.start_probe(now, &mut sends);
            self.ping_candidate(candidates, &mut sends);
        }
        sends
    }

    /// Handles a message from another node; returns the messages to send.
    pub fn on_message(&mut self, now: TimeMs, message: PeerMessage) -> Vec<OutgoingMessage> {
        if message.from.node == self.own.node {
            return Vec::new();
        }
        let sender = message.from.address;
        self.on_sender_state(message.from, now);
        self.on_updates(message.updates, now);
        match message.kind {
            PeerMessageKind::Ping => {
                vec![self.message_to(sender, message.number, PeerMessageKind::Ack)]
            }
            PeerMessageKind::PingFor { target } => {
                let number = self.next_message_number();
                self.relays.push(RelayedPing {
                    number,
                    requester: sender,
                    requester_number: message.number,
                    deadline: Deadline::after_ms(now, RELAY_MS),
                });
                vec![self.message_to(target, number, PeerMessageKind::Ping)]
            }
            PeerMessageKind::Ack => self.on_ack(message.number),
        }
    }

    /// Records the complete table of another node. Its entries are not gossiped further: the nodes
    /// that they came from have already spread them, and hundreds of updates would fill every
    /// message for minutes.
    pub fn on_sync(&mut self, updates: Vec<PeerUpdate>, now: TimeMs) {
        for update in updates {
            if update.peer.node == self.own.node {
                self.refute(&update);
            } else {
                self.table.on_update(&update, now);
            }
        }
    }

    /// Records the updates of a message and gossips the new ones further.
    fn on_updates(&mut self, updates: Vec<PeerUpdate>, now: TimeMs) {
        for update in updates {
            if update.peer.node == self.own.node {
                self.refute(&update);
            } else if self.table.on_update(&update, now) {
                self.gossip.push(update, self.table.len());
            }
        }
    }

    /// Records the state that the sender of a message gave of itself, and gossips it if it changed.
    fn on_sender_state(&mut self, state: PeerState, now: TimeMs) {
        let node = state.node.clone();
        if !self.table.on_sender_state(state, now) {
            return;
        }
        if let Some(peer) = self.table.get(&node) {
            self.gossip.push(peer.to_update(), self.table.len());
        }
    }

    /// Refutes an update that declares this node suspect or gone at its current or a higher
    /// incarnation. Also overrides any update with a higher incarnation: it stems from an earlier
    /// run of the node. A node's incarnation number is its start time at first, so that of an
    /// earlier run is higher if the clock was set back before the restart.
    fn refute(&mut self, update: &PeerUpdate) {
        let is_false =
            update.status != PeerStatus::Live && update.peer.incarnation >= self.own.incarnation;
        let is_higher = update.peer.incarnation > self.own.incarnation;
        if is_false || is_higher {
            self.raise_own_incarnation(update.peer.incarnation);
        }
    }

    /// Sets this node's incarnation to `above + 1` and gossips it.
    fn raise_own_incarnation(&mut self, above: u64) {
        self.own.incarnation = above + 1;
        let update = PeerUpdate {
            peer: self.own.clone(),
            status: PeerStatus::Live,
        };
        self.gossip.push(update, self.table.len());
    }

    /// Ends the probe that an ack answers, or forwards the ack to the requester of a relayed ping.
    fn on_ack(&mut self, number: u32) -> Vec<OutgoingMessage> {
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.number == number)
        {
            self.probe = None;
        }
        let relayed = self.relays.iter().position(|relay| relay.number == number);
        let Some(relay) = relayed.map(|index| self.relays.swap_remove(index)) else {
            return Vec::new();
        };
        vec![self.message_to(
            relay.requester,
            relay.requester_number,
            PeerMessageKind::Ack,
        )]
    }

    /// Asks other nodes to ping the target of the probe once its direct timeout has passed, and
    /// makes the target suspect once the probe has failed.
    fn advance_probe(&mut self, now: TimeMs, sends: &mut Vec<OutgoingMessage>) {
        let Some(mut probe) = self.probe.take() else {
            return;
        };
        if probe.deadline.has_passed(now) {
            let is_live = self
                .table
                .get(&probe.target)
                .is_some_and(|peer| peer.status == PeerStatus::Live);
            if is_live {
                self.set_status(&probe.target, PeerStatus::Suspect, now);
            }
            return;
        }
        if probe.indirect_at.is_some_and(|at| now >= at) {
            probe.indirect_at = None;
            let helpers = self.random_live(INDIRECT_PROBES + 1);
            let helpers = helpers
                .into_iter()
                .filter(|helper| helper.node != probe.target);
            for helper in helpers.take(INDIRECT_PROBES) {
                let kind = PeerMessageKind::PingFor {
                    target: probe.address,
                };
                sends.push(self.message_to(helper.address, probe.number, kind));
            }
        }
        self.probe = Some(probe);
    }

    /// Pings the next node of the round. Each round probes all nodes once, in a new random order.
    /// This bounds the time until each node is probed, unlike choosing a random node each time.
    fn start_probe(&mut self, now: TimeMs, sends: &mut Vec<OutgoingMessage>) {
        if self.round.is_empty() {
            let not_gone = self
                .table
                .iter()
                .filter(|peer| peer.status != PeerStatus::Gone);
            self.round = not_gone.map(|peer| peer.state.node.clone()).collect();
            self.round.shuffle(&mut self.rng);
        }
        let Some(target) = self.round.pop() else {
            return;
        };
        let address = match self.table.get(&target) {
            Some(peer) if peer.status != PeerStatus::Gone => peer.state.address,
            _ => return,
        };
        let number = self.next_message_number();
        sends.push(self.message_to(address, number, PeerMessageKind::Ping));
        self.probe = Some(Probe {
            target,
            address,
            number,
            indirect_at: Some(now.plus_ms(DIRECT_TIMEOUT_MS)),
            deadline: Deadline::after_ms(now, PROBE_TIMEOUT_MS),
        });
    }

    /// Pings a random candidate address other than the own one, at which the table has no live or
    /// suspect node.
    fn ping_candidate(&mut self, candidates: &[SocketAddr], sends: &mut Vec<OutgoingMessage>) {
        let has_node = |address: &SocketAddr| {
            let mut not_gone = self
                .table
                .iter()
                .filter(|peer| peer.status != PeerStatus::Gone);
            *address == self.own.address || not_gone.any(|peer| peer.state.address == *address)
        };
        let without_node: Vec<SocketAddr> = candidates
            .iter()
            .filter(|address| !has_node(address))
            .copied()
            .collect();
        if without_node.is_empty() {
            return;
        }
        let address = without_node[self.rng.random_range(0..without_node.len())];
        let number = self.next_message_number();
        sends.push(self.message_to(address, number, PeerMessageKind::Ping));
    }

    /// Sets the status of a node and gossips it.
    fn set_status(&mut self, node: &NodeId, status: PeerStatus, now: TimeMs) {
        self.table.set_status(node, status, now);
        if let Some(peer) = self.table.get(node) {
            self.gossip.push(peer.to_update(), self.table.len());
        }
    }

    fn next_message_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Creates a message, with the updates that are piggybacked on it.
    fn message_to(
        &mut self,
        to: SocketAddr,
        number: u32,
        kind: PeerMessageKind,
    ) -> OutgoingMessage {
        let mut updates = self.gossip.take();
        // A node that is considered suspect or gone must be notified, so that it can refute this.
        let receiver_update = self
            .table
            .iter()
            .find(|peer| peer.state.address == to && peer.status != PeerStatus::Live);
        if let Some(receiver_update) = receiver_update
            .map(Peer::to_update)
            .filter(|receiver_update| !updates.contains(receiver_update))
        {
            updates.push(receiver_update);
        }
        OutgoingMessage {
            to,
            message: PeerMessage {
                from: self.own.clone(),
                number,
                kind,
                updates,
            },
        }
    }
}
