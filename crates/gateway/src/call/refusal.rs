//! Responses that the gateway generates itself for requests that it refuses or that fail.

use bytes::Bytes;
use hyper::{Response, StatusCode, header};
use jacinthpoint_adapter::headers;
use jacinthpoint_dispatch::{SuspectId, retry_after_ms};
use jacinthpoint_types::ResultCode;

use crate::{
    body::{AnswerBody, full_body},
    call::context::Context,
    events::log_event,
    state::Gateway,
};

/// Time from which `Retry-After` is drawn for a request in quarantine. A quarantine lasts longer than any
/// request, so it is the longest that is drawn from.
const QUARANTINED_RETRY_MS: u64 = 2_500;

/// Returns why a request with this suspect in quarantine is not sent.
pub(super) fn quarantine_reason(suspect: SuspectId) -> &'static str {
    match suspect {
        SuspectId::Part(_) => "the prompt has a part that crashes upstreams",
        SuspectId::Request(_) => "the request crashes upstreams",
    }
}

/// Refuses a request that has not run, because it or a part of its prompt is in quarantine.
pub(super) fn refuse_quarantined(context: &Context, suspect: SuspectId) -> Response<AnswerBody> {
    let gateway = &context.gateway;
    let retry_after = retry_after_ms(QUARANTINED_RETRY_MS, &mut *gateway.rng.borrow_mut());
    refuse(
        gateway,
        &context.request_id,
        match suspect {
            SuspectId::Part(_) => ResultCode::PromptQuarantined,
            SuspectId::Request(_) => ResultCode::RequestQuarantined,
        },
        quarantine_reason(suspect),
        Some(retry_after),
    )
}

/// Returns a response with the status and JSON body for `code`, and records it in metrics and the
/// log.
///
/// `why` goes only to the log. `retry_after_ms` is sent as `Retry-After` in seconds with three
/// decimals.
pub(crate) fn refuse(
    gateway: &Gateway,
    request_id: &str,
    code: ResultCode,
    why: &str,
    retry_after_ms: Option<u64>,
) -> Response<AnswerBody> {
    let status = StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
    gateway.metrics.count("requests_failed", &code.to_string());
    log_event!(warn, RequestFailed, request = request_id, code = code.number(), reason = %code,
        status = status.as_u16(), why, retry_after_ms, "a request was refused or failed");
    let text = format!("{{\"code\":{},\"reason\":\"{code}\"}}", code.number());
    let mut response = Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = status;
    let fields = response.headers_mut();
    fields.insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    if let Some(ms) = retry_after_ms {
        let seconds = format!("{:.3}", ms as f64 / 1_000.0);
        if let Ok(value) = header::HeaderValue::from_str(&seconds) {
            fields.insert(header::RETRY_AFTER, value);
        }
    }
    if let Ok(value) = header::HeaderValue::from_str(request_id) {
        fields.insert(headers::ATTEMPT_ID, value);
    }
    response
}
