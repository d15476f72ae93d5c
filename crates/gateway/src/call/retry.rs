//! The attempts of a request, one after the other, and its final answer.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use hyper::{Response, http::request::Parts};
use jacinthpoint_dispatch::{Refusal, Selection, Target, TargetKey, retry_after_ms};
use jacinthpoint_types::ResultCode;

use crate::{
    body::AnswerBody,
    call::{
        attempt::{Attempt, Sending, WholeAnswer, send},
        context::Context,
        outcome::{note_failure, note_not_run, pass_on},
        refusal::refuse,
        request::shared_headers,
        stream,
    },
    events::log_event,
};

/// Part of an engine's slots that may wait there. What waits longer is late anyway.
const ENGINE_QUEUE_SHARE: f64 = 0.35;
/// The same for a request that was sent before: it is late already, and only refusing it is worse.
const REPEAT_QUEUE_SHARE: f64 = 1.0;
/// Part of a plain upstream's slots that may wait there; its requests are short.
const PLAIN_QUEUE_SHARE: f64 = 3.0;
/// Attempts that never left, after which a request is refused.
const MAX_NOT_SENT: u32 = 4;
/// Refusals by upstreams, beyond the attempts that a route allows, after which a request is
/// refused: what did not run does not count as an attempt.
const MAX_NOT_RUN: u32 = 2;
/// Time in which a repaired group is expected.
const REPAIR_MS: u64 = 1_500;
/// Time in which a slot is expected.
const ROOM_MS: u64 = 800;

/// What the attempts so far have come to.
#[derive(Debug, Default)]
pub(super) struct Tries {
    pub(super) tried: Vec<TargetKey>,
    /// Attempts that ran or may have run.
    pub(super) runs: u32,
    not_sent: u32,
    not_run: u32,
    last_answer: Option<WholeAnswer>,
}

/// Why there is no further attempt.
#[derive(Debug)]
enum End {
    Refused(Refusal),
    NoBudget,
    NoAttempts,
    DeadlinePassed,
}

impl Tries {
    /// Whether the next attempt is the last one that may run.
    fn is_last(&self, context: &Context) -> bool {
        self.runs + 1 >= context.route.max_attempts
    }

    /// Takes in a failed attempt.
    pub(super) fn on_failure(
        &mut self,
        context: &Context,
        target: &Target,
        what: &'static str,
        why: &str,
    ) {
        let gateway = &context.gateway;
        self.tried.push(target.key.clone());
        gateway.metrics.count("attempts_failed", what);
        log_event!(warn, AttemptFailed, request = context.attempt_id, upstream = %target.upstream,
            target = %target.key, what, why, runs = self.runs, elapsed_ms = context.elapsed_ms(),
            "an attempt failed");
    }
}

/// Chooses where the next attempt goes.
pub(super) fn choose(context: &Context, tries: &Tries) -> Result<Arc<Target>, Refusal> {
    let gateway = &context.gateway;
    // The newest view: groups change while a request waits.
    let snapshot = gateway
        .snapshot()
        .unwrap_or_else(|| context.snapshot.clone());
    let directory = &snapshot.directory;
    let engine_share = if tries.runs > 0 {
        REPEAT_QUEUE_SHARE
    } else {
        ENGINE_QUEUE_SHARE
    };
    let (targets, queue_share) = match (context.engine(), &context.model) {
        (Some(_), Some(model)) => (directory.groups(&context.service, model), engine_share),
        (Some(_), None) => (&[][..], engine_share),
        (None, _) => (directory.plain(&context.service), PLAIN_QUEUE_SHARE),
    };
    let mut rng = gateway.rng.borrow_mut();
    let loads = gateway.loads.borrow();
    let now = gateway.now();
    let selection = Selection {
        targets,
        tried: &tries.tried,
        queue_share,
        silence: context.silence(),
    };
    let chosen = loads.choose(&selection, now, &mut *rng);
    if let Err(refusal) = &chosen {
        let least_load = targets
            .iter()
            .map(|target| loads.load(&target.key, now))
            .min_by(f64::total_cmp);
        log_event!(warn, AttemptFailed, request = context.attempt_id, what = "choice",
            why = %refusal, model = context.model.as_ref().map(ToString::to_string),
            targets = targets.len(), tried = tries.tried.len(), least_load, queue_share,
            version = %snapshot.config.version, "no upstream can take the request");
    }
    chosen
}

/// Makes attempts until one is answered or none is left.
pub(super) async fn run(context: Rc<Context>, head: Parts, body: Bytes) -> Response<AnswerBody> {
    let gateway = context.gateway.clone();
    let settings = gateway.settings();
    context.with_budget(|budget| budget.on_request(&settings.repeats, gateway.now()));
    if let Some(model) = &context.model {
        gateway.demand.borrow_mut().on_request(model, gateway.now());
    }
    let headers = shared_headers(&context, &head);
    let sending = Rc::new(Sending {
        head,
        headers,
        body,
    });
    let mut tries = Tries::default();
    loop {
        let target = match next_target(&context, &tries) {
            Ok(target) => target,
            Err(end) => return finish(&context, tries, &end),
        };
        let is_last = tries.is_last(&context);
        match send(&context, &sending, &target, None, is_last).await {
            Attempt::Answered(answer) => {
                if answer.status.is_server_error() {
                    tries.runs += 1;
                    let why = answer.status.to_string();
                    tries.on_failure(&context, &target, "error", &why);
                    note_failure(&context, &target);
                    tries.last_answer = Some(answer);
                    if !context.route.may_repeat() {
                        return finish(&context, tries, &End::NoAttempts);
                    }
                    continue;
                }
                gateway.loads.borrow_mut().on_success(&target.key);
                return pass_on(&context, answer);
            }
            Attempt::Stream(open) => return stream::pass_on(context, sending, tries, *open),
            Attempt::NotSent(why) => {
                tries.not_sent += 1;
                tries.on_failure(&context, &target, "not-sent", &why);
                note_failure(&context, &target);
            }
            Attempt::NotRun(faulty) => {
                tries.not_run += 1;
                tries.on_failure(&context, &target, "not-run", "refused by the upstream");
                note_not_run(&context, &target, faulty);
            }
            Attempt::Unknown(why) => {
                tries.runs += 1;
                tries.on_failure(&context, &target, "unknown", &why);
                note_failure(&context, &target);
                if !context.route.may_repeat() {
                    return finish(&context, tries, &End::NoAttempts);
                }
            }
            Attempt::DeadlinePassed => {
                tries.runs += 1;
                tries.on_failure(
                    &context,
                    &target,
                    "deadline",
                    "no answer before the deadline",
                );
                note_failure(&context, &target);
                return finish(&context, tries, &End::DeadlinePassed);
            }
        }
    }
}

fn next_target(context: &Context, tries: &Tries) -> Result<Arc<Target>, End> {
    if context.deadline.has_passed(context.gateway.now()) {
        return Err(End::DeadlinePassed);
    }
    if tries.runs >= context.route.max_attempts
        || tries.not_sent >= MAX_NOT_SENT
        || tries.not_run >= MAX_NOT_RUN
    {
        return Err(End::NoAttempts);
    }
    let target = choose(context, tries).map_err(End::Refused)?;
    let is_repeat = tries.runs + tries.not_run > 0;
    if is_repeat && !context.may_spend_repeat() {
        return Err(End::NoBudget);
    }
    Ok(target)
}

/// The final answer when there is no further attempt.
fn finish(context: &Context, tries: Tries, end: &End) -> Response<AnswerBody> {
    if let Some(answer) = tries.last_answer {
        return pass_on(context, answer);
    }
    let gateway = &context.gateway;
    let may_have_run = tries.runs > 0;
    let (code, why, expected_ms) = match end {
        End::DeadlinePassed if may_have_run => (
            ResultCode::DeadlinePassed,
            "no answer before the deadline",
            None,
        ),
        _ if may_have_run => (ResultCode::UpstreamFailed, "the attempts failed", None),
        End::Refused(Refusal::NoTarget) => (
            ResultCode::NoCapacity,
            "no upstream may be used",
            Some(REPAIR_MS),
        ),
        End::Refused(Refusal::NoRoom) => (
            ResultCode::NoCapacity,
            "all upstreams are full",
            Some(ROOM_MS),
        ),
        End::NoBudget => (
            ResultCode::UpstreamRefused,
            "no budget for a repeat",
            Some(ROOM_MS),
        ),
        End::NoAttempts => (
            ResultCode::UpstreamRefused,
            "upstreams refused",
            Some(ROOM_MS),
        ),
        End::DeadlinePassed => (
            ResultCode::DeadlineUnreachable,
            "the deadline passed before it was sent",
            None,
        ),
    };
    let retry_after = expected_ms.map(|ms| retry_after_ms(ms, &mut *gateway.rng.borrow_mut()));
    refuse(gateway, &context.attempt_id, code, why, retry_after)
}
