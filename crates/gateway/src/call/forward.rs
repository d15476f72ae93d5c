//! Forwards requests to another gateway while this one reaches no upstream.
//!
//! The other gateway handles the request as if its caller had sent it there: it matches the route, checks
//! the key and makes all attempts. So only a request of which nothing was sent to an upstream may be
//! forwarded, and only once: a gateway that gets a forwarded request does not forward it again. It takes
//! the request only if its view of the fleet is at least as new as that of the gateway that forwards it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{self, HeaderName, HeaderValue},
};
use jacinthpoint_adapter::headers;
use jacinthpoint_types::ResultCode;
use rand::seq::SliceRandom;

use crate::{
    body::{AnswerBody, channel, full_body},
    call::{
        answer,
        answer::is_framed,
        attempt::OutgoingRequest,
        context::{Context, Origin},
        outcome::remove_connection_headers,
        refusal::refuse,
        request::strip_hop_by_hop,
        stated::{StatedForOther, take_statements},
        stream::DEADLINE_SLACK_MS,
        whole_body,
    },
    connection::{Connection, RequestBody, SendError},
    events::log_event,
    memory::{Activity, Listener},
    state::Gateway,
    view_positions::StatedView,
};

/// Header of a forwarded request: the name of the gateway that forwards it.
pub(crate) const FORWARDED_BY: HeaderName = HeaderName::from_static("gateway-forwarded-by");
/// Header of a forwarded request: how new the view of the gateway that forwards it is.
const VIEW: HeaderName = HeaderName::from_static("gateway-view");
/// Header of the answer of a gateway that does not take a forwarded request; holds the reason.
const NOT_TAKEN: HeaderName = HeaderName::from_static("gateway-not-taken");
/// Header of the answer of a gateway that took a forwarded request.
const FORWARDED_ANSWER: HeaderName = HeaderName::from_static("gateway-forwarded-answer");
/// Maximum number of gateways to which a request is offered.
const MAX_GATEWAYS: usize = 3;
/// Timeout for connecting to another gateway.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Time for which a gateway that did not take a request gets no others.
const EXCLUSION_MS: u64 = 1_000;
/// Maximum time for which a gateway with an older view waits for the changes that it lacks. Gateways that
/// reach the store read a change at different times, since most read it from another gateway, and each reader
/// pauses after an answer of the store.
const MAX_CATCH_UP_MS: u64 = 400;

/// Result of offering a request to one gateway.
enum Offer {
    /// The gateway did not take the request; holds the reason.
    NotTaken(String),
    /// The gateway may have taken the request; holds the reason for giving up.
    Unknown(String),
    /// The deadline passed; the gateway may have taken the request.
    DeadlinePassed,
    /// The gateway answered.
    Answered(Response<AnswerBody>),
}

/// Answers a request that another gateway forwards, or refuses it if this gateway cannot serve it, either.
pub(crate) async fn answer_forwarded(
    gateway: Rc<Gateway>,
    mut request: Request<Incoming>,
) -> Response<AnswerBody> {
    let can_serve = || gateway.is_ready() && !gateway.reach.borrow().is_cut();
    if can_serve() && !catch_up(&gateway, request.headers_mut()).await {
        return not_taken("its view of the fleet is older");
    }
    // Also after the wait for its view.
    if !can_serve() {
        return not_taken("it is not ready or reaches no upstream");
    }
    request.headers_mut().remove(FORWARDED_BY);
    request.headers_mut().remove(VIEW);
    let stated = Rc::<StatedForOther>::default();
    let memory = &gateway.memory;
    let account = memory.open(Listener::Forwarded, Activity::Receiving, gateway.now());
    let origin = Origin::Gateway(stated.clone(), Rc::new(account));
    let mut response = answer(gateway.clone(), request, origin).await;
    // An upstream may send the header, too, but has run the request.
    let fields = response.headers_mut();
    fields.remove(NOT_TAKEN);
    fields.insert(FORWARDED_ANSWER, HeaderValue::from_static("1"));
    stated.write(fields, gateway.now());
    response
}

/// Returns the answer of a gateway that does not take a forwarded request.
fn not_taken(why: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let fields = response.headers_mut();
    fields.insert(NOT_TAKEN, HeaderValue::from_static(why));
    response
}

/// Waits until the view of this gateway is at least as new as the one that the head of a forwarded request
/// states, for [`MAX_CATCH_UP_MS`] at most; returns whether it is. The time that passed is taken off the
/// request's deadline.
async fn catch_up(gateway: &Gateway, fields: &mut HeaderMap) -> bool {
    let stated = fields.get(VIEW).and_then(|value| value.to_str().ok());
    let Some(stated) = stated.and_then(StatedView::parse) else {
        return false;
    };
    let began = gateway.now();
    let wait = Duration::from_millis(MAX_CATCH_UP_MS);
    let caught_up = tokio::time::timeout(wait, gateway.view_positions.wait_for(&stated)).await;
    let waited_ms = gateway.now().since_ms(began);
    let deadline = fields.get(headers::DEADLINE_MS);
    let remaining_ms = deadline.and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if let Some(remaining_ms) = remaining_ms {
        let remaining_ms = remaining_ms.saturating_sub(waited_ms).max(1);
        fields.insert(headers::DEADLINE_MS, HeaderValue::from(remaining_ms));
    }
    caught_up.is_ok() && gateway.view.borrow().version() >= stated.version
}

/// Forwards a request of which nothing was sent to an upstream, and returns the response; `None` if no
/// gateway takes it.
pub(super) async fn forward(
    context: &Context,
    outgoing: &OutgoingRequest,
) -> Option<Response<AnswerBody>> {
    let gateway = &context.gateway;
    let settings = gateway.settings();
    let own = settings.name.to_string();
    let mut others = gateway
        .roster
        .takers_of_forwarded(&own, &context.homes, &settings.regions);
    others.retain(|address| !gateway.cut_peers.is_excluded(address, gateway.now()));
    others.shuffle(&mut *gateway.rng.borrow_mut());
    for address in others.into_iter().take(MAX_GATEWAYS) {
        if context.deadline.has_passed(gateway.now()) || context.has_caller_left() {
            return None;
        }
        let (code, why) = match offer(context, outgoing, address).await {
            Offer::Answered(response) => {
                gateway.metrics.count("requests_forwarded", "answered");
                log_event!(info, RequestForwarded, request = context.request_id, to = %address,
                    status = response.status().as_u16(), elapsed_ms = context.elapsed_ms(),
                    "another gateway answers a request");
                return Some(response);
            }
            Offer::NotTaken(why) => {
                context.on_not_run();
                gateway
                    .cut_peers
                    .exclude(address, EXCLUSION_MS, gateway.now());
                gateway.metrics.count("requests_forwarded", "not-taken");
                log_event!(warn, RequestForwarded, request = context.request_id, to = %address, why,
                    "another gateway did not take a request");
                continue;
            }
            Offer::Unknown(why) => (ResultCode::UpstreamFailed, why),
            Offer::DeadlinePassed => (ResultCode::DeadlinePassed, "no answer in time".to_owned()),
        };
        gateway.metrics.count("requests_forwarded", "failed");
        log_event!(warn, RequestForwarded, request = context.request_id, to = %address, why,
            "another gateway may have taken a request, but did not answer it");
        return Some(refuse(
            gateway,
            &context.request_id,
            code,
            "the gateway that it was forwarded to failed",
            None,
        ));
    }
    None
}

/// Sends a request to one gateway and waits for the answer, or for the head of a stream.
async fn offer(context: &Context, outgoing: &OutgoingRequest, address: SocketAddr) -> Offer {
    let gateway = &context.gateway;
    let timeout_ms = CONNECT_TIMEOUT_MS.min(context.remaining_ms());
    let mut connection = match Connection::open(address, timeout_ms).await {
        Ok(connection) => connection,
        Err(error) => return Offer::NotTaken(error.to_string()),
    };
    let deadline = gateway.clock.instant(context.deadline.0);
    let request = build_request(context, outgoing);
    context.on_sending();
    let sent_at = gateway.now();
    let response = match tokio::time::timeout_at(deadline, connection.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error @ SendError::NotSent)) => return Offer::NotTaken(error.to_string()),
        Ok(Err(error)) => return Offer::Unknown(error.to_string()),
        Err(_) => return Offer::DeadlinePassed,
    };
    if let Some(why) = response.headers().get(&NOT_TAKEN) {
        let why = String::from_utf8_lossy(why.as_bytes());
        return Offer::NotTaken(format!("refused by the gateway: {why}"));
    }
    let (mut head, body) = response.into_parts();
    if head.headers.remove(FORWARDED_ANSWER).is_none() {
        let why = format!(
            "the answer, with status {}, is not of a forwarded request",
            head.status
        );
        return Offer::Unknown(why);
    }
    take_statements(gateway, &context.request_id, &mut head.headers, sent_at);
    // Each answer of a gateway is framed.
    if !is_framed(&head.headers, &body) {
        return Offer::Unknown("the answer has neither length nor chunks".to_owned());
    }
    let is_whole = body.size_hint().exact().is_some();
    remove_connection_headers(&mut head.headers);
    if !is_whole {
        return Offer::Answered(Response::from_parts(
            head,
            pass_stream(context, address, connection, body),
        ));
    }
    match tokio::time::timeout_at(deadline, whole_body::read(gateway, body)).await {
        Ok(Ok(body)) => Offer::Answered(Response::from_parts(head, full_body(body))),
        Ok(Err(error)) => Offer::Unknown(error.to_string()),
        Err(_) => Offer::DeadlinePassed,
    }
}

/// Builds the request to another gateway: that of the caller, with the time that remains.
fn build_request(context: &Context, outgoing: &OutgoingRequest) -> Request<RequestBody> {
    let head = &outgoing.head;
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = head.method.clone();
    *request.uri_mut() = head.uri.clone();
    let fields = request.headers_mut();
    *fields = head.headers.clone();
    strip_hop_by_hop(fields);
    fields.remove(header::CONTENT_LENGTH);
    fields.remove(header::EXPECT);
    fields.insert(
        headers::DEADLINE_MS,
        HeaderValue::from(context.remaining_ms().max(1)),
    );
    let own = context.gateway.settings().name.to_string();
    if let Ok(own) = HeaderValue::from_str(&own) {
        fields.insert(FORWARDED_BY, own);
    }
    let version = context.gateway.view.borrow().version();
    let stated = context.gateway.view_positions.stated(version).to_string();
    if let Ok(stated) = HeaderValue::from_str(&stated) {
        fields.insert(VIEW, stated);
    }
    request
}

/// Returns a body that passes a stream on as it arrives. It is aborted if the stream breaks off or has no
/// end at the request's deadline, and the connection is closed then, and if the caller leaves.
fn pass_stream(
    context: &Context,
    address: SocketAddr,
    connection: Connection,
    mut body: Incoming,
) -> AnswerBody {
    let gateway = context.gateway.clone();
    let (parts, passed) = channel(gateway.memory.answers());
    let request_id = context.request_id.clone();
    let started = context.started;
    let deadline_with_slack = context.deadline.0.plus_ms(DEADLINE_SLACK_MS);
    tokio::task::spawn_local(async move {
        // Open until the stream ends.
        let _connection = connection;
        let mut received_at = gateway.now();
        let why = loop {
            let frame = tokio::select! {
                // What has arrived is passed on before the deadline counts.
                biased;
                frame = body.frame() => frame,
                () = parts.closed() => return,
                () = gateway.clock.sleep_until(deadline_with_slack) => {
                    break "deadline-passed".to_owned();
                }
            };
            received_at = gateway.now();
            let part = match frame {
                None => {
                    log_event!(info, RequestForwarded, request = request_id, to = %address,
                        elapsed_ms = received_at.since_ms(started),
                        "a stream of another gateway ended whole");
                    return parts.finish();
                }
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(bytes) => bytes,
                    Err(_) => continue,
                },
                Some(Err(error)) => break error.to_string(),
            };
            if !parts.send(part).await {
                return;
            }
        };
        gateway.metrics.count("requests_forwarded", "broken");
        let now = gateway.now();
        log_event!(warn, RequestFailed, request = request_id, to = %address, why,
            elapsed_ms = now.since_ms(started), silent_ms = now.since_ms(received_at),
            "a stream of another gateway failed before its end");
    });
    passed
}
