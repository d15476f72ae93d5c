//! Requests from callers: authenticates the organisation, routes by method and path, and answers.

use jacinthpoint_records::{Organisation, key_digest};
use jacinthpoint_types::{Outcome, ResultCode};
use serde_json::json;

use crate::{
    caller::{answer::ErrorAnswer, context::Context},
    http::{HttpRequest, RequestError, Responder},
    shared::Shared,
};

pub(crate) use crate::caller::{
    gate::Gates,
    limits::{LimitState, declared as declared_limits},
    retry::Retries,
};

mod answer;
mod call;
mod completion;
mod context;
mod format;
mod gate;
mod idempotency;
mod limits;
mod resume;
mod retry;
mod select;
mod service;

/// Path prefix of services, to which requests are forwarded unchanged.
const SERVICES_PREFIX: &str = "/services/";

/// Answers one request. If it could not be read, writes the reason, unless the connection failed.
pub(crate) fn handle(
    shared: &Shared,
    request: Result<&HttpRequest, RequestError>,
    responder: &mut Responder<'_>,
) {
    let error = match request {
        Ok(request) => route(shared, request, responder).err(),
        Err(RequestError::Refused(code, message)) => Some(ErrorAnswer::not_run(code, message)),
        Err(RequestError::Broken) => None,
    };
    if let Some(error) = error {
        shared.metrics.record_error(error.code);
        answer::write_error(responder, &error);
    }
}

/// Authenticates a request and runs it by its method and path.
fn route(
    shared: &Shared,
    request: &HttpRequest,
    responder: &mut Responder<'_>,
) -> Result<(), ErrorAnswer> {
    let Some(in_force) = shared.config() else {
        return Err(ErrorAnswer::not_run(
            ResultCode::NoCapacity,
            "no configuration is known yet",
        ));
    };
    let organisation = authenticate(&in_force.config, request)?;
    match (request.method.as_str(), request.path()) {
        ("GET", "/v1/models") => {
            list_models(&in_force.config, organisation, responder);
            Ok(())
        }
        ("POST", "/v1/completions" | "/v1/chat/completions") => {
            let context = Context::read(shared, organisation, request)?;
            completion::run(shared, &in_force.config, &context, request, responder)
        }
        (_, path) if path.starts_with(SERVICES_PREFIX) => {
            let context = Context::read(shared, organisation, request)?;
            service::run(shared, &in_force.config, &context, request, responder)
        }
        (_, "/v1/models" | "/v1/completions" | "/v1/chat/completions") => {
            Err(ErrorAnswer::not_run(
                ResultCode::MethodNotAllowed,
                "this path takes another method",
            ))
        }
        _ => Err(ErrorAnswer::not_run(ResultCode::NotFound, "no such path")),
    }
}

/// Returns the organisation that owns the request's API key. No other header selects an
/// organisation.
fn authenticate<'a>(
    config: &'a jacinthpoint_records::Config,
    request: &HttpRequest,
) -> Result<&'a Organisation, ErrorAnswer> {
    let key = request
        .header("authorization")
        .and_then(|value| value.strip_prefix("Bearer "));
    let organisation = key.and_then(|key| config.organisation_of_key(&key_digest(key.trim())));
    organisation.ok_or_else(|| {
        ErrorAnswer::not_run(ResultCode::Unauthenticated, "the key is missing or unknown")
    })
}

/// Writes the list of the models that an organisation may use.
fn list_models(
    config: &jacinthpoint_records::Config,
    organisation: &Organisation,
    responder: &mut Responder<'_>,
) {
    let allowed = config
        .deployments
        .values()
        .filter(|d| d.allows(&organisation.name));
    let data: Vec<_> = allowed
        .map(|deployment| {
            let id = deployment.model_ref().to_string();
            json!({ "id": id, "object": "model", "owned_by": "jacinthpoint" })
        })
        .collect();
    let body = json!({ "object": "list", "data": data }).to_string();
    answer::write_json(responder, Outcome::Answered, body.as_bytes());
}
