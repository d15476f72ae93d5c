//! The runner's side of one sending of a keyed request, up to the decision to run it or not.

use jacinthpoint_types::{AttemptId, NodeId, Outcome, ResultCode};
use jacinthpoint_wire::{ClaimVerdict, KeptAnswer, RunState};

/// Times that a runner which does not answer is asked again; one round of failure detection lies
/// between the first and the last.
const MAX_RUNNER_FAILURES: u32 = 4;

/// What the runner does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Ask the slot's owner for the claim.
    Claim {
        /// A claim to put it in place of.
        replaces: Option<AttemptId>,
    },
    /// Ask the runner of another sending for its state.
    AskRunner {
        /// The other sending's claim.
        claim: AttemptId,
        /// Who runs it.
        runner: NodeId,
        /// Whether to pause first, since the runner did not answer.
        is_retry: bool,
    },
    /// Dispatch the request, once.
    Run,
    /// Give the answer to another sending.
    Replay(KeptAnswer),
    /// End without running.
    Refuse {
        /// What is known of the request.
        outcome: Outcome,
        /// Why.
        code: ResultCode,
    },
}

/// One sending of a keyed request.
#[derive(Debug, Default)]
pub struct KeyedRequest {
    holder: Option<(AttemptId, NodeId)>,
    failures: u32,
}

impl KeyedRequest {
    /// A sending that asks for its claim first.
    pub fn new() -> KeyedRequest {
        KeyedRequest::default()
    }

    /// Takes in the owner's verdict.
    pub fn on_verdict(&mut self, verdict: ClaimVerdict) -> Step {
        match verdict {
            ClaimVerdict::Granted => Step::Run,
            ClaimVerdict::Held { claim, runner } => {
                self.holder = Some((claim, runner));
                self.failures = 0;
                self.ask_runner(false)
            }
            ClaimVerdict::KeyReused => refuse(Outcome::NotRun, ResultCode::KeyReused),
            ClaimVerdict::Expired => refuse(Outcome::Unknown, ResultCode::KeyExpired),
            ClaimVerdict::Released | ClaimVerdict::Unavailable => self.unavailable(),
        }
    }

    /// Takes in what the runner of the other sending says; `None` if it does not answer.
    pub fn on_run_state(&mut self, state: Option<RunState>) -> Step {
        match state {
            Some(RunState::Answered(answer)) => Step::Replay(answer),
            Some(RunState::Running) => {
                self.failures = 0;
                self.ask_runner(false)
            }
            Some(RunState::Unstarted) => Step::Claim {
                replaces: self.holder.as_ref().map(|(claim, _)| *claim),
            },
            None if self.failures < MAX_RUNNER_FAILURES => {
                self.failures += 1;
                self.ask_runner(true)
            }
            Some(RunState::NotKept) | None => refuse(Outcome::Unknown, ResultCode::AnswerNotKept),
        }
    }

    /// Ends the sending at its deadline.
    pub fn on_deadline(&self) -> Step {
        match self.holder {
            Some(_) => refuse(Outcome::Unknown, ResultCode::DeadlinePassed),
            None => self.unavailable(),
        }
    }

    fn ask_runner(&self, is_retry: bool) -> Step {
        match &self.holder {
            Some((claim, runner)) => Step::AskRunner {
                claim: *claim,
                runner: runner.clone(),
                is_retry,
            },
            None => Step::Claim { replaces: None },
        }
    }

    /// Not run, as far as this sending goes. Once another sending is known of, only that one's
    /// runner could say so.
    fn unavailable(&self) -> Step {
        let outcome = match self.holder {
            Some(_) => Outcome::Unknown,
            None => Outcome::NotRun,
        };
        refuse(outcome, ResultCode::LedgerUnavailable)
    }
}

fn refuse(outcome: Outcome, code: ResultCode) -> Step {
    Step::Refuse { outcome, code }
}
