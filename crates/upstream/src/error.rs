//! Failures of upstream calls, told apart by what the upstream may have done.

/// Why a request did not start.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum StartError {
    /// No connection was made, so no byte left. The request did not run.
    #[display("not sent: {message}")]
    NotSent {
        /// What the transport said.
        message: String,
    },
    /// The upstream refused the request before running it.
    #[display("refused with status {status}: {message}")]
    Refused {
        /// HTTP status of the refusal.
        status: u16,
        /// What the upstream said.
        message: String,
    },
    /// The connection failed after bytes may have left. The request may have run.
    #[display("no answer: {message}")]
    NoAnswer {
        /// What the transport said.
        message: String,
    },
}

impl StartError {
    /// Whether the request certainly did not run.
    pub fn is_not_run(&self) -> bool {
        !matches!(self, StartError::NoAnswer { .. })
    }
}

/// Why a stream of tokens ended before its end marker.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum StreamError {
    /// Nothing came for as long as the read timeout.
    #[display("stalled")]
    Stalled,
    /// The connection broke or ended early.
    #[display("broken: {message}")]
    Broken {
        /// What the transport said.
        message: String,
    },
    /// The upstream sent something that is not an event of this attempt.
    #[display("malformed event: {message}")]
    Malformed {
        /// What is wrong with it.
        message: String,
    },
}

/// Why a control call to an upstream failed.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{message}")]
pub struct UpstreamError {
    /// What the transport or the upstream said.
    pub message: String,
}

impl From<attohttpc::Error> for UpstreamError {
    fn from(error: attohttpc::Error) -> UpstreamError {
        UpstreamError {
            message: error.to_string(),
        }
    }
}

/// Sorts a transport failure by whether bytes may have left.
///
/// Only a refused connection is certain: a timeout may have struck while connecting or while
/// waiting for the answer, and the client library does not say which.
pub(crate) fn start_error(error: &attohttpc::Error) -> StartError {
    let message = error.to_string();
    match error.kind() {
        attohttpc::ErrorKind::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
            StartError::NotSent { message }
        }
        _ => StartError::NoAnswer { message },
    }
}
