//! Calls to plain services.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthpoint_types::{AttemptId, RequestId};

use crate::{
    ATTEMPT_HEADER, REQUEST_HEADER,
    error::StartError,
    exchange::{self, ExchangeError, Request, TimeLimit},
};

/// Largest body of an answer that is passed on to the caller.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;

/// Holds one call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceCall<'a> {
    /// Id of the caller's request.
    pub request: RequestId,
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query, beginning with `/`.
    pub path: &'a str,
    /// Content type of the body.
    pub content_type: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Holds a complete answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Calls a plain service on a connection of its own and returns its complete answer.
///
/// # Errors
///
/// Fails with [`StartError::Refused`] on status 503, which means that the service refused the call
/// before running it; every other status from 200 to 599 is an answer. An answer that is malformed, too large
/// or incomplete, or whose end is marked by neither a length nor chunks, is [`StartError::NoAnswer`],
/// because the service may have run the call.
pub fn call_service(
    address: SocketAddr,
    call: &ServiceCall<'_>,
    connect_timeout_ms: u64,
    answer_timeout_ms: u64,
) -> Result<ServiceAnswer, StartError> {
    let deadline = Instant::now() + Duration::from_millis(answer_timeout_ms);
    let request = Request {
        method: call.method,
        path: call.path,
        fields: &[
            (REQUEST_HEADER, call.request.to_string()),
            (ATTEMPT_HEADER, call.attempt.to_string()),
            ("content-type", call.content_type.to_owned()),
        ],
        body: call.body,
    };
    let connect_timeout = Duration::from_millis(connect_timeout_ms.min(answer_timeout_ms));
    let limit = TimeLimit::Until(deadline);
    let no_answer = |message: String| StartError::NoAnswer { message };
    let mut answer =
        exchange::send(address, &request, connect_timeout, limit).map_err(|error| match error {
            ExchangeError::NotSent(error) => StartError::NotSent {
                message: error.to_string(),
            },
            ExchangeError::NoAnswer(error) => no_answer(error.to_string()),
        })?;
    if !answer.body.is_framed() {
        return Err(no_answer(
            "the answer has neither length nor chunks".to_owned(),
        ));
    }
    let body = answer.body.read_whole(MAX_BODY_BYTES);
    let body = body.map_err(|error| no_answer(error.to_string()))?;
    if answer.status == 503 {
        let message = String::from_utf8_lossy(&body).into_owned();
        return Err(StartError::Refused {
            status: 503,
            message,
        });
    }
    Ok(ServiceAnswer {
        status: answer.status,
        content_type: (answer.content_type)
            .unwrap_or_else(|| "application/octet-stream".to_owned()),
        body,
    })
}
