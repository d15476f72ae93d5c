//! Reads answers to control calls, whose length is limited: an engine may send one without end.

use std::{
    io::{self, Read},
    time::{Duration, Instant},
};

use serde::de::DeserializeOwned;

/// Maximum length of the body of an answer.
const MAX_BODY_BYTES: u64 = 1_024 * 1_024;
/// Length of an error's text from which it is not read on.
const MAX_ERROR_BYTES: usize = 4 * 1_024;
/// Time after which an error's text is not read on.
const MAX_ERROR_MS: u64 = 500;

/// Reads a JSON answer.
///
/// # Errors
///
/// Fails if the body is too long, breaks off or is not of the type.
pub(crate) fn read_json<T: DeserializeOwned>(answer: attohttpc::Response) -> io::Result<T> {
    let (_, _, body) = answer.split();
    let mut bytes = Vec::new();
    body.take(MAX_BODY_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_BODY_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the answer is too long",
        ));
    }
    Ok(serde_json::from_slice(&bytes)?)
}

/// Reads the start of an error's text, as far as it arrives soon; empty if it cannot be read.
pub(crate) fn read_error_text(answer: attohttpc::Response) -> String {
    let (_, _, mut body) = answer.split();
    let until = Instant::now() + Duration::from_millis(MAX_ERROR_MS);
    let mut text = Vec::new();
    let mut buffer = [0; 1_024];
    while text.len() < MAX_ERROR_BYTES && Instant::now() < until {
        match body.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => text.extend_from_slice(&buffer[..count]),
            Err(_) => return String::new(),
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}
