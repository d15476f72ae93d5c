//! What the end of a fault test demands.

use std::{collections::BTreeSet, time::Duration};

use jacinthpoint_placement::Plan;
use jacinthpoint_platform::Object;

use crate::util::{Call, Sent, Site, Tally, Traffic, get_json, reconcile, status, wait_until};

/// Time for answers to come in.
const ANSWERS_MS: u64 = 60_000;

/// Lets time pass while callers go on.
pub fn let_pass(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until this many more requests are answered.
pub fn wait_for_answers(traffic: &Traffic, count: usize) {
    let wanted = traffic.answered() + count;
    wait_until("more answers", ANSWERS_MS, || traffic.answered() >= wanted);
}

/// Reconciles, and demands that no repeatable request was lost and no caller left untold.
pub fn none_lost(site: &Site, sent: &[Sent]) -> Tally {
    let tally = reconcile(site, sent);
    assert_eq!(tally.untold, 0, "a caller was told nothing: {tally:?}");
    let lost = sent
        .iter()
        .find(|sent| !sent.call.is_marked() && sent.outcome() != "answered");
    assert!(lost.is_none(), "lost: {lost:?}");
    tally
}

/// Demands that every node answers, as after a fault is over.
pub fn every_node_answers(site: &Site) {
    for node in &site.nodes {
        wait_until("a node answers", ANSWERS_MS, || {
            let call = Call::new("after the fault");
            let answer = call.send(node.callers);
            answer
                .is_ok_and(|answer| answer.outcome == "answered" && answer.text == call.expected())
        });
    }
}

/// Ends a fault test: the site answers as before, and everything is accounted for. Requests may
/// have ended unanswered, but every caller was told how.
pub fn fault_survived(site: &Site, traffic: Traffic) -> Tally {
    every_node_answers(site);
    wait_for_answers(&traffic, 10);
    let tally = reconcile(site, &traffic.finish());
    assert_eq!(tally.untold, 0, "a caller was told nothing: {tally:?}");
    tally
}

/// Waits until every node has at least this revision of the configuration in force.
pub fn wait_for_revision(site: &Site, revision: u64, bound_ms: u64) {
    wait_until("the configuration is in force", bound_ms, || {
        site.nodes.iter().all(|node| {
            let in_force = status(node.operators)["revision"].as_u64();
            in_force.is_some_and(|in_force| in_force >= revision)
        })
    });
}

/// Checks every plan ever written: no VM in two places, fencing numbers that only rise.
pub fn check_plans(site: &Site) {
    let domains: BTreeSet<&str> = site.engines.values().map(|e| e.domain.as_str()).collect();
    for domain in domains {
        let plans = plan_history(site, domain);
        assert!(!plans.is_empty(), "no plan for {domain}");
        let disjoint = plans.iter().all(Plan::is_disjoint);
        assert!(disjoint, "a VM stands in two places: {plans:?}");
        let fences: Vec<u64> = plans.iter().map(|plan| plan.fence).collect();
        assert!(fences.is_sorted_by(|a, b| a < b), "{fences:?}");
    }
}

fn plan_history(site: &Site, domain: &str) -> Vec<Plan> {
    let path = format!("/control/history/plans/{domain}");
    let history = get_json(site.platform_address, &path);
    let history: Vec<Object> = serde_json::from_value(history).expect("a history of objects");
    let plans = history.into_iter().map(|object| object.value);
    plans
        .map(|value| serde_json::from_value(value).expect("a plan"))
        .collect()
}
