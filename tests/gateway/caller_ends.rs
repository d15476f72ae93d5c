//! Callers that end their connection before the answer to their request is whole.

use std::{io::Read, time::Duration};

use jacinthpoint_platform_standins::{PlainFault, RequestLimits};
use socket2::SockRef;

use crate::gateway::{
    CONFIG_APPLY_MS, all_event_ids,
    caller::Request,
    kept_caller::{KeptCaller, Outcome},
    pause_ms,
    site::{KEY, ROUTE_TIMEOUT_MS, Site},
};

/// Time in which a gateway notices that a caller has ended its connection.
const NOTICED_MS: u64 = 2_000;
/// Time after its request at which a caller ends its connection.
const BEFORE_CLOSE_MS: u64 = 500;
/// Number of events of a stream, and the time between them.
const EVENTS: u64 = 30;
const EVENT_MS: u64 = 100;

/// How a caller ends its connection.
#[derive(Debug, Clone, Copy)]
enum Close {
    InOrder,
    Reset,
}

/// Defines tests of callers that end their connection early: name, path, number of bytes of the request that
/// are sent, how it ends, what of the request or its answer was awaited.
macro_rules! early_closes {
    ($($name:ident: $path:literal, $bytes:expr, $close:expr => $awaited:literal,)+) => {
        $(
            #[test]
            fn $name() {
                let site = Site::start(1);
                site.platform.plain.set_fault(PlainFault::Slow(EVENTS * EVENT_MS));
                site.platform.engines.set_stream(EVENTS, EVENT_MS);
                let text = Request { path: $path, ..Request::stream("left") }.to_text();
                let bytes: Option<usize> = $bytes;
                let sent = &text.as_bytes()[..bytes.unwrap_or(text.len())];
                let mut caller = KeptCaller::new(site.gateway(0));
                caller.write([sent]).expect("it is connected").expect("it can be written");
                pause_ms(BEFORE_CLOSE_MS);
                if let Close::Reset = $close {
                    let stream = caller.connect().expect("it is open");
                    let reset = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                    reset.expect("it can be set");
                }
                drop(caller);
                let counter = format!("answers_unfinished_total{{label=\"{}\"}} 1", $awaited);
                site.wait_until("the end is counted", NOTICED_MS, |site| {
                    site.metrics(0).contains(&counter)
                });
            }
        )+
    };
}

// Guards against requests whose connection ends before their answer without a line in the log. Each line is
// counted.
early_closes! {
    close_within_the_head_is_logged: "/stream/", Some(40), Close::InOrder => "head",
    reset_within_the_head_is_logged: "/stream/", Some(40), Close::Reset => "head",
    reset_before_an_answer_is_logged: "/again/", None, Close::Reset => "answer",
    reset_before_an_only_answer_is_logged: "/once/", None, Close::Reset => "answer",
    close_within_a_stream_is_logged: "/stream/", None, Close::InOrder => "end-of-answer",
    reset_within_a_stream_is_logged: "/stream/", None, Close::Reset => "end-of-answer",
}

/// Guards against a line in the log for each connection that ends in order.
#[test]
fn ends_in_order_are_not_logged() {
    let site = Site::start(1);
    let mut caller = KeptCaller::new(site.gateway(0));
    for (index, path) in ["/stream/", "/once/", "/again/"].into_iter().enumerate() {
        let request = Request {
            path,
            ..Request::stream(&format!("whole-{index}"))
        };
        assert_eq!(caller.send(&request).whole().status, 200);
    }
    drop(caller);
    site.wait_until("the connection has ended", NOTICED_MS, |site| {
        site.metrics(0).contains("connections_open 0")
    });
    let metrics = site.metrics(0);
    assert!(!metrics.contains("answers_unfinished"), "{metrics}");
}

/// Guards against requests that cross the end of their connection and cannot be told from ones that were lost.
#[test]
fn request_after_the_end_of_its_connection_is_logged() {
    let site = Site::start(1);
    let mut caller = KeptCaller::new(site.gateway(0));
    let before = caller.send(&Request::once("before"));
    assert_eq!(before.whole().status, 200);
    let limits = RequestLimits {
        idle_timeout_ms: 300,
        ..RequestLimits::default()
    };
    site.put_config_with(&[KEY], ROUTE_TIMEOUT_MS, limits);
    site.wait_until("the connection ends", CONFIG_APPLY_MS, |site| {
        site.metrics(0).contains("connections_ended_total")
    });
    let text = Request::once("crossing").to_text();
    let written = caller.write([text.as_bytes()]).expect("it is connected");
    written.expect("it can be written");
    site.wait_until("the request is counted", NOTICED_MS, |site| {
        site.metrics(0)
            .contains("requests_unread_total{label=\"idle\"} 1")
    });
    assert!(site.platform.runs.of("crossing").is_empty());
}

/// Number of events of a slow stream, and the time between them.
const SLOW_EVENTS: u64 = 6;
const SLOW_EVENT_MS: u64 = 600;
/// Time after the caller's end at which its gateway crashes, before the next event.
const BEFORE_CRASH_MS: u64 = 150;
/// Time after the caller has left in which its upstream stops.
const GIVEN_UP_MS: u64 = 500;

/// Sends a request for a slow stream on a kept connection, and waits until its first event.
fn begin_slow_stream(site: &Site, id: &str) -> KeptCaller {
    site.platform.engines.set_stream(SLOW_EVENTS, SLOW_EVENT_MS);
    let mut caller = KeptCaller::new(site.gateway(0));
    let text = Request::stream(id).to_text();
    let written = caller.write([text.as_bytes()]).expect("it is connected");
    written.expect("it can be written");
    site.wait_for_run(id);
    pause_ms(SLOW_EVENT_MS + 100);
    caller
}

/// Guards against streams of callers that have ended their sending side, and are cut before they can be seen to
/// read, because their events are far apart.
#[test]
fn half_closed_caller_of_slow_stream_gets_all_events() {
    let site = Site::start(1);
    let mut caller = begin_slow_stream(&site, "half");
    caller.end_sending();
    let answer = caller.read_answer(8_000).whole();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.events(), all_event_ids(SLOW_EVENTS));
}

/// Guards against a stream that looks whole although its gateway has crashed, because of what was sent to see
/// whether its half-closed caller reads.
#[test]
fn stream_of_a_half_closed_caller_is_reset_by_a_crash() {
    let mut site = Site::start(1);
    let mut caller = begin_slow_stream(&site, "crash");
    caller.end_sending();
    pause_ms(BEFORE_CRASH_MS);
    site.kill(0);
    match caller.read_answer(8_000) {
        Outcome::Cut(answer, why) => {
            assert_ne!(answer.events(), all_event_ids(SLOW_EVENTS));
            assert!(why.contains("reset"), "{why}");
        }
        other => panic!("{}", other.describe()),
    }
}

/// Guards against upstreams that work on for a caller that has left a slow stream.
#[test]
fn left_slow_stream_ends_at_the_upstream() {
    let site = Site::start(1);
    let mut caller = begin_slow_stream(&site, "left");
    let stream = caller.connect().expect("it is open");
    let mut received = [0; 65_536];
    let count = stream.read(&mut received).expect("it can be read");
    assert!(count > 0, "the answer has begun");
    // Without unread bytes, it is not ended by a reset.
    drop(caller);
    site.wait_until("the upstream stops", GIVEN_UP_MS, |site| {
        let runs = site.platform.runs.of("left");
        runs.iter().all(|run| run.ended_at.is_some())
    });
}
