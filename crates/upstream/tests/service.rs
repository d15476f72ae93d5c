//! An answer of a plain service that is truncated, or cannot be proven complete, must not be passed
//! on as a success. The service may have run the call, so the error must not say that it did not.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use jacinthpoint_types::{AttemptId, RequestId};
use jacinthpoint_upstream::{ServiceAnswer, ServiceCall, StartError, call_service};

const TIMEOUT_MS: u64 = 2_000;

/// Starts a service that sends one answer and closes the connection.
fn start_service(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        let mut request = [0; 4096];
        let _ = stream.read(&mut request)?;
        stream.write_all(answer.as_bytes())?;
        stream.shutdown(std::net::Shutdown::Write)?;
        while stream.read(&mut request)? > 0 {}
        std::io::Result::Ok(())
    });
    address
}

fn call(answer: &'static str) -> Result<ServiceAnswer, StartError> {
    let call = ServiceCall {
        request: RequestId::new(),
        attempt: AttemptId::new(),
        method: "POST",
        path: "/send",
        content_type: "text/plain",
        body: b"an enquiry",
    };
    call_service(start_service(answer), &call, TIMEOUT_MS, TIMEOUT_MS)
}

macro_rules! complete_answer {
    ($($name:ident: $answer:literal => $body:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let answer = call($answer).expect("a complete answer");
                assert_eq!(String::from_utf8_lossy(&answer.body), $body);
            }
        )*
    };
}

macro_rules! incomplete_answer_may_have_run {
    ($($name:ident: $answer:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let error = call($answer).expect_err("the answer is not known to be complete");
                assert!(!error.is_not_run(), "{error}");
            }
        )*
    };
}

complete_answer! {
    answer_with_declared_length_is_complete: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nsent" => "sent";
    chunked_answer_is_complete: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsent\r\n0\r\n\r\n" => "sent";
    answer_after_interim_one_is_complete: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nsent" => "sent";
    chunked_answer_with_trailers_is_complete: "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n2;x=1\r\nse\r\n2\r\nnt\r\n0\r\nx-a: b\r\n\r\n" => "sent";
    answer_with_more_bytes_than_its_length_is_complete: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nsentHTTP/1.1 503 Busy\r\n\r\n" => "sent";
    answer_without_content_is_complete: "HTTP/1.1 204 No Content\r\n\r\n" => "";
}

incomplete_answer_may_have_run! {
    call_answered_with_body_shorter_than_declared_may_have_run: "HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\nsent";
    call_answered_with_truncated_chunk_may_have_run: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n40\r\nsent";
    call_answered_without_last_chunk_may_have_run: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsent\r\n";
    call_answered_with_chunk_size_not_a_number_may_have_run: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nsent\r\n";
    neither_length_nor_chunks: "HTTP/1.1 200 OK\r\n\r\nse";
    call_answered_with_truncated_head_may_have_run: "HTTP/1.1 200 OK\r\ncontent-le";
    call_answered_with_head_cut_after_its_status_may_have_run: "HTTP/1.1 200 OK\r\n";
    call_answered_with_head_without_its_empty_line_may_have_run: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n";
    call_answered_with_head_cut_in_its_empty_line_may_have_run: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r";
    call_answered_with_head_of_line_feeds_without_its_empty_line_may_have_run: "HTTP/1.1 200 OK\ncontent-length: 0\n";
    refusal_with_head_without_its_empty_line_may_have_run: "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n";
    call_answered_with_cut_trailers_may_have_run: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsent\r\n0\r\n";
    call_answered_with_two_lengths_may_have_run: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 2\r\n\r\nsent";
    call_answered_with_length_and_chunks_may_have_run: "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsent\r\n0\r\n\r\n";
    call_answered_with_interim_answer_alone_may_have_run: "HTTP/1.1 100 Continue\r\n\r\n";
    call_answered_without_http_may_have_run: "SSH-2.0-server\r\n";
}

/// Size of a body that does not fit into the buffers of a connection.
const LONG_BODY_BYTES: usize = 64_000_000;

/// What a service does with its connection after an answer that it sent before it read the body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterEarlyAnswer {
    ReadsOnLate,
    Closes,
}

/// Starts a service that answers as soon as it has read the head of a request.
fn start_early_service(after: AfterEarlyAnswer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        let mut request = [0; 4096];
        let _ = stream.read(&mut request)?;
        stream.write_all(b"HTTP/1.1 413 Too Large\r\ncontent-length: 4\r\n\r\nlong")?;
        if after == AfterEarlyAnswer::ReadsOnLate {
            thread::sleep(Duration::from_millis(2 * TIMEOUT_MS));
            while stream.read(&mut request)? > 0 {}
        }
        std::io::Result::Ok(())
    });
    address
}

/// Defines tests of an answer that arrives before the whole body was sent. They guard against an answer
/// that is lost because the rest of the body cannot be sent.
macro_rules! early_answer_is_read {
    ($($name:ident: $after:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let body = vec![b'a'; LONG_BODY_BYTES];
                let call = ServiceCall {
                    request: RequestId::new(),
                    attempt: AttemptId::new(),
                    method: "POST",
                    path: "/send",
                    content_type: "text/plain",
                    body: &body,
                };
                let service = start_early_service(AfterEarlyAnswer::$after);
                let answer = call_service(service, &call, TIMEOUT_MS, TIMEOUT_MS);
                let answer = answer.expect("the answer arrived at once");
                assert_eq!((answer.status, answer.body.as_slice()), (413, &b"long"[..]));
            }
        )*
    };
}

early_answer_is_read! {
    early_answer_of_a_service_that_reads_on_late_is_read: ReadsOnLate;
    early_answer_of_a_service_that_closes_is_read: Closes;
}
