//! Several attempts of one request that are open at the same time: which one is used, and what the others cost.

use std::{net::SocketAddr, thread};

use jacinthpoint_platform_standins::{EngineFault, PlainRequest, Reply, ReplyEnd, RequestFault};

use crate::gateway::{
    all_event_ids,
    caller::{Answer, End, Request, join_all},
    faulty_answers::{scripted_site, sealed, streams},
    kept_caller::KeptCaller,
    pause_ms,
    site::{Site, SiteSize},
};

/// Number of events of a stream.
const EVENTS: u64 = 100;
/// Time between two events.
const EVENT_MS: u64 = 30;
/// Time in which a stream has had its first events.
const BEGIN_MS: u64 = 300;
/// Limit for another attempt to be made beside a silent one, and for it to end.
const LIMIT_MS: u64 = 3_000;
/// Time until the answer of a plain service that is late, above that after which another attempt is made.
const LATE_MS: u64 = 3_000;
/// Id of the request.
const ID: &str = "contended";

/// Starts a site with one gateway and this number of groups.
fn site_of(groups: usize) -> Site {
    let size = SiteSize {
        engines_per_domain: groups,
        ..SiteSize::of(1)
    };
    assert_eq!(size.groups(), groups);
    let site = Site::start_behind_links(size, 1);
    site.platform.engines.set_stream(EVENTS, EVENT_MS);
    site
}

/// Sends a stream, and returns it and its upstream once it has begun.
fn begin_stream(site: &Site) -> (thread::JoinHandle<Answer>, String) {
    let address: SocketAddr = site.gateway(0);
    let sender = thread::spawn(move || Request::stream(ID).send(address));
    site.wait_for_run(ID);
    pause_ms(BEGIN_MS);
    let first = site.platform.runs.of(ID)[0].upstream.clone();
    (sender, first)
}

/// Stops the events of the first upstream until another attempt was made, and waits until that one has ended.
fn pause_until_contended(site: &Site, first: &str) {
    let engines = &site.platform.engines;
    let runs = site.platform.runs.of(ID).len();
    engines.set_request_fault(RequestFault::SendsNoEvent);
    engines.set_paused(first, true);
    site.wait_until("another attempt is made", LIMIT_MS, |site| {
        site.platform.runs.of(ID).len() > runs
    });
    engines.set_paused(first, false);
    site.wait_until("the other attempt ends", LIMIT_MS, |site| {
        site.platform.runs.of(ID)[runs].ended_at.is_some()
    });
    engines.set_request_fault(RequestFault::None);
}

/// Checks that a stream is whole.
fn check_whole(sender: thread::JoinHandle<Answer>) {
    let answer = join_all([sender]).remove(0);
    assert_eq!(answer.events(), all_event_ids(answer.events().len() as u64));
    assert_eq!((answer.status, answer.end), (200, End::Whole));
    assert_eq!(answer.events(), all_event_ids(EVENTS));
}

/// Returns the value of a counter of the gateway; 0 if it does not exist.
fn counter(site: &Site, name: &str, label: &str) -> u64 {
    let metrics = site.metrics(0);
    let lines = metrics
        .lines()
        .filter(|line| line.starts_with(name) && line.contains(label));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum::<f64>() as u64
}

/// Guards against streams that are cut although a sound upstream is left: one that was given up only because the
/// silent one went on is not asked again.
#[test]
fn stream_goes_on_at_an_upstream_that_was_given_up_unused() {
    let site = site_of(2);
    let (sender, first) = begin_stream(&site);
    pause_until_contended(&site, &first);
    site.platform.engines.set_fault(&first, EngineFault::Dead);
    check_whole(sender);
}

/// Guards against streams that are cut although sound upstreams are left: attempts that were given up unused count
/// as if they had failed.
#[test]
fn stream_goes_on_after_attempts_that_were_given_up_unused() {
    let site = site_of(4);
    let (sender, first) = begin_stream(&site);
    pause_until_contended(&site, &first);
    pause_until_contended(&site, &first);
    site.platform.engines.set_fault(&first, EngineFault::Dead);
    check_whole(sender);
}

/// Guards against retries in vain: while a stream is silent, each upstream in turn is asked and refuses.
#[test]
fn refusals_beside_a_silent_attempt_are_limited() {
    let site = site_of(8);
    let (sender, first) = begin_stream(&site);
    let engines = &site.platform.engines;
    engines.set_request_fault(RequestFault::Refuses);
    engines.set_paused(&first, true);
    pause_ms(2_000);
    engines.set_paused(&first, false);
    check_whole(sender);
    let refusals = counter(&site, "jacinthpoint_attempts_failed", "not-run")
        + counter(&site, "attempts_failed", "not-run");
    assert!(refusals > 0, "no other attempt was made");
    // Of seven others.
    assert!(refusals <= 3, "{refusals} upstreams refused the request");
}

/// Guards against upstreams that are ejected because of one request: an attempt counts as a failure each time that
/// another one is made beside it, and once more when it fails.
#[test]
fn attempt_counts_as_one_failure_of_its_upstream() {
    let site = scripted_site(|request: &PlainRequest| match request.earlier_runs {
        0 => Reply::sends("").after_ms(LATE_MS).ending(ReplyEnd::Close),
        _ => Reply::sends(sealed(request, "500 Failed", "{}")),
    });
    let request = Request {
        path: "/again/",
        ..Request::stream(ID)
    };
    let answer = request.send(site.gateway(0));
    assert_eq!(answer.status, 500);
    assert_eq!(site.platform.runs.of(ID).len(), 3);
    let ejected = site
        .metrics(0)
        .lines()
        .filter(|line| line.contains("targets_ejected"))
        .count();
    assert_eq!(ejected, 0, "{}", site.metrics(0));
}

/// Guards against streams with parts left out: comments before the first event are dropped while a silent attempt is
/// open.
#[test]
fn comments_are_passed_on_beside_a_silent_attempt() {
    let site = scripted_site(|request: &PlainRequest| match request.earlier_runs {
        0 => Reply::sends(streams::chunked(request, &streams::events(1..=4))).after_ms(2 * LATE_MS),
        _ => Reply::sends(streams::chunked_head(request) + "8\r\n: wait\n\n\r\n").then(
            streams::chunked(request, &streams::events(1..=4))
                .split_off(streams::chunked_head(request).len()),
        ),
    });
    let request = Request {
        path: "/resumed/",
        ..Request::stream(ID)
    };
    let answer = request.send(site.gateway(0));
    assert_eq!((answer.status, answer.end), (200, End::Whole));
    assert_eq!(
        answer.text(),
        ": wait\n\n".to_owned() + &streams::events(1..=4)
    );
}

/// Guards against an answer whose seal belongs to another upstream's: the head of the one whose stream is given up, and
/// the body of the other.
#[test]
fn head_and_body_are_of_one_attempt() {
    fn answer(request: &PlainRequest, seal: &str) -> String {
        streams::chunked_head(request).replace("seal: seal", &format!("seal: {seal}"))
    }
    let site = scripted_site(|request: &PlainRequest| match request.earlier_runs {
        0 => {
            let body = streams::chunked(request, &streams::events(1..=4));
            let body = body
                .strip_prefix(&streams::chunked_head(request))
                .expect("it begins with its head")
                .to_owned();
            Reply::sends(answer(request, "first") + &body).after_ms(LATE_MS)
        }
        _ => Reply::sends(answer(request, "second")),
    });
    let request = Request {
        path: "/resumed/",
        ..Request::stream(ID)
    };
    let answer = request.send(site.gateway(0));
    assert_eq!((answer.status, answer.end), (200, End::Whole));
    assert_eq!(answer.text(), streams::events(1..=4));
    assert_eq!(answer.header("jacinthpoint-server-seal"), Some("first"));
}

/// Number of events of a stream whose events are further apart than the limit from which a group counts as stalled.
const SLOW_EVENTS: u64 = 8;
/// Time between these.
const SLOW_EVENT_MS: u64 = 600;

/// Guards against streams that are cut because no retry is allowed while they are silent.
#[test]
fn slow_stream_is_whole_without_a_retry_budget() {
    let site = Site::start_with_settings(1, "[repeats]\nratio = 0\nslack = 0\n");
    site.platform.engines.set_stream(SLOW_EVENTS, SLOW_EVENT_MS);
    let answer = Request::stream(ID).send(site.gateway(0));
    assert_eq!((answer.status, answer.end), (200, End::Whole));
    assert_eq!(answer.events(), all_event_ids(SLOW_EVENTS));
    assert_eq!(site.platform.runs.of(ID).len(), 1);
}

/// Guards against streams that are cut by a stop while several attempts are open.
#[test]
fn slow_stream_is_whole_if_the_gateway_stops_within_it() {
    let mut site = Site::start(1);
    site.platform.engines.set_stream(SLOW_EVENTS, SLOW_EVENT_MS);
    let address = site.gateway(0);
    let sender = thread::spawn(move || Request::stream(ID).send(address));
    site.wait_for_run(ID);
    pause_ms(BEGIN_MS);
    site.platform
        .engines
        .set_request_fault(RequestFault::SendsNoEvent);
    site.wait_until("another attempt is made", LIMIT_MS, |site| {
        site.platform.runs.of(ID).len() > 1
    });
    site.signal(0, "TERM");
    let answer = join_all([sender]).remove(0);
    assert_eq!((answer.status, answer.end), (200, End::Whole));
    assert_eq!(answer.events(), all_event_ids(SLOW_EVENTS));
    assert!(site.wait_for_end(0, 8_000));
}

/// Guards against attempts in vain beside a stream that only its caller holds up.
#[test]
fn stream_of_a_caller_that_does_not_read_is_not_stalled() {
    const MANY_EVENTS: u64 = 50_000;
    let site = Site::start(1);
    let mut caller = KeptCaller::with_receive_buffer(site.gateway(0), 4_096);
    site.platform.engines.set_stream(MANY_EVENTS, 0);
    let request = Request::stream(ID);
    let text = request.to_text();
    let written = caller.write([text.as_bytes()]).expect("it is connected");
    written.expect("the request can be written");
    pause_ms(5_000);
    let _ = caller.read_answer(2_500);
    assert_eq!(site.platform.runs.of(ID).len(), 1);
    assert_eq!(counter(&site, "jacinthpoint_attempts_failed", ""), 0);
}

/// Guards against streams that are cut although a sound upstream is left and their deadline is seconds away: a retry
/// was spent on an upstream that refused while the stream was silent, and none is allowed for a moment.
#[test]
fn stream_goes_on_once_the_retry_budget_allows_it() {
    let site = Site::start_with_settings(1, "[repeats]\nratio = 0\nslack = 2\nwindow_ms = 1500\n");
    let engines = &site.platform.engines;
    engines.set_stream(EVENTS, EVENT_MS);
    let (sender, first) = begin_stream(&site);
    engines.set_request_fault(RequestFault::Refuses);
    engines.set_paused(&first, true);
    site.wait_until("another attempt is refused", LIMIT_MS, |site| {
        counter(site, "jacinthpoint_attempts_failed", "not-run") > 0
    });
    engines.set_request_fault(RequestFault::None);
    engines.set_paused(&first, false);
    pause_ms(BEGIN_MS);
    engines.set_fault(&first, EngineFault::Dead);
    check_whole(sender);
}
