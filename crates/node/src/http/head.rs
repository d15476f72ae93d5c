//! Parses and validates the head of a request.
//!
//! Two servers on a request's path that parse its head differently enable request smuggling: one
//! caller's bytes are taken for another caller's request. Everything that servers are known to
//! parse differently is therefore refused.

use jacinthpoint_types::ResultCode;

use crate::http::{body_memory::HeldMemory, request::RequestError};

/// Largest number of headers.
const MAX_HEADERS: usize = 64;
/// Methods that callers may use. The answer to another method, such as HEAD, may need different
/// framing.
const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
/// Headers that may occur only once. Of repeated ones, some servers use the first and others the
/// last.
const SINGLE_HEADERS: [&str; 9] = [
    "authorization",
    "content-length",
    "content-type",
    "host",
    "idempotency-key",
    "x-deadline-unix-ms",
    "x-priority",
    "x-repeatable",
    "x-request-id",
];

/// A complete request.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    pub(crate) method: String,
    /// Request target: the path with its query.
    pub(crate) target: String,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Room for the body.
    pub(crate) held: Option<HeldMemory>,
    /// Whether the caller allows further requests on the connection.
    pub(crate) keep_alive: bool,
    pub(crate) is_http_1_1: bool,
}

impl HttpRequest {
    /// Returns the value of a header; names are compared without regard to case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the target without its query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// A parsed head.
#[derive(Debug)]
pub(crate) struct Head {
    /// The request, without its body.
    pub(crate) request: HttpRequest,
    /// Length of the head, in bytes.
    pub(crate) length: usize,
    /// Length of the body that follows, in bytes.
    pub(crate) body_bytes: usize,
    /// Whether the caller waits for `100 Continue` before it sends the body.
    pub(crate) expects_continue: bool,
}

fn bad(message: &'static str) -> RequestError {
    RequestError::Refused(ResultCode::BadRequest, message)
}

/// Parses the head at the start of `buffer`, whose body may have `max_body_bytes`. Returns `None` if the head is not complete yet.
///
/// # Errors
///
/// Refuses a malformed or ambiguous head, an unsupported method, and a body that is too large.
pub(crate) fn parse_head(
    buffer: &[u8],
    max_body_bytes: usize,
) -> Result<Option<Head>, RequestError> {
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
    check_line_ends(&buffer[..length])?;
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
        held: None,
        keep_alive: parsed.version == Some(1),
        is_http_1_1: parsed.version == Some(1),
    };
    validate_head(request, length, max_body_bytes).map(Some)
}

/// Refuses lines that end without a carriage return: `httparse` accepts them, other servers do not.
fn check_line_ends(head: &[u8]) -> Result<(), RequestError> {
    let is_bare_newline = |(index, byte): (usize, &u8)| {
        *byte == b'\n'
            && index
                .checked_sub(1)
                .is_none_or(|before| head[before] != b'\r')
    };
    if head.iter().enumerate().any(is_bare_newline) {
        return Err(bad("a line of the head ends without a carriage return"));
    }
    Ok(())
}

/// Validates a parsed head of `length` bytes.
fn validate_head(
    mut request: HttpRequest,
    length: usize,
    max_body_bytes: usize,
) -> Result<Head, RequestError> {
    check_request_line(&request)?;
    check_single_headers(&request)?;
    if request.header("transfer-encoding").is_some() {
        let message = "send a content-length; chunked bodies are not accepted";
        return Err(bad(message));
    }
    let body_bytes = request
        .header("content-length")
        .map_or(Ok(0), parse_length)?;
    if body_bytes > max_body_bytes {
        let message = "the body is too large";
        return Err(RequestError::Refused(ResultCode::TooLarge, message));
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

fn check_request_line(request: &HttpRequest) -> Result<(), RequestError> {
    if !METHODS.contains(&request.method.as_str()) {
        let message = "this method is not served";
        return Err(RequestError::Refused(ResultCode::MethodNotAllowed, message));
    }
    if !request.target.starts_with('/') {
        return Err(bad("the target is not a path"));
    }
    Ok(())
}

fn check_single_headers(request: &HttpRequest) -> Result<(), RequestError> {
    let count = |name: &str| {
        let named = request
            .headers
            .iter()
            .filter(|(known, _)| known.eq_ignore_ascii_case(name));
        named.count()
    };
    if SINGLE_HEADERS.into_iter().any(|name| count(name) > 1) {
        return Err(bad("a header that may stand once stands twice"));
    }
    if request.is_http_1_1 && count("host") == 0 {
        return Err(bad("the host header is missing"));
    }
    Ok(())
}

/// Parses the value of `content-length`.
fn parse_length(text: &str) -> Result<usize, RequestError> {
    // `parse` also accepts a sign, which other servers may refuse.
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(bad("the content-length is not a number"));
    }
    text.parse()
        .map_err(|_| RequestError::Refused(ResultCode::TooLarge, "the body is too large"))
}
