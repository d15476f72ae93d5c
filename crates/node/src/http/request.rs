//! Reads requests from a connection, with limits on their size and the time that they take.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    sync::Arc,
    time::{Duration, Instant},
};

use jacinthpoint_types::ResultCode;

use crate::{
    events::log_event,
    http::{
        body_memory::{BodyMemory, HeldMemory},
        head::{Head, HttpRequest, parse_head},
    },
};

/// Largest head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Largest number of bytes per read.
const READ_BYTES: usize = 8 * 1024;
/// Shortest timeout of a read, with which it returns what has arrived. A timeout of zero is refused.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// Reason for which no request was read.
#[derive(Debug)]
pub(crate) enum RequestError {
    /// The connection failed within a request.
    Broken,
    /// The request is refused. The connection is closed after the answer, since the end of the
    /// refused request, and so the start of the next one, is not known.
    Refused(ResultCode, &'static str),
}

/// Reads the requests of one connection.
pub(crate) struct RequestReader<'a> {
    stream: &'a TcpStream,
    read_deadline_ms: u64,
    max_body_bytes: usize,
    memory: Arc<BodyMemory>,
    /// Bytes received and not yet returned as part of a request.
    buffer: Vec<u8>,
}

impl<'a> RequestReader<'a> {
    pub(crate) fn new(
        stream: &'a TcpStream,
        read_deadline_ms: u64,
        max_body_bytes: usize,
        memory: Arc<BodyMemory>,
    ) -> RequestReader<'a> {
        RequestReader {
            stream,
            read_deadline_ms,
            max_body_bytes,
            memory,
            buffer: Vec::new(),
        }
    }

    /// Waits for the first byte of a request. Returns `false` if the connection is closed, or if
    /// `keep_waiting`, which is called regularly, returns `false`.
    pub(crate) fn wait_for_first_byte(&mut self, keep_waiting: impl Fn() -> bool) -> bool {
        const POLL: Duration = Duration::from_millis(100);
        while self.buffer.is_empty() {
            // Called before the read, so that a request that arrives until the decision is served,
            // also if the process is stopped in between.
            let keeps_waiting = keep_waiting();
            let timeout = if keeps_waiting {
                POLL
            } else {
                MIN_READ_TIMEOUT
            };
            match self.read_some(timeout) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(error) if is_timeout(&error) && keeps_waiting => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Reads the rest of a request whose first byte has arrived.
    pub(crate) fn next(&mut self) -> Result<HttpRequest, RequestError> {
        let head = self.read_head()?;
        if head.expects_continue && head.body_bytes > 0 {
            let mut stream = self.stream;
            stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .map_err(|error| broken(&error))?;
        }
        let deadline = self.deadline();
        let mut held = HeldMemory::new(&self.memory);
        let request_bytes = head.length + head.body_bytes;
        while self.buffer.len() < request_bytes {
            if self.buffer.capacity() - self.buffer.len() < READ_BYTES {
                // A read may bring the beginning of the next request, too.
                let capacity = (2 * self.buffer.capacity()).min(request_bytes + READ_BYTES);
                if !held.grow_to(capacity) {
                    let message = "too little memory is left for the request";
                    return Err(RequestError::Refused(ResultCode::NoCapacity, message));
                }
                self.buffer
                    .reserve_exact(capacity.saturating_sub(self.buffer.len()));
            }
            self.fill(deadline)?;
        }
        let rest = self.buffer.split_off(head.length + head.body_bytes);
        let mut request = head.request;
        request.body = std::mem::replace(&mut self.buffer, rest);
        request.body.drain(..head.length);
        request.held = Some(held);
        Ok(request)
    }

    fn read_head(&mut self) -> Result<Head, RequestError> {
        let deadline = self.deadline();
        loop {
            if let Some(head) = parse_head(&self.buffer, self.max_body_bytes)? {
                return Ok(head);
            }
            if self.buffer.len() >= MAX_HEAD_BYTES {
                let message = "the head is too large";
                return Err(RequestError::Refused(ResultCode::TooLarge, message));
            }
            self.fill(deadline)?;
        }
    }

    fn deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.read_deadline_ms)
    }

    /// Reads at least one byte into the buffer, until `deadline`. After it, still reads what has
    /// arrived: the process may have been stopped meanwhile.
    fn fill(&mut self, deadline: Instant) -> Result<(), RequestError> {
        let left = deadline.saturating_duration_since(Instant::now());
        match self.read_some(left.max(MIN_READ_TIMEOUT)) {
            // The caller may still read.
            Ok(0) => Err(RequestError::Refused(
                ResultCode::BadRequest,
                "the request ends before it is complete",
            )),
            Ok(_) => Ok(()),
            Err(error) if is_timeout(&error) => Err(too_slow()),
            Err(error) => Err(broken(&error)),
        }
    }

    /// Reads once into the buffer; returns the number of bytes, 0 if the connection is closed.
    fn read_some(&mut self, timeout: Duration) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(timeout))?;
        let mut chunk = [0; READ_BYTES];
        let read = read_uninterrupted(self.stream, &mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }
}

/// Reads once, and again if the read is interrupted. On Linux, a read with a timeout is interrupted
/// when a stopped process goes on, even without a signal handler.
pub(crate) fn read_uninterrupted(mut stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// Logs why a connection failed within a request.
fn broken(error: &io::Error) -> RequestError {
    log_event!(
        debug,
        ConnectionFailed,
        %error,
        "a connection failed within a request"
    );
    RequestError::Broken
}

fn too_slow() -> RequestError {
    let message = "the request did not arrive in time";
    RequestError::Refused(ResultCode::RequestTimeout, message)
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
