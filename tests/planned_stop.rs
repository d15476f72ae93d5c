//! A planned stop cuts nothing, and an ended one says what it cut.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
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

/// Callers that ask without a pause while a node stops.
const STOP_CALLERS: usize = 16;
/// Stops played for each case.
const STOP_ROUNDS: usize = 3;

/// Ends of connections that a caller saw.
#[derive(Debug, Default)]
struct Ends {
    answered: usize,
    /// Connections that were accepted and ended without an answer.
    unanswered: Vec<String>,
}

impl Ends {
    /// Checks that each connection ended with an answer.
    fn check(&self) {
        assert!(self.answered > 0, "{self:?}");
        assert!(self.unanswered.is_empty(), "{self:?}");
    }
}

/// Asks on one connection until an answer says that it closes, then on a new one, until the node
/// accepts no more.
fn ask_until_gone(node: SocketAddr) -> Ends {
    let mut ends = Ends::default();
    let request = format!(
        "GET /v1/models HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {}\r\n\r\n",
        KEYS[0].1
    );
    while let Ok(mut connection) = TcpStream::connect(node) {
        let timeout = Some(Duration::from_millis(END_DEADLINE_MS));
        connection.set_read_timeout(timeout).expect("a timeout");
        let mut use_of_connection = "new";
        loop {
            let mut answer = String::new();
            let mut chunk = [0; 4096];
            let asked = connection.write_all(request.as_bytes());
            while asked.is_ok() && !answer.ends_with('}') {
                match connection.read(&mut chunk) {
                    Ok(read) if read > 0 => {
                        answer.push_str(std::str::from_utf8(&chunk[..read]).expect("UTF-8"));
                    }
                    Ok(_) => break,
                    Err(error) => {
                        answer.push_str(&error.kind().to_string());
                        break;
                    }
                }
            }
            if !answer.ends_with('}') {
                let end = format!("{use_of_connection}, {asked:?}, {answer}");
                ends.unanswered.push(end);
                break;
            }
            ends.answered += 1;
            use_of_connection = "kept";
            if answer.contains("connection: close") {
                break;
            }
        }
    }
    ends
}

/// Limits of a node that stops under callers that come back at once.
macro_rules! stop_under_callers {
    ($($name:ident: $limits:expr;)+) => {
        $(
            /// Guards against connections that are accepted and closed unread until the process ends.
            #[test]
            fn $name() {
                let site = Site::start(SiteOptions::small());
                for _ in 0..STOP_ROUNDS {
                    let limits = concat!("drain_announce_ms = 1000\n", $limits);
                    let mut node = LoneNode::start(site.platform_address, limits);
                    let address = node.callers;
                    let callers: Vec<_> = (0..STOP_CALLERS)
                        .map(|_| thread::spawn(move || ask_until_gone(address)))
                        .collect();
                    thread::sleep(Duration::from_millis(500));
                    by_signal(&node);
                    for caller in callers {
                        let ends = caller.join().expect("no panic");
                        ends.check();
                    }
                    let status = node.process.wait(END_DEADLINE_MS).expect("the node stops");
                    assert_eq!(status.code(), Some(0));
                }
            }
        )+
    };
}

stop_under_callers! {
    stop_ends_no_connection_without_an_answer: "";
    stop_beyond_the_connection_limit_ends_no_connection_without_an_answer: "max_connections = 4";
}

site_test!(
    requests_that_arrive_as_the_listener_closes_are_answered,
    SiteOptions::small(),
    |site| {
        let limits = "drain_announce_ms = 700\ndrain_deadline_ms = 60000";
        let mut node = node_of(&site, limits);
        let mut connections: Vec<TcpStream> = (0..8).map(|_| kept_alive(node.callers)).collect();
        by_signal(&node);
        wait_until("the stop begins", END_DEADLINE_MS, || {
            node.readiness() == 503
        });
        // The announcement passes while the process is stopped.
        node.process.signal("STOP");
        connections.extend((0..8).map(|_| TcpStream::connect(node.callers).expect("accepted")));
        for connection in &mut connections {
            let request = format!(
                "GET /v1/models HTTP/1.1\r\nhost: n\r\nauthorization: Bearer {}\r\n\r\n",
                KEYS[0].1
            );
            connection.write_all(request.as_bytes()).expect("sent");
            connection.shutdown(Shutdown::Write).expect("shut down");
        }
        thread::sleep(Duration::from_millis(1_000));
        node.process.signal("CONT");
        for connection in &mut connections {
            let mut answer = String::new();
            connection.read_to_string(&mut answer).expect("an answer");
            assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        }
        let status = node.process.wait(END_DEADLINE_MS).expect("the node stops");
        assert_eq!(status.code(), Some(0));
    }
);
