//! Calls to plain services.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use jacinthpoint_types::{AttemptId, RequestId};

use crate::{
    ATTEMPT_HEADER, REQUEST_HEADER,
    error::StartError,
    service::exchange::{connect, exchange},
};

mod exchange;

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
/// before running it; every other status is an answer. An answer that is too large or incomplete, or
/// whose end is marked by neither a length nor chunks, is [`StartError::NoAnswer`], because the service
/// may have run the call.
pub fn call_service(
    address: SocketAddr,
    call: &ServiceCall<'_>,
    connect_timeout_ms: u64,
    answer_timeout_ms: u64,
) -> Result<ServiceAnswer, StartError> {
    let deadline = Instant::now() + Duration::from_millis(answer_timeout_ms);
    let not_sent = |message: String| StartError::NotSent { message };
    let proxy = proxy_of(address);
    let head = request_head(address, proxy.is_some(), call);
    let head = head.ok_or_else(|| not_sent("malformed call".to_owned()))?;
    let connect_timeout = Duration::from_millis(connect_timeout_ms.min(answer_timeout_ms));
    let connection = connect(proxy.unwrap_or(address), connect_timeout)
        .map_err(|error| not_sent(error.to_string()))?;
    let answer =
        exchange(connection, &head, call.body, deadline).map_err(|error| StartError::NoAnswer {
            message: error.to_string(),
        })?;
    if answer.status == 503 {
        let message = String::from_utf8_lossy(&answer.body).into_owned();
        return Err(StartError::Refused {
            status: 503,
            message,
        });
    }
    Ok(answer)
}

/// Returns the address of the HTTP proxy that the environment names for this address, as for all other
/// calls of a node.
fn proxy_of(address: SocketAddr) -> Option<SocketAddr> {
    let url = format!("http://{address}/").parse().ok()?;
    let settings = attohttpc::ProxySettings::from_env();
    let proxy = settings.for_url(&url)?;
    let mut addresses = proxy.socket_addrs(|| None).ok()?.into_iter();
    addresses.next()
}

/// Returns the head of a request, to a proxy with the whole URL; `None` if a part of the call would add
/// lines to it.
fn request_head(
    address: SocketAddr,
    is_through_proxy: bool,
    call: &ServiceCall<'_>,
) -> Option<String> {
    let is_token =
        |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic());
    let is_value = |text: &str| !text.chars().any(char::is_control);
    if !is_token(call.method) || !is_token(call.path) || !is_value(call.content_type) {
        return None;
    }
    let origin = if is_through_proxy {
        format!("http://{address}")
    } else {
        String::new()
    };
    Some(format!(
        "{} {origin}{} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n{REQUEST_HEADER}: {}\r\n\
         {ATTEMPT_HEADER}: {}\r\ncontent-type: {}\r\ncontent-length: {}\r\n\r\n",
        call.method,
        call.path,
        call.request,
        call.attempt,
        call.content_type,
        call.body.len()
    ))
}
