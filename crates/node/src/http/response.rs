//! Writes answers: with a content-length, or streamed in chunks.

use std::{
    cell::Cell,
    io::{self, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

/// Time without progress of a write after which the caller counts as disconnected.
const WRITE_TIMEOUT_MS: u64 = 30_000;
/// Time limit of a check for a disconnected caller.
const DISCONNECT_CHECK_MS: u64 = 1;
/// Time between two probes of a caller that sends nothing more.
const PROBE_INTERVAL_MS: u64 = 250;
/// Interim answer that probes a caller before the head of its answer.
const INTERIM_ANSWER: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
/// Chunk with an empty comment that probes a caller within a stream of events.
const COMMENT_CHUNK: &[u8] = b"3\r\n:\n\n\r\n";

/// Writes the answer to one request: either `write_whole`, or `begin_stream`, chunks and
/// `end_stream`.
#[derive(Debug)]
pub(crate) struct Responder<'a> {
    stream: &'a TcpStream,
    keep_alive: bool,
    /// Whether the caller accepts interim answers, as HTTP/1.1 requires.
    accepts_interim: bool,
    head_sent: bool,
    failed: bool,
    /// Time of the next probe, once the caller has ended its sending side.
    next_probe_at: Cell<Option<Instant>>,
}

impl<'a> Responder<'a> {
    pub(crate) fn new(
        stream: &'a TcpStream,
        keep_alive: bool,
        accepts_interim: bool,
    ) -> Responder<'a> {
        let _ = stream.set_write_timeout(Some(Duration::from_millis(WRITE_TIMEOUT_MS)));
        Responder {
            stream,
            keep_alive,
            accepts_interim,
            head_sent: false,
            failed: false,
            next_probe_at: Cell::new(None),
        }
    }

    /// Returns whether the connection may be used for another request.
    pub(crate) fn keeps_alive(&self) -> bool {
        self.keep_alive && self.head_sent && !self.failed
    }

    /// Returns whether the head has been written, successfully or not. The status can then no
    /// longer change.
    pub(crate) fn is_head_sent(&self) -> bool {
        self.head_sent
    }

    /// Writes a whole answer with its content-length.
    pub(crate) fn write_whole(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut bytes = self.head(status, headers);
        bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }

    /// Writes the head of a streamed answer, with status 200.
    pub(crate) fn begin_stream(&mut self, headers: &[(&str, &str)]) -> io::Result<()> {
        let mut bytes = self.head(200, headers);
        bytes.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        self.write(&bytes)
    }

    /// Writes one chunk, unbuffered.
    pub(crate) fn write_chunk(&mut self, data: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
        bytes.extend_from_slice(data);
        bytes.extend_from_slice(b"\r\n");
        self.write(&bytes)
    }

    /// Writes the end of a streamed answer.
    pub(crate) fn end_stream(&mut self) -> io::Result<()> {
        self.write(b"0\r\n\r\n")
    }

    /// Returns whether the caller has left: it closed the connection, or a write to it failed.
    ///
    /// A caller that only ended its sending side waits for its answer. Both look the same until
    /// something is sent: a closed connection then answers with a reset. So one that has ended is
    /// probed, and counts as closed at the first check after the reset.
    pub(crate) fn caller_has_disconnected(&self) -> bool {
        let timeout = Some(Duration::from_millis(DISCONNECT_CHECK_MS));
        if self.failed || self.stream.set_read_timeout(timeout).is_err() {
            return true;
        }
        match self.stream.peek(&mut [0]) {
            Ok(0) => !self.is_reading(),
            Ok(_) => false,
            Err(error) => !matches!(
                error.kind(),
                // Interrupted: the process was stopped and goes on.
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
            ),
        }
    }

    /// Returns whether a caller that has ended its sending side still reads, as far as the probes
    /// show; sends one if it is due.
    fn is_reading(&self) -> bool {
        if !matches!(self.stream.take_error(), Ok(None)) {
            return false;
        }
        let probe = if self.head_sent {
            COMMENT_CHUNK
        } else if self.accepts_interim {
            INTERIM_ANSWER
        } else {
            return false;
        };
        let now = Instant::now();
        if self.next_probe_at.get().is_some_and(|at| now < at) {
            return true;
        }
        let next_probe_at = now + Duration::from_millis(PROBE_INTERVAL_MS);
        self.next_probe_at.set(Some(next_probe_at));
        let mut stream = self.stream;
        stream.write_all(probe).is_ok()
    }

    /// Returns the head without its content framing, and marks it as sent.
    fn head(&mut self, status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
        self.head_sent = true;
        let mut head = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(if self.keep_alive {
            ""
        } else {
            "connection: close\r\n"
        });
        head.into_bytes()
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut stream = self.stream;
        let written = stream.write_all(bytes);
        self.failed |= written.is_err();
        written
    }
}

/// Returns the reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
