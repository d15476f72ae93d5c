//! The head of a request: strict on everything over which two servers on one path may disagree,
//! since such a disagreement lets one caller's bytes pass for another caller's request.

use jacinthpoint_types::ResultCode;

use crate::http::request::RequestError;

/// Most headers.
const MAX_HEADERS: usize = 64;
/// Largest body.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Methods that callers may use. An answer to any other, such as HEAD, may be framed differently.
const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];
/// Headers of which a second one is refused: the first and the last mean different things to
/// different servers.
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

/// A request, whole.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    pub(crate) method: String,
    pub(crate) target: String,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) keep_alive: bool,
    version_1_1: bool,
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

/// A parsed head.
#[derive(Debug)]
pub(crate) struct Head {
    /// The request, without its body.
    pub(crate) request: HttpRequest,
    /// Bytes of the head.
    pub(crate) length: usize,
    /// Bytes of the body that follows.
    pub(crate) body_bytes: usize,
    /// Whether the caller waits for a go-ahead before it sends the body.
    pub(crate) expects_continue: bool,
}

fn bad(message: &'static str) -> RequestError {
    RequestError::Refused(ResultCode::BadRequest, message)
}

/// Parses a head; `None` if more bytes are needed.
pub(crate) fn parse_head(buffer: &[u8]) -> Result<Option<Head>, RequestError> {
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
        keep_alive: parsed.version == Some(1),
        version_1_1: parsed.version == Some(1),
    };
    finish_head(request, length).map(Some)
}

/// `httparse` also takes a line that ends without a carriage return; other servers do not.
fn check_line_ends(head: &[u8]) -> Result<(), RequestError> {
    let is_bare = |(place, byte): (usize, &u8)| {
        *byte == b'\n'
            && place
                .checked_sub(1)
                .is_none_or(|before| head[before] != b'\r')
    };
    if head.iter().enumerate().any(is_bare) {
        return Err(bad("a line of the head ends without a carriage return"));
    }
    Ok(())
}

fn finish_head(mut request: HttpRequest, length: usize) -> Result<Head, RequestError> {
    check_request_line(&request)?;
    check_single_headers(&request)?;
    if request.header("transfer-encoding").is_some() {
        let message = "send a content-length; chunked bodies are not accepted";
        return Err(bad(message));
    }
    let body_bytes = request
        .header("content-length")
        .map_or(Ok(0), parse_length)?;
    if body_bytes > MAX_BODY_BYTES {
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
    if request.version_1_1 && count("host") == 0 {
        return Err(bad("the host header is missing"));
    }
    Ok(())
}

fn parse_length(text: &str) -> Result<usize, RequestError> {
    // `parse` would also take a sign, over which two servers may disagree.
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(bad("the content-length is not a number"));
    }
    text.parse()
        .map_err(|_| RequestError::Refused(ResultCode::TooLarge, "the body is too large"))
}
