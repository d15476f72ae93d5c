//! Refuses connections above the limit, all on one thread, so that their callers get an immediate
//! answer that the request was not run.
//!
//! Closing a connection with unread bytes resets it, and the reset can overtake the answer. Each
//! refused connection is therefore read until its caller closes it, for a short time. While as many
//! as allowed are read, no further ones are taken: they wait in the listener's queue.

use std::{
    collections::VecDeque,
    io::{ErrorKind, Read},
    net::{Shutdown, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, RecvTimeoutError};
use jacinthpoint_types::ResultCode;

use crate::{
    events::log_event,
    http::{request::RequestError, response::Responder},
};

/// Largest number of connections that wait for their refusal, and of refused ones that are still
/// open.
pub(crate) const MAX_REFUSED: usize = 256;
/// Time after which a refused connection is closed.
const KEEP_MS: u64 = 10_000;
/// Time without a received byte after which it is closed.
const KEEP_IDLE_MS: u64 = 1_000;
/// Time after which a refused connection is closed if others wait. The answer has reached a caller
/// at a usual distance by then.
const KEEP_UNDER_PRESSURE_MS: u64 = 200;
/// Interval at which refused connections are read.
const POLL_MS: u64 = 20;

/// A refused connection that is still open.
struct RefusedConnection {
    stream: TcpStream,
    keep_until: Instant,
    /// Time at which it is closed unless its caller sends something.
    idle_until: Instant,
    /// Time from which it may be closed for others.
    replaceable_from: Instant,
}

/// Refuses the connections from `overflow` until the channel is closed and the last connection has
/// been closed.
pub(crate) fn run(
    overflow: &Receiver<TcpStream>,
    refuse: impl Fn(RequestError, &mut Responder<'_>),
) {
    let mut kept: VecDeque<RefusedConnection> = VecDeque::new();
    let mut next_poll_at = Instant::now();
    loop {
        if kept.len() < MAX_REFUSED {
            match overflow.recv_deadline(next_poll_at) {
                Ok(stream) => kept.extend(refuse_connection(stream, &refuse)),
                Err(RecvTimeoutError::Disconnected) if kept.is_empty() => return,
                Err(RecvTimeoutError::Disconnected) => sleep_until(next_poll_at),
                Err(RecvTimeoutError::Timeout) => {}
            }
        } else {
            sleep_until(next_poll_at);
        }
        let now = Instant::now();
        if now < next_poll_at {
            continue;
        }
        next_poll_at = now + Duration::from_millis(POLL_MS);
        kept.retain_mut(|refused| {
            let is_open = discard_received(refused, now);
            is_open && now < refused.keep_until.min(refused.idle_until)
        });
        while kept.len() >= MAX_REFUSED && kept[0].replaceable_from <= now {
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
    let is_refused = stream.set_nonblocking(true).and_then(|()| {
        let error = RequestError::Refused(ResultCode::NoCapacity, "too many connections");
        refuse(error, &mut Responder::new(&stream, false, false));
        stream.shutdown(Shutdown::Write)
    });
    if let Err(error) = is_refused {
        log_event!(
            debug,
            ConnectionFailed,
            %error,
            "a connection failed before its refusal was sent"
        );
        return None;
    }
    let now = Instant::now();
    Some(RefusedConnection {
        stream,
        keep_until: now + Duration::from_millis(KEEP_MS),
        idle_until: now + Duration::from_millis(KEEP_IDLE_MS),
        replaceable_from: now + Duration::from_millis(KEEP_UNDER_PRESSURE_MS),
    })
}

/// Reads and discards what the caller has sent. Returns whether the connection is still open.
fn discard_received(refused: &mut RefusedConnection, now: Instant) -> bool {
    match refused.stream.read(&mut [0; 4096]) {
        Ok(0) => false,
        Ok(_) => {
            refused.idle_until = now + Duration::from_millis(KEEP_IDLE_MS);
            true
        }
        Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

fn sleep_until(deadline: Instant) {
    thread::sleep(deadline.saturating_duration_since(Instant::now()));
}
