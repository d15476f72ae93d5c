//! Server-sent events, read line by line with a bound on the length of a line.

use std::io::{self, BufRead, Read};

/// Longest event line. A longer one is a fault of the upstream.
const MAX_LINE_BYTES: u64 = 256 * 1024;

/// What one line of a stream says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Line {
    /// A payload.
    Data(String),
    /// Nothing that matters here, such as a comment that keeps the connection open.
    Other,
}

/// Reads the next payload or comment; `None` at the end of the stream.
///
/// # Errors
///
/// Fails as the reader does, or with `InvalidData` if a line is too long or not UTF-8.
pub(crate) fn next_data(reader: &mut impl BufRead) -> io::Result<Option<Line>> {
    loop {
        let mut line = Vec::new();
        let read = reader
            .by_ref()
            .take(MAX_LINE_BYTES)
            .read_until(b'\n', &mut line)?;
        if read == 0 {
            return Ok(None);
        }
        if line.last() != Some(&b'\n') {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "event line cut or too long",
            ));
        }
        let text = std::str::from_utf8(&line)
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        if text.starts_with(':') {
            return Ok(Some(Line::Other));
        }
        if let Some(data) = text.trim_end().strip_prefix("data:") {
            return Ok(Some(Line::Data(data.trim_start().to_owned())));
        }
    }
}
