//! Error of fleet-wide limits: nodes with limiters and the home node of one organisation, without
//! engines.

use std::{collections::VecDeque, fmt::Write};

use jacinthpoint_admission::{
    LayerMode, Limiter, LimiterSettings, Limits, NodeCounts, PerSecond, ShareAllocator,
    ShareReport, Shares, Verdict,
};
use jacinthpoint_types::{Deadline, NodeId, OrganisationId, TimeMs};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Declared limit.
const LIMIT_PER_S: f64 = 200.0;
/// How often nodes report.
const REPORT_MS: u64 = 500;
/// Time until a node that does not answer counts as gone.
const SUSPECT_MS: u64 = 2_000;
/// Length of a run; the event comes in the middle.
const RUN_MS: u64 = 60_000;
/// Start of the time over which the steady state is counted, and when the event strikes.
const STEADY_FROM_MS: u64 = 15_000;
/// When the event strikes.
const EVENT_AT_MS: u64 = 30_000;

/// How a limit is split.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Split {
    /// Each node applies the whole limit.
    Whole,
    /// Each node applies an even share.
    Even,
    /// Shares follow demand.
    ByDemand,
}

/// What strikes in the middle of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Strike {
    /// Nothing.
    None,
    /// The node with most arrivals dies; its arrivals go to the others.
    BusyNodeDies,
    /// The node with most arrivals loses touch with the others.
    BusyNodeIsolated,
    /// Arrivals move to another node.
    DemandMoves,
}

/// Admitted requests a second, as multiples of the limit.
struct Measured {
    before: f64,
    after: f64,
    worst_second: f64,
}

/// A table of all splits, node counts and strikes, at 1.5 times the limit with 80 in 100 of the
/// arrivals on one node.
pub fn limits_table(seed: u64) -> String {
    use strum::IntoEnumIterator;
    let mut page =
        String::from("split      nodes strike               before  after  worst-second\n");
    for nodes in [1, 3, 8] {
        for strike in Strike::iter().filter(|strike| nodes > 1 || *strike == Strike::None) {
            for split in Split::iter() {
                let measured = run(nodes, split, strike, seed);
                let _ = writeln!(
                    page,
                    "{:10} {nodes:5} {:20} {:6.3} {:6.3} {:13.3}",
                    split.to_string(),
                    strike.to_string(),
                    measured.before,
                    measured.after,
                    measured.worst_second,
                );
            }
        }
    }
    page
}

struct Fleet {
    split: Split,
    limiters: Vec<Limiter>,
    home: ShareAllocator,
    /// The node that the others cannot reach, and since when.
    away: Option<(usize, u64)>,
    organisation: OrganisationId,
    limits: Limits,
}

impl Fleet {
    fn new(nodes: usize, split: Split) -> Fleet {
        let settings = LimiterSettings {
            rate_mode: LayerMode::Enforce,
            concurrency_mode: LayerMode::Off,
            burst_ms: 1_000,
        };
        let mut limiters: Vec<Limiter> = (0..nodes).map(|_| Limiter::new(settings)).collect();
        let sharing = if split == Split::Whole { 1 } else { nodes };
        for limiter in &mut limiters {
            limiter.set_listed_nodes(sharing);
        }
        Fleet {
            split,
            limiters,
            home: ShareAllocator::new(TimeMs(0)),
            away: None,
            organisation: "broker-1".parse().expect("a valid name"),
            limits: Limits {
                requests_per_s: Some(PerSecond(LIMIT_PER_S)),
                ..Limits::default()
            },
        }
    }

    fn admits(&mut self, node: usize, now: TimeMs) -> bool {
        let verdict = self.limiters[node].admit(&self.organisation, &self.limits, 0, now);
        let is_admitted = matches!(verdict, Verdict::Admit { .. });
        if is_admitted {
            self.limiters[node].finish(&self.organisation, 0);
        }
        is_admitted
    }

    fn exchange(&mut self, now: TimeMs) {
        let listed = self.limiters.len();
        let is_known_away = self.away.is_some_and(|(_, at)| now.0 >= at + SUSPECT_MS);
        let live = listed - usize::from(is_known_away);
        self.home.set_node_counts(NodeCounts { listed, live }, now);
        for (index, limiter) in self.limiters.iter_mut().enumerate() {
            let is_away = self.away.is_some_and(|(away, _)| away == index);
            for (organisation, demand) in limiter.take_demands(now) {
                let held: Shares = limiter.shares(&organisation, now);
                let node: NodeId = format!("node-{index}").parse().expect("a valid name");
                let report = ShareReport {
                    node,
                    organisation,
                    demand,
                    held,
                };
                if is_away || self.split != Split::ByDemand {
                    continue;
                }
                let grant = self.home.grant(&report, &self.limits, now);
                let until = Deadline::after_ms(now, u64::from(grant.valid_ms));
                limiter.apply_grant(&grant.organisation, grant.shares, until);
            }
        }
    }
}

fn run(nodes: usize, split: Split, strike: Strike, seed: u64) -> Measured {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(nodes, split);
    let mut admitted_at = Vec::new();
    for ms in 1..RUN_MS {
        let now = TimeMs(ms);
        if ms == EVENT_AT_MS && matches!(strike, Strike::BusyNodeDies | Strike::BusyNodeIsolated) {
            fleet.away = Some((0, ms));
        }
        if rng.random::<f64>() < 1.5 * LIMIT_PER_S / 1_000.0 {
            let node = pick_node(nodes, strike, ms, &mut rng);
            if fleet.admits(node, now) {
                admitted_at.push(ms);
            }
        }
        if ms % REPORT_MS == 0 {
            fleet.exchange(now);
        }
    }
    let rate = |from: u64, until: u64| {
        let count = admitted_at
            .iter()
            .filter(|at| (from..until).contains(at))
            .count();
        count as f64 * 1_000.0 / (until - from) as f64 / LIMIT_PER_S
    };
    Measured {
        before: rate(STEADY_FROM_MS, EVENT_AT_MS),
        after: rate(RUN_MS - STEADY_FROM_MS, RUN_MS),
        worst_second: worst_second(&admitted_at) / LIMIT_PER_S,
    }
}

fn pick_node(nodes: usize, strike: Strike, ms: u64, rng: &mut SmallRng) -> usize {
    let has_struck = ms >= EVENT_AT_MS;
    let busy = usize::from(has_struck && strike == Strike::DemandMoves);
    let is_gone = has_struck && strike == Strike::BusyNodeDies;
    if nodes == 1 || (!is_gone && rng.random::<f64>() < 0.8) {
        return busy;
    }
    let other = rng.random_range(0..nodes - 1);
    other + usize::from(other >= busy)
}

/// The most admitted in any second after the start's burst.
fn worst_second(admitted_at: &[u64]) -> f64 {
    let mut window = VecDeque::new();
    let mut most = 0;
    for at in admitted_at.iter().filter(|at| **at >= STEADY_FROM_MS) {
        window.push_back(*at);
        while window.front().is_some_and(|first| first + 1_000 <= *at) {
            window.pop_front();
        }
        most = most.max(window.len());
    }
    most as f64
}
