//! Slow callers, callers that leave, too many connections, and random damage.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, TcpStream},
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_types::rendezvous_weight;

use crate::{
    bad_input::{
        END_DEADLINE_MS, FEW_OPEN_FILES, Target, assert_refused, completion, connect,
        models_request, read_to_end, sized,
    },
    util::{KEYS, wait_until},
};

/// Time for which a node has no open file left.
const SHORTAGE_MS: u64 = 1_000;
/// Random requests sent by the case that mutates a valid one.
const MUTATIONS: u64 = 400;

/// Unfinished requests, held open. Each is refused at its deadline, not before and not never.
macro_rules! unfinished {
    ($($name:ident: $bytes:expr;)+) => {
        $(
            #[test]
            fn $name() {
                let target = Target::start("read_deadline_ms = 1000");
                let mut connection = connect(target.node.callers);
                connection.write_all($bytes).expect("sent");
                let start = Instant::now();
                assert_refused(&read_to_end(&mut connection), 408, 1009);
                assert!(start.elapsed() >= Duration::from_millis(900));
                target.assert_serves();
            }
        )+
    };
}

unfinished! {
    half_a_request_line: b"GET /v1/mod";
    half_a_head: b"GET /v1/models HTTP/1.1\r\nhost: n\r\n";
    half_a_body: &completion("content-length: 100\r\n", b"{\"model\":");
}

/// A byte now and then does not put the deadline off.
#[test]
fn slow_head_is_refused_at_the_deadline() {
    let target = Target::start("read_deadline_ms = 1000");
    let mut connection = connect(target.node.callers);
    let mut sender = connection.try_clone().expect("a second handle");
    let dripping = thread::spawn(move || {
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(END_DEADLINE_MS) {
            if sender.write_all(b"x").is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    });
    let answer = read_to_end(&mut connection);
    assert_refused(&answer, 408, 1009);
    let _ = connection.shutdown(Shutdown::Both);
    dripping.join().expect("no panic");
}

#[test]
fn silent_connections_do_not_hold_off_others() {
    let target = Target::start("max_connections = 40\nread_deadline_ms = 2000");
    let mut slow: Vec<TcpStream> = (0..39).map(|_| connect(target.node.callers)).collect();
    for connection in &mut slow {
        connection.write_all(b"GET /").expect("sent");
    }
    // One place is left, and whoever uses it is served at once.
    for _ in 0..5 {
        wait_until("another caller is served", END_DEADLINE_MS, || {
            let answer = target.answer_to(models_request(KEYS[0].1).as_bytes());
            answer.starts_with("HTTP/1.1 200")
        });
    }
}

#[test]
fn connections_beyond_the_bound_are_refused_at_once() {
    let target = Target::start("max_connections = 4\nread_deadline_ms = 2000");
    let mut slow: Vec<TcpStream> = (0..4).map(|_| connect(target.node.callers)).collect();
    for connection in &mut slow {
        connection.write_all(b"GET /").expect("sent");
    }
    let answer = target.answer_to(models_request(KEYS[0].1).as_bytes());
    assert_refused(&answer, 503, 2004);
    wait_until("the slow ones are gone", END_DEADLINE_MS, || {
        let answer = target.answer_to(models_request(KEYS[0].1).as_bytes());
        answer.starts_with("HTTP/1.1 200")
    });
}

/// Callers that leave in the middle do no harm.
#[test]
fn callers_that_leave_do_no_harm() {
    let target = Target::start("");
    let whole = sized(b"{\"model\": \"jp-model\"}");
    for end in 0..whole.len() {
        let mut connection = connect(target.node.callers);
        connection.write_all(&whole[..end]).expect("sent");
    }
    target.assert_serves();
}

/// Valid requests with one to three bytes changed, the same on every run.
#[test]
fn mutated_requests_do_no_harm() {
    let target = Target::start("read_deadline_ms = 300");
    let whole = sized(b"{\"model\": \"no-model\", \"stream\": true}");
    for number in 0..MUTATIONS {
        let mut bytes = whole.clone();
        for change in 0..=number % 3 {
            let random = rendezvous_weight("mutation", &format!("{number}-{change}"));
            let place = random as usize % bytes.len();
            bytes[place] = (random >> 32) as u8;
        }
        let mut connection = connect(target.node.callers);
        connection.write_all(&bytes).expect("sent");
        connection.shutdown(Shutdown::Write).expect("shut down");
        let mut answer = Vec::new();
        match connection.read_to_end(&mut answer) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionReset => {}
            Err(error) => panic!("{error}: {:?}", String::from_utf8_lossy(&bytes)),
        }
        assert!(
            !answer.starts_with(b"HTTP/1.1 5"),
            "{:?}",
            String::from_utf8_lossy(&answer)
        );
    }
    target.assert_serves();
}

/// Guards against a listener that accepts nothing more after a connection for which the node had no
/// open file left.
#[test]
fn every_listener_goes_on_after_the_node_ran_out_of_open_files() {
    let target = Target::with_few_open_files();
    let listeners = [target.node.callers, target.node.operators];
    for listener in listeners {
        let flood: Vec<TcpStream> = (0..2 * FEW_OPEN_FILES).map(|_| connect(listener)).collect();
        thread::sleep(Duration::from_millis(SHORTAGE_MS));
        drop(flood);
        wait_until("the node is ready again", END_DEADLINE_MS, || {
            target.node.readiness() == 200
        });
        wait_until("callers are served again", END_DEADLINE_MS, || {
            let answer = target.answer_to(models_request(KEYS[0].1).as_bytes());
            answer.starts_with("HTTP/1.1 200")
        });
    }
}
