//! A runner is killed or paused at one step of a keyed request, and the caller's retry arrives at
//! another runner and another owner. The outcome reported to the caller must agree with the run log
//! of the upstream: never more than one run, and no run if the outcome is "not run".

use jacinthpoint_ledger::{KeyedRequest, Op, RunTable, Step};
use jacinthpoint_types::{AttemptId, Outcome, TimeMs};
use jacinthpoint_wire::{ClaimRequest, ClaimVerdict, KeptAnswer, RunState};

use crate::support::{CallResult, Owner, Store, claim, key};

const ISSUED_UNIX_MS: u64 = 1_700_000_000_000;

/// Steps of a keyed request, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum KillPoint {
    BeforeTheClaim,
    BeforeTheWrite,
    WriteAppliedAnswerLost,
    AfterTheWriteBeforeDispatch,
    AfterDispatch,
    /// The simulation treats this point as `AfterDispatch`.
    BeforeTheAnswerIsKept,
    AfterTheAnswerIsKept,
}

/// Fault of the first runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunnerFault {
    /// The runner restarts without its memory.
    Killed,
    /// The runner answers no node until the retry has ended, then continues where it stopped.
    Paused,
    /// The runner has no fault: it continues during the retry and answers other nodes.
    Running,
}

struct Runner {
    runs: RunTable,
    claim: ClaimRequest,
    answers: bool,
}

impl Runner {
    fn new() -> Runner {
        Runner {
            runs: RunTable::new(1_000_000),
            claim: claim(&key(ISSUED_UNIX_MS, 1)),
            answers: true,
        }
    }
}

/// Two runners, each with an owner of the key's slot, one store and one upstream.
struct Simulation {
    now: TimeMs,
    store: Store,
    owners: [Owner; 2],
    runners: [Runner; 2],
    /// Claims that the upstream ran, in their order.
    run_log: Vec<AttemptId>,
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            now: TimeMs(1_000),
            store: Store::default(),
            owners: [Owner::new(), Owner::new()],
            runners: [Runner::new(), Runner::new()],
            run_log: Vec::new(),
        }
    }

    /// Runs the first request until it reaches `point`.
    fn run_first_until(&mut self, point: KillPoint) {
        if point == KillPoint::BeforeTheClaim {
            return;
        }
        let claim = self.runners[0].claim.clone();
        self.runners[0].runs.begin(claim.claim, self.now);
        self.owners[0].submit(self.now, 1, Op::Claim(claim));
        if point == KillPoint::BeforeTheWrite {
            return;
        }
        self.owners[0].step(self.now, &mut self.store, CallResult::Answered);
        if point == KillPoint::WriteAppliedAnswerLost {
            self.owners[0].step(self.now, &mut self.store, CallResult::AnswerLost);
            return;
        }
        self.owners[0].step(self.now, &mut self.store, CallResult::Answered);
        self.run_first_after_verdict(point);
    }

    /// Lets the first runner act on its verdict until it reaches `point`.
    fn run_first_after_verdict(&mut self, point: KillPoint) {
        let id = self.runners[0].claim.claim;
        let is_granted = self.owners[0].verdict(1) == Some(&ClaimVerdict::Granted);
        if !is_granted {
            self.runners[0].runs.end(id, RunState::Unstarted, self.now);
            return;
        }
        if point > KillPoint::AfterTheWriteBeforeDispatch {
            self.run_log.push(id);
        }
        if point > KillPoint::BeforeTheAnswerIsKept {
            self.runners[0].runs.end(id, answered(), self.now);
        }
    }

    /// Runs the first request, which was stopped at `point`, to its end.
    fn finish_first(&mut self, point: KillPoint) {
        if point == KillPoint::BeforeTheClaim {
            self.run_first_until(KillPoint::BeforeTheWrite);
        }
        self.owners[0].settle(&mut self.now, &mut self.store);
        let id = self.runners[0].claim.claim;
        if self.run_log.contains(&id) {
            self.runners[0].runs.end(id, answered(), self.now);
        } else {
            self.run_first_after_verdict(KillPoint::AfterTheAnswerIsKept);
        }
    }

    /// Runs the retry to its end and returns the outcome reported to the caller.
    fn run_retry(&mut self) -> Outcome {
        let mut retry = KeyedRequest::new();
        let mut step = Step::Claim { replaces: None };
        let id = self.runners[1].claim.claim;
        for ticket in 10..100 {
            step = match step {
                Step::Claim { replaces } => {
                    let mut claim = self.runners[1].claim.clone();
                    claim.replaces = replaces;
                    self.owners[1].submit(self.now, ticket, Op::Claim(claim));
                    self.owners[1].settle(&mut self.now, &mut self.store);
                    let verdict = self.owners[1].verdict(ticket).expect("a verdict");
                    retry.on_verdict(verdict.clone())
                }
                Step::AskRunner { claim, .. } => {
                    assert_eq!(claim, self.runners[0].claim.claim);
                    let runner = &self.runners[0];
                    let state = runner.answers.then(|| runner.runs.state(claim));
                    if state == Some(RunState::Running) {
                        // Any point after the claim was sent has the same effect here.
                        self.finish_first(KillPoint::AfterDispatch);
                    }
                    retry.on_run_state(state)
                }
                Step::Run => {
                    self.run_log.push(id);
                    return Outcome::Answered;
                }
                Step::Replay(_) => return Outcome::Answered,
                Step::Refuse { outcome, .. } => return outcome,
            }
        }
        panic!("the retry does not end")
    }
}

fn answered() -> RunState {
    RunState::Answered(KeptAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: b"the answer".to_vec(),
    })
}

fn check(point: KillPoint, fault: RunnerFault, expected: Outcome) {
    let mut simulation = Simulation::new();
    simulation.run_first_until(point);
    match fault {
        RunnerFault::Killed => simulation.runners[0].runs = RunTable::new(0),
        RunnerFault::Paused => simulation.runners[0].answers = false,
        RunnerFault::Running => {}
    }
    let outcome = simulation.run_retry();
    if fault != RunnerFault::Killed {
        simulation.finish_first(point);
    }
    assert_eq!(outcome, expected);
    let runs = simulation.run_log.len();
    assert!(runs <= 1, "{runs} runs");
    assert!(outcome != Outcome::NotRun || runs == 0);
    assert!(outcome != Outcome::Answered || runs == 1);
}

macro_rules! runner_case {
    ($($name:ident: $point:ident, $fault:ident => $expected:ident;)*) => {
        $(
            #[test]
            fn $name() {
                check(KillPoint::$point, RunnerFault::$fault, Outcome::$expected);
            }
        )*
    };
}

runner_case! {
    retry_is_answered_with_first_runner_killed_before_the_claim: BeforeTheClaim, Killed => Answered;
    retry_is_answered_with_first_runner_killed_before_the_write: BeforeTheWrite, Killed => Answered;
    retry_is_unknown_with_first_runner_killed_with_the_answer_to_its_write_lost:
        WriteAppliedAnswerLost, Killed => Unknown;
    retry_is_unknown_with_first_runner_killed_after_the_write_before_dispatch:
        AfterTheWriteBeforeDispatch, Killed => Unknown;
    retry_is_unknown_with_first_runner_killed_after_dispatch: AfterDispatch, Killed => Unknown;
    retry_is_unknown_with_first_runner_killed_before_the_answer_is_kept:
        BeforeTheAnswerIsKept, Killed => Unknown;
    retry_is_unknown_with_first_runner_killed_after_the_answer_is_kept:
        AfterTheAnswerIsKept, Killed => Unknown;
    retry_is_answered_with_first_runner_paused_before_the_claim: BeforeTheClaim, Paused => Answered;
    retry_is_answered_with_first_runner_paused_before_the_write: BeforeTheWrite, Paused => Answered;
    retry_is_unknown_with_first_runner_paused_with_the_answer_to_its_write_lost:
        WriteAppliedAnswerLost, Paused => Unknown;
    retry_is_unknown_with_first_runner_paused_after_the_write_before_dispatch:
        AfterTheWriteBeforeDispatch, Paused => Unknown;
    retry_is_unknown_with_first_runner_paused_after_dispatch: AfterDispatch, Paused => Unknown;
    retry_is_unknown_with_first_runner_paused_before_the_answer_is_kept:
        BeforeTheAnswerIsKept, Paused => Unknown;
    retry_is_answered_with_first_runner_running_before_the_claim:
        BeforeTheClaim, Running => Answered;
    retry_is_answered_with_first_runner_running_with_the_answer_to_its_write_lost:
        WriteAppliedAnswerLost, Running => Answered;
    retry_is_answered_with_first_runner_running_after_the_write_before_dispatch:
        AfterTheWriteBeforeDispatch, Running => Answered;
    retry_is_answered_with_first_runner_running_after_dispatch: AfterDispatch, Running => Answered;
    retry_is_answered_with_first_runner_running_after_the_answer_is_kept:
        AfterTheAnswerIsKept, Running => Answered;
}

#[test]
fn refusal_after_another_claim_is_known_is_never_reported_as_not_run() {
    let mut retry = KeyedRequest::new();
    let held = ClaimVerdict::Held {
        claim: AttemptId::new(),
        runner: "node-2".parse().expect("a valid name"),
    };
    let _ = retry.on_verdict(held);
    let _ = retry.on_run_state(Some(RunState::Unstarted));
    for step in [
        retry.on_verdict(ClaimVerdict::Unavailable),
        retry.on_deadline(),
    ] {
        assert!(
            matches!(
                step,
                Step::Refuse {
                    outcome: Outcome::Unknown,
                    ..
                }
            ),
            "{step:?}"
        );
    }
}
