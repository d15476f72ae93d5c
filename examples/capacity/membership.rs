//! Failure detection: bytes and time a node, at several sizes of the fleet.

use std::{net::SocketAddr, time::Instant};

use jacinthpoint_membership::{Membership, OutgoingMessage};
use jacinthpoint_types::{Revision, TimeMs};
use jacinthpoint_wire::{Datagram, PeerReply, PeerState, PeerStatus, PeerUpdate, encode};
use rand::{SeedableRng, rngs::SmallRng};

use crate::cost::UDP_HEADER_BYTES;

/// Sizes of the fleet; the last is the target.
pub const SIZES: [usize; 4] = [8, 32, 128, 420];
/// Time for the nodes to learn of each other.
const SETTLE_MS: u64 = 60_000;
/// Time measured.
const MEASURED_MS: u64 = 60_000;
/// Time steps of the driver, as in the node.
const STEP_MS: u64 = 50;

struct Fleet {
    now: TimeMs,
    nodes: Vec<Membership>,
    on_the_way: Vec<OutgoingMessage>,
    bytes: usize,
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

fn news(index: usize) -> PeerUpdate {
    PeerUpdate {
        peer: state(index),
        status: PeerStatus::Live,
    }
}

impl Fleet {
    /// Nodes that already know each other, as after the exchange at their start.
    fn new(count: usize) -> Fleet {
        let all: Vec<PeerUpdate> = (0..count).map(news).collect();
        let node = |index: usize| {
            let rng = SmallRng::seed_from_u64(index as u64);
            let mut node = Membership::new(state(index), rng);
            node.on_sync(all.clone(), TimeMs(0));
            node
        };
        Fleet {
            now: TimeMs(1_000),
            nodes: (0..count).map(node).collect(),
            on_the_way: Vec::new(),
            bytes: 0,
            messages: 0,
        }
    }

    fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now = self.now.plus_ms(STEP_MS);
            for send in std::mem::take(&mut self.on_the_way) {
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
            self.on_the_way.push(send);
        }
    }
}

/// Prints the table.
pub fn measure() {
    println!("failure detection, a node, no node failing:\n");
    println!("| nodes | messages/s sent | bytes/s sent and received | share of a core |");
    println!("| --- | --- | --- | --- |");
    for count in SIZES {
        let mut fleet = Fleet::new(count);
        fleet.run_ms(SETTLE_MS);
        (fleet.bytes, fleet.messages) = (0, 0);
        let start = Instant::now();
        fleet.run_ms(MEASURED_MS);
        let node_seconds = count as f64 * MEASURED_MS as f64 / 1e3;
        let share = start.elapsed().as_secs_f64() / node_seconds;
        println!(
            "| {count} | {:.2} | {:.0} | {:.4}% |",
            fleet.messages as f64 / node_seconds,
            2.0 * fleet.bytes as f64 / node_seconds,
            share * 100.0,
        );
    }
    println!(
        "\n- bytes of a full exchange, an entry: {}\n",
        sync_entry_bytes()
    );
}

/// Bytes of one entry of a full exchange.
fn sync_entry_bytes() -> usize {
    let reply = |count: usize| encode(&PeerReply::Peers((0..count).map(news).collect())).len();
    reply(101) - reply(100)
}

/// A node that knows `count` others.
pub fn node_knowing(count: usize) -> Membership {
    let mut node = Membership::new(state(count), SmallRng::seed_from_u64(1));
    node.on_sync((0..count).map(news).collect(), TimeMs(0));
    node
}
