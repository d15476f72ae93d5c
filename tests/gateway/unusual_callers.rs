//! Callers that keep their connections, in less usual orders of events: requests in several packets,
//! half-closes, limits that change or are reached, and requests of all shapes across a planned stop.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_adapter::{headers, paths};
use jacinthpoint_platform_standins::{PlainFault, Reply, ReplyEnd, RequestLimits};
use serde_json::json;

use crate::gateway::{
    CONFIG_APPLY_MS,
    caller::{Request, join_all},
    kept_caller::{KeptCaller, Outcome},
    pause_ms,
    site::{KEY, ROUTE_TIMEOUT_MS, Site},
};

/// Time after SIGTERM at which idle connections end, and some time to act on it.
const ANNOUNCED_MS: u64 = 2_300 + 300;
/// Pause between two packets of a request.
const PACKET_PAUSE_MS: u64 = 100;

/// Returns the head and the body of a request as they are sent.
fn split(text: &str) -> (&str, &str) {
    let end = text.find("\r\n\r\n").expect("the head has an end") + 4;
    text.split_at(end)
}

/// Sends a request in these parts, with a pause between them, and reads its answer.
fn send_in_parts(caller: &mut KeptCaller, parts: &[&str]) -> Outcome {
    for (index, part) in parts.iter().enumerate() {
        if index > 0 {
            pause_ms(PACKET_PAUSE_MS);
        }
        match caller.write([part.as_bytes()]) {
            None => return Outcome::NotConnected,
            Some(Ok(())) => {}
            // The answer may have been sent already.
            Some(Err(_)) => break,
        }
    }
    caller.read_answer(ROUTE_TIMEOUT_MS)
}

/// Sends the head and the body of a request in packets of their own.
fn send_split(caller: &mut KeptCaller, request: &Request<'_>) -> Outcome {
    let text = request.to_text();
    let (head, body) = split(&text);
    send_in_parts(caller, &[head, body])
}

/// Guards against a connection that ends after the time for a head instead of the idle time, because the
/// body of the last request came in a packet of its own.
#[test]
fn body_in_its_own_packet_does_not_shorten_the_idle_time() {
    let site = Site::start(1);
    let mut caller = KeptCaller::new(site.gateway(0));
    let before = send_split(&mut caller, &Request::once("before"));
    assert_eq!(before.whole().status, 200);
    pause_ms(4_500);
    assert_eq!(caller.send(&Request::once("after")).whole().status, 200);
}

/// Guards against an idle connection that outlasts the announcement of a stop, because the body of the
/// last request came in a packet of its own.
#[test]
fn body_in_its_own_packet_does_not_delay_a_stop() {
    let site = Site::start(1);
    let mut caller = KeptCaller::new(site.gateway(0));
    let before = send_split(&mut caller, &Request::once("before"));
    assert_eq!(before.whole().status, 200);
    site.signal(0, "TERM");
    assert_eq!(caller.wait_for_close(ANNOUNCED_MS), Some(true));
}

/// Guards against lost answers: a half-closed caller whose request was passed on and is given up gets no byte
/// of an answer. Any answer that promises nothing will do.
#[test]
fn half_closed_caller_of_slow_idempotent_request_gets_an_answer() {
    let site = Site::start(1);
    site.platform.plain.set_fault(PlainFault::Slow(800));
    let request = Request {
        path: "/again/",
        ..Request::once("half")
    };
    let mut caller = KeptCaller::new(site.gateway(0));
    let text = request.to_text();
    let written = caller.write([text.as_bytes()]).expect("it is connected");
    written.expect("the request can be written");
    caller.end_sending();
    let answer = caller.read_answer(request.timeout_ms).whole();
    assert!(
        [200, 502, 504].contains(&answer.status),
        "{}",
        answer.status
    );
}

/// Guards against an answer that is not given to a caller that ends its sending side within the body.
#[test]
fn half_close_within_the_body_is_answered() {
    let site = Site::start(1);
    let text = Request::once("within").to_text();
    let mut caller = KeptCaller::new(site.gateway(0));
    let written = caller.write([&text.as_bytes()[..text.len() - 2]]);
    written.expect("it is connected").expect("it is written");
    caller.end_sending();
    assert_eq!(caller.read_answer(ROUTE_TIMEOUT_MS).whole().status, 400);
    assert!(site.platform.runs.of("within").is_empty());
    site.wait_until("no connection is open", 3_000, |site| {
        site.metrics(0).contains("connections_open 0")
    });
}

/// Guards against work for callers that left: a request that an upstream refuses is sent to the next one although its caller
/// has closed its connection long before.
#[test]
fn refused_request_of_a_caller_that_left_is_not_sent_again() {
    const CLOSED_AFTER_MS: u64 = 100;
    let site = Site::start(1);
    site.platform.plain.register_all();
    pause_ms(CONFIG_APPLY_MS);
    site.platform.plain.set_script(|request| {
        let refusal = format!(
            "HTTP/1.1 503 Busy\r\n{}: 1\r\n{}: {}\r\ncontent-length: 0\r\n\r\n",
            headers::NOT_RUN,
            headers::ATTEMPT_ID,
            request.attempt_id
        );
        // The refusal comes after 1.5 s.
        let waiting = (1..75).fold(Reply::sends(""), |reply, _| reply.then(""));
        waiting.then(refusal).without_run()
    });
    for index in 0..5 {
        let leaving = Request {
            timeout_ms: CLOSED_AFTER_MS,
            ..Request::once(&format!("leaving-{index}"))
        };
        drop(KeptCaller::new(site.gateway(0)).send(&leaving));
    }
    let left_at = Instant::now();
    pause_ms(4_500);
    let late = site.platform.plain.arrivals().into_iter();
    let late = late.filter(|at| *at > left_at + Duration::from_millis(500));
    assert_eq!(
        late.count(),
        0,
        "requests that arrived 0.5 s after the close"
    );
}

/// Guards against connections beyond the limit that send nothing and keep all others from an answer.
#[test]
fn silent_connections_beyond_the_limit_do_not_block_requests() {
    const CONNECTIONS: usize = 80;
    let site = Site::start_with_settings(1, "[limits]\ndescriptors = 300\n");
    let silent: Vec<_> = (0..CONNECTIONS)
        .map(|_| TcpStream::connect(site.gateway(0)).expect("it is accepted"))
        .collect();
    pause_ms(1_000);
    let request = Request {
        timeout_ms: 2_000,
        ..Request::once("blocked")
    };
    let answer = KeptCaller::new(site.gateway(0)).send(&request).whole();
    assert!([200, 503].contains(&answer.status), "{}", answer.status);
    drop(silent);
}

/// Guards against requests in the queue of the listener that are reset at the end of a stop.
#[test]
fn requests_in_the_queue_of_a_full_gateway_are_answered_at_a_stop() {
    const SILENT: usize = 57;
    const WAITING: usize = 60;
    let site = Site::start_with_settings(1, "[limits]\ndescriptors = 300\n");
    let silent: Vec<_> = (0..SILENT)
        .map(|_| TcpStream::connect(site.gateway(0)).expect("it is accepted"))
        .collect();
    pause_ms(500);
    site.signal(0, "TERM");
    let address = site.gateway(0);
    let waiting = (0..WAITING).map(|index| {
        thread::spawn(move || KeptCaller::new(address).send(&Request::once(&format!("w-{index}"))))
    });
    let outcomes = join_all(waiting.collect::<Vec<_>>());
    for outcome in outcomes {
        let answer = outcome.whole();
        assert!([200, 503].contains(&answer.status), "{}", answer.status);
    }
    drop(silent);
}

/// Guards against rule DENIED: a head that the configuration allows is refused on a connection that was
/// opened under an earlier one.
#[test]
fn larger_head_is_allowed_on_open_connections() {
    let site = Site::start(1);
    let mut kept = KeptCaller::new(site.gateway(0));
    assert_eq!(kept.send(&Request::once("before")).whole().status, 200);
    let store = &site.platform.store;
    let config = store.get_content(paths::CONFIG_KIND, paths::CONFIG_NAME);
    let mut config = config.expect("there is one");
    config["version"] = json!(config["version"].as_u64().expect("it is a number") + 1);
    config["limits"]["max_header_bytes"] = json!(65_536);
    store.put(paths::CONFIG_KIND, paths::CONFIG_NAME, config);
    pause_ms(CONFIG_APPLY_MS);
    let filler = format!("\r\nX-Filler: {}\r\n\r\n", "f".repeat(30_000));
    let callers = [("new", KeptCaller::new(site.gateway(0))), ("kept", kept)];
    for (id, mut caller) in callers {
        let text = Request::once(id).to_text();
        let text = text.replacen("\r\n\r\n", &filler, 1);
        let answer = send_in_parts(&mut caller, &[&text]).whole();
        assert_eq!(answer.status, 200, "{id}");
    }
}

/// Guards against a head that is taken although it is larger than the configuration allows.
#[test]
fn head_beyond_the_limit_is_refused() {
    let site = Site::start(1);
    let filler = format!("\r\nX-Filler: {}\r\n\r\n", "f".repeat(30_000));
    let text = Request::once("beyond").to_text();
    let text = text.replacen("\r\n\r\n", &filler, 1);
    let mut caller = KeptCaller::new(site.gateway(0));
    assert_eq!(send_in_parts(&mut caller, &[&text]).whole().status, 431);
    assert!(site.platform.runs.of("beyond").is_empty());
}

/// Guards against a refusal that is reset because the rest of the head was not read.
#[test]
fn head_that_is_too_large_is_refused_with_a_whole_answer() {
    let site = Site::start(1);
    let filler = format!("\r\nX-Filler: {}\r\n\r\n", "f".repeat(400_000));
    let text = Request::once("large").to_text();
    let text = text.replacen("\r\n\r\n", &filler, 1);
    let mut caller = KeptCaller::new(site.gateway(0));
    assert_eq!(send_in_parts(&mut caller, &[&text]).whole().status, 431);
}

/// Guards against pipelined requests that get no answer.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let site = Site::start(1);
    site.platform.plain.set_fault(PlainFault::Slow(100));
    let mut stream = TcpStream::connect(site.gateway(0)).expect("it is accepted");
    let texts: Vec<_> = (0..4)
        .map(|index| Request::once(&format!("pipe-{index}")).to_text())
        .collect();
    let all = texts.concat();
    // The last one is cut within its head, and ends later.
    let (first, last) = all.split_at(all.len() - 150);
    stream.write_all(first.as_bytes()).expect("it is written");
    pause_ms(600);
    stream.write_all(last.as_bytes()).expect("it is written");
    let timeout = Some(Duration::from_millis(1_500));
    stream.set_read_timeout(timeout).expect("it can be set");
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..count]);
    }
    let received = String::from_utf8_lossy(&received);
    assert_eq!(received.matches("HTTP/1.1 200 OK").count(), 4, "{received}");
}

/// Guards against cut answers that look whole: a stream that breaks off looks whole to a caller of HTTP/1.0, to which only
/// the end of the connection marks the end.
#[test]
fn broken_stream_does_not_look_whole_to_an_old_caller() {
    let site = Site::start(1);
    site.platform.plain.set_script(|request| {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: seal\r\n{}: {}\r\ntransfer-encoding: chunked\r\n\r\n",
            headers::SEAL,
            headers::ATTEMPT_ID,
            request.attempt_id
        );
        let event = "10\r\nid: 1\ndata: one\n\r\n1\r\n\n\r\n";
        Reply::sends(format!("{head}{event}")).ending(ReplyEnd::Close)
    });
    let request = Request {
        path: "/events/",
        ..Request::once("old")
    };
    let text = request.to_text().replacen("HTTP/1.1", "HTTP/1.0", 1);
    let mut stream = TcpStream::connect(site.gateway(0)).expect("it is accepted");
    stream.write_all(text.as_bytes()).expect("it is written");
    let mut received = Vec::new();
    let read = stream.read_to_end(&mut received);
    let received = String::from_utf8_lossy(&received);
    assert!(read.is_err(), "it looks whole: {received}");
}

/// Guards against work for callers that left: a request that was not read in time is passed on after its caller has closed
/// the connection.
#[test]
fn request_of_a_caller_that_left_unread_is_not_passed_on() {
    const CALLERS: usize = 20;
    let site = Site::start(1);
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| TcpStream::connect(site.gateway(0)).expect("it is accepted"))
        .collect();
    pause_ms(200);
    site.signal(0, "STOP");
    for (index, mut caller) in callers.into_iter().enumerate() {
        let text = Request::once(&format!("unread-{index}")).to_text();
        caller.write_all(text.as_bytes()).expect("it is written");
    }
    pause_ms(1_000);
    site.signal(0, "CONT");
    pause_ms(1_000);
    let passed_on = site.platform.plain.arrivals().len();
    assert!(passed_on <= 3, "{passed_on} of {CALLERS} were passed on");
}

/// Guards against work for callers that left: a request that waited in the queue of a full gateway is passed on long after
/// its caller has closed the connection.
#[test]
fn request_of_a_caller_that_left_the_queue_is_not_passed_on() {
    const SILENT: usize = 57;
    const CALLERS: usize = 20;
    let site = Site::start_with_settings(1, "[limits]\ndescriptors = 300\n");
    let silent: Vec<_> = (0..SILENT)
        .map(|_| TcpStream::connect(site.gateway(0)).expect("it is accepted"))
        .collect();
    pause_ms(500);
    for index in 0..CALLERS {
        let mut caller = TcpStream::connect(site.gateway(0)).expect("it is accepted");
        let text = Request::once(&format!("queued-{index}")).to_text();
        caller.write_all(text.as_bytes()).expect("it is written");
    }
    pause_ms(1_200);
    drop(silent);
    pause_ms(1_500);
    let passed_on = site.platform.plain.arrivals().len();
    assert!(passed_on <= 3, "{passed_on} of {CALLERS} were passed on");
}

/// Guards against an answer that is cut at a stop because its caller reads slowly.
#[test]
fn slow_reader_gets_its_whole_answer_across_a_stop() {
    const BODY_BYTES: usize = 6_000_000;
    let mut site = Site::start(1);
    site.platform.plain.set_body("b".repeat(BODY_BYTES));
    let request = Request::once("slow");
    let mut caller = KeptCaller::with_receive_buffer(site.gateway(0), 64 * 1_024);
    let text = request.to_text();
    let written = caller.write([text.as_bytes()]).expect("it is connected");
    written.expect("the request can be written");
    site.wait_for_run("slow");
    site.signal(0, "TERM");
    pause_ms(5_000);
    let answer = caller.read_answer(ROUTE_TIMEOUT_MS).whole();
    assert_eq!((answer.status, answer.text().len()), (200, BODY_BYTES));
    assert!(site.wait_for_end(0, 3_000), "it ends in time");
}

/// Guards against a request whose body is still coming at the end of a stop, and that gets no answer.
#[test]
fn request_without_its_whole_body_is_answered_at_the_end_of_a_stop() {
    let mut site = Site::start(1);
    let text = Request::once("partial").to_text();
    site.signal(0, "TERM");
    pause_ms(1_500);
    let mut caller = KeptCaller::new(site.gateway(0));
    let written = caller.write([&text.as_bytes()[..text.len() - 2]]);
    written.expect("it is connected").expect("it is written");
    let answer = caller.read_answer(ROUTE_TIMEOUT_MS).whole();
    assert_eq!(answer.status, 503);
    assert!(site.platform.runs.of("partial").is_empty());
    assert!(site.wait_for_end(0, 3_000), "it ends in time");
}

/// Shapes of requests across a stop.
#[derive(Debug, Clone, Copy)]
enum Shape {
    SplitHead,
    SplitBody,
    Chunks,
    AsksToContinue,
    LateFirstRequest,
    ManyPackets,
}

/// Sends a request that asks whether to send its body, and reads its answer.
fn send_asking(caller: &mut KeptCaller, text: &str) -> Outcome {
    let text = text.replacen("\r\n", "\r\nExpect: 100-continue\r\n", 1);
    let (head, body) = split(&text);
    match caller.write([head.as_bytes()]) {
        None => return Outcome::NotConnected,
        Some(Err(error)) => return Outcome::Unanswered(error.to_string()),
        Some(Ok(())) => {}
    }
    let stream = caller.connect().expect("it is open");
    let mut interim = [0; 25];
    let timeout = Some(Duration::from_millis(ROUTE_TIMEOUT_MS));
    stream.set_read_timeout(timeout).expect("it can be set");
    loop {
        match stream.peek(&mut interim) {
            Ok(25) if interim.starts_with(b"HTTP/1.1 100") => {
                stream.read_exact(&mut interim).expect("it was peeked");
                let _ = stream.write_all(body.as_bytes());
                break;
            }
            Ok(1..25) => pause_ms(1),
            _ => break,
        }
    }
    caller.read_answer(ROUTE_TIMEOUT_MS)
}

fn send_shape(caller: &mut KeptCaller, shape: Shape, request: &Request<'_>) -> Outcome {
    let text = request.to_text();
    let (head, body) = split(&text);
    match shape {
        Shape::SplitHead => {
            let (first, last) = text.split_at(60);
            send_in_parts(caller, &[first, last])
        }
        Shape::SplitBody => send_in_parts(caller, &[head, body]),
        Shape::Chunks => {
            let length = format!("Content-Length: {}", body.len());
            let head = head.replace(&length, "Transfer-Encoding: chunked");
            let (first, last) = body.split_at(2);
            let first = format!("{:x}\r\n{first}\r\n", first.len());
            let last = format!("{:x}\r\n{last}\r\n0\r\n\r\n", last.len());
            send_in_parts(caller, &[&head, &first, &last])
        }
        Shape::AsksToContinue => send_asking(caller, &text),
        Shape::LateFirstRequest => {
            *caller = KeptCaller::new(caller.address());
            if caller.connect().is_none() {
                return Outcome::NotConnected;
            }
            pause_ms(2 * PACKET_PAUSE_MS);
            send_in_parts(caller, &[&text])
        }
        Shape::ManyPackets => {
            let parts: Vec<_> = text.as_bytes().chunks(20).collect();
            for part in parts {
                match caller.write([part]) {
                    None => return Outcome::NotConnected,
                    Some(Err(_)) => break,
                    Some(Ok(())) => pause_ms(2),
                }
            }
            caller.read_answer(ROUTE_TIMEOUT_MS)
        }
    }
}

fn keep_sending(
    address: SocketAddr,
    name: &str,
    shape: Shape,
    is_over: &AtomicBool,
) -> Vec<(String, Outcome, Duration)> {
    let mut caller = KeptCaller::new(address);
    let mut outcomes = Vec::new();
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("{name}-{}", outcomes.len());
        let began = Instant::now();
        match send_shape(&mut caller, shape, &Request::once(&id)) {
            Outcome::NotConnected => pause_ms(20),
            outcome => {
                outcomes.push((id, outcome, began.elapsed()));
                pause_ms(10);
            }
        }
    }
    outcomes
}

/// Guards against lost answers: requests in several packets, or whose body is asked for, get no answer at a
/// planned stop.
#[test]
fn requests_in_several_packets_are_answered_across_a_stop() {
    let shapes = [
        Shape::SplitHead,
        Shape::SplitBody,
        Shape::Chunks,
        Shape::AsksToContinue,
        Shape::LateFirstRequest,
        Shape::ManyPackets,
    ];
    let mut site = Site::start(1);
    site.platform.plain.register_all();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (index, shape) in shapes.iter().cycle().take(24).enumerate() {
        let (address, is_over, shape) = (site.gateway(0), is_over.clone(), *shape);
        callers.push(thread::spawn(move || {
            let name = format!("{shape:?}-{index}");
            keep_sending(address, &name, shape, &is_over)
        }));
    }
    pause_ms(500);
    site.signal(0, "TERM");
    assert!(site.wait_for_end(0, 8_000), "it ends in time");
    is_over.store(true, Ordering::SeqCst);
    let outcomes: Vec<_> = join_all(callers).into_iter().flatten().collect();
    let mut faults = Vec::new();
    for (id, outcome, elapsed) in &outcomes {
        let runs = site.platform.runs.of(id).len();
        let is_sound = match outcome {
            Outcome::Whole(answer) => answer.status == 200 || (answer.status == 503 && runs == 0),
            _ => false,
        };
        if !is_sound {
            let outcome = outcome.describe();
            faults.push(format!("{id}: {outcome}, {runs} runs, {elapsed:?}"));
        }
    }
    assert!(faults.is_empty(), "of {}: {faults:#?}", outcomes.len());
}

/// Guards against a caller that gets no answer because the body of its request does not arrive, and against
/// bytes that come later and are taken for another request.
#[test]
fn request_whose_body_does_not_arrive_is_answered() {
    const TIMEOUT_MS: u64 = 1_500;
    let site = Site::start(1);
    site.put_config_with(&[KEY], TIMEOUT_MS, RequestLimits::default());
    pause_ms(CONFIG_APPLY_MS);
    let request = Request {
        body: "a body of which one half arrives",
        ..Request::once("late")
    };
    let text = request.to_text();
    let mut caller = KeptCaller::new(site.gateway(0));
    let sent = &text[..text.len() - request.body.len() / 2];
    let written = caller.write([sent.as_bytes()]).expect("it is connected");
    written.expect("it can be written");
    let began = Instant::now();
    let answer = caller.read_answer(ROUTE_TIMEOUT_MS).whole();
    assert_eq!(answer.status, 408);
    assert!(answer.announces_close());
    let elapsed = began.elapsed();
    let latest = Duration::from_millis(TIMEOUT_MS + 500);
    assert!(elapsed <= latest, "{elapsed:?}");
    assert!(site.platform.runs.of("late").is_empty());
}
