//! A group that has just been formed joins groups that are known for long.

use jacinthpoint_dispatch::{LoadTracker, TargetDigest, TargetReport};
use jacinthpoint_types::TimeMs;
use rand::{SeedableRng, rngs::SmallRng};

use crate::support::{groups, now, selection};

/// A new group that looked faster than all others got the requests of all gateways at once and
/// shed them.
#[test]
fn new_group_gets_no_more_than_its_share() {
    let targets = groups(10);
    let mut book = LoadTracker::default();
    let mut rng = SmallRng::seed_from_u64(1);
    for target in &targets[1..] {
        book.on_sent(&target.key, now());
        book.on_ended(&target.key);
        for pass in 0..50 {
            book.on_event(&target.key, Some(60), TimeMs(now().0 + pass));
        }
        book.on_load_reported(&target.key, 10, now());
    }
    book.on_load_reported(&targets[0].key, 10, now());
    let mut to_new = 0;
    for _ in 0..200 {
        let chosen = book
            .choose(&selection(&targets), now(), &mut rng)
            .expect("there is room");
        book.on_sent(&chosen.key, now());
        to_new += usize::from(chosen.key == targets[0].key);
    }
    assert!(
        to_new <= 30,
        "{to_new} of 200 requests went to one of ten equal groups"
    );
}

/// All gateways know that a new group is empty. In the time between two exchanges it got most of
/// the requests of the fleet, whose prompts it read one after the other.
#[test]
fn new_group_that_all_know_to_be_empty_gets_no_burst() {
    const GROUPS: usize = 14;
    let targets = groups(GROUPS);
    let mut rng = SmallRng::seed_from_u64(2);
    let busy = |target: &std::sync::Arc<jacinthpoint_dispatch::Target>| TargetReport {
        target: TargetDigest::from(&target.key),
        in_flight: target.slots - 2,
        heard_ms: Some(20),
        waited_ms: Some(20),
    };
    let sightings: Vec<TargetReport> = targets[1..].iter().map(busy).collect();
    let requests = 300;
    let mut to_new = 0;
    for _ in 0..requests {
        let mut book = LoadTracker::default();
        book.on_peer_loads(&sightings, now());
        let chosen = book
            .choose(&selection(&targets), now(), &mut rng)
            .expect("there is room");
        to_new += usize::from(chosen.key == targets[0].key);
    }
    assert!(
        to_new <= requests / 3,
        "{to_new} of {requests} requests went to the new one of {GROUPS} groups"
    );
}
