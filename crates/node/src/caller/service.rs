//! Calls to services, which are all upstreams other than models: forwards the request to a server
//! of the service, and retries it on another one where that is safe.

use std::collections::BTreeSet;

use jacinthpoint_records::Config;
use jacinthpoint_routing::{Accepted, Ending, Unstarted};
use jacinthpoint_types::{AttemptId, Outcome, ResultCode, ServiceId};
use jacinthpoint_upstream::{ServiceAnswer, ServiceCall};
use jacinthpoint_wire::KeptAnswer;

use crate::{
    caller::{
        SERVICES_PREFIX,
        answer::{ErrorAnswer, OUTCOME_HEADER},
        context::Context,
        idempotency::{self, KeyCheck},
        limits, retry,
        select::{choose_server, in_flight_key},
    },
    events::log_event,
    http::{HttpRequest, Responder},
    shared::Shared,
};

/// Time limit for connecting to a server.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// Runs a service call and writes its answer.
///
/// # Errors
///
/// Returns the error answer to write if the call was not answered.
pub(crate) fn run(
    shared: &Shared,
    config: &Config,
    context: &Context,
    request: &HttpRequest,
    responder: &mut Responder<'_>,
) -> Result<(), ErrorAnswer> {
    let rest = request
        .target
        .strip_prefix(SERVICES_PREFIX)
        .unwrap_or_default();
    let (name, path) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    let service = name
        .parse::<ServiceId>()
        .ok()
        .and_then(|name| config.services.get(&name));
    let allowed = service.filter(|service| {
        service.organisations.is_empty() || service.organisations.contains(&context.organisation)
    });
    let service = allowed.ok_or_else(|| {
        ErrorAnswer::not_run(
            ResultCode::NotFound,
            format!("no service {name:?} for this key"),
        )
    })?;
    let _admitted = limits::admit_request(shared, config, context, 0)?;
    let claim = match idempotency::check_key_and_claim(shared, context, request)? {
        KeyCheck::Run(claim) => claim,
        KeyCheck::Replay(answer) => {
            idempotency::replay(responder, &answer);
            return Ok(());
        }
    };
    // A key asks for at most one run, so a keyed call is not run again by default.
    let default = service.repeatable && claim.is_none();
    let repeatable = context.repeatable.unwrap_or(default);
    let call = ServiceCall {
        request: context.request,
        // Replaced for each attempt.
        attempt: AttemptId::new(),
        method: &request.method,
        path: &path,
        content_type: request
            .header("content-type")
            .unwrap_or("application/octet-stream"),
        body: &request.body,
    };
    let (ending, answer) = run_attempts(shared, context, &service.name, call, repeatable);
    let whole_answer_us = shared.now().since_ms(context.accepted_at) * 1_000;
    let outcome = ending.outcome();
    shared.metrics.record_request_end(
        &context.organisation,
        context.priority,
        outcome,
        None,
        whole_answer_us,
    );
    if let Some(claim) = claim {
        claim.settle(&ending, answer.as_ref().map(kept_answer));
    }
    let Some(answer) = answer else {
        return Err(ErrorAnswer::from_ending(
            &ending,
            "the call was not answered",
        ));
    };
    let outcome = Outcome::Answered.to_string();
    let headers = [
        ("content-type", answer.content_type.as_str()),
        (OUTCOME_HEADER, &outcome),
    ];
    let _ = responder.write_whole(answer.status, &headers, &answer.body);
    Ok(())
}

fn kept_answer(answer: &ServiceAnswer) -> KeptAnswer {
    KeptAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: answer.body.clone(),
    }
}

/// Attempts a call on one server after the other, until it is answered or may not be retried.
fn run_attempts(
    shared: &Shared,
    context: &Context,
    service: &ServiceId,
    mut call: ServiceCall<'_>,
    repeatable: bool,
) -> (Ending, Option<ServiceAnswer>) {
    // No attempt is in progress while the state is `Unstarted`.
    let mut state = Unstarted::Accepted(Accepted::new());
    let mut failed = BTreeSet::new();
    shared
        .retries
        .on_request(&context.organisation, service.as_str());
    loop {
        let left_ms = context.deadline.remaining_ms(shared.now());
        if left_ms == 0 {
            return (state.give_up(ResultCode::DeadlinePassed), None);
        }
        let Some((vm, address)) = choose_server(shared, service, &failed) else {
            return (state.give_up(ResultCode::NoCapacity), None);
        };
        call.attempt = AttemptId::new();
        let dispatched = state.dispatch();
        let _in_flight = in_flight_key(&vm).map(|key| shared.enter_group(&key));
        let called =
            jacinthpoint_upstream::call_service(address, &call, CONNECT_TIMEOUT_MS, left_ms);
        let error = match called {
            Ok(answer) => return (dispatched.answered(), Some(answer)),
            Err(error) => error,
        };
        log_event!(
            info, AttemptFailed, request = %context.request, %vm, %error,
            "service call failed"
        );
        state = if error.is_not_run() {
            dispatched.unstarted()
        } else if repeatable {
            // No attempt is in progress, but this one may have run.
            Unstarted::Lost(dispatched.lost())
        } else {
            return (dispatched.lost().give_up(ResultCode::UpstreamFailed), None);
        };
        failed.insert(vm);
        let failure = retry::failure_of(&error);
        let target = service.as_str();
        if !retry::pause_before_retry(shared, context, target, failure, failed.len() as u32) {
            return (retry::give_up(state, failure), None);
        }
    }
}
