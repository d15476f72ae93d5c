//! Handles one caller's request, from reading its head to the end of the response.

use std::rc::Rc;

use hyper::{Request, Response, body::Incoming, header};
use jacinthpoint_adapter::headers;
use jacinthpoint_fleet::RouteMatch;
use jacinthpoint_types::{Deadline, ResultCode};
use rand::seq::IndexedRandom;

use crate::{
    body::AnswerBody,
    call::{
        context::{Context, OpenRequest},
        refusal::refuse,
        retry::run,
    },
    state::{Gateway, Phase, Snapshot},
};

mod answer;
mod attempt;
mod context;
mod event_splitter;
mod outcome;
mod refusal;
mod request;
mod retry;
mod stream;

/// `Retry-After` for requests that arrive before the gateway has loaded a configuration.
const START_RETRY_AFTER_MS: u64 = 500;

/// `Retry-After` for requests that arrive while the gateway stops. It is short because another
/// gateway can serve the retry at once.
const STOP_RETRY_AFTER_MS: u64 = 50;

/// Handles a request and returns the response, which may be a stream that is still open.
///
/// Refuses the request without sending it if the gateway is closing, has no complete view of the
/// fleet, finds no route or organisation, or cannot read the whole body.
pub(crate) async fn answer(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let open = OpenRequest::new(gateway.clone());
    let attempt_id = text(&request, headers::ATTEMPT_ID)
        .unwrap_or_default()
        .to_owned();
    if *gateway.phase.borrow() >= Phase::Closing {
        let why = "this gateway is stopping";
        let retry = Some(STOP_RETRY_AFTER_MS);
        return refuse(&gateway, &attempt_id, ResultCode::Draining, why, retry);
    }
    let Some(snapshot) = gateway
        .snapshot()
        .filter(|_| gateway.view.borrow().is_complete())
    else {
        return refuse(
            &gateway,
            &attempt_id,
            ResultCode::NoCapacity,
            "no configuration is loaded yet",
            Some(START_RETRY_AFTER_MS),
        );
    };
    let context = match build_context(&gateway, &snapshot, &request, attempt_id, open) {
        Ok(context) => context,
        Err((code, why, attempt_id)) => return refuse(&gateway, &attempt_id, code, why, None),
    };
    gateway.has_traffic.set(true);
    let (head, body) = request.into_parts();
    let max_bytes = snapshot.config.limits.max_body_bytes;
    match request::read_body(body, max_bytes).await {
        Ok(body) => run(Rc::new(context), head, body).await,
        Err(code) => refuse(
            &gateway,
            &context.attempt_id,
            code,
            "the request body is too large or could not be read",
            None,
        ),
    }
}

/// Determines a request's route, organisation, service, model and deadline from its head.
///
/// On failure, returns the result code, the reason and the attempt id for the refusal.
fn build_context(
    gateway: &Rc<Gateway>,
    snapshot: &Rc<Snapshot>,
    request: &Request<Incoming>,
    attempt_id: String,
    open: OpenRequest,
) -> Result<Context, (ResultCode, &'static str, String)> {
    let host = text(request, header::HOST.as_str()).unwrap_or_default();
    let key = text(request, headers::KEY);
    let refused = |code, why| Err((code, why, attempt_id.clone()));
    let (route, organisation) = match snapshot.config.find(host, request.uri().path(), key) {
        RouteMatch::Found(route, organisation) => (route.clone(), organisation.cloned()),
        RouteMatch::NoRoute => {
            return refused(ResultCode::NotFound, "no route matches the host and path");
        }
        RouteMatch::NoKey(_) => return refused(ResultCode::Unauthenticated, "unknown API key"),
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
    let started = gateway.now();
    let caller_timeout_ms =
        text(request, headers::DEADLINE_MS).and_then(|text| text.trim().parse().ok());
    let timeout_ms = caller_timeout_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    let model = text(request, headers::MODEL).and_then(|name| name.parse().ok());
    Ok(Context {
        gateway: gateway.clone(),
        snapshot: snapshot.clone(),
        attempt_id,
        route,
        organisation,
        service,
        model,
        started,
        deadline: Deadline::after_ms(started, timeout_ms),
        _open: open,
    })
}

/// Returns the value of a header if it is visible ASCII text.
fn text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}
