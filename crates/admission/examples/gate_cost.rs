//! Measures the mean elapsed time of one request in the limiter, and in the gate by the number of
//! groups.

use std::{hint::black_box, time::Instant};

use jacinthpoint_admission::{
    ArrivalOutcome, FinishedAttempt, Gate, GateSettings, LayerMode, Limiter, LimiterSettings,
    Limits, PerSecond, QueuedRequest,
};
use jacinthpoint_types::{Deadline, OrganisationId, Priority, TimeMs};
use rand::{SeedableRng, rngs::SmallRng};

/// Number of requests timed together.
const ROUNDS: u64 = 20_000;
/// Number of organisations that send requests in turn.
const ORGANISATIONS: u64 = 10;

fn main() {
    let names: Vec<OrganisationId> = (0..ORGANISATIONS)
        .map(|number| format!("broker-{number}").parse().expect("a valid name"))
        .collect();
    println!("limiter: {} ns per request", limiter_ns(&names));
    println!("groups gate (ns per request)");
    for groups in [24, 50, 500, 4_000] {
        println!("{groups:6} {}", gate_ns(&names, groups));
    }
}

fn limiter_ns(names: &[OrganisationId]) -> u128 {
    let mut limiter = Limiter::new(LimiterSettings {
        rate_mode: LayerMode::Enforce,
        concurrency_mode: LayerMode::Enforce,
        burst_ms: 1_000,
    });
    let limits = Limits {
        requests_per_s: Some(PerSecond(1e6)),
        tokens_per_s: Some(PerSecond(1e9)),
        concurrency: Some(1_000),
    };
    let start = Instant::now();
    for round in 0..ROUNDS {
        let name = &names[(round % ORGANISATIONS) as usize];
        black_box(limiter.admit(name, &limits, 100, TimeMs(round)));
        limiter.finish(name, 20);
    }
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}

fn gate_ns(names: &[OrganisationId], groups: u32) -> u128 {
    let usable: Vec<u32> = (0..groups).collect();
    let mut gate: Gate<u32> = Gate::new(GateSettings::default(), TimeMs(0));
    let mut rng = SmallRng::seed_from_u64(1);
    let start = Instant::now();
    for round in 0..ROUNDS {
        let now = TimeMs(round);
        let request = QueuedRequest {
            organisation: names[(round % ORGANISATIONS) as usize].clone(),
            priority: Priority::Normal,
            deadline: Deadline::after_ms(now, 60_000),
            cost: 100,
        };
        let outcome = gate.arrive(request, &usable, now, &mut rng);
        assert!(matches!(outcome, ArrivalOutcome::Queued { .. }));
        let dispatch = gate.poll(&usable, now).expect("a group has room");
        gate.mark_dispatched(&dispatch, now);
        let group = dispatch.groups_with_room[round as usize % dispatch.groups_with_room.len()];
        gate.start(&group, dispatch.priority, now);
        gate.on_first_token(&group, dispatch.priority, now, now);
        let finished = FinishedAttempt {
            priority: Priority::Normal,
            started_at: now,
            has_token: true,
            is_failure: false,
        };
        gate.finish(&group, finished, now);
    }
    start.elapsed().as_nanos() / u128::from(ROUNDS)
}
