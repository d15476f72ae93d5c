//! Keys, batches, outages and bounds.

use jacinthpoint_ledger::{
    Action, BUCKET_MS, KeyError, MAX_AHEAD_MS, MAX_NODE_SKEW_MS, Op, PAGES_PER_SLOT, Page,
    RunTable, WINDOW_MS, check_key,
};
use jacinthpoint_types::{AttemptId, IdempotencyKey, Outcome, TimeMs};
use jacinthpoint_wire::{ClaimVerdict, KeptAnswer, RequestDigest, RunState};
use uuid::Uuid;

use crate::support::{BATCH_MS, Fate, Owner, Store, WAIT_MS, claim, key};

const NOW_UNIX_MS: u64 = 1_700_000_000_000;

macro_rules! key_case {
    ($name:ident, issued: $issued:expr, error: $error:expr, outcome: $outcome:expr) => {
        #[test]
        fn $name() {
            let refused = check_key(key($issued, 1).key, NOW_UNIX_MS).expect_err("refused");
            assert_eq!((refused, refused.outcome()), ($error, $outcome));
        }
    };
}

key_case!(old_key_is_refused, issued: NOW_UNIX_MS - WINDOW_MS - 1,
    error: KeyError::TooOld, outcome: Outcome::Unknown);
key_case!(key_ahead_within_the_nodes_skew_is_not_told_as_not_run,
    issued: NOW_UNIX_MS + MAX_AHEAD_MS + 1,
    error: KeyError::TooFarAhead { ahead_ms: MAX_AHEAD_MS + 1 }, outcome: Outcome::Unknown);
key_case!(key_far_ahead_is_refused, issued: NOW_UNIX_MS + MAX_AHEAD_MS + MAX_NODE_SKEW_MS + 1,
    error: KeyError::TooFarAhead { ahead_ms: MAX_AHEAD_MS + MAX_NODE_SKEW_MS + 1 },
    outcome: Outcome::NotRun);

#[test]
fn only_uuid_v7_is_a_key() {
    let v4 = IdempotencyKey(Uuid::from_u128(0x2b6f_1c3e_9a4d_4f10_8e11_77aa_54c0_1234));
    assert_eq!(check_key(v4, NOW_UNIX_MS), Err(KeyError::NotV7));
    assert!(check_key(key(NOW_UNIX_MS, 1).key, NOW_UNIX_MS).is_ok());
}

#[test]
fn page_is_used_again_only_after_its_keys_are_refused_everywhere() {
    // The fastest node writes the next round while the slowest still accepts the last.
    let span_ms = WINDOW_MS + MAX_AHEAD_MS + MAX_NODE_SKEW_MS;
    assert!((PAGES_PER_SLOT - 1) * BUCKET_MS >= span_ms);
}

struct One {
    now: TimeMs,
    store: Store,
    owner: Owner,
}

impl One {
    fn new() -> One {
        One {
            now: TimeMs(1_000),
            store: Store::default(),
            owner: Owner::new(),
        }
    }

    fn settle(&mut self) {
        self.owner.settle(&mut self.now, &mut self.store);
    }

    fn verdict_of(&mut self, ticket: u64, op: Op) -> Option<ClaimVerdict> {
        self.owner.submit(self.now, ticket, op);
        self.settle();
        self.owner.verdict(ticket).cloned()
    }
}

#[test]
fn other_request_under_a_used_key_is_refused() {
    let mut one = One::new();
    let first = claim(&key(NOW_UNIX_MS, 1));
    let mut other = claim(&first.key);
    other.digest = RequestDigest(8);
    assert_eq!(
        one.verdict_of(1, Op::Claim(first)),
        Some(ClaimVerdict::Granted)
    );
    assert_eq!(
        one.verdict_of(2, Op::Claim(other)),
        Some(ClaimVerdict::KeyReused)
    );
}

#[test]
fn equal_keys_of_two_organisations_are_two_keys() {
    let mut one = One::new();
    let first = claim(&key(NOW_UNIX_MS, 1));
    let mut other = claim(&first.key);
    other.key.organisation = "tongyeong".parse().expect("a valid name");
    assert_eq!(
        one.verdict_of(1, Op::Claim(first)),
        Some(ClaimVerdict::Granted)
    );
    assert_eq!(
        one.verdict_of(2, Op::Claim(other)),
        Some(ClaimVerdict::Granted)
    );
}

#[test]
fn overwritten_record_makes_its_key_expire() {
    let mut one = One::new();
    let old = claim(&key(NOW_UNIX_MS, 1));
    let new = claim(&key(NOW_UNIX_MS + PAGES_PER_SLOT * BUCKET_MS, 2));
    let resend = claim(&old.key);
    assert_eq!(
        one.verdict_of(1, Op::Claim(old)),
        Some(ClaimVerdict::Granted)
    );
    assert_eq!(
        one.verdict_of(2, Op::Claim(new)),
        Some(ClaimVerdict::Granted)
    );
    assert_eq!(
        one.verdict_of(3, Op::Claim(resend)),
        Some(ClaimVerdict::Expired)
    );
}

#[test]
fn claims_within_a_batch_period_share_one_write() {
    const CLAIMS: u64 = 50;
    let mut one = One::new();
    one.verdict_of(0, Op::Claim(claim(&key(NOW_UNIX_MS, 0))));
    let first = claim(&key(NOW_UNIX_MS, 1));
    one.owner.submit(one.now, 1, Op::Claim(first));
    assert_eq!(one.owner.calls.len(), 1, "the first is written at once");
    for ticket in 2..=CLAIMS {
        let request = claim(&key(NOW_UNIX_MS, ticket as u16));
        one.owner.submit(one.now, ticket, Op::Claim(request));
    }
    let mut writes = 0;
    for _ in 0..10 {
        writes += one
            .owner
            .calls
            .iter()
            .filter(|call| matches!(call, Action::Write { .. }))
            .count();
        one.owner.step(one.now, &mut one.store, Fate::Answered);
        one.now = one.now.plus_ms(BATCH_MS);
        one.owner.tick(one.now);
    }
    assert_eq!(writes, 2);
    let granted = (1..=CLAIMS).all(|t| one.owner.verdict(t) == Some(&ClaimVerdict::Granted));
    assert!(granted);
}

#[test]
fn outage_refuses_at_once_and_ends() {
    let mut one = One::new();
    one.owner
        .submit(one.now, 1, Op::Claim(claim(&key(NOW_UNIX_MS, 1))));
    one.owner.step(one.now, &mut one.store, Fate::Refused);
    one.owner
        .submit(one.now, 2, Op::Claim(claim(&key(NOW_UNIX_MS, 2))));
    for ticket in [1, 2] {
        assert_eq!(one.owner.verdict(ticket), Some(&ClaimVerdict::Unavailable));
    }
    assert!(one.owner.calls.is_empty());
    one.now = one.now.plus_ms(1_000);
    let verdict = one.verdict_of(3, Op::Claim(claim(&key(NOW_UNIX_MS, 3))));
    assert_eq!(verdict, Some(ClaimVerdict::Granted));
}

#[test]
fn resend_of_a_known_record_is_answered_in_an_outage() {
    let mut one = One::new();
    let first = claim(&key(NOW_UNIX_MS, 1));
    one.verdict_of(1, Op::Claim(first.clone()));
    one.owner
        .submit(one.now, 2, Op::Claim(claim(&key(NOW_UNIX_MS, 2))));
    one.owner.step(one.now, &mut one.store, Fate::Refused);
    one.owner.submit(one.now, 3, Op::Claim(claim(&first.key)));
    let held = ClaimVerdict::Held {
        claim: first.claim,
        runner: first.runner,
    };
    assert_eq!(one.owner.verdict(3), Some(&held));
}

#[test]
fn claim_is_refused_at_its_deadline() {
    let mut one = One::new();
    one.owner
        .submit(one.now, 1, Op::Claim(claim(&key(NOW_UNIX_MS, 1))));
    let late = one.now.plus_ms(WAIT_MS);
    assert_eq!(one.owner.ledger.next_tick(), Some(late));
    one.owner.tick(late);
    assert_eq!(one.owner.verdict(1), Some(&ClaimVerdict::Unavailable));
}

#[test]
fn page_stays_below_a_megabyte() {
    let mut one = One::new();
    for ticket in 0..5_000 {
        let request = claim(&key(NOW_UNIX_MS, ticket as u16));
        one.owner.submit(one.now, ticket, Op::Claim(request));
    }
    one.settle();
    let name = check_key(key(NOW_UNIX_MS, 0).key, NOW_UNIX_MS)
        .expect("accepted")
        .page(0);
    let (_, page): (_, Page) = one.store.read(name);
    let bytes = serde_json::to_vec(&page).expect("a page is JSON").len();
    assert!(bytes < 1_000_000, "{bytes}");
    assert_eq!(one.owner.verdict(4_999), Some(&ClaimVerdict::Unavailable));
    assert_eq!(one.owner.verdict(0), Some(&ClaimVerdict::Granted));
}

#[test]
fn runs_keep_answers_within_their_bytes() {
    let answer = |bytes| {
        RunState::Answered(KeptAnswer {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: vec![b'x'; bytes],
        })
    };
    let mut runs = RunTable::new(1_000);
    let claims: Vec<AttemptId> = (0..5).map(|_| AttemptId::new()).collect();
    for claim in &claims {
        runs.begin(*claim, TimeMs(1_000));
        runs.end(*claim, answer(300), TimeMs(2_000));
    }
    assert!(runs.kept_bytes() <= 1_000);
    assert_eq!(runs.state(claims[0]), RunState::NotKept);
    assert_eq!(runs.state(claims[4]), answer(300));
    runs.end(claims[4], RunState::Unstarted, TimeMs(3_000));
    assert_eq!(runs.state(claims[4]), answer(300), "an end is final");
}
