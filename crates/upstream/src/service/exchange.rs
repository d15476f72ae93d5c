//! One request and its answer on a connection of their own.
//!
//! The answer must have a length or come in chunks: without either, its body ends with its connection, and
//! a body that was cut looks the same as a whole one.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::service::ServiceAnswer;

/// Largest body of an answer that is passed on to the caller.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Largest head of an answer, and largest line between chunks.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest number of bytes per read.
const READ_BYTES: usize = 16 * 1024;
/// Largest number of headers.
const MAX_HEADERS: usize = 100;

/// Time for which a write waits until it looks for an answer.
const ANSWER_CHECK_MS: u64 = 50;

/// How the end of an answer's body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunks,
}

/// Head of an answer.
struct Head {
    status: u16,
    content_type: Option<String>,
    /// `None` if the end of the body is not marked.
    framing: Option<Framing>,
}

/// Connection that is written and read until a deadline.
struct Exchange {
    stream: TcpStream,
    /// Bytes that were received and not used.
    received: Vec<u8>,
    deadline: Instant,
}

fn invalid(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}

/// Returns the time until the deadline; fails if it has passed.
fn time_left(deadline: Instant) -> io::Result<Duration> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    Ok(left)
}

/// Opens a connection. No byte of a request is sent if it fails.
pub(super) fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    if timeout.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request and returns the complete answer. It may come before the whole request was sent,
/// whose rest is then given up.
///
/// # Errors
///
/// Fails if the deadline passes or the connection breaks, and with `InvalidData` if the answer is
/// malformed, too large, or not framed. The request may have run in each case.
pub(super) fn exchange(
    stream: TcpStream,
    head: &str,
    body: &[u8],
    deadline: Instant,
) -> io::Result<ServiceAnswer> {
    let mut exchange = Exchange {
        stream,
        received: Vec::new(),
        deadline,
    };
    let request = [head.as_bytes(), body];
    let sent = request.into_iter().try_for_each(|part| exchange.send(part));
    // What has arrived is read after an error, too. Without an answer, the first error tells why.
    let answer = match (exchange.read_final_head(), sent) {
        (Ok(answer), _) => answer,
        (Err(_), Err(error)) | (Err(error), Ok(())) => return Err(error),
    };
    let is_without_body = matches!(answer.status, 204 | 304) || head.starts_with("HEAD ");
    let body = match answer.framing {
        _ if is_without_body => Vec::new(),
        Some(Framing::Length(length)) => exchange.read_exactly(length)?,
        Some(Framing::Chunks) => exchange.read_chunks()?,
        None => return Err(invalid("the answer has neither length nor chunks")),
    };
    let content_type = answer.content_type;
    Ok(ServiceAnswer {
        status: answer.status,
        content_type: content_type.unwrap_or_else(|| "application/octet-stream".to_owned()),
        body,
    })
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

impl Exchange {
    /// Sends bytes until all are sent or the final answer has begun. The other side may answer without
    /// reading them.
    fn send(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let wait = time_left(self.deadline)?.min(Duration::from_millis(ANSWER_CHECK_MS));
            self.stream.set_write_timeout(Some(wait))?;
            match self.stream.write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => bytes = &bytes[count..],
                Err(error) if is_timeout(&error) => {
                    self.check_line()?;
                    self.receive_available()?;
                    if self.next_final_head()?.is_some() {
                        return Ok(());
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Receives more bytes; fails at the end of the connection.
    fn receive(&mut self) -> io::Result<()> {
        let left = time_left(self.deadline)?;
        self.stream.set_read_timeout(Some(left))?;
        let mut buffer = [0; READ_BYTES];
        let count = match self.stream.read(&mut buffer) {
            // A read with a timeout is interrupted when a stopped process goes on.
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return Ok(()),
            read => read?,
        };
        self.on_received(&buffer[..count])
    }

    /// Receives the bytes that have arrived, if any; fails at the end of the connection.
    fn receive_available(&mut self) -> io::Result<()> {
        self.stream.set_nonblocking(true)?;
        let mut buffer = [0; READ_BYTES];
        let received = self.stream.read(&mut buffer);
        self.stream.set_nonblocking(false)?;
        match received {
            Err(error) if is_timeout(&error) => Ok(()),
            received => self.on_received(&buffer[..received?]),
        }
    }

    fn on_received(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.received.extend_from_slice(bytes);
        Ok(())
    }

    /// Fails if a head or a line between chunks is longer than [`MAX_HEAD_BYTES`].
    fn check_line(&self) -> io::Result<()> {
        if self.received.len() > MAX_HEAD_BYTES {
            return Err(invalid("a head or line is too long"));
        }
        Ok(())
    }

    /// Receives more bytes of a head or of a line between chunks.
    fn receive_line(&mut self) -> io::Result<()> {
        self.check_line()?;
        self.receive()
    }

    /// Drops interim answers; returns the head of the final one and its length if it has arrived.
    fn next_final_head(&mut self) -> io::Result<Option<(Head, usize)>> {
        loop {
            match parse_head(&self.received)? {
                Some((head, length)) if is_interim(head.status) => {
                    self.received.drain(..length);
                }
                head => return Ok(head),
            }
        }
    }

    fn read_final_head(&mut self) -> io::Result<Head> {
        loop {
            if let Some((head, length)) = self.next_final_head()? {
                self.received.drain(..length);
                return Ok(head);
            }
            self.receive_line()?;
        }
    }

    fn read_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        if length > MAX_BODY_BYTES {
            return Err(invalid("the answer is too large"));
        }
        while self.received.len() < length {
            self.receive()?;
        }
        Ok(self.received.drain(..length).collect())
    }

    /// Reads chunks up to the last one, and the trailers, which are dropped.
    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let size = self.read_chunk_size()?;
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            if size > MAX_BODY_BYTES - body.len() {
                return Err(invalid("the answer is too large"));
            }
            body.extend(self.read_exactly(size)?);
            if self.read_exactly(2)? != b"\r\n" {
                return Err(invalid("a chunk is longer than its size"));
            }
        }
    }

    fn read_chunk_size(&mut self) -> io::Result<usize> {
        loop {
            match httparse::parse_chunk_size(&self.received) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.received.drain(..length);
                    return usize::try_from(size).map_err(|_| invalid("the answer is too large"));
                }
                Ok(httparse::Status::Partial) => self.receive_line()?,
                Err(_) => return Err(invalid("a chunk has no size")),
            }
        }
    }

    /// Reads a line that ends with CR and LF, and returns it without them.
    fn read_line(&mut self) -> io::Result<Vec<u8>> {
        loop {
            let end = self.received.windows(2).position(|end| end == b"\r\n");
            if let Some(end) = end {
                let mut line: Vec<u8> = self.received.drain(..end + 2).collect();
                line.truncate(end);
                return Ok(line);
            }
            self.receive_line()?;
        }
    }
}

/// Returns whether the final answer is still to come.
fn is_interim(status: u16) -> bool {
    (100..200).contains(&status)
}

/// Parses the head at the start of `received`, and returns it with its length; `None` if it is not
/// complete yet.
fn parse_head(received: &[u8]) -> io::Result<Option<(Head, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let length = match parsed.parse(received) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(invalid("the head of the answer is malformed")),
    };
    let status = parsed.code.unwrap_or_default();
    // What follows 101 (Switching Protocols), which no request asks for, is not HTTP.
    if status < 100 || status == 101 {
        return Err(invalid("the status of the answer is invalid"));
    }
    let values = |name: &'static str| {
        let headers = parsed.headers.iter();
        let named = headers.filter(move |header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| std::str::from_utf8(header.value).unwrap_or_default().trim())
    };
    let head = Head {
        status,
        content_type: values("content-type").next().map(str::to_owned),
        framing: framing(values("transfer-encoding"), values("content-length"))?,
    };
    Ok(Some((head, length)))
}

/// Returns the framing that these headers state, if any; fails if they contradict each other.
fn framing<'a>(
    mut codings: impl Iterator<Item = &'a str>,
    mut lengths: impl Iterator<Item = &'a str>,
) -> io::Result<Option<Framing>> {
    let (coding, length) = (codings.next(), lengths.next());
    if lengths.any(|other| Some(other) != length) || codings.next().is_some() {
        return Err(invalid("the answer is framed in two ways"));
    }
    match (coding, length) {
        (None, None) => Ok(None),
        (None, Some(length)) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
            let length = length
                .parse()
                .map_err(|_| invalid("the length is malformed"))?;
            Ok(Some(Framing::Length(length)))
        }
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunks)),
        _ => Err(invalid("the framing of the answer is malformed or unknown")),
    }
}
