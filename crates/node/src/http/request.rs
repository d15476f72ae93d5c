//! Reading a request: bounded, under a deadline, strict on what smuggling needs.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

use jacinthpoint_types::ResultCode;

/// Largest head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most headers.
const MAX_HEADERS: usize = 64;
/// Largest body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Bytes read at once.
const READ_BYTES: usize = 8 * 1024;

/// A request, whole.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    pub(crate) method: String,
    pub(crate) target: String,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) keep_alive: bool,
}

impl HttpRequest {
    /// Value of a header, whatever the case of its name.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The target without its query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// Why no request was read.
#[derive(Debug)]
pub(crate) enum RequestError {
    /// The connection failed within a request.
    Broken,
    /// The request is refused; the connection is closed after the answer, since what follows on
    /// it cannot be told apart from the refused request.
    Refused(ResultCode, &'static str),
}

fn bad(message: &'static str) -> RequestError {
    RequestError::Refused(ResultCode::BadRequest, message)
}

/// Reads requests off one connection.
pub(crate) struct RequestReader<'a> {
    stream: &'a TcpStream,
    read_deadline_ms: u64,
    buffer: Vec<u8>,
}

struct Head {
    request: HttpRequest,
    length: usize,
    body_bytes: usize,
    expects_continue: bool,
}

impl<'a> RequestReader<'a> {
    pub(crate) fn new(stream: &'a TcpStream, read_deadline_ms: u64) -> RequestReader<'a> {
        RequestReader {
            stream,
            read_deadline_ms,
            buffer: Vec::new(),
        }
    }

    /// Waits until a request has begun; `false` if the caller has closed, or `keep_waiting`, which
    /// is asked from time to time, says so.
    pub(crate) fn wait_for_first_byte(&mut self, keep_waiting: impl Fn() -> bool) -> bool {
        const POLL: Duration = Duration::from_millis(100);
        while self.buffer.is_empty() {
            match self.read_some(POLL) {
                Ok(0) => return false,
                Ok(_) => {}
                // Asked only after a look at the connection: a request that is there is served.
                Err(error) if is_timeout(&error) && keep_waiting() => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Reads the request that has begun.
    pub(crate) fn next(&mut self) -> Result<HttpRequest, RequestError> {
        let head = self.read_head()?;
        if head.expects_continue && head.body_bytes > 0 {
            let mut stream = self.stream;
            stream
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                .map_err(|_| RequestError::Broken)?;
        }
        let deadline = self.deadline();
        while self.buffer.len() < head.length + head.body_bytes {
            self.fill(deadline)?;
        }
        let rest = self.buffer.split_off(head.length + head.body_bytes);
        let mut request = head.request;
        request.body = std::mem::replace(&mut self.buffer, rest).split_off(head.length);
        Ok(request)
    }

    fn read_head(&mut self) -> Result<Head, RequestError> {
        let deadline = self.deadline();
        loop {
            if let Some(head) = parse_head(&self.buffer)? {
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

    fn fill(&mut self, deadline: Instant) -> Result<(), RequestError> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(RequestError::Broken);
        }
        match self.read_some(left) {
            Ok(0) | Err(_) => Err(RequestError::Broken),
            Ok(_) => Ok(()),
        }
    }

    fn read_some(&mut self, timeout: Duration) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(timeout))?;
        let mut chunk = [0; READ_BYTES];
        let read = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..read]);
        Ok(read)
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

fn parse_head(buffer: &[u8]) -> Result<Option<Head>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => {
            return Err(RequestError::Refused(
                ResultCode::TooLarge,
                "too many headers",
            ));
        }
        Err(_) => return Err(bad("the head is malformed")),
    };
    let mut fields = Vec::with_capacity(parsed.headers.len());
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| bad("a header is not UTF-8"))?;
        fields.push((header.name.to_owned(), value.trim().to_owned()));
    }
    let request = HttpRequest {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: parsed.path.unwrap_or_default().to_owned(),
        headers: fields,
        body: Vec::new(),
        keep_alive: parsed.version == Some(1),
    };
    finish_head(request, length).map(Some)
}

fn finish_head(mut request: HttpRequest, length: usize) -> Result<Head, RequestError> {
    if request.header("transfer-encoding").is_some() {
        return Err(bad(
            "send a content-length; chunked bodies are not accepted",
        ));
    }
    let mut lengths = request
        .headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let body_bytes = match (lengths.next(), lengths.next()) {
        (None, _) => 0,
        (Some((_, text)), None) => parse_length(text)?,
        (Some(_), Some(_)) => return Err(bad("more than one content-length")),
    };
    if body_bytes > MAX_BODY_BYTES {
        return Err(RequestError::Refused(
            ResultCode::TooLarge,
            "the body is too large",
        ));
    }
    if let Some(connection) = request.header("connection") {
        request.keep_alive &= !connection.to_ascii_lowercase().contains("close");
    }
    let expects_continue = request
        .header("expect")
        .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
    Ok(Head {
        request,
        length,
        body_bytes,
        expects_continue,
    })
}

fn parse_length(text: &str) -> Result<usize, RequestError> {
    // `parse` would also take a sign, over which two servers may disagree.
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(bad("the content-length is not a number"));
    }
    text.parse()
        .map_err(|_| RequestError::Refused(ResultCode::TooLarge, "the body is too large"))
}
