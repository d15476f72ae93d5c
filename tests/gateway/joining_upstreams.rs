//! Many upstreams join at once. What a gateway does for each of them must leave time for requests.

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::PlainService;

use crate::gateway::{pause_ms, site::Site};

/// Upstreams that join.
const JOINING: usize = 300;
/// Time in which all gateways read their entries.
const READ_MS: u64 = 2_000;
/// Time between two answers of the store with changes.
const ANSWER_MS: u64 = 150;

/// Returns how often a gateway has built its snapshot of configuration and upstreams.
fn snapshots(site: &Site, index: usize) -> u64 {
    let metrics = site.metrics(index);
    let mut lines = metrics.lines();
    let line =
        lines.find_map(|line| line.strip_prefix("jacinthpoint_snapshots_total{label=\"built\"} "));
    line.map_or(0, |count| count.parse().expect("it is a number"))
}

/// Guards against answers that stall while upstreams join: a snapshot takes time in proportion to the
/// number of upstreams, so one for each that joins takes the square of it.
#[test]
fn snapshot_is_built_once_for_all_changes_of_an_answer() {
    let site = Site::start(2);
    let before = [snapshots(&site, 0), snapshots(&site, 1)];
    let store = &site.platform.store;
    let mut entry = store
        .get_content(paths::UPSTREAM_KIND, PlainService::ID)
        .expect("it is registered");
    // They take no requests.
    entry["state"] = "draining".into();
    for index in 0..JOINING {
        store.put(
            paths::UPSTREAM_KIND,
            &format!("joining-{index}"),
            entry.clone(),
        );
    }
    pause_ms(READ_MS);
    for (index, before) in before.into_iter().enumerate() {
        let metrics = site.metrics(index);
        let expected = format!("jacinthpoint_upstreams {}\n", 9 + JOINING);
        assert!(
            metrics.contains(&expected),
            "gateway {index} knows all: {metrics}"
        );
        let built = snapshots(&site, index) - before;
        assert!(
            built <= READ_MS / ANSWER_MS,
            "gateway {index} built {built} snapshots"
        );
    }
}
