//! A part of a prompt that crashes each engine that begins to write an answer on it.

use std::{
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform_standins::EngineFault;
use serde_json::{Value, json};

use crate::gateway::{
    caller::{HarmlessAnswer, Request, assert_half_served, join_all},
    site::Site,
};

/// Part that crashes engines, and the part before it, which harmless prompts have, too.
const CRASHING_PART: &str = "dead";
const COMMON_PART: &str = "c0";
/// Number of crashes after which the part must be known.
const CRASHES: usize = 5;
/// Time after them from which at most [`MAX_ARRIVALS`] more requests with the part may arrive.
const STABLE: Duration = Duration::from_secs(3);
const MAX_ARRIVALS: usize = 3;
/// Time between two requests with the crashing part, and between two harmless ones.
const CRASHING_INTERVAL: Duration = Duration::from_millis(150);
const HARMLESS_INTERVAL: Duration = Duration::from_millis(40);

/// Returns a request whose prompt has a last part of its own.
fn request(id: usize, is_crashing: bool) -> Request<'static> {
    let crashing = if is_crashing {
        format!("{CRASHING_PART}:165,")
    } else {
        String::new()
    };
    Request {
        prompt: format!("{COMMON_PART}:40,{crashing}{:x}:300", 0x10_0000 + id),
        ..Request::stream(&format!("prompt-{id}"))
    }
}

/// Sends harmless and crashing requests to all gateways in turn for `time`, and returns the answers of
/// the harmless ones. The ids of the requests begin at `first_id`.
fn send(site: &Site, gateways: usize, first_id: usize, time: Duration) -> Vec<HarmlessAnswer> {
    let began = Instant::now();
    let (mut harmless, mut crashing) = (Vec::new(), Vec::new());
    let mut crashing_at = began;
    for id in first_id.. {
        let now = Instant::now();
        if now >= began + time {
            break;
        }
        let address = site.gateway(id % gateways);
        if now >= crashing_at {
            crashing_at += CRASHING_INTERVAL;
            crashing.push(thread::spawn(move || {
                request(id, true).send(address);
            }));
        } else {
            harmless.push(thread::spawn(move || {
                request(id, false).send_harmless(address)
            }));
        }
        thread::sleep(HARMLESS_INTERVAL);
    }
    join_all(crashing);
    join_all(harmless)
}

/// Returns the number of requests with the crashing part that arrived at engines from `begin` on.
fn crashing_arrivals(site: &Site, begin: Instant) -> usize {
    let runs = site.platform.runs.all();
    let is_crashing = |prompt: &str| prompt.contains(&format!("{CRASHING_PART}:"));
    runs.iter()
        .filter(|run| run.at >= begin && is_crashing(&run.prompt))
        .count()
}

/// Sends requests until the part must be known, and returns the time of the fifth crash.
fn crash_engines(site: &Site, gateways: usize) -> (Instant, Vec<HarmlessAnswer>) {
    site.platform.engines.set_crashing_part(Some(CRASHING_PART));
    let answers = send(site, gateways, 0, Duration::from_secs(12));
    let crashes = site.platform.engines.crashes();
    // Fewer than five crashes are fine; the rules count from the last one then.
    let counted = crashes.get(CRASHES - 1).or(crashes.last());
    (*counted.expect("an engine crashed"), answers)
}

/// Guards against rule BUDGET: requests with a part that crashes engines are sent on and on, by each
/// gateway; and against lost answers: harmless requests with the same first part are not served meanwhile.
#[test]
fn requests_with_a_crashing_part_stop_and_harmless_ones_are_served() {
    let gateways = 3;
    let site = Site::start(gateways);
    let (counted_from, answers) = crash_engines(&site, gateways);
    let arrivals = crashing_arrivals(&site, counted_from + STABLE);
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} requests arrived");
    assert_half_served(&answers, counted_from + 2 * STABLE);
}

/// Guards against rule BUDGET: gateways that start again do not know the parts that crash engines.
#[test]
fn requests_with_a_crashing_part_stay_away_after_all_gateways_restart() {
    let gateways = 3;
    let mut site = Site::start(gateways);
    crash_engines(&site, gateways);
    (0..gateways).for_each(|gateway| site.restart(gateway));
    for gateway in 0..gateways {
        site.wait_until("the gateway is ready again", 10_000, |site| {
            site.is_ready(gateway)
        });
    }
    thread::sleep(STABLE);
    let begin = Instant::now();
    send(&site, gateways, 100_000, Duration::from_secs(4));
    let arrivals = crashing_arrivals(&site, begin);
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} requests arrived");
}

/// Returns the record of a part in the store, with crashes of as many upstreams.
fn record(crashes: usize) -> Value {
    let suspicion = |index: usize| {
        json!({ "crash": { "upstream": format!("i-{index}"), "started_unix_ms": 1 },
            "prompt": format!("{:x}", 0x20_0000 + index), "position": 1, "beside": [COMMON_PART] })
    };
    json!({ "suspicions": (0..crashes).map(suspicion).collect::<Vec<_>>() })
}

/// An operator can end a quarantine, and a request that is refused has not run.
#[test]
fn requests_are_refused_at_once_until_the_record_is_removed() {
    let gateways = 2;
    let site = Site::start(gateways);
    site.platform
        .store
        .put("prompt-suspicions", CRASHING_PART, record(3));
    thread::sleep(Duration::from_secs(2));
    for index in 0..gateways {
        let began = Instant::now();
        let answer = request(index, true).send(site.gateway(index));
        assert_eq!(answer.status, 503);
        assert!(answer.text().contains("2007"), "{}", answer.text());
        assert!(answer.header("retry-after").is_some());
        assert!(began.elapsed() < Duration::from_millis(500));
        let answer = request(10 + index, false).send(site.gateway(index));
        assert_eq!(answer.status, 200);
    }
    assert_eq!(crashing_arrivals(&site, Instant::now() - STABLE), 0);
    site.platform
        .store
        .remove("prompt-suspicions", CRASHING_PART);
    thread::sleep(Duration::from_secs(1));
    for index in 0..gateways {
        let answer = request(20 + index, true).send(site.gateway(index));
        assert_eq!(answer.status, 200, "gateway {index}");
    }
}

/// Time for which all engines are down, and within which their application is served again once its groups are open.
const DOWN: Duration = Duration::from_secs(2);
const SERVED_AGAIN: Duration = Duration::from_secs(9);

/// Sends requests whose prompts share a part to all gateways in turn for `time`. Returns the statuses of the
/// answers, in the order of the requests.
fn send_common(site: &Site, gateways: usize, first_id: usize, time: Duration) -> Vec<u16> {
    let began = Instant::now();
    let mut callers = Vec::new();
    for id in first_id.. {
        if began.elapsed() >= time {
            break;
        }
        let address = site.gateway(id % gateways);
        callers.push(thread::spawn(move || {
            request(id, false).send(address).status
        }));
        thread::sleep(HARMLESS_INTERVAL / 2);
    }
    let answers = callers.into_iter();
    answers
        .map(|caller| caller.join().expect("a caller does not panic"))
        .collect()
}

/// Guards against an application that is refused for an hour after all its engines crashed at once, since all its
/// prompts share a part that nobody tries again.
#[test]
fn application_is_served_again_after_all_its_engines_crashed() {
    let gateways = 2;
    let site = Site::start(gateways);
    let engines = &site.platform.engines;
    let groups = engines.open_groups().len();
    let before = send_common(&site, gateways, 0, Duration::from_secs(3));
    assert!(before.iter().all(|status| *status == 200), "{before:?}");
    let all = engines.ids();
    thread::scope(|scope| {
        scope.spawn(|| send_common(&site, gateways, 10_000, DOWN));
        thread::sleep(Duration::from_millis(300));
        for id in &all {
            engines.set_fault(id, EngineFault::Dead);
        }
    });
    for id in &all {
        engines.set_fault(id, EngineFault::None);
    }
    site.wait_until("all groups are open again", 20_000, |site| {
        site.platform.engines.open_groups().len() == groups
    });
    send_common(&site, gateways, 20_000, SERVED_AGAIN);
    let after = send_common(&site, gateways, 30_000, Duration::from_secs(1));
    let served = after.iter().filter(|status| **status == 200).count();
    assert!(2 * served >= after.len(), "{after:?}");
}
