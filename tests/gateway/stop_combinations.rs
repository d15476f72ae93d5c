//! Planned stops and refusals combined with other events: streams that outlast a phase, callers of
//! HTTP/1.0, pipelined requests, pauses of the process, several signals, and slow uploads.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform_standins::{PlainFault, RequestLimits};

use crate::gateway::{
    CONFIG_APPLY_MS,
    caller::{Answer, Request, join_all},
    kept_caller::{KeptCaller, Outcome},
    kept_connections::{fault, keep_sending},
    pause_ms,
    site::{KEY, ROUTE_TIMEOUT_MS, Site},
};

/// Time within which a gateway ends after SIGTERM.
const GRACE_MS: u64 = 8_000;
/// Time after SIGTERM at which answers say that their connection closes, while requests are still served.
const CLOSING_FOR_MS: u64 = 1_900;
/// Time after SIGTERM from which new requests are refused, and some time for the gateway to do so.
const REFUSED_FROM_MS: u64 = 2_600 + 300;

/// Guards against cut answers that look whole: a stream that is cut at the end of the grace time looks whole to a caller of
/// HTTP/1.0, to which only the end of the connection marks the end.
#[test]
fn stream_that_outlasts_the_grace_time_does_not_look_whole_to_an_old_caller() {
    let mut site = Site::start(1);
    site.put_config_with(&[KEY], 30_000, RequestLimits::default());
    pause_ms(CONFIG_APPLY_MS);
    site.platform.engines.set_stream(200, 100);
    let request = Request {
        deadline_ms: 30_000,
        ..Request::stream("old")
    };
    let text = request.to_text().replacen("HTTP/1.1", "HTTP/1.0", 1);
    let mut stream = TcpStream::connect(site.gateway(0)).expect("it is accepted");
    stream.write_all(text.as_bytes()).expect("it is written");
    site.wait_for_run("old");
    site.signal(0, "TERM");
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received);
    let events = String::from_utf8_lossy(&received).matches("id:").count();
    assert!(site.wait_for_end(0, GRACE_MS), "it ends in time");
    assert!((1..200).contains(&events), "{events} events");
    assert!(read.is_err(), "{events} of 200 events look whole");
}

/// Guards against lost answers: a caller that was not told that its connection closes sends its next request
/// right after the end of a stream, and gets no answer.
#[test]
fn request_after_a_stream_that_outlasts_the_announcement_is_answered() {
    const CALLERS: usize = 8;
    let site = Site::start(1);
    site.platform.engines.set_stream(40, 100);
    let callers = (0..CALLERS).map(|index| {
        let mut caller = KeptCaller::new(site.gateway(0));
        thread::spawn(move || {
            let stream = caller.send(&Request::stream(&format!("long-{index}")));
            let is_told = stream.whole().announces_close();
            let next = (!is_told).then(|| caller.send(&Request::once(&format!("next-{index}"))));
            next.map(|outcome| (format!("next-{index}"), outcome))
        })
    });
    let callers: Vec<_> = callers.collect();
    for index in 0..CALLERS {
        site.wait_for_run(&format!("long-{index}"));
    }
    site.signal(0, "TERM");
    let outcomes = join_all(callers).into_iter().flatten();
    let faults = outcomes.filter_map(|(id, outcome)| fault(&site, &id, &outcome));
    let faults: Vec<_> = faults.collect();
    assert!(faults.is_empty(), "{faults:?}");
}

/// Number of stops of which one has to come at the right time.
const MAX_STOPS: usize = 5;

/// Stops a gateway, and sends it requests together with the beginning of one more head in one write, whose rest
/// follows when idle connections end. Returns the answer to it, or `None` if an answer before it said already that
/// the connection closes.
fn send_head_begun_with_others(others: usize) -> Option<Answer> {
    let site = Site::start(1);
    let mut caller = KeptCaller::new(site.gateway(0));
    assert_eq!(caller.send(&Request::once("first")).whole().status, 200);
    let mut together = Vec::new();
    for index in 0..others {
        together.extend(
            Request::once(&format!("next-{index}"))
                .to_text()
                .into_bytes(),
        );
    }
    let last = Request::once("last").to_text();
    let (begin, rest) = last.split_at(60);
    together.extend(begin.as_bytes());
    site.signal(0, "TERM");
    let stopped_at = Instant::now();
    pause_ms(1_300);
    let written = caller.write([together.as_slice()]);
    written.expect("it is connected").expect("it is written");
    for _ in 0..others {
        if caller
            .read_answer(ROUTE_TIMEOUT_MS)
            .whole()
            .announces_close()
        {
            return None;
        }
    }
    thread::sleep(Duration::from_millis(2_400).saturating_sub(stopped_at.elapsed()));
    let written = caller.write([rest.as_bytes()]);
    written.expect("it is connected").expect("it is written");
    Some(caller.read_answer(ROUTE_TIMEOUT_MS).whole())
}

/// Defines tests of a head that begins behind other requests: name, number of these.
macro_rules! head_begun_tests {
    ($($name:ident, $others:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let mut answers = (0..MAX_STOPS).map(|_| send_head_begun_with_others($others));
                let answer = answers.find_map(|answer| answer);
                let answer = answer.expect("the answers come before the announcement");
                assert!([200, 503].contains(&answer.status), "{}", answer.status);
            }
        )+
    };
}

// Guards against a connection that ends as idle, although a part of the next head has been read together
// with the requests before it.
head_begun_tests! {
    head_that_was_read_with_the_request_before_it_is_awaited_at_a_stop, 1;
    head_that_was_read_with_two_requests_before_it_is_awaited_at_a_stop, 2;
}

/// Callers that keep sending to a gateway while `disturb` stops it. Each request must be answered.
fn assert_answered_across(mut site: Site, callers: usize, disturb: impl FnOnce(&mut Site)) {
    let is_over = Arc::new(AtomicBool::new(false));
    let senders = (0..callers).map(|caller| {
        let (address, is_over) = (site.gateway(0), is_over.clone());
        thread::spawn(move || keep_sending(address, &format!("caller-{caller}"), &is_over))
    });
    let senders: Vec<_> = senders.collect();
    disturb(&mut site);
    assert!(site.wait_for_end(0, GRACE_MS), "it ends in time");
    is_over.store(true, Ordering::SeqCst);
    let outcomes: Vec<_> = join_all(senders).into_iter().flatten().collect();
    let faults = outcomes.iter();
    let faults = faults.filter_map(|(id, outcome)| Some((id, fault(&site, id, outcome)?)));
    let faults: Vec<_> = faults.collect();
    assert!(faults.is_empty(), "of {}: {faults:?}", outcomes.len());
}

/// Guards against lost answers: after a pause of the process, the phases of a stop follow each other at once,
/// and requests that arrived meanwhile end without an answer.
#[test]
fn pause_within_a_stop_leaves_no_request_unanswered() {
    assert_answered_across(Site::start(1), 16, |site| {
        pause_ms(500);
        site.signal(0, "TERM");
        pause_ms(1_000);
        site.signal(0, "STOP");
        pause_ms(2_500);
        site.signal(0, "CONT");
    });
}

/// Guards against lost answers at a stop of a gateway that has just started, and at further signals.
#[test]
fn signals_right_after_the_start_leave_no_request_unanswered() {
    let mut site = Site::start(1);
    site.kill(0);
    assert_answered_across(site, 16, |site| {
        site.restart(0);
        site.wait_until("it accepts connections", 5_000, |site| {
            TcpStream::connect(site.gateway(0)).is_ok()
        });
        for signal in ["TERM", "HUP", "TERM", "INT"] {
            site.signal(0, signal);
            pause_ms(50);
        }
    });
}

/// Sends a request whose body takes `upload_ms`, which is refused by its head, and checks that the caller
/// can write it to its end and gets the refusal.
fn assert_slow_upload_is_refused(site: &Site, upload_ms: u64, request: &Request<'_>, status: u16) {
    const PAUSE_MS: u64 = 10;
    let text = request.to_text();
    let part_bytes = text.len().div_ceil((upload_ms / PAUSE_MS) as usize);
    let mut caller = KeptCaller::new(site.gateway(0));
    let parts = text.as_bytes().chunks(part_bytes);
    let written = caller.write(parts.inspect(|_| pause_ms(PAUSE_MS)));
    let written = written.expect("it is connected");
    assert!(written.is_ok(), "{written:?}");
    let answer = caller.read_answer(request.timeout_ms).whole();
    assert_eq!(answer.status, status);
    assert!(site.platform.runs.of(&request.id).is_empty());
}

/// Guards against a refusal whose connection is reset after a fixed time, while its caller still writes.
#[test]
fn refusal_reaches_a_caller_that_writes_for_two_seconds() {
    let body = "b".repeat(200_000);
    let site = Site::start(1);
    let request = Request {
        key: "no-such-key",
        body: &body,
        ..Request::once("refused")
    };
    assert_slow_upload_is_refused(&site, 2_000, &request, 401);
}

/// The same during a stop, where the time is shorter.
#[test]
fn refusal_of_a_stop_reaches_a_caller_that_writes_for_half_a_second() {
    let body = "b".repeat(200_000);
    let site = Site::start(1);
    site.platform
        .plain
        .set_fault(PlainFault::Slow(REFUSED_FROM_MS + 2_000));
    let mut working = KeptCaller::new(site.gateway(0));
    let working = thread::spawn(move || working.send(&Request::once("working")));
    site.wait_for_run("working");
    site.signal(0, "TERM");
    pause_ms(REFUSED_FROM_MS);
    let request = Request {
        body: &body,
        ..Request::once("refused")
    };
    assert_slow_upload_is_refused(&site, 500, &request, 503);
    let answer = working.join().expect("the caller does not panic").whole();
    assert_eq!(answer.status, 200);
}

/// Guards against lost answers: the idle time begins when an answer has been written, although its caller still
/// reads it, so that the request right after it finds the connection closed.
#[test]
fn idle_time_begins_when_a_slow_reader_has_read_its_answer() {
    const BODY_BYTES: usize = 1_000_000;
    let site = Site::start(1);
    let limits = RequestLimits {
        idle_timeout_ms: 2_000,
        ..RequestLimits::default()
    };
    site.put_config_with(&[KEY], ROUTE_TIMEOUT_MS, limits);
    pause_ms(CONFIG_APPLY_MS);
    site.platform.plain.set_body("b".repeat(BODY_BYTES));
    let mut caller = KeptCaller::with_receive_buffer(site.gateway(0), 64 * 1_024);
    let text = Request::once("slow").to_text();
    let written = caller.write([text.as_bytes()]).expect("it is connected");
    written.expect("the request can be written");
    pause_ms(4_000);
    let answer = caller.read_answer(ROUTE_TIMEOUT_MS).whole();
    assert_eq!((answer.status, answer.text().len()), (200, BODY_BYTES));
    assert!(!answer.announces_close());
    assert_eq!(caller.send(&Request::once("next")).whole().status, 200);
}

/// Returns a request of a caller of HTTP/1.0 that keeps its connection.
fn old_request(id: &str) -> String {
    let version = "HTTP/1.0\r\nConnection: keep-alive\r\n";
    Request::once(id)
        .to_text()
        .replacen("HTTP/1.1\r\n", version, 1)
}

/// Guards against an answer that tells a caller of HTTP/1.0 that its connection closes, and that it stays
/// open.
#[test]
fn last_answer_to_an_old_caller_announces_only_the_close() {
    let site = Site::start(1);
    let mut caller = KeptCaller::new(site.gateway(0));
    let statements = ["before", "closing"].map(|id| {
        let written = caller.write([old_request(id).as_bytes()]);
        written.expect("it is connected").expect("it is written");
        let answer = caller.read_answer(ROUTE_TIMEOUT_MS).whole();
        if id == "before" {
            site.signal(0, "TERM");
            pause_ms(CLOSING_FOR_MS);
        }
        answer.header("connection").map(str::to_owned)
    });
    let expected = ["keep-alive", "close"].map(|option| Some(option.to_owned()));
    assert_eq!(statements, expected);
}

/// Guards against lost answers: kept connections of HTTP/1.0 that end without an answer at a stop.
#[test]
fn old_callers_that_keep_their_connections_are_answered_across_a_stop() {
    let mut site = Site::start(1);
    let is_over = Arc::new(AtomicBool::new(false));
    let senders = (0..16).map(|caller| {
        let (address, is_over) = (site.gateway(0), is_over.clone());
        thread::spawn(move || {
            let mut kept = KeptCaller::new(address);
            let mut outcomes = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("old-{caller}-{}", outcomes.len());
                if kept.write([old_request(&id).as_bytes()]).is_none() {
                    pause_ms(20);
                    continue;
                }
                let outcome = kept.read_answer(ROUTE_TIMEOUT_MS);
                if let Outcome::Whole(answer) = &outcome
                    && let Some(options) = answer.header("connection")
                    && options.split(',').any(|option| option.trim() == "close")
                {
                    kept = KeptCaller::new(address);
                }
                outcomes.push((id, outcome));
                pause_ms(3);
            }
            outcomes
        })
    });
    let senders: Vec<_> = senders.collect();
    pause_ms(500);
    site.signal(0, "TERM");
    assert!(site.wait_for_end(0, GRACE_MS), "it ends in time");
    is_over.store(true, Ordering::SeqCst);
    let outcomes: Vec<_> = join_all(senders).into_iter().flatten().collect();
    let faults = outcomes.iter();
    let faults = faults.filter_map(|(id, outcome)| fault(&site, id, outcome));
    let faults: Vec<_> = faults.collect();
    let (count, requests) = (faults.len(), outcomes.len());
    assert!(count == 0, "{count} of {requests}: {:?}", &faults[0]);
}
