//! Model calls: an answer from one replica group, or continued over several.

use std::collections::BTreeSet;

use jacinthpoint_readiness::Permit;
use jacinthpoint_records::{Config, Deployment};
use jacinthpoint_routing::{Accepted, Dispatched, Ending, Lost, Unstarted};
use jacinthpoint_types::{AttemptId, GroupId, Outcome, ResultCode, TimeMs};
use jacinthpoint_upstream::{StartError, StartRequest, StreamError, TokenEvent, TokenStream};
use jacinthpoint_wire::KeptAnswer;
use serde_json::{Value, json};

use crate::{
    caller::{
        answer::{self, Refusal},
        context::Context,
        once::{self, Entry},
        select::wait_for_group,
    },
    events::log_event,
    http::{HttpRequest, Responder},
    shared::Shared,
};

/// Time to make a connection to an engine.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// A stream without a token for this long is taken up on a new connection.
const SILENCE_MS: u64 = 1_000;
/// Times that one attempt is taken up on a new connection without a token in between.
const MAX_RESUMES: u32 = 2;
/// Time for an engine to take a cancel.
const CANCEL_TIMEOUT_MS: u64 = 300;

/// Runs a model call to its final answer.
pub(crate) fn run(
    shared: &Shared,
    config: &Config,
    context: &Context,
    request: &HttpRequest,
    responder: &mut Responder<'_>,
) -> Result<(), Refusal> {
    let call = Call::read(config, context, request)?;
    let claim = match once::enter(shared, context, request)? {
        Entry::Run(claim) => claim,
        Entry::Replay(answer) => {
            once::replay(responder, &answer);
            return Ok(());
        }
    };
    let mut running = Running {
        shared,
        context,
        call: &call,
        responder,
        delivered: Vec::new(),
        first_token_at: None,
        failed_groups: BTreeSet::new(),
    };
    let ending = running.drive();
    running.record(&ending);
    if let Some(claim) = claim {
        claim.settle(&ending, Some(running.kept()));
    }
    running.finish(&ending)
}

/// What is asked for.
struct Call<'a> {
    deployment: &'a Deployment,
    path: &'a str,
    body: Value,
    is_chat: bool,
    wants_stream: bool,
    repeatable: bool,
    /// Resends may ask for the answer, so the run goes on when its caller leaves.
    is_keyed: bool,
}

impl<'a> Call<'a> {
    fn read(
        config: &'a Config,
        context: &Context,
        request: &'a HttpRequest,
    ) -> Result<Call<'a>, Refusal> {
        let bad = |message: &str| Refusal::not_run(ResultCode::BadRequest, message);
        let mut body: Value = serde_json::from_slice(&request.body)
            .map_err(|error| bad(&format!("the body is not JSON: {error}")))?;
        let fields = body
            .as_object_mut()
            .ok_or_else(|| bad("the body is not a JSON object"))?;
        // Only this system continues answers.
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
            Refusal::not_run(
                ResultCode::NotFound,
                format!("no model {model:?} for this key"),
            )
        })?;
        let is_keyed = once::has_key(request);
        Ok(Call {
            is_keyed,
            deployment,
            path: request.path(),
            body,
            is_chat: request.path().contains("chat"),
            wants_stream,
            repeatable: context.repeatable.unwrap_or(!is_keyed),
        })
    }
}

/// Why one attempt ended without the whole answer.
enum AttemptEnd {
    /// It did not start.
    Unstarted(Unstarted),
    /// It may have run.
    Lost(Lost),
    /// The request is over.
    Over(Ending),
}

struct Running<'a, 's> {
    shared: &'a Shared,
    context: &'a Context,
    call: &'a Call<'a>,
    responder: &'a mut Responder<'s>,
    delivered: Vec<String>,
    first_token_at: Option<TimeMs>,
    failed_groups: BTreeSet<GroupId>,
}

impl Running<'_, '_> {
    fn drive(&mut self) -> Ending {
        let mut state = Unstarted::Accepted(Accepted::new());
        loop {
            if self.context.deadline.has_passed(self.shared.now()) {
                return state.give_up(ResultCode::DeadlinePassed);
            }
            let model = self.call.deployment.model_ref();
            let permit = wait_for_group(self.shared, self.context, &model, &self.failed_groups);
            let Some(permit) = permit else {
                return state.give_up(ResultCode::NoCapacity);
            };
            state = match self.attempt(&permit, state.dispatch()) {
                AttemptEnd::Over(ending) => return ending,
                AttemptEnd::Unstarted(unstarted) => unstarted,
                AttemptEnd::Lost(lost) if self.call.repeatable => Unstarted::Lost(lost),
                AttemptEnd::Lost(lost) => return lost.give_up(ResultCode::UpstreamFailed),
            };
            self.failed_groups.insert(permit.assignment.group);
        }
    }

    fn attempt(&mut self, permit: &Permit, state: Dispatched) -> AttemptEnd {
        let Some(leader) = permit.assignment.leader() else {
            return AttemptEnd::Unstarted(state.unstarted());
        };
        let _in_flight = self.shared.enter_group(&permit.assignment.group);
        let attempt = AttemptId::new();
        let mut body = self.call.body.clone();
        if !self.delivered.is_empty() {
            body["continue_from"] = json!(self.delivered);
        }
        let request = StartRequest {
            request: self.context.request,
            attempt,
            group: &permit.assignment.group,
            epoch: permit.assignment.epoch,
            priority: self.context.priority,
            path: self.call.path,
            body: &body,
        };
        let silence_ms = self.silence_ms();
        let started =
            jacinthpoint_upstream::start(leader.address, &request, CONNECT_TIMEOUT_MS, silence_ms);
        match started {
            Ok(stream) => self.relay(permit, attempt, stream, state),
            Err(error) => self.not_started(permit, state, &error),
        }
    }

    fn not_started(&self, permit: &Permit, state: Dispatched, error: &StartError) -> AttemptEnd {
        let group = &permit.assignment.group;
        log_event!(info, AttemptFailed, request = %self.context.request, %group, %error, "start");
        if error.is_not_run() {
            AttemptEnd::Unstarted(state.unstarted())
        } else {
            AttemptEnd::Lost(state.lost())
        }
    }

    /// Passes tokens on until the answer is whole, taking a silent stream up again.
    fn relay(
        &mut self,
        permit: &Permit,
        attempt: AttemptId,
        mut stream: TokenStream,
        state: Dispatched,
    ) -> AttemptEnd {
        let mut resumes = 0;
        loop {
            match stream.next_token() {
                Ok(None) => return AttemptEnd::Over(state.answered()),
                Ok(Some(token)) => {
                    resumes = 0;
                    if !self.deliver(token) && !self.call.is_keyed {
                        self.cancel(permit, attempt);
                        return AttemptEnd::Over(state.lost().give_up(ResultCode::UpstreamFailed));
                    }
                }
                Err(error) => {
                    resumes += 1;
                    match self.resume(permit, attempt, &error, resumes) {
                        Some(resumed) => stream = resumed,
                        None => {
                            self.cancel(permit, attempt);
                            return AttemptEnd::Lost(state.lost());
                        }
                    }
                }
            }
            if self.context.deadline.has_passed(self.shared.now()) {
                self.cancel(permit, attempt);
                return AttemptEnd::Over(state.lost().give_up(ResultCode::DeadlinePassed));
            }
        }
    }

    fn resume(
        &mut self,
        permit: &Permit,
        attempt: AttemptId,
        error: &StreamError,
        resumes: u32,
    ) -> Option<TokenStream> {
        let group = &permit.assignment.group;
        log_event!(info, AttemptFailed, request = %self.context.request, %group, %error, "stream");
        let gives_up = resumes > MAX_RESUMES
            || matches!(error, StreamError::Malformed { .. })
            || !self.still_permitted(permit)
            || (self.responder.caller_is_gone() && !self.call.is_keyed);
        if gives_up {
            return None;
        }
        let offset = self.delivered.len() as u64;
        let address = permit.assignment.leader()?.address;
        let silence_ms = self.silence_ms();
        jacinthpoint_upstream::resume(address, attempt, offset, CONNECT_TIMEOUT_MS, silence_ms).ok()
    }

    fn still_permitted(&self, permit: &Permit) -> bool {
        let now = self.shared.now();
        let permits = self.shared.permits();
        permits
            .held(now)
            .any(|held| held.assignment == permit.assignment)
    }

    fn silence_ms(&self) -> u64 {
        let left_ms = self.context.deadline.remaining_ms(self.shared.now());
        // A timeout of zero would mean none.
        left_ms.clamp(1, SILENCE_MS)
    }

    fn cancel(&self, permit: &Permit, attempt: AttemptId) {
        if let Some(leader) = permit.assignment.leader() {
            // A group that is lost stops by itself.
            let _ = jacinthpoint_upstream::cancel(leader.address, attempt, CANCEL_TIMEOUT_MS);
        }
    }

    /// Takes a token; `false` if the caller has gone.
    fn deliver(&mut self, token: TokenEvent) -> bool {
        self.first_token_at.get_or_insert(self.shared.now());
        let event = self.call.wants_stream.then(|| self.event(&token));
        self.delivered.push(token.text);
        let Some(event) = event else { return true };
        if !self.responder.head_sent() {
            let request = self.context.request.to_string();
            let headers = [
                ("content-type", "text/event-stream"),
                ("x-request-id", &*request),
            ];
            if self.responder.begin_stream(&headers).is_err() {
                return false;
            }
        }
        self.responder
            .chunk(format!("data: {event}\n\n").as_bytes())
            .is_ok()
    }

    fn event(&self, token: &TokenEvent) -> Value {
        let finish = &token.finish_reason;
        let choice = if self.call.is_chat {
            json!({ "index": 0, "delta": { "content": token.text }, "finish_reason": finish })
        } else {
            json!({ "index": 0, "text": token.text, "finish_reason": finish })
        };
        let object = if self.call.is_chat {
            "chat.completion.chunk"
        } else {
            "text_completion"
        };
        json!({
            "id": self.context.request,
            "object": object,
            "model": self.call.deployment.model_ref().to_string(),
            "choices": [choice],
        })
    }

    fn finish(&mut self, ending: &Ending) -> Result<(), Refusal> {
        if ending.outcome() != Outcome::Answered {
            log_event!(
                info, RequestFailed, request = %self.context.request,
                organisation = %self.context.organisation, outcome = %ending.outcome(),
                code = ending.code().map(ResultCode::number), "not answered"
            );
            return Err(Refusal::from_ending(ending, "the request was not answered"));
        }
        if self.call.wants_stream {
            let end = stream_end();
            let _ = self
                .responder
                .chunk(end.as_bytes())
                .and_then(|()| self.responder.end_stream());
        } else {
            let body = self.whole_body().to_string();
            answer::whole_json(self.responder, Outcome::Answered, body.as_bytes());
        }
        Ok(())
    }

    /// The whole answer as a resend gets it.
    fn kept(&self) -> KeptAnswer {
        let (content_type, body) = if self.call.wants_stream {
            let token = TokenEvent {
                offset: 0,
                text: self.delivered.concat(),
                finish_reason: Some("stop".to_owned()),
            };
            let events = format!("data: {}\n\n{}", self.event(&token), stream_end());
            ("text/event-stream", events)
        } else {
            ("application/json", self.whole_body().to_string())
        };
        KeptAnswer {
            status: 200,
            content_type: content_type.to_owned(),
            body: body.into_bytes(),
        }
    }

    fn whole_body(&self) -> Value {
        let text = self.delivered.concat();
        let choice = if self.call.is_chat {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "message": message, "finish_reason": "stop" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "stop" })
        };
        json!({
            "id": self.context.request,
            "object": if self.call.is_chat { "chat.completion" } else { "text_completion" },
            "model": self.call.deployment.model_ref().to_string(),
            "choices": [choice],
            "usage": { "completion_tokens": self.delivered.len() },
        })
    }

    fn record(&self, ending: &Ending) {
        let now = self.shared.now();
        let since_us = |at: TimeMs| at.since_ms(self.context.accepted_at) * 1_000;
        self.shared.metrics.record_end(
            &self.context.organisation,
            self.context.priority,
            ending.outcome(),
            self.first_token_at.map(since_us),
            since_us(now),
        );
    }
}

/// The last events of an answered stream. The comment line tells the outcome without disturbing
/// clients that parse events.
fn stream_end() -> String {
    format!(": outcome {}\n\ndata: [DONE]\n\n", Outcome::Answered)
}
