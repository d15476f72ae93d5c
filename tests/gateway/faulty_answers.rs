//! Answers of faulty upstreams: earlier refusals on kept connections, streams that do not go on where they
//! broke off, and heads that are cut.

use std::time::{Duration, Instant};

use jacinthpoint_platform_standins::{PlainRequest, PlainService, Reply, Script};

use crate::gateway::{
    caller::{End, Request},
    pause_ms,
    site::Site,
};

mod early;
mod heads;
mod store;
pub(super) mod streams;

/// Time in which gateways learn of a registration.
const REGISTRATION_MS: u64 = 500;

/// Returns a site with one gateway and several instances of the plain service that follow a script.
pub(super) fn scripted_site(script: Script) -> Site {
    let site = Site::start(1);
    site.platform.plain.set_script(script);
    site.platform.plain.register_all();
    pause_ms(REGISTRATION_MS);
    site
}

/// Returns the start of a sealed answer's head.
pub(super) fn head(request: &PlainRequest, status: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\njacinthpoint-attempt-id: {}\r\njacinthpoint-server-seal: seal\r\n",
        request.attempt_id
    )
}

pub(super) fn sealed(request: &PlainRequest, status: &str, body: &str) -> String {
    let head = head(request, status);
    format!("{head}content-length: {}\r\n\r\n{body}", body.len())
}

pub(super) fn answer(request: &PlainRequest) -> String {
    sealed(request, "200 OK", PlainService::BODY)
}

/// Defines tests in which an upstream writes an earlier answer, without an id, before the answer to each
/// request but the first on a connection: name, earlier answer.
macro_rules! earlier_answer {
    ($($name:ident: $earlier:literal,)+) => {
        $(
            #[test]
            fn $name() {
                let site = scripted_site(|request| {
                    let answer = answer(request);
                    match request.number {
                        1 => Reply::sends(answer),
                        // The answer arrives with the earlier one, or later.
                        _ if request.attempt_id.ends_with('0') => {
                            Reply::sends($earlier.to_owned() + &answer)
                        }
                        _ => Reply::sends($earlier).then(answer),
                    }
                });
                let mut unknown = 0;
                for index in 0..20 {
                    let id = format!("after-{index}");
                    let answer = Request::once(&id).send(site.gateway(0));
                    assert_eq!(site.platform.runs.of(&id).len(), 1, "{id} {}", answer.status);
                    match answer.status {
                        200 => assert_eq!(answer.header("jacinthpoint-attempt-id"), Some(id.as_str())),
                        status => assert_eq!(status, 502, "{id} has run, and its answer is unknown"),
                    }
                    unknown += u32::from(answer.status == 502);
                }
                assert!(unknown > 0, "no connection was used twice");
            }
        )+
    };
}

// Guards against false refusals and second runs: an earlier answer on a kept connection is taken for the
// answer to a request that runs.
earlier_answer! {
    earlier_refusal_is_not_taken_for_the_answer:
        "HTTP/1.1 503 Busy\r\njacinthpoint-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
    earlier_429_is_not_taken_for_the_answer:
        "HTTP/1.1 429 Limited\r\njacinthpoint-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
    earlier_421_is_not_taken_for_the_answer:
        "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n",
    earlier_408_is_not_taken_for_the_answer:
        "HTTP/1.1 408 Timeout\r\ncontent-length: 0\r\n\r\n",
    earlier_404_is_not_taken_for_the_answer:
        "HTTP/1.1 404 Absent\r\ncontent-length: 0\r\n\r\n",
    earlier_refusal_with_an_unreadable_id_is_not_taken_for_the_answer:
        "HTTP/1.1 503 Busy\r\njacinthpoint-not-executed: 1\r\njacinthpoint-attempt-id: \u{e4}\r\n\
         content-length: 0\r\n\r\n",
    earlier_refusal_with_its_id_is_not_taken_for_the_answer:
        "HTTP/1.1 503 Busy\r\njacinthpoint-not-executed: 1\r\njacinthpoint-attempt-id: earlier\r\n\
         content-length: 0\r\n\r\n",
}

/// Guards against false refusals: a connection is used again after a refusal without an id, and the rest of
/// what its upstream writes there is taken for later answers.
#[test]
fn connection_of_a_refusal_without_an_id_is_not_used_again() {
    let site = scripted_site(|request| match request.number {
        1 => Reply::sends(
            "HTTP/1.1 503 Busy\r\njacinthpoint-not-executed: 1\r\ncontent-length: 0\r\n\r\n",
        )
        .without_run(),
        _ => Reply::sends(answer(request)),
    });
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(4) {
        let request = Request {
            path: "/again/",
            ..Request::once("refused")
        };
        assert_eq!(request.send(site.gateway(0)).status, 503);
        pause_ms(100);
    }
    let arrivals = site.platform.plain.arrivals().len();
    assert!(
        arrivals > 6,
        "{arrivals} arrivals are too few to use a connection again"
    );
}

/// Defines tests in which upstreams run a request and answer it with a status that promises the caller that
/// it has not run: name, status.
macro_rules! false_promise {
    ($($name:ident: $status:literal,)+) => {
        $(
            #[test]
            fn $name() {
                let site = scripted_site(|request| {
                    if request.attempt_id == "repeated" && request.earlier_runs > 0 {
                        Reply::sends(answer(request))
                    } else {
                        Reply::sends(sealed(request, $status, "{}"))
                    }
                });
                for path in ["/once/", "/events/"] {
                    let request = Request { path, ..Request::once(path) };
                    let answer = request.send(site.gateway(0));
                    assert_eq!((answer.status, answer.end), (502, End::Whole), "{path}");
                    assert_eq!(answer.header("jacinthpoint-server-seal"), None, "{path}");
                    assert_eq!(site.platform.runs.of(path).len(), 1, "{path}");
                }
                let repeated = Request { path: "/again/", ..Request::once("repeated") };
                assert_eq!(repeated.send(site.gateway(0)).status, 200);
                assert_eq!(site.platform.runs.of("repeated").len(), 2);
            }
        )+
    };
}

// Guards against false refusals: the status of an upstream that ran the request is passed on, although it
// promises that the request has not run.
false_promise! {
    status_503_of_an_upstream_that_ran_the_request_is_not_passed_on: "503 Unavailable",
    status_429_of_an_upstream_that_ran_the_request_is_not_passed_on: "429 Limited",
    status_408_of_an_upstream_that_ran_the_request_is_not_passed_on: "408 Timeout",
}
