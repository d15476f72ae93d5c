//! Upstreams that are silent for a time and go on, while other upstreams fail, refuse or are lost.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use jacinthpoint_platform_standins::{
    EngineFault, PlainRequest, PlainService, Reply, ReplyEnd, RequestFault,
};

use crate::gateway::{
    all_event_ids,
    caller::{Answer, End, Request, join_all},
    faulty_answers::{answer, head, scripted_site, sealed, streams},
    pause_ms,
    site::Site,
};

/// Number of streams of a test, two for each group.
const STREAMS: usize = 8;
/// Number of events of a slow stream.
const EVENTS: u64 = 8;
/// Time between two events of a slow stream, above the limit from which a group counts as stalled.
const EVENT_MS: u64 = 600;
/// Limit for all streams to begin.
const BEGIN_MS: u64 = 5_000;
/// Time in which an upstream has stopped working for a caller that has left, or for a gateway that uses
/// the answer of another one.
const GIVEN_UP_MS: u64 = 500;

/// Starts a site with one gateway and engines whose events are far apart.
fn slow_site() -> Site {
    let site = Site::start(1);
    site.platform.engines.set_stream(EVENTS, EVENT_MS);
    site
}

/// Sends streams at the same time.
fn send_streams(address: SocketAddr) -> Vec<JoinHandle<Answer>> {
    let ids = (0..STREAMS).map(|index| format!("silent-{index}"));
    let senders = ids.map(|id| thread::spawn(move || Request::stream(&id).send(address)));
    senders.collect()
}

/// Checks that all streams are whole.
fn check_whole(senders: Vec<JoinHandle<Answer>>) {
    let answers = join_all(senders);
    let ends: Vec<_> = answers
        .iter()
        .map(|answer| (answer.status, answer.end))
        .collect();
    assert_eq!(ends, [(200, End::Whole); STREAMS]);
    for answer in answers {
        assert_eq!(answer.events(), all_event_ids(EVENTS));
    }
}

/// Returns the leaders of all open groups.
fn leaders(site: &Site) -> Vec<String> {
    let groups = site.platform.engines.open_groups();
    groups
        .into_iter()
        .map(|members| members[0].clone())
        .collect()
}

/// Sends slow streams, changes the upstreams once all of them have begun, and checks that they are whole.
fn check_slow_streams(change: impl FnOnce(&Site)) {
    let site = slow_site();
    let senders = send_streams(site.gateway(0));
    site.wait_until("all streams have begun", BEGIN_MS, |site| {
        site.platform.runs.all().len() >= STREAMS
    });
    change(&site);
    check_whole(senders);
    let metrics = site.metrics(0);
    assert!(
        metrics.contains("attempts_stalled"),
        "no stream was silent for too long"
    );
}

/// Defines tests of slow streams: name, what changes at the upstreams once they have begun.
macro_rules! slow_streams {
    ($($name:ident: $change:expr,)+) => {
        $(
            #[test]
            fn $name() {
                check_slow_streams($change);
            }
        )+
    };
}

/// Returns what changes the handling of requests that arrive from then on.
fn other_attempts(fault: RequestFault) -> impl FnOnce(&Site) {
    move |site| site.platform.engines.set_request_fault(fault)
}

// Guards against streams that are cut because their upstreams are silent for a time: each was given up before
// another one had taken its place.
slow_streams! {
    slow_streams_are_whole: |_| {},
    slow_streams_are_whole_if_other_attempts_fail: other_attempts(RequestFault::Fails),
    slow_streams_are_whole_if_other_attempts_are_refused: other_attempts(RequestFault::Refuses),
    slow_streams_are_whole_if_other_attempts_break: other_attempts(RequestFault::Breaks),
    slow_streams_are_whole_if_other_attempts_send_no_head: other_attempts(RequestFault::SendsNothing),
    slow_streams_are_whole_if_other_attempts_send_no_event: other_attempts(RequestFault::SendsNoEvent),
}

/// Guards against a stream that is cut, or ends at its deadline, because its upstream is silent for a time and no other
/// one is left.
#[test]
fn slow_stream_is_whole_if_no_other_upstream_is_left() {
    let site = slow_site();
    let address = site.gateway(0);
    let sender = thread::spawn(move || Request::stream("silent").send(address));
    site.wait_for_run("silent");
    let own = site.platform.runs.of("silent")[0].upstream.clone();
    for leader in leaders(&site).iter().filter(|leader| **leader != own) {
        site.platform.engines.set_fault(leader, EngineFault::Dead);
    }
    let answer = join_all([sender]).remove(0);
    assert_eq!((answer.status, answer.end), (200, End::Whole));
    assert_eq!(answer.events(), all_event_ids(EVENTS));
}

/// Time until a late answer, above that from which another attempt may be made.
const LATE_MS: u64 = 3_000;

/// Defines tests of a plain service whose first attempt is answered late, and all others fail at once: name, path,
/// the late answer, the others, what the caller gets.
macro_rules! late_answers {
    ($($name:ident: $path:literal, |$late:ident| $late_reply:expr, |$other:ident| $other_reply:expr => $expected:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let site = scripted_site(|request: &PlainRequest| match request.earlier_runs {
                    0 => {
                        let $late = request;
                        Reply::sends($late_reply).after_ms(LATE_MS)
                    }
                    _ => {
                        let $other = request;
                        $other_reply
                    }
                });
                let request = Request { path: $path, ..Request::stream("late") };
                let answer = request.send(site.gateway(0));
                assert_eq!((answer.status, answer.end), (200, End::Whole));
                assert_eq!(answer.text(), $expected);
                assert!(site.platform.runs.of("late").len() > 1, "no other attempt was made");
            }
        )+
    };
}

// Guards against a request that is answered as failed, or with the error of another upstream, while the first one
// still works on it.
late_answers! {
    late_answer_is_awaited_while_other_attempts_fail: "/again/",
        |request| answer(request), |request| Reply::sends(sealed(request, "500 Failed", "{}"))
        => PlainService::BODY,
    late_answer_is_awaited_while_other_attempts_break: "/again/",
        |request| answer(request), |request| Reply::sends(head(request, "200 OK")).ending(ReplyEnd::Close)
        => PlainService::BODY,
    late_stream_is_awaited_while_other_attempts_fail: "/resumed/",
        |request| streams::chunked(request, &streams::events(1..=4)),
        |request| Reply::sends(sealed(request, "500 Failed", "{}"))
        => streams::events(1..=4),
    late_stream_is_awaited_while_other_streams_break: "/resumed/",
        |request| streams::chunked(request, &streams::events(1..=4)),
        |request| Reply::sends(streams::chunked_head(request)).ending(ReplyEnd::Close)
        => streams::events(1..=4),
}

/// Guards against upstreams that work on for an answer that is not used: that of another attempt is.
#[test]
fn silent_attempt_ends_once_another_one_goes_on() {
    let site = Site::start(1);
    site.platform.engines.set_stream(100, 30);
    let address = site.gateway(0);
    let sender = thread::spawn(move || Request::stream("overtaken").send(address));
    site.wait_for_run("overtaken");
    pause_ms(300);
    let first = site.platform.runs.of("overtaken")[0].upstream.clone();
    site.platform.engines.set_paused(&first, true);
    site.wait_until("another attempt is made", 3_000, |site| {
        site.platform.runs.of("overtaken").len() > 1
    });
    site.wait_until("the first attempt ends", GIVEN_UP_MS, |site| {
        site.platform.runs.of("overtaken")[0].ended_at.is_some()
    });
    let answer = join_all([sender]).remove(0);
    assert_eq!((answer.status, answer.end), (200, End::Whole));
    assert_eq!(answer.events(), all_event_ids(100));
}

/// Guards against upstreams that work on for a caller that has left, while several have its request.
#[test]
fn all_attempts_end_if_the_caller_leaves() {
    let site = slow_site();
    let address = site.gateway(0);
    let caller = Request {
        timeout_ms: EVENT_MS - 50,
        ..Request::stream("left")
    };
    let sender = thread::spawn(move || caller.send(address));
    site.wait_for_run("left");
    let began = Instant::now();
    site.platform
        .engines
        .set_request_fault(RequestFault::SendsNoEvent);
    join_all([sender]);
    site.wait_until("all attempts end", GIVEN_UP_MS, |site| {
        let runs = site.platform.runs.of("left");
        runs.len() > 1 && runs.iter().all(|run| run.ended_at.is_some())
    });
    assert!(began.elapsed() < Duration::from_millis(EVENT_MS + GIVEN_UP_MS));
}
