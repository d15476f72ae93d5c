//! Gateways that are frozen: their connections stay open, and nothing is sent or read.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    thread::{self, JoinHandle},
};

use jacinthpoint_platform_standins::{PlainFault, Reply, RequestLimits};

use crate::gateway::{
    CONFIG_APPLY_MS,
    caller::{Answer, End, Request, join_all},
    earlier_builds::peers_address,
    faulty_answers::streams::chunked_head,
    pause_ms,
    site::{KEY, ROUTE_TIMEOUT_MS, Site},
    slow_upstreams::open_connections_to_address,
    unreachable_upstreams::partitioned_site_of,
};

/// Deadline of the requests.
const DEADLINE_MS: u64 = 4_000;
/// Time after the deadline in which callers must have the end of their answer. The target is 500 ms; the rest is
/// for a machine that is busy.
const END_MS: u64 = 3_000;

/// Sends a request whose caller leaves if it has no answer in time.
fn send(address: SocketAddr, request: Request<'static>) -> JoinHandle<Answer> {
    let request = Request {
        deadline_ms: DEADLINE_MS,
        timeout_ms: DEADLINE_MS + END_MS,
        ..request
    };
    thread::spawn(move || request.send(address))
}

/// Waits until no connection to a gateway's address for others is open.
fn wait_for_close(site: &Site, gateway: usize) {
    let address = peers_address(site, gateway);
    site.wait_until("the connection is closed", END_MS, |_| {
        open_connections_to_address(address) == 0
    });
}

/// Returns the number of forwarded requests whose answer has begun at a gateway.
fn begun_answers(site: &Site, gateway: usize) -> u64 {
    let metrics = site.metrics(gateway);
    let prefix = "jacinthpoint_requests_forwarded_total{label=\"answered\"} ";
    let count = metrics.lines().find_map(|line| line.strip_prefix(prefix));
    count.map_or(0, |count| count.parse().expect("it is a number"))
}

/// Guards against a stream that has no end at its deadline: the gateway that it was forwarded to is frozen.
#[test]
fn forwarded_stream_ends_at_its_deadline() {
    let (site, partitioned) = partitioned_site_of(2);
    let frozen = 1 - partitioned;
    site.platform.engines.set_stream(100, 200);
    let begun = begun_answers(&site, partitioned);
    let caller = send(site.gateway(partitioned), Request::stream("frozen"));
    site.wait_until("the stream has begun", DEADLINE_MS, |site| {
        begun_answers(site, partitioned) > begun
    });
    site.signal(frozen, "STOP");
    let answer = join_all([caller]).remove(0);
    assert_eq!((answer.status, answer.end), (200, End::Broken));
    wait_for_close(&site, frozen);
}

/// Guards against a request that has no answer at its deadline: the gateway that it is forwarded to is frozen.
#[test]
fn request_to_a_frozen_gateway_is_answered_at_its_deadline() {
    let (site, partitioned) = partitioned_site_of(2);
    let frozen = 1 - partitioned;
    site.signal(frozen, "STOP");
    let requests = [Request::once("once"), Request::stream("stream")];
    let callers = requests.map(|request| send(site.gateway(partitioned), request));
    for answer in join_all(callers) {
        assert_eq!((answer.status, answer.end), (504, End::Whole));
    }
    wait_for_close(&site, frozen);
}

/// Guards against a request that has no answer at its deadline: the gateway that runs it for another one freezes.
#[test]
fn request_that_a_frozen_gateway_runs_is_answered_at_its_deadline() {
    let (site, partitioned) = partitioned_site_of(2);
    let frozen = 1 - partitioned;
    site.platform.plain.set_fault(PlainFault::Slow(60_000));
    let caller = send(site.gateway(partitioned), Request::once("running"));
    site.wait_for_run("running");
    site.signal(frozen, "STOP");
    let answer = join_all([caller]).remove(0);
    assert_eq!((answer.status, answer.end), (504, End::Whole));
    wait_for_close(&site, frozen);
}

/// Guards against a stream that keeps an upstream after its deadline: the gateway that forwarded it is frozen and reads
/// nothing.
#[test]
fn stream_for_a_frozen_gateway_ends_after_its_deadline() {
    const IDLE_MS: u64 = 1_000;
    let (site, frozen) = partitioned_site_of(2);
    let limits = RequestLimits {
        idle_timeout_ms: IDLE_MS,
        ..RequestLimits::default()
    };
    site.put_config_with(&[KEY], ROUTE_TIMEOUT_MS, limits);
    pause_ms(CONFIG_APPLY_MS);
    // More than all buffers between the upstream and the caller hold.
    site.platform.plain.set_script(|request| {
        let event = format!("id: 1\ndata: {}\n\n", "x".repeat(60_000));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        Reply::sends(chunked_head(request) + &chunk.repeat(400))
    });
    let request = Request {
        path: "/events/",
        deadline_ms: DEADLINE_MS,
        ..Request::stream("unread")
    };
    let mut caller = TcpStream::connect(site.gateway(frozen)).expect("the gateway accepts");
    let sent = caller.write_all(request.to_text().as_bytes());
    sent.expect("the gateway reads");
    site.wait_for_run("unread");
    site.signal(frozen, "STOP");
    assert!(!site.metrics(1 - frozen).contains("requests_open 0"));
    let limit_ms = DEADLINE_MS + IDLE_MS + END_MS;
    site.wait_until("the other gateway ends the stream", limit_ms, |site| {
        site.metrics(1 - frozen).contains("requests_open 0")
    });
}
