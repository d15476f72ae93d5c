//! An owner stops at each step of a claim, and a second owner takes the slot over. Whatever the
//! step, at most one claim of a key is granted.

use jacinthpoint_ledger::Op;
use jacinthpoint_types::{AttemptId, TimeMs};
use jacinthpoint_wire::{ClaimRequest, ClaimVerdict, ReleaseRequest};
use quickcheck::{Gen, QuickCheck};

use crate::support::{Fate, Owner, Store, WAIT_MS, claim, key};

const ISSUED_UNIX_MS: u64 = 1_700_000_000_000;

/// A first sending at owner A, stopped at a named step, and a resend at owner B.
struct Scene {
    now: TimeMs,
    store: Store,
    a: Owner,
    b: Owner,
    first: ClaimRequest,
    resend: ClaimRequest,
}

impl Scene {
    fn new() -> Scene {
        let key = key(ISSUED_UNIX_MS, 1);
        let mut scene = Scene {
            now: TimeMs(1_000),
            store: Store::default(),
            a: Owner::new(),
            b: Owner::new(),
            first: claim(&key),
            resend: claim(&key),
        };
        scene.a.submit(scene.now, 1, Op::Claim(scene.first.clone()));
        scene
    }

    fn step_a(&mut self, fate: Fate) {
        assert!(self.a.step(self.now, &mut self.store, fate), "A has a call");
    }

    fn resend_to_b(&mut self) {
        self.b.submit(self.now, 2, Op::Claim(self.resend.clone()));
        self.b.settle(&mut self.now, &mut self.store);
    }

    fn a_goes_on(&mut self) {
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

    /// Which of the two sendings may be dispatched.
    fn granted(&self) -> (bool, bool) {
        (Scene::is_granted(&self.a, 1), Scene::is_granted(&self.b, 2))
    }
}

macro_rules! kill_point {
    ($name:ident, |$scene:ident| $until:block, granted: $granted:expr) => {
        #[test]
        fn $name() {
            let mut $scene = Scene::new();
            $until
            $scene.resend_to_b();
            $scene.a_goes_on();
            assert_eq!($scene.granted(), $granted);
        }
    };
}

kill_point!(before_the_read, |scene| {}, granted: (false, true));

kill_point!(before_the_write, |scene| { scene.step_a(Fate::Answered); }, granted: (false, true));

kill_point!(write_applied_but_answer_lost, |scene| {
    scene.step_a(Fate::Answered);
    scene.step_a(Fate::AnswerLost);
}, granted: (true, false));

kill_point!(write_under_way_and_answer_lost, |scene| {
    scene.step_a(Fate::Answered);
    scene.step_a(Fate::Delayed);
}, granted: (false, true));

kill_point!(write_under_way_arrives_before_the_resend, |scene| {
    scene.step_a(Fate::Answered);
    scene.step_a(Fate::Delayed);
    scene.store.deliver_delayed();
}, granted: (true, false));

kill_point!(write_under_way_and_read_back_too_early, |scene| {
    scene.step_a(Fate::Answered);
    scene.step_a(Fate::Delayed);
    scene.step_a(Fate::Answered);
    scene.store.deliver_delayed();
}, granted: (true, false));

kill_point!(after_the_write_and_before_dispatch, |scene| {
    scene.step_a(Fate::Answered);
    scene.step_a(Fate::Answered);
}, granted: (true, false));

#[test]
fn read_back_fails_in_an_outage() {
    let mut scene = Scene::new();
    scene.step_a(Fate::Answered);
    scene.step_a(Fate::AnswerLost);
    scene.step_a(Fate::Refused);
    assert_eq!(scene.a.verdict(1), Some(&ClaimVerdict::Unavailable));
    scene.resend_to_b();
    assert_eq!(scene.b.verdict(2), Some(&scene.held_by_first()));
}

#[test]
fn claim_that_was_never_dispatched_is_replaced_once() {
    let mut scene = Scene::new();
    scene.a_goes_on();
    let mut others: Vec<ClaimRequest> = (0..2).map(|_| claim(&scene.first.key)).collect();
    for other in &mut others {
        other.replaces = Some(scene.first.claim);
    }
    scene.a.submit(scene.now, 3, Op::Claim(others[0].clone()));
    scene.b.submit(scene.now, 4, Op::Claim(others[1].clone()));
    // Both have read before either writes.
    scene.b.step(scene.now, &mut scene.store, Fate::Answered);
    scene.a.settle(&mut scene.now, &mut scene.store);
    scene.b.settle(&mut scene.now, &mut scene.store);
    assert!(Scene::is_granted(&scene.a, 3));
    let held = ClaimVerdict::Held {
        claim: others[0].claim,
        runner: others[0].runner.clone(),
    };
    assert_eq!(scene.b.verdict(4), Some(&held));
}

#[test]
fn release_takes_out_its_own_claim_only() {
    let mut scene = Scene::new();
    scene.a_goes_on();
    let release = |claim| {
        Op::Release(ReleaseRequest {
            key: scene.first.key.clone(),
            claim,
            wait_ms: WAIT_MS as u32,
        })
    };
    let (foreign, own) = (release(AttemptId::new()), release(scene.first.claim));
    scene.b.submit(scene.now, 3, foreign);
    scene.b.settle(&mut scene.now, &mut scene.store);
    scene
        .a
        .submit(scene.now, 4, Op::Claim(scene.resend.clone()));
    scene.a.settle(&mut scene.now, &mut scene.store);
    assert_eq!(scene.a.verdict(4), Some(&scene.held_by_first()));
    scene.b.submit(scene.now, 5, own);
    scene.b.settle(&mut scene.now, &mut scene.store);
    assert_eq!(scene.b.verdict(5), Some(&ClaimVerdict::Released));
    // A still believes in the page that it wrote; B's write has the newer version.
    let mut replacing = scene.resend.clone();
    replacing.replaces = Some(scene.first.claim);
    scene.a.submit(scene.now, 6, Op::Claim(replacing));
    scene.a.settle(&mut scene.now, &mut scene.store);
    assert!(Scene::is_granted(&scene.a, 6));
}

/// One step of a random schedule.
fn random_step(choice: u8, now: &mut TimeMs, store: &mut Store, owners: &mut [Owner; 2]) {
    let owner = &mut owners[usize::from(choice & 1)];
    match (choice >> 1) % 8 {
        0 => owner.step(*now, store, Fate::AnswerLost),
        1 => owner.step(*now, store, Fate::Delayed),
        2 => owner.step(*now, store, Fate::Refused),
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
        _ => owner.step(*now, store, Fate::Answered),
    };
}

#[test]
fn any_schedule_grants_each_key_to_one_claim() {
    fn holds(schedule: Vec<u8>) -> bool {
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
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}
