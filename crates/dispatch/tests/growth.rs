//! Work after a change of the fleet, which a gateway does between two events of its streams. It grows with the
//! number of upstreams, not with its square.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use jacinthpoint_dispatch::LoadTracker;

use crate::support::{groups, now};

/// Number of targets of a small and of a large fleet.
const SMALL: usize = 100;
const LARGE: usize = 1_600;
/// Largest growth of the time between both that counts as linear. Trees take a little more; with the square it
/// is `(LARGE / SMALL)²`, 256.
const MAX_GROWTH: u32 = 4 * (LARGE / SMALL) as u32;
/// Number of runs, of which the shortest counts: others may have been interrupted.
const RUNS: usize = 40;

/// Returns the time in which a gateway with requests and failures at `count` targets applies a change of
/// the fleet.
fn time_to_retain(count: usize) -> Duration {
    let targets = groups(count);
    let mut loads = LoadTracker::default();
    for target in &targets {
        loads.on_sent(&target.key, 0, now());
        loads.on_ended(&target.key);
        loads.on_failure(&target.key, now());
    }
    let runs = (0..RUNS).map(|_| {
        let began = Instant::now();
        black_box(&mut loads).retain(targets.iter());
        began.elapsed()
    });
    runs.min().expect("there is a run")
}

/// Guards against streams that look silent after a change of the fleet: the work on it grew with the square of the
/// number of upstreams, and a gateway reads no events meanwhile.
#[test]
fn work_on_a_change_grows_with_the_number_of_targets() {
    let (small, large) = (time_to_retain(SMALL), time_to_retain(LARGE));
    assert!(
        large < small * MAX_GROWTH,
        "{SMALL} targets take {small:?}, {LARGE} take {large:?}"
    );
}
