//! Parses the body of a model call and finds its deployment.

use jacinthpoint_records::{Config, Deployment};
use jacinthpoint_types::ResultCode;
use serde_json::Value;

use crate::{
    caller::{answer::ErrorAnswer, context::Context, idempotency},
    http::HttpRequest,
};

/// A parsed model call.
pub(crate) struct Call<'a> {
    pub(crate) deployment: &'a Deployment,
    /// Full name of the model, stated in every event of the answer.
    pub(crate) model_name: String,
    pub(crate) path: &'a str,
    /// The caller's body with `stream` set, as sent to engines.
    pub(crate) body: Value,
    pub(crate) is_chat: bool,
    pub(crate) wants_stream: bool,
    /// Whether the call may run more than once.
    pub(crate) repeatable: bool,
    /// Whether the request has an idempotency key. Resends may ask for its answer, so its run
    /// continues after the caller has disconnected.
    pub(crate) is_keyed: bool,
}

impl<'a> Call<'a> {
    /// Reads the body and finds the deployment.
    ///
    /// # Errors
    ///
    /// Refuses a body that is not a valid model call, and a model that does not exist or that the
    /// organisation may not use.
    pub(crate) fn read(
        config: &'a Config,
        context: &Context,
        request: &'a HttpRequest,
    ) -> Result<Call<'a>, ErrorAnswer> {
        let bad = |message: &str| ErrorAnswer::not_run(ResultCode::BadRequest, message);
        let mut body: Value = serde_json::from_slice(&request.body)
            .map_err(|error| bad(&format!("the body is not JSON: {error}")))?;
        let fields = body
            .as_object_mut()
            .ok_or_else(|| bad("the body is not a JSON object"))?;
        // Internal field that continues an answer on another group; callers may not set it.
        fields.remove("continue_from");
        let wants_stream = match fields.insert("stream".to_owned(), Value::Bool(true)) {
            None => false,
            Some(Value::Bool(wants_stream)) => wants_stream,
            Some(_) => return Err(bad("`stream` is not true or false")),
        };
        let model = fields.get("model").and_then(Value::as_str);
        let model = model
            .ok_or_else(|| bad("`model` is missing or not a text"))?
            .to_owned();
        let mut deployments: Vec<&Deployment> = config
            .deployments_named(&model)
            .into_iter()
            .filter(|deployment| deployment.allows(&context.organisation))
            .collect();
        deployments.sort_by_key(|deployment| deployment.priority);
        let deployment = deployments.into_iter().next();
        let deployment = deployment.ok_or_else(|| {
            ErrorAnswer::not_run(
                ResultCode::NotFound,
                format!("no model {model:?} for this key"),
            )
        })?;
        let is_keyed = idempotency::has_key(request);
        Ok(Call {
            is_keyed,
            model_name: deployment.model_ref().to_string(),
            deployment,
            path: request.path(),
            body,
            is_chat: request.path().contains("chat"),
            wants_stream,
            // A key asks for at most one run, so a keyed call is not run again by default.
            repeatable: context.repeatable.unwrap_or(!is_keyed),
        })
    }
}
