//! The platform is down, slow or refuses, and operators race.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use jacinthpoint_platform::{PlatformError, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, RecordsObject};
use serde_json::json;

use crate::util::{
    Call, Site, SiteOptions, Traffic, check_plans, fault_survived, get_status, let_pass, none_lost,
    status, wait_for_answers, wait_for_revision, wait_until,
};

/// Length of an outage, several times the life of a permit.
const OUTAGE_MS: u64 = 5_000;
/// Bound on an accepted configuration being in force everywhere.
const CONFIG_BOUND_MS: u64 = 8_000;
/// Time for a node to start.
const START_MS: u64 = 30_000;

/// Records that differ from the sample by one organisation's name.
fn changed_records(site: &Site, name: &str) -> RecordsObject {
    let mut records = site.sample_records();
    records.records.push(json!({
        "schema": 2, "kind": "organisation", "name": name, "key_sha256": [],
        "max_priority": "critical",
    }));
    records
}

/// Serves through an outage, and a change made after it is in force within the bound.
macro_rules! outage_test {
    ($name:ident, $fault:expr) => {
        site_test!($name, SiteOptions::proxied(), |site| {
            let traffic = Traffic::start(&site.callers(), 8, Some("enquiries"));
            wait_for_answers(&traffic, 5);
            site.platform_fault(&$fault);
            let_pass(OUTAGE_MS);
            wait_for_answers(&traffic, 10);
            site.platform_fault(&json!({ "mode": "none" }));
            let version = site.write_records(&changed_records(&site, "after-the-outage"));
            wait_for_revision(&site, version.0, CONFIG_BOUND_MS);
            none_lost(&site, &traffic.finish());
        });
    };
}

outage_test!(platform_refuses, json!({ "mode": "refuse" }));
outage_test!(platform_throttles, json!({ "mode": "throttle" }));
outage_test!(platform_is_silent, json!({ "mode": "silent" }));
outage_test!(
    platform_is_slow,
    json!({ "mode": "slow", "delay_ms": 3_000 })
);

site_test!(
    node_cut_from_the_platform_learns_from_its_peers,
    SiteOptions::proxied(),
    |site| {
        site.links().partition("cut", &["node-1"], &["platform"]);
        let version = site.write_records(&changed_records(&site, "while-cut"));
        wait_for_revision(&site, version.0, CONFIG_BOUND_MS);
    }
);

site_test!(
    new_node_learns_the_configuration_from_peers,
    SiteOptions::proxied(),
    |mut site| {
        site.platform_fault(&json!({ "mode": "refuse" }));
        let node = site.start_node(4);
        wait_until("the new node is ready", START_MS, || {
            get_status(node.operators, "/ready") == Some(200)
        });
        let revision = |operators| status(operators)["revision"].as_u64();
        assert_eq!(revision(node.operators), revision(site.nodes[0].operators));
    }
);

site_test!(
    new_node_serves_once_it_is_ready_in_an_outage,
    SiteOptions::proxied(),
    |mut site| {
        site.platform_fault(&json!({ "mode": "refuse" }));
        let node = site.start_node(4);
        wait_until("the new node is ready", START_MS, || {
            get_status(node.operators, "/ready") == Some(200)
        });
        let call = Call::new("asked of a new node");
        let answer = call.send(node.callers).expect("the node answers");
        assert_eq!(answer.outcome, "answered", "{}", answer.body);
    }
);

site_test!(
    new_node_without_peers_is_not_ready_in_an_outage,
    SiteOptions {
        nodes: 1,
        ..SiteOptions::proxied()
    },
    |mut site| {
        site.platform_fault(&json!({ "mode": "refuse" }));
        site.links().partition("alone", &["node-4"], &["node-1"]);
        let node = site.start_node(4);
        wait_until("the new node runs", START_MS, || {
            get_status(node.operators, "/live") == Some(200)
        });
        let_pass(OUTAGE_MS);
        assert_eq!(get_status(node.operators, "/ready"), Some(503));
        let answer = Call::new("too early").send(node.callers);
        assert_eq!(answer.expect("the node answers").outcome, "not-run");
    }
);

site_test!(
    racing_operators_have_one_winner_a_round,
    SiteOptions::proxied(),
    |site| {
        let (site, stop) = (&site, &AtomicBool::new(false));
        let mut last = Version(0);
        thread::scope(|scope| {
            let watchers = site.nodes.iter().map(|node| {
                let operators = node.operators;
                scope.spawn(move || revisions_seen(operators, stop))
            });
            let watchers: Vec<_> = watchers.collect();
            for round in 0..10 {
                last = race(site, round);
            }
            wait_for_revision(site, last.0, CONFIG_BOUND_MS);
            stop.store(true, Ordering::Relaxed);
            for watcher in watchers {
                let seen = watcher.join().expect("a watcher does not panic");
                assert!(seen.is_sorted(), "a revision reverted: {seen:?}");
            }
        });
    }
);

/// Four operators write over the same version; gives the winner's.
fn race(site: &Site, round: usize) -> Version {
    let client = site.platform_client();
    let current = client.get(CONFIG_KIND, CONFIG_NAME).expect("an answer");
    let version = current.expect("a configuration").version;
    let results: Vec<Result<Version, PlatformError>> = thread::scope(|scope| {
        let operators: Vec<_> = (0..4)
            .map(|operator| {
                let records = changed_records(site, &format!("round-{round}-{operator}"));
                let client = &client;
                scope.spawn(move || client.update(CONFIG_KIND, CONFIG_NAME, version, &records))
            })
            .collect();
        let joined = operators.into_iter().map(|operator| operator.join());
        joined.map(|result| result.expect("no panic")).collect()
    });
    let won: Vec<Version> = results.iter().flatten().copied().collect();
    assert_eq!(won.len(), 1, "{results:?}");
    let lost = results.iter().filter_map(|result| result.as_ref().err());
    for error in lost {
        assert_eq!(error.conflicting_version(), Some(won[0]), "{error}");
    }
    won[0]
}

fn revisions_seen(operators: std::net::SocketAddr, stop: &AtomicBool) -> Vec<u64> {
    let mut seen = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        seen.extend(status(operators)["revision"].as_u64());
        thread::sleep(Duration::from_millis(20));
    }
    seen
}

site_test!(
    lost_answers_of_writes_do_no_harm,
    SiteOptions::proxied(),
    |mut site| {
        let traffic = Traffic::start(&site.callers(), 8, Some("enquiries"));
        wait_for_answers(&traffic, 5);
        site.platform_fault(&json!({ "mode": "lose-answers", "count": 4 }));
        site.kill_engine("rack-1-vm-1");
        site.kill_engine("rack-2-vm-2");
        site.wait_for_groups(2);
        fault_survived(&site, traffic);
        check_plans(&site);
    }
);

site_test!(
    controllers_cut_from_each_other_never_share_a_vm,
    SiteOptions::proxied(),
    |mut site| {
        let traffic = Traffic::start(&site.callers(), 8, Some("enquiries"));
        wait_for_answers(&traffic, 5);
        let nodes = ["node-1", "node-2", "node-3"];
        site.links().partition("all-alone", &nodes, &nodes);
        let_pass(OUTAGE_MS);
        site.kill_engine("rack-1-vm-1");
        site.kill_engine("rack-2-vm-2");
        site.wait_for_groups(2);
        site.links().heal("all-alone");
        fault_survived(&site, traffic);
        check_plans(&site);
    }
);
