//! Gateways, upstreams and a store that are frozen: their connections stay open, and nothing is sent or read.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
};

use jacinthpoint_platform_standins::{PlainFault, Reply, RequestLimits};

use crate::gateway::{
    CONFIG_APPLY_MS,
    caller::{Answer, End, Request, join_all},
    earlier_builds::peers_address,
    faulty_answers::{
        head, scripted_site,
        streams::{chunked, chunked_head, events},
    },
    pause_ms,
    site::{KEY, OTHER_KEY, ROUTE_TIMEOUT_MS, Site},
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

/// Guards against streams without an end at their deadline, which one of several gateways had when it froze, and against
/// those of the others going on. Begun are so many that each gateway has some.
#[test]
fn streams_that_several_gateways_have_end_at_their_deadline_when_one_freezes() {
    const STREAMS: usize = 32;
    const GATEWAYS: usize = 3;
    let (site, partitioned) = partitioned_site_of(GATEWAYS);
    site.platform.engines.set_stream(100, 200);
    let begun = begun_answers(&site, partitioned);
    let callers = (0..STREAMS).map(|number| {
        let id: &'static str = format!("frozen-{number}").leak();
        send(site.gateway(partitioned), Request::stream(id))
    });
    let callers: Vec<_> = callers.collect();
    site.wait_until("the streams have begun", DEADLINE_MS, |site| {
        begun_answers(site, partitioned) >= begun + STREAMS as u64
    });
    let frozen = (0..GATEWAYS).find(|index| *index != partitioned && !site.is_owner(*index));
    let frozen = frozen.expect("a gateway is neither partitioned nor the owner");
    let address = peers_address(&site, frozen);
    assert!(open_connections_to_address(address) > 0, "it has streams");
    site.signal(frozen, "STOP");
    for answer in join_all(callers) {
        assert_eq!((answer.status, answer.end), (200, End::Broken));
    }
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

/// Defines tests of an upstream that sends a part of its answer and then nothing: name, path, what it sends, status
/// and end that the caller gets at its deadline.
macro_rules! silent_upstreams {
    ($($name:ident($path:literal): |$request:ident| $sent:expr => $status:literal, $end:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let site = scripted_site(|$request| Reply::sends($sent));
                let request = Request { path: $path, ..Request::stream("silent") };
                let answer = join_all([send(site.gateway(0), request)]).remove(0);
                assert_eq!((answer.status, answer.end), ($status, $end));
            }
        )+
    };
}

// Guards against requests that have no end at their deadline, since the upstream that has them is frozen.
silent_upstreams! {
    silence_before_the_head_ends_at_the_deadline("/once/"): |_request| "" => 504, End::Whole,
    silence_within_the_head_ends_at_the_deadline("/once/"): |request| head(request, "200 OK") => 504, End::Whole,
    silence_within_a_body_ends_at_the_deadline("/once/"): |request|
        head(request, "200 OK") + "content-length: 100\r\n\r\npart" => 504, End::Whole,
    silence_before_the_first_event_ends_at_the_deadline("/events/"): |request|
        chunked_head(request) => 200, End::Broken,
    silence_between_events_ends_at_the_deadline("/events/"): |request|
        chunked(request, &events(1..=2)).trim_end_matches("0\r\n\r\n") => 200, End::Broken,
    silence_of_all_attempts_ends_at_the_deadline("/again/"): |request| head(request, "200 OK") => 504, End::Whole,
    silence_within_all_bodies_ends_at_the_deadline("/again/"): |request|
        head(request, "200 OK") + "content-length: 100\r\n\r\npart" => 504, End::Whole,
    silence_of_resumed_streams_ends_at_the_deadline("/resumed/"): |request|
        chunked(request, &events(1..=2)).trim_end_matches("0\r\n\r\n") => 200, End::Broken,
}

/// Starts a proxy of the store; returns its address. While `is_frozen` is set, each connection on which an answer
/// comes passes on a part of its body, and then nothing more; it stays open.
fn start_store_proxy(store: SocketAddr, is_frozen: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        while let Ok((gateway, _)) = listener.accept() {
            let Ok(store) = TcpStream::connect(store) else {
                continue;
            };
            let (Ok(to_gateway), Ok(to_store)) = (gateway.try_clone(), store.try_clone()) else {
                continue;
            };
            thread::spawn(move || copy(gateway, to_store, &AtomicBool::new(false)));
            let is_frozen = is_frozen.clone();
            thread::spawn(move || copy(store, to_gateway, &is_frozen));
        }
    });
    address
}

/// Copies bytes until either side ends. Once `is_frozen` is set, only the next head and a byte after it.
fn copy(mut from: TcpStream, mut to: TcpStream, is_frozen: &AtomicBool) {
    const END_OF_HEAD: &[u8] = b"\r\n\r\n";
    let mut buffer = [0; 64 * 1_024];
    let mut is_silent = false;
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if is_silent {
            continue;
        }
        let mut passed = &buffer[..count];
        if is_frozen.load(Ordering::Relaxed) {
            let mut windows = passed.windows(END_OF_HEAD.len());
            let head_end = windows.position(|window| window == END_OF_HEAD);
            let part_end = head_end.map_or(0, |end| end + END_OF_HEAD.len() + 1);
            passed = &passed[..part_end.min(count)];
            is_silent = true;
        }
        if to.write_all(passed).is_err() {
            break;
        }
    }
    // The other side may have closed it.
    let _ = to.shutdown(Shutdown::Both);
}

/// Guards against a gateway that keeps its configuration for ever, since the store froze within an answer.
#[test]
fn configuration_is_in_force_after_the_store_froze_within_answers() {
    const FROZEN_MS: u64 = 1_000;
    const IN_FORCE_MS: u64 = 20_000;
    let is_frozen = Arc::new(AtomicBool::new(false));
    let start_proxy = |store| start_store_proxy(store, is_frozen.clone());
    let site = Site::start_behind_store_proxy(1, &start_proxy);
    is_frozen.store(true, Ordering::Relaxed);
    site.put_config(&[OTHER_KEY]);
    pause_ms(FROZEN_MS);
    is_frozen.store(false, Ordering::Relaxed);
    site.wait_until("the configuration is in force", IN_FORCE_MS, |site| {
        let request = Request {
            key: OTHER_KEY,
            ..Request::once("other")
        };
        request.send(site.gateway(0)).status == 200
    });
}
