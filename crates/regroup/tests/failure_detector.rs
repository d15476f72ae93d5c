//! Evidence on dead upstreams.

use jacinthpoint_regroup::FailureDetector;
use jacinthpoint_types::TimeMs;

use crate::world::vm;

#[test]
fn events_spare_probes() {
    let mut detector = FailureDetector::default();
    let id = vm("i-1");
    for step in 0..100 {
        let now = TimeMs(10_000 + step * 100);
        detector.on_alive(&id, now);
        assert!(!detector.probe_is_due(&id, now));
    }
}

#[test]
fn silence_is_probed_at_once_and_death_needs_two_failures() {
    let mut detector = FailureDetector::default();
    let id = vm("i-1");
    detector.on_alive(&id, TimeMs(10_000));
    detector.on_suspicion(&id);
    assert!(detector.probe_is_due(&id, TimeMs(10_050)));
    detector.on_probe_end(&id);
    assert!(!detector.on_failed_probe(&id));
    assert!(!detector.is_dead(&id));
    assert!(detector.probe_is_due(&id, TimeMs(10_250)));
    detector.on_probe_end(&id);
    assert!(detector.on_failed_probe(&id));
    assert!(detector.is_dead(&id));
}

#[test]
fn another_life_is_not_dead() {
    let mut detector = FailureDetector::default();
    let id = vm("i-1");
    detector.on_incarnation(&id, 7, TimeMs(10_000));
    detector.on_failed_probe(&id);
    detector.on_failed_probe(&id);
    assert!(detector.is_dead(&id));
    detector.on_incarnation(&id, 8, TimeMs(10_100));
    assert!(!detector.is_dead(&id));
}

#[test]
fn one_probe_at_a_time() {
    let mut detector = FailureDetector::default();
    let id = vm("i-1");
    assert!(detector.probe_is_due(&id, TimeMs(10_000)));
    assert!(!detector.probe_is_due(&id, TimeMs(19_000)));
}
