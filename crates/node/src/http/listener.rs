//! Accepts callers' connections, a bounded number of them, a thread each.

use std::{
    io::{self, ErrorKind, Read},
    net::{Shutdown, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crossbeam::channel::{self, Sender};
use socket2::SockRef;

use crate::{
    drain::{Drain, OpenConnection},
    http::{
        head::HttpRequest,
        overflow,
        request::{RequestError, RequestReader},
        response::Responder,
    },
};

/// How often the accepting thread looks whether the node stops while nobody connects.
const ACCEPT_POLL_MS: u64 = 100;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_MS: u64 = 5;
/// How long a kept-alive connection may stay idle.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// How long a new connection may wait with its first byte, also during a planned stop: its caller
/// connected before the listener closed and is about to send.
const FIRST_BYTE_MS: u64 = 2_000;
/// How long a connection is read on after the last answer. Closing with unread bytes resets the
/// connection, and the reset can overtake the answer.
const LINGER_MS: u64 = 10_000;
/// It is read on no longer than this after the last byte.
const LINGER_IDLE_MS: u64 = 1_000;
/// Stack of a connection's thread; a node at the target size runs a few hundred.
const STACK_BYTES: usize = 256 * 1024;

/// Bounds of the listener.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListenerLimits {
    /// Open connections beyond which new ones are refused at once.
    pub(crate) max_connections: usize,
    /// Time to send a whole head once its first byte has come, and then the whole body.
    pub(crate) read_deadline_ms: u64,
}

/// Accepts until the planned stop closes the listener, then returns; connections end on their own.
pub(crate) fn serve(
    listener: TcpListener,
    limits: ListenerLimits,
    drain: &Arc<Drain>,
    handler: Arc<
        impl Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>) + Send + Sync + 'static,
    >,
) -> io::Result<()> {
    // Accepting then ends by itself from time to time, and a connection still wakes it at once.
    let poll = Duration::from_millis(ACCEPT_POLL_MS);
    SockRef::from(&listener).set_read_timeout(Some(poll))?;
    let overflow = spawn_overflow(&handler)?;
    loop {
        // Looked at before accepting, so that what the kernel took earlier is still accepted.
        let is_closing = drain.is_closing();
        // Callers that go on connecting must not keep the listener open.
        listener.set_nonblocking(is_closing)?;
        match listener.accept() {
            Ok((stream, _)) => match drain.open(limits.max_connections) {
                Some(open) => spawn_connection(stream, limits, open, drain.clone(), &handler),
                // Closed without an answer if even the refusals are too many.
                None => drop(overflow.try_send(stream)),
            },
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if is_closing {
                    return Ok(());
                }
            }
            // Such as a connection reset before it was accepted, or no free descriptor.
            Err(_) => thread::sleep(Duration::from_millis(ACCEPT_RETRY_MS)),
        }
    }
}

fn spawn_connection<H>(
    stream: TcpStream,
    limits: ListenerLimits,
    open: OpenConnection,
    drain: Arc<Drain>,
    handler: &Arc<H>,
) where
    H: Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>) + Send + Sync + 'static,
{
    let handler = handler.clone();
    let run = move || {
        connection(&stream, limits, &drain, &*handler);
        drop(open);
    };
    let thread = thread::Builder::new()
        .name("caller".to_owned())
        .stack_size(STACK_BYTES);
    // Without a thread the connection is closed; the caller sees it at once.
    drop(thread.spawn(run));
}

fn spawn_overflow<H>(handler: &Arc<H>) -> io::Result<Sender<TcpStream>>
where
    H: Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>) + Send + Sync + 'static,
{
    let (overflow, refused) = channel::bounded(overflow::MAX_REFUSED);
    let handler = handler.clone();
    thread::Builder::new()
        .name("overflow".to_owned())
        .spawn(move || {
            overflow::run(&refused, |error, responder| handler(Err(error), responder))
        })?;
    Ok(overflow)
}

fn connection(
    stream: &TcpStream,
    limits: ListenerLimits,
    drain: &Drain,
    handler: &impl Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>),
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut reader = RequestReader::new(stream, limits.read_deadline_ms);
    let first_byte_until = Instant::now() + Duration::from_millis(FIRST_BYTE_MS);
    let mut keep_waiting: Box<dyn Fn() -> bool> = Box::new(|| Instant::now() < first_byte_until);
    while reader.wait_for_first_byte(&keep_waiting) {
        let in_flight = drain.enter();
        let read = reader.next();
        if let Ok(request) = &read {
            in_flight.describe(request.path(), request.header("x-request-id"));
        }
        if !answer(stream, drain, read, handler) {
            break;
        }
        drop(in_flight);
        let idle_until = Instant::now() + Duration::from_millis(IDLE_TIMEOUT_MS);
        keep_waiting = Box::new(move || !drain.is_closing() && Instant::now() < idle_until);
    }
    linger(stream);
}

/// Answers one request; tells whether the connection may be used for another.
fn answer(
    stream: &TcpStream,
    drain: &Drain,
    read: Result<HttpRequest, RequestError>,
    handler: &impl Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>),
) -> bool {
    match read {
        Ok(request) => {
            // Told from the announcement on, so that few connections are left when it closes.
            let keep_alive = request.keep_alive && !drain.is_draining();
            let mut responder = Responder::new(stream, keep_alive);
            handler(Ok(&request), &mut responder);
            responder.keeps_alive()
        }
        Err(RequestError::Broken) => false,
        Err(refused) => {
            handler(Err(refused), &mut Responder::new(stream, false));
            false
        }
    }
}

/// Closes the sending side, then reads what the caller still sends until it closes too.
fn linger(mut stream: &TcpStream) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let until = Instant::now() + Duration::from_millis(LINGER_MS);
    let mut dropped = [0; 4096];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let wait = left.min(Duration::from_millis(LINGER_IDLE_MS));
        if wait.is_zero() || stream.set_read_timeout(Some(wait)).is_err() {
            return;
        }
        match stream.read(&mut dropped) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
