//! Idempotency keys. A caller that lost its connection resends its request, perhaps to another
//! node. This module lets a request with a key run at most once over all nodes and resends: each
//! node that receives the request claims its run from the key's ledger owner. The request runs
//! under at most one of these claims; under the others, the caller gets the kept answer of that run
//! or a refusal.

use jacinthpoint_ledger::{KeyError, Step, check_key};
use jacinthpoint_routing::Ending;
use jacinthpoint_types::{AttemptId, Deadline, IdempotencyKey, Outcome, ResultCode};
use jacinthpoint_wire::{
    ClaimRequest, ClaimVerdict, KeptAnswer, ReleaseRequest, RequestDigest, RunState, ScopedKey,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    caller::{
        answer::{ErrorAnswer, OUTCOME_HEADER},
        context::Context,
    },
    clock::unix_now_ms,
    http::{HttpRequest, Responder},
    ledger,
    shared::Shared,
};

/// Header that carries the idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Time that one ledger owner gets to decide a claim. During an outage, a longer time would delay
/// the refusal that callers get.
const CLAIM_WAIT_MS: u64 = 1_500;
/// Maximum time for which the node that runs the request waits for its end before it replies to a
/// query.
const RUN_WAIT_MS: u64 = 2_000;
/// Pause before a runner that did not answer is queried again.
const RUNNER_RETRY_MS: u64 = 500;

/// Result of checking a request's idempotency key.
pub(crate) enum KeyCheck<'a> {
    /// The request is to be run, under a claim if it has a key.
    Run(Option<Claim<'a>>),
    /// The request was already answered under its key; holds that answer.
    Replay(KeptAnswer),
}

/// Claim on the single run of a request with a key. If dropped before it is ended, the run is
/// recorded as possibly executed, without an answer.
pub(crate) struct Claim<'a> {
    shared: &'a Shared,
    key: ScopedKey,
    id: AttemptId,
    has_ended: bool,
}

/// Claims the run of a request with a key, and returns whether to run or to replay it.
///
/// # Errors
///
/// Refuses an invalid key, a key used with another request, a resend whose earlier run has no kept
/// answer or is not over by the deadline, and a request whose claim cannot be recorded.
pub(crate) fn check_key_and_claim<'a>(
    shared: &'a Shared,
    context: &Context,
    request: &HttpRequest,
) -> Result<KeyCheck<'a>, ErrorAnswer> {
    let Some(text) = request.header(KEY_HEADER) else {
        return Ok(KeyCheck::Run(None));
    };
    let key = read_key(text)?;
    let mut claim = Claim {
        shared,
        key: ScopedKey {
            organisation: context.organisation.clone(),
            key,
        },
        id: AttemptId::new(),
        has_ended: false,
    };
    shared.runs.begin(claim.id, shared.now());
    let earlier_answer = claim.obtain(context, digest(request));
    match earlier_answer {
        Ok(None) => Ok(KeyCheck::Run(Some(claim))),
        Ok(Some(answer)) => {
            claim.end(RunState::Unstarted);
            Ok(KeyCheck::Replay(answer))
        }
        Err(error) => {
            claim.end(RunState::Unstarted);
            Err(error)
        }
    }
}

/// Returns whether the request carries an idempotency key.
pub(crate) fn has_key(request: &HttpRequest) -> bool {
    request.header(KEY_HEADER).is_some()
}

/// Writes the kept answer of an earlier run.
pub(crate) fn replay(responder: &mut Responder<'_>, answer: &KeptAnswer) {
    let outcome = Outcome::Answered.to_string();
    let headers = [
        ("content-type", answer.content_type.as_str()),
        (OUTCOME_HEADER, &outcome),
    ];
    // Write errors are ignored: a caller that disconnected may resend again.
    let _ = responder.write_whole(answer.status, &headers, &answer.body);
}

fn read_key(text: &str) -> Result<IdempotencyKey, ErrorAnswer> {
    let key: IdempotencyKey = text.parse().map_err(|_| refuse_key(KeyError::NotV7))?;
    check_key(key, unix_now_ms()).map_err(refuse_key)?;
    Ok(key)
}

fn refuse_key(error: KeyError) -> ErrorAnswer {
    let code = match error {
        KeyError::TooOld => ResultCode::KeyExpired,
        KeyError::NotV7 | KeyError::TooFarAhead { .. } => ResultCode::BadRequest,
    };
    ErrorAnswer::new(error.outcome(), code, error.to_string())
}

/// Returns the digest that distinguishes a resend from another request with the same key. Each
/// part is hashed with the hash of the previous parts as the seed, so the order of the parts and
/// the boundaries between them change the digest.
fn digest(request: &HttpRequest) -> RequestDigest {
    let parts = [
        request.method.as_bytes(),
        request.target.as_bytes(),
        &request.body,
    ];
    let hash = parts
        .iter()
        .fold(0, |seed, part| xxh3_64_with_seed(part, seed));
    RequestDigest(hash)
}

impl Claim<'_> {
    /// Runs the claim protocol to its end. Returns `None` if the request is to be run, or the kept
    /// answer of its earlier run.
    fn obtain(
        &self,
        context: &Context,
        digest: RequestDigest,
    ) -> Result<Option<KeptAnswer>, ErrorAnswer> {
        let mut keyed_request = jacinthpoint_ledger::KeyedRequest::new();
        let mut step = Step::Claim { replaces: None };
        loop {
            step = match step {
                Step::Claim { replaces } => self
                    .request_claim(context.deadline, digest, replaces)
                    .map(|verdict| keyed_request.on_verdict(verdict)),
                Step::AskRunner {
                    claim,
                    runner,
                    is_retry,
                } => {
                    if is_retry {
                        self.shared.sleep_ms(RUNNER_RETRY_MS);
                    }
                    bounded_wait_ms(self.shared, context.deadline, RUN_WAIT_MS).map(|wait_ms| {
                        let state = ledger::run_state(self.shared, &runner, claim, wait_ms);
                        keyed_request.on_run_state(state)
                    })
                }
                Step::Run => return Ok(None),
                Step::Replay(answer) => return Ok(Some(answer)),
                Step::Refuse { outcome, code } => {
                    return Err(ErrorAnswer::new(
                        outcome,
                        code,
                        refusal_message(code).to_owned(),
                    ));
                }
            }
            .unwrap_or_else(|| keyed_request.on_deadline());
        }
    }

    /// Returns the ledger owner's verdict, or `None` once the deadline has passed.
    fn request_claim(
        &self,
        deadline: Deadline,
        digest: RequestDigest,
        replaces: Option<AttemptId>,
    ) -> Option<ClaimVerdict> {
        let request = ClaimRequest {
            key: self.key.clone(),
            digest,
            claim: self.id,
            runner: self.shared.settings.name.clone(),
            replaces,
            wait_ms: bounded_wait_ms(self.shared, deadline, CLAIM_WAIT_MS)?,
        };
        Some(ledger::claim(self.shared, &request))
    }

    /// Ends the claim with the request: keeps its answer, or releases the key if nothing ran.
    pub(crate) fn settle(mut self, ending: &Ending, answer: Option<KeptAnswer>) {
        match (ending.outcome(), answer) {
            (Outcome::Answered, Some(answer)) => self.end(RunState::Answered(answer)),
            (Outcome::Answered | Outcome::Unknown, _) => self.end(RunState::NotKept),
            (Outcome::NotRun, _) => {
                self.end(RunState::Unstarted);
                let request = ReleaseRequest {
                    key: self.key.clone(),
                    claim: self.id,
                    wait_ms: CLAIM_WAIT_MS as u32,
                };
                self.shared.ledger.release_later(request);
            }
        }
    }

    fn end(&mut self, state: RunState) {
        self.has_ended = true;
        self.shared.runs.end(self.id, state, self.shared.now());
    }
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.end(RunState::NotKept);
        }
    }
}

/// Returns the time to the deadline in milliseconds, at most `max_ms`; `None` once it has passed.
fn bounded_wait_ms(shared: &Shared, deadline: Deadline, max_ms: u64) -> Option<u32> {
    let left_ms = deadline.remaining_ms(shared.now()).min(max_ms);
    (left_ms > 0).then_some(left_ms as u32)
}

fn refusal_message(code: ResultCode) -> &'static str {
    match code {
        ResultCode::KeyReused => "the key was used with another request",
        ResultCode::KeyExpired => "the key is older than the time that keys are kept",
        ResultCode::LedgerUnavailable => {
            "this sending was not run, since it cannot be recorded; send it again under its key"
        }
        ResultCode::DeadlinePassed => "an earlier sending still runs",
        _ => "an earlier sending may have run, and its answer is not kept",
    }
}
