//! Answers to the rest of a stream that broke off.

use std::{
    io::{Read, Write},
    net::TcpStream,
    ops::RangeInclusive,
};

use jacinthpoint_platform_standins::{PlainRequest, Reply, ReplyEnd};

use crate::gateway::{
    caller::{Answer, End, Request},
    faulty_answers::{head, scripted_site, sealed},
    site::KEY,
};

/// Returns the events with these ids.
pub(in crate::gateway) fn events(ids: RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: token-{id}\n\n"))
        .collect()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the head of a stream in chunks.
pub(in crate::gateway) fn chunked_head(request: &PlainRequest) -> String {
    let head = head(request, "200 OK");
    format!("{head}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// Returns a whole stream in chunks.
pub(in crate::gateway) fn chunked(request: &PlainRequest, text: &str) -> String {
    format!("{}{}0\r\n\r\n", chunked_head(request), chunk(text))
}

/// Returns the start of a stream that breaks off within its third event.
pub(super) fn broken_stream(request: &PlainRequest) -> Reply {
    Reply::sends(chunked_head(request) + &chunk(&events(1..=2)))
        .then(chunk("id: 3\ndata: to"))
        .ending(ReplyEnd::Close)
}

/// Returns the rest of the stream after the event that the request names.
pub(super) fn rest_of_stream(request: &PlainRequest) -> Reply {
    let next = request.last_event_id.unwrap_or(0) + 1;
    Reply::sends(chunked(request, &events(next..=4)))
}

/// Returns the body of a stream without the lines that are no events.
fn without_comments(answer: &Answer) -> String {
    let text = answer.text();
    text.replace(": wait\n\n", "").replace("retry: 9\n\n", "")
}

/// Id of a request whose stream can be resumed nowhere.
const LOST: &str = "lost";

/// Defines tests of a stream that breaks off after two events, and whose second upstream replies
/// something that does not go on with it: name, reply. The third upstream goes on, or fails like the second.
macro_rules! no_continuation {
    ($($name:ident: |$request:ident| $reply:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let site = scripted_site(|$request| match $request.earlier_runs {
                    0 => broken_stream($request),
                    runs if runs == 1 || $request.attempt_id == LOST => $reply,
                    _ => rest_of_stream($request),
                });
                let request = Request { path: "/resumed/", ..Request::stream("resumed") };
                let answer = request.send(site.gateway(0));
                assert_eq!(without_comments(&answer), events(1..=4));
                assert_eq!((answer.status, answer.end), (200, End::Whole));
                let request = Request { path: "/resumed/", body: LOST, ..Request::stream(LOST) };
                let answer = request.send(site.gateway(0));
                assert_eq!(without_comments(&answer), events(1..=2));
                assert_eq!((answer.status, answer.end), (200, End::Broken));
            }
        )+
    };
}

// Guards against broken answers that look whole: what another upstream answers to the rest of a stream is passed on
// as its events, or as its end, although it does not go on after the last event.
no_continuation! {
    error_is_no_rest_of_a_stream: |request|
        Reply::sends(sealed(request, "500 Failed", "id: 3\ndata: failed\n\n")),
    error_that_is_unsealed_is_no_rest_of_a_stream: |request|
        Reply::sends("HTTP/1.1 500 Failed\r\ncontent-length: 6\r\n\r\nfailed"),
    answer_without_content_is_no_rest_of_a_stream: |request|
        Reply::sends(head(request, "204 No Content") + "\r\n"),
    json_is_no_rest_of_a_stream: |request| {
        let body = "{\"error\":\"failed\"}\n\nid: 3\ndata: failed\n\n";
        let head = head(request, "200 OK");
        let length = body.len();
        Reply::sends(format!(
            "{head}content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
        ))
    },
    page_without_a_content_type_is_no_rest_of_a_stream: |request|
        Reply::sends(sealed(request, "200 OK", "<h1>failed</h1>\n\n")),
    nothing_without_a_content_type_is_no_rest_of_a_stream: |request|
        Reply::sends(sealed(request, "200 OK", "")),
    head_of_an_error_is_no_rest_of_a_stream: |request|
        Reply::sends(chunked(request, "HTTP/1.1 500 Failed\r\ncontent-length: 6\r\n\r\nfailed\n\n")),
    event_without_an_id_is_no_rest_of_a_stream: |request|
        Reply::sends(chunked(request, "data: failed\n\n")),
    stream_from_the_start_is_no_rest_of_a_stream: |request|
        Reply::sends(chunked(request, &events(1..=4))),
    repeated_event_is_no_rest_of_a_stream: |request|
        Reply::sends(chunked(request, &events(2..=4))),
    unframed_answer_without_events_is_no_rest_of_a_stream: |request| {
        let head = head(request, "200 OK");
        Reply::sends(format!("{head}content-type: text/event-stream\r\n\r\n"))
            .ending(ReplyEnd::Close)
    },
    unchunked_coding_without_events_is_no_rest_of_a_stream: |request| {
        let head = head(request, "200 OK");
        Reply::sends(format!(
            "{head}content-type: text/event-stream\r\ntransfer-encoding: identity\r\n\r\n"
        ))
        .ending(ReplyEnd::Close)
    },
    unframed_answer_with_a_comment_is_no_rest_of_a_stream: |request| {
        let head = head(request, "200 OK");
        Reply::sends(format!("{head}content-type: text/event-stream\r\n\r\n: wait\n\n"))
            .ending(ReplyEnd::Close)
    },
    length_shorter_than_the_event_is_no_rest_of_a_stream: |request| {
        let (head, body) = (head(request, "200 OK"), events(3..=4));
        Reply::sends(format!(
            "{head}content-type: text/event-stream\r\ncontent-length: 8\r\n\r\n{body}"
        ))
    },
}

/// Defines tests of a stream that breaks off after two events, and that the second upstream completes:
/// name, reply.
macro_rules! continuation {
    ($($name:ident: |$request:ident| $reply:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let site = scripted_site(|$request| match $request.earlier_runs {
                    0 => broken_stream($request),
                    1 => $reply,
                    _ => rest_of_stream($request),
                });
                let request = Request { path: "/resumed/", ..Request::stream("resumed") };
                let answer = request.send(site.gateway(0));
                assert_eq!(without_comments(&answer), events(1..=4));
                assert_eq!((answer.status, answer.end), (200, End::Whole));
            }
        )+
    };
}

// Guards against streams that are cut, or whose events are mixed with bytes that are none, although another
// upstream goes on with them.
continuation! {
    stream_in_chunks_goes_on: |request| rest_of_stream(request),
    stream_that_goes_on_with_a_comment_is_whole: |request|
        Reply::sends(chunked(request, &(": wait\n\nretry: 9\n\n".to_owned() + &events(3..=4)))),
    unframed_stream_goes_on: |request| {
        let (head, body) = (head(request, "200 OK"), events(3..=4));
        Reply::sends(format!("{head}content-type: text/event-stream\r\n\r\n{body}"))
            .ending(ReplyEnd::Close)
    },
    stream_with_trailers_goes_on: |request| {
        let (head, body) = (chunked_head(request), chunk(&events(3..=4)));
        Reply::sends(format!("{head}{body}0\r\nid: 9\r\nx-error: failed\r\n\r\n"))
    },
    // The third upstream goes on after the event that the second one cut.
    stream_that_breaks_off_twice_goes_on: |request|
        Reply::sends(chunked_head(request) + &chunk(&events(3..=3)) + "40\r\nid: 4\nda")
            .ending(ReplyEnd::Close),
    unframed_stream_that_is_reset_goes_on: |request| {
        let (head, body) = (head(request, "200 OK"), events(3..=3));
        Reply::sends(format!("{head}content-type: text/event-stream\r\n\r\n{body}id: 4"))
            .ending(ReplyEnd::Reset)
    },
}

/// Guards against events out of order: events come twice, since a stream is resumed from its start although the caller
/// has events of it that have no id.
#[test]
fn stream_of_events_without_ids_is_not_resumed() {
    let site = scripted_site(|request| {
        let text = "data: first\n\ndata: second\n\n";
        match request.earlier_runs {
            0 => Reply::sends(chunked_head(request) + &chunk(text)).ending(ReplyEnd::Close),
            _ => Reply::sends(chunked(request, text)),
        }
    });
    let request = Request {
        path: "/resumed/",
        ..Request::stream("unnumbered")
    };
    let answer = request.send(site.gateway(0));
    assert_eq!(answer.text(), "data: first\n\ndata: second\n\n");
    assert_eq!((answer.status, answer.end), (200, End::Broken));
}

/// Guards against broken answers that look whole: a body of another form is split like a stream, and events of another
/// upstream follow its first part.
#[test]
fn answer_of_another_form_on_a_stream_route_is_never_joined() {
    let site = scripted_site(|request| match request.earlier_runs {
        0 => {
            let head = head(request, "200 OK");
            Reply::sends(format!(
                "{head}content-type: application/json\r\ncontent-length: 99\r\n\r\n{{\n\n\"id\": 1"
            ))
            .ending(ReplyEnd::Close)
        }
        _ => rest_of_stream(request),
    });
    let request = Request {
        path: "/resumed/",
        ..Request::stream("json")
    };
    let answer = request.send(site.gateway(0));
    assert_eq!(answer.text(), events(1..=4));
    assert_eq!((answer.status, answer.end), (200, End::Whole));
}

/// Guards against events out of order: a caller that resumes a stream itself gets it from the start.
#[test]
fn stream_that_its_caller_resumes_goes_on_after_its_last_event() {
    let site = scripted_site(|request| match request.earlier_runs {
        0 => Reply::sends(chunked(request, &events(1..=4))),
        _ => rest_of_stream(request),
    });
    let mut connection = TcpStream::connect(site.gateway(0)).expect("the gateway accepts callers");
    let request = format!(
        "POST /resumed/ HTTP/1.1\r\nHost: model.example\r\nConnection: close\r\nApi-Key: {KEY}\r\n\
         Jacinthpoint-Attempt-Id: own\r\nLast-Event-Id: 2\r\nContent-Length: 0\r\n\r\n"
    );
    connection
        .write_all(request.as_bytes())
        .expect("the gateway reads requests");
    let mut answer = String::new();
    connection
        .read_to_string(&mut answer)
        .expect("the gateway answers");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("\r\n0\r\n\r\n"), "it is whole: {answer}");
    let ids = answer.lines().filter_map(|line| line.strip_prefix("id: "));
    assert_eq!(ids.collect::<Vec<_>>(), ["3", "4"]);
}
