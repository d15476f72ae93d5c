//! Configurations that come while requests run, whose bodies are sent as a whole or in chunks of which the last
//! one is late.

use std::{
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::{PlainFault, RequestLimits};
use serde_json::{Value, json};

use crate::gateway::{
    CONFIG_APPLY_MS, all_event_ids,
    caller::Request,
    kept_caller::{KeptCaller, Outcome},
    pause_ms,
    site::{KEY, ROUTE_TIMEOUT_MS, Site},
};

/// Number of requests of a test.
const REQUESTS: usize = 12;
/// Number of events of a stream, and the time between them.
const EVENTS: u64 = 30;
const EVENT_MS: u64 = 100;
/// Time between two configurations.
const CONFIG_PAUSE_MS: u64 = 150;
/// Time in which the heads of all requests have arrived, and in which the requests do not end.
const BEGIN_MS: u64 = 2_000;
/// Time after the other parts of a body in chunks in which its last one is sent.
const LAST_CHUNK_MS: u64 = 700;

/// Sends a request, with its body in chunks whose last one comes late, or as a whole.
fn send(mut caller: KeptCaller, request: &Request<'_>, is_chunked: bool) -> Outcome {
    if !is_chunked {
        return caller.send(request);
    }
    let text = request.to_text();
    let (head, body) = text.split_once("\r\n\r\n").expect("the head has an end");
    let length = format!("Content-Length: {}", body.len());
    let head = head.replace(&length, "Transfer-Encoding: chunked");
    let start = format!("{head}\r\n\r\n{:x}\r\n{body}\r\n", body.len());
    for (part, pause) in [(start.as_str(), LAST_CHUNK_MS), ("0\r\n\r\n", 0)] {
        match caller.write([part.as_bytes()]) {
            None => return Outcome::NotConnected,
            Some(written) => written.expect("it can be written"),
        }
        pause_ms(pause);
    }
    caller.read_answer(request.timeout_ms)
}

/// Writes configurations in series, each changed by `change` with its number, and sends SIGHUP after each.
fn keep_changing(site: &Site, is_over: &AtomicBool, change: fn(&mut Value, u64)) {
    let store = &site.platform.store;
    let first = store.get_content(paths::CONFIG_KIND, paths::CONFIG_NAME);
    let first = first.expect("a configuration is in force");
    let version = first["version"].as_u64().expect("it has a version");
    for number in 1.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let mut config = first.clone();
        change(&mut config, number);
        config["version"] = json!(version + number);
        store.put(paths::CONFIG_KIND, paths::CONFIG_NAME, config);
        site.signal(0, "HUP");
        pause_ms(CONFIG_PAUSE_MS);
    }
}

/// Sends requests that last some seconds, changes the configuration while they run, and checks that all have a
/// whole answer: a success or, if the configuration came before the end of the request's body and leaves
/// nothing to send it to, a refusal of what has not run.
fn check_changes(change: fn(&mut Value, u64)) {
    let site = Site::start(1);
    site.platform.engines.set_stream(EVENTS, EVENT_MS);
    site.platform
        .plain
        .set_fault(PlainFault::Slow(EVENTS * EVENT_MS));
    let address = site.gateway(0);
    let paths = ["/stream/", "/once/", "/again/"];
    let senders = (0..REQUESTS).map(|index| {
        thread::spawn(move || {
            let request = Request {
                path: paths[index % paths.len()],
                ..Request::stream(&format!("running-{index}"))
            };
            let is_chunked = index % 2 == 0;
            let outcome = send(KeptCaller::new(address), &request, is_chunked);
            (request, is_chunked, outcome)
        })
    });
    let senders: Vec<_> = senders.collect();
    let all_open = format!("requests_open {REQUESTS}\n");
    site.wait_until("all requests are open", BEGIN_MS, |site| {
        site.metrics(0).contains(&all_open)
    });
    let is_over = AtomicBool::new(false);
    let outcomes: Vec<_> = thread::scope(|scope| {
        scope.spawn(|| keep_changing(&site, &is_over, change));
        let outcomes = senders
            .into_iter()
            .map(|sender| sender.join().expect("the sender does not panic"));
        let outcomes = outcomes.collect();
        is_over.store(true, Ordering::SeqCst);
        outcomes
    });
    let faults = outcomes.iter().filter(|(request, is_chunked, outcome)| {
        let is_sound = match outcome {
            Outcome::Whole(answer) if answer.status == 200 => {
                request.path != "/stream/" || answer.events() == all_event_ids(EVENTS)
            }
            Outcome::Whole(answer) if answer.status == 503 => {
                *is_chunked && site.platform.runs.of(&request.id).is_empty()
            }
            _ => false,
        };
        !is_sound
    });
    let faults = faults.map(|(request, _, outcome)| (request.path, outcome.describe()));
    let faults: Vec<_> = faults.collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Sets a field of all routes.
fn set_routes(config: &mut Value, field: &str, value: &Value) {
    for route in config["routes"].as_array_mut().expect("it has routes") {
        route[field] = value.clone();
    }
}

/// Sets a field of all models.
fn set_models(config: &mut Value, field: &str, value: &Value) {
    config["services"][0]["engine"]["models"][0][field] = value.clone();
}

/// Defines tests of requests that run while configurations change: name, change.
macro_rules! changes {
    ($($name:ident: $change:expr,)+) => {
        $(
            #[test]
            fn $name() {
                check_changes($change);
            }
        )+
    };
}

// Guards against requests that are cut by a configuration that comes while they run.
changes! {
    requests_are_answered_while_connection_limits_change: |config, number| {
        config["limits"]["idle_timeout_ms"] = json!(200 + number % 2 * 10_000);
        config["limits"]["header_timeout_ms"] = json!(200 + number % 2 * 3_000);
    },
    requests_are_answered_while_size_limits_change: |config, number| {
        config["limits"]["max_header_bytes"] = json!(16_384 >> (number % 2 * 6));
        config["limits"]["max_body_bytes"] = json!(1 + number % 2 * 65_535);
    },
    requests_are_answered_while_timeouts_change: |config, number| {
        set_routes(config, "timeout_ms", &json!(500 + number % 2 * 20_000));
    },
    requests_are_answered_while_attempts_change: |config, number| {
        set_routes(config, "attempts", &json!(1 + number % 3));
    },
    requests_are_answered_while_routes_are_gone: |config, number| {
        let routes = config["routes"].as_array_mut().expect("it has routes");
        routes.truncate(if number % 3 == 0 { 5 } else { 1 });
        routes[0]["path_prefix"] = json!("/other/");
    },
    requests_are_answered_while_routes_move: |config, number| {
        let services = ["plain", "engines"];
        set_routes(config, "service", &json!(services[usize::from(number % 2 == 0)]));
    },
    requests_are_answered_while_keys_are_gone: |config, _| {
        config["tenants"][0]["api_keys"] = json!(["key-of-later"]);
    },
    requests_are_answered_while_a_service_is_gone: |config, _| {
        set_routes(config, "service", &json!("plain"));
        let services = config["services"].as_array_mut().expect("it has services");
        services.remove(0);
    },
    requests_are_answered_while_a_model_changes_its_size: |config, number| {
        set_models(config, "size", &json!(1 + number % 2));
    },
    requests_are_answered_while_a_model_is_gone: |config, _| {
        set_models(config, "name", &json!("model-b"));
    },
    requests_are_answered_while_engines_change: |config, number| {
        let engine = &mut config["services"][0]["engine"];
        engine["slots"] = json!(1 + number % 2 * 25);
        engine["step_ms"] = json!(1.0 + 2.0 * (number % 2) as f64);
        config["services"][0]["max_conns"] = json!(1 + number % 2 * 400);
    },
}

/// Guards against a stream that ends by a timeout that came after it: what a caller was promised is the one
/// that was in force at its arrival.
#[test]
fn timeout_is_that_in_force_at_the_arrival() {
    const TIMEOUT_MS: u64 = 1_500;
    let site = Site::start(1);
    site.put_config_with(&[KEY], TIMEOUT_MS, RequestLimits::default());
    pause_ms(CONFIG_APPLY_MS);
    site.platform.engines.set_stream(EVENTS, EVENT_MS);
    let address = site.gateway(0);
    let began = Instant::now();
    let sender = thread::spawn(move || Request::stream("short").send(address));
    site.wait_for_run("short");
    site.put_config_with(&[KEY], ROUTE_TIMEOUT_MS, RequestLimits::default());
    let answer = sender.join().expect("the sender does not panic");
    let elapsed = began.elapsed();
    assert!(answer.events().len() >= 10, "{:?}", answer.events());
    let expected = Duration::from_millis(TIMEOUT_MS)..Duration::from_millis(TIMEOUT_MS + 500);
    assert!(expected.contains(&elapsed), "{elapsed:?}");
}
