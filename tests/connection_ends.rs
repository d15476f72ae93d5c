//! A caller's connection ends with an answer: after half-closes, pauses of the process, slow
//! readers, refusals of unread bodies, and floods of connections.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    thread,
    time::Duration,
};

use jacinthpoint_platform::{Platform, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, RecordsObject, key_digest};
use serde_json::json;
use socket2::{Domain, Socket, Type};

use crate::util::{Call, KEYS, LoneNode, Process, Site, SiteOptions, status, wait_until};

/// Time for an answer, or for a connection to be closed.
const END_DEADLINE_MS: u64 = 30_000;
/// Pause of a process or a reader in which nothing may time out.
const PAUSE_MS: u64 = 500;
/// Pause of a slow reader; longer than any limit on unacknowledged bytes that is in use.
const READER_PAUSE_MS: u64 = 5_500;

/// A node without upstreams, which can answer with a list of models.
fn node_alone(limits: &str) -> (LoneNode, Process) {
    let (platform, address) = Process::standin(&["platform"]);
    let digest = key_digest(KEYS[0].1).to_string();
    let records = vec![json!({
        "schema": 2, "kind": "organisation", "name": KEYS[0].0, "key_sha256": [digest],
    })];
    let written = Platform::new(address).update(
        CONFIG_KIND,
        CONFIG_NAME,
        Version(0),
        &RecordsObject { records },
    );
    written.expect("the platform accepts");
    (LoneNode::start(address, limits), platform)
}

fn connect(node: SocketAddr) -> TcpStream {
    let connection = TcpStream::connect(node).expect("the node accepts");
    let timeout = Some(Duration::from_millis(END_DEADLINE_MS));
    connection.set_read_timeout(timeout).expect("a timeout");
    connection
}

fn models_request() -> String {
    let key = KEYS[0].1;
    format!("GET /v1/models HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {key}\r\n\r\n")
}

/// Request for a model's answer.
fn completion(prompt: &str, stream: bool) -> String {
    let body = json!({
        "model": "jp-model", "prompt": prompt, "max_tokens": 8, "stream": stream,
    });
    request_with_body("/v1/completions", &body.to_string())
}

fn request_with_body(path: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {}\r\ncontent-length: {}\r\n\r\n\
         {body}",
        KEYS[0].1,
        body.len()
    )
}

/// Sends a request whose answer is read up to the end of its JSON body.
fn ask_models(connection: &mut TcpStream) -> String {
    connection
        .write_all(models_request().as_bytes())
        .expect("sent");
    let mut answer = String::new();
    let mut chunk = [0; 4096];
    while !answer.ends_with("\"list\"}") {
        let read = connection.read(&mut chunk).expect("an answer");
        assert!(read > 0, "closed after {answer:?}");
        answer.push_str(std::str::from_utf8(&chunk[..read]).expect("UTF-8"));
    }
    answer
}

fn read_to_end(connection: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = connection.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    match read {
        Ok(_) => answer,
        Err(error) => panic!("{error} after {answer:?}"),
    }
}

/// Stops a process and lets it go on.
fn pause_process(process: &Process) {
    process.signal("STOP");
    thread::sleep(Duration::from_millis(PAUSE_MS));
    process.signal("CONT");
}

/// Guards against reads with a timeout that fail as interrupted once a stopped process goes on,
/// and were taken for a broken connection.
#[test]
fn pause_of_the_process_cuts_no_half_sent_request() {
    let (node, _platform) = node_alone("");
    let mut connection = connect(node.callers);
    let request = models_request();
    let (first, second) = request.split_at(20);
    connection.write_all(first.as_bytes()).expect("sent");
    wait_until("the first half is read", END_DEADLINE_MS, || {
        status(node.operators)["in_flight"] == 1
    });
    pause_process(&node.process);
    connection.write_all(second.as_bytes()).expect("sent");
    connection.shutdown(Shutdown::Write).expect("shut down");
    let answer = read_to_end(&mut connection);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// As above, on a kept connection that waits for its next request.
#[test]
fn pause_of_the_process_closes_no_kept_connection() {
    let (node, _platform) = node_alone("");
    let mut connection = connect(node.callers);
    ask_models(&mut connection);
    pause_process(&node.process);
    let answer = ask_models(&mut connection);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

/// As above, for the time limit of a body: it passes while the process is stopped, and the whole body
/// has arrived when it goes on.
#[test]
fn body_that_arrives_while_the_process_is_stopped_is_read() {
    let (node, _platform) = node_alone("read_deadline_ms = 800");
    let mut connection = connect(node.callers);
    let request = request_with_body("/v1/completions", &"a".repeat(60_000));
    let (first, second) = request.split_at(1_000);
    connection.write_all(first.as_bytes()).expect("sent");
    wait_until("the first part is read", END_DEADLINE_MS, || {
        status(node.operators)["in_flight"] == 1
    });
    node.process.signal("STOP");
    connection.write_all(second.as_bytes()).expect("sent");
    connection.shutdown(Shutdown::Write).expect("shut down");
    thread::sleep(Duration::from_millis(1_500));
    node.process.signal("CONT");
    let answer = read_to_end(&mut connection);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer:?}");
}

// As above, while the node waits for the answer of an upstream to a request that may not run twice.
site_test!(
    pause_of_the_process_loses_no_answer_of_an_upstream,
    slow_prefill(),
    |site| {
        let node = &site.nodes[0];
        let call = Call {
            headers: vec![("x-repeatable", "false".to_owned())],
            ..Call::new("paused")
        };
        let sent = call.clone();
        let address = node.callers;
        let caller = thread::spawn(move || sent.send(address));
        let request = call.request.to_string();
        wait_until("it runs", END_DEADLINE_MS, || {
            site.run_log().iter().any(|run| run.request == request)
        });
        for _ in 0..3 {
            node.process.signal("STOP");
            thread::sleep(Duration::from_millis(PAUSE_MS));
            node.process.signal("CONT");
            thread::sleep(Duration::from_millis(PAUSE_MS));
        }
        let answer = caller.join().expect("no panic").expect("the node answers");
        assert_eq!(answer.outcome, "answered", "{}", answer.body);
        assert_eq!(answer.text, call.expected());
    }
);

// As above, while the node waits for the answer of a plain service, which may not be called twice.
site_test!(
    pause_of_the_process_loses_no_answer_of_a_service,
    with_service(),
    |site| {
        let node = &site.nodes[0];
        let service = site.services.values().next().expect("there is one");
        let call = Call {
            service: Some("enquiries"),
            ..Call::new("paused")
        };
        let (sent, address) = (call.clone(), node.callers);
        service.process.signal("STOP");
        let caller = thread::spawn(move || sent.send(address));
        thread::sleep(Duration::from_millis(PAUSE_MS));
        pause_process(&node.process);
        thread::sleep(Duration::from_millis(PAUSE_MS));
        service.process.signal("CONT");
        let answer = caller.join().expect("no panic").expect("the node answers");
        assert_eq!(answer.outcome, "answered", "{}", answer.body);
        assert_eq!(answer.text, call.expected());
    }
);

/// Two groups of engines that run one request at a time and take three seconds to its first token.
fn slow_prefill() -> SiteOptions {
    let args = ["--slots", "1", "--token-ms", "20", "--prefill-ms", "3000"];
    SiteOptions {
        domains: 2,
        groups: 2,
        engine_args: args.map(str::to_owned).to_vec(),
        ..SiteOptions::small()
    }
}

/// A new connection.
fn new_connection(node: SocketAddr) -> TcpStream {
    connect(node)
}

/// A connection that has had an answer.
fn kept_connection(node: SocketAddr) -> TcpStream {
    let mut connection = connect(node);
    ask_models(&mut connection);
    connection
}

/// A caller that ends its sending side after a request, whose answer takes longer than the node
/// waits between two looks at the connection. Guards against taking the end of the caller's bytes
/// for its leaving.
macro_rules! half_closed {
    ($($name:ident: $connect:expr, stream $stream:expr;)+) => {
        $(
            site_test!($name, slow_prefill(), |site| {
                let mut connection = $connect(site.nodes[0].callers);
                let request = completion("half-closed", $stream);
                connection.write_all(request.as_bytes()).expect("sent");
                connection.shutdown(Shutdown::Write).expect("shut down");
                assert_answered(&read_to_end(&mut connection), $stream);
            });
        )+
    };
}

half_closed! {
    half_close_on_a_new_connection: new_connection, stream false;
    half_close_on_a_kept_connection: kept_connection, stream false;
    half_close_before_a_stream: new_connection, stream true;
}

/// Checks that the final answer, after any interim ones, is a success and complete.
fn assert_answered(answer: &str, is_stream: bool) {
    let last_head = answer.rfind("HTTP/1.1 ").map(|start| &answer[start..]);
    let last_head = last_head.unwrap_or_default();
    assert!(last_head.starts_with("HTTP/1.1 200"), "{answer:?}");
    let outcome = if is_stream {
        ": outcome answered"
    } else {
        "x-outcome: answered"
    };
    assert!(last_head.contains(outcome), "{answer:?}");
}

// A caller in the gate's queue that ends its sending side keeps its place.
site_test!(half_close_in_the_queue, slow_prefill(), |site| {
    let connections: Vec<TcpStream> = (0..4)
        .map(|number| {
            let mut connection = connect(site.nodes[0].callers);
            let request = completion(&format!("queued {number}"), false);
            connection.write_all(request.as_bytes()).expect("sent");
            connection.shutdown(Shutdown::Write).expect("shut down");
            connection
        })
        .collect();
    for mut connection in connections {
        assert_answered(&read_to_end(&mut connection), false);
    }
});

// A caller that closes its connection is told apart from one that ends its sending side: its run is
// cancelled, so that the next one does not wait for all of its tokens.
site_test!(
    caller_of_a_whole_answer_that_leaves_ends_its_run,
    slow_prefill(),
    |site| {
        let node = site.nodes[0].callers;
        for number in 0..2 {
            let leaving = Call {
                max_tokens: 5_000,
                ..Call::new(&format!("gone {number}"))
            };
            let sent = leaving.send_and_leave(node, Duration::from_millis(PAUSE_MS));
            assert!(sent.is_ok(), "{sent:?}");
        }
        let next = Call::new("next");
        let answer = next.send(node).expect("the node answers");
        assert_eq!(answer.text, next.expected());
    }
);

/// Connects with a small receive buffer, which a long answer fills at once.
fn connect_with_small_buffer(node: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(16 * 1024)
        .expect("a buffer size");
    socket.connect(&node.into()).expect("the node accepts");
    let connection: TcpStream = socket.into();
    let timeout = Some(Duration::from_millis(END_DEADLINE_MS));
    connection.set_read_timeout(timeout).expect("a timeout");
    connection
}

/// Length of a long text that a plain service echoes, within the limit on bodies of requests.
const LONG_TEXT_BYTES: usize = 3_500_000;

fn begin_long_answer(site: &Site, node: SocketAddr) -> TcpStream {
    let mut connection = connect_with_small_buffer(node);
    let text = "a".repeat(LONG_TEXT_BYTES);
    let body = json!({ "text": text }).to_string();
    let request = request_with_body("/services/enquiries/send", &body);
    connection.write_all(request.as_bytes()).expect("sent");
    wait_until("the call runs", END_DEADLINE_MS, || {
        !site.run_log().is_empty()
    });
    connection
}

fn assert_whole(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 200"), "{} bytes", answer.len());
    assert!(answer.len() > LONG_TEXT_BYTES, "{} bytes", answer.len());
}

fn with_service() -> SiteOptions {
    SiteOptions {
        servers: 1,
        ..SiteOptions::small()
    }
}

// A caller that does not read for a while, within its deadline, gets its whole answer.
site_test!(slow_reader_gets_the_whole_answer, with_service(), |site| {
    let mut connection = begin_long_answer(&site, site.nodes[0].callers);
    connection.shutdown(Shutdown::Write).expect("shut down");
    thread::sleep(Duration::from_millis(READER_PAUSE_MS));
    assert_whole(&read_to_end(&mut connection));
});

// The same while the node stops.
site_test!(
    slow_reader_gets_the_whole_answer_at_a_stop,
    with_service(),
    |site| {
        let limits = "drain_announce_ms = 200\ndrain_deadline_ms = 60000";
        let node = LoneNode::start(site.platform_address, limits);
        wait_until("the service is known", END_DEADLINE_MS, || {
            let call = Call {
                service: Some("enquiries"),
                ..Call::new("known?")
            };
            let answer = call.send(node.callers);
            answer.is_ok_and(|answer| answer.outcome == "answered")
        });
        let mut connection = begin_long_answer(&site, node.callers);
        node.process.signal("TERM");
        thread::sleep(Duration::from_millis(READER_PAUSE_MS));
        assert_whole(&read_to_end(&mut connection));
    }
);

/// A request that is refused from its head while its body comes in pieces, with pauses between
/// them. Guards against closing before the caller has sent what it announced: the close resets the
/// connection, and the reset can overtake the answer.
macro_rules! refused_while_sending {
    ($($name:ident: $head:expr, $pieces:expr, pause_ms $pause_ms:expr => $status:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let (node, _platform) = node_alone("");
                let mut connection = connect(node.callers);
                let head = format!(
                    "POST /v1/completions HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {}\r\n{}\r\n",
                    KEYS[0].1, $head
                );
                connection.write_all(head.as_bytes()).expect("sent");
                for piece in $pieces {
                    thread::sleep(Duration::from_millis($pause_ms));
                    connection.write_all(&piece).expect("no reset while the body is sent");
                }
                let answer = read_to_end(&mut connection);
                let status_line = concat!("HTTP/1.1 ", $status);
                assert!(answer.starts_with(status_line), "{answer:?}");
                assert!(answer.contains("connection: close"), "{answer:?}");
            }
        )+
    };
}

refused_while_sending! {
    refused_while_sending_fast: "content-length: 6000000\r\n", vec![vec![b'a'; 60_000]; 100],
        pause_ms 5 => "413";
    refused_while_sending_slowly: "content-length: 6000000\r\n", vec![vec![b'a'; 1_000]; 4],
        pause_ms 1_500 => "413";
    refused_while_sending_chunks: "transfer-encoding: chunked\r\n", vec![b"1\r\na\r\n".to_vec(); 4],
        pause_ms 1_500 => "400";
}

/// Callers that end their sending side within a request.
macro_rules! request_cut_short {
    ($($name:ident: $bytes:expr;)+) => {
        $(
            /// Guards against a connection that ends without an answer because its caller sent half a request.
            #[test]
            fn $name() {
                let (node, _platform) = node_alone("");
                let mut connection = connect(node.callers);
                connection.write_all($bytes).expect("sent");
                connection.shutdown(Shutdown::Write).expect("shut down");
                let answer = read_to_end(&mut connection);
                assert!(answer.starts_with("HTTP/1.1 400"), "{answer:?}");
                assert!(answer.contains("connection: close"), "{answer:?}");
            }
        )+
    };
}

request_cut_short! {
    request_cut_short_in_its_head: b"GET /v1/models HTTP/1.1\r\nhost: n\r\n";
    request_cut_short_in_its_body: b"POST /v1/completions HTTP/1.1\r\nhost: n\r\n\
        content-length: 100\r\n\r\n{\"model\":";
}

/// Takes this many places of a node by slow connections, and returns these.
fn take_places(node: &LoneNode, places: usize) -> Vec<TcpStream> {
    let mut slow: Vec<TcpStream> = (0..places).map(|_| connect(node.callers)).collect();
    for connection in &mut slow {
        connection.write_all(b"GET /").expect("sent");
    }
    wait_until("the places are taken", END_DEADLINE_MS, || {
        status(node.operators)["in_flight"] == places
    });
    slow
}

/// Guards against connections beyond the limit that are closed unread because the queue of those to
/// refuse is full, too.
#[test]
fn flood_beyond_the_limit_is_refused_and_not_cut() {
    const FLOOD: usize = 600;
    let (node, _platform) = node_alone("max_connections = 4\nread_deadline_ms = 10000");
    let _slow = take_places(&node, 4);
    let mut flood: Vec<TcpStream> = (0..FLOOD).map(|_| connect(node.callers)).collect();
    let mut unanswered = 0;
    for connection in &mut flood {
        let _ = connection.write_all(models_request().as_bytes());
        let mut answer = Vec::new();
        let _ = connection.read_to_end(&mut answer);
        unanswered += usize::from(!answer.starts_with(b"HTTP/1.1 503"));
    }
    assert_eq!(unanswered, 0, "of {FLOOD}");
}

/// Guards against connections beyond the limit that are closed unread because they arrive faster than
/// those before them are refused.
#[test]
fn parallel_flood_beyond_the_limit_is_refused_and_not_cut() {
    const THREADS: usize = 8;
    const FLOOD_PER_THREAD: usize = 250;
    let (node, _platform) = node_alone("max_connections = 4\nread_deadline_ms = 30000");
    let _slow = take_places(&node, 4);
    let address = node.callers;
    let callers: Vec<_> = (0..THREADS)
        .map(|_| {
            thread::spawn(move || {
                let mut flood: Vec<TcpStream> =
                    (0..FLOOD_PER_THREAD).map(|_| connect(address)).collect();
                flood.iter_mut().filter_map(unrefused_end).collect()
            })
        })
        .collect();
    let ends: Vec<String> = callers
        .into_iter()
        .flat_map(|caller| -> Vec<String> { caller.join().expect("no panic") })
        .collect();
    let flood = THREADS * FLOOD_PER_THREAD;
    assert!(ends.is_empty(), "{} of {flood}: {:?}", ends.len(), &ends[0]);
}

/// Sends a request; returns what came in place of a refusal.
fn unrefused_end(connection: &mut TcpStream) -> Option<String> {
    let sent = connection.write_all(models_request().as_bytes());
    let mut answer = Vec::new();
    let read = connection.read_to_end(&mut answer);
    let is_refused = answer.starts_with(b"HTTP/1.1 503");
    (!is_refused).then(|| {
        let answer = String::from_utf8_lossy(&answer);
        format!("{sent:?}, {read:?}, {answer}")
    })
}

/// Guards against a decision by the clock alone: the time for the first byte passes while the process
/// is stopped, and the request has arrived when it goes on.
#[test]
fn request_as_the_time_for_the_first_byte_passes_is_answered() {
    let (node, _platform) = node_alone("");
    let mut connections: Vec<TcpStream> = (0..16).map(|_| connect(node.callers)).collect();
    thread::sleep(Duration::from_millis(1_000));
    node.process.signal("STOP");
    for connection in &mut connections {
        connection
            .write_all(models_request().as_bytes())
            .expect("sent");
        connection.shutdown(Shutdown::Write).expect("shut down");
    }
    thread::sleep(Duration::from_millis(1_500));
    node.process.signal("CONT");
    for connection in &mut connections {
        let answer = read_to_end(connection);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    }
}

/// Guards against a refusal above the limit whose connection is reset after a fixed time, while its
/// caller still writes.
#[test]
fn refused_above_the_limit_while_sending_slowly() {
    let (node, _platform) = node_alone("max_connections = 4\nread_deadline_ms = 10000");
    let _slow = take_places(&node, 4);
    let mut connection = connect(node.callers);
    let request = request_with_body("/v1/completions", &"a".repeat(4_000));
    for piece in request.as_bytes().chunks(1_000) {
        connection
            .write_all(piece)
            .expect("no reset while the body is sent");
        thread::sleep(Duration::from_millis(500));
    }
    let answer = read_to_end(&mut connection);
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
}
