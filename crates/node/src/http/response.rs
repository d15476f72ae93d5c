//! Writes answers: with a content-length, or streamed in chunks.

use std::{
    io::{self, Write},
    net::TcpStream,
    time::Duration,
};

/// Time without progress of a write after which the caller counts as disconnected.
const WRITE_TIMEOUT_MS: u64 = 30_000;
/// Time limit of a check for a disconnected caller.
const DISCONNECT_CHECK_MS: u64 = 1;

/// Writes the answer to one request: either `write_whole`, or `begin_stream`, chunks and
/// `end_stream`.
#[derive(Debug)]
pub(crate) struct Responder<'a> {
    stream: &'a TcpStream,
    keep_alive: bool,
    head_sent: bool,
    failed: bool,
}

impl<'a> Responder<'a> {
    pub(crate) fn new(stream: &'a TcpStream, keep_alive: bool) -> Responder<'a> {
        let _ = stream.set_write_timeout(Some(Duration::from_millis(WRITE_TIMEOUT_MS)));
        Responder {
            stream,
            keep_alive,
            head_sent: false,
            failed: false,
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

    /// Returns whether the caller has closed the connection or a write to it failed.
    pub(crate) fn caller_has_disconnected(&self) -> bool {
        let timeout = Some(Duration::from_millis(DISCONNECT_CHECK_MS));
        if self.failed || self.stream.set_read_timeout(timeout).is_err() {
            return true;
        }
        match self.stream.peek(&mut [0]) {
            Ok(read) => read == 0,
            Err(error) => !matches!(
                error.kind(),
                // Interrupted: the process was stopped and goes on.
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
            ),
        }
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
