//! Limits on one node and over the fleet.

use std::collections::BTreeMap;

use jacinthpoint_admission::{
    GRANT_VALID_MS, LayerMode, LimitKind, Limiter, LimiterSettings, Limits, NodeCounts, PerSecond,
    ShareAllocator, ShareReport, Shares, TokenBucket, Verdict,
};
use jacinthpoint_types::{Deadline, NodeId, OrganisationId, TimeMs};
use quickcheck::quickcheck;

const REPORT_MS: u64 = 500;

fn organisation() -> OrganisationId {
    "broker-1".parse().expect("a valid name")
}

fn node(number: usize) -> NodeId {
    format!("node-{number}").parse().expect("a valid name")
}

fn settings(rate: LayerMode, concurrency: LayerMode) -> LimiterSettings {
    LimiterSettings {
        rate,
        concurrency,
        burst_ms: 1_000,
    }
}

fn limits() -> Limits {
    Limits {
        requests_per_s: Some(PerSecond(100.0)),
        tokens_per_s: None,
        concurrency: Some(40),
    }
}

/// Requests admitted of a number that come at once.
fn admitted(limiter: &mut Limiter, count: usize, now: TimeMs) -> usize {
    (0..count)
        .filter(|_| {
            let verdict = limiter.admit(&organisation(), &limits(), 10, now);
            matches!(verdict, Verdict::Admit { .. })
        })
        .count()
}

macro_rules! mode_test {
    ($name:ident, $rate:ident, $concurrency:ident, $expected:expr) => {
        #[test]
        fn $name() {
            let modes = settings(LayerMode::$rate, LayerMode::$concurrency);
            let mut limiter = Limiter::new(modes);
            assert_eq!(admitted(&mut limiter, 500, TimeMs(1_000)), $expected);
        }
    };
}

mode_test!(both_enforced, Enforce, Enforce, 40);
mode_test!(rate_enforced, Enforce, Off, 100);
mode_test!(watching_refuses_nothing, Watch, Watch, 500);
mode_test!(switched_off_refuses_nothing, Off, Off, 500);

#[test]
fn watching_tells_what_it_would_refuse() {
    let mut limiter = Limiter::new(settings(LayerMode::Watch, LayerMode::Off));
    admitted(&mut limiter, 100, TimeMs(1_000));
    let verdict = limiter.admit(&organisation(), &limits(), 10, TimeMs(1_000));
    let Verdict::Admit { watched } = verdict else {
        panic!("{verdict:?}");
    };
    assert_eq!(watched.map(|w| w.kind), Some(LimitKind::Requests));
}

#[test]
fn unlimited_organisation_is_admitted() {
    let mut limiter = Limiter::new(settings(LayerMode::Enforce, LayerMode::Enforce));
    for _ in 0..1_000 {
        let verdict = limiter.admit(&organisation(), &Limits::default(), 10, TimeMs(1_000));
        assert_eq!(verdict, Verdict::Admit { watched: None });
    }
}

/// Nodes and the home of one organisation, without a network in between.
struct Fleet {
    nodes: Vec<Limiter>,
    home: ShareAllocator,
    /// Nodes whose reports and grants get through.
    connected: Vec<bool>,
    now: TimeMs,
    admitted: BTreeMap<u64, u32>,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let now = TimeMs(1_000);
        let modes = settings(LayerMode::Enforce, LayerMode::Off);
        let mut fleet = Fleet {
            nodes: (0..count).map(|_| Limiter::new(modes)).collect(),
            home: ShareAllocator::new(now),
            connected: vec![true; count],
            now,
            admitted: BTreeMap::new(),
        };
        for node in &mut fleet.nodes {
            node.set_listed_nodes(count);
        }
        fleet
    }

    /// Runs with a number of requests a second on each node.
    fn run(&mut self, rates_per_s: &[u64], for_ms: u64) {
        let until = self.now.plus_ms(for_ms);
        while self.now < until {
            self.now = self.now.plus_ms(10);
            for (index, rate) in rates_per_s.iter().enumerate() {
                let due = |at: u64| at * rate / 1_000;
                let count = due(self.now.0) - due(self.now.0 - 10);
                let taken = admitted(&mut self.nodes[index], count as usize, self.now);
                *self.admitted.entry(self.now.0 / 1_000).or_default() += taken as u32;
            }
            if self.now.0.is_multiple_of(REPORT_MS) {
                self.exchange();
            }
        }
    }

    fn exchange(&mut self) {
        let live = self.connected.iter().filter(|c| **c).count();
        let listed = self.nodes.len();
        self.home
            .set_node_counts(NodeCounts { listed, live }, self.now);
        for index in 0..self.nodes.len() {
            let demands = self.nodes[index].take_demands(self.now);
            for (organisation, demand) in demands {
                let report = ShareReport {
                    node: node(index),
                    held: self.nodes[index].shares(&organisation, self.now),
                    organisation: organisation.clone(),
                    demand,
                };
                if self.connected[index] {
                    let grant = self.home.grant(&report, &limits(), self.now);
                    let until = Deadline::after_ms(self.now, u64::from(grant.valid_ms));
                    self.nodes[index].apply_grant(&organisation, grant.shares, until);
                }
            }
        }
    }

    /// Mean of the admitted requests a second over the last seconds.
    fn rate_over_s(&self, seconds: u64) -> f64 {
        let last = self.now.0 / 1_000;
        let window = self.admitted.range(last - seconds..last);
        f64::from(window.map(|(_, count)| count).sum::<u32>()) / seconds as f64
    }
}

/// Sum over nodes within 5 in 100 of the declared limit in steady state.
macro_rules! skew_test {
    ($name:ident, $rates:expr) => {
        #[test]
        fn $name() {
            let rates: Vec<u64> = $rates;
            let mut fleet = Fleet::new(rates.len());
            fleet.run(&rates, 20_000);
            let rate = fleet.rate_over_s(10);
            assert!((95.0..=105.0).contains(&rate), "{rate}");
        }
    };
}

skew_test!(one_node_alone, vec![200]);
skew_test!(even_on_three, vec![100, 100, 100]);
skew_test!(four_fifths_on_one_of_three, vec![240, 30, 30]);
skew_test!(four_fifths_on_one_of_eight, {
    let mut rates = vec![8; 8];
    rates[0] = 224;
    rates
});

#[test]
fn isolated_node_keeps_to_an_even_share() {
    let mut fleet = Fleet::new(4);
    fleet.run(&[300, 20, 20, 20], 20_000);
    fleet.connected[0] = false;
    // While the old grant may still hold, nothing of it is given to others.
    fleet.run(&[300, 100, 100, 100], GRANT_VALID_MS + 2_000);
    let just_after = fleet.rate_over_s(4);
    assert!(just_after <= 105.0, "{just_after}");
    fleet.run(&[300, 100, 100, 100], 15_000);
    let after = fleet.rate_over_s(10);
    assert!((95.0..=105.0).contains(&after), "{after}");
}

#[test]
fn new_home_grants_no_more_than_is_held() {
    let mut fleet = Fleet::new(3);
    fleet.run(&[200, 200, 5], 10_000);
    fleet.home = ShareAllocator::new(fleet.now);
    fleet.run(&[0, 5, 300], 2_500);
    let just_after = fleet.rate_over_s(2);
    assert!(just_after <= 105.0, "{just_after}");
    fleet.run(&[0, 5, 300], 15_000);
    let after = fleet.rate_over_s(8);
    assert!((95.0..=105.0).contains(&after), "{after}");
}

quickcheck! {
    fn bucket_never_gives_more_than_its_rate_and_capacity(takes: Vec<(u8, u8)>) -> bool {
        let mut now = TimeMs(0);
        let mut bucket = TokenBucket::new(PerSecond(10.0), 5.0, now);
        let mut taken = 0.0;
        for (pause_ms, amount) in takes {
            now = now.plus_ms(u64::from(pause_ms));
            let amount = f64::from(amount % 5);
            if bucket.take(amount, now).is_ok() {
                taken += amount;
            }
        }
        taken <= 5.0 + PerSecond(10.0).over_ms(now.0) + 1e-6
    }

    fn shares_never_sum_above_one(reports: Vec<(u8, u16, u16)>) -> bool {
        let mut home = ShareAllocator::new(TimeMs(0));
        let mut now = TimeMs(GRANT_VALID_MS);
        home.set_node_counts(NodeCounts { listed: 4, live: 4 }, TimeMs(0));
        let mut held: BTreeMap<u8, (Shares, TimeMs)> = BTreeMap::new();
        for (number, demand, pause_ms) in reports {
            now = now.plus_ms(u64::from(pause_ms % 2_000));
            let number = number % 4;
            let demand = f64::from(demand);
            held.retain(|_, (_, at)| now.since_ms(*at) < GRANT_VALID_MS);
            let report = ShareReport {
                node: node(usize::from(number)),
                organisation: organisation(),
                demand: jacinthpoint_admission::Demand::new(demand, demand, demand),
                held: held.get(&number).map_or(Shares::all(0.0), |(shares, _)| *shares),
            };
            let grant = home.grant(&report, &limits(), now);
            held.insert(number, (grant.shares, now));
            let sum: f64 = held.values().map(|(s, _)| s.of(LimitKind::Requests)).sum();
            if sum > 1.0 + 1e-5 {
                return false;
            }
        }
        true
    }
}
