//! Callers that keep their connections: across planned stops, changes and idle times, and beyond limits.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform_standins::{PlainFault, RequestLimits};

use crate::gateway::{
    CONFIG_APPLY_MS, all_event_ids,
    caller::{Request, join_all},
    kept_caller::{KeptCaller, Outcome},
    pause_ms,
    site::{KEY, OTHER_KEY, ROUTE_TIMEOUT_MS, Site},
};

/// Time within which a gateway ends after SIGTERM.
const GRACE_MS: u64 = 8_000;
/// Time after SIGTERM at which a gateway takes no new requests, and some time to act on it.
const ANNOUNCED_MS: u64 = 2_300 + 300;
/// Time after SIGTERM at which answers say that their connection closes, while requests are still served.
const CLOSING_FOR_MS: u64 = 1_900;
/// Time after SIGTERM from which new requests are refused, and some time for the gateway to do so.
const REFUSED_FROM_MS: u64 = 2_600 + 300;
/// Pause of a caller that was answered, and of one that was not connected.
const CALLER_PAUSE_MS: u64 = 3;
const CONNECT_PAUSE_MS: u64 = 20;

/// Sends requests to a gateway until `is_over`, and comes back at once after each answer. Returns the
/// id and outcome of each request that was sent.
pub(super) fn keep_sending(
    address: SocketAddr,
    name: &str,
    is_over: &AtomicBool,
) -> Vec<(String, Outcome)> {
    let mut caller = KeptCaller::new(address);
    let mut outcomes = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("{name}-{}", outcomes.len());
        let request = match outcomes.len() % 3 {
            0 => Request::once(&id),
            _ => Request::stream(&id),
        };
        match caller.send(&request) {
            Outcome::NotConnected => pause_ms(CONNECT_PAUSE_MS),
            outcome => {
                outcomes.push((id, outcome));
                pause_ms(CALLER_PAUSE_MS);
            }
        }
    }
    outcomes
}

/// Returns what is wrong with an outcome: a request that was sent gets a whole answer, either a success or
/// the statement that it has not run and never will.
pub(super) fn fault(site: &Site, id: &str, outcome: &Outcome) -> Option<String> {
    let runs = site.platform.runs.of(id).len();
    match outcome {
        Outcome::Whole(answer) if answer.status == 200 => None,
        Outcome::Whole(answer) if answer.status == 503 && runs == 0 => None,
        Outcome::NotConnected => None,
        other => Some(format!("{}, {runs} runs", other.describe())),
    }
}

/// Guards against lost answers: requests of callers that keep their connections, or open new ones until the
/// process is gone, end without an answer at a planned stop.
#[test]
fn planned_stops_leave_no_request_unanswered() {
    const GATEWAYS: usize = 2;
    const CALLERS: usize = 24;
    let mut site = Site::start(GATEWAYS);
    let is_over = Arc::new(AtomicBool::new(false));
    let callers = (0..CALLERS).map(|caller| {
        let (address, is_over) = (site.gateway(caller % GATEWAYS), is_over.clone());
        thread::spawn(move || keep_sending(address, &format!("stops-{caller}"), &is_over))
    });
    let callers: Vec<_> = callers.collect();
    pause_ms(500);
    for gateway in 0..GATEWAYS {
        site.signal(gateway, "HUP");
        site.put_config(&[KEY, OTHER_KEY]);
        site.signal(gateway, "TERM");
        pause_ms(300);
        site.signal(gateway, "HUP");
        site.put_config(&[KEY]);
        let has_ended = site.wait_for_end(gateway, GRACE_MS);
        assert!(has_ended, "gateway {gateway} ends within its grace time");
        site.restart(gateway);
        site.wait_until("the gateway is ready again", 15_000, |site| {
            site.is_ready(gateway)
        });
        pause_ms(1_000);
    }
    is_over.store(true, Ordering::SeqCst);
    let outcomes: Vec<_> = join_all(callers).into_iter().flatten().collect();
    let mut faults: BTreeMap<String, usize> = BTreeMap::new();
    for (id, outcome) in &outcomes {
        if let Some(fault) = fault(&site, id, outcome) {
            *faults.entry(fault).or_default() += 1;
        }
    }
    assert!(
        faults.is_empty(),
        "of {} requests: {faults:?}",
        outcomes.len()
    );
    let requests = outcomes.len();
    assert!(requests > 4 * CALLERS, "{requests} requests are too few");
}

/// Sends a request that works until `until_ms` after SIGTERM, which the gateway gets now. Returns the
/// thread that waits for the outcome.
fn stop_beside_a_request(site: &Site, until_ms: u64) -> thread::JoinHandle<Outcome> {
    site.platform.plain.set_fault(PlainFault::Slow(until_ms));
    let mut caller = KeptCaller::new(site.gateway(0));
    let working = thread::spawn(move || caller.send(&Request::once("working")));
    site.wait_for_run("working");
    site.signal(0, "TERM");
    working
}

/// Guards against callers that send their next request on a connection that the gateway closes.
#[test]
fn last_answer_before_a_stop_announces_the_close() {
    let site = Site::start(1);
    let working = stop_beside_a_request(&site, ANNOUNCED_MS + 400);
    let answer = working.join().expect("the caller does not panic").whole();
    assert_eq!(answer.status, 200);
    assert!(answer.announces_close());
}

/// Guards against callers whose connection ends without a word after a stream that outlasts the announcement.
#[test]
fn stream_that_begins_after_a_stop_announces_the_close() {
    let site = Site::start(1);
    site.platform.engines.set_stream(50, 60);
    site.signal(0, "TERM");
    pause_ms(200);
    let answer = KeptCaller::new(site.gateway(0)).send(&Request::stream("long"));
    let answer = answer.whole();
    assert_eq!(answer.status, 200);
    assert!(answer.announces_close());
}

/// Guards against a request that is refused during a planned stop although there is time to serve it, and
/// against a connection that is closed after the answer without a word.
#[test]
fn request_before_the_end_of_the_announcement_is_served_and_announces_the_close() {
    let site = Site::start(1);
    let mut kept = KeptCaller::new(site.gateway(0));
    assert_eq!(kept.send(&Request::once("before")).whole().status, 200);
    site.signal(0, "TERM");
    pause_ms(CLOSING_FOR_MS);
    let callers = [("kept", kept), ("new", KeptCaller::new(site.gateway(0)))];
    for (id, mut caller) in callers {
        let answer = caller.send(&Request::once(id)).whole();
        assert_eq!(answer.status, 200, "{id}");
        assert!(answer.announces_close(), "{id}");
    }
}

/// Guards against connections that are closed unread, or reset, during a planned stop: one that was idle all
/// the while and a new one.
#[test]
fn refusal_during_a_stop_is_sent_and_announces_the_close() {
    let site = Site::start(1);
    let mut kept = KeptCaller::new(site.gateway(0));
    assert_eq!(kept.send(&Request::once("before")).whole().status, 200);
    let working = stop_beside_a_request(&site, REFUSED_FROM_MS + 1_000);
    let began = Instant::now();
    let closed = kept.wait_for_close(REFUSED_FROM_MS);
    assert_eq!(closed, Some(true), "it is closed in order");
    thread::sleep(Duration::from_millis(REFUSED_FROM_MS).saturating_sub(began.elapsed()));
    let answer = KeptCaller::new(site.gateway(0)).send(&Request::once("new"));
    let answer = answer.whole();
    assert_eq!(answer.status, 503);
    assert!(answer.announces_close());
    assert!(site.platform.runs.of("new").is_empty());
    let answer = working.join().expect("the caller does not panic").whole();
    assert_eq!(answer.status, 200);
}

/// Guards against a request that ends without an answer because it outlasts the grace time. It may have
/// run, so the answer must not say otherwise.
#[test]
fn request_at_work_at_the_end_of_the_grace_time_is_answered() {
    let mut site = Site::start(1);
    site.put_config_with(&[KEY], 30_000, RequestLimits::default());
    pause_ms(CONFIG_APPLY_MS);
    let request = Request {
        timeout_ms: 30_000,
        deadline_ms: 30_000,
        ..Request::once("long")
    };
    site.platform.plain.set_fault(PlainFault::Slow(20_000));
    let mut caller = KeptCaller::new(site.gateway(0));
    let working = thread::spawn(move || caller.send(&request));
    site.wait_for_run("long");
    site.signal(0, "TERM");
    assert!(site.wait_for_end(0, GRACE_MS));
    let answer = working.join().expect("the caller does not panic").whole();
    assert_eq!(answer.status, 502);
}

/// Defines tests of a caller that ends its sending side after its request: name, whether a request was
/// answered on the connection before, the request.
///
/// They guard against lost answers: the end of the caller's bytes is taken for its leaving.
macro_rules! half_closed {
    ($($name:ident: $is_kept:expr, $request:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let site = Site::start(1);
                let mut caller = KeptCaller::new(site.gateway(0));
                if $is_kept {
                    assert_eq!(caller.send(&Request::once("before")).whole().status, 200);
                }
                site.platform.plain.set_fault(PlainFault::Slow(800));
                site.platform.engines.set_stream(10, 150);
                let request: Request<'_> = $request;
                let text = request.to_text();
                let written = caller.write([text.as_bytes()]).expect("it is connected");
                written.expect("the request can be written");
                caller.end_sending();
                let answer = caller.read_answer(request.timeout_ms).whole();
                assert_eq!(answer.status, 200);
                if request.path == "/stream/" {
                    assert_eq!(answer.events(), all_event_ids(10));
                }
                assert_eq!(site.platform.runs.of(&request.id).len(), 1);
            }
        )+
    };
}

half_closed! {
    half_closed_caller_is_answered: false, Request::once("half"),
    half_closed_caller_that_was_kept_is_answered: true, Request::once("half"),
    half_closed_caller_gets_its_stream: false, Request::stream("half"),
    half_closed_caller_that_was_kept_gets_its_stream: true, Request::stream("half"),
}

/// Guards against work for callers that left: an upstream works on for a caller that closed its connection, since a caller
/// that only ended its sending side is to be answered.
#[test]
fn stream_of_a_caller_that_left_ends() {
    let site = Site::start(1);
    site.platform.engines.set_stream(50, 100);
    let leaving = Request {
        timeout_ms: 550,
        ..Request::stream("leaving")
    };
    let outcome = KeptCaller::new(site.gateway(0)).send(&leaving);
    assert!(
        matches!(outcome, Outcome::Left(_)),
        "{}",
        outcome.describe()
    );
    site.wait_until("no upstream works on the stream", 500, |site| {
        site.platform.engines.open_streams() == 0
    });
}

/// Guards against an answer that is cut because its caller does not read for a while, within its deadline.
#[test]
fn slow_reader_gets_its_whole_answer() {
    const BODY_BYTES: usize = 6_000_000;
    let site = Site::start(1);
    site.platform.plain.set_body("b".repeat(BODY_BYTES));
    let request = Request::once("slow");
    let began = Instant::now();
    let mut caller = KeptCaller::with_receive_buffer(site.gateway(0), 64 * 1_024);
    let text = request.to_text();
    let written = caller.write([text.as_bytes()]).expect("it is connected");
    written.expect("the request can be written");
    pause_ms(5_500);
    let left = Duration::from_millis(request.deadline_ms).saturating_sub(began.elapsed());
    let left_ms = u64::try_from(left.as_millis()).expect("it is below the deadline");
    let answer = caller.read_answer(left_ms).whole();
    assert_eq!((answer.status, answer.text().len()), (200, BODY_BYTES));
}

/// Guards against a refusal that a caller cannot read because the connection is reset while it still
/// writes the body.
#[test]
fn refusal_of_a_head_reaches_a_caller_that_still_writes() {
    const PART_BYTES: usize = 1_500;
    let site = Site::start(1);
    let limits = RequestLimits {
        max_body_bytes: 1_000_000,
        ..RequestLimits::default()
    };
    site.put_config_with(&[KEY], ROUTE_TIMEOUT_MS, limits);
    pause_ms(CONFIG_APPLY_MS);
    let body = "b".repeat(200_000);
    for index in 0..10 {
        let request = Request {
            key: "no-such-key",
            body: &body,
            ..Request::once(&format!("refused-{index}"))
        };
        let text = request.to_text();
        let mut caller = KeptCaller::new(site.gateway(0));
        let parts = text.as_bytes().chunks(PART_BYTES);
        let written = caller.write(parts.inspect(|_| pause_ms(1)));
        let written = written.expect("it is connected");
        assert!(written.is_ok(), "request {index}: {written:?}");
        assert_eq!(caller.read_answer(request.timeout_ms).whole().status, 401);
        assert!(site.platform.runs.of(&request.id).is_empty());
    }
}

/// Writes a configuration with this idle time of connections.
fn put_idle_timeout(site: &Site, idle_timeout_ms: u64) {
    let limits = RequestLimits {
        idle_timeout_ms,
        ..RequestLimits::default()
    };
    site.put_config_with(&[KEY], ROUTE_TIMEOUT_MS, limits);
}

/// Guards against a connection that keeps the idle time of the configuration under which it was accepted,
/// and is closed as its next request comes.
#[test]
fn longer_idle_time_applies_to_open_connections() {
    let site = Site::start(1);
    put_idle_timeout(&site, 1_500);
    pause_ms(CONFIG_APPLY_MS);
    let mut caller = KeptCaller::new(site.gateway(0));
    assert_eq!(caller.send(&Request::once("before")).whole().status, 200);
    put_idle_timeout(&site, 10_000);
    pause_ms(3_000);
    assert_eq!(caller.send(&Request::once("after")).whole().status, 200);
}

/// Guards against a connection that keeps an idle time that is longer than the configuration allows.
#[test]
fn shorter_idle_time_applies_to_open_connections() {
    const IDLE_MS: u64 = 1_500;
    let site = Site::start(1);
    put_idle_timeout(&site, 10_000);
    pause_ms(CONFIG_APPLY_MS);
    let mut caller = KeptCaller::new(site.gateway(0));
    assert_eq!(caller.send(&Request::once("before")).whole().status, 200);
    put_idle_timeout(&site, IDLE_MS);
    let closed = caller.wait_for_close(CONFIG_APPLY_MS + IDLE_MS);
    assert_eq!(closed, Some(true), "it is closed in order");
}

/// Guards against connections beyond the limit that are closed with their request unread.
#[test]
fn request_on_a_connection_beyond_the_limit_is_refused() {
    const CONNECTIONS: usize = 120;
    // The smallest number; some of them are reserved.
    let site = Site::start_with_settings(1, "[limits]\ndescriptors = 300\n");
    let mut callers: Vec<_> = Vec::new();
    let mut refused = 0;
    for index in 0..CONNECTIONS {
        let id = format!("open-{index}");
        let mut caller = KeptCaller::new(site.gateway(0));
        let answer = caller.send(&Request::once(&id)).whole();
        if answer.status == 503 {
            refused += 1;
            assert!(answer.announces_close(), "{id}");
            assert!(site.platform.runs.of(&id).is_empty(), "{id}");
        } else {
            assert_eq!(answer.status, 200, "{id}");
        }
        callers.push(caller);
    }
    assert!((1..CONNECTIONS - 4).contains(&refused), "{refused} refused");
}
