//! Outcomes and result codes of requests, as reported to callers.

use serde::{Deserialize, Serialize};

/// Whether a request ran, and whether its whole answer was delivered. Every final answer to a
/// caller states the outcome.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Answered,
    /// No upstream ran the request.
    NotRun,
    /// An upstream may have run the request, and the answer was not delivered whole.
    Unknown,
}

/// Numbered result codes of refusals and failures. `docs/RESULT-CODES.md` describes how to react to
/// each; a test compares that page with this list.
///
/// 1xxx: the caller's request is at fault. 2xxx: refused for now. 3xxx: an upstream refused or
/// failed, or its answer is not available. 9xxx: internal.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum ResultCode {
    /// The request's head, its body, or the value of a header is malformed.
    BadRequest = 1001,
    /// The API key is missing or unknown.
    Unauthenticated = 1002,
    /// The organisation may not use this model or priority.
    Forbidden = 1003,
    /// The path, model or service does not exist.
    NotFound = 1004,
    /// The head or body is larger than the limit.
    TooLarge = 1005,
    /// The idempotency key was used before with another body.
    KeyReused = 1006,
    /// The idempotency key is older than the window in which keys are kept.
    KeyExpired = 1007,
    /// The method is not allowed on this path.
    MethodNotAllowed = 1008,
    /// The request did not arrive completely in time.
    RequestTimeout = 1009,
    /// The organisation's rate or concurrency limit is reached.
    Paced = 2001,
    /// The request was shed to keep capacity for more important work.
    Shed = 2002,
    /// The request cannot finish before its deadline.
    DeadlineUnreachable = 2003,
    /// No replica group or upstream of the requested service can be used now.
    NoCapacity = 2004,
    /// The node is draining and takes no new requests.
    Draining = 2005,
    /// The ledger record that prevents the request from running twice cannot be written now.
    LedgerUnavailable = 2006,
    /// The prompt has a part that crashed several upstreams.
    PromptQuarantined = 2007,
    /// The same request crashed several upstreams.
    RequestQuarantined = 2008,
    /// An upstream refused the request before running it.
    UpstreamRefused = 3001,
    /// An upstream failed after it may have started the request.
    UpstreamFailed = 3002,
    /// The deadline passed after an upstream may have started the request.
    DeadlinePassed = 3003,
    /// The request ran before, and its answer was not kept.
    AnswerNotKept = 3004,
    /// An internal error of this system.
    Internal = 9001,
}

impl ResultCode {
    /// Returns the number that is reported to callers.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the HTTP status of answers with this code.
    pub fn http_status(self) -> u16 {
        match self {
            ResultCode::BadRequest => 400,
            ResultCode::Unauthenticated => 401,
            ResultCode::Forbidden => 403,
            ResultCode::NotFound => 404,
            ResultCode::MethodNotAllowed => 405,
            ResultCode::RequestTimeout => 408,
            ResultCode::TooLarge => 413,
            ResultCode::KeyReused | ResultCode::KeyExpired => 422,
            ResultCode::Paced => 429,
            ResultCode::Shed
            | ResultCode::DeadlineUnreachable
            | ResultCode::NoCapacity
            | ResultCode::Draining
            | ResultCode::LedgerUnavailable
            | ResultCode::PromptQuarantined
            | ResultCode::RequestQuarantined
            | ResultCode::UpstreamRefused => 503,
            ResultCode::UpstreamFailed | ResultCode::AnswerNotKept => 502,
            ResultCode::DeadlinePassed => 504,
            ResultCode::Internal => 500,
        }
    }

    /// Returns whether a retry after a pause may succeed. Answers with such a code carry a
    /// `Retry-After` header.
    pub fn is_retryable(self) -> bool {
        (2000..3000).contains(&self.number()) || self == ResultCode::UpstreamRefused
    }
}
