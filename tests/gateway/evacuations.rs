//! Data centres that operators evacuate: no new request reaches an upstream there, on any path, while
//! streams that run there go on.

use std::{
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::{EngineFault, RequestFault, StoreFault};
use serde_json::json;

use crate::gateway::{
    all_event_ids,
    caller::{Answer, End, Request, join_all},
    pause_ms,
    site::{Site, SiteSize},
};

/// Time within which an evacuation must be in force.
const APPLY_MS: u64 = 5_000;
const SETTINGS: &str = "[evacuations]\napply_ms = 5000\n";
/// The evacuated data centre, which has the second fabric domain.
const EVACUATED: &str = "dc-2";
const ENGINES_PER_DOMAIN: usize = 4;
const GATEWAYS: usize = 3;
/// Requests to each gateway.
const REQUESTS: usize = 20;

/// Returns whether an upstream is in the evacuated data centre.
fn is_there(upstream: &str) -> bool {
    let index = upstream
        .strip_prefix("i-")
        .and_then(|index| index.parse().ok());
    index.is_some_and(|index: usize| index >= ENGINES_PER_DOMAIN)
}

/// Starts the first and third gateway in the other data centre, where one reads the store for both, and the
/// second one in the evacuated data centre.
fn start() -> Site {
    let size = SiteSize {
        gateways: GATEWAYS,
        data_centres: 2,
        engines_per_domain: ENGINES_PER_DOMAIN,
    };
    Site::start_of_size(size, SETTINGS)
}

fn evacuate(site: &Site) {
    let store = &site.platform.store;
    store.put(paths::EVACUATION_KIND, EVACUATED, json!({}));
}

/// Waits until gateways have read this many evacuations, or ends of evacuations.
fn wait_for(site: &Site, gateways: &[usize], what: &str, count: usize) {
    let line = format!("jacinthpoint_evacuations_total{{label=\"{what}\"}} {count}");
    site.wait_until("the evacuation is known", APPLY_MS, |site| {
        let mut gateways = gateways.iter();
        gateways.all(|index| site.metrics(*index).contains(&line))
    });
}

/// Sends requests to the gateways and returns how many of them ran in the evacuated data centre. All are
/// served.
fn runs_there(site: &Site, name: &str, gateways: &[usize]) -> usize {
    let senders =
        (0..REQUESTS).flat_map(|number| gateways.iter().map(move |index| (number, *index)));
    let senders: Vec<_> = senders
        .map(|(number, index)| {
            pause_ms(10);
            let id = format!("{name}-{index}-{number}");
            let address = site.gateway(index);
            thread::spawn(move || (Request::stream(&id).send(address), id))
        })
        .collect();
    let answers = join_all(senders);
    let runs = answers.into_iter().flat_map(|(answer, id)| {
        let body = answer.text();
        assert_eq!(
            (answer.status, answer.end),
            (200, End::Whole),
            "{id}: {body}"
        );
        site.platform.runs.of(&id)
    });
    runs.filter(|run| is_there(&run.upstream)).count()
}

/// Sends streams to the gateway in the evacuated data centre until one runs there; returns its id, the upstream
/// and the threads of all callers.
fn stream_there(site: &Site) -> (String, String, Vec<thread::JoinHandle<Answer>>) {
    let mut callers = Vec::new();
    loop {
        let id = format!("there-{}", callers.len());
        let request = Request::stream(&id);
        let address = site.gateway(1);
        callers.push(thread::spawn(move || request.send(address)));
        site.wait_for_run(&id);
        let upstream = site.platform.runs.of(&id)[0].upstream.clone();
        if is_there(&upstream) {
            return (id, upstream, callers);
        }
        assert!(callers.len() < REQUESTS, "no request runs there");
    }
}

/// Defines tests that each start their own site: name, body.
macro_rules! evacuations {
    ($($name:ident: |$site:ident| $body:block)+) => {
        $(
            #[test]
            fn $name() {
                #[allow(unused_mut)]
                let mut $site = start();
                $body
            }
        )+
    };
}

evacuations! {
    requests_go_elsewhere_and_streams_go_on: |site| {
        let all = [0, 1, 2];
        let engines = &site.platform.engines;
        engines.set_stream(60, 50);
        let (id, _, callers) = stream_there(&site);
        evacuate(&site);
        wait_for(&site, &all, "began", 1);
        for answer in join_all(callers) {
            assert_eq!((answer.status, answer.end), (200, End::Whole));
            assert_eq!(answer.events(), all_event_ids(60));
        }
        engines.set_stream(20, 15);
        assert_eq!(runs_there(&site, "evacuated", &all), 0);
        assert_eq!(site.platform.runs.of(&id).len(), 1);
        site.platform.store.remove(paths::EVACUATION_KIND, EVACUATED);
        wait_for(&site, &all, "ended", 1);
        assert!(runs_there(&site, "ended", &all) > 0);
    }

    // Guards against gateways that miss an evacuation that was requested while the store did not answer,
    // forget it while the store does not answer, or start without it.
    evacuation_stays_in_force_while_the_store_is_down: |site| {
        let all = [0, 1, 2];
        let store = site.platform.store.clone();
        store.set_fault(StoreFault::Busy);
        evacuate(&site);
        pause_ms(1_000);
        store.set_fault(StoreFault::None);
        wait_for(&site, &all, "began", 1);
        store.set_fault(StoreFault::Silent);
        pause_ms(2_500);
        assert_eq!(runs_there(&site, "down", &all), 0);
        site.restart(2);
        pause_ms(1_000);
        let answer = Request::stream("early").send(site.gateway(2));
        assert_eq!(answer.status, 503);
        store.set_fault(StoreFault::None);
        site.wait_until("the gateway is ready", 10_000, |site| site.is_ready(2));
        assert_eq!(runs_there(&site, "started", &all), 0);
    }

    // Guards against a gateway that waits for an evacuation at a relay that is frozen.
    evacuation_is_known_beside_a_frozen_relay: |site| {
        for (round, (frozen, others)) in [(0, [1, 2]), (2, [0, 1])].into_iter().enumerate() {
            site.signal(frozen, "STOP");
            evacuate(&site);
            wait_for(&site, &others, "began", round + 1);
            assert_eq!(runs_there(&site, &format!("frozen-{frozen}"), &others), 0);
            site.signal(frozen, "CONT");
            wait_for(&site, &[frozen], "began", round + 1);
            site.platform.store.remove(paths::EVACUATION_KIND, EVACUATED);
            wait_for(&site, &[0, 1, 2], "ended", round + 1);
        }
    }

    // The request runs where the data centre is not evacuated, also after its first upstream has failed.
    resumed_stream_and_retried_request_go_elsewhere: |site| {
        let engines = &site.platform.engines;
        engines.set_stream(100, 60);
        let (id, upstream, callers) = stream_there(&site);
        engines.set_stream(20, 15);
        evacuate(&site);
        wait_for(&site, &[0, 1, 2], "began", 1);
        engines.set_fault(&upstream, EngineFault::Dead);
        join_all(callers);
        let runs = site.platform.runs.of(&id);
        assert!(runs.len() > 1, "the stream is resumed");
        assert!(runs[1..].iter().all(|run| !is_there(&run.upstream)));
        engines.set_request_fault(RequestFault::Fails);
        let request = Request::stream("retried");
        request.send(site.gateway(1));
        let runs = site.platform.runs.of("retried");
        assert!(runs.len() > 1, "the request is retried");
        assert!(runs.iter().all(|run| !is_there(&run.upstream)));
    }

    request_is_refused_at_once_if_all_data_centres_are_evacuated: |site| {
        let store = &site.platform.store;
        store.put(paths::EVACUATION_KIND, "dc-1", json!({}));
        evacuate(&site);
        wait_for(&site, &[0, 1, 2], "began", 2);
        for request in [Request::stream("refused"), Request::once("refused-once")] {
            let began = Instant::now();
            let answer = request.send(site.gateway(0));
            assert_eq!(answer.status, 503);
            assert!(answer.header("retry-after").is_some());
            assert!(began.elapsed() < Duration::from_secs(1));
            assert!(site.platform.runs.of(&request.id).is_empty());
        }
    }

    // Guards against entries of other writers that hide the others.
    odd_objects_cost_no_other: |site| {
        let store = &site.platform.store;
        store.put_raw(paths::EVACUATION_KIND, "dc-nowhere", "[1e999]");
        store.put(paths::EVACUATION_KIND, "Hall #3 (north)", json!("odd"));
        evacuate(&site);
        wait_for(&site, &[0, 1, 2], "began", 3);
        assert_eq!(runs_there(&site, "odd", &[0, 1, 2]), 0);
    }
}
