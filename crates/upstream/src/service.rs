//! Calls to plain services.

use std::{io::Read, net::SocketAddr, time::Duration};

use jacinthpoint_types::{AttemptId, RequestId};

use crate::{
    ATTEMPT_HEADER, REQUEST_HEADER,
    error::{StartError, classify_start_error},
};

/// Largest body of an answer that is passed on to the caller.
const MAX_ANSWER_BYTES: u64 = 8 * 1024 * 1024;

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

/// Calls a plain service and returns its complete answer.
///
/// # Errors
///
/// Fails with [`StartError::Refused`] on status 503, which means that the service refused the call
/// before running it; every other status is an answer. An answer that is too large or incomplete
/// is [`StartError::NoAnswer`], because the service may have run the call.
pub fn call_service(
    address: SocketAddr,
    call: &ServiceCall<'_>,
    connect_timeout_ms: u64,
    answer_timeout_ms: u64,
) -> Result<ServiceAnswer, StartError> {
    let method = attohttpc::Method::from_bytes(call.method.as_bytes()).map_err(|error| {
        StartError::NotSent {
            message: error.to_string(),
        }
    })?;
    let answer = attohttpc::RequestBuilder::new(method, format!("http://{address}{}", call.path))
        .follow_redirects(false)
        .connect_timeout(Duration::from_millis(connect_timeout_ms))
        .timeout(Duration::from_millis(answer_timeout_ms))
        .header(REQUEST_HEADER, call.request.to_string())
        .header(ATTEMPT_HEADER, call.attempt.to_string())
        .header("content-type", call.content_type)
        .bytes(call.body)
        .send()
        .map_err(|error| classify_start_error(&error))?;
    read_answer(answer)
}

fn read_answer(answer: attohttpc::Response) -> Result<ServiceAnswer, StartError> {
    let no_answer = |message: String| StartError::NoAnswer { message };
    let (status, headers, reader) = answer.split();
    let content_type = headers
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let declared = headers
        .get("content-length")
        .and_then(|value| value.to_str().ok());
    let declared: Option<usize> = declared.and_then(|text| text.parse().ok());
    let mut body = Vec::new();
    let mut limited = reader.take(MAX_ANSWER_BYTES + 1);
    limited
        .read_to_end(&mut body)
        .map_err(|error| no_answer(error.to_string()))?;
    if body.len() as u64 > MAX_ANSWER_BYTES {
        return Err(no_answer(format!(
            "answer exceeds {MAX_ANSWER_BYTES} bytes"
        )));
    }
    if declared.is_some_and(|declared| declared != body.len()) {
        return Err(no_answer(
            "answer differs in length from its content-length".to_owned(),
        ));
    }
    if status.as_u16() == 503 {
        let message = String::from_utf8_lossy(&body).into_owned();
        return Err(StartError::Refused {
            status: 503,
            message,
        });
    }
    Ok(ServiceAnswer {
        status: status.as_u16(),
        content_type,
        body,
    })
}
