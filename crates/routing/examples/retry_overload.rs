//! Simulates a target that refuses attempts beyond its capacity, and prints the retries sent under
//! the retry budget and under naive retry:
//! `cargo run --release -p jacinthpoint-routing --example retry_overload -- SEED`.
//!
//! Time advances in steps of 1 ms. The target accepts a fixed number of attempts per 10 ms and
//! refuses the others at once. Under both policies, a request has at most three attempts with the
//! same pauses between them; naive retry has no other limit.

use std::collections::BTreeMap;

use jacinthpoint_routing::{Failure, RetryBudgets, backoff_ms};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const RUN_MS: u64 = 60_000;
const WINDOW_MS: u64 = 10;
const CAPACITY_PER_WINDOW: u32 = 10;
const MAX_ATTEMPTS: u32 = 3;
const TARGET: &str = "target";

/// Totals of one simulated run.
#[derive(Default)]
struct Counts {
    requests: u64,
    answered: u64,
    refusals: u64,
    retries: u64,
}

/// Simulates one run at `offered_per_s` requests per second, with the retry budget if `has_budget`
/// is set and with naive retry otherwise.
fn run(offered_per_s: f64, has_budget: bool, seed: u64) -> Counts {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budgets = RetryBudgets::default();
    let mut counts = Counts::default();
    // Attempt numbers of the retries due, by the time in ms at which they are sent.
    let mut retries_due: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
    let mut accepted = 0;
    for now_ms in 0..RUN_MS {
        if now_ms % WINDOW_MS == 0 {
            accepted = 0;
        }
        let mut attempts = retries_due.remove(&now_ms).unwrap_or_default();
        let mut expected_arrivals = offered_per_s / 1_000.0;
        while expected_arrivals > 0.0 {
            if rng.random_bool(expected_arrivals.min(1.0)) {
                attempts.push(1);
                counts.requests += 1;
                budgets.on_request(&TARGET);
            }
            expected_arrivals -= 1.0;
        }
        for number in attempts {
            if accepted < CAPACITY_PER_WINDOW {
                accepted += 1;
                counts.answered += 1;
                continue;
            }
            counts.refusals += 1;
            let may_retry = !has_budget || budgets.can_withdraw(&TARGET, Failure::Refused);
            if number < MAX_ATTEMPTS && may_retry {
                budgets.withdraw(&TARGET, Failure::Refused);
                counts.retries += 1;
                let at_ms = now_ms + 1 + backoff_ms(number, &mut rng);
                retries_due.entry(at_ms).or_default().push(number + 1);
            }
        }
    }
    counts
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    println!(
        "capacity 1000 attempts/s, run of {} s, seed {seed}",
        RUN_MS / 1_000
    );
    println!("offered/s  policy  answered/s  refusals/s  retries/refusal  attempts/request");
    for offered_per_s in [900.0, 1_200.0, 2_000.0] {
        for (policy, has_budget) in [("naive", false), ("budget", true)] {
            let counts = run(offered_per_s, has_budget, seed);
            let per_s = |count: u64| count as f64 * 1_000.0 / RUN_MS as f64;
            println!(
                "{offered_per_s:9}  {policy:6}  {:10.0}  {:10.0}  {:15.3}  {:16.3}",
                per_s(counts.answered),
                per_s(counts.refusals),
                counts.retries as f64 / counts.refusals.max(1) as f64,
                (counts.requests + counts.retries) as f64 / counts.requests as f64,
            );
        }
    }
}
