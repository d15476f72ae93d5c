//! Builds the request that is sent to an upstream from the caller's request.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request,
    body::{Body, Incoming},
    header::{self, HeaderName, HeaderValue},
    http::request::Parts,
};
use jacinthpoint_adapter::headers;
use jacinthpoint_dispatch::Target;
use jacinthpoint_types::{RequestDigest, ResultCode};

use crate::{call::context::Context, clock::Clock, connection::RequestBody, memory::Account};

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers that the gateway sets itself, or that apply only between it and the caller.
const GATEWAY_HEADERS: [&str; 7] = [
    "content-length",
    "expect",
    headers::KEY,
    headers::DEADLINE_MS,
    headers::EXPECTED_UPSTREAM,
    headers::ORGANISATION,
    headers::URGENCY,
];

/// Removes the hop-by-hop headers, including those named in `Connection`.
pub(super) fn strip_hop_by_hop(fields: &mut HeaderMap) {
    let named: Vec<HeaderName> = fields
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        fields.remove(name);
    }
}

/// Reads a caller's whole body, which `account` counts beside what it has already.
///
/// Fails with `TooLarge` above `max_bytes`, with `BadRequest` if the body cannot be read, and with `NoCapacity` if
/// too little memory is left for it.
pub(super) async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    account: &Account,
    clock: Clock,
) -> Result<Bytes, ResultCode> {
    let stated_bytes = body.size_hint().exact();
    let stated_bytes = stated_bytes.and_then(|bytes| usize::try_from(bytes).ok());
    if stated_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return Err(ResultCode::TooLarge);
    }
    let head_bytes = account.bytes();
    // The parts are copied, since each keeps the buffer that it was read into.
    let mut whole: Vec<u8> = Vec::new();
    while !body.is_end_stream() {
        let frame = tokio::select! {
            biased;
            () = account.revoked() => return Err(ResultCode::NoCapacity),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            break;
        };
        // Trailers are dropped.
        let Ok(part) = frame.map_err(|_| ResultCode::BadRequest)?.into_data() else {
            continue;
        };
        if part.len() > max_bytes - whole.len() {
            return Err(ResultCode::TooLarge);
        }
        let needed_bytes = whole.len() + part.len();
        if needed_bytes > whole.capacity() {
            let doubled_bytes = needed_bytes.max(2 * whole.capacity());
            let capacity = doubled_bytes.min(stated_bytes.unwrap_or(max_bytes));
            let held = account.set_bytes(head_bytes + capacity, clock.now());
            held.map_err(|_| ResultCode::NoCapacity)?;
            whole.reserve_exact(capacity - whole.len());
        }
        whole.extend_from_slice(&part);
    }
    if account.is_revoked() {
        return Err(ResultCode::NoCapacity);
    }
    Ok(whole.into())
}

/// Returns the digest by which a request is known when the same caller sends it again. Of the headers it
/// holds those that say what is asked; ids and deadlines differ each time.
pub(super) fn digest(context: &Context, head: &Parts, body: &[u8]) -> RequestDigest {
    let field = |name: &str| {
        let value = head.headers.get(name);
        value.map_or(&b""[..], |value| value.as_bytes())
    };
    let target = head
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    RequestDigest::of(&[
        context.organisation_name().as_bytes(),
        field(header::HOST.as_str()),
        head.method.as_str().as_bytes(),
        target.as_bytes(),
        field(headers::MODEL),
        field(headers::PROMPT_PARTS),
        body,
    ])
}

/// Returns the headers that are the same in all attempts.
///
/// Engines also get the priority of the organisation, or else of the route, as the urgency header.
pub(super) fn shared_headers(context: &Context, head: &Parts) -> HeaderMap {
    let mut fields = head.headers.clone();
    strip_hop_by_hop(&mut fields);
    for name in GATEWAY_HEADERS {
        fields.remove(name);
    }
    if let Some(organisation) = &context.organisation {
        insert(&mut fields, headers::ORGANISATION, &organisation.name);
    }
    if context.engine().is_some() {
        insert(
            &mut fields,
            headers::URGENCY,
            &context.priority().to_string(),
        );
    }
    fields
}

/// Builds the request to one target, with the time that remains until the deadline (at least 1 ms).
///
/// `last_event_id` is the event after which a stream is resumed.
pub(super) fn build_request(
    context: &Context,
    head: &Parts,
    shared: &HeaderMap,
    body: &Bytes,
    target: &Target,
    last_event_id: Option<&str>,
) -> Request<RequestBody> {
    let mut request = Request::new(Full::new(body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    let fields = request.headers_mut();
    *fields = shared.clone();
    insert(fields, headers::EXPECTED_UPSTREAM, target.upstream.as_str());
    insert(
        fields,
        headers::DEADLINE_MS,
        &context.remaining_ms().max(1).to_string(),
    );
    if let Some(id) = last_event_id {
        insert(fields, headers::LAST_EVENT_ID, id);
    }
    request
}

fn insert(fields: &mut HeaderMap, name: &'static str, value: &str) {
    // Text beyond ASCII is sent as it is.
    match HeaderValue::from_bytes(value.as_bytes()) {
        Ok(value) => {
            fields.insert(name, value);
        }
        Err(error) => tracing::warn!(name, value, %error, "a header of a request is left out"),
    }
}
