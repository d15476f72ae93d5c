//! Keyed requests: run at most once, over all nodes and resends.

use jacinthpoint_ledger::{KeyError, Step, check_key};
use jacinthpoint_routing::Ending;
use jacinthpoint_types::{AttemptId, Deadline, IdempotencyKey, Outcome, ResultCode};
use jacinthpoint_wire::{
    ClaimRequest, ClaimVerdict, KeptAnswer, ReleaseRequest, RequestDigest, RunState, ScopedKey,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    caller::{
        answer::{OUTCOME_HEADER, Refusal},
        context::Context,
    },
    clock::unix_now_ms,
    http::{HttpRequest, Responder},
    ledger,
    shared::Shared,
};

/// Header that carries the key.
const KEY_HEADER: &str = "idempotency-key";
/// How long one owner is given for a claim. Longer, and a caller would learn of an outage late.
const CLAIM_WAIT_MS: u64 = 1_500;
/// How long a runner is asked to wait at once.
const RUN_WAIT_MS: u64 = 2_000;
/// Pause before a runner that did not answer is asked again.
const RUNNER_RETRY_MS: u64 = 500;

/// What to do with a request.
pub(crate) enum Entry<'a> {
    /// Run it; under a claim if it has a key.
    Run(Option<Claim<'a>>),
    /// An earlier sending was answered; this is the answer.
    Replay(KeptAnswer),
}

/// The right to run a keyed request once. Ends as "may have run" if dropped before its end.
pub(crate) struct Claim<'a> {
    shared: &'a Shared,
    key: ScopedKey,
    id: AttemptId,
    is_over: bool,
}

/// Finds out whether this sending of a request runs.
///
/// # Errors
///
/// Refuses a bad key, and ends the request if an earlier sending ran and its answer is not kept.
pub(crate) fn enter<'a>(
    shared: &'a Shared,
    context: &Context,
    request: &HttpRequest,
) -> Result<Entry<'a>, Refusal> {
    let Some(text) = request.header(KEY_HEADER) else {
        return Ok(Entry::Run(None));
    };
    let key = read_key(text)?;
    let mut claim = Claim {
        shared,
        key: ScopedKey {
            organisation: context.organisation.clone(),
            key,
        },
        id: AttemptId::new(),
        is_over: false,
    };
    shared.runs.begin(claim.id, shared.now());
    let entered = claim.enter(context, digest(request));
    match entered {
        Ok(None) => Ok(Entry::Run(Some(claim))),
        Ok(Some(answer)) => {
            claim.end(RunState::Unstarted);
            Ok(Entry::Replay(answer))
        }
        Err(refusal) => {
            claim.end(RunState::Unstarted);
            Err(refusal)
        }
    }
}

/// Whether the request carries a key.
pub(crate) fn has_key(request: &HttpRequest) -> bool {
    request.header(KEY_HEADER).is_some()
}

/// Gives a caller the answer to an earlier sending.
pub(crate) fn replay(responder: &mut Responder<'_>, answer: &KeptAnswer) {
    let outcome = Outcome::Answered.to_string();
    let headers = [
        ("content-type", answer.content_type.as_str()),
        (OUTCOME_HEADER, &outcome),
    ];
    // A caller that has gone again may come back.
    let _ = responder.whole(answer.status, &headers, &answer.body);
}

fn read_key(text: &str) -> Result<IdempotencyKey, Refusal> {
    let key: IdempotencyKey = text.parse().map_err(|_| refuse_key(KeyError::NotV7))?;
    check_key(key, unix_now_ms()).map_err(refuse_key)?;
    Ok(key)
}

fn refuse_key(error: KeyError) -> Refusal {
    let code = match error {
        KeyError::TooOld => ResultCode::KeyExpired,
        KeyError::NotV7 | KeyError::TooFarAhead { .. } => ResultCode::BadRequest,
    };
    Refusal::new(error.outcome(), code, error.to_string())
}

/// Tells a resend from another request: the order of the parts and their lengths count.
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
    /// Carries out what the sending decides, until it runs or ends.
    fn enter(
        &self,
        context: &Context,
        digest: RequestDigest,
    ) -> Result<Option<KeptAnswer>, Refusal> {
        let mut entry = jacinthpoint_ledger::KeyedRequest::new();
        let mut step = Step::Claim { replaces: None };
        loop {
            step = match step {
                Step::Claim { replaces } => self
                    .ask_for_claim(context.deadline, digest, replaces)
                    .map(|verdict| entry.on_verdict(verdict)),
                Step::AskRunner {
                    claim,
                    runner,
                    is_retry,
                } => {
                    if is_retry {
                        self.shared.sleep_ms(RUNNER_RETRY_MS);
                    }
                    wait_ms(self.shared, context.deadline, RUN_WAIT_MS).map(|wait_ms| {
                        let state = ledger::run_state(self.shared, &runner, claim, wait_ms);
                        entry.on_run_state(state)
                    })
                }
                Step::Run => return Ok(None),
                Step::Replay(answer) => return Ok(Some(answer)),
                Step::Refuse { outcome, code } => {
                    return Err(Refusal::new(outcome, code, message_of(code).to_owned()));
                }
            }
            .unwrap_or_else(|| entry.on_deadline());
        }
    }

    /// The owner's verdict; `None` once the deadline has passed.
    fn ask_for_claim(
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
            wait_ms: wait_ms(self.shared, deadline, CLAIM_WAIT_MS)?,
        };
        Some(ledger::claim(self.shared, &request))
    }

    /// Ends the claim with the request: its answer is kept, or the key is free again if nothing
    /// ran.
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
        self.is_over = true;
        self.shared.runs.end(self.id, state, self.shared.now());
    }
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.end(RunState::NotKept);
        }
    }
}

/// Time to wait, at most `max_ms`; `None` once the deadline has passed.
fn wait_ms(shared: &Shared, deadline: Deadline, max_ms: u64) -> Option<u32> {
    let left_ms = deadline.remaining_ms(shared.now()).min(max_ms);
    (left_ms > 0).then_some(left_ms as u32)
}

fn message_of(code: ResultCode) -> &'static str {
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
