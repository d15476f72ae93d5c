//! Tests of the limits, on one node and over a fleet that shares them.

use std::collections::BTreeMap;

use jacinthpoint_admission::{
    GRANT_VALID_MS, LayerMode, LimitKind, Limiter, LimiterSettings, Limits, NodeCounts, PerSecond,
    ShareAllocator, ShareReport, Shares, TokenBucket, Verdict,
};
use jacinthpoint_types::{Deadline, NodeId, OrganisationId, TimeMs};
use quickcheck::quickcheck;

const REPORT_INTERVAL_MS: u64 = 500;

fn organisation() -> OrganisationId {
    "broker-1".parse().expect("a valid name")
}

fn node(number: usize) -> NodeId {
    format!("node-{number}").parse().expect("a valid name")
}

fn settings(rate_mode: LayerMode, concurrency_mode: LayerMode) -> LimiterSettings {
    LimiterSettings {
        rate_mode,
        concurrency_mode,
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

/// Returns how many of `count` simultaneous requests are admitted.
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

mode_test!(
    with_both_limits_enforced_requests_are_admitted_up_to_the_concurrency_limit,
    Enforce,
    Enforce,
    40
);
mode_test!(
    with_only_the_rate_limit_enforced_a_burst_of_one_second_is_admitted,
    Enforce,
    Off,
    100
);
mode_test!(watch_mode_refuses_nothing, Watch, Watch, 500);
mode_test!(off_mode_refuses_nothing, Off, Off, 500);

#[test]
fn watch_mode_reports_the_limit_that_would_refuse() {
    let mut limiter = Limiter::new(settings(LayerMode::Watch, LayerMode::Off));
    admitted(&mut limiter, 100, TimeMs(1_000));
    let verdict = limiter.admit(&organisation(), &limits(), 10, TimeMs(1_000));
    let Verdict::Admit { watched } = verdict else {
        panic!("verdict in watch mode is {verdict:?}");
    };
    assert_eq!(watched.map(|w| w.kind), Some(LimitKind::Requests));
}

#[test]
fn organisation_without_limits_is_always_admitted() {
    let mut limiter = Limiter::new(settings(LayerMode::Enforce, LayerMode::Enforce));
    for _ in 0..1_000 {
        let verdict = limiter.admit(&organisation(), &Limits::default(), 10, TimeMs(1_000));
        assert_eq!(verdict, Verdict::Admit { watched: None });
    }
}

/// Limiters of all nodes and the share allocator of one organisation's home node, without a
/// network between them.
struct Fleet {
    nodes: Vec<Limiter>,
    home: ShareAllocator,
    /// For each node, whether its reports and grants are delivered.
    connected: Vec<bool>,
    now: TimeMs,
    /// Number of admitted requests, by second.
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

    /// Runs for a time with the given number of requests per second on each node.
    fn run(&mut self, rates_per_s: &[u64], for_ms: u64) {
        let until = self.now.plus_ms(for_ms);
        while self.now < until {
            self.now = self.now.plus_ms(10);
            for (index, rate) in rates_per_s.iter().enumerate() {
                let due = |at: u64| at * rate / 1_000;
                let count = due(self.now.0) - due(self.now.0 - 10);
                let admitted = admitted(&mut self.nodes[index], count as usize, self.now);
                *self.admitted.entry(self.now.0 / 1_000).or_default() += admitted as u32;
            }
            if self.now.0.is_multiple_of(REPORT_INTERVAL_MS) {
                self.report_demand();
            }
        }
    }

    /// Reports the demand of each node and applies the grants of the connected ones.
    fn report_demand(&mut self) {
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

    /// Returns the mean number of requests admitted per second over the last `seconds` seconds.
    fn rate_over_s(&self, seconds: u64) -> f64 {
        let last = self.now.0 / 1_000;
        let window = self.admitted.range(last - seconds..last);
        f64::from(window.map(|(_, count)| count).sum::<u32>()) / seconds as f64
    }
}

/// Checks that in steady state the rate admitted by all nodes together is within 5 % of the
/// declared limit of 100 requests per second, however the requests are spread over the nodes.
macro_rules! skew_test {
    ($name:ident, $rates:expr) => {
        #[test]
        fn $name() {
            let rates: Vec<u64> = $rates;
            let mut fleet = Fleet::new(rates.len());
            fleet.run(&rates, 20_000);
            let rate = fleet.rate_over_s(10);
            assert!(
                (95.0..=105.0).contains(&rate),
                "admitted rate is {rate} per s"
            );
        }
    };
}

skew_test!(limit_holds_on_a_single_node, vec![200]);
skew_test!(
    limit_holds_with_even_load_on_three_nodes,
    vec![100, 100, 100]
);
skew_test!(
    limit_holds_with_four_fifths_of_load_on_one_of_three_nodes,
    vec![240, 30, 30]
);
skew_test!(
    limit_holds_with_four_fifths_of_load_on_one_of_eight_nodes,
    {
        let mut rates = vec![8; 8];
        rates[0] = 224;
        rates
    }
);

#[test]
fn isolated_node_applies_an_even_share_and_the_limit_holds() {
    let mut fleet = Fleet::new(4);
    fleet.run(&[300, 20, 20, 20], 20_000);
    fleet.connected[0] = false;
    // The grant of the isolated node may still be valid, so no other node may get that share.
    fleet.run(&[300, 100, 100, 100], GRANT_VALID_MS + 2_000);
    let just_after = fleet.rate_over_s(4);
    assert!(
        just_after <= 105.0,
        "admitted rate just after is {just_after} per s"
    );
    fleet.run(&[300, 100, 100, 100], 15_000);
    let after = fleet.rate_over_s(10);
    assert!(
        (95.0..=105.0).contains(&after),
        "admitted rate in steady state is {after} per s"
    );
}

#[test]
fn new_home_node_grows_no_share_before_old_grants_expire() {
    let mut fleet = Fleet::new(3);
    fleet.run(&[200, 200, 5], 10_000);
    fleet.home = ShareAllocator::new(fleet.now);
    fleet.run(&[0, 5, 300], 2_500);
    let just_after = fleet.rate_over_s(2);
    assert!(
        just_after <= 105.0,
        "admitted rate just after is {just_after} per s"
    );
    fleet.run(&[0, 5, 300], 15_000);
    let after = fleet.rate_over_s(8);
    assert!(
        (95.0..=105.0).contains(&after),
        "admitted rate in steady state is {after} per s"
    );
}

quickcheck! {
    fn amount_taken_never_exceeds_capacity_plus_amount_accrued(takes: Vec<(u8, u8)>) -> bool {
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
        taken <= 5.0 + PerSecond(10.0).accrued_in_ms(now.0) + 1e-6
    }

    fn sum_of_valid_shares_never_exceeds_one(reports: Vec<(u8, u16, u16)>) -> bool {
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
