//! Answers of engines without end to control calls and to requests that are refused.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_types::{AttemptId, Epoch, GroupId, Priority, RequestId};
use jacinthpoint_upstream::{StartError, StartRequest, TokenStream, resume, start, state};
use serde_json::json;

const TIMEOUT_MS: u64 = 2_000;
/// Time within which a call must end, although bytes arrive.
const MAX_CALL: Duration = Duration::from_secs(4);
/// Memory of a node's VM.
const MAX_MEMORY_KB: u64 = 160_000;
/// Length of the answers: much more than the memory, and little enough for the machine of the tests.
const ANSWER_PARTS: usize = 400;
const PART_BYTES: usize = 1_024 * 1_024;

/// Starts an engine that answers with this status and a long body, and then keeps the connection open.
fn start_engine(status: &'static str) -> SocketAddr {
    start_engine_of(format!("HTTP/1.1 {status}\r\n\r\n\""), "x")
}

/// Starts an engine that sends `first` and then `part` again and again, and then keeps the connection open.
fn start_engine_of(first: String, part: &str) -> SocketAddr {
    let part = part.repeat(PART_BYTES / part.len()).into_bytes();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept()?;
        let _ = stream.read(&mut [0; 4_096])?;
        stream.write_all(first.as_bytes())?;
        for _ in 0..ANSWER_PARTS {
            stream.write_all(&part)?;
        }
        while stream.read(&mut [0; 4_096])? > 0 {}
        std::io::Result::Ok(())
    });
    address
}

/// Returns the most memory that this process used so far, in kilobytes.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("it can be read");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let words = line.expect("there is one").split_whitespace();
    let kb = words.skip(1).find_map(|word| word.parse().ok());
    kb.expect("it is a number")
}

fn start_at(address: SocketAddr) -> bool {
    open(address).is_err()
}

fn open(address: SocketAddr) -> Result<TokenStream, StartError> {
    let group: GroupId = "group".parse().expect("a valid id");
    let request = StartRequest {
        request: RequestId::new(),
        attempt: AttemptId::new(),
        group: &group,
        epoch: Epoch::default(),
        priority: Priority::default(),
        path: "/v1/completions",
        body: &json!({}),
    };
    start(address, &request, TIMEOUT_MS, TIMEOUT_MS)
}

/// Defines tests of a call that gets an answer without end: name, status, call that returns whether it failed.
macro_rules! endless_answer {
    ($($name:ident($status:literal): |$address:ident| $fails:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let $address = start_engine($status);
                let began = Instant::now();
                assert!($fails);
                assert!(began.elapsed() < MAX_CALL, "{:?}", began.elapsed());
                let memory_kb = peak_memory_kb();
                assert!(memory_kb < MAX_MEMORY_KB, "{memory_kb} kB");
            }
        )+
    };
}

// Guards against nodes that run out of memory, or wait for ever, because an engine answers without end.
endless_answer! {
    endless_state_is_given_up("200 OK"): |address| state(address, TIMEOUT_MS).is_err(),
    endless_refusal_is_given_up("503 Busy"): |address| start_at(address),
    endless_error_is_given_up("500 Failed"): |address| start_at(address),
    endless_refusal_to_resume_is_given_up("404 Absent"): |address|
        resume(address, AttemptId::new(), 0, TIMEOUT_MS, TIMEOUT_MS).is_err(),
}

/// Guards against nodes that wait for ever, because parts of an answer that are skipped arrive without end.
#[test]
fn endless_interim_answers_are_given_up() {
    let began = Instant::now();
    let address = start_engine_of(String::new(), "HTTP/1.1 100 Continue\r\n\r\n");
    assert!(start_at(address));
    assert!(began.elapsed() < MAX_CALL, "{:?}", began.elapsed());
}

/// As above, for the trailers of a stream.
#[test]
fn endless_trailers_are_given_up() {
    let began = Instant::now();
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    let address = start_engine_of(head.to_owned(), "x-filler: 0123456789\r\n");
    let mut stream = open(address).expect("the head arrives");
    assert!(stream.next_event().is_err());
    assert!(began.elapsed() < MAX_CALL, "{:?}", began.elapsed());
}
