//! Answers whose head is cut or malformed.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
};

use jacinthpoint_platform_standins::{PlainRequest, PlainService, Reply, ReplyEnd};
use serde_json::json;

use crate::gateway::{
    caller::{End, Request},
    faulty_answers::{
        answer, head, scripted_site,
        streams::{broken_stream, events, rest_of_stream},
    },
    pause_ms,
    unreachable_upstreams::partitioned_site,
};

/// Returns the whole head of a success that has a body with this framing.
fn success_head(request: &PlainRequest, framing: &str) -> String {
    let head = head(request, "200 OK");
    format!("{head}{framing}content-type: text/event-stream\r\n\r\n")
}

/// Returns the header of the framing that a request's id names.
fn framing(request: &PlainRequest) -> &'static str {
    match request.attempt_id.rsplit('-').next() {
        Some("length") => "content-length: 0\r\n",
        Some("chunks") => "transfer-encoding: chunked\r\n",
        _ => "",
    }
}

/// Defines tests in which an upstream stops within the head of its answer and closes the connection: name,
/// what it sends of the head.
macro_rules! cut_head {
    ($($name:ident: |$head:ident| $sent:expr,)+) => {
        $(
            #[test]
            fn $name() {
                fn cut($head: &str) -> String {
                    $sent.to_owned()
                }
                let site = scripted_site(|request| match request.earlier_runs {
                    0 if request.attempt_id.starts_with("resumed") => broken_stream(request),
                    2 => rest_of_stream(request),
                    // The last answer on a kept connection is cut.
                    0 if request.attempt_id.starts_with("kept") && request.number == 1 => {
                        Reply::sends(answer(request))
                    }
                    _ => Reply::sends(cut(&success_head(request, framing(request))))
                        .ending(ReplyEnd::Close),
                });
                let address = site.gateway(0);
                let framings = ["length", "chunks", "neither"];
                // These come first, since a target that fails often is ejected.
                for framing in framings {
                    let id = format!("resumed-{framing}");
                    let request = Request { path: "/resumed/", body: &id, ..Request::stream(&id) };
                    let answer = request.send(address);
                    assert_eq!(answer.text(), events(1..=4), "{id}");
                    assert_eq!((answer.status, answer.end), (200, End::Whole), "{id}");
                }
                for (framing, path) in framings.into_iter().flat_map(|framing| [(framing, "/once/"), (framing, "/events/")]) {
                    let id = format!("{path}-{framing}");
                    let request = Request { path, body: &id, ..Request::once(&id) };
                    let answer = request.send(address);
                    assert_eq!((answer.status, answer.end), (502, End::Whole), "{id}");
                    assert_eq!(site.platform.runs.of(&id).len(), 1, "{id}");
                }
                for index in 0..12 {
                    let id = format!("kept-{index}-length");
                    let answer = Request { body: &id, ..Request::once(&id) }.send(address);
                    match answer.status {
                        200 => assert_eq!(answer.text(), PlainService::BODY, "{id}"),
                        status => assert_eq!(status, 502, "{id}"),
                    }
                }
            }
        )+
    };
}

// Guards against broken answers that look whole: an answer whose head is cut is passed on as a whole answer without a
// body. Each request has a body of its own, since one that breaks several connections is in quarantine.
cut_head! {
    head_that_is_cut_in_the_status_line_is_no_answer: |head| &head[..12],
    head_that_is_cut_after_the_status_line_is_no_answer: |head| &head[..17],
    head_that_is_cut_in_a_header_name_is_no_answer: |head| &head[..25],
    head_that_is_cut_in_a_header_value_is_no_answer: |head| &head[..head.len() - 10],
    head_without_the_end_of_its_last_line_is_no_answer: |head| &head[..head.len() - 4],
    head_that_is_cut_in_the_last_line_end_is_no_answer: |head| &head[..head.len() - 3],
    head_without_the_empty_line_is_no_answer: |head| &head[..head.len() - 2],
    head_that_is_cut_in_the_empty_line_is_no_answer: |head| &head[..head.len() - 1],
    head_of_bare_line_feeds_without_the_empty_line_is_no_answer: |head|
        head[..head.len() - 2].replace('\r', ""),
}

/// Returns the answer to a request whose head begins like this. Its body is a whole answer, which a reader that skips
/// the head takes for the upstream's.
fn malformed(request: &PlainRequest, status: &str, line: &str) -> String {
    let body = answer(request);
    let head = head(request, status);
    format!(
        "{head}{line}content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Defines tests in which upstreams send a malformed head: name, status, a line of the head.
macro_rules! malformed_head {
    ($($name:ident: $status:literal, $line:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let site = scripted_site(|request| match request.attempt_id.as_str() {
                    "/resumed/" if request.earlier_runs == 0 => broken_stream(request),
                    "/resumed/" if request.earlier_runs == 2 => rest_of_stream(request),
                    "/again/" if request.earlier_runs == 1 => Reply::sends(answer(request)),
                    _ => Reply::sends(malformed(request, $status, $line)),
                });
                // The first two come first, since a target that fails often is ejected.
                let ends = ["/resumed/", "/again/", "/once/", "/events/"].map(|path| {
                    let request = Request { path, body: path, ..Request::once(path) };
                    let answer = request.send(site.gateway(0));
                    let is_whole = [events(1..=4), PlainService::BODY.to_owned()].contains(&answer.text());
                    (path, answer.status, answer.end, is_whole, site.platform.runs.of(path).len())
                });
                let expected = [
                    ("/resumed/", 200, End::Whole, true, 3),
                    ("/again/", 200, End::Whole, true, 2),
                    ("/once/", 502, End::Whole, false, 1),
                    ("/events/", 502, End::Whole, false, 1),
                ];
                assert_eq!(ends, expected);
            }
        )+
    };
}

// Guards against broken answers that look whole: an answer with a malformed head is passed on, or its body is taken
// for an answer.
malformed_head! {
    status_000_is_no_answer: "000 OK", "";
    status_099_is_no_answer: "099 OK", "";
    status_600_is_no_answer: "600 OK", "";
    status_999_is_no_answer: "999 OK", "";
    status_of_two_digits_is_no_answer: "20 OK", "";
    status_of_four_digits_is_no_answer: "2000 OK", "";
    status_with_a_letter_is_no_answer: "2x0 OK", "";
    name_with_a_blank_is_no_answer: "200 OK", "x fault: 1\r\n";
    name_with_a_tab_is_no_answer: "200 OK", "x\tfault: 1\r\n";
    name_with_a_control_byte_is_no_answer: "200 OK", "x\u{1}fault: 1\r\n";
    name_with_a_nul_is_no_answer: "200 OK", "x\0fault: 1\r\n";
    name_with_a_delete_byte_is_no_answer: "200 OK", "x\u{7f}fault: 1\r\n";
    name_with_a_carriage_return_is_no_answer: "200 OK", "x\rfault: 1\r\n";
    blank_before_the_colon_is_no_answer: "200 OK", "x-fault : 1\r\n";
    tab_before_the_colon_is_no_answer: "200 OK", "x-fault\t: 1\r\n";
    control_byte_before_the_colon_is_no_answer: "200 OK", "x-fault\u{1}: 1\r\n";
    blank_before_the_name_is_no_answer: "200 OK", " x-fault: 1\r\n";
    empty_name_is_no_answer: "200 OK", ": 1\r\n";
    line_without_a_colon_is_no_answer: "200 OK", "x-fault\r\n";
    coding_with_a_blank_before_the_colon_is_no_answer: "200 OK", "transfer-encoding : chunked\r\n";
    coding_with_a_control_byte_is_no_answer: "200 OK", "transfer\u{1}encoding: chunked\r\n";
    length_with_a_blank_before_the_colon_is_no_answer: "200 OK", "content-length : 4\r\n";
    refusal_with_a_blank_in_a_name_is_no_refusal: "503 Busy", "jacinthpoint-not-executed: 1\r\nx fault: 1\r\n";
    refusal_with_status_000_is_no_refusal: "000 Busy", "jacinthpoint-not-executed: 1\r\n";
    refusal_with_status_600_is_no_refusal: "600 Busy", "jacinthpoint-not-executed: 1\r\n";
}

/// Starts a gateway that answers each forwarded request with the next of these answers and closes the
/// connection.
fn start_faulty_gateway(answers: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let mut answers = answers.iter().cycle();
        while let Ok((mut connection, _)) = listener.accept() {
            let mut head = Vec::new();
            let mut byte = [0];
            while !head.ends_with(b"\r\n\r\n") && connection.read(&mut byte).unwrap_or(0) > 0 {
                head.push(byte[0]);
            }
            let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
            if head.contains("gateway-forwarded-by") {
                let mut body = [0; "prompt".len()];
                // An error shows at the caller.
                let _ = connection.read_exact(&mut body);
                let _ = connection.write_all(answers.next().expect("endless").as_bytes());
            }
        }
    });
    address
}

/// Guards against broken answers that look whole: an answer of another gateway whose head is cut or malformed, or that
/// has neither length nor chunks and may be cut, is passed on as whole.
#[test]
fn forwarded_request_whose_answer_is_broken_gets_no_success() {
    const ANSWERS: &[&str] = &[
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\ngateway-forwarded-answer: 1\r\n",
        "HTTP/1.1 200 OK\r\ngateway-forwarded-answer: 1\r\ncontent-le",
        "HTTP/1.1 200 OK\r\ngateway-forwarded-answer: 1\r\ncontent-length: 0\r\n",
        "HTTP/1.1 200 OK\r\ngateway-forwarded-answer: 1\r\ncontent-length: 0\r\n\r",
        "HTTP/1.1 200 OK\ngateway-forwarded-answer: 1\ncontent-length: 0\n",
        "HTTP/1.1 200 OK\r\ngateway-forwarded-answer: 1\r\ntransfer-encoding: chunked\r\n",
        "HTTP/1.1 200 OK\r\ngateway-forwarded-answer: 1\r\n\r\nthe who",
        "HTTP/1.1 200 OK\r\ngateway-forwarded-answer: 1\r\ncontent-length: 40\r\n\r\nthe who",
        "HTTP/1.1 000 OK\r\ngateway-forwarded-answer: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 099 OK\r\ngateway-forwarded-answer: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 600 OK\r\ngateway-forwarded-answer: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ngateway-forwarded-answer: 1\r\nx fault: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ngateway-forwarded-answer: 1\r\nx\u{1}fault: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ngateway-forwarded-answer: 1\r\nx-fault : 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 Busy\r\ngateway-not-taken: 1\r\nx fault: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 000 Busy\r\ngateway-not-taken: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 600 Busy\r\ngateway-not-taken: 1\r\ncontent-length: 0\r\n\r\n",
    ];
    let (mut site, partitioned) = partitioned_site();
    let others: Vec<usize> = (0..3).filter(|index| *index != partitioned).collect();
    others.into_iter().for_each(|index| site.kill(index));
    let address = start_faulty_gateway(ANSWERS);
    let registration = json!({ "data_centre": "dc-9", "address": address.to_string(),
        "core_permille": 1, "link_kbps": 1, "takes_forwarded": true });
    site.platform.store.put("gateways", "faulty", registration);
    pause_ms(3_000);
    for (id, sent) in ANSWERS.iter().enumerate() {
        let request = Request::once(&format!("cut-{id}"));
        let answer = request.send(site.gateway(partitioned));
        assert_eq!((answer.status, answer.end), (502, End::Whole), "{sent:?}");
    }
}
