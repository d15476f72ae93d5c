//! Prints the time in ns that one choice takes, by the number of candidates.

use std::{hint::black_box, time::Instant};

use jacinthpoint_routing::{Candidate, choose, choose_near, choose_with_affinity, subset};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Number of choices over which the time is averaged.
const ROUNDS: u32 = 20_000;

fn main() {
    let mut rng = SmallRng::seed_from_u64(1);
    println!("candidates choose near affinity subset-of-24 (ns)");
    for count in [24, 50, 500, 4_000] {
        let candidates = candidates(count, &mut rng);
        let names: Vec<String> = (0..count).map(|group| format!("group-{group}")).collect();
        let choose_ns = time_ns(|| choose(&candidates, &mut rng.clone()).copied());
        let near_ns = time_ns(|| choose_near(&candidates, &mut rng.clone()).copied());
        let mut prefix = 0;
        let affinity_ns = time_ns(|| {
            prefix += 1;
            choose_with_affinity(&candidates, prefix, |key| *key as u64, &mut rng.clone()).copied()
        });
        let subset_ns = time_ns(|| subset("node-1", &names, 24).len());
        println!("{count:10} {choose_ns:6} {near_ns:4} {affinity_ns:8} {subset_ns:12}");
    }
}

fn candidates(count: usize, rng: &mut SmallRng) -> Vec<Candidate<usize>> {
    let all = (0..count).map(|key| Candidate {
        key,
        in_flight: rng.random_range(0..8),
        reported: rng.random_range(0..32),
        report_age_ms: rng.random_range(0..900),
        is_near: key % 3 == 0,
    });
    all.collect()
}

fn time_ns<T>(mut decide: impl FnMut() -> T) -> u128 {
    let start = Instant::now();
    for _ in 0..ROUNDS {
        black_box(decide());
    }
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}
