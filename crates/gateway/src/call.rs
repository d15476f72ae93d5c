//! Handles one caller's request, from reading its head to the end of the response.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    http::request::Parts,
};
use jacinthpoint_adapter::{decode_prompt_parts, decode_prompt_tokens, headers};
use jacinthpoint_dispatch::{RequestContent, retry_after_ms};
use jacinthpoint_fleet::{RequestKind, RouteMatch};
use jacinthpoint_types::{Deadline, ResultCode, TimeMs};
use rand::seq::IndexedRandom;

pub(crate) use crate::call::{
    context::Origin,
    forward::{FORWARDED_BY, answer_forwarded},
    retry::first_queue_share,
};
use crate::{
    body::AnswerBody,
    call::{
        context::{Context, OpenRequestGuard},
        refusal::{refuse, refuse_quarantined},
        retry::run,
    },
    memory::Activity,
    panics::{Panicked, catch_panic},
    state::{Gateway, Phase, Snapshot},
};

mod answer;
mod attempt;
mod context;
mod event_splitter;
mod forward;
mod open_stream;
mod outcome;
mod refusal;
mod request;
mod retry;
mod room;
mod stated;
mod stream;
mod whole_body;

/// `Retry-After` for requests that arrive before the gateway has a complete view of the fleet.
const START_RETRY_AFTER_MS: u64 = 500;

/// `Retry-After` for requests that a stop refuses. It is short because another gateway can serve the
/// retry at once.
const STOP_RETRY_AFTER_MS: u64 = 50;
/// `Retry-After` for requests whose handling panicked before they were sent. Another gateway may serve the
/// retry.
const PANIC_RETRY_AFTER_MS: u64 = 500;
/// `Retry-After` for requests on a connection above the maximum number.
const SURPLUS_RETRY_AFTER_MS: u64 = 200;

/// Minimum of the limit on the size of a request head.
const MIN_MAX_HEAD_BYTES: usize = 8 * 1_024;

/// Handles a request and returns the response, which may be a stream that is still open.
///
/// A request whose handling panics is answered, too.
pub(crate) async fn answer(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    origin: Origin,
) -> Response<AnswerBody> {
    let request_id = request_id(request.headers());
    let is_sent = Rc::new(Cell::new(false));
    let handled = catch_panic(handle(gateway.clone(), request, origin, is_sent.clone())).await;
    handled.unwrap_or_else(|Panicked| {
        let why = "the handling of the request panicked";
        let retry = PANIC_RETRY_AFTER_MS;
        let not_run = ResultCode::NoCapacity;
        refuse_unfinished(&gateway, &request_id, is_sent.get(), not_run, why, retry)
    })
}

/// Refuses a request without sending it if the gateway is stopping, has no complete view of the fleet,
/// finds no route, gets no valid API key for the route, finds no service to send it to, or cannot read
/// the whole body; otherwise runs it. A request without a response at the end of the stop is answered
/// as failed.
async fn handle(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    origin: Origin,
    is_sent: Rc<Cell<bool>>,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    let context = match admit(&gateway, &head, &origin, &is_sent) {
        Ok(context) => context,
        Err(refusal) => {
            if let Origin::Caller(caller) = &origin {
                let has_expectation = head.headers.contains_key(header::EXPECT);
                caller.discard_body(has_expectation, body).await;
            }
            return *refusal;
        }
    };
    gateway.has_traffic.set(true);
    let request_id = context.request_id.clone();
    let (not_run, why) = tokio::select! {
        biased;
        response = read_and_run(context, head, body) => return response,
        () = gateway.wait_for_ending() => {
            gateway.cut_requests.set(gateway.cut_requests.get() + 1);
            (ResultCode::Draining, "this gateway stops before the request has ended")
        }
        () = origin.wait_for_leaving() => (
            ResultCode::DeadlineUnreachable,
            "the caller ended its sending side, and no answer came in time",
        ),
    };
    let retry = STOP_RETRY_AFTER_MS;
    refuse_unfinished(&gateway, &request_id, is_sent.get(), not_run, why, retry)
}

/// Answers a request whose handling ended without an answer: as failed if it may have run, and with
/// `not_run` otherwise.
fn refuse_unfinished(
    gateway: &Gateway,
    request_id: &str,
    is_sent: bool,
    not_run: ResultCode,
    why: &str,
    retry_after_ms: u64,
) -> Response<AnswerBody> {
    let (code, retry_after_ms) = match is_sent {
        true => (ResultCode::UpstreamFailed, None),
        false => (not_run, Some(retry_after_ms)),
    };
    refuse(gateway, request_id, code, why, retry_after_ms)
}

/// Reads a request's body and runs the request.
async fn read_and_run(mut context: Context, head: Parts, body: Incoming) -> Response<AnswerBody> {
    let gateway = context.gateway.clone();
    let max_bytes = context.snapshot.config.limits.max_body_bytes;
    let deadline = gateway.clock.instant(context.deadline.0);
    let account = context.account();
    let body = request::read_body(body, max_bytes, account, gateway.clock);
    let body = tokio::time::timeout_at(deadline, body).await;
    let (code, why) = match body {
        Ok(Ok(body)) => {
            match &context.origin {
                Origin::Caller(caller) => caller.on_body_read(),
                Origin::Gateway(_, account) => {
                    account.set_activity(Activity::Working, gateway.now());
                }
            }
            context.content.digest = Some(request::digest(&context, &head, &body));
            return run(Rc::new(context), head, body).await;
        }
        Ok(Err(code @ ResultCode::NoCapacity)) => {
            let why = "too little memory or too few places are left for the request";
            let retry = retry_after_ms(SURPLUS_RETRY_AFTER_MS, &mut *gateway.rng.borrow_mut());
            return refuse(&gateway, &context.request_id, code, why, Some(retry));
        }
        Ok(Err(code)) => (code, "the request body is too large or could not be read"),
        Err(_) => (
            ResultCode::RequestTimeout,
            "the request body did not arrive before the deadline",
        ),
    };
    refuse(&gateway, &context.request_id, code, why, None)
}

/// Decides by a request's head whether it is served; returns its context, or the refusal.
fn admit(
    gateway: &Rc<Gateway>,
    head: &Parts,
    origin: &Origin,
    is_sent: &Rc<Cell<bool>>,
) -> Result<Context, Box<Response<AnswerBody>>> {
    let open_guard = OpenRequestGuard::new(gateway.clone());
    let request_id = request_id(&head.headers);
    if *gateway.phase.borrow() >= Phase::Refusing {
        let why = "this gateway is stopping";
        let retry = Some(STOP_RETRY_AFTER_MS);
        let code = ResultCode::Draining;
        return Err(refuse(gateway, &request_id, code, why, retry).into());
    }
    if matches!(origin, Origin::Caller(caller) if caller.is_surplus) {
        let why = "the maximum number of callers' connections is open";
        let retry = retry_after_ms(SURPLUS_RETRY_AFTER_MS, &mut *gateway.rng.borrow_mut());
        let code = ResultCode::NoCapacity;
        return Err(refuse(gateway, &request_id, code, why, Some(retry)).into());
    }
    let max_head_bytes = gateway.caller_limits.borrow().max_header_bytes;
    if head_bytes(head) > max_head_bytes.max(MIN_MAX_HEAD_BYTES) {
        let why = "the request head is too large";
        let mut response = refuse(gateway, &request_id, ResultCode::TooLarge, why, None);
        *response.status_mut() = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(response.into());
    }
    let Some(snapshot) = gateway
        .snapshot()
        .filter(|_| gateway.view.borrow().is_complete())
    else {
        return Err(refuse(
            gateway,
            &request_id,
            ResultCode::NoCapacity,
            "the gateway has no complete view of the fleet yet",
            Some(START_RETRY_AFTER_MS),
        )
        .into());
    };
    let mut context = build_context(gateway, &snapshot, head, origin, request_id, open_guard)
        .map_err(|(code, why, request_id)| refuse(gateway, &request_id, code, why, None))?;
    context.is_sent = is_sent.clone();
    if let Origin::Caller(caller) = origin {
        caller.on_deadline_known(context.deadline);
    }
    if let Some(suspect) = context.refused_suspect() {
        return Err(refuse_quarantined(&context, suspect).into());
    }
    if outlasts_stop(&context) {
        let why = "this gateway stops before the request would end";
        let retry = Some(STOP_RETRY_AFTER_MS);
        let code = ResultCode::Draining;
        let mut response = refuse(gateway, &context.request_id, code, why, retry);
        // The next request on the connection would meet the same gateway.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        return Err(response.into());
    }
    Ok(context)
}

/// Returns whether this gateway stops before the request's end, as far as that is known: by the deadline and by
/// the last requests of the route.
fn outlasts_stop(context: &Context) -> bool {
    let Some(ends_at) = context.gateway.ends_at.get() else {
        return false;
    };
    let durations = context.gateway.durations.borrow();
    let route = &context.route;
    let expected_ms = match route.kind {
        // If it is cut off, nobody knows whether it has run, and it must not run twice. Without an earlier
        // request, it may take until its deadline.
        RequestKind::NonIdempotent => Some(durations.longest_ms(&route.name).unwrap_or(u64::MAX)),
        RequestKind::Idempotent | RequestKind::Stream => durations.usual_ms(&route.name),
    };
    let end =
        expected_ms.map(|ms| TimeMs(context.started.0.saturating_add(ms)).min(context.deadline.0));
    end.is_some_and(|end| end > ends_at)
}

/// Returns the size of a request's head, as it is commonly written.
fn head_bytes(head: &Parts) -> usize {
    const REQUEST_LINE_EXTRA: usize = "  HTTP/1.1\r\n\r\n".len();
    const FIELD_EXTRA: usize = ": \r\n".len();
    let fields = head.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_EXTRA);
    let target = head.uri.path_and_query();
    let target_bytes = target.map_or(0, |target| target.as_str().len());
    head.method.as_str().len() + target_bytes + REQUEST_LINE_EXTRA + fields.sum::<usize>()
}

/// Determines a request's route, organisation, service, model and deadline from its head.
///
/// On failure, returns the result code, the reason and the request id for the refusal.
fn build_context(
    gateway: &Rc<Gateway>,
    snapshot: &Rc<Snapshot>,
    head: &Parts,
    origin: &Origin,
    request_id: String,
    open_guard: OpenRequestGuard,
) -> Result<Context, (ResultCode, &'static str, String)> {
    let host = text(head, header::HOST.as_str()).unwrap_or_default();
    let key = text(head, headers::KEY);
    let refused = |code, why| Err((code, why, request_id.clone()));
    let (route, organisation) = match snapshot.config.match_route(host, head.uri.path(), key) {
        RouteMatch::Found(route, organisation) => (route.clone(), organisation.cloned()),
        RouteMatch::NoRoute => {
            return refused(ResultCode::NotFound, "no route matches the host and path");
        }
        RouteMatch::NoKey(_) => {
            return refused(
                ResultCode::Unauthenticated,
                "the API key is missing or unknown",
            );
        }
    };
    let service = {
        let targets = &route.targets;
        let mut rng = gateway.rng.borrow_mut();
        let chosen = targets.choose_weighted(&mut *rng, |target| target.weight);
        // If no target has a weight, the last one is used.
        let chosen = chosen.ok().or(targets.last());
        chosen.map(|target| target.service.clone())
    };
    let Some(service) = service else {
        return refused(ResultCode::NoCapacity, "the route has no targets");
    };
    let homes = match &organisation {
        Some(organisation) => route.homes.both(&organisation.homes),
        None => route.homes.clone(),
    };
    let started = gateway.now();
    let caller_timeout_ms =
        text(head, headers::DEADLINE_MS).and_then(|text| text.trim().parse().ok());
    let timeout_ms = caller_timeout_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    let model = text(head, headers::MODEL).and_then(|name| name.parse().ok());
    let prompt_tokens = text(head, headers::TOKENS).and_then(decode_prompt_tokens);
    let parts = text(head, headers::PROMPT_PARTS).and_then(decode_prompt_parts);
    Ok(Context {
        gateway: gateway.clone(),
        snapshot: snapshot.clone(),
        request_id,
        route,
        organisation,
        homes,
        service,
        model,
        prompt_tokens: prompt_tokens.unwrap_or(0),
        content: RequestContent {
            parts,
            digest: None,
        },
        tried: RefCell::default(),
        started,
        origin: origin.clone(),
        is_sent: Rc::new(Cell::new(false)),
        deadline: Deadline::after_ms(started, timeout_ms),
        _open_guard: open_guard,
    })
}

/// Returns the id that the caller sent for a request; empty if it sent none.
pub(crate) fn request_id(fields: &HeaderMap) -> String {
    // Despite its name, the header holds one id for all attempts of the request.
    let id = fields.get(headers::ATTEMPT_ID);
    let id = id.and_then(|id| id.to_str().ok());
    id.unwrap_or_default().to_owned()
}

/// Returns the id in the head of a request that is not handled, if these bytes have it.
pub(crate) fn request_id_of_bytes(bytes: &[u8]) -> Option<&str> {
    let fields = bytes.split(|byte| *byte == b'\n');
    let mut fields = fields.filter_map(|line| std::str::from_utf8(line).ok()?.split_once(':'));
    let id = fields.find(|(name, _)| name.eq_ignore_ascii_case(headers::ATTEMPT_ID));
    id.map(|(_, value)| value.trim())
}

/// Returns the value of a header if it is visible ASCII text.
fn text<'a>(head: &'a Parts, name: &str) -> Option<&'a str> {
    head.headers.get(name).and_then(|value| value.to_str().ok())
}
