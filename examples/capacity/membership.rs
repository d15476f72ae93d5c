//! Measures the traffic and processor time of failure detection for each node, at several fleet
//! sizes.

use std::{net::SocketAddr, time::Instant};

use jacinthpoint_membership::{Membership, OutgoingMessage};
use jacinthpoint_types::{Revision, TimeMs};
use jacinthpoint_wire::{Datagram, PeerReply, PeerState, PeerStatus, PeerUpdate, encode};
use rand::{SeedableRng, rngs::SmallRng};

use crate::cost::UDP_HEADER_BYTES;

/// Numbers of nodes in the fleet; the last is the target size.
pub const SIZES: [usize; 4] = [8, 32, 128, 420];
/// Simulated time before the measurement, in which the nodes spread their first updates.
const SETTLE_MS: u64 = 60_000;
/// Simulated duration of the measurement.
const MEASURED_MS: u64 = 60_000;
/// Simulated time between two ticks, as in the node.
const STEP_MS: u64 = 50;

/// Simulated fleet that delivers each message in the next time step.
struct Fleet {
    now: TimeMs,
    nodes: Vec<Membership>,
    in_transit: Vec<OutgoingMessage>,
    /// Bytes sent by all nodes, headers included.
    bytes: usize,
    /// Messages sent by all nodes.
    messages: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16))
}

fn state(index: usize) -> PeerState {
    PeerState {
        node: format!("entry-{index:04}").parse().expect("a valid name"),
        incarnation: 1_764_000_000_000,
        address: address(index),
        data_centre: "bne-north".parse().expect("a valid name"),
        leaving: false,
        revision: Revision(100_000),
    }
}

fn live_update(index: usize) -> PeerUpdate {
    PeerUpdate {
        peer: state(index),
        status: PeerStatus::Live,
    }
}

impl Fleet {
    /// Returns a fleet whose nodes have all synchronised with each other, as after their start.
    fn new(count: usize) -> Fleet {
        let all: Vec<PeerUpdate> = (0..count).map(live_update).collect();
        let node = |index: usize| {
            let rng = SmallRng::seed_from_u64(index as u64);
            let mut node = Membership::new(state(index), rng);
            node.on_sync(all.clone(), TimeMs(0));
            node
        };
        Fleet {
            now: TimeMs(1_000),
            nodes: (0..count).map(node).collect(),
            in_transit: Vec::new(),
            bytes: 0,
            messages: 0,
        }
    }

    fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now = self.now.plus_ms(STEP_MS);
            for send in std::mem::take(&mut self.in_transit) {
                let index = usize::from(send.to.port()) - 1_000;
                let replies = self.nodes[index].on_message(self.now, send.message);
                self.send(replies);
            }
            for index in 0..self.nodes.len() {
                let sends = self.nodes[index].tick(self.now, &[]);
                self.send(sends);
            }
        }
    }

    fn send(&mut self, sends: Vec<OutgoingMessage>) {
        for send in sends {
            self.bytes += UDP_HEADER_BYTES + encode(&Datagram::Peer(send.message.clone())).len();
            self.messages += 1;
            self.in_transit.push(send);
        }
    }
}

/// Prints the table and the bytes of an entry in a full exchange.
pub fn measure() {
    println!("failure detection per node, without failures:\n");
    println!("| nodes | messages/s sent | bytes/s sent and received | share of a core |");
    println!("| --- | --- | --- | --- |");
    for count in SIZES {
        let mut fleet = Fleet::new(count);
        fleet.run_ms(SETTLE_MS);
        (fleet.bytes, fleet.messages) = (0, 0);
        let start = Instant::now();
        fleet.run_ms(MEASURED_MS);
        let node_seconds = count as f64 * MEASURED_MS as f64 / 1e3;
        let core_share = start.elapsed().as_secs_f64() / node_seconds;
        // Over the whole fleet, as many bytes are received as sent.
        println!(
            "| {count} | {:.2} | {:.0} | {:.4}% |",
            fleet.messages as f64 / node_seconds,
            2.0 * fleet.bytes as f64 / node_seconds,
            core_share * 100.0,
        );
    }
    println!(
        "\n- bytes per entry of a full exchange: {}\n",
        sync_entry_bytes()
    );
}

/// Returns the encoded bytes of one entry in a full exchange.
fn sync_entry_bytes() -> usize {
    let reply =
        |count: usize| encode(&PeerReply::Peers((0..count).map(live_update).collect())).len();
    reply(101) - reply(100)
}

/// Returns a node that has received the state of `count` nodes.
pub fn node_with_peers(count: usize) -> Membership {
    let mut node = Membership::new(state(count), SmallRng::seed_from_u64(1));
    node.on_sync((0..count).map(live_update).collect(), TimeMs(0));
    node
}
