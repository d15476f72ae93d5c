//! A listener that closes under callers that connect without a pause resets no connection.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_listener::{HANDSHAKE_MS, ignore_attempts};

const ROUNDS: usize = 20;
const CALLERS: usize = 12;
/// Time for which a listener is open.
const OPEN_MS: u64 = 50;
/// Time for an answer, or for a connection attempt.
const TIMEOUT_MS: u64 = 5_000;

/// Connects and asks until a connection is refused; returns the number of answers, and the first end of a
/// connection without one.
fn ask_until_refused(address: SocketAddr) -> (usize, Option<String>) {
    let timeout = Duration::from_millis(TIMEOUT_MS);
    for answers in 0.. {
        let mut connection = match TcpStream::connect_timeout(&address, timeout) {
            Ok(connection) => connection,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return (answers, None),
            Err(error) => return (answers, Some(error.to_string())),
        };
        let asked = connection
            .set_read_timeout(Some(timeout))
            .and_then(|()| connection.write_all(b"?"))
            .and_then(|()| connection.read_exact(&mut [0]));
        if let Err(error) = asked {
            return (answers, Some(error.to_string()));
        }
    }
    unreachable!("the listener closes");
}

/// Accepts a connection, if one waits, and answers; returns whether one waited.
fn answer_next(listener: &TcpListener) -> bool {
    match listener.accept() {
        Ok((mut connection, _)) => {
            connection.set_nonblocking(false).expect("it can be set");
            let _ = connection.read_exact(&mut [0]);
            let _ = connection.write_all(b"!");
            true
        }
        Err(_) => {
            thread::sleep(Duration::from_micros(100));
            false
        }
    }
}

/// Answers until a time, whether or not more connections wait then.
fn answer_until(listener: &TcpListener, end: Instant) {
    while Instant::now() < end {
        answer_next(listener);
    }
}

/// Guards against connections that are established as a listener closes, and reset without an answer.
#[test]
fn close_under_load_resets_no_connection() {
    let mut unanswered = Vec::new();
    for _ in 0..ROUNDS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("it can be set");
        let address = listener.local_addr().expect("a bound port");
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| thread::spawn(move || ask_until_refused(address)))
            .collect();
        answer_until(&listener, Instant::now() + Duration::from_millis(OPEN_MS));
        ignore_attempts(&listener).expect("Linux has filters");
        answer_until(
            &listener,
            Instant::now() + Duration::from_millis(HANDSHAKE_MS),
        );
        drop(listener);
        for caller in callers {
            let (_, end) = caller.join().expect("no panic");
            unanswered.extend(end);
        }
    }
    assert!(unanswered.is_empty(), "{unanswered:?}");
}
