//! Answers without end on as many connections as a gateway has: its memory must do, and other requests are
//! served meanwhile and afterwards.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::{PlainRequest, PlainService, Reply, RequestLimits, Script};
use serde_json::json;

use crate::gateway::{
    caller::{End, Request, join_all, parse},
    faulty_answers::{
        answer, head,
        streams::{chunked, chunked_head},
    },
    pause_ms,
    site::{KEY, Site},
};

/// Number of connections to upstreams that a gateway may have open.
const CONNECTIONS: usize = 792;
/// Settings of a gateway with as many connections.
const SETTINGS: &str = "[limits]\ndescriptors = 1834\n";
/// Memory of a gateway's VM.
const MAX_MEMORY_KB: u64 = 160_000;
/// Length of the unfinished answers, short enough for one on each connection in the tests' own memory.
const UNFINISHED_BYTES: usize = 400_000;
/// Time in which gateways learn of a registration and a configuration.
const REGISTRATION_MS: u64 = 1_000;
/// Time within which the upstreams must have as many requests.
const ARRIVAL_LIMIT_MS: u64 = 20_000;
/// Time within which a request beside must be served.
const BESIDE_LIMIT: Duration = Duration::from_secs(5);
/// Prefix of the ids of requests that are answered as usual.
const SOUND: &str = "sound";

/// Returns a site with one gateway whose plain service follows a script and takes a request on each connection.
fn wide_site(script: Script) -> Site {
    let site = Site::start_with_settings(1, SETTINGS);
    site.platform.plain.set_script(script);
    site.platform.plain.register_all();
    let store = &site.platform.store;
    for id in PlainService::IDS {
        let entry = store.get_content(paths::UPSTREAM_KIND, id);
        let mut entry = entry.expect("it is registered");
        entry["slots"] = json!(CONNECTIONS);
        store.put(paths::UPSTREAM_KIND, id, entry);
    }
    site.put_config_with(&[KEY], 30_000, RequestLimits::default());
    let config = store.get_content(paths::CONFIG_KIND, paths::CONFIG_NAME);
    let mut config = config.expect("there is one");
    config["version"] = json!(config["version"].as_u64().expect("it is a number") + 1);
    for service in config["services"].as_array_mut().expect("it is a list") {
        service["max_conns"] = json!(CONNECTIONS);
    }
    store.put(paths::CONFIG_KIND, paths::CONFIG_NAME, config);
    pause_ms(REGISTRATION_MS);
    site
}

/// Sends requests, each on a connection of its own, and returns the connections. None of them reads its answer.
fn send_without_reading(address: SocketAddr, path: &str, count: usize) -> Vec<TcpStream> {
    let connections = (0..count).map(|index| {
        let id = format!("endless-{index}");
        let request = Request {
            path,
            body: &id,
            deadline_ms: 30_000,
            ..Request::stream(&id)
        };
        let mut stream = TcpStream::connect(address).expect("the gateway accepts");
        let sent = stream.write_all(request.to_text().as_bytes());
        sent.expect("the gateway reads");
        stream
    });
    connections.collect()
}

/// Checks that requests to engines and to the plain service are served in time.
fn assert_served(site: &Site, when: &str) {
    for index in 0..4 {
        let began = Instant::now();
        let request = Request::once(&format!("{SOUND}-{when}-{index}"));
        let plain = request.send(site.gateway(0));
        let plain = (plain.status, plain.end);
        assert_eq!(plain, (200, End::Whole), "{when}, plain");
        let stream = Request::stream(&format!("{SOUND}-stream-{when}-{index}"));
        let stream = stream.send(site.gateway(0));
        let stream = (stream.status, stream.end);
        assert_eq!(stream, (200, End::Whole), "{when}, stream");
        assert!(
            began.elapsed() < BESIDE_LIMIT,
            "{when}: {:?}",
            began.elapsed()
        );
    }
}

/// Checks the memory of a gateway while nearly all of its connections have an answer, and that it serves others
/// beside and afterwards.
fn check_all_connections(site: &Site, path: &str) {
    // Leaves connections to the requests beside.
    let count = CONNECTIONS - 40;
    let callers = send_without_reading(site.gateway(0), path, count);
    let arrived = |site: &Site| {
        let runs = site.platform.runs.all();
        let runs = runs
            .iter()
            .filter(|run| run.attempt_id.starts_with("endless"));
        runs.count()
    };
    site.wait_until("upstreams have most requests", ARRIVAL_LIMIT_MS, |site| {
        arrived(site) >= count / 2
    });
    assert_served(site, "beside");
    pause_ms(2_000);
    let while_open_kb = site.peak_memory_kb(0);
    drop(callers);
    pause_ms(1_000);
    assert_served(site, "after");
    let memory_kb = site.peak_memory_kb(0);
    let requests = arrived(site);
    println!("{requests} requests, peak {while_open_kb} kB, afterwards {memory_kb} kB");
    assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
}

/// Defines tests of answers that upstreams do not finish: name, path of the requests, reply.
macro_rules! unfinished_answers {
    ($($name:ident($path:literal): |$request:ident| $reply:expr,)+) => {
        $(
            #[test]
            fn $name() {
                fn script($request: &PlainRequest) -> Reply {
                    if $request.attempt_id.starts_with(SOUND) {
                        return Reply::sends(answer($request));
                    }
                    $reply
                }
                check_all_connections(&wide_site(script), $path);
            }
        )+
    };
}

/// Returns this many bytes without the end of an event or a line.
fn filler(bytes: usize) -> String {
    "x".repeat(bytes)
}

/// Returns the start of the head of an endless stream.
fn unframed_head(request: &PlainRequest) -> String {
    head(request, "200 OK") + "content-type: text/event-stream\r\n\r\n"
}

// Guards against a gateway that runs out of memory: upstreams send answers without end on all connections, each
// shorter than the limit of one.
unfinished_answers! {
    unfinished_events_fit_the_memory("/events/"): |request|
        Reply::sends(unframed_head(request) + "data: " + &filler(UNFINISHED_BYTES)),
    unfinished_events_after_whole_ones_fit_the_memory("/events/"): |request|
        Reply::sends(unframed_head(request) + "id: 1\ndata: token\n\ndata: " + &filler(UNFINISHED_BYTES)),
    unfinished_bodies_fit_the_memory("/once/"): |request|
        Reply::sends(head(request, "200 OK") + "content-length: 9000000\r\n\r\n" + &filler(UNFINISHED_BYTES)),
    unfinished_heads_fit_the_memory("/once/"): |request|
        Reply::sends(head(request, "200 OK") + "x-filler: " + &filler(60_000)),
    unfinished_trailers_fit_the_memory("/events/"): |request|
        Reply::sends(chunked_head(request) + "0\r\nx-filler: " + &filler(UNFINISHED_BYTES)),
    unfinished_chunk_extensions_fit_the_memory("/events/"): |request|
        Reply::sends(chunked_head(request) + "5;x-filler=" + &filler(UNFINISHED_BYTES)),
    long_events_for_callers_that_do_not_read_fit_the_memory("/events/"): |request|
        Reply::sends(unframed_head(request) + &format!("data: {}\n\n", filler(UNFINISHED_BYTES))),
    short_events_for_callers_that_do_not_read_fit_the_memory("/events/"): |request|
        Reply::sends(unframed_head(request) + &format!("data: {}\n\n", filler(4_000)).repeat(250)),
    bodies_for_callers_that_do_not_read_fit_the_memory("/once/"): |request|
        Reply::sends(format!("{}content-length: {UNFINISHED_BYTES}\r\n\r\n", head(request, "200 OK"))
            + &filler(UNFINISHED_BYTES)),
}

/// Guards against sound streams that are cut because many callers read them late.
#[test]
fn streams_of_callers_that_read_late_are_whole() {
    let site = wide_site(|request| {
        let event = format!("id: 1\ndata: {}\n\n", filler(UNFINISHED_BYTES));
        Reply::sends(chunked(request, &event))
    });
    let callers = send_without_reading(site.gateway(0), "/events/", 200);
    pause_ms(3_000);
    let readers = callers.into_iter().map(|mut caller| {
        thread::spawn(move || {
            let limit = Some(Duration::from_secs(20));
            caller.set_read_timeout(limit).expect("it can be set");
            let mut received = Vec::new();
            let mut buffer = vec![0; 64 * 1_024];
            while parse(&received, End::Broken).end != End::Whole {
                match caller.read(&mut buffer) {
                    Ok(0) | Err(_) => break,
                    Ok(count) => received.extend_from_slice(&buffer[..count]),
                }
            }
            let answer = parse(&received, End::Broken);
            (answer.status, answer.end)
        })
    });
    let answers = join_all(readers.collect::<Vec<_>>());
    let whole = answers.iter().filter(|end| **end == (200, End::Whole));
    assert_eq!(whole.count(), answers.len());
}

/// Guards against a long event that keeps a gateway busy: all of it was searched for its end after each part.
#[test]
fn event_in_many_short_parts_is_whole_in_time() {
    let site = wide_site(|request| {
        if request.attempt_id.starts_with(SOUND) {
            return Reply::sends(answer(request));
        }
        let parts = "1\r\nx\r\n".repeat(300_000);
        let event = format!("6\r\ndata: \r\n{parts}2\r\n\n\n\r\n0\r\n\r\n");
        Reply::sends(chunked_head(request) + &event)
    });
    let address = site.gateway(0);
    let caller = thread::spawn(move || {
        let request = Request {
            path: "/events/",
            ..Request::stream("long")
        };
        request.send(address)
    });
    assert_served(&site, "beside");
    let answer = caller.join().expect("the caller does not panic");
    assert_eq!((answer.status, answer.end), (200, End::Whole));
    assert_eq!(answer.text().len(), 300_008);
}

/// What a proxy sends instead of an answer of the store.
pub(super) type FalseAnswer = fn(&mut TcpStream) -> std::io::Result<()>;

/// Copies bytes until either side ends. While `is_faulty` is set, sends a false answer instead of the next bytes, and
/// closes the connection.
fn copy(mut from: TcpStream, mut to: TcpStream, is_faulty: &AtomicBool, answer: FalseAnswer) {
    let mut buffer = vec![0; 64 * 1_024];
    while let Ok(count) = from.read(&mut buffer) {
        if is_faulty.load(Ordering::Relaxed) {
            // The gateway may have closed the connection.
            let _ = answer(&mut to);
            break;
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The other side may have closed it.
    let _ = to.shutdown(Shutdown::Both);
}

/// Sends an answer without end.
fn send_without_end(gateway: &mut TcpStream) -> std::io::Result<()> {
    gateway.write_all(b"HTTP/1.1 200 OK\r\n\r\n[")?;
    let part = filler(1_024 * 1_024);
    loop {
        gateway.write_all(part.as_bytes())?;
    }
}

/// Starts a proxy of the store that gives this answer to each call while `is_faulty` is set.
pub(super) fn start_store_proxy(
    store: SocketAddr,
    is_faulty: &Arc<AtomicBool>,
    answer: FalseAnswer,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("it is bound");
    let is_faulty = is_faulty.clone();
    thread::spawn(move || {
        while let Ok((gateway, _)) = listener.accept() {
            let store = TcpStream::connect(store).expect("the store listens");
            let clones = (gateway.try_clone(), store.try_clone());
            let (Ok(to_gateway), Ok(to_store)) = clones else {
                continue;
            };
            let is_faulty = is_faulty.clone();
            thread::spawn(move || copy(gateway, to_store, &AtomicBool::new(false), answer));
            thread::spawn(move || copy(store, to_gateway, &is_faulty, answer));
        }
    });
    address
}

/// Guards against a gateway that runs out of memory: the store answers each call without end.
#[test]
fn endless_answers_of_the_store_fit_the_memory() {
    let is_endless = Arc::new(AtomicBool::new(false));
    let start = |store| start_store_proxy(store, &is_endless, send_without_end);
    let site = Site::start_behind_store_proxy(1, &start);
    is_endless.store(true, Ordering::Relaxed);
    for index in 0..4 {
        pause_ms(2_000);
        let stream = Request::stream(&format!("beside-{index}")).send(site.gateway(0));
        assert_eq!((stream.status, stream.end), (200, End::Whole));
    }
    is_endless.store(false, Ordering::Relaxed);
    let memory_kb = site.peak_memory_kb(0);
    println!("peak {memory_kb} kB");
    assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
}

/// Defines tests of requests that callers do not finish: name, framing header, body.
macro_rules! unfinished_requests {
    ($($name:ident: $framing:literal, $body:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let site = wide_site(|request| Reply::sends(answer(request)));
                let text = Request::once("unfinished").to_text();
                let head = text.split("Content-Length").next().expect("there is a head");
                let body: String = $body;
                let request = format!("{head}{}\r\n\r\n{body}", $framing);
                let address = site.gateway(0);
                let callers = (0..CONNECTIONS - 40).map(|_| {
                    let mut stream = TcpStream::connect(address).expect("the gateway accepts");
                    let sent = stream.write_all(request.as_bytes());
                    sent.expect("the gateway reads");
                    stream
                });
                let callers: Vec<_> = callers.collect();
                pause_ms(4_000);
                assert_served(&site, "beside");
                drop(callers);
                let memory_kb = site.peak_memory_kb(0);
                println!("peak {memory_kb} kB");
                assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
            }
        )+
    };
}

// Guards against a gateway that runs out of memory: callers send bodies of the allowed length and do not end them.
unfinished_requests! {
    unfinished_requests_fit_the_memory: "Content-Length: 65536", filler(65_000),
    unfinished_requests_in_short_chunks_fit_the_memory:
        "Transfer-Encoding: chunked", "1\r\nx\r\n".repeat(60_000),
}
