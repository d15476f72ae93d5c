//! Errors of upstream calls, distinguished by what the upstream may have done.

use std::io::ErrorKind;

use crate::exchange::ExchangeError;

/// Error of a request that did not start, or is not known to have started.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum StartError {
    /// No connection was made, so no byte was sent. The request did not run.
    #[display("not sent: {message}")]
    NotSent {
        /// Error message of the HTTP client.
        message: String,
    },
    /// The upstream refused the request before running it.
    #[display("refused with status {status}: {message}")]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// Body of the refusal.
        message: String,
    },
    /// No usable answer was received, although bytes may have been sent: the connection failed, a
    /// time limit passed, or the answer was incomplete, too large or an error. The request may have
    /// run.
    #[display("no usable answer: {message}")]
    NoAnswer {
        /// Error message of the HTTP client, or the fault of the answer.
        message: String,
    },
}

impl StartError {
    /// Returns whether the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, StartError::NoAnswer { .. })
    }
}

/// Error that ended a stream of tokens before its end marker.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum StreamError {
    /// The stream sent nothing for longer than its read timeout.
    #[display("stalled: no data within the read timeout")]
    Stalled,
    /// The connection broke, the stream ended before its end marker, or a line of the stream was
    /// too long, incomplete or not UTF-8.
    #[display("broken: {message}")]
    Broken {
        /// Error message of the HTTP client, or a description of how the stream broke.
        message: String,
    },
    /// The upstream sent something that is not the next event of this attempt.
    #[display("malformed event: {message}")]
    Malformed {
        /// Describes the fault of the event.
        message: String,
    },
}

/// Error of a control call to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{message}")]
pub struct UpstreamError {
    /// Error message of the HTTP client, which includes an error status of the upstream.
    pub message: String,
}

impl From<ExchangeError> for UpstreamError {
    fn from(error: ExchangeError) -> UpstreamError {
        UpstreamError {
            message: error.to_string(),
        }
    }
}

impl From<std::io::Error> for UpstreamError {
    fn from(error: std::io::Error) -> UpstreamError {
        UpstreamError {
            message: error.to_string(),
        }
    }
}

/// Classifies an error by whether the request may have run.
///
/// Of the failed connections, only a refused one counts as a request that was not sent: it shows that nothing
/// listens at the address.
pub(crate) fn classify_start_error(error: &ExchangeError) -> StartError {
    let message = error.to_string();
    match error {
        ExchangeError::NotSent(io)
            if matches!(
                io.kind(),
                ErrorKind::ConnectionRefused | ErrorKind::InvalidInput
            ) =>
        {
            StartError::NotSent { message }
        }
        _ => StartError::NoAnswer { message },
    }
}
