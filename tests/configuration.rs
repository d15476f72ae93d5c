//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::util::{Call, Site, SiteOptions, get_json, status, wait_until};

/// Bound on the time from acceptance to being in force on every node.
const IN_FORCE_MS: u64 = 8_000;

fn six_nodes() -> SiteOptions {
    SiteOptions {
        nodes: 6,
        ..SiteOptions::small()
    }
}

fn revisions(site: &Site) -> Vec<u64> {
    let nodes = site.nodes.iter();
    nodes
        .map(|node| status(node.operators)["revision"].as_u64().unwrap_or(0))
        .collect()
}

/// Writes the sample records with one more organisation, and returns the revision.
fn add_organisation(site: &Site, name: &str) -> u64 {
    let mut object = site.sample_records();
    object.records.push(json!({
        "schema": 2, "kind": "organisation", "name": name, "key_sha256": [],
    }));
    site.write_records(&object).0
}

site_test!(change_is_in_force_everywhere_in_time, six_nodes(), |site| {
    for round in 0..5 {
        let revision = add_organisation(&site, &format!("broker-{round}"));
        let accepted_at = Instant::now();
        wait_until("every node has the revision in force", IN_FORCE_MS, || {
            revisions(&site).iter().all(|held| *held == revision)
        });
        println!(
            "in force everywhere after {} ms",
            accepted_at.elapsed().as_millis()
        );
    }
});

site_test!(
    paused_node_catches_up_and_never_steps_back,
    six_nodes(),
    |site| {
        site.nodes[0].process.signal("STOP");
        let mut revision = 0;
        for round in 0..20 {
            revision = add_organisation(&site, &format!("broker-{round}"));
            thread::sleep(Duration::from_millis(50));
        }
        site.nodes[0].process.signal("CONT");
        let mut held = 0;
        wait_until("the paused node catches up", IN_FORCE_MS, || {
            let now = revisions(&site)[0];
            assert!(now >= held, "revision {now} after {held}");
            held = now;
            held == revision
        });
    }
);

site_test!(
    record_of_a_newer_schema_leaves_the_records_in_force,
    six_nodes(),
    |site| {
        let before = revisions(&site);
        let mut object = site.sample_records();
        object
            .records
            .push(json!({ "schema": 3, "kind": "organisation", "name": "later" }));
        site.write_records(&object);
        thread::sleep(Duration::from_millis(2_000));
        assert_eq!(revisions(&site), before);
        let call = Call::new("still served");
        let answer = call.send(site.nodes[0].callers).expect("the node answers");
        assert_eq!(
            (answer.outcome.as_str(), answer.text),
            ("answered", call.expected())
        );
        let revision = add_organisation(&site, "mended");
        wait_until("the mended records are in force", IN_FORCE_MS, || {
            revisions(&site).iter().all(|held| *held == revision)
        });
    }
);

site_test!(
    node_started_in_an_outage_serves_from_what_peers_know,
    SiteOptions::small(),
    |mut site| {
        let revision = revisions(&site)[0];
        site.control("fault", &json!({ "mode": "silent" }));
        let node = site.start_node(3);
        wait_until(
            "the new node is ready with the revision in force",
            20_000,
            || status(node.operators)["revision"] == json!(revision),
        );
        let call = Call::new("from a node that never saw the platform");
        let mut answered = None;
        wait_until("the new node answers", 20_000, || {
            let answer = call
                .send(node.callers)
                .ok()
                .filter(|answer| answer.outcome == "answered");
            answered = answer;
            answered.is_some()
        });
        let answer = answered.expect("it has answered");
        assert_eq!(answer.text, call.expected());
    }
);

/// Time over which the platform's calls are counted.
const COUNTED_MS: u64 = 5_000;

site_test!(
    membership_list_is_not_read_by_every_node,
    SiteOptions {
        nodes: 8,
        ..SiteOptions::small()
    },
    |site| {
        let reads = || {
            let calls = get_json(site.platform_address, "/control/calls");
            calls["reads"]
                .as_u64()
                .expect("the platform counts its calls")
        };
        let before = reads();
        thread::sleep(Duration::from_millis(COUNTED_MS));
        let made = reads() - before;
        let one_a_second_each = site.nodes.len() as u64 * COUNTED_MS / 1_000;
        println!(
            "{made} reads in {COUNTED_MS} ms by {} nodes",
            site.nodes.len()
        );
        assert!(made < one_a_second_each, "{made} reads");
    }
);
