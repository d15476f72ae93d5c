//! A runner stops at each step of a sending, for good or for a while, and a resend comes through
//! another runner and another owner. The upstream's run log must agree with what callers are told.

use jacinthpoint_ledger::{KeyedRequest, Op, RunTable, Step};
use jacinthpoint_types::{AttemptId, Outcome, TimeMs};
use jacinthpoint_wire::{ClaimRequest, ClaimVerdict, KeptAnswer, RunState};

use crate::support::{Fate, Owner, Store, claim, key};

const ISSUED_UNIX_MS: u64 = 1_700_000_000_000;

/// Steps of a sending, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum KillPoint {
    BeforeTheClaim,
    BeforeTheWrite,
    WriteAppliedAnswerLost,
    AfterTheWriteBeforeDispatch,
    AfterDispatch,
    BeforeTheAnswerIsKept,
    AfterTheAnswerIsKept,
}

/// What becomes of the first runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fall {
    /// It is replaced; its memory is gone.
    Killed,
    /// It answers nobody for a while, then goes on where it stopped.
    Paused,
    /// It goes on while the resend comes in, and answers other nodes.
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

struct World {
    now: TimeMs,
    store: Store,
    owners: [Owner; 2],
    runners: [Runner; 2],
    /// Claims that the upstream ran.
    run_log: Vec<AttemptId>,
}

impl World {
    fn new() -> World {
        World {
            now: TimeMs(1_000),
            store: Store::default(),
            owners: [Owner::new(), Owner::new()],
            runners: [Runner::new(), Runner::new()],
            run_log: Vec::new(),
        }
    }

    /// Brings the first sending to a point.
    fn first_until(&mut self, point: KillPoint) {
        if point == KillPoint::BeforeTheClaim {
            return;
        }
        let claim = self.runners[0].claim.clone();
        self.runners[0].runs.begin(claim.claim, self.now);
        self.owners[0].submit(self.now, 1, Op::Claim(claim));
        if point == KillPoint::BeforeTheWrite {
            return;
        }
        self.owners[0].step(self.now, &mut self.store, Fate::Answered);
        if point == KillPoint::WriteAppliedAnswerLost {
            self.owners[0].step(self.now, &mut self.store, Fate::AnswerLost);
            return;
        }
        self.owners[0].step(self.now, &mut self.store, Fate::Answered);
        self.first_goes_on(point);
    }

    /// The first runner acts on its verdict, up to a point.
    fn first_goes_on(&mut self, point: KillPoint) {
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

    /// Ends the first sending after the resend has been decided.
    fn first_ends(&mut self, point: KillPoint) {
        if point == KillPoint::BeforeTheClaim {
            self.first_until(KillPoint::BeforeTheWrite);
        }
        self.owners[0].settle(&mut self.now, &mut self.store);
        let id = self.runners[0].claim.claim;
        if self.run_log.contains(&id) {
            self.runners[0].runs.end(id, answered(), self.now);
        } else {
            self.first_goes_on(KillPoint::AfterTheAnswerIsKept);
        }
    }

    /// Brings the resend to its end, as its caller hears it.
    fn resend(&mut self) -> Outcome {
        let mut entry = KeyedRequest::new();
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
                    entry.on_verdict(verdict.clone())
                }
                Step::AskRunner { claim, .. } => {
                    assert_eq!(claim, self.runners[0].claim.claim);
                    let runner = &self.runners[0];
                    let state = runner.answers.then(|| runner.runs.state(claim));
                    if state == Some(RunState::Running) {
                        self.first_ends(KillPoint::AfterDispatch);
                    }
                    entry.on_run_state(state)
                }
                Step::Run => {
                    self.run_log.push(id);
                    return Outcome::Answered;
                }
                Step::Replay(_) => return Outcome::Answered,
                Step::Refuse { outcome, .. } => return outcome,
            }
        }
        panic!("the resend comes to no end")
    }
}

fn answered() -> RunState {
    RunState::Answered(KeptAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: b"the answer".to_vec(),
    })
}

fn check(point: KillPoint, fall: Fall, told: Outcome) {
    let mut world = World::new();
    world.first_until(point);
    match fall {
        Fall::Killed => world.runners[0].runs = RunTable::new(0),
        Fall::Paused => world.runners[0].answers = false,
        Fall::Running => {}
    }
    let outcome = world.resend();
    if fall != Fall::Killed {
        world.first_ends(point);
    }
    assert_eq!(outcome, told);
    let runs = world.run_log.len();
    assert!(runs <= 1, "{runs} runs");
    assert!(outcome != Outcome::NotRun || runs == 0);
    assert!(outcome != Outcome::Answered || runs == 1);
}

macro_rules! runner_case {
    ($($name:ident: $point:ident, $fall:ident => $told:ident;)*) => {
        $(
            #[test]
            fn $name() {
                check(KillPoint::$point, Fall::$fall, Outcome::$told);
            }
        )*
    };
}

runner_case! {
    killed_before_the_claim: BeforeTheClaim, Killed => Answered;
    killed_before_the_write: BeforeTheWrite, Killed => Answered;
    killed_with_the_answer_to_its_write_lost: WriteAppliedAnswerLost, Killed => Unknown;
    killed_after_the_write_before_dispatch: AfterTheWriteBeforeDispatch, Killed => Unknown;
    killed_after_dispatch: AfterDispatch, Killed => Unknown;
    killed_before_the_answer_is_kept: BeforeTheAnswerIsKept, Killed => Unknown;
    killed_after_the_answer_is_kept: AfterTheAnswerIsKept, Killed => Unknown;
    paused_before_the_claim: BeforeTheClaim, Paused => Answered;
    paused_before_the_write: BeforeTheWrite, Paused => Answered;
    paused_with_the_answer_to_its_write_lost: WriteAppliedAnswerLost, Paused => Unknown;
    paused_after_the_write_before_dispatch: AfterTheWriteBeforeDispatch, Paused => Unknown;
    paused_after_dispatch: AfterDispatch, Paused => Unknown;
    paused_before_the_answer_is_kept: BeforeTheAnswerIsKept, Paused => Unknown;
    running_before_the_claim: BeforeTheClaim, Running => Answered;
    running_with_the_answer_to_its_write_lost: WriteAppliedAnswerLost, Running => Answered;
    running_after_the_write_before_dispatch: AfterTheWriteBeforeDispatch, Running => Answered;
    running_after_dispatch: AfterDispatch, Running => Answered;
    running_after_the_answer_is_kept: AfterTheAnswerIsKept, Running => Answered;
}

#[test]
fn refusal_after_another_sending_is_known_never_says_not_run() {
    let mut entry = KeyedRequest::new();
    let held = ClaimVerdict::Held {
        claim: AttemptId::new(),
        runner: "node-2".parse().expect("a valid name"),
    };
    let _ = entry.on_verdict(held);
    let _ = entry.on_run_state(Some(RunState::Unstarted));
    for step in [
        entry.on_verdict(ClaimVerdict::Unavailable),
        entry.on_deadline(),
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
