//! One caller's request, from its head to the end of its answer.

use std::rc::Rc;

use hyper::{Request, Response, body::Incoming, header};
use jacinthpoint_adapter::headers;
use jacinthpoint_fleet::RouteMatch;
use jacinthpoint_types::{Deadline, ResultCode};
use rand::seq::IndexedRandom;

use crate::{
    body::AnswerBody,
    call::{
        attempts::run,
        context::{Context, OpenRequest},
        refusal::refuse,
    },
    state::{Gateway, Phase, Snapshot},
};

mod answer;
mod attempt;
mod attempts;
mod context;
mod ending;
mod events;
mod refusal;
mod request;
mod stream;

/// Time to name to a caller who comes before the gateway knows a configuration.
const START_RETRY_MS: u64 = 500;

/// Time to name to a caller who comes to a gateway that is stopping: another one takes it at once.
const STOP_RETRY_MS: u64 = 50;

/// Answers a request.
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
        let retry = Some(STOP_RETRY_MS);
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
            "no configuration yet",
            Some(START_RETRY_MS),
        );
    };
    let context = match context(&gateway, &snapshot, &request, attempt_id, open) {
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
            "the body was not read whole",
            None,
        ),
    }
}

/// Finds the route, the customer and the time that a request has.
fn context(
    gateway: &Rc<Gateway>,
    snapshot: &Rc<Snapshot>,
    request: &Request<Incoming>,
    attempt_id: String,
    open: OpenRequest,
) -> Result<Context, (ResultCode, &'static str, String)> {
    let host = text(request, header::HOST.as_str()).unwrap_or_default();
    let key = text(request, headers::KEY);
    let refused = |code, why| Err((code, why, attempt_id.clone()));
    let (route, organisation) = match snapshot.config.match_route(host, request.uri().path(), key) {
        RouteMatch::Found(route, organisation) => (route.clone(), organisation.cloned()),
        RouteMatch::NoRoute => return refused(ResultCode::NotFound, "no route"),
        RouteMatch::NoKey(_) => return refused(ResultCode::Unauthenticated, "unknown key"),
    };
    let service = {
        let targets = &route.targets;
        let mut rng = gateway.rng.borrow_mut();
        let chosen = targets.choose_weighted(&mut *rng, |target| target.weight);
        // Without any weight the last is taken.
        let chosen = chosen.ok().or(targets.last());
        chosen.map(|target| target.service.clone())
    };
    let Some(service) = service else {
        return refused(ResultCode::NoCapacity, "the route leads nowhere");
    };
    let started = gateway.now();
    let caller_ms = text(request, headers::DEADLINE_MS).and_then(|text| text.trim().parse().ok());
    let time_ms = caller_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
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
        deadline: Deadline::after_ms(started, time_ms),
        _open: open,
    })
}

fn text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}
