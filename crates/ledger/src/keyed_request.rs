//! State of one keyed request at its runner, up to the decision to run it or not.
//!
//! A caller may send a keyed request several times. Each time, the node that receives it becomes
//! the runner of a [`KeyedRequest`] of its own and sends a claim to the owner of the key's slot. If
//! another claim holds the key, the runner asks the runner of that claim for its state.

use jacinthpoint_types::{AttemptId, NodeId, Outcome, ResultCode};
use jacinthpoint_wire::{ClaimVerdict, KeptAnswer, RunState};

/// Number of times that a runner is asked again if it does not answer. The calling code pauses
/// before each retry, so one round of failure detection passes between the first attempt and the
/// last.
const MAX_RUNNER_RETRIES: u32 = 4;

/// Next step of the runner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Send a claim to the slot's owner.
    Claim {
        /// A claim that was never dispatched and that the new claim replaces.
        replaces: Option<AttemptId>,
    },
    /// Ask the runner of the claim that holds the key for the claim's state.
    AskRunner {
        /// The claim that holds the key.
        claim: AttemptId,
        /// The runner of that claim.
        runner: NodeId,
        /// True if the runner did not answer the last time; the calling code must pause before it
        /// asks again.
        is_retry: bool,
    },
    /// Dispatch the request, once.
    Run,
    /// Reply with the answer of the claim that held the key.
    Replay(KeptAnswer),
    /// End the request without running it.
    Refuse {
        /// Outcome to report to the caller.
        outcome: Outcome,
        /// Reason of the refusal.
        code: ResultCode,
    },
}

/// Holds what the runner of one keyed request has learned of other claims on its key.
#[derive(Debug, Default)]
pub struct KeyedRequest {
    /// The claim last seen to hold the key, and its runner.
    holder: Option<(AttemptId, NodeId)>,
    /// Number of times in a row that the holder's runner did not answer.
    failures: u32,
}

impl KeyedRequest {
    /// Returns the state of a new request, whose first step is [`Step::Claim`].
    pub fn new() -> KeyedRequest {
        KeyedRequest::default()
    }

    /// Handles the verdict of the slot's owner.
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

    /// Handles the answer of the holder's runner; `None` if it does not answer.
    pub fn on_run_state(&mut self, state: Option<RunState>) -> Step {
        match state {
            Some(RunState::Answered(answer)) => Step::Replay(answer),
            Some(RunState::Running) => {
                self.failures = 0;
                // The runner answers `Running` only after it has waited for the run to end, so no
                // pause is needed.
                self.ask_runner(false)
            }
            Some(RunState::Unstarted) => Step::Claim {
                replaces: self.holder.as_ref().map(|(claim, _)| *claim),
            },
            None if self.failures < MAX_RUNNER_RETRIES => {
                self.failures += 1;
                self.ask_runner(true)
            }
            Some(RunState::NotKept) | None => refuse(Outcome::Unknown, ResultCode::AnswerNotKept),
        }
    }

    /// Ends the request at its deadline.
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

    /// Ends the request because the ledger is unavailable. The outcome is `NotRun` only if no other
    /// claim on the key was ever seen. Otherwise it is `Unknown`: that claim may have run or,
    /// even if its runner reported it as unstarted, a third claim may have replaced it and run.
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
