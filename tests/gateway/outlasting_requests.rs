//! Requests that a gateway gets during its planned stop, and that would outlast it.

use std::{
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform_standins::PlainFault;

use crate::gateway::{
    caller::{End, Request, join_all},
    kept_caller::KeptCaller,
    pause_ms,
    site::Site,
};

/// Time after SIGTERM at which late requests are sent. Requests are still served then.
const LATE_MS: u64 = 2_000;
/// Time in which a refusal must come.
const AT_ONCE: Duration = Duration::from_millis(500);
/// Requests from which a gateway learns how long requests take.
const REQUESTS: usize = 12;

/// Sends a request and checks that it is refused at once, as not run, on a connection that closes.
fn assert_refused_at_once(site: &Site, request: &Request<'_>) {
    let began = Instant::now();
    let answer = KeptCaller::new(site.gateway(0)).send(request).whole();
    assert_eq!(answer.status, 503);
    assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
    assert!(answer.announces_close());
    assert!(answer.header("retry-after").is_some());
    assert!(site.platform.runs.of(&request.id).is_empty());
}

/// Sends requests at the same time until all have ended, by which the gateway learns how long they take.
fn send_all(site: &Site, request: fn(&str) -> Request<'static>) {
    let senders = (0..REQUESTS).map(|index| {
        let address = site.gateway(0);
        thread::spawn(move || request(&format!("before-{index}")).send(address).end)
    });
    // All are sent before the first one is awaited.
    let senders: Vec<_> = senders.collect();
    let ends = join_all(senders);
    assert!(ends.into_iter().all(|end| end == End::Whole));
}

/// Guards against lost answers: a request that must not run twice was taken shortly before the end of the grace
/// time, sent to an upstream, and cut off.
#[test]
fn request_that_must_not_run_twice_is_refused_if_it_may_outlast_the_stop() {
    let site = Site::start(2);
    site.platform.plain.set_fault(PlainFault::Slow(6_500));
    send_all(&site, Request::once);
    site.signal(0, "TERM");
    pause_ms(LATE_MS);
    assert_refused_at_once(&site, &Request::once("late"));
    // Another gateway serves it.
    assert_eq!(Request::once("late").send(site.gateway(1)).status, 200);
}

/// The same at a gateway that knows of no earlier request of the route.
#[test]
fn first_request_that_must_not_run_twice_is_refused_if_its_deadline_is_after_the_stop() {
    let site = Site::start(1);
    site.platform.plain.set_fault(PlainFault::Slow(7_000));
    site.signal(0, "TERM");
    pause_ms(LATE_MS);
    assert_refused_at_once(&site, &Request::once("late"));
}

/// Guards against streams that are cut: one was taken that takes longer than the rest of the grace time.
#[test]
fn stream_is_refused_if_streams_take_longer_than_the_rest_of_the_grace_time() {
    let site = Site::start(1);
    site.platform.engines.set_stream(65, 100);
    send_all(&site, Request::stream);
    site.signal(0, "TERM");
    pause_ms(LATE_MS);
    assert_refused_at_once(&site, &Request::stream("late"));
}

/// Guards against refusals of requests that end in time, whether by their deadline or by what is usual.
#[test]
fn requests_that_end_before_the_stop_are_served() {
    let site = Site::start(1);
    send_all(&site, Request::stream);
    site.signal(0, "TERM");
    pause_ms(LATE_MS);
    let requests = [
        Request::stream("stream"),
        Request {
            deadline_ms: 4_000,
            ..Request::once("once")
        },
    ];
    for request in requests {
        let answer = request.send(site.gateway(0));
        let end = (answer.status, answer.end);
        assert_eq!(end, (200, End::Whole), "{}", request.id);
    }
}
