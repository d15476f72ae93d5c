//! Refuses connections above the limit, all on one thread, so that their callers get an immediate
//! answer that the request was not run.
//!
//! Closing a connection with unread bytes resets it, and the reset can overtake the answer. Each
//! refused connection is therefore read until its caller closes it, for a short time.

use std::{
    collections::VecDeque,
    io::{ErrorKind, Read},
    net::{Shutdown, TcpStream},
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use jacinthpoint_types::ResultCode;

use crate::http::{request::RequestError, response::Responder};

/// Largest number of connections that wait for their refusal, and of refused ones that are still
/// open. Of the refused ones, the oldest is closed first.
pub(crate) const MAX_REFUSED: usize = 256;
/// Time after which a refused connection is closed.
const KEEP_MS: u64 = 1_000;
/// Interval at which refused connections are read.
const POLL_MS: u64 = 20;

/// A refused connection that is still open.
struct RefusedConnection {
    stream: TcpStream,
    keep_until: Instant,
}

/// Refuses the connections from `overflow` until the channel is closed and the last connection has
/// been closed.
pub(crate) fn run(
    overflow: &Receiver<TcpStream>,
    refuse: impl Fn(RequestError, &mut Responder<'_>),
) {
    let mut kept: VecDeque<RefusedConnection> = VecDeque::new();
    loop {
        match overflow.recv_timeout(Duration::from_millis(POLL_MS)) {
            Ok(stream) => kept.extend(refuse_connection(stream, &refuse)),
            Err(RecvTimeoutError::Disconnected) if kept.is_empty() => return,
            Err(RecvTimeoutError::Disconnected) => {
                std::thread::sleep(Duration::from_millis(POLL_MS));
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        let now = Instant::now();
        kept.retain(|refused| refused.keep_until > now && discard_received(&refused.stream));
        if kept.len() > MAX_REFUSED {
            kept.pop_front();
        }
    }
}

/// Refuses a connection and closes its sending side. Returns `None` if the connection failed.
fn refuse_connection(
    stream: TcpStream,
    refuse: &impl Fn(RequestError, &mut Responder<'_>),
) -> Option<RefusedConnection> {
    // Non-blocking, so that a slow caller cannot stall this thread. The answer fits the empty send
    // buffer of a new connection.
    stream.set_nonblocking(true).ok()?;
    let error = RequestError::Refused(ResultCode::NoCapacity, "too many connections");
    refuse(error, &mut Responder::new(&stream, false, false));
    stream.shutdown(Shutdown::Write).ok()?;
    Some(RefusedConnection {
        stream,
        keep_until: Instant::now() + Duration::from_millis(KEEP_MS),
    })
}

/// Reads and discards what the caller has sent. Returns whether the connection is still open.
fn discard_received(mut stream: &TcpStream) -> bool {
    match stream.read(&mut [0; 4096]) {
        Ok(read) => read > 0,
        Err(error) => error.kind() == ErrorKind::WouldBlock,
    }
}
