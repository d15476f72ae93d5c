//! Answers connections beyond the bound, all on one thread, so that each caller learns at once that
//! its request was not run.
//!
//! A connection that is closed with unread bytes is reset, and the reset can overtake the answer.
//! So each one is kept and read until its caller closes, for a short time.

use std::{
    collections::VecDeque,
    io::{ErrorKind, Read},
    net::{Shutdown, TcpStream},
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use jacinthpoint_types::ResultCode;

use crate::http::{request::RequestError, response::Responder};

/// Connections waiting for their refusal or their end; beyond these, the oldest are closed.
pub(crate) const MAX_REFUSED: usize = 256;
/// How long a refused connection is kept.
const KEEP_MS: u64 = 1_000;
/// How often refused connections are read.
const POLL_MS: u64 = 20;

struct Refused {
    stream: TcpStream,
    keep_until: Instant,
}

/// Refuses connections until the channel is closed and the last one has ended.
pub(crate) fn run(
    overflow: &Receiver<TcpStream>,
    refuse: impl Fn(RequestError, &mut Responder<'_>),
) {
    let mut kept: VecDeque<Refused> = VecDeque::new();
    loop {
        match overflow.recv_timeout(Duration::from_millis(POLL_MS)) {
            Ok(stream) => kept.extend(answer(stream, &refuse)),
            Err(RecvTimeoutError::Disconnected) if kept.is_empty() => return,
            Err(RecvTimeoutError::Disconnected) => {
                std::thread::sleep(Duration::from_millis(POLL_MS));
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        let now = Instant::now();
        kept.retain(|refused| refused.keep_until > now && is_open(&refused.stream));
        if kept.len() > MAX_REFUSED {
            kept.pop_front();
        }
    }
}

fn answer(
    stream: TcpStream,
    refuse: &impl Fn(RequestError, &mut Responder<'_>),
) -> Option<Refused> {
    // The answer fits the empty buffer of a new connection, so nothing here ever waits.
    stream.set_nonblocking(true).ok()?;
    let error = RequestError::Refused(ResultCode::NoCapacity, "too many connections");
    refuse(error, &mut Responder::new(&stream, false));
    stream.shutdown(Shutdown::Write).ok()?;
    Some(Refused {
        stream,
        keep_until: Instant::now() + Duration::from_millis(KEEP_MS),
    })
}

/// Drops what the caller has sent; `false` once it has closed.
fn is_open(mut stream: &TcpStream) -> bool {
    match stream.read(&mut [0; 4096]) {
        Ok(read) => read > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}
