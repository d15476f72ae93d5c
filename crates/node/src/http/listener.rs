//! Accepts callers' connections, up to a limit, and serves each on a thread of its own.

use std::{
    io::{self, ErrorKind},
    net::{Shutdown, TcpListener, TcpStream},
    sync::Arc,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crossbeam::channel::{self, SendTimeoutError, Sender};
use jacinthpoint_listener::{HANDSHAKE_MS, ignore_attempts};
use jacinthpoint_types::ResultCode;
use socket2::SockRef;

use crate::{
    drain::{Drain, OpenConnection},
    events::log_event,
    http::{
        body_memory::BodyMemory,
        head::HttpRequest,
        overflow,
        request::{RequestError, RequestReader, read_uninterrupted},
        response::Responder,
    },
};

/// Interval at which the accepting thread checks for a planned stop while no connection arrives.
const ACCEPT_POLL_MS: u64 = 100;
/// Interval at which a closing listener is asked for connections.
const CLOSING_POLL_MS: u64 = 1;
/// Pause after `accept` failed.
const ACCEPT_RETRY_MS: u64 = 5;
/// Time after which an idle kept-alive connection is closed.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Time after which a new connection that has sent nothing is closed. It also applies during a
/// planned stop, since the caller connected before the listener closed and is about to send.
const FIRST_BYTE_MS: u64 = 2_000;
/// Time for which a connection is read after its last answer. Closing a connection with unread
/// bytes resets it, and the reset can overtake the answer.
const LINGER_MS: u64 = 10_000;
/// Time without a received byte after which that reading ends, unless a request was refused before
/// its end: its caller may still be sending the rest, with pauses.
const LINGER_IDLE_MS: u64 = 1_000;
/// Stack size of a connection's thread. A node under its design load runs a few hundred
/// of them.
const STACK_BYTES: usize = 256 * 1024;

/// What follows an answer on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterAnswer {
    /// Another request may follow.
    KeepOpen,
    /// The connection is closed; the caller has sent all that it had to send, or is too slow.
    Close,
    /// The connection is closed, and the caller may still be sending the refused request.
    CloseWhileReceiving,
}

/// Limits of the listener.
#[derive(Debug, Clone)]
pub(crate) struct ListenerLimits {
    /// Largest number of open connections; further ones are refused.
    pub(crate) max_connections: usize,
    /// Time limit for the whole head after its first byte, and again for the whole body after it.
    pub(crate) read_deadline_ms: u64,
    /// Largest body.
    pub(crate) max_body_bytes: usize,
    /// Memory of all requests together.
    pub(crate) memory: Arc<BodyMemory>,
}

/// Accepts connections until a planned stop closes the listener, and returns once those above the limit
/// have been refused. Others may still be open; [`Drain`] counts them.
///
/// # Errors
///
/// Fails if the listener or its overflow thread cannot be set up, or if that thread panicked.
pub(crate) fn serve(
    listener: TcpListener,
    limits: ListenerLimits,
    drain: &Arc<Drain>,
    handler: Arc<
        impl Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>) + Send + Sync + 'static,
    >,
) -> io::Result<()> {
    // With the timeout, `accept` returns regularly to check for a planned stop, and still at once
    // for a new connection.
    let poll = Duration::from_millis(ACCEPT_POLL_MS);
    SockRef::from(&listener).set_read_timeout(Some(poll))?;
    let (overflow, overflow_thread) = spawn_overflow(&handler)?;
    let begin = |stream| {
        begin_connection(stream, &limits, drain, &handler, &overflow);
    };
    let mut close_at: Option<Instant> = None;
    loop {
        if close_at.is_none() && drain.is_closing() {
            if let Err(error) = ignore_attempts(&listener) {
                log_event!(
                    warn,
                    AcceptFailed,
                    %error,
                    "connections that arrive as the listener closes may be reset"
                );
            }
            close_at = Some(Instant::now() + Duration::from_millis(HANDSHAKE_MS));
            listener.set_nonblocking(true)?;
        }
        // Read before `accept`, so that connections which the kernel queued before the close are
        // still served.
        let is_due = close_at.is_some_and(|at| Instant::now() >= at);
        match listener.accept() {
            Ok((stream, _)) => begin(stream),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                if is_due {
                    break;
                }
                if close_at.is_some() {
                    thread::sleep(Duration::from_millis(CLOSING_POLL_MS));
                }
            }
            // For example, a connection reset before it was accepted, or no free file descriptor.
            Err(error) => {
                log_event!(warn, AcceptFailed, %error, "a connection could not be accepted");
                thread::sleep(Duration::from_millis(ACCEPT_RETRY_MS));
            }
        }
    }
    drop(listener);
    drop(overflow);
    overflow_thread
        .join()
        .map_err(|_| io::Error::other("the thread that refuses connections panicked"))
}

/// Serves a connection, or has it refused if the maximum number is open. Waits for a place or for room
/// among those to be refused, whichever comes first: a connection that is closed here would end without
/// an answer.
fn begin_connection<H>(
    stream: TcpStream,
    limits: &ListenerLimits,
    drain: &Arc<Drain>,
    handler: &Arc<H>,
    overflow: &Sender<TcpStream>,
) where
    H: Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>) + Send + Sync + 'static,
{
    let mut waiting = stream;
    loop {
        if let Some(open) = drain.begin_connection(limits.max_connections) {
            match spawn_connection(waiting, limits, open, drain.clone(), handler) {
                Ok(()) => return,
                Err((stream, error)) => {
                    log_event!(
                        error,
                        AcceptFailed,
                        %error,
                        "no thread for a connection; it is refused"
                    );
                    waiting = stream;
                }
            }
        }
        let retry = Duration::from_millis(ACCEPT_RETRY_MS);
        match overflow.send_timeout(waiting, retry) {
            Ok(()) => return,
            Err(SendTimeoutError::Timeout(stream)) => waiting = stream,
            Err(SendTimeoutError::Disconnected(_)) => {
                let error = "the thread that refuses connections has ended";
                log_event!(error, AcceptFailed, error, "a connection is closed unread");
                return;
            }
        }
    }
}

/// Serves a connection on a new thread; returns it if none can be started.
fn spawn_connection<H>(
    stream: TcpStream,
    limits: &ListenerLimits,
    open: OpenConnection,
    drain: Arc<Drain>,
    handler: &Arc<H>,
) -> Result<(), (TcpStream, io::Error)>
where
    H: Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>) + Send + Sync + 'static,
{
    let (handler, limits) = (handler.clone(), limits.clone());
    let stream = Arc::new(stream);
    let thread_stream = stream.clone();
    let run = move || {
        serve_connection(&thread_stream, limits, &drain, &*handler);
        drop(open);
    };
    let thread = thread::Builder::new()
        .name("caller".to_owned())
        .stack_size(STACK_BYTES);
    match thread.spawn(run) {
        Ok(_) => Ok(()),
        // `spawn` has dropped its copy.
        Err(error) => Arc::try_unwrap(stream).map_or(Ok(()), |stream| Err((stream, error))),
    }
}

/// Starts the thread that refuses connections above the limit. It ends when the sender is dropped.
fn spawn_overflow<H>(handler: &Arc<H>) -> io::Result<(Sender<TcpStream>, JoinHandle<()>)>
where
    H: Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>) + Send + Sync + 'static,
{
    let (overflow, refused) = channel::bounded(overflow::MAX_REFUSED);
    let handler = handler.clone();
    let thread = thread::Builder::new()
        .name("overflow".to_owned())
        .spawn(move || {
            overflow::run(&refused, |error, responder| handler(Err(error), responder));
        })?;
    Ok((overflow, thread))
}

/// Serves the requests of one connection, one after the other, until it is closed.
fn serve_connection(
    stream: &TcpStream,
    limits: ListenerLimits,
    drain: &Drain,
    handler: &impl Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>),
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut reader = RequestReader::new(
        stream,
        limits.read_deadline_ms,
        limits.max_body_bytes,
        limits.memory,
    );
    let first_byte_until = Instant::now() + Duration::from_millis(FIRST_BYTE_MS);
    let mut keep_waiting: Box<dyn Fn() -> bool> = Box::new(|| Instant::now() < first_byte_until);
    let mut linger_idle_ms = LINGER_IDLE_MS;
    while reader.wait_for_first_byte(&keep_waiting) {
        let in_flight = drain.begin_request();
        let read = reader.next();
        if let Ok(request) = &read {
            in_flight.describe(request.path(), request.header("x-request-id"));
        }
        match answer(stream, drain, read, handler) {
            AfterAnswer::KeepOpen => {}
            AfterAnswer::Close => break,
            AfterAnswer::CloseWhileReceiving => {
                linger_idle_ms = LINGER_MS;
                break;
            }
        }
        drop(in_flight);
        let idle_until = Instant::now() + Duration::from_millis(IDLE_TIMEOUT_MS);
        keep_waiting = Box::new(move || !drain.is_closing() && Instant::now() < idle_until);
    }
    linger(stream, linger_idle_ms);
}

/// Answers one request.
fn answer(
    stream: &TcpStream,
    drain: &Drain,
    read: Result<HttpRequest, RequestError>,
    handler: &impl Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>),
) -> AfterAnswer {
    match read {
        Ok(request) => {
            // Keep-alive ends as soon as the drain is announced, so that few connections are left
            // when the listener closes.
            let keep_alive = request.keep_alive && !drain.is_draining();
            let mut responder = Responder::new(stream, keep_alive, request.is_http_1_1);
            handler(Ok(&request), &mut responder);
            if responder.keeps_alive() {
                AfterAnswer::KeepOpen
            } else {
                AfterAnswer::Close
            }
        }
        Err(RequestError::Broken) => AfterAnswer::Close,
        Err(refused @ RequestError::Refused(code, _)) => {
            handler(Err(refused), &mut Responder::new(stream, false, false));
            // A caller that was too slow has had its time.
            if code == ResultCode::RequestTimeout {
                AfterAnswer::Close
            } else {
                AfterAnswer::CloseWhileReceiving
            }
        }
    }
}

/// Closes the sending side, then reads and discards what the caller sends until it closes its side,
/// sends nothing for `idle_ms`, or `LINGER_MS` have passed.
fn linger(stream: &TcpStream, idle_ms: u64) {
    if stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let until = Instant::now() + Duration::from_millis(LINGER_MS);
    let mut discarded = [0; 4096];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let wait = left.min(Duration::from_millis(idle_ms));
        if wait.is_zero() || stream.set_read_timeout(Some(wait)).is_err() {
            return;
        }
        match read_uninterrupted(stream, &mut discarded) {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
