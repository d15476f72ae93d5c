//! Requests that wait at a gateway for room that is kept for more urgent ones.

use std::time::Duration;

use jacinthpoint_platform_standins::{Engines, RequestLimits};
use serde_json::json;
use socket2::SockRef;

use crate::gateway::{
    CONFIG_APPLY_MS,
    caller::Request,
    kept_caller::KeptCaller,
    pause_ms,
    site::{KEY, ROUTE_TIMEOUT_MS, Site},
};

/// Time until the first event of a stream. No room is expected before.
const FIRST_EVENT_MS: u64 = 7_000;
/// Number of streams that occupy all groups.
const OCCUPYING: usize = 12;
/// Number of requests for which there is no room. Some of them are sent all the same, drawn by the gateway.
const PATIENT: usize = 12;
/// Time in which requests arrive, and in which the ends of connections are noticed. It is below the
/// time that requests wait, which is half of their objective.
const NOTICED_MS: u64 = 1_500;

/// Sends a request on a connection of its own.
fn begin(site: &Site, path: &str, id: &str) -> KeptCaller {
    let text = Request {
        path,
        ..Request::stream(id)
    }
    .to_text();
    let mut caller = KeptCaller::new(site.gateway(0));
    let written = caller.write([text.as_bytes()]).expect("it is connected");
    written.expect("it can be written");
    caller
}

/// Waits until this many requests are open at the gateway.
fn wait_for_open(site: &Site, count: usize) {
    let line = format!("requests_open {count}\n");
    site.wait_until(&line, NOTICED_MS, |site| site.metrics(0).contains(&line));
}

/// Defines tests in which the callers of waiting requests leave: name, whether they reset their connections.
macro_rules! callers_leave {
    ($($name:ident: $is_reset:literal,)+) => {
        $(
            #[test]
            fn $name() {
                check_wait_ends($is_reset);
            }
        )+
    };
}

// Guards against requests that wait on after their callers have left, and hold up others.
callers_leave! {
    wait_ends_when_the_caller_resets_its_connection: true,
    wait_ends_when_the_caller_closes_its_connection: false,
}

/// Checks that waiting requests end soon after their callers have left.
fn check_wait_ends(is_reset: bool) {
    let site = Site::start_with_settings(1, "[priorities]\nreserve_room = true\n");
    let engines = &site.platform.engines;
    engines.set_stream(1, FIRST_EVENT_MS);
    let route = |name: &str, objective_ms: u64, priority: u8| {
        json!({ "name": name, "host": "model.example", "path_prefix": format!("/{name}/"),
            "kind": "stream", "timeout_ms": ROUTE_TIMEOUT_MS, "slo_ms": objective_ms,
            "priority": priority, "service": "engines", "attempts": 1, "public": false,
            "gap_target_ms": 300 })
    };
    site.platform.store.put_config(
        json!([route("stream", ROUTE_TIMEOUT_MS, 5), route("urgent", 20, 0)]),
        json!([Engines::service("engines", 2)]),
        json!([{ "name": "customer-1", "api_keys": [KEY] }]),
        RequestLimits::default(),
    );
    pause_ms(CONFIG_APPLY_MS);
    let occupying: Vec<_> = (0..OCCUPYING)
        .map(|index| begin(&site, "/stream/", &format!("occupying-{index}")))
        .collect();
    wait_for_open(&site, OCCUPYING);
    let urgent = begin(&site, "/urgent/", "urgent");
    pause_ms(100);
    let patient = (0..PATIENT).map(|index| begin(&site, "/stream/", &format!("patient-{index}")));
    let leaving: Vec<_> = patient.chain([urgent]).collect();
    site.wait_until("requests wait", NOTICED_MS, |site| {
        site.metrics(0)
            .contains("room_waits_total{label=\"waits\"}")
    });
    for mut caller in leaving {
        if is_reset && let Some(stream) = caller.connect() {
            let reset = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            reset.expect("it can be set");
        }
    }
    wait_for_open(&site, OCCUPYING);
    drop(occupying);
}
