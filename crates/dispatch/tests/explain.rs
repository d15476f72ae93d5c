//! Tests of explanations of choices.

use jacinthpoint_dispatch::{LoadTracker, Selection, Standing, TargetDigest, TargetReport};
use rand::{SeedableRng, rngs::SmallRng};

use crate::support::{groups, now, selection};

/// A full group, one that makes no progress, one that was tried and one with room: the explanation says so, and
/// the shares are those of the choice.
#[test]
fn each_target_is_explained() {
    let targets = groups(4);
    let mut tracker = LoadTracker::default();
    let report = |index: usize| TargetReport {
        target: TargetDigest::from(&targets[index].key),
        in_flight: if index == 0 { 100 } else { 3 },
        unread_tokens: 0,
        heard_ms: Some(20),
        waited_ms: Some(20),
    };
    let reports: Vec<TargetReport> = (0..4).map(report).collect();
    tracker.on_peer_loads(&reports, now());
    tracker.suspend(&targets[1].key, now());
    let tried = [targets[2].key.clone()];
    let choice = Selection {
        tried: &tried,
        ..selection(&targets)
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let explained = tracker.explain(&choice, now(), &mut rng);
    let standings: Vec<Standing> = explained.iter().map(|one| one.standing).collect();
    let shares: Vec<f64> = explained.iter().map(|one| one.share).collect();
    use Standing::{Full, Suspended, Tried, Usable};
    assert_eq!(standings, [Full, Suspended, Tried, Usable]);
    assert_eq!(shares, [0.0, 0.0, 0.0, 1.0]);
}
