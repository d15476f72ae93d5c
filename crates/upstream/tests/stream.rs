//! Streams of engines that violate the protocol. For any stream, the reader must return a prefix of
//! the correct tokens, and the end of the answer only after all of them.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
};

use jacinthpoint_types::{AttemptId, Epoch, GroupId, Priority, RequestId};
use jacinthpoint_upstream::{
    StartError, StartRequest, StreamError, StreamEvent, TokenStream, start,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde_json::json;

const TIMEOUT_MS: u64 = 2_000;
const TOKENS: u64 = 6;
/// Length of the status line of a success.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200 OK\r\n".len();

/// Fault of an engine in its stream; the number is the event at which it occurs.
#[derive(Debug, Clone)]
enum Fault {
    None,
    /// The answer ends after this number of bytes of its body.
    Cut(usize),
    Duplicate(usize),
    Swap(usize),
    Drop(usize),
    ForeignAttempt(usize),
    InvalidUtf8(usize),
    OverlongLine(usize),
    NotJson(usize),
    EarlyEndMarker(usize),
    WrongChunkSize(usize),
    Comment(usize),
    TokenAfterTheLast,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Fault {
        let index = usize::arbitrary(g) % TOKENS as usize;
        let make = [
            |_| Fault::None,
            // Cuts the body at its start or inside one of its first two chunks.
            |index| Fault::Cut(index * 37),
            Fault::Duplicate,
            Fault::Swap,
            Fault::Drop,
            Fault::ForeignAttempt,
            Fault::InvalidUtf8,
            Fault::OverlongLine,
            Fault::NotJson,
            Fault::EarlyEndMarker,
            Fault::WrongChunkSize,
            Fault::Comment,
            |_| Fault::TokenAfterTheLast,
        ];
        g.choose(&make).expect("there are faults")(index)
    }
}

fn event(attempt: AttemptId, offset: u64) -> Vec<u8> {
    let last = offset + 1 == TOKENS;
    let event = json!({
        "attempt": attempt,
        "offset": offset,
        "text": format!(" t{offset}"),
        "finish_reason": last.then_some("length"),
    });
    format!("data: {event}\n\n").into_bytes()
}

/// Returns the contents of the chunks of the answer.
fn events(attempt: AttemptId, fault: &Fault) -> Vec<Vec<u8>> {
    let mut events: Vec<Vec<u8>> = (0..TOKENS).map(|offset| event(attempt, offset)).collect();
    events.push(b"data: [DONE]\n\n".to_vec());
    match *fault {
        Fault::Duplicate(index) => events.insert(index, events[index].clone()),
        Fault::Swap(index) => events.swap(index, (index + 1) % TOKENS as usize),
        Fault::Drop(index) => drop(events.remove(index)),
        Fault::ForeignAttempt(index) => events[index] = event(AttemptId::new(), index as u64),
        Fault::InvalidUtf8(index) => events[index] = b"data: {\"text\":\"\xff\xfe\"}\n\n".to_vec(),
        // Byte 6 follows the `data: ` prefix.
        Fault::OverlongLine(index) => events[index]
            .splice(6..6, vec![b' '; 300 * 1024])
            .for_each(drop),
        Fault::NotJson(index) => events[index] = b"data: {\"attempt\":\n\n".to_vec(),
        Fault::EarlyEndMarker(index) => events.insert(index, b"data: [DONE]\n\n".to_vec()),
        Fault::Comment(index) => events.insert(index, b": still here\n\n".to_vec()),
        Fault::TokenAfterTheLast => events.insert(TOKENS as usize, event(attempt, TOKENS)),
        Fault::None | Fault::Cut(_) | Fault::WrongChunkSize(_) => {}
    }
    events
}

/// Returns the whole answer, from its status line on.
fn answer(attempt: AttemptId, fault: &Fault) -> Vec<u8> {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
        transfer-encoding: chunked\r\n\r\n";
    answer_with_head(head, attempt, fault)
}

/// Returns the whole answer with this head, which must be that of an answer in chunks.
fn answer_with_head(head: &str, attempt: AttemptId, fault: &Fault) -> Vec<u8> {
    let mut answer = head.as_bytes().to_vec();
    let head_bytes = answer.len();
    for (index, event) in events(attempt, fault).into_iter().enumerate() {
        let size = match *fault {
            Fault::WrongChunkSize(wrong) if wrong == index => event.len() + 5,
            _ => event.len(),
        };
        answer.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        answer.extend_from_slice(&event);
        answer.extend_from_slice(b"\r\n");
    }
    answer.extend_from_slice(b"0\r\n\r\n");
    if let Fault::Cut(bytes) = *fault {
        answer.truncate(head_bytes + bytes);
    }
    answer
}

/// Starts an engine that sends one answer and closes the connection.
fn start_engine(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        let mut request = [0; 4096];
        let _ = stream.read(&mut request)?;
        stream.write_all(&answer)?;
        // Closing a socket with unread bytes would reset the connection and lose the answer.
        stream.shutdown(std::net::Shutdown::Write)?;
        while stream.read(&mut request)? > 0 {}
        std::io::Result::Ok(())
    });
    address
}

fn open(address: SocketAddr, attempt: AttemptId) -> Result<TokenStream, StartError> {
    open_with_prompt(address, attempt, "p")
}

fn open_with_prompt(
    address: SocketAddr,
    attempt: AttemptId,
    prompt: &str,
) -> Result<TokenStream, StartError> {
    let group: GroupId = "group-1".parse().expect("a valid name");
    let body = json!({ "prompt": prompt, "stream": true });
    let request = StartRequest {
        request: RequestId::new(),
        attempt,
        group: &group,
        epoch: Epoch::default(),
        priority: Priority::default(),
        path: "/v1/completions",
        body: &body,
    };
    start(address, &request, TIMEOUT_MS, TIMEOUT_MS)
}

/// Returns the tokens read, and whether the stream reported the end of the answer or an error.
fn read(fault: &Fault) -> (Vec<String>, Result<(), StreamError>) {
    let attempt = AttemptId::new();
    let stream = open(start_engine(answer(attempt, fault)), attempt);
    read_tokens(stream.expect("the engine sends a response head"))
}

fn read_tokens(mut stream: TokenStream) -> (Vec<String>, Result<(), StreamError>) {
    let mut tokens = Vec::new();
    loop {
        match stream.next_event() {
            Ok(StreamEvent::Token(token)) => tokens.push(token.text),
            Ok(StreamEvent::KeepAlive) => {}
            Ok(StreamEvent::End) => return (tokens, Ok(())),
            Err(error) => return (tokens, Err(error)),
        }
    }
}

fn expected_tokens() -> Vec<String> {
    (0..TOKENS).map(|offset| format!(" t{offset}")).collect()
}

#[test]
fn faulty_stream_returns_a_prefix_and_no_end_before_the_last_token() {
    fn is_prefix_with_correct_end(fault: Fault) -> bool {
        let (tokens, end) = read(&fault);
        let is_harmless = matches!(fault, Fault::None | Fault::Comment(_));
        expected_tokens().starts_with(&tokens)
            && (end.is_err() || tokens == expected_tokens())
            && (end.is_ok() || !is_harmless)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(is_prefix_with_correct_end as fn(Fault) -> bool);
}

macro_rules! fault_case {
    ($($name:ident: $fault:expr => $tokens:expr, $error:pat_param,)*) => {
        $(
            #[test]
            fn $name() {
                let (tokens, end) = read(&$fault);
                assert_eq!(tokens.len(), $tokens);
                assert!(matches!(end, $error), "{end:?}");
            }
        )*
    };
}

fault_case! {
    complete_stream_ends: Fault::None => 6, Ok(()),
    comment_between_tokens_changes_no_token: Fault::Comment(2) => 6, Ok(()),
    token_of_another_attempt_is_refused:
        Fault::ForeignAttempt(3) => 3, Err(StreamError::Malformed { .. }),
    token_out_of_order_is_refused: Fault::Swap(1) => 1, Err(StreamError::Malformed { .. }),
    token_sent_twice_is_refused: Fault::Duplicate(4) => 5, Err(StreamError::Malformed { .. }),
    end_marker_before_the_last_token_is_refused:
        Fault::EarlyEndMarker(2) => 2, Err(StreamError::Malformed { .. }),
    token_after_the_last_is_refused:
        Fault::TokenAfterTheLast => 6, Err(StreamError::Malformed { .. }),
    overlong_line_is_refused: Fault::OverlongLine(2) => 2, Err(StreamError::Broken { .. }),
    invalid_utf8_is_refused: Fault::InvalidUtf8(2) => 2, Err(StreamError::Broken { .. }),
}

macro_rules! status_case {
    ($($name:ident: $status:literal => $is_not_run:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let head = format!("HTTP/1.1 {} X\r\ncontent-length: 2\r\n\r\n{{}}", $status);
                let error = open(start_engine(head.into_bytes()), AttemptId::new())
                    .expect_err("refused");
                assert_eq!(error.is_not_run(), $is_not_run, "{error}");
            }
        )*
    };
}

status_case! {
    saturated_engine_with_status_503_did_not_run: 503 => true;
    engine_of_another_epoch_with_status_409_did_not_run: 409 => true;
    failing_engine_with_status_500_may_have_run: 500 => false;
    bad_gateway_with_status_502_may_have_run: 502 => false;
}

macro_rules! malformed_head {
    ($($name:ident: $status:literal, $line:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let attempt = AttemptId::new();
                for framing in ["transfer-encoding: chunked\r\n", "transfer-encoding : chunked\r\n"] {
                    let head = format!("HTTP/1.1 {}\r\n{}{framing}\r\n", $status, $line);
                    let answer = answer_with_head(&head, attempt, &Fault::None);
                    let error = open(start_engine(answer), attempt).expect_err("no answer");
                    assert!(!error.is_not_run(), "{error}");
                }
            }
        )*
    };
}

malformed_head! {
    stream_with_status_000_may_have_run: "000 OK", "";
    stream_with_status_099_may_have_run: "099 OK", "";
    stream_with_status_600_may_have_run: "600 OK", "";
    stream_with_blank_in_a_name_may_have_run: "200 OK", "x fault: 1\r\n";
    stream_with_tab_in_a_name_may_have_run: "200 OK", "x\tfault: 1\r\n";
    stream_with_control_byte_in_a_name_may_have_run: "200 OK", "x\u{1}fault: 1\r\n";
    stream_with_nul_in_a_name_may_have_run: "200 OK", "x\0fault: 1\r\n";
    stream_with_blank_before_a_colon_may_have_run: "200 OK", "x-fault : 1\r\n";
    stream_with_tab_before_a_colon_may_have_run: "200 OK", "x-fault\t: 1\r\n";
    stream_with_control_byte_before_a_colon_may_have_run: "200 OK", "x-fault\u{1}: 1\r\n";
    stream_with_blank_before_a_name_may_have_run: "200 OK", " x-fault: 1\r\n";
    refusal_with_blank_in_a_name_may_have_run: "503 Busy", "x fault: 1\r\n";
    refusal_with_status_000_may_have_run: "000 Busy", "";
}

/// Prompt that fits no socket buffer.
const LONG_PROMPT_BYTES: usize = 16 * 1024 * 1024;

/// Starts an engine that answers within a request and closes the socket, whose unread bytes reset the connection.
fn start_early_engine(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        stream.read_exact(&mut vec![0; 256 * 1024])?;
        stream.write_all(&answer)
    });
    address
}

/// Defines tests of answers to a prompt that the engine does not read whole: name, status, body after the head,
/// check of the result.
macro_rules! early_answer {
    ($($name:ident: $status:literal, $body:expr => $check:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let attempt = AttemptId::new();
                let mut answer = format!("HTTP/1.1 {}\r\n", $status).into_bytes();
                let body: fn(AttemptId) -> Vec<u8> = $body;
                answer.extend(body(attempt));
                let address = start_early_engine(answer);
                let prompt = "p".repeat(LONG_PROMPT_BYTES);
                let opened = open_with_prompt(address, attempt, &prompt);
                let result = opened.map(|stream| read_tokens(stream));
                let check: fn(&Result<(Vec<String>, Result<(), StreamError>), StartError>) -> bool = $check;
                assert!(check(&result), "{result:?}");
            }
        )*
    };
}

/// Returns the part of an answer with this framing after its status line, with the first two of its events.
fn cut_stream(attempt: AttemptId, framing: &str) -> Vec<u8> {
    let events = [event(attempt, 0), event(attempt, 1)].concat();
    [framing.as_bytes(), b"\r\n", &events].concat()
}

early_answer! {
    refusal_before_the_whole_prompt_did_not_run: "503 Busy",
        |_| b"content-length: 4\r\n\r\nbusy".to_vec()
        => |result| matches!(result, Err(StartError::Refused { status: 503, .. }));
    refusal_with_blank_in_a_name_before_the_whole_prompt_may_have_run: "503 Busy",
        |_| b"x fault: 1\r\ncontent-length: 4\r\n\r\nbusy".to_vec()
        => |result| matches!(result, Err(StartError::NoAnswer { .. }));
    unframed_stream_that_is_reset_is_broken: "200 OK",
        |attempt| cut_stream(attempt, "")
        => |result| matches!(result, Ok((tokens, Err(StreamError::Broken { .. }))) if tokens.len() == 2);
    stream_with_a_length_that_is_reset_is_broken: "200 OK",
        |attempt| cut_stream(attempt, "content-length: 9999\r\n")
        => |result| matches!(result, Ok((tokens, Err(StreamError::Broken { .. }))) if tokens.len() == 2);
    whole_stream_before_the_whole_prompt_is_whole: "200 OK",
        |attempt| answer(attempt, &Fault::None)[STATUS_LINE_BYTES..].to_vec()
        => |result| matches!(result, Ok((tokens, Ok(()))) if *tokens == expected_tokens());
}

#[test]
fn connection_closed_without_an_answer_may_have_run() {
    let error = open(start_engine(Vec::new()), AttemptId::new()).expect_err("no answer");
    assert!(!error.is_not_run(), "{error}");
}
