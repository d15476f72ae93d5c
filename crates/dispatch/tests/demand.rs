//! Work that callers ask of a model: what groups serve, and what gateways refused. Each case is named
//! after its load.

use std::sync::Arc;

use jacinthpoint_dispatch::{LoadCell, LoadTracker, Target, WorkMeter};
use jacinthpoint_types::{DeploymentId, ServiceId, TimeMs};

use crate::support::{engine, groups, now};

/// Time that a request of the test's load would take, and after which a refused caller returns.
const RUN_MS: u64 = 2_000;
const RETRY_AFTER_MS: u64 = 500;
/// Interval at which the meter measures.
const STEP_MS: u64 = 50;

fn service() -> ServiceId {
    "engines".parse().expect("a valid name")
}

fn model() -> DeploymentId {
    "model".parse().expect("a valid name")
}

/// Measures the work at one gateway, which knows the loads of the others by `peer_reports`.
fn measure(
    meter: &mut WorkMeter,
    targets: &[Arc<Target>],
    loads: &LoadTracker,
    now: TimeMs,
) -> f64 {
    meter.measure(&service(), &engine(), |_| targets, loads, now);
    meter.work(now).get(&model()).copied().unwrap_or(0.0)
}

/// One group is full, and forty gateways refuse as much as three further ones would run: each one
/// request a second. Refused callers return after half a second and are refused again.
#[test]
fn refused_requests_count_as_work_at_the_owner() {
    let targets = groups(1);
    let mut gateways: Vec<LoadTracker> = (0..40).map(|_| LoadTracker::default()).collect();
    let mut hub: LoadCell<usize> = LoadCell::default();
    let mut meter = WorkMeter::default();
    let mut work = 0.0;
    for _ in 0..engine().slots {
        gateways[0].on_sent(&targets[0].key, 0, now());
    }
    // Each refusal counts until the caller returns, so this many are refused in each half second.
    let refused = 3 * engine().slots as u64;
    let mut count = 0;
    for at in (0..20_000).step_by(STEP_MS as usize) {
        let now = now().plus_ms(at);
        while count < refused * at / RETRY_AFTER_MS {
            let gateway = &mut gateways[count as usize % 40];
            gateway.on_unmet(&service(), &model(), RUN_MS as f64, RETRY_AFTER_MS, now);
            count += 1;
        }
        for (index, gateway) in gateways.iter().enumerate() {
            hub.on_member_report(index, gateway.target_reports(now), now);
        }
        let others = hub.load_for_member(&0, true, now);
        gateways[0].on_peer_loads(&others, now);
        work = measure(&mut meter, &targets, &gateways[0], now);
    }
    assert!((3.6..4.4).contains(&work), "work of {work} groups");
}

/// The load of a group swings by half of its mean every six seconds. The measure stays within the
/// ratio at which groups change their model.
#[test]
fn swings_within_seconds_move_the_measure_little() {
    let targets = groups(1);
    let mut loads = LoadTracker::default();
    let mut meter = WorkMeter::default();
    let (mut least, mut most) = (f64::MAX, 0.0_f64);
    let mut in_flight = 0;
    for at in (0..60_000).step_by(STEP_MS as usize) {
        let now = now().plus_ms(at);
        let phase = at as f64 / 6_000.0 * std::f64::consts::TAU;
        let wanted = (10.0 + 5.0 * phase.sin()).round() as i32;
        while in_flight < wanted {
            loads.on_sent(&targets[0].key, 0, now);
            in_flight += 1;
        }
        while in_flight > wanted {
            loads.on_ended(&targets[0].key);
            in_flight -= 1;
        }
        loads.on_peer_loads(&[], now);
        let work = measure(&mut meter, &targets, &loads, now);
        if at >= 20_000 {
            (least, most) = (least.min(work), most.max(work));
        }
    }
    assert!(
        most / least < 1.15,
        "the measure goes from {least} to {most}"
    );
}

/// Callers are refused for some seconds and then no more: the work falls back to what is served.
#[test]
fn refusals_that_ended_are_forgotten() {
    let mut loads = LoadTracker::default();
    for at in (0..5_000).step_by(20) {
        let now = now().plus_ms(at);
        loads.on_unmet(&service(), &model(), RUN_MS as f64, RETRY_AFTER_MS, now);
    }
    assert!(loads.unmet(&service(), &model(), now().plus_ms(5_000)) > 10.0);
    assert!(loads.unmet(&service(), &model(), now().plus_ms(30_000)) < 0.1);
    assert!(loads.target_reports(now().plus_ms(90_000)).is_empty());
}
