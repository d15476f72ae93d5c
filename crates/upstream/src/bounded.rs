//! Reads answers to control calls, whose length is limited: an engine may send one without end.

use std::{
    io::{self, Read},
    time::{Duration, Instant},
};

use serde::de::DeserializeOwned;

use crate::exchange::AnswerBody;

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
pub(crate) fn read_json<T: DeserializeOwned>(mut body: AnswerBody) -> io::Result<T> {
    let bytes = body.read_whole(MAX_BODY_BYTES)?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Reads the start of an error's text, as far as it arrives soon; empty if it cannot be read.
pub(crate) fn read_error_text(mut body: AnswerBody) -> String {
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
