//! A planned stop cuts nothing, and an ended one says what it cut.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::util::{
    Call, KEYS, LoneNode, Site, SiteOptions, jacinthpoint, permitted_groups, status, wait_until,
};

/// Time for a caller to get its answer, and for a node to stop once nothing is left to do.
const END_DEADLINE_MS: u64 = 30_000;

/// Begins the planned stop of a node.
fn by_signal(node: &LoneNode) {
    node.process.signal("TERM");
}

/// Begins the planned stop of a node.
fn by_command(node: &LoneNode) {
    let ended = jacinthpoint(&["drain", &node.operators.to_string()]);
    assert_eq!(ended.exit, 0, "{ended:?}");
}

/// A node beside those of the site, which serves the site's groups.
fn node_of(site: &Site, limits: &str) -> LoneNode {
    let node = LoneNode::start(site.platform_address, limits);
    wait_until("the node may use the groups", END_DEADLINE_MS, || {
        permitted_groups(node.operators).len() == usize::from(site.options.groups)
    });
    node
}

/// Streams of about `tokens` times 5 ms, all begun when this returns.
fn begin_streams(site: &Site, node: SocketAddr, tokens: u64) -> Vec<JoinHandle<String>> {
    let calls: Vec<Call> = (0..8)
        .map(|number| Call {
            stream: true,
            max_tokens: tokens,
            ..Call::new(&format!("stream {number}"))
        })
        .collect();
    let streams = calls.iter().cloned().map(|call| {
        thread::spawn(move || match call.send(node) {
            Ok(answer) if answer.text == call.expected() => answer.outcome,
            Ok(answer) => format!("not its own answer, {}", answer.outcome),
            Err(error) => error,
        })
    });
    let streams = streams.collect();
    wait_until("all streams run", END_DEADLINE_MS, || {
        let runs: Vec<String> = site.run_log().into_iter().map(|run| run.request).collect();
        let has_run = |call: &Call| runs.contains(&call.request.to_string());
        calls.iter().all(has_run)
    });
    streams
}

fn ends(streams: Vec<JoinHandle<String>>) -> Vec<String> {
    let ends = streams.into_iter().map(|stream| stream.join());
    ends.map(|end| end.expect("no panic")).collect()
}

/// A connection that has had one answer and is kept alive.
fn kept_alive(node: SocketAddr) -> TcpStream {
    let mut connection = TcpStream::connect(node).expect("the node accepts");
    let timeout = Some(Duration::from_millis(END_DEADLINE_MS));
    connection.set_read_timeout(timeout).expect("a timeout");
    let answer = ask_models(&mut connection);
    assert!(!answer.contains("connection: close"), "{answer}");
    connection
}

/// Asks for the models and reads one answer.
fn ask_models(connection: &mut TcpStream) -> String {
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {}\r\n\r\n",
        KEYS[0].1
    );
    connection
        .write_all(request.as_bytes())
        .expect("the request goes out");
    let mut answer = String::new();
    let mut chunk = [0; 4096];
    // The body is one JSON object, which ends so.
    while !answer.ends_with("\"list\"}") {
        let read = connection.read(&mut chunk).expect("an answer");
        assert!(read > 0, "closed after {answer:?}");
        answer.push_str(std::str::from_utf8(&chunk[..read]).expect("UTF-8"));
    }
    answer
}

/// A way to begin the planned stop, under which all streams must end whole.
macro_rules! cuts_nothing {
    ($($name:ident: $begin:expr;)+) => {
        $(
            site_test!($name, SiteOptions::small(), |site| {
                let limits = "drain_announce_ms = 500\ndrain_deadline_ms = 60000";
                let mut node = node_of(&site, limits);
                let streams = begin_streams(&site, node.callers, 400);
                $begin(&node);
                assert_eq!(ends(streams), ["answered"; 8]);
                let status = node.process.wait(END_DEADLINE_MS).expect("the node stops");
                assert_eq!(status.code(), Some(0));
            });
        )+
    };
}

cuts_nothing! {
    signal_cuts_no_stream: by_signal;
    command_cuts_no_stream: by_command;
}

site_test!(
    readiness_fails_before_the_listener_closes,
    SiteOptions::small(),
    |site| {
        let limits = "drain_announce_ms = 3000\ndrain_deadline_ms = 60000";
        let mut node = node_of(&site, limits);
        let mut idle = kept_alive(node.callers);
        let mut used = kept_alive(node.callers);
        by_command(&node);
        assert_eq!(node.readiness(), 503);
        let answer = Call::new("while announced").send(node.callers);
        assert_eq!(answer.expect("still accepted").outcome, "answered");
        let answer = ask_models(&mut used);
        assert!(answer.contains("connection: close"), "{answer}");
        assert_eq!(used.read(&mut [0; 16]).expect("closed in order"), 0);
        wait_until("the listener closes", END_DEADLINE_MS, || {
            TcpStream::connect(node.callers).is_err()
        });
        assert_eq!(idle.read(&mut [0; 16]).expect("closed in order"), 0);
        drop(idle);
        let status = node.process.wait(END_DEADLINE_MS).expect("the node stops");
        assert_eq!(status.code(), Some(0));
    }
);

site_test!(
    request_that_is_half_sent_is_answered,
    SiteOptions::small(),
    |site| {
        let limits = "drain_announce_ms = 0\ndrain_deadline_ms = 60000";
        let mut node = node_of(&site, limits);
        let mut connection = TcpStream::connect(node.callers).expect("the node accepts");
        let timeout = Some(Duration::from_millis(END_DEADLINE_MS));
        connection.set_read_timeout(timeout).expect("a timeout");
        let (first, second) = ("GET /v1/models HTT", "P/1.1\r\nhost: n\r\n\r\n");
        connection.write_all(first.as_bytes()).expect("sent");
        wait_until("the first half is read", END_DEADLINE_MS, || {
            status(node.operators)["in_flight"] == 1
        });
        by_signal(&node);
        wait_until("the listener closes", END_DEADLINE_MS, || {
            TcpStream::connect(node.callers).is_err()
        });
        connection.write_all(second.as_bytes()).expect("sent");
        let mut answer = String::new();
        connection.read_to_string(&mut answer).expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
        drop(connection);
        let status = node.process.wait(END_DEADLINE_MS).expect("the node stops");
        assert_eq!(status.code(), Some(0));
    }
);

site_test!(
    second_signal_ends_the_stop_and_tells,
    SiteOptions::small(),
    |site| {
        let mut node = node_of(
            &site,
            "drain_announce_ms = 60000\ndrain_deadline_ms = 120000",
        );
        let streams = begin_streams(&site, node.callers, 4_000);
        by_signal(&node);
        wait_until("the stop begins", END_DEADLINE_MS, || {
            node.readiness() == 503
        });
        by_signal(&node);
        let status = node.process.wait(END_DEADLINE_MS).expect("the node stops");
        assert_eq!(status.code(), Some(4));
        let answered = ends(streams)
            .iter()
            .filter(|end| *end == "answered")
            .count();
        assert_eq!(answered, 0);
    }
);

site_test!(
    deadline_ends_the_stop_and_tells,
    SiteOptions::small(),
    |site| {
        let mut node = node_of(&site, "drain_announce_ms = 0\ndrain_deadline_ms = 500");
        let streams = begin_streams(&site, node.callers, 4_000);
        by_signal(&node);
        let status = node.process.wait(END_DEADLINE_MS).expect("the node stops");
        assert_eq!(status.code(), Some(4));
        drop(ends(streams));
    }
);
