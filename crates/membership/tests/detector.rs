//! Tests of the failure detector over a simulated network that loses and delays messages.

use std::net::SocketAddr;

use jacinthpoint_membership::{Membership, OutgoingMessage, PERIOD_MS, SUSPICION_MS};
use jacinthpoint_types::{Revision, TimeMs};
use jacinthpoint_wire::PeerState;
use quickcheck::{Arbitrary, Gen, quickcheck};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time step of the simulation.
const STEP_MS: u64 = 10;

struct Node {
    membership: Membership,
    is_paused: bool,
}

/// Nodes on a network that delivers each message after one step.
struct Net {
    now: TimeMs,
    nodes: Vec<Node>,
    /// Messages in transit, each with the index of its sender.
    in_transit: Vec<(usize, OutgoingMessage)>,
    /// Nodes below this index are cut off from the others; `None` without a partition.
    split_at: Option<usize>,
    /// Probability with which a message is lost.
    loss_share: f64,
    rng: SmallRng,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

fn own_state(index: usize, incarnation: u64) -> PeerState {
    PeerState {
        node: format!("node-{index}").parse().expect("a valid name"),
        incarnation,
        address: address(index),
        data_centre: "dc".parse().expect("a valid name"),
        leaving: false,
        revision: Revision(0),
    }
}

impl Net {
    fn new(count: usize, seed: u64) -> Net {
        let node = |index| Node {
            membership: Membership::new(
                own_state(index, 1),
                SmallRng::seed_from_u64(seed + index as u64),
            ),
            is_paused: false,
        };
        Net {
            now: TimeMs(1_000),
            nodes: (0..count).map(node).collect(),
            in_transit: Vec::new(),
            split_at: None,
            loss_share: 0.0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn run_ms(&mut self, ms: u64) {
        let candidates: Vec<SocketAddr> = (0..self.nodes.len()).map(address).collect();
        for _ in 0..ms / STEP_MS {
            self.now = self.now.plus_ms(STEP_MS);
            let arriving = std::mem::take(&mut self.in_transit);
            for (from, send) in arriving {
                self.deliver(from, send);
            }
            for index in 0..self.nodes.len() {
                if !self.nodes[index].is_paused {
                    let sends = self.nodes[index].membership.tick(self.now, &candidates);
                    self.in_transit
                        .extend(sends.into_iter().map(|send| (index, send)));
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, send: OutgoingMessage) {
        let to = usize::from(send.to.port()) - 1_000;
        let is_cut = self.split_at.is_some_and(|at| (from < at) != (to < at));
        let is_lost = self.rng.random_bool(self.loss_share);
        if is_cut || is_lost || self.nodes[to].is_paused {
            return;
        }
        let replies = self.nodes[to].membership.on_message(self.now, send.message);
        self.in_transit
            .extend(replies.into_iter().map(|reply| (to, reply)));
    }

    /// Returns the nodes that node `index` considers live, including itself.
    fn live_of(&self, index: usize) -> Vec<usize> {
        let others = self.nodes[index].membership.live();
        let mut live: Vec<usize> = others
            .map(|state| usize::from(state.address.port()) - 1_000)
            .collect();
        live.push(index);
        live.sort();
        live
    }

    /// Returns whether each of the expected nodes considers exactly these nodes live.
    fn all_agree_on(&self, expected: &[usize]) -> bool {
        expected
            .iter()
            .all(|&index| self.live_of(index) == expected)
    }
}

/// Returns the time within which all of `count` nodes consider a failed node gone: at most one
/// round until the node is pinged, the suspicion time, and some periods to gossip the change.
fn detection_bound_ms(count: usize) -> u64 {
    (count as u64 + 8) * PERIOD_MS + SUSPICION_MS
}

/// Runs a test body with 20 seeds, each on a network whose nodes had time to find each other.
macro_rules! net_test {
    ($name:ident, $count:expr, |$net:ident| $body:block) => {
        #[test]
        fn $name() {
            for seed in 0..20 {
                #[allow(unused_mut, reason = "some tests do not change the network")]
                let mut $net = Net::new($count, seed * 1_000);
                $net.run_ms(detection_bound_ms($count));
                $body
            }
        }
    };
}

net_test!(nodes_with_candidate_addresses_find_each_other, 8, |net| {
    assert!(net.all_agree_on(&[0, 1, 2, 3, 4, 5, 6, 7]));
});

net_test!(failed_node_is_gone_for_all_others, 8, |net| {
    net.nodes[3].is_paused = true;
    net.run_ms(detection_bound_ms(8));
    assert!(net.all_agree_on(&[0, 1, 2, 4, 5, 6, 7]));
});

net_test!(resumed_node_is_live_again_for_all, 8, |net| {
    net.nodes[3].is_paused = true;
    net.run_ms(detection_bound_ms(8));
    net.nodes[3].is_paused = false;
    net.run_ms(2 * detection_bound_ms(8));
    assert!(net.all_agree_on(&[0, 1, 2, 3, 4, 5, 6, 7]));
});

net_test!(nodes_agree_again_after_a_partition_ends, 8, |net| {
    net.split_at = Some(3);
    net.run_ms(2 * detection_bound_ms(8));
    assert_eq!(net.live_of(0), [0, 1, 2]);
    assert_eq!(net.live_of(7), [3, 4, 5, 6, 7]);
    net.split_at = None;
    net.run_ms(3 * detection_bound_ms(8));
    assert!(net.all_agree_on(&[0, 1, 2, 3, 4, 5, 6, 7]));
});

net_test!(all_nodes_are_live_after_message_loss_ends, 8, |net| {
    net.loss_share = 0.1;
    net.run_ms(30_000);
    net.loss_share = 0.0;
    net.run_ms(2 * detection_bound_ms(8));
    assert!(net.all_agree_on(&[0, 1, 2, 3, 4, 5, 6, 7]));
});

net_test!(leaving_node_is_not_counted_as_live, 8, |net| {
    net.nodes[2].membership.set_leaving();
    net.run_ms(detection_bound_ms(8));
    for index in [0, 1, 3, 4, 5, 6, 7] {
        assert!(!net.live_of(index).contains(&2));
    }
});

net_test!(restarted_node_is_live_at_its_new_incarnation, 4, |net| {
    let rng = SmallRng::seed_from_u64(9);
    net.nodes[1].membership = Membership::new(own_state(1, 2), rng);
    net.run_ms(detection_bound_ms(4));
    assert!(net.all_agree_on(&[0, 1, 2, 3]));
});

// A node's incarnation number is its start time at first. After the clock was set back, the new run
// therefore starts with a lower incarnation than the one in the other nodes' tables.
net_test!(node_restarted_with_an_earlier_clock_is_live, 4, |net| {
    let rng = SmallRng::seed_from_u64(9);
    net.nodes[1].membership = Membership::new(own_state(1, 0), rng);
    net.run_ms(3 * detection_bound_ms(4));
    assert!(net.all_agree_on(&[0, 1, 2, 3]));
});

/// Change to the network or to a node, made before a part of the simulation.
#[derive(Debug, Clone)]
enum Change {
    Pause(usize),
    Resume(usize),
    Split(usize),
    Heal,
    Lose(f64),
    Restart(usize),
}

impl Arbitrary for Change {
    fn arbitrary(g: &mut Gen) -> Change {
        let index = usize::arbitrary(g) % 6;
        match u8::arbitrary(g) % 6 {
            0 => Change::Pause(index),
            1 => Change::Resume(index),
            2 => Change::Split(1 + index % 5),
            3 => Change::Heal,
            4 => Change::Lose(f64::from(u8::arbitrary(g) % 50) / 100.0),
            _ => Change::Restart(index),
        }
    }
}

fn apply(net: &mut Net, change: &Change, incarnation: u64) {
    match *change {
        Change::Pause(index) => net.nodes[index].is_paused = true,
        Change::Resume(index) => net.nodes[index].is_paused = false,
        Change::Split(at) => net.split_at = Some(at),
        Change::Heal => net.split_at = None,
        Change::Lose(share) => net.loss_share = share,
        Change::Restart(index) => {
            let rng = SmallRng::seed_from_u64(incarnation);
            net.nodes[index].membership = Membership::new(own_state(index, incarnation), rng);
        }
    }
}

quickcheck! {
    fn all_nodes_are_live_after_all_faults_end(seed: u32, changes: Vec<Change>) -> bool {
        let mut net = Net::new(6, u64::from(seed));
        net.run_ms(5_000);
        for (step, change) in changes.iter().take(20).enumerate() {
            // Each incarnation is higher than any that a node has reached by refuting.
            apply(&mut net, change, 1_000_000 * (2 + step as u64));
            net.run_ms(1_500);
        }
        for node in &mut net.nodes {
            node.is_paused = false;
        }
        net.split_at = None;
        net.loss_share = 0.0;
        net.run_ms(4 * detection_bound_ms(6));
        net.all_agree_on(&[0, 1, 2, 3, 4, 5])
    }
}
