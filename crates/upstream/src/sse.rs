//! Reader of server-sent events, line by line. The length of a line is limited, so that a faulty
//! upstream cannot exhaust the memory.

use std::io::{self, BufRead, Read};

/// Length limit of an event line with its line end. A longer line is a fault of the upstream.
const MAX_LINE_BYTES: u64 = 256 * 1024;

/// One line of an event stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Line {
    /// Payload of a `data:` line.
    Data(String),
    /// A comment, such as upstreams send to keep the connection open.
    Comment,
}

/// Returns the next payload or comment and skips all other lines. Returns `None` at the end of the
/// stream.
///
/// # Errors
///
/// Fails with the errors of the reader, and with `InvalidData` if a line is too long, incomplete or
/// not UTF-8.
pub(crate) fn next_line(reader: &mut impl BufRead) -> io::Result<Option<Line>> {
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
                "event line is incomplete or too long",
            ));
        }
        let text = std::str::from_utf8(&line)
            .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        if text.starts_with(':') {
            return Ok(Some(Line::Comment));
        }
        if let Some(data) = text.trim_end().strip_prefix("data:") {
            return Ok(Some(Line::Data(data.trim_start().to_owned())));
        }
    }
}
