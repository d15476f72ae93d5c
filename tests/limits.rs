//! Limits and overload at real nodes.

use std::{
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_records::RecordsObject;
use serde_json::json;

use crate::util::{Answer, Call, KEYS, Site, SiteOptions, wait_until};

/// Declared requests a second of the limited organisation.
const LIMIT_PER_S: f64 = 10.0;
/// Time over which an unused rate may be saved up, as in the nodes' defaults.
const BURST_S: f64 = 2.0;
/// Time for shares to follow demand: a node's loss is known, its grants have ended and new ones are
/// out.
const SETTLE: Duration = Duration::from_secs(10);
/// Time over which a rate is counted.
const COUNTED: Duration = Duration::from_secs(10);

/// Limits the first organisation.
fn limited(site: &Site, limits: &serde_json::Value) -> RecordsObject {
    let mut records = site.sample_records();
    let first = records.records[0]
        .as_object_mut()
        .expect("a record is an object");
    for (key, value) in limits.as_object().expect("limits are an object") {
        first.insert(key.clone(), value.clone());
    }
    records
}

fn put_in_force(site: &Site, limits: &serde_json::Value) {
    let version = site.write_records(&limited(site, limits));
    wait_until("the limits are in force", 20_000, || {
        site.nodes.iter().all(|node| {
            let status = crate::util::status(node.operators);
            status["revision"].as_u64() == Some(version.0)
        })
    });
}

/// Calls a node's plain service in an open loop, and gives the answers.
fn flood(node: SocketAddr, key: &'static str, per_s: f64, lasting: Duration) -> Vec<u16> {
    let start = Instant::now();
    let mut callers = Vec::new();
    let mut sent = 0_u32;
    while start.elapsed() < lasting {
        let due = Duration::from_secs_f64(f64::from(sent) / per_s);
        thread::sleep(due.saturating_sub(start.elapsed()));
        callers.push(thread::spawn(move || call_service(node, key)));
        sent += 1;
    }
    let answers = callers.into_iter().map(|caller| caller.join());
    answers.map(|status| status.expect("no panic")).collect()
}

/// Status of a call to the plain service; 0 if the node did not answer.
fn call_service(node: SocketAddr, key: &str) -> u16 {
    let answer = attohttpc::get(format!("http://{node}/services/enquiries/stock"))
        .read_timeout(Duration::from_secs(20))
        .header("authorization", format!("Bearer {key}"))
        .send();
    answer.map_or(0, |answer| answer.status().as_u16())
}

fn count(answers: &[u16], status: u16) -> usize {
    answers.iter().filter(|answer| **answer == status).count()
}

/// Floods several nodes at once, each at its rate, and gives the answered calls a second.
fn answered_per_s(nodes: &[(SocketAddr, f64)]) -> f64 {
    let floods: Vec<_> = nodes
        .iter()
        .map(|&(node, per_s)| thread::spawn(move || flood(node, KEYS[0].1, per_s, COUNTED)))
        .collect();
    let answers = floods.into_iter().map(|flood| flood.join());
    let answered: usize = answers.map(|a| count(&a.expect("no panic"), 200)).sum();
    answered as f64 / COUNTED.as_secs_f64()
}

fn three_nodes() -> SiteOptions {
    SiteOptions {
        nodes: 3,
        ..SiteOptions::small()
    }
}

site_test!(
    flooding_organisation_is_paced_and_others_are_not,
    SiteOptions::small(),
    |site| {
        put_in_force(&site, &json!({ "requests_per_s": LIMIT_PER_S }));
        let node = site.nodes[0].callers;
        let other = thread::spawn(move || flood(node, KEYS[1].1, 5.0, COUNTED));
        let answers = flood(node, KEYS[0].1, 20.0 * LIMIT_PER_S, COUNTED);
        assert_eq!(count(&answers, 200) + count(&answers, 429), answers.len());
        // Both nodes may have saved up a burst of their share.
        let most = LIMIT_PER_S * (COUNTED.as_secs_f64() + 1.0 + 2.0 * BURST_S);
        assert!((count(&answers, 200) as f64) <= most, "{answers:?}");
        let others = other.join().expect("no panic");
        assert_eq!(count(&others, 200), others.len(), "{others:?}");
    }
);

site_test!(
    fleet_limit_holds_with_most_arrivals_on_one_node,
    three_nodes(),
    |site| {
        put_in_force(&site, &json!({ "requests_per_s": LIMIT_PER_S }));
        let nodes: Vec<SocketAddr> = site.nodes.iter().map(|node| node.callers).collect();
        let offered = [(nodes[0], 24.0), (nodes[1], 3.0), (nodes[2], 3.0)];
        // The first round saves nothing up and lets shares follow.
        answered_per_s(&offered);
        let rate = answered_per_s(&offered);
        assert!(
            (0.8 * LIMIT_PER_S..=1.2 * LIMIT_PER_S).contains(&rate),
            "{rate}"
        );
    }
);

site_test!(
    fleet_limit_is_not_exceeded_after_a_node_dies,
    three_nodes(),
    |mut site| {
        put_in_force(&site, &json!({ "requests_per_s": LIMIT_PER_S }));
        let nodes: Vec<SocketAddr> = site.nodes.iter().map(|node| node.callers).collect();
        answered_per_s(&[(nodes[0], 24.0), (nodes[1], 3.0), (nodes[2], 3.0)]);
        drop(site.nodes.remove(0));
        let left = [(nodes[1], 15.0), (nodes[2], 15.0)];
        let just_after = answered_per_s(&left);
        assert!(just_after <= LIMIT_PER_S + LIMIT_PER_S * BURST_S / COUNTED.as_secs_f64());
        thread::sleep(SETTLE);
        let rate = answered_per_s(&left);
        // The dead node's even share stays unused as long as the platform lists it.
        let least = 0.8 * LIMIT_PER_S * 2.0 / 3.0;
        assert!((least..=1.2 * LIMIT_PER_S).contains(&rate), "{rate}");
    }
);

site_test!(
    paused_node_comes_back_within_the_fleet_limit,
    three_nodes(),
    |site| {
        put_in_force(&site, &json!({ "requests_per_s": LIMIT_PER_S }));
        let nodes: Vec<SocketAddr> = site.nodes.iter().map(|node| node.callers).collect();
        let offered = [(nodes[0], 20.0), (nodes[1], 5.0), (nodes[2], 5.0)];
        answered_per_s(&offered);
        site.nodes[0].process.signal("STOP");
        thread::sleep(SETTLE);
        answered_per_s(&offered[1..]);
        site.nodes[0].process.signal("CONT");
        let back = answered_per_s(&offered);
        let most = LIMIT_PER_S * (1.2 + BURST_S / COUNTED.as_secs_f64());
        assert!(back <= most, "{back}");
    }
);

macro_rules! mode_test {
    ($name:ident, $mode:literal) => {
        site_test!(
            $name,
            SiteOptions {
                node_settings: concat!(
                    "[admission]\nrate = ",
                    $mode,
                    "\nconcurrency = ",
                    $mode,
                    "\ndeadlines = ",
                    $mode,
                    "\ngroup_concurrency = ",
                    $mode,
                    "\n"
                )
                .to_owned(),
                ..SiteOptions::small()
            },
            |site| {
                put_in_force(
                    &site,
                    &json!({ "requests_per_s": 1.0, "tokens_per_s": 1.0, "concurrency": 1 }),
                );
                let answers = flood(site.nodes[0].callers, KEYS[0].1, 40.0, Duration::from_secs(3));
                assert_eq!(count(&answers, 200), answers.len(), "{answers:?}");
                let call = Call::new("a call with every layer so");
                let answer = call.send(site.nodes[0].callers).expect("the node answers");
                assert_eq!(answer.text, call.expected());
            }
        );
    };
}

mode_test!(watching_changes_nothing, "watch");
mode_test!(kill_switch_changes_nothing, "off");

/// Two groups of two slots, so that a few callers are an overload.
fn few_slots() -> SiteOptions {
    SiteOptions {
        nodes: 1,
        engine_args: ["--slots", "2", "--token-ms", "50"]
            .map(str::to_owned)
            .to_vec(),
        ..SiteOptions::small()
    }
}

fn send_all(calls: Vec<Call>, node: SocketAddr) -> Vec<(Call, Answer)> {
    let callers: Vec<_> = calls
        .into_iter()
        .map(|call| {
            thread::spawn(move || {
                let answer = call.send(node).expect("the node answers");
                (call, answer)
            })
        })
        .collect();
    let answers = callers.into_iter().map(|caller| caller.join());
    answers.map(|pair| pair.expect("no panic")).collect()
}

fn call_of_class(class: &str, number: usize, patience_ms: u64) -> Call {
    let deadline_unix_ms = jacinthpoint_standins::wall_ms() + patience_ms;
    Call {
        max_tokens: 20,
        headers: vec![
            ("x-priority", class.to_owned()),
            ("x-deadline-unix-ms", deadline_unix_ms.to_string()),
        ],
        ..Call::new(&format!("{class} {number}"))
    }
}

site_test!(
    overload_ends_each_request_once_and_truly,
    few_slots(),
    |site| {
        let node = site.nodes[0].callers;
        // A second of work each, twenty times what four slots do in the time that callers have.
        let calls = (0..160).map(|number| call_of_class("normal", number, 4_000));
        let answers = send_all(calls.collect(), node);
        let runs = site.run_log();
        for (call, answer) in &answers {
            match answer.outcome.as_str() {
                "answered" => assert_eq!(answer.text, call.expected()),
                "not-run" => {
                    assert!(answer.retry_after.is_some(), "{}", answer.body);
                    assert_eq!(answer.status, 503, "{}", answer.body);
                    assert!(runs.iter().all(|run| run.request != answer.request));
                }
                _ => assert_eq!(answer.status, 504, "{}", answer.body),
            }
        }
        let count = |outcome| answers.iter().filter(|(_, a)| a.outcome == outcome).count();
        assert!(count("answered") > 0 && count("not-run") > 0);
    }
);

site_test!(critical_request_goes_before_a_flood, few_slots(), |site| {
    let node = site.nodes[0].callers;
    let flood = thread::spawn(move || {
        let calls = (0..120).map(|number| call_of_class("batch", number, 20_000));
        send_all(calls.collect(), node)
    });
    thread::sleep(Duration::from_millis(1_500));
    let call = call_of_class("critical", 0, 10_000);
    let answer = call.send(node).expect("the node answers");
    assert_eq!(answer.outcome, "answered", "{}", answer.body);
    assert_eq!(answer.text, call.expected());
    flood.join().expect("no panic");
});

site_test!(
    caller_that_leaves_the_queue_costs_no_run,
    few_slots(),
    |site| {
        let node = site.nodes[0].callers;
        let long = thread::spawn(move || {
            let calls = (0..16).map(|number| Call {
                max_tokens: 60,
                ..call_of_class("normal", number, 25_000)
            });
            send_all(calls.collect(), node)
        });
        thread::sleep(Duration::from_millis(1_500));
        let left = call_of_class("batch", 0, 25_000);
        left.send_and_leave(node, Duration::from_millis(300))
            .expect("the node accepts the connection");
        long.join().expect("no panic");
        // What waited behind the long calls starts as soon as they end.
        thread::sleep(Duration::from_millis(1_500));
        let request = left.request.to_string();
        assert!(site.run_log().iter().all(|run| run.request != request));
    }
);
