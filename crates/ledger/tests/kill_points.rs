//! An owner stops at one step of a claim, and the caller's retry goes to a second owner of the
//! slot. At every step, at most one claim on the key may be granted, also when the first owner
//! continues.

use jacinthpoint_ledger::Op;
use jacinthpoint_types::{AttemptId, TimeMs};
use jacinthpoint_wire::{ClaimRequest, ClaimVerdict, ReleaseRequest};
use quickcheck::{Gen, QuickCheck};

use crate::support::{CallResult, Owner, Store, WAIT_MS, claim, key};

const ISSUED_UNIX_MS: u64 = 1_700_000_000_000;

/// A first claim at owner A, which is stopped at some step, and a retry at owner B.
struct Takeover {
    now: TimeMs,
    store: Store,
    a: Owner,
    b: Owner,
    first: ClaimRequest,
    retry: ClaimRequest,
}

impl Takeover {
    fn new() -> Takeover {
        let key = key(ISSUED_UNIX_MS, 1);
        let mut takeover = Takeover {
            now: TimeMs(1_000),
            store: Store::default(),
            a: Owner::new(),
            b: Owner::new(),
            first: claim(&key),
            retry: claim(&key),
        };
        takeover
            .a
            .submit(takeover.now, 1, Op::Claim(takeover.first.clone()));
        takeover
    }

    /// Carries out the oldest call of owner A.
    fn step_a(&mut self, result: CallResult) {
        assert!(
            self.a.step(self.now, &mut self.store, result),
            "owner A has a call in progress"
        );
    }

    fn retry_at_b(&mut self) {
        self.b.submit(self.now, 2, Op::Claim(self.retry.clone()));
        self.b.settle(&mut self.now, &mut self.store);
    }

    /// Delivers delayed writes and runs owner A to its end.
    fn continue_a(&mut self) {
        self.store.deliver_delayed();
        self.a.settle(&mut self.now, &mut self.store);
    }

    fn is_granted(owner: &Owner, ticket: u64) -> bool {
        owner.verdict(ticket) == Some(&ClaimVerdict::Granted)
    }

    fn held_by_first(&self) -> ClaimVerdict {
        ClaimVerdict::Held {
            claim: self.first.claim,
            runner: self.first.runner.clone(),
        }
    }

    /// Returns whether the first claim and whether the retry may be dispatched.
    fn granted(&self) -> (bool, bool) {
        (
            Takeover::is_granted(&self.a, 1),
            Takeover::is_granted(&self.b, 2),
        )
    }
}

macro_rules! kill_point {
    ($name:ident, |$takeover:ident| $before_retry:block, granted: $granted:expr) => {
        #[test]
        fn $name() {
            let mut $takeover = Takeover::new();
            $before_retry
            $takeover.retry_at_b();
            $takeover.continue_a();
            assert_eq!($takeover.granted(), $granted);
        }
    };
}

kill_point!(stopped_before_the_read_grants_the_retry, |takeover| {}, granted: (false, true));

kill_point!(stopped_before_the_write_grants_the_retry, |takeover| {
    takeover.step_a(CallResult::Answered);
}, granted: (false, true));

kill_point!(applied_write_with_lost_answer_grants_the_first, |takeover| {
    takeover.step_a(CallResult::Answered);
    takeover.step_a(CallResult::AnswerLost);
}, granted: (true, false));

kill_point!(write_delayed_beyond_the_retry_grants_the_retry, |takeover| {
    takeover.step_a(CallResult::Answered);
    takeover.step_a(CallResult::Delayed);
}, granted: (false, true));

kill_point!(delayed_write_that_arrives_before_the_retry_grants_the_first, |takeover| {
    takeover.step_a(CallResult::Answered);
    takeover.step_a(CallResult::Delayed);
    takeover.store.deliver_delayed();
}, granted: (true, false));

kill_point!(delayed_write_that_takes_effect_after_the_read_back_grants_the_first, |takeover| {
    takeover.step_a(CallResult::Answered);
    takeover.step_a(CallResult::Delayed);
    takeover.step_a(CallResult::Answered);
    takeover.store.deliver_delayed();
}, granted: (true, false));

kill_point!(stopped_between_write_and_dispatch_grants_the_first, |takeover| {
    takeover.step_a(CallResult::Answered);
    takeover.step_a(CallResult::Answered);
}, granted: (true, false));

#[test]
fn claim_that_cannot_be_read_back_is_unavailable_and_holds_its_key() {
    let mut takeover = Takeover::new();
    takeover.step_a(CallResult::Answered);
    takeover.step_a(CallResult::AnswerLost);
    takeover.step_a(CallResult::Refused);
    assert_eq!(takeover.a.verdict(1), Some(&ClaimVerdict::Unavailable));
    takeover.retry_at_b();
    assert_eq!(takeover.b.verdict(2), Some(&takeover.held_by_first()));
}

#[test]
fn claim_that_was_never_dispatched_is_replaced_by_only_one_other() {
    let mut takeover = Takeover::new();
    takeover.continue_a();
    let mut others: Vec<ClaimRequest> = (0..2).map(|_| claim(&takeover.first.key)).collect();
    for other in &mut others {
        other.replaces = Some(takeover.first.claim);
    }
    takeover
        .a
        .submit(takeover.now, 3, Op::Claim(others[0].clone()));
    takeover
        .b
        .submit(takeover.now, 4, Op::Claim(others[1].clone()));
    // B reads the page before A's write takes effect, so both writes expect the same version of the
    // page. A's write comes first, and B's must conflict.
    takeover
        .b
        .step(takeover.now, &mut takeover.store, CallResult::Answered);
    takeover.a.settle(&mut takeover.now, &mut takeover.store);
    takeover.b.settle(&mut takeover.now, &mut takeover.store);
    assert!(Takeover::is_granted(&takeover.a, 3));
    let held = ClaimVerdict::Held {
        claim: others[0].claim,
        runner: others[0].runner.clone(),
    };
    assert_eq!(takeover.b.verdict(4), Some(&held));
}

#[test]
fn release_removes_only_its_own_claim() {
    let mut takeover = Takeover::new();
    takeover.continue_a();
    let release = |claim| {
        Op::Release(ReleaseRequest {
            key: takeover.first.key.clone(),
            claim,
            wait_ms: WAIT_MS as u32,
        })
    };
    let (foreign, own) = (release(AttemptId::new()), release(takeover.first.claim));
    takeover.b.submit(takeover.now, 3, foreign);
    takeover.b.settle(&mut takeover.now, &mut takeover.store);
    takeover
        .a
        .submit(takeover.now, 4, Op::Claim(takeover.retry.clone()));
    takeover.a.settle(&mut takeover.now, &mut takeover.store);
    assert_eq!(takeover.a.verdict(4), Some(&takeover.held_by_first()));
    takeover.b.submit(takeover.now, 5, own);
    takeover.b.settle(&mut takeover.now, &mut takeover.store);
    assert_eq!(takeover.b.verdict(5), Some(&ClaimVerdict::Released));
    // A's cached page still has the released record, so only a claim that replaces it makes A
    // write. The write conflicts with B's version, and A evaluates the claim again on that version.
    let mut replacing = takeover.retry.clone();
    replacing.replaces = Some(takeover.first.claim);
    takeover.a.submit(takeover.now, 6, Op::Claim(replacing));
    takeover.a.settle(&mut takeover.now, &mut takeover.store);
    assert!(Takeover::is_granted(&takeover.a, 6));
}

/// Carries out the step of a random schedule that `choice` encodes.
fn random_step(choice: u8, now: &mut TimeMs, store: &mut Store, owners: &mut [Owner; 2]) {
    let owner = &mut owners[usize::from(choice & 1)];
    match (choice >> 1) % 8 {
        0 => owner.step(*now, store, CallResult::AnswerLost),
        1 => owner.step(*now, store, CallResult::Delayed),
        2 => owner.step(*now, store, CallResult::Refused),
        3 => {
            store.deliver_delayed();
            true
        }
        4 => {
            *now = now.plus_ms(u64::from(choice));
            owner.tick(*now);
            true
        }
        5 => {
            *owner = Owner {
                verdicts: std::mem::take(&mut owner.verdicts),
                ..Owner::new()
            };
            true
        }
        _ => owner.step(*now, store, CallResult::Answered),
    };
}

#[test]
fn any_schedule_grants_each_key_to_at_most_one_claim() {
    fn grants_at_most_once(schedule: Vec<u8>) -> bool {
        let (mut now, mut store) = (TimeMs(1_000), Store::default());
        let mut owners = [Owner::new(), Owner::new()];
        let keys = [key(ISSUED_UNIX_MS, 1), key(ISSUED_UNIX_MS, 2)];
        let mut key_of_ticket = Vec::new();
        for choice in schedule {
            if choice % 5 == 0 {
                let key = usize::from(choice / 5 % 2);
                let owner = &mut owners[usize::from(choice / 10 % 2)];
                let ticket = key_of_ticket.len() as u64;
                owner.submit(now, ticket, Op::Claim(claim(&keys[key])));
                key_of_ticket.push(key);
            } else {
                random_step(choice, &mut now, &mut store, &mut owners);
            }
        }
        for owner in &mut owners {
            store.deliver_delayed();
            owner.settle(&mut now, &mut store);
        }
        let verdicts = owners.iter().flat_map(|owner| &owner.verdicts);
        let granted = verdicts.filter(|(_, verdict)| *verdict == ClaimVerdict::Granted);
        let mut runs = [0, 0];
        for (ticket, _) in granted {
            runs[key_of_ticket[ticket.0 as usize]] += 1;
        }
        runs.iter().all(|runs| *runs <= 1)
    }
    QuickCheck::new()
        .rng(Gen::new(120))
        .tests(5_000)
        .quickcheck(grants_at_most_once as fn(Vec<u8>) -> bool);
}
