//! Streams of engines that do not keep to the protocol. Whatever arrives, the reader gives a prefix
//! of the right tokens, and an end only after all of them.

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

/// A fault of an engine.
#[derive(Debug, Clone)]
enum Fault {
    None,
    Cut(usize),
    Duplicate(usize),
    Swap(usize),
    Drop(usize),
    ForeignAttempt(usize),
    BrokenUtf8(usize),
    HugeLine(usize),
    NotJson(usize),
    EarlyEndMarker(usize),
    WrongChunkSize(usize),
    Comment(usize),
    TokenAfterTheLast,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Fault {
        let place = usize::arbitrary(g) % TOKENS as usize;
        let make = [
            |_| Fault::None,
            |place| Fault::Cut(place * 37),
            Fault::Duplicate,
            Fault::Swap,
            Fault::Drop,
            Fault::ForeignAttempt,
            Fault::BrokenUtf8,
            Fault::HugeLine,
            Fault::NotJson,
            Fault::EarlyEndMarker,
            Fault::WrongChunkSize,
            Fault::Comment,
            |_| Fault::TokenAfterTheLast,
        ];
        g.choose(&make).expect("there are faults")(place)
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

/// Body of the answer, as the chunks' contents.
fn events(attempt: AttemptId, fault: &Fault) -> Vec<Vec<u8>> {
    let mut events: Vec<Vec<u8>> = (0..TOKENS).map(|offset| event(attempt, offset)).collect();
    events.push(b"data: [DONE]\n\n".to_vec());
    match *fault {
        Fault::Duplicate(place) => events.insert(place, events[place].clone()),
        Fault::Swap(place) => events.swap(place, (place + 1) % TOKENS as usize),
        Fault::Drop(place) => drop(events.remove(place)),
        Fault::ForeignAttempt(place) => events[place] = event(AttemptId::new(), place as u64),
        Fault::BrokenUtf8(place) => events[place] = b"data: {\"text\":\"\xff\xfe\"}\n\n".to_vec(),
        Fault::HugeLine(place) => events[place]
            .splice(6..6, vec![b' '; 300 * 1024])
            .for_each(drop),
        Fault::NotJson(place) => events[place] = b"data: {\"attempt\":\n\n".to_vec(),
        Fault::EarlyEndMarker(place) => events.insert(place, b"data: [DONE]\n\n".to_vec()),
        Fault::Comment(place) => events.insert(place, b": still here\n\n".to_vec()),
        Fault::TokenAfterTheLast => events.insert(TOKENS as usize, event(attempt, TOKENS)),
        Fault::None | Fault::Cut(_) | Fault::WrongChunkSize(_) => {}
    }
    events
}

fn answer(attempt: AttemptId, fault: &Fault) -> Vec<u8> {
    let mut answer = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
        transfer-encoding: chunked\r\n\r\n"
        .to_vec();
    let head_bytes = answer.len();
    for (place, event) in events(attempt, fault).into_iter().enumerate() {
        let size = match *fault {
            Fault::WrongChunkSize(wrong) if wrong == place => event.len() + 5,
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

/// An engine that gives one answer and closes the connection.
fn engine(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        let mut request = [0; 4096];
        let _ = stream.read(&mut request)?;
        stream.write_all(&answer)?;
        // A close with unread bytes would reset the connection and lose the answer.
        stream.shutdown(std::net::Shutdown::Write)?;
        while stream.read(&mut request)? > 0 {}
        std::io::Result::Ok(())
    });
    address
}

fn open(address: SocketAddr, attempt: AttemptId) -> Result<TokenStream, StartError> {
    let group: GroupId = "group-1".parse().expect("a valid name");
    let body = json!({ "prompt": "p", "stream": true });
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

/// Tokens read, and whether the answer was told to be whole.
fn read(fault: &Fault) -> (Vec<String>, Result<(), StreamError>) {
    let attempt = AttemptId::new();
    let mut stream = open(engine(answer(attempt, fault)), attempt).expect("a head came");
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

fn expected() -> Vec<String> {
    (0..TOKENS).map(|offset| format!(" t{offset}")).collect()
}

#[test]
fn faulty_stream_gives_a_prefix_and_never_a_false_end() {
    fn holds(fault: Fault) -> bool {
        let (tokens, end) = read(&fault);
        let is_harmless = matches!(fault, Fault::None | Fault::Comment(_));
        expected().starts_with(&tokens)
            && (end.is_err() || tokens == expected())
            && (end.is_ok() || !is_harmless)
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Fault) -> bool);
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
    whole_stream_ends: Fault::None => 6, Ok(()),
    comments_are_passed_over: Fault::Comment(2) => 6, Ok(()),
    token_of_another_attempt_is_refused:
        Fault::ForeignAttempt(3) => 3, Err(StreamError::Malformed { .. }),
    token_out_of_order_is_refused: Fault::Swap(1) => 1, Err(StreamError::Malformed { .. }),
    token_sent_twice_is_refused: Fault::Duplicate(4) => 5, Err(StreamError::Malformed { .. }),
    end_marker_before_the_last_token_is_refused:
        Fault::EarlyEndMarker(2) => 2, Err(StreamError::Malformed { .. }),
    token_after_the_last_is_refused:
        Fault::TokenAfterTheLast => 6, Err(StreamError::Malformed { .. }),
    huge_line_is_refused: Fault::HugeLine(2) => 2, Err(StreamError::Broken { .. }),
    broken_utf8_is_refused: Fault::BrokenUtf8(2) => 2, Err(StreamError::Broken { .. }),
}

macro_rules! status_case {
    ($($name:ident: $status:literal => $is_not_run:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let head = format!("HTTP/1.1 {} X\r\ncontent-length: 2\r\n\r\n{{}}", $status);
                let error = open(engine(head.into_bytes()), AttemptId::new()).expect_err("refused");
                assert_eq!(error.is_not_run(), $is_not_run, "{error}");
            }
        )*
    };
}

status_case! {
    saturated_engine_ran_nothing: 503 => true;
    engine_of_another_epoch_ran_nothing: 409 => true;
    failing_engine_may_have_run: 500 => false;
    bad_gateway_may_have_run: 502 => false;
}

#[test]
fn connection_closed_without_an_answer_may_have_run() {
    let error = open(engine(Vec::new()), AttemptId::new()).expect_err("no answer");
    assert!(!error.is_not_run(), "{error}");
}
