//! An answer of a plain service that is truncated, or cannot be proven complete, must not be passed
//! on as a success. The service may have run the call, so the error must not say that it did not.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
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

/// Starts a service that answers a request from its head, then calls `end` with the connection, whose body
/// lies unread.
fn start_early_service(
    answer: &'static str,
    end: impl FnOnce(TcpStream) + Send + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        let _ = stream.read(&mut [0; 64])?;
        stream.write_all(answer.as_bytes())?;
        end(stream);
        std::io::Result::Ok(())
    });
    address
}

fn call(answer: &'static str) -> Result<ServiceAnswer, StartError> {
    call_with_body(start_service(answer), b"an enquiry")
}

fn call_with_body(address: SocketAddr, body: &[u8]) -> Result<ServiceAnswer, StartError> {
    let call = ServiceCall {
        request: RequestId::new(),
        attempt: AttemptId::new(),
        method: "POST",
        path: "/send",
        content_type: "text/plain",
        body,
    };
    call_service(address, &call, TIMEOUT_MS, TIMEOUT_MS)
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
    call_answered_with_status_000_may_have_run: "HTTP/1.1 000 OK\r\ncontent-length: 42\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_status_099_may_have_run: "HTTP/1.1 099 OK\r\ncontent-length: 42\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_status_600_may_have_run: "HTTP/1.1 600 OK\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_status_999_may_have_run: "HTTP/1.1 999 OK\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_another_protocol_may_have_run: "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_status_of_two_digits_may_have_run: "HTTP/1.1 20 OK\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_blank_in_a_name_may_have_run: "HTTP/1.1 200 OK\r\nx fault: 1\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_tab_in_a_name_may_have_run: "HTTP/1.1 200 OK\r\nx\tfault: 1\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_control_byte_in_a_name_may_have_run: "HTTP/1.1 200 OK\r\nx\u{1}fault: 1\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_nul_in_a_name_may_have_run: "HTTP/1.1 200 OK\r\nx\0fault: 1\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_blank_before_a_colon_may_have_run: "HTTP/1.1 200 OK\r\nx-fault : 1\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_tab_before_a_colon_may_have_run: "HTTP/1.1 200 OK\r\nx-fault\t: 1\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_control_byte_before_a_colon_may_have_run: "HTTP/1.1 200 OK\r\nx-fault\u{1}: 1\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_blank_before_a_name_may_have_run: "HTTP/1.1 200 OK\r\nx-fault: 1\r\n x-folded: 1\r\ncontent-length: 4\r\n\r\nsent";
    call_answered_with_blank_before_the_colon_of_a_coding_may_have_run: "HTTP/1.1 200 OK\r\ntransfer-encoding : chunked\r\n\r\n4\r\nsent\r\n0\r\n\r\n";
    call_answered_with_status_000_before_a_refusal_may_have_run: "HTTP/1.1 000 OK\r\ncontent-length: 43\r\n\r\nHTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
    refusal_with_blank_in_a_name_may_have_run: "HTTP/1.1 503 Busy\r\nx fault: 1\r\ncontent-length: 0\r\n\r\n";
}

/// Body that fits no socket buffer.
const LARGE_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Pauses, then reads the rest of a request and answers it.
fn read_slowly(mut stream: TcpStream) {
    thread::sleep(Duration::from_millis(TIMEOUT_MS / 4));
    let mut left = LARGE_BODY_BYTES;
    let mut buffer = vec![0; 64 * 1024];
    while left > 0 {
        left = left.saturating_sub(stream.read(&mut buffer).expect("the body"));
    }
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(answer).expect("the answer is sent");
}

/// Reads some of a request, and closes the socket. Its unread bytes reset the connection.
fn reset(mut stream: TcpStream) {
    let mut part = vec![0; 256 * 1024];
    stream.read_exact(&mut part).expect("a part of the body");
}

/// Answers to a request whose body the service does not read whole.
macro_rules! early_answer {
    ($($name:ident: $answer:literal, $end:expr => $check:expr;)*) => {
        $(
            /// Guards against an answer that lies in the socket and is lost, because the rest of the
            /// request could not be written.
            #[test]
            fn $name() {
                let started = Instant::now();
                let address = start_early_service($answer, $end);
                let answer = call_with_body(address, &vec![b'a'; LARGE_BODY_BYTES]);
                let check: fn(&Result<ServiceAnswer, StartError>) -> bool = $check;
                assert!(check(&answer), "{answer:?}");
                let elapsed = started.elapsed();
                assert!(elapsed < Duration::from_millis(TIMEOUT_MS), "{elapsed:?}");
            }
        )*
    };
}

early_answer! {
    refusal_before_the_body_of_a_service_that_closes: "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n", drop
        => |answer| matches!(answer, Err(StartError::Refused { status: 503, .. }));
    answer_before_the_body_of_a_service_that_closes: "HTTP/1.1 413 Large\r\ncontent-length: 4\r\n\r\nlong", drop
        => |answer| matches!(answer, Ok(ServiceAnswer { status: 413, body, .. }) if body == b"long");
    answer_before_the_body_of_a_service_that_waits: "HTTP/1.1 413 Large\r\ncontent-length: 4\r\n\r\nlong",
        |stream| { thread::sleep(Duration::from_millis(3 * TIMEOUT_MS)); drop(stream); }
        => |answer| matches!(answer, Ok(ServiceAnswer { status: 413, body, .. }) if body == b"long");
    answer_after_an_interim_one_beside_a_slow_read: "HTTP/1.1 102 Processing\r\n\r\n", read_slowly
        => |answer| matches!(answer, Ok(ServiceAnswer { status: 200, .. }));
    end_before_the_body_of_a_service_that_closes: "", drop
        => |answer| matches!(answer, Err(StartError::NoAnswer { .. }));
    part_of_a_body_before_the_reset: "HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\nsent", reset
        => |answer| matches!(answer, Err(StartError::NoAnswer { .. }));
    part_of_the_chunks_before_the_reset: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsent\r\n", reset
        => |answer| matches!(answer, Err(StartError::NoAnswer { .. }));
    unframed_body_before_the_reset: "HTTP/1.1 200 OK\r\n\r\nsent", reset
        => |answer| matches!(answer, Err(StartError::NoAnswer { .. }));
    part_of_a_refusal_before_the_reset: "HTTP/1.1 503 Busy\r\ncontent-length: 40\r\n\r\nbusy", reset
        => |answer| matches!(answer, Err(StartError::NoAnswer { .. }));
    answer_before_the_reset: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nsent", reset
        => |answer| matches!(answer, Ok(ServiceAnswer { status: 200, body, .. }) if body == b"sent");
    answer_in_chunks_before_the_reset: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsent\r\n0\r\n\r\n", reset
        => |answer| matches!(answer, Ok(ServiceAnswer { status: 200, body, .. }) if body == b"sent");
}
