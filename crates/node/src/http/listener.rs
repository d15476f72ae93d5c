//! Accepts callers' connections, a bounded number of them, a thread each.

use std::{
    io::{self, ErrorKind, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    drain::Drain,
    http::{
        request::{HttpRequest, RequestError, RequestReader},
        response::Responder,
    },
};

/// How often the accepting thread looks whether the node stops.
const ACCEPT_POLL_MS: u64 = 5;
/// How long a kept-alive connection may stay idle.
const IDLE_TIMEOUT_MS: u64 = 60_000;
/// Stack of a connection's thread; a node at the target size runs a few hundred.
const STACK_BYTES: usize = 256 * 1024;

/// Bounds of the listener.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListenerLimits {
    /// Open connections beyond which new ones are refused at once.
    pub(crate) max_connections: usize,
}

/// Accepts until the drain begins, then returns; connections end on their own.
pub(crate) fn serve(
    listener: &TcpListener,
    limits: ListenerLimits,
    drain: &Arc<Drain>,
    handler: Arc<
        impl Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>) + Send + Sync + 'static,
    >,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let open = Arc::new(AtomicUsize::new(0));
    while !drain.is_draining() {
        match listener.accept() {
            Ok((stream, _)) if open.load(Ordering::Relaxed) >= limits.max_connections => {
                refuse(&stream);
            }
            Ok((stream, _)) => {
                let slot = ConnectionSlot::take(&open);
                let (drain, handler) = (drain.clone(), handler.clone());
                let spawned = thread::Builder::new()
                    .name("caller".to_owned())
                    .stack_size(STACK_BYTES)
                    .spawn(move || {
                        connection(&stream, &drain, &*handler);
                        drop(slot);
                    });
                // Without a thread the connection is closed; the caller sees it at once.
                drop(spawned);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                thread::sleep(Duration::from_millis(ACCEPT_POLL_MS));
            }
            // Such as a connection reset before it was accepted, or no free descriptor.
            Err(_) => thread::sleep(Duration::from_millis(ACCEPT_POLL_MS)),
        }
    }
    Ok(())
}

struct ConnectionSlot(Arc<AtomicUsize>);

impl ConnectionSlot {
    fn take(open: &Arc<AtomicUsize>) -> ConnectionSlot {
        open.fetch_add(1, Ordering::Relaxed);
        ConnectionSlot(open.clone())
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn refuse(mut stream: &TcpStream) {
    let _ = stream.set_nonblocking(true);
    let _ = stream.write_all(
        b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nx-outcome: not-run\r\n\
          content-length: 0\r\nconnection: close\r\n\r\n",
    );
}

fn connection(
    stream: &TcpStream,
    drain: &Drain,
    handler: &impl Fn(Result<&HttpRequest, RequestError>, &mut Responder<'_>),
) {
    let prepared = stream
        .set_nonblocking(false)
        .and_then(|()| stream.set_nodelay(true));
    if prepared.is_err() {
        return;
    }
    let mut reader = RequestReader::new(stream);
    loop {
        let idle_until = Instant::now() + Duration::from_millis(IDLE_TIMEOUT_MS);
        let keep_waiting = || !drain.is_draining() && Instant::now() < idle_until;
        let keeps_alive = match reader.next(keep_waiting) {
            Ok(request) => {
                let _in_flight = drain.enter();
                let keep_alive = request.keep_alive && !drain.is_draining();
                let mut responder = Responder::new(stream, keep_alive);
                handler(Ok(&request), &mut responder);
                responder.keeps_alive() && !drain.is_draining()
            }
            Err(RequestError::Closed | RequestError::Broken) => false,
            Err(refused) => {
                handler(Err(refused), &mut Responder::new(stream, false));
                false
            }
        };
        if !keeps_alive {
            return;
        }
    }
}
