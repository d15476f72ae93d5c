//! One request and its answer on a connection of their own.
//!
//! An answer whose head is malformed is none, whatever its status: its framing cannot be trusted, and neither can
//! what it says of the request.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Largest head of an answer, largest line between chunks, and largest trailers.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest number of bytes of interim answers before the final one.
const MAX_INTERIM_BYTES: usize = 4 * MAX_HEAD_BYTES;
/// Largest number of bytes per read.
const READ_BYTES: usize = 16 * 1024;
/// Largest number of headers.
const MAX_HEADERS: usize = 100;

/// Time for which a write waits until it looks for an answer.
const ANSWER_CHECK_MS: u64 = 50;

/// Time limit of an exchange.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TimeLimit {
    /// The whole exchange must end by then.
    Until(Instant),
    /// Each part must be sent or received within this many milliseconds.
    EachPartMs(u64),
}

impl TimeLimit {
    /// Returns the deadline of a part that begins now.
    fn deadline(self) -> Instant {
        match self {
            TimeLimit::Until(deadline) => deadline,
            TimeLimit::EachPartMs(limit_ms) => Instant::now() + Duration::from_millis(limit_ms),
        }
    }
}

/// A request, without the headers of its framing.
#[derive(Debug)]
pub(crate) struct Request<'a> {
    pub(crate) method: &'a str,
    /// Path and query, beginning with `/`.
    pub(crate) path: &'a str,
    /// Names and values of the headers.
    pub(crate) fields: &'a [(&'a str, String)],
    pub(crate) body: &'a [u8],
}

impl Request<'_> {
    /// Returns the head, to a proxy with the whole URL; `None` if a part of the request would add lines to it.
    fn head(&self, address: SocketAddr, is_through_proxy: bool) -> Option<String> {
        let is_token =
            |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
        let is_value = |text: &str| !text.chars().any(char::is_control);
        let are_fields_valid =
            (self.fields.iter()).all(|(name, value)| is_token(name) && is_value(value));
        if !is_token(self.method) || !is_token(self.path) || !are_fields_valid {
            return None;
        }
        let origin = if is_through_proxy {
            format!("http://{address}")
        } else {
            String::new()
        };
        let fields = self.fields.iter();
        let fields: String = fields
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        Some(format!(
            "{} {origin}{} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n{fields}\
             content-length: {}\r\n\r\n",
            self.method,
            self.path,
            self.body.len()
        ))
    }
}

/// Error of a request without an answer.
#[derive(Debug, derive_more::Display)]
pub(crate) enum ExchangeError {
    /// The request is malformed, or no connection was made. No byte was sent.
    #[display("{_0}")]
    NotSent(io::Error),
    /// The connection broke, the time limit passed, or the answer is malformed. The request may have run.
    #[display("{_0}")]
    NoAnswer(io::Error),
}

/// An answer whose head has been read.
#[derive(Debug)]
pub(crate) struct Answer {
    /// HTTP status, from 200 to 599.
    pub(crate) status: u16,
    pub(crate) content_type: Option<String>,
    pub(crate) body: AnswerBody,
}

impl Answer {
    /// Returns whether the status is a success.
    pub(crate) fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// What is left of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rest {
    /// This many bytes.
    Length(u64),
    /// The size of a chunk comes next.
    Chunks,
    /// This many bytes of a chunk, and the chunks after it.
    Chunk(u64),
    /// All bytes until the connection ends. A body that was cut looks the same as a whole one.
    Unframed,
    Nothing,
}

/// Reader of a body. It fails if the body breaks off, unless only the end of the connection marks its end.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    exchange: Exchange,
    rest: Rest,
}

/// Head of an answer.
struct Head {
    status: u16,
    content_type: Option<String>,
    framing: Rest,
}

/// Connection that is written and read within a time limit.
#[derive(Debug)]
struct Exchange {
    stream: TcpStream,
    /// Bytes that were received and not used.
    received: Vec<u8>,
    /// Number of bytes of interim answers.
    interim_bytes: usize,
    limit: TimeLimit,
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
fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    if timeout.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
    }
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Returns the address of the HTTP proxy that the environment names for this address, as for all other
/// calls of a node.
fn proxy_of(address: SocketAddr) -> Option<SocketAddr> {
    let url = format!("http://{address}/").parse().ok()?;
    let settings = attohttpc::ProxySettings::from_env();
    let proxy = settings.for_url(&url)?;
    let mut addresses = proxy.socket_addrs(|| None).ok()?.into_iter();
    addresses.next()
}

/// Sends a request on a connection of its own, and returns the final answer, whose body has not been read. It may
/// come before the whole request was sent, whose rest is then given up.
///
/// # Errors
///
/// Fails if no connection is made within `connect_timeout`, if the time limit passes or the connection breaks,
/// and with `InvalidData` if the head of the answer is malformed or too large.
pub(crate) fn send(
    address: SocketAddr,
    request: &Request<'_>,
    connect_timeout: Duration,
    limit: TimeLimit,
) -> Result<Answer, ExchangeError> {
    let proxy = proxy_of(address);
    let malformed = || io::Error::new(io::ErrorKind::InvalidInput, "the request is malformed");
    let head = request.head(address, proxy.is_some());
    let head = head.ok_or_else(|| ExchangeError::NotSent(malformed()))?;
    let stream = connect(proxy.unwrap_or(address), connect_timeout);
    let mut exchange = Exchange {
        stream: stream.map_err(ExchangeError::NotSent)?,
        received: Vec::new(),
        interim_bytes: 0,
        limit,
    };
    let parts = [head.as_bytes(), request.body];
    let sent = parts.into_iter().try_for_each(|part| exchange.send(part));
    // What has arrived is read after an error, too. Without an answer, the first error tells why.
    let head = match (exchange.read_final_head(), sent) {
        (Ok(head), _) => head,
        (Err(_), Err(error)) | (Err(error), Ok(())) => return Err(ExchangeError::NoAnswer(error)),
    };
    let is_without_body = matches!(head.status, 204 | 304) || request.method == "HEAD";
    let rest = if is_without_body {
        Rest::Nothing
    } else {
        head.framing
    };
    Ok(Answer {
        status: head.status,
        content_type: head.content_type,
        body: AnswerBody { exchange, rest },
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
        let mut deadline = self.limit.deadline();
        while !bytes.is_empty() {
            let wait = time_left(deadline)?.min(Duration::from_millis(ANSWER_CHECK_MS));
            self.stream.set_write_timeout(Some(wait))?;
            match self.stream.write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    bytes = &bytes[count..];
                    deadline = self.limit.deadline();
                }
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
        let left = time_left(self.limit.deadline())?;
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
                    self.interim_bytes += length;
                    if self.interim_bytes > MAX_INTERIM_BYTES {
                        return Err(invalid("there are too many interim answers"));
                    }
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

    /// Reads the line end after the data of a chunk.
    fn read_chunk_end(&mut self) -> io::Result<()> {
        while self.received.len() < 2 {
            self.receive()?;
        }
        if !self.received.starts_with(b"\r\n") {
            return Err(invalid("a chunk is longer than its size"));
        }
        self.received.drain(..2);
        Ok(())
    }

    /// Reads the size of a chunk.
    fn read_chunk_size(&mut self) -> io::Result<u64> {
        loop {
            match httparse::parse_chunk_size(&self.received) {
                Ok(httparse::Status::Complete((length, size))) => {
                    self.received.drain(..length);
                    return Ok(size);
                }
                Ok(httparse::Status::Partial) => self.receive_line()?,
                Err(_) => return Err(invalid("a chunk has no size")),
            }
        }
    }

    /// Reads the trailers, which are dropped.
    fn skip_trailers(&mut self) -> io::Result<()> {
        let mut left = MAX_HEAD_BYTES;
        loop {
            let line_bytes = self.read_line()?.len();
            if line_bytes == 0 {
                return Ok(());
            }
            left = left
                .checked_sub(line_bytes)
                .ok_or_else(|| invalid("the trailers are too long"))?;
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

impl AnswerBody {
    /// Returns whether the end of the body is marked, by a length or by chunks.
    pub(crate) fn is_framed(&self) -> bool {
        self.rest != Rest::Unframed
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails if it breaks off, and with `InvalidData` if it has more than `max_bytes`.
    pub(crate) fn read_whole(&mut self, max_bytes: u64) -> io::Result<Vec<u8>> {
        let too_large = || invalid("the answer is too large");
        if matches!(self.rest, Rest::Length(length) if length > max_bytes) {
            return Err(too_large());
        }
        let mut bytes = Vec::new();
        self.take(max_bytes + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > max_bytes {
            return Err(too_large());
        }
        Ok(bytes)
    }

    /// Returns the number of bytes that may be read now; 0 at the end of the body.
    fn next_part_bytes(&mut self) -> io::Result<u64> {
        // The end of a chunk is read with what follows, since it may arrive later than its data.
        if self.rest == Rest::Chunk(0) {
            self.exchange.read_chunk_end()?;
            self.rest = Rest::Chunks;
        }
        if self.rest == Rest::Chunks {
            self.rest = match self.exchange.read_chunk_size()? {
                0 => {
                    self.exchange.skip_trailers()?;
                    Rest::Nothing
                }
                size => Rest::Chunk(size),
            };
        }
        Ok(match self.rest {
            Rest::Length(left) | Rest::Chunk(left) => left,
            Rest::Unframed => u64::MAX,
            Rest::Chunks | Rest::Nothing => 0,
        })
    }
}

impl Read for AnswerBody {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let part_bytes = usize::try_from(self.next_part_bytes()?).unwrap_or(usize::MAX);
        let max_bytes = buffer.len().min(part_bytes);
        if max_bytes == 0 {
            return Ok(0);
        }
        while self.exchange.received.is_empty() {
            match self.exchange.receive() {
                Err(error) if error.kind() == io::ErrorKind::UnexpectedEof && !self.is_framed() => {
                    self.rest = Rest::Nothing;
                    return Ok(0);
                }
                received => received?,
            }
        }
        let received = &mut self.exchange.received;
        let count = max_bytes.min(received.len());
        buffer[..count].copy_from_slice(&received[..count]);
        received.drain(..count);
        if let Rest::Length(left) | Rest::Chunk(left) = &mut self.rest {
            *left -= count as u64;
        }
        Ok(count)
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
    if !(100..600).contains(&status) || status == 101 {
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

/// Returns the framing that these headers state; fails if they contradict each other.
fn framing<'a>(
    mut codings: impl Iterator<Item = &'a str>,
    mut lengths: impl Iterator<Item = &'a str>,
) -> io::Result<Rest> {
    let (coding, length) = (codings.next(), lengths.next());
    if lengths.any(|other| Some(other) != length) || codings.next().is_some() {
        return Err(invalid("the answer is framed in two ways"));
    }
    match (coding, length) {
        (None, None) => Ok(Rest::Unframed),
        (None, Some(length)) if length.bytes().all(|byte| byte.is_ascii_digit()) => {
            let length = length
                .parse()
                .map_err(|_| invalid("the length is malformed"))?;
            Ok(Rest::Length(length))
        }
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Rest::Chunks),
        _ => Err(invalid("the framing of the answer is malformed or unknown")),
    }
}
