//! Retries sent while a target refuses what is beyond its capacity, under the budget and under
//! naive retry: `cargo run --release -p jacinthpoint-routing --example retry_overload -- SEED`.
//!
//! Time goes in steps of 1 ms. The target takes a fixed number of attempts in each 10 ms and
//! refuses the rest at once. Naive retry sends up to three attempts, with the same pauses.

use std::collections::BTreeMap;

use jacinthpoint_routing::{Failure, RetryBudgets, backoff_ms};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const RUN_MS: u64 = 60_000;
const WINDOW_MS: u64 = 10;
const CAPACITY_PER_WINDOW: u32 = 10;
const MAX_ATTEMPTS: u32 = 3;
const TARGET: &str = "target";

#[derive(Default)]
struct Tally {
    requests: u64,
    answered: u64,
    failures: u64,
    retries: u64,
}

fn run(offered_per_s: f64, has_budget: bool, seed: u64) -> Tally {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budgets = RetryBudgets::default();
    let mut tally = Tally::default();
    let mut due: BTreeMap<u64, Vec<u32>> = BTreeMap::new();
    let mut taken = 0;
    for now_ms in 0..RUN_MS {
        if now_ms % WINDOW_MS == 0 {
            taken = 0;
        }
        let mut attempts = due.remove(&now_ms).unwrap_or_default();
        let mut expected = offered_per_s / 1_000.0;
        while expected > 0.0 {
            if rng.random_bool(expected.min(1.0)) {
                attempts.push(1);
                tally.requests += 1;
                budgets.on_request(&TARGET);
            }
            expected -= 1.0;
        }
        for number in attempts {
            if taken < CAPACITY_PER_WINDOW {
                taken += 1;
                tally.answered += 1;
                continue;
            }
            tally.failures += 1;
            let may_retry = !has_budget || budgets.can_withdraw(&TARGET, Failure::Refused);
            if number < MAX_ATTEMPTS && may_retry {
                budgets.withdraw(&TARGET, Failure::Refused);
                tally.retries += 1;
                let at_ms = now_ms + 1 + backoff_ms(number, &mut rng);
                due.entry(at_ms).or_default().push(number + 1);
            }
        }
    }
    tally
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    println!("capacity 1000/s, {} s, seed {seed}", RUN_MS / 1_000);
    println!("offered/s  policy  answered/s  refusals/s  retries/failure  attempts/request");
    for offered_per_s in [900.0, 1_200.0, 2_000.0] {
        for (policy, has_budget) in [("naive", false), ("budget", true)] {
            let tally = run(offered_per_s, has_budget, seed);
            let per_s = |count: u64| count as f64 * 1_000.0 / RUN_MS as f64;
            println!(
                "{offered_per_s:9}  {policy:6}  {:10.0}  {:10.0}  {:15.3}  {:16.3}",
                per_s(tally.answered),
                per_s(tally.failures),
                tally.retries as f64 / tally.failures.max(1) as f64,
                (tally.requests + tally.retries) as f64 / tally.requests as f64,
            );
        }
    }
}
