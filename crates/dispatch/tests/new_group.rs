//! Tests of the choice between a newly formed group and groups with known loads.

use jacinthpoint_dispatch::{LoadTracker, TargetDigest, TargetReport};
use jacinthpoint_types::TimeMs;
use rand::{SeedableRng, rngs::SmallRng};

use crate::support::{groups, now, selection};

/// The pass time of a new group is not known. If it is assumed to be shorter than those of all
/// other groups, all gateways send their requests there at once and the group sheds them.
#[test]
fn new_group_with_unknown_pass_time_gets_only_its_share() {
    let targets = groups(10);
    let mut tracker = LoadTracker::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for target in &targets[1..] {
        tracker.on_sent(&target.key, now());
        tracker.on_ended(&target.key);
        for pass in 0..50 {
            tracker.on_event(&target.key, Some(60), TimeMs(now().0 + pass));
        }
        tracker.on_load_reported(&target.key, 10, now());
    }
    tracker.on_load_reported(&targets[0].key, 10, now());
    let mut to_new = 0;
    for _ in 0..200 {
        let chosen = tracker
            .choose(&selection(&targets), now(), &mut rng)
            .expect("a target has room");
        tracker.on_sent(&chosen.key, now());
        to_new += usize::from(chosen.key == targets[0].key);
    }
    assert!(
        to_new <= 30,
        "{to_new} of 200 requests went to one of ten equal groups"
    );
}

/// All gateways know that a new group is empty. If its share of requests grows with its free slots
/// without a limit, it gets most requests of the fleet between two load exchanges and reads their
/// prompts one after the other.
#[test]
fn new_empty_group_gets_no_burst_of_all_gateways() {
    const GROUPS: usize = 14;
    let targets = groups(GROUPS);
    let mut rng = SmallRng::seed_from_u64(2);
    let busy = |target: &std::sync::Arc<jacinthpoint_dispatch::Target>| TargetReport {
        target: TargetDigest::from(&target.key),
        in_flight: target.slots - 2,
        heard_ms: Some(20),
        waited_ms: Some(20),
    };
    let reports: Vec<TargetReport> = targets[1..].iter().map(busy).collect();
    let requests = 300;
    let mut to_new = 0;
    for _ in 0..requests {
        let mut tracker = LoadTracker::default();
        tracker.on_peer_loads(&reports, now());
        let chosen = tracker
            .choose(&selection(&targets), now(), &mut rng)
            .expect("a target has room");
        to_new += usize::from(chosen.key == targets[0].key);
    }
    assert!(
        to_new <= requests / 3,
        "{to_new} of {requests} requests went to the new one of {GROUPS} groups"
    );
}
