//! The failure detector.

use std::net::SocketAddr;

use jacinthpoint_types::{Deadline, NodeId, Revision, TimeMs};
use jacinthpoint_wire::{PeerMessage, PeerMessageKind, PeerState, PeerStatus, PeerUpdate};
use rand::{Rng, rngs::SmallRng, seq::SliceRandom};

use crate::{
    gossip::GossipQueue,
    table::{Peer, PeerTable},
};

/// Time between two pings of a node.
pub const PERIOD_MS: u64 = 500;
/// Time for a direct answer; then others are asked to try.
pub const DIRECT_TIMEOUT_MS: u64 = 200;
/// Time for any answer, below the period so that probes do not overlap.
pub const PROBE_TIMEOUT_MS: u64 = 450;
/// Time for a suspect to refute.
pub const SUSPICION_MS: u64 = 1_500;
/// Nodes asked to try in place of one that got no answer.
const HELPERS: usize = 3;
/// How long a relayed ping is remembered.
const RELAY_MS: u64 = 1_000;

/// A message to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub message: PeerMessage,
}

#[derive(Debug)]
struct Probe {
    target: NodeId,
    address: SocketAddr,
    number: u32,
    ask_others_at: Option<TimeMs>,
    deadline: Deadline,
}

#[derive(Debug)]
struct Relay {
    number: u32,
    asker: SocketAddr,
    asker_number: u32,
    deadline: Deadline,
}

/// What one node believes of the others.
#[derive(Debug)]
pub struct Membership {
    own: PeerState,
    table: PeerTable,
    gossip: GossipQueue,
    round: Vec<NodeId>,
    probe: Option<Probe>,
    relays: Vec<Relay>,
    next_period_at: TimeMs,
    next_number: u32,
    rng: SmallRng,
}

impl Membership {
    /// A node that knows no other. `rng` decides whom it pings.
    pub fn new(own: PeerState, rng: SmallRng) -> Membership {
        Membership {
            own,
            table: PeerTable::default(),
            gossip: GossipQueue::default(),
            round: Vec::new(),
            probe: None,
            relays: Vec::new(),
            next_period_at: TimeMs(0),
            next_number: 1,
            rng,
        }
    }

    /// This node's word on itself.
    pub fn own(&self) -> &PeerState {
        &self.own
    }

    /// Sets the revision that this node has in force.
    pub fn set_revision(&mut self, revision: Revision) {
        self.own.revision = revision;
    }

    /// Says that this node is leaving.
    pub fn set_leaving(&mut self) {
        if !self.own.leaving {
            self.own.leaving = true;
            self.raise_own_incarnation(self.own.incarnation);
        }
    }

    /// Nodes that get a share of the control work: not gone and not leaving. A suspect keeps its
    /// share until it is gone, so that one lost message moves nothing.
    pub fn live(&self) -> impl Iterator<Item = &PeerState> {
        let serving = self
            .table
            .iter()
            .filter(|peer| peer.status != PeerStatus::Gone && !peer.state.leaving);
        serving.map(|peer| &peer.state)
    }

    /// All nodes known with what is believed of them.
    pub fn known(&self) -> impl Iterator<Item = PeerUpdate> {
        self.table.iter().map(Peer::update)
    }

    /// The highest revision that a live node has in force, and that node.
    pub fn newest_revision(&self) -> Option<(Revision, &PeerState)> {
        self.live()
            .map(|state| (state.revision, state))
            .max_by_key(|(revision, _)| *revision)
    }

    /// Up to `count` live nodes at random.
    pub fn random_live(&mut self, count: usize) -> Vec<PeerState> {
        let mut live: Vec<PeerState> = self.live().cloned().collect();
        live.shuffle(&mut self.rng);
        live.truncate(count);
        live
    }

    /// Lets time pass. `candidates` are addresses where nodes may be that this one does not know,
    /// such as the settings' and the platform's; one of them is tried each period, which also
    /// heals a split after which both sides think the other gone.
    pub fn tick(&mut self, now: TimeMs, candidates: &[SocketAddr]) -> Vec<OutgoingMessage> {
        let mut sends = Vec::new();
        for node in self.table.unrefuted(now, SUSPICION_MS) {
            self.set_status(&node, PeerStatus::Gone, now);
        }
        self.table.forget(now);
        self.relays.retain(|relay| !relay.deadline.has_passed(now));
        self.follow_probe(now, &mut sends);
        if now >= self.next_period_at {
            self.next_period_at = now.plus_ms(PERIOD_MS);
            self.start_probe(now, &mut sends);
            self.try_candidate(candidates, &mut sends);
        }
        sends
    }

    /// Takes in a message of another node.
    pub fn on_message(&mut self, now: TimeMs, message: PeerMessage) -> Vec<OutgoingMessage> {
        if message.from.node == self.own.node {
            return Vec::new();
        }
        let sender = message.from.address;
        self.on_direct(message.from, now);
        self.on_updates(message.updates, now);
        match message.kind {
            PeerMessageKind::Ping => {
                vec![self.send(sender, message.number, PeerMessageKind::Ack)]
            }
            PeerMessageKind::PingFor { target } => {
                let number = self.take_number();
                self.relays.push(Relay {
                    number,
                    asker: sender,
                    asker_number: message.number,
                    deadline: Deadline::after_ms(now, RELAY_MS),
                });
                vec![self.send(target, number, PeerMessageKind::Ping)]
            }
            PeerMessageKind::Ack => self.on_ack(message.number),
        }
    }

    /// Takes in all that another node knows. It is not passed on: whoever told that node has told
    /// others too, and hundreds of pieces would fill every message for minutes.
    pub fn on_sync(&mut self, updates: Vec<PeerUpdate>, now: TimeMs) {
        for update in updates {
            if update.peer.node == self.own.node {
                self.refute(&update);
            } else {
                self.table.on_update(&update, now);
            }
        }
    }

    fn on_updates(&mut self, updates: Vec<PeerUpdate>, now: TimeMs) {
        for update in updates {
            if update.peer.node == self.own.node {
                self.refute(&update);
            } else if self.table.on_update(&update, now) {
                self.gossip.push(update, self.table.len());
            }
        }
    }

    fn on_direct(&mut self, state: PeerState, now: TimeMs) {
        let node = state.node.clone();
        if !self.table.on_direct(state, now) {
            return;
        }
        if let Some(peer) = self.table.get(&node) {
            self.gossip.push(peer.update(), self.table.len());
        }
    }

    /// Answers a word on this node that is not true, or that another run of it left behind.
    fn refute(&mut self, update: &PeerUpdate) {
        let is_false =
            update.status != PeerStatus::Live && update.peer.incarnation >= self.own.incarnation;
        let is_later = update.peer.incarnation > self.own.incarnation;
        if is_false || is_later {
            self.raise_own_incarnation(update.peer.incarnation);
        }
    }

    fn raise_own_incarnation(&mut self, above: u64) {
        self.own.incarnation = above + 1;
        let update = PeerUpdate {
            peer: self.own.clone(),
            status: PeerStatus::Live,
        };
        self.gossip.push(update, self.table.len());
    }

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
        vec![self.send(relay.asker, relay.asker_number, PeerMessageKind::Ack)]
    }

    fn follow_probe(&mut self, now: TimeMs, sends: &mut Vec<OutgoingMessage>) {
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
        if probe.ask_others_at.is_some_and(|at| now >= at) {
            probe.ask_others_at = None;
            let helpers = self.random_live(HELPERS + 1);
            let helpers = helpers
                .into_iter()
                .filter(|helper| helper.node != probe.target);
            for helper in helpers.take(HELPERS) {
                let kind = PeerMessageKind::PingFor {
                    target: probe.address,
                };
                sends.push(self.send(helper.address, probe.number, kind));
            }
        }
        self.probe = Some(probe);
    }

    /// Pings the next node of the round. Rounds in a fresh random order bound the time until each
    /// node is pinged, which picking at random would not.
    fn start_probe(&mut self, now: TimeMs, sends: &mut Vec<OutgoingMessage>) {
        if self.round.is_empty() {
            let present = self
                .table
                .iter()
                .filter(|peer| peer.status != PeerStatus::Gone);
            self.round = present.map(|peer| peer.state.node.clone()).collect();
            self.round.shuffle(&mut self.rng);
        }
        let Some(target) = self.round.pop() else {
            return;
        };
        let address = match self.table.get(&target) {
            Some(peer) if peer.status != PeerStatus::Gone => peer.state.address,
            _ => return,
        };
        let number = self.take_number();
        sends.push(self.send(address, number, PeerMessageKind::Ping));
        self.probe = Some(Probe {
            target,
            address,
            number,
            ask_others_at: Some(now.plus_ms(DIRECT_TIMEOUT_MS)),
            deadline: Deadline::after_ms(now, PROBE_TIMEOUT_MS),
        });
    }

    fn try_candidate(&mut self, candidates: &[SocketAddr], sends: &mut Vec<OutgoingMessage>) {
        let is_known = |address: &SocketAddr| {
            let mut present = self
                .table
                .iter()
                .filter(|peer| peer.status != PeerStatus::Gone);
            *address == self.own.address || present.any(|peer| peer.state.address == *address)
        };
        let unknown: Vec<SocketAddr> = candidates
            .iter()
            .filter(|address| !is_known(address))
            .copied()
            .collect();
        if unknown.is_empty() {
            return;
        }
        let address = unknown[self.rng.random_range(0..unknown.len())];
        let number = self.take_number();
        sends.push(self.send(address, number, PeerMessageKind::Ping));
    }

    fn set_status(&mut self, node: &NodeId, status: PeerStatus, now: TimeMs) {
        self.table.set_status(node, status, now);
        if let Some(peer) = self.table.get(node) {
            self.gossip.push(peer.update(), self.table.len());
        }
    }

    fn take_number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    fn send(&mut self, to: SocketAddr, number: u32, kind: PeerMessageKind) -> OutgoingMessage {
        let mut updates = self.gossip.take();
        // A node that is thought dead must hear it to refute it.
        let doubted = self
            .table
            .iter()
            .find(|peer| peer.state.address == to && peer.status != PeerStatus::Live);
        if let Some(doubted) = doubted
            .map(Peer::update)
            .filter(|doubted| !updates.contains(doubted))
        {
            updates.push(doubted);
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
