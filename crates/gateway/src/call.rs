//! Handles one caller's request, from reading its head to the end of the response.

use std::rc::Rc;

use hyper::{Request, Response, body::Incoming, header};
use jacinthpoint_adapter::{decode_prompt_parts, decode_prompt_tokens, headers};
use jacinthpoint_dispatch::RequestContent;
use jacinthpoint_fleet::RouteMatch;
use jacinthpoint_types::{Deadline, ResultCode};
use rand::seq::IndexedRandom;

pub(crate) use crate::call::forward::{FORWARDED_BY, answer_forwarded};
use crate::{
    body::AnswerBody,
    call::{
        context::{Context, OpenRequestGuard},
        refusal::{refuse, refuse_quarantined},
        retry::run,
    },
    state::{Gateway, Phase, Snapshot},
};

mod answer;
mod attempt;
mod context;
mod event_splitter;
mod forward;
mod outcome;
mod refusal;
mod request;
mod retry;
mod stream;
mod whole_body;

/// `Retry-After` for requests that arrive before the gateway has a complete view of the fleet.
const START_RETRY_AFTER_MS: u64 = 500;

/// `Retry-After` for requests that arrive in [`Phase::Closing`]. It is short because another
/// gateway can serve the retry at once.
const STOP_RETRY_AFTER_MS: u64 = 50;

/// Handles a request and returns the response, which may be a stream that is still open.
///
/// Refuses the request without sending it if the gateway is closing, has no complete view of the
/// fleet, finds no route, gets no valid API key for the route, finds no service to send it to, or
/// cannot read the whole body. `is_forwarded` says that another gateway forwards the request.
pub(crate) async fn answer(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
    is_forwarded: bool,
) -> Response<AnswerBody> {
    let open_guard = OpenRequestGuard::new(gateway.clone());
    // Despite its name, the header holds one id for all attempts of the request.
    let request_id = text(&request, headers::ATTEMPT_ID)
        .unwrap_or_default()
        .to_owned();
    if *gateway.phase.borrow() >= Phase::Closing {
        let why = "this gateway is stopping";
        let retry = Some(STOP_RETRY_AFTER_MS);
        return refuse(&gateway, &request_id, ResultCode::Draining, why, retry);
    }
    let Some(snapshot) = gateway
        .snapshot()
        .filter(|_| gateway.view.borrow().is_complete())
    else {
        return refuse(
            &gateway,
            &request_id,
            ResultCode::NoCapacity,
            "the gateway has no complete view of the fleet yet",
            Some(START_RETRY_AFTER_MS),
        );
    };
    let mut context = match build_context(&gateway, &snapshot, &request, request_id, open_guard) {
        Ok(context) => context,
        Err((code, why, request_id)) => return refuse(&gateway, &request_id, code, why, None),
    };
    if let Some(suspect) = context.quarantined() {
        return refuse_quarantined(&context, suspect);
    }
    gateway.has_traffic.set(true);
    let (head, body) = request.into_parts();
    let max_bytes = snapshot.config.limits.max_body_bytes;
    match request::read_body(body, max_bytes).await {
        Ok(body) => {
            context.is_forwarded = is_forwarded;
            context.content.digest = Some(request::digest(&context, &head, &body));
            run(Rc::new(context), head, body).await
        }
        Err(code) => refuse(
            &gateway,
            &context.request_id,
            code,
            "the request body is too large or could not be read",
            None,
        ),
    }
}

/// Determines a request's route, organisation, service, model and deadline from its head.
///
/// On failure, returns the result code, the reason and the request id for the refusal.
fn build_context(
    gateway: &Rc<Gateway>,
    snapshot: &Rc<Snapshot>,
    request: &Request<Incoming>,
    request_id: String,
    open_guard: OpenRequestGuard,
) -> Result<Context, (ResultCode, &'static str, String)> {
    let host = text(request, header::HOST.as_str()).unwrap_or_default();
    let key = text(request, headers::KEY);
    let refused = |code, why| Err((code, why, request_id.clone()));
    let (route, organisation) = match snapshot.config.match_route(host, request.uri().path(), key) {
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
    let started = gateway.now();
    let caller_timeout_ms =
        text(request, headers::DEADLINE_MS).and_then(|text| text.trim().parse().ok());
    let timeout_ms = caller_timeout_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms);
    let model = text(request, headers::MODEL).and_then(|name| name.parse().ok());
    let prompt_tokens = text(request, headers::TOKENS).and_then(decode_prompt_tokens);
    let parts = text(request, headers::PROMPT_PARTS).and_then(decode_prompt_parts);
    Ok(Context {
        gateway: gateway.clone(),
        snapshot: snapshot.clone(),
        request_id,
        route,
        organisation,
        service,
        model,
        prompt_tokens: prompt_tokens.unwrap_or(0),
        content: RequestContent {
            parts,
            digest: None,
        },
        started,
        is_forwarded: false,
        deadline: Deadline::after_ms(started, timeout_ms),
        _open_guard: open_guard,
    })
}

/// Returns the value of a header if it is visible ASCII text.
fn text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}
