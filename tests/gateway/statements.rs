//! Upstreams that state in their answers that they leave, or want no requests for a time.

use std::{
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::{PlainFault, PlainService};
use serde_json::json;

use crate::gateway::{
    caller::{Answer, Request},
    site::Site,
};

/// Time from which a statement holds.
const HOLDS_AFTER: Duration = Duration::from_millis(500);
const PAUSE_MS: u64 = 3_000;
/// Pause that does not end within a test.
const LONG_PAUSE_MS: u64 = 120_000;
const INTERVAL_MS: u64 = 50;
/// Time between the last request of the test and the end of the pause.
const BEFORE_END_MS: u64 = 600;
/// Maximum number of arrivals while the upstream wants none.
const MAX_ARRIVALS: usize = 2;

/// Sends requests to the plain service for `time`, one every [`INTERVAL_MS`], and returns their answers.
fn send(site: &Site, name: &str, time: Duration) -> Vec<Answer> {
    let end = Instant::now() + time;
    let mut answers = Vec::new();
    while Instant::now() < end {
        let request = Request::once(&format!("{name}-{}", answers.len()));
        answers.push(request.send(site.gateway(0)));
        thread::sleep(Duration::from_millis(INTERVAL_MS));
    }
    answers
}

/// Returns the number of requests that arrived at the plain service from `begin` on.
fn arrivals(site: &Site, begin: Instant) -> usize {
    let arrivals = site.platform.plain.arrivals();
    arrivals.iter().filter(|at| **at >= begin).count()
}

/// Guards against rule BUDGET: an upstream that wants no requests for a time gets them on and on.
#[test]
fn upstream_that_pauses_gets_no_requests() {
    let site = Site::start(1);
    let plain = &site.platform.plain;
    plain.set_fault(PlainFault::Pauses(PAUSE_MS));
    let first_sent_at = Instant::now();
    let first = Request::once("first").send(site.gateway(0));
    assert_eq!(first.status, 503);
    let said_at = Instant::now();
    plain.set_fault(PlainFault::None);
    thread::sleep(HOLDS_AFTER);
    let rest = Duration::from_millis(PAUSE_MS - BEFORE_END_MS) - HOLDS_AFTER;
    let answers = send(&site, "paused", rest);
    let arrived = arrivals(&site, said_at + HOLDS_AFTER);
    assert!(arrived <= MAX_ARRIVALS, "{arrived} requests arrived");
    for answer in &answers {
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
    }
    // Guards against callers that come back before the pause ends.
    let last = Request::once("last").send(site.gateway(0));
    let retry_after = last.header("retry-after").expect("it is refused");
    let retry_after_s: f64 = retry_after.parse().expect("a number");
    // The pause begins after the first request is sent, and the refusal ends before now.
    let pause_end = first_sent_at + Duration::from_millis(PAUSE_MS);
    let rest = pause_end.saturating_duration_since(Instant::now());
    assert!(
        retry_after_s >= rest.as_secs_f64(),
        "{retry_after_s} s, {rest:?} left"
    );
    thread::sleep(Duration::from_millis(BEFORE_END_MS + 200));
    assert_eq!(Request::once("after").send(site.gateway(0)).status, 200);
}

/// Guards against work at upstreams that leave: an upstream that states that it leaves gets requests until the store says
/// so, too.
#[test]
fn upstream_that_leaves_gets_no_requests() {
    let site = Site::start(1);
    let plain = &site.platform.plain;
    plain.set_fault(PlainFault::Leaves);
    let first = Request::once("first").send(site.gateway(0));
    assert_eq!(first.status, 200);
    let said_at = Instant::now();
    thread::sleep(HOLDS_AFTER);
    // Its entry is listed again, which says nothing new.
    let store = &site.platform.store;
    let entry = store.get_content(paths::UPSTREAM_KIND, PlainService::ID);
    let mut entry = entry.expect("it is registered");
    store.remove(paths::UPSTREAM_KIND, PlainService::ID);
    thread::sleep(HOLDS_AFTER);
    store.put(paths::UPSTREAM_KIND, PlainService::ID, entry.clone());
    thread::sleep(HOLDS_AFTER);
    for answer in send(&site, "leaving", Duration::from_secs(2)) {
        assert_eq!(answer.status, 503);
    }
    assert_eq!(arrivals(&site, said_at + HOLDS_AFTER), 0);
    // Its next life takes requests.
    plain.set_fault(PlainFault::None);
    entry["born"] = json!(2);
    store.put(paths::UPSTREAM_KIND, PlainService::ID, entry);
    thread::sleep(HOLDS_AFTER);
    assert_eq!(Request::once("next").send(site.gateway(0)).status, 200);
}

/// Guards against rule BUDGET: what an upstream states is ignored after it started again with a lower start time, since
/// the clock of its machine was set back in between.
#[test]
fn upstream_that_started_again_with_a_lower_start_time_pauses() {
    let site = Site::start(1);
    let plain = &site.platform.plain;
    let store = &site.platform.store;
    let entry = store.get_content(paths::UPSTREAM_KIND, PlainService::ID);
    let mut entry = entry.expect("it is registered");
    let answers_with = |status: u16, name: &str| {
        site.wait_until(name, 10_000, |site| {
            Request::once(name).send(site.gateway(0)).status == status
        });
    };
    // The gateway has the entry of the first life once it has seen that the upstream drains.
    plain.register(0, "draining");
    answers_with(503, "the upstream drains");
    entry["born"] = json!(5);
    store.put(paths::UPSTREAM_KIND, PlainService::ID, entry.clone());
    answers_with(200, "the first life takes requests");
    plain.set_fault(PlainFault::Pauses(LONG_PAUSE_MS));
    assert_eq!(Request::once("first").send(site.gateway(0)).status, 503);
    plain.set_fault(PlainFault::None);
    assert_eq!(Request::once("paused").send(site.gateway(0)).status, 503);
    entry["born"] = json!(4);
    store.put(paths::UPSTREAM_KIND, PlainService::ID, entry);
    answers_with(200, "the second life takes requests");
    plain.set_fault(PlainFault::Pauses(LONG_PAUSE_MS));
    assert_eq!(Request::once("second").send(site.gateway(0)).status, 503);
    let said_at = Instant::now();
    plain.set_fault(PlainFault::None);
    thread::sleep(HOLDS_AFTER);
    for answer in send(&site, "second-paused", Duration::from_secs(1)) {
        assert_eq!(answer.status, 503);
    }
    assert_eq!(arrivals(&site, said_at + HOLDS_AFTER), 0);
}
