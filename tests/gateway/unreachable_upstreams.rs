//! Gateways that reach the store, callers and other gateways, but no upstream.

use std::{
    cell::Cell,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::{PlainFault, PlainService, RequestLimits};
use serde_json::json;

use crate::gateway::{
    CONFIG_APPLY_MS,
    caller::{Answer, End, Request, join_all},
    pause_ms,
    site::{KEY, OTHER_KEY, ROUTE_TIMEOUT_MS, Site, gateway_name},
    store_view::closed_port,
};

/// Time from which requests at a partitioned gateway have to be served.
const STABLE: Duration = Duration::from_secs(3);
const GATEWAYS: usize = 3;
const REQUESTS: usize = 30;
/// Time within which a request that cannot be served is refused.
const MAX_REFUSAL: Duration = Duration::from_secs(2);

/// Returns a request: every third must not run twice.
fn request(id: usize) -> Request<'static> {
    let name = format!("request-{id}");
    match id % 3 {
        0 => Request::once(&name),
        _ => Request::stream(&name),
    }
}

/// Sends requests to a gateway at intervals, and returns their answers.
fn send(site: &Site, gateway: usize) -> Vec<(usize, Answer, Duration)> {
    let address = site.gateway(gateway);
    let senders = (0..REQUESTS).map(|id| {
        thread::sleep(Duration::from_millis(60));
        thread::spawn(move || {
            let began = Instant::now();
            (id, request(id).send(address), began.elapsed())
        })
    });
    let senders: Vec<_> = senders.collect();
    join_all(senders)
}

/// Returns whether the answer is a whole success, with all events in order if it is a stream.
fn is_served(id: usize, answer: &Answer) -> bool {
    let events: Vec<u64> = (1..=20).collect();
    (answer.status, answer.end) == (200, End::Whole)
        && (id.is_multiple_of(3) || answer.events() == events)
}

/// Guards against rule RECOVER: callers of a gateway that reaches no upstream are refused, though other
/// gateways serve the same requests.
#[test]
fn callers_of_a_gateway_without_upstreams_are_served() {
    let site = Site::start_with_store_views(GATEWAYS);
    let partitioned = (0..GATEWAYS).find(|index| !site.is_owner(*index));
    let partitioned = partitioned.expect("a gateway is not the owner");
    site.partition_from_upstreams(partitioned, true);
    thread::sleep(STABLE);
    let answers = send(&site, partitioned);
    let served = answers
        .iter()
        .filter(|(id, answer, _)| is_served(*id, answer));
    let served = served.count();
    assert!(3 * served >= 2 * REQUESTS, "{served} of {REQUESTS} served");
    for (id, answer, _) in &answers {
        let runs = site.platform.runs.of(&format!("request-{id}")).len();
        let may_run = usize::from(answer.status != 503);
        assert!(
            runs <= may_run,
            "request {id} ran {runs} times, {}",
            answer.status
        );
    }
    // The gateway finds out itself that it reaches upstreams again.
    site.partition_from_upstreams(partitioned, false);
    thread::sleep(STABLE);
    site.wait_until("requests are not passed on any more", 5_000, |site| {
        site.metrics(partitioned).contains("upstreams_reachable 1")
    });
}

/// Returns a site of [`GATEWAYS`] in which one gateway, which does not send the orders, reaches no
/// upstream, and its index.
pub(super) fn partitioned_site() -> (Site, usize) {
    partitioned_site_of(GATEWAYS)
}

/// Like [`partitioned_site`], with another number of gateways.
pub(super) fn partitioned_site_of(gateways: usize) -> (Site, usize) {
    let site = Site::start_with_store_views(gateways);
    let partitioned = (0..gateways).find(|index| !site.is_owner(*index));
    let partitioned = partitioned.expect("a gateway is not the owner");
    site.partition_from_upstreams(partitioned, true);
    thread::sleep(STABLE);
    // The path is checked only when requests fail.
    let began = Instant::now();
    while !site.metrics(partitioned).contains("upstreams_reachable 0") {
        assert!(began.elapsed() < STABLE, "the gateway does not notice");
        Request::stream("probe").send(site.gateway(partitioned));
    }
    (site, partitioned)
}

/// Guards against forwarded requests that run for another organisation than the caller's, or without a
/// valid key.
#[test]
fn forwarded_request_keeps_its_key() {
    let (site, partitioned) = partitioned_site();
    let address = site.gateway(partitioned);
    assert_eq!(Request::once("known").send(address).status, 200);
    let runs = site.platform.runs.of("known");
    let organisations: Vec<_> = runs.iter().map(|run| run.organisation.as_deref()).collect();
    assert_eq!(organisations, [Some("customer-1")]);
    let unknown = Request {
        key: "unknown",
        ..Request::once("unknown")
    };
    assert_eq!(unknown.send(address).status, 401);
    assert!(site.platform.runs.of("unknown").is_empty());
}

/// Guards against work for callers that left: a stream that is forwarded goes on after its caller has left.
#[test]
fn forwarded_stream_ends_when_its_caller_leaves() {
    let (site, partitioned) = partitioned_site();
    site.platform.engines.set_stream(20, 1_000);
    let leaving = Request {
        timeout_ms: 2_500,
        ..Request::stream("leaving")
    };
    let answer = leaving.send(site.gateway(partitioned));
    assert_eq!((answer.status, answer.end), (200, End::Left));
    site.wait_until("no gateway has an open request", 1_000, |site| {
        (0..GATEWAYS).all(|index| site.metrics(index).contains("requests_open 0"))
    });
}

/// Guards against second runs: an upstream's answer that looks like a gateway's refusal makes the request
/// go to one more gateway.
#[test]
fn answer_of_an_upstream_is_no_refusal_of_a_gateway() {
    let (site, partitioned) = partitioned_site();
    let plain = &site.platform.plain;
    plain.set_fault(PlainFault::CopiesRefusalHeader);
    let answer = Request::once("answered").send(site.gateway(partitioned));
    assert_eq!(site.platform.runs.of("answered").len(), 1);
    assert_eq!(answer.status, 200);
}

/// Starts a gateway that reads the head of each forwarded request, writes `reply` and closes the connection.
/// Returns its address and the heads.
fn start_standin_gateway(reply: &'static str) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("it is bound");
    let heads: Arc<Mutex<Vec<String>>> = Arc::default();
    let read_heads = heads.clone();
    thread::spawn(move || {
        while let Ok((mut connection, _)) = listener.accept() {
            let read_heads = read_heads.clone();
            thread::spawn(move || {
                let mut head = Vec::new();
                let mut byte = [0];
                while !head.ends_with(b"\r\n\r\n") && connection.read(&mut byte).unwrap_or(0) > 0 {
                    head.push(byte[0]);
                }
                let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
                if head.contains("gateway-forwarded-by") {
                    read_heads.lock().expect("no reader panics").push(head);
                    // The gateway may have left.
                    let _ = connection.write_all(reply.as_bytes());
                }
            });
        }
    });
    (address, heads)
}

/// Guards against a forwarded request that runs twice, since it is offered to a second gateway after the
/// first one may have taken it, and against one that runs on after its caller's deadline.
#[test]
fn forwarded_request_whose_connection_breaks_is_not_offered_again() {
    let (mut site, partitioned) = partitioned_site();
    (0..GATEWAYS)
        .filter(|index| *index != partitioned)
        .for_each(|index| site.kill(index));
    let breaking = [start_standin_gateway(""), start_standin_gateway("")];
    for (index, (address, _)) in breaking.iter().enumerate() {
        let registration = json!({ "data_centre": "dc-9", "address": address.to_string(),
            "core_permille": 1, "link_kbps": 1, "takes_forwarded": true });
        let store = &site.platform.store;
        store.put("gateways", &format!("breaking-{index}"), registration);
    }
    thread::sleep(STABLE);
    for id in 0..6 {
        let request = Request::once(&format!("broken-{id}"));
        let answer = request.send(site.gateway(partitioned));
        assert_eq!(answer.status, 502, "request {id} may have run");
        let heads = breaking.iter().flat_map(|(_, heads)| {
            let heads = heads.lock().expect("no reader panics");
            heads.clone()
        });
        let of_request = heads.filter(|head| head.contains(&format!(": broken-{id}\r\n")));
        let of_request: Vec<String> = of_request.collect();
        assert_eq!(of_request.len(), 1, "request {id}: {of_request:?}");
        let deadline = of_request[0]
            .lines()
            .find_map(|line| line.strip_prefix("jacinthpoint-deadline-ms: "));
        let deadline_ms: u64 = deadline.expect("it has one").parse().expect("a number");
        assert!((1..=8_000).contains(&deadline_ms), "{deadline_ms} ms");
    }
}

/// Answer of a build that knows no forwarded requests.
const UNKNOWN_CALL: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";

/// Starts a site in which one gateway reaches no upstream, and the only other one that runs answers forwarded
/// requests with `reply`; `takes_forwarded` is what its registration says of them. Returns the site, the index
/// of the first, and the heads that the other one got.
fn site_with_standin_gateway(
    reply: &'static str,
    takes_forwarded: Option<bool>,
) -> (Site, usize, Arc<Mutex<Vec<String>>>) {
    let (mut site, partitioned) = partitioned_site_of(2);
    site.kill(1 - partitioned);
    let (address, heads) = start_standin_gateway(reply);
    let mut registration = json!({ "data_centre": "dc-9", "address": address.to_string(),
        "core_permille": 1, "link_kbps": 1 });
    if let Some(takes_forwarded) = takes_forwarded {
        registration["takes_forwarded"] = json!(takes_forwarded);
    }
    let store = &site.platform.store;
    store.put("gateways", "standin", registration);
    site.wait_until("the gateway is registered", 10_000, |site| {
        site.metrics(partitioned)
            .contains("jacinthpoint_gateways 3")
    });
    (site, partitioned, heads)
}

/// Guards against rule DENIED: callers get 404 from a gateway of a build that knows no forwarded requests.
#[test]
fn request_is_not_forwarded_to_a_gateway_that_does_not_say_that_it_takes_it() {
    let (site, partitioned, heads) = site_with_standin_gateway(UNKNOWN_CALL, None);
    for id in 0..3 {
        let name = format!("denied-{id}");
        let answer = Request::once(&name).send(site.gateway(partitioned));
        assert_eq!(answer.status, 503, "request {id}");
    }
    assert!(heads.lock().expect("no reader panics").is_empty());
}

/// Guards against answers that are not of a forwarded request and reach callers.
#[test]
fn answer_that_does_not_state_that_it_is_of_a_forwarded_request_is_none() {
    let (site, partitioned, heads) = site_with_standin_gateway(UNKNOWN_CALL, Some(true));
    let answer = Request::once("unknown").send(site.gateway(partitioned));
    assert_eq!(answer.status, 502, "it may have run");
    assert_eq!(heads.lock().expect("no reader panics").len(), 1);
}

/// Returns the line of a metric.
fn metric(site: &Site, gateway: usize, name: &str) -> String {
    let metrics = site.metrics(gateway);
    let line = metrics.lines().find(|line| line.contains(name));
    line.expect("the metric is there").to_owned()
}

/// Sends requests until one is served. A gateway that did not take a request gets no others for a while.
fn wait_until_served(site: &Site, gateway: usize, key: &str) {
    let sent = Cell::new(0);
    site.wait_until("a request is served", 15_000, |site| {
        sent.set(sent.get() + 1);
        let name = format!("again-{}", sent.get());
        let request = Request {
            key,
            ..Request::once(&name)
        };
        request.send(site.gateway(gateway)).status == 200
    });
}

/// Guards against rules CONFIG and DENIED: a request with a key that the gateway of its caller knows is judged
/// by a gateway with an older configuration.
#[test]
fn forwarded_request_is_not_judged_by_an_older_configuration() {
    let (site, partitioned) = partitioned_site_of(2);
    let stale = 1 - partitioned;
    site.silence_store(stale, true);
    let version = |site: &Site| metric(site, partitioned, "config_version ");
    let before = version(&site);
    site.put_config(&[KEY, OTHER_KEY]);
    site.wait_until("the configuration is in force", 10_000, |site| {
        version(site) != before
    });
    for id in 0..3 {
        let name = format!("newer-{id}");
        let request = Request {
            key: OTHER_KEY,
            ..Request::once(&name)
        };
        let answer = request.send(site.gateway(partitioned));
        assert_eq!(answer.status, 503, "request {id}");
        assert!(answer.header("retry-after").is_some(), "request {id}");
        assert!(site.platform.runs.of(&name).is_empty(), "request {id}");
    }
    site.silence_store(stale, false);
    wait_until_served(&site, partitioned, OTHER_KEY);
}

/// Guards against forwarded requests that run at an upstream of which the gateway of their caller knows that it
/// has left.
#[test]
fn forwarded_request_is_not_run_by_an_older_list_of_upstreams() {
    let (site, partitioned) = partitioned_site_of(2);
    let stale = 1 - partitioned;
    site.silence_store(stale, true);
    let count = |site: &Site| metric(site, partitioned, "jacinthpoint_upstreams ");
    let before = count(&site);
    let store = &site.platform.store;
    let entry = store.get_content(paths::UPSTREAM_KIND, PlainService::ID);
    store.remove(paths::UPSTREAM_KIND, PlainService::ID);
    site.wait_until("the removal is known", 10_000, |site| count(site) != before);
    let answer = Request::once("left").send(site.gateway(partitioned));
    assert_eq!(answer.status, 503);
    assert!(site.platform.runs.of("left").is_empty());
    site.silence_store(stale, false);
    let entry = entry.expect("it was registered");
    store.put(paths::UPSTREAM_KIND, PlainService::ID, entry);
    wait_until_served(&site, partitioned, KEY);
}

/// Lets a page of the list of upstreams end behind all upstreams, after which the store refuses the next one.
fn break_list(site: &Site) {
    let store = &site.platform.store;
    let content = json!({ "note": "x".repeat(600_000) });
    for name in ["zz", "zz~"] {
        store.put(paths::UPSTREAM_KIND, name, content.clone());
    }
    store.refuse_page_after("zz");
}

/// Guards against rule RECOVER: a gateway that started while the list cannot go on serves its own callers, but takes no
/// forwarded request.
#[test]
fn gateway_with_an_unfinished_list_takes_forwarded_requests() {
    let (mut site, partitioned) = partitioned_site_of(2);
    let other = 1 - partitioned;
    break_list(&site);
    site.restart(other);
    site.wait_until("it is ready", 20_000, |site| site.is_ready(other));
    wait_until_served(&site, partitioned, KEY);
}

/// As [`forwarded_request_is_not_run_by_an_older_list_of_upstreams`], while the list cannot go on.
#[test]
fn forwarded_request_is_not_run_by_an_older_unfinished_list() {
    let (site, partitioned) = partitioned_site_of(2);
    let stale = 1 - partitioned;
    break_list(&site);
    site.platform.store.end_all_watches();
    site.wait_until("the list has ended early", 10_000, |site| {
        let counter = "lists_unfinished_total{label=\"servers\"}";
        (0..2).all(|index| site.metrics(index).contains(counter))
    });
    wait_until_served(&site, partitioned, KEY);
    site.silence_store(stale, true);
    let count = |site: &Site| metric(site, partitioned, "jacinthpoint_upstreams ");
    let before = count(&site);
    site.platform
        .store
        .remove(paths::UPSTREAM_KIND, PlainService::ID);
    site.wait_until("the removal is known", 10_000, |site| count(site) != before);
    let answer = Request::once("left").send(site.gateway(partitioned));
    assert_eq!(answer.status, 503);
    assert!(site.platform.runs.of("left").is_empty());
}

/// Lets a gateway reach upstreams again, and waits until it does.
fn reconnect(site: &Site, partitioned: usize) {
    let plain = &site.platform.plain;
    plain.set_fault(PlainFault::None);
    site.partition_from_upstreams(partitioned, false);
    // Requests of other services show that its path works.
    let sent = Cell::new(0);
    site.wait_until("it reaches upstreams", 15_000, |site| {
        sent.set(sent.get() + 1);
        let name = format!("stream-{}", sent.get());
        let answer = Request::stream(&name).send(site.gateway(partitioned));
        let is_reached = site.metrics(partitioned).contains("upstreams_reachable 1");
        is_reached && answer.status == 200
    });
}

/// Lets a gateway reach upstreams again, and asserts that the plain service gets none of its requests.
fn assert_no_arrivals(site: &Site, partitioned: usize) {
    reconnect(site, partitioned);
    let plain = &site.platform.plain;
    let arrived = plain.arrivals().len();
    for id in 0..5 {
        let name = format!("late-{id}");
        let answer = Request::once(&name).send(site.gateway(partitioned));
        assert_eq!(answer.status, 503, "request {id}");
    }
    assert_eq!(plain.arrivals().len(), arrived);
}

/// Guards against rule DRAIN: a gateway that passed an answer on in which an upstream stated that it leaves
/// sends it requests later.
#[test]
fn leaving_in_a_forwarded_answer_is_kept() {
    let (site, partitioned) = partitioned_site_of(2);
    site.platform.plain.set_fault(PlainFault::Leaves);
    let answer = Request::once("first").send(site.gateway(partitioned));
    assert_eq!(answer.status, 200);
    for name in ["gateway-forwarded-answer", "gateway-stated"] {
        assert!(answer.header(name).is_none(), "{name}");
    }
    assert_no_arrivals(&site, partitioned);
}

/// Guards against rule BUDGET: a gateway for which another one asked an upstream that wants no requests for a
/// time sends it some.
#[test]
fn pause_in_a_forwarded_answer_is_kept() {
    const PAUSE_MS: u64 = 120_000;
    let (site, partitioned) = partitioned_site_of(2);
    site.platform.plain.set_fault(PlainFault::Pauses(PAUSE_MS));
    let answer = Request::once("first").send(site.gateway(partitioned));
    assert_eq!(answer.status, 503);
    assert_no_arrivals(&site, partitioned);
}

/// Answer of a gateway that took a request, in which an upstream named a limit; and a statement that cannot be
/// read.
const LIMITED: &str = "HTTP/1.1 200 OK\r\ngateway-forwarded-answer: 1\r\ngateway-stated: limit=0.01 0 plain-1\r\n\
    gateway-stated: unreadable\r\ncontent-length: 0\r\n\r\n";

/// Guards against rule LIMIT: a gateway sends an upstream more than the limit that it named in an answer which
/// another gateway got.
#[test]
fn limit_in_a_forwarded_answer_is_kept() {
    let (site, partitioned, _) = site_with_standin_gateway(LIMITED, Some(true));
    let answer = Request::once("first").send(site.gateway(partitioned));
    assert_eq!((answer.status, answer.end), (200, End::Whole));
    reconnect(&site, partitioned);
    for id in 0..10 {
        Request::once(&format!("late-{id}")).send(site.gateway(partitioned));
    }
    let arrived = site.platform.plain.arrivals().len();
    assert!(arrived <= 3, "{arrived} of 10 requests arrived");
}

/// Guards against groups that nobody repairs: the gateway that sends the orders reaches no upstream, but
/// holds the lease.
#[test]
fn gateway_without_upstreams_sends_no_orders() {
    let site = Site::start_with_store_views(GATEWAYS);
    let owner = (0..GATEWAYS).find(|index| site.is_owner(*index));
    let owner = owner.expect("a gateway is the owner");
    site.partition_from_upstreams(owner, true);
    // A path is checked only when requests fail.
    let is_taken_over = |site: &Site| {
        Request::stream("probe").send(site.gateway(owner));
        let holder = site.lease_holder();
        holder.is_some_and(|holder| holder != gateway_name(owner))
    };
    site.wait_until("another gateway holds the lease", 10_000, is_taken_over);
}

/// Guards against requests that gateways without upstreams pass on to each other until their deadline.
#[test]
fn requests_are_refused_if_no_gateway_reaches_upstreams() {
    let site = Site::start_with_store_views(GATEWAYS);
    (0..GATEWAYS).for_each(|index| site.partition_from_upstreams(index, true));
    thread::sleep(STABLE);
    for (id, answer, elapsed) in send(&site, 0) {
        assert_eq!(answer.status, 503, "request {id}: {}", answer.text());
        assert!(elapsed <= MAX_REFUSAL, "request {id} waited {elapsed:?}");
        assert!(answer.header("retry-after").is_some(), "request {id}");
        assert!(site.platform.runs.of(&format!("request-{id}")).is_empty());
    }
}

/// Guards against lost answers: a gateway that has no callers of its own ends its planned stop while it serves
/// a request that another gateway forwarded.
#[test]
fn forwarded_request_outlasts_the_announcement_of_a_stop() {
    let (site, partitioned) = partitioned_site_of(2);
    site.platform.plain.set_fault(PlainFault::Slow(4_000));
    let address = site.gateway(partitioned);
    let caller = thread::spawn(move || Request::once("working").send(address));
    site.wait_for_run("working");
    site.signal(1 - partitioned, "TERM");
    let answer = caller.join().expect("the caller does not panic");
    assert_eq!((answer.status, answer.end), (200, End::Whole));
}

/// Guards against a forwarded request whose outcome counts as unknown although it has not run: it lay unread
/// in a gateway that exited. The other gateway stands still from near the end of its grace time on.
#[test]
fn request_that_is_forwarded_to_an_exiting_gateway_is_refused() {
    const TIMEOUT_MS: u64 = 30_000;
    /// Time after SIGTERM between the end of the listeners and the exit.
    const ENDING_FOR: Duration = Duration::from_millis(7_450);
    const STANDSTILL: Duration = Duration::from_millis(1_000);
    let (mut site, partitioned) = partitioned_site_of(2);
    let exiting = 1 - partitioned;
    site.put_config_with(&[KEY], TIMEOUT_MS, RequestLimits::default());
    thread::sleep(Duration::from_millis(CONFIG_APPLY_MS));
    site.platform.engines.set_stream(300, 100);
    let address = site.gateway(exiting);
    // Keeps the exiting gateway until the end of its grace time.
    let long = Request {
        timeout_ms: TIMEOUT_MS,
        deadline_ms: TIMEOUT_MS,
        ..Request::stream("long")
    };
    let streaming = thread::spawn(move || long.send(address));
    site.wait_for_run("long");
    site.signal(exiting, "TERM");
    thread::sleep(ENDING_FOR);
    site.signal(exiting, "STOP");
    let address = site.gateway(partitioned);
    let forwarding = thread::spawn(move || Request::once("forwarded").send(address));
    thread::sleep(STANDSTILL);
    site.signal(exiting, "CONT");
    assert!(site.wait_for_end(exiting, 2_000));
    let answer = forwarding.join().expect("the caller does not panic");
    assert_eq!(answer.status, 503);
    assert!(site.platform.runs.of("forwarded").is_empty());
    let answer = streaming.join().expect("the caller does not panic");
    assert_eq!(answer.end, End::Broken, "the gateway ran until then");
}

/// Guards against a refusal of a forwarded request that is lost because the rest of a long body cannot be
/// sent: callers are told that the request may have run, and no other gateway gets it.
#[test]
fn long_request_that_another_gateway_does_not_take_is_refused() {
    const SENDERS: usize = 16;
    const BODY_BYTES: usize = 3_000_000;
    let (site, partitioned) = partitioned_site_of(2);
    let limits = RequestLimits {
        max_body_bytes: BODY_BYTES,
        ..RequestLimits::default()
    };
    site.put_config_with(&[KEY], ROUTE_TIMEOUT_MS, limits);
    pause_ms(CONFIG_APPLY_MS);
    // It takes no forwarded requests from now on.
    site.signal(1 - partitioned, "TERM");
    pause_ms(300);
    let address = site.gateway(partitioned);
    let senders = (0..SENDERS).map(|index| {
        // A gateway that did not take a request gets no others for a second.
        let begin_ms = if index < SENDERS / 2 { 0 } else { 1_200 };
        thread::spawn(move || {
            pause_ms(begin_ms);
            let body = "x".repeat(BODY_BYTES);
            let request = Request {
                body: &body,
                ..Request::once(&format!("long-{index}"))
            };
            request.send(address).status
        })
    });
    let statuses = join_all(senders.collect::<Vec<_>>());
    assert_eq!(statuses, [503; SENDERS]);
}

/// Longer than the idle time of a connection that a request that must not run twice may use.
const IDLE_MS: u64 = 400;

/// Guards against open connections that are given up for a request that needs a new one, before it has opened:
/// the requests that could have used them are not served while no new one can be opened.
#[test]
fn idle_connection_is_kept_if_no_new_one_can_be_opened() {
    let site = Site::start(1);
    let address = site.gateway(0);
    let again = |id: &str| Request {
        path: "/again/",
        ..Request::stream(id)
    };
    assert_eq!(again("first").send(address).status, 200);
    pause_ms(IDLE_MS);
    let store = &site.platform.store;
    let entry = store.get_content(paths::UPSTREAM_KIND, PlainService::ID);
    let mut entry = entry.expect("it is registered");
    let (_closed, port) = closed_port();
    entry["addr"] = json!(format!("127.0.0.1:{port}"));
    store.put(paths::UPSTREAM_KIND, PlainService::ID, entry);
    pause_ms(IDLE_MS);
    assert_ne!(Request::once("new").send(address).status, 200);
    assert!(site.platform.runs.of("new").is_empty());
    let answer = again("idle").send(address);
    assert_eq!((answer.status, answer.end), (200, End::Whole));
}
