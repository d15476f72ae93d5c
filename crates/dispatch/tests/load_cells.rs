//! A fleet that exchanges loads through cells, at its own intervals: what each gateway then knows of the
//! others, and how many datagrams a hub and the root get.

use std::collections::BTreeMap;

use jacinthpoint_dispatch::{
    LoadCell, TargetDigest, TargetReport, cell_count, cell_interval_ms, member_interval_ms,
};
use jacinthpoint_types::TimeMs;

use crate::support::groups;

/// Target for the reports that one gateway gets in a second, however large the fleet is.
const MAX_REPORTS_PER_S: u64 = 1_000;
/// Target for the time from a change of a load until all gateways know it.
const MAX_DELAY_MS: u64 = 400;

fn target() -> TargetDigest {
    TargetDigest::from(&groups(1)[0].key)
}

fn report(in_flight: u32) -> Vec<TargetReport> {
    vec![TargetReport {
        target: target(),
        in_flight,
        unread_tokens: in_flight * 100,
        heard_ms: None,
        waited_ms: None,
    }]
}

/// A fleet in which gateway `i` reports to hub `i % cells`, and hub 0 is the root.
struct Fleet {
    target: TargetDigest,
    nodes: Vec<LoadCell<usize>>,
    /// Requests of each gateway at the one target.
    in_flight: Vec<u32>,
    /// What each gateway last heard of the others, with the time.
    known: Vec<Option<(u32, TimeMs)>>,
    /// Gateways that neither send nor answer.
    dead: Vec<bool>,
    /// Reports that each gateway got.
    received: BTreeMap<usize, u64>,
    root: usize,
    now: TimeMs,
}

impl Fleet {
    fn new(gateways: usize) -> Fleet {
        Fleet {
            target: target(),
            nodes: (0..gateways).map(|_| LoadCell::default()).collect(),
            in_flight: vec![1; gateways],
            known: vec![None; gateways],
            dead: vec![false; gateways],
            received: BTreeMap::new(),
            root: 0,
            now: TimeMs(10_000),
        }
    }

    fn cells(&self) -> usize {
        cell_count(self.nodes.len())
    }

    fn hub_of(&self, gateway: usize) -> usize {
        gateway % self.cells()
    }

    /// Plays `ms` milliseconds. The gateways' reports are spread over their interval.
    fn play(&mut self, ms: u64) {
        let member_ms = member_interval_ms(self.nodes.len());
        let cell_ms = cell_interval_ms(self.nodes.len());
        for _ in 0..ms {
            self.now = self.now.plus_ms(1);
            for gateway in 0..self.nodes.len() {
                if self.dead[gateway] {
                    continue;
                }
                if (self.now.0 + gateway as u64).is_multiple_of(member_ms) {
                    self.report_member(gateway);
                }
                let is_hub = self.hub_of(gateway) == gateway;
                if is_hub && (self.now.0 + gateway as u64).is_multiple_of(cell_ms) {
                    self.report_cell(gateway);
                }
            }
        }
    }

    fn report_member(&mut self, gateway: usize) {
        let hub = self.hub_of(gateway);
        if self.dead[hub] {
            return;
        }
        let (is_root, now) = (hub == self.root, self.now);
        let node = &mut self.nodes[hub];
        node.on_member_report(gateway, report(self.in_flight[gateway]), now);
        let others = node.load_for_member(&gateway, is_root, now);
        if hub != gateway {
            *self.received.entry(hub).or_default() += 1;
        }
        let load = others.iter().find(|report| report.target == self.target);
        self.known[gateway] = Some((load.map_or(0, |load| load.in_flight), now));
    }

    fn report_cell(&mut self, hub: usize) {
        let (root, now) = (self.root, self.now);
        if hub == root || self.dead[root] {
            return;
        }
        let sum = self.nodes[hub].load_of_members(now);
        self.nodes[root].on_cell_report(hub, 0, sum, now);
        *self.received.entry(root).or_default() += 1;
        let others = self.nodes[root].load_for_cell(&hub, now);
        self.nodes[hub].on_root_answer(&others, now);
    }

    fn expected_for(&self, gateway: usize) -> u32 {
        self.in_flight.iter().sum::<u32>() - self.in_flight[gateway]
    }

    fn assert_all_know_all(&self) {
        for (gateway, known) in self.known.iter().enumerate() {
            let known = known.map(|(load, _)| load);
            assert_eq!(known, Some(self.expected_for(gateway)), "gateway {gateway}");
        }
    }
}

/// Defines tests of fleets of equal gateways: name, number of gateways.
macro_rules! fleets {
    ($($name:ident: $gateways:expr;)+) => {
        $(
            /// Guards against loads that are lost or counted twice on the way through hub and root, and
            /// against a hub or root whose work grows with the fleet.
            #[test]
            fn $name() {
                let mut fleet = Fleet::new($gateways);
                fleet.play(1_000);
                fleet.assert_all_know_all();
                fleet.in_flight[$gateways - 1] = 7;
                fleet.received.clear();
                fleet.play(MAX_DELAY_MS);
                fleet.assert_all_know_all();
                fleet.received.clear();
                fleet.play(1_000);
                let most = fleet.received.values().max().copied().unwrap_or_default();
                assert!(most <= MAX_REPORTS_PER_S, "{most} reports a second");
            }
        )+
    };
}

fleets! {
    all_know_all_in_a_fleet_of_1: 1;
    all_know_all_in_a_fleet_of_6: 6;
    all_know_all_in_a_fleet_of_21: 21;
    all_know_all_in_a_fleet_of_81: 81;
    all_know_all_in_a_fleet_of_295: 295;
    all_know_all_in_a_fleet_of_420: 420;
    all_know_all_in_a_fleet_of_1000: 1_000;
}

/// Guards against a lost hub whose cell still counts: its requests ended with its process.
#[test]
fn load_of_a_lost_cell_expires() {
    let mut fleet = Fleet::new(60);
    fleet.play(1_000);
    for gateway in 0..60 {
        fleet.dead[gateway] = fleet.hub_of(gateway) == 2;
    }
    fleet.play(1_500);
    let (load, _) = fleet.known[0].expect("its hub answers");
    assert_eq!(load, 39, "40 gateways are left");
}

/// Guards against gateways that know nothing while the root is replaced: a cell still knows itself.
#[test]
fn cell_knows_itself_without_a_root() {
    let mut fleet = Fleet::new(60);
    fleet.play(1_000);
    fleet.dead[0] = true;
    fleet.play(1_500);
    let (load, at) = fleet.known[1].expect("its hub answers");
    assert_eq!(load, 19, "the other members of its cell");
    assert!(fleet.now.since_ms(at) <= MAX_DELAY_MS);
    fleet.root = 1;
    fleet.play(1_000);
    let (load, _) = fleet.known[2].expect("its hub answers");
    assert_eq!(load, 39, "all but the cell of the lost hub");
}

/// Guards against loads that grow without end because two gateways take each other for the root.
#[test]
fn sums_of_cells_are_not_passed_on_in_a_circle() {
    let now = TimeMs(10_000);
    let (mut a, mut b) = (LoadCell::default(), LoadCell::default());
    a.on_member_report("m", report(3), now);
    b.on_member_report("n", report(4), now);
    for pass in 0..20 {
        let now = now.plus_ms(50 * pass);
        a.on_member_report("m", report(3), now);
        b.on_member_report("n", report(4), now);
        let (of_a, of_b) = (a.load_of_members(now), b.load_of_members(now));
        a.on_cell_report("b", 0, of_b, now);
        b.on_cell_report("a", 0, of_a, now);
        let (for_a, for_b) = (b.load_for_cell(&"a", now), a.load_for_cell(&"b", now));
        a.on_root_answer(&for_a, now);
        b.on_root_answer(&for_b, now);
    }
    let now = now.plus_ms(1_000);
    assert_eq!(a.load_for_member(&"m", false, now)[0].in_flight, 4);
    assert_eq!(b.load_for_member(&"n", true, now)[0].in_flight, 3);
}
