//! A request that crashes each engine that runs it, and that comes again at any gateway.

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform_standins::{CrashAt, EngineFault};

use crate::gateway::{
    caller::{HarmlessAnswer, Request, assert_half_served, join_all},
    site::Site,
};

const CRASHING_PATH: &str = "/stream/crashing?page=2";
const CRASHING_BODY: &str = "";
/// Prefix of the ids of the requests that crash engines.
const CRASHING_ID: &str = "crashing-";
/// Number of crashes after which the request must be known.
const CRASHES: usize = 3;
/// Time after them from which at most [`MAX_ARRIVALS`] more of the requests may arrive.
const STABLE: Duration = Duration::from_secs(3);
const MAX_ARRIVALS: usize = 3;
const GATEWAYS: usize = 3;
/// Time between two requests of the test, every fourth of which crashes engines.
const INTERVAL: Duration = Duration::from_millis(40);

/// Returns a harmless request, by turns with the path, the body or only the key of the crashing one.
fn harmless(id: usize) -> Request<'static> {
    let base = Request::stream(&format!("harmless-{id}"));
    match id % 3 {
        0 => Request {
            path: CRASHING_PATH,
            ..base
        },
        1 => Request {
            path: "/stream/crashing?page=3",
            body: CRASHING_BODY,
            ..base
        },
        _ => base,
    }
}

/// Sends harmless and crashing requests to all gateways in turn for `time`, and returns the answers of
/// the harmless ones. The ids of the requests begin at `first_id`.
fn send(site: &Site, first_id: usize, time: Duration) -> Vec<HarmlessAnswer> {
    let end = Instant::now() + time;
    let (mut harmless_answers, mut crashing) = (Vec::new(), Vec::new());
    for id in first_id.. {
        if Instant::now() >= end {
            break;
        }
        let address = site.gateway(id % GATEWAYS);
        if id % 4 == 0 {
            let request = Request {
                path: CRASHING_PATH,
                body: CRASHING_BODY,
                ..Request::stream(&format!("{CRASHING_ID}{id}"))
            };
            crashing.push(thread::spawn(move || {
                request.send(address);
            }));
        } else {
            harmless_answers.push(thread::spawn(move || harmless(id).send_harmless(address)));
        }
        thread::sleep(INTERVAL);
    }
    join_all(crashing);
    join_all(harmless_answers)
}

/// Returns the number of arrivals of the crashing request at engines from `begin` on.
fn crashing_arrivals(site: &Site, begin: Instant) -> usize {
    let runs = site.platform.runs.all();
    runs.iter()
        .filter(|run| run.at >= begin && run.attempt_id.starts_with(CRASHING_ID))
        .count()
}

/// Checks that the request stops arriving, and that harmless ones are served, if engines crash at this
/// point; returns the site.
fn check_stops(at: CrashAt) -> Site {
    let site = Site::start(GATEWAYS);
    let engines = &site.platform.engines;
    engines.set_crashing_request(CRASHING_PATH, CRASHING_BODY, at);
    let answers = send(&site, 0, Duration::from_secs(10));
    let crashes = engines.crashes();
    let third_crash = *crashes.get(CRASHES - 1).expect("three engines crashed");
    let arrivals = crashing_arrivals(&site, third_crash + STABLE);
    assert!(
        arrivals <= MAX_ARRIVALS,
        "{arrivals} arrivals, {} crashes",
        crashes.len()
    );
    assert_half_served(&answers, third_crash + 2 * STABLE);
    site
}

/// Guards against rule BUDGET: a request that crashes engines after the head of its answers is sent on
/// and on because it names no part of a prompt.
#[test]
fn request_that_crashes_engines_stops() {
    check_stops(CrashAt::AfterHead);
}

/// Guards against rule BUDGET: as above, for a request without any answer on a connection that may
/// have been idle.
#[test]
fn request_that_crashes_engines_before_the_head_stops() {
    check_stops(CrashAt::BeforeHead);
}

/// Guards against rule BUDGET: gateways that start again do not know the requests that crash engines.
#[test]
fn request_that_crashes_engines_stays_away_after_all_gateways_restart() {
    let mut site = check_stops(CrashAt::AfterHead);
    (0..GATEWAYS).for_each(|gateway| site.restart(gateway));
    for gateway in 0..GATEWAYS {
        site.wait_until("the gateway is ready again", 10_000, |site| {
            site.is_ready(gateway)
        });
    }
    thread::sleep(STABLE);
    let begin = Instant::now();
    send(&site, 100_000, Duration::from_secs(4));
    let arrivals = crashing_arrivals(&site, begin);
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} requests arrived");
}

/// Number of different requests that are sent, one after the other, to engines that are down.
const SENT_WHILE_DOWN: usize = 12;
/// Pause between them, longer than the resolution of the gateway's clock.
const PAUSE: Duration = Duration::from_millis(10);
/// Time in which the gateway writes all of its suspicions.
const RECORDED: Duration = Duration::from_secs(2);

/// Guards against harmless requests that count for a crash that was noticed before they were sent: the address of an
/// engine that is down may still accept connections.
#[test]
fn one_request_counts_for_a_crash_if_others_are_sent_only_later() {
    // Without retries, each request meets one engine.
    let site = Site::start_with_settings(1, "[repeats]\nratio = 0\nslack = 0\n");
    let engines = &site.platform.engines;
    for id in engines.ids() {
        engines.set_fault(&id, EngineFault::Dead);
    }
    for index in 0..SENT_WHILE_DOWN {
        let body = format!("prompt {index}");
        let request = Request {
            body: &body,
            ..Request::stream(&format!("harmless-{index}"))
        };
        request.send(site.gateway(0));
        thread::sleep(PAUSE);
    }
    let records = || site.platform.store.contents("prompt-suspicions");
    site.wait_until("a suspicion is recorded", 10_000, |_| !records().is_empty());
    thread::sleep(RECORDED);
    let records = records();
    let suspicions = records
        .iter()
        .filter_map(|record| record["suspicions"].as_array());
    let crashes: Vec<String> = suspicions
        .flatten()
        .map(|suspicion| suspicion["crash"].to_string())
        .collect();
    let different: BTreeSet<&String> = crashes.iter().collect();
    assert_eq!(different.len(), crashes.len(), "{crashes:?}");
}
