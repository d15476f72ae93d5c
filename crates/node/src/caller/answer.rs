//! Final answers. Every answer states its outcome, and an error answer to a request that may be
//! retried states when.

use jacinthpoint_routing::Ending;
use jacinthpoint_types::{Outcome, ResultCode};
use serde_json::json;

use crate::http::Responder;

/// Header that states the outcome.
pub(crate) const OUTCOME_HEADER: &str = "x-outcome";
/// `Retry-After` of a retryable error for which no wait was estimated.
const DEFAULT_RETRY_AFTER_S: u32 = 1;

/// Answer to a request that was refused or failed.
#[derive(Debug)]
pub(crate) struct ErrorAnswer {
    pub(crate) outcome: Outcome,
    pub(crate) code: ResultCode,
    pub(crate) message: String,
    pub(crate) retry_after_s: Option<u32>,
}

impl ErrorAnswer {
    /// Creates the answer to a request of which nothing was sent to an upstream.
    pub(crate) fn not_run(code: ResultCode, message: impl Into<String>) -> ErrorAnswer {
        ErrorAnswer::new(Outcome::NotRun, code, message.into())
    }

    /// Creates the answer from the ending of a request that did not succeed.
    pub(crate) fn from_ending(ending: &Ending, message: impl Into<String>) -> ErrorAnswer {
        let code = ending.code().unwrap_or(ResultCode::Internal);
        ErrorAnswer::new(ending.outcome(), code, message.into())
    }

    /// Creates an error answer with the given outcome; `retry_after_s` follows from the code.
    pub(crate) fn new(outcome: Outcome, code: ResultCode, message: String) -> ErrorAnswer {
        let retry_after_s = code.is_retryable().then_some(DEFAULT_RETRY_AFTER_S);
        ErrorAnswer {
            outcome,
            code,
            message,
            retry_after_s,
        }
    }

    /// Returns the JSON body.
    pub(crate) fn body(&self) -> String {
        let error = json!({
            "code": self.code.number(),
            "type": self.code.to_string(),
            "message": self.message,
            "outcome": self.outcome,
        });
        json!({ "error": error }).to_string()
    }
}

/// Writes an error answer: as the whole answer, or as the last event of a stream that has begun.
///
/// Write errors are ignored: they mean that the caller has disconnected.
pub(crate) fn write_error(responder: &mut Responder<'_>, error: &ErrorAnswer) {
    if responder.is_head_sent() {
        let event = format!("data: {}\n\n", error.body());
        let _ = responder
            .write_chunk(event.as_bytes())
            .and_then(|()| responder.end_stream());
        return;
    }
    let outcome = error.outcome.to_string();
    let retry_after = error.retry_after_s.map(|seconds| seconds.to_string());
    let mut headers = vec![
        ("content-type", "application/json"),
        (OUTCOME_HEADER, &outcome),
    ];
    if let Some(retry_after) = &retry_after {
        headers.push(("retry-after", retry_after));
    }
    let _ = responder.write_whole(error.code.http_status(), &headers, error.body().as_bytes());
}

/// Writes a whole JSON answer. Write errors are ignored, as in `write_error`.
pub(crate) fn write_json(responder: &mut Responder<'_>, outcome: Outcome, body: &[u8]) {
    let outcome = outcome.to_string();
    let headers = [
        ("content-type", "application/json"),
        (OUTCOME_HEADER, outcome.as_str()),
    ];
    let _ = responder.write_whole(200, &headers, body);
}
