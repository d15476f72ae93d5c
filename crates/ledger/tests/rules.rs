//! Acceptance of keys, batching of writes, behaviour in outages of the store, and size limits.

use jacinthpoint_ledger::{
    Action, BUCKET_MS, KeyError, MAX_AHEAD_MS, MAX_NODE_SKEW_MS, Op, PAGES_PER_SLOT, Page,
    RunTable, WINDOW_MS, check_key,
};
use jacinthpoint_types::{AttemptId, IdempotencyKey, Outcome, TimeMs};
use jacinthpoint_wire::{ClaimVerdict, KeptAnswer, RequestDigest, RunState};
use uuid::Uuid;

use crate::support::{BATCH_MS, CallResult, Owner, Store, WAIT_MS, claim, key};

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

key_case!(old_key_is_refused_with_unknown_outcome, issued: NOW_UNIX_MS - WINDOW_MS - 1,
    error: KeyError::TooOld, outcome: Outcome::Unknown);
key_case!(key_ahead_within_the_node_skew_is_refused_with_unknown_outcome,
    issued: NOW_UNIX_MS + MAX_AHEAD_MS + 1,
    error: KeyError::TooFarAhead { ahead_ms: MAX_AHEAD_MS + 1 }, outcome: Outcome::Unknown);
key_case!(key_far_ahead_is_refused_as_not_run,
    issued: NOW_UNIX_MS + MAX_AHEAD_MS + MAX_NODE_SKEW_MS + 1,
    error: KeyError::TooFarAhead { ahead_ms: MAX_AHEAD_MS + MAX_NODE_SKEW_MS + 1 },
    outcome: Outcome::NotRun);

#[test]
fn key_is_accepted_only_if_it_is_a_uuid_v7() {
    let v4 = IdempotencyKey(Uuid::from_u128(0x2b6f_1c3e_9a4d_4f10_8e11_77aa_54c0_1234));
    assert_eq!(check_key(v4, NOW_UNIX_MS), Err(KeyError::NotV7));
    assert!(check_key(key(NOW_UNIX_MS, 1).key, NOW_UNIX_MS).is_ok());
}

#[test]
fn page_is_reused_only_after_every_node_refuses_its_keys() {
    // In the worst case, the node with the fastest clock reuses the page, and the node with the
    // slowest clock accepts the page's old keys for the longest time. The two clocks differ by at
    // most MAX_NODE_SKEW_MS; PAGES_PER_SLOT has room for twice that.
    let span_ms = WINDOW_MS + MAX_AHEAD_MS + MAX_NODE_SKEW_MS;
    assert!((PAGES_PER_SLOT - 1) * BUCKET_MS >= span_ms);
}

/// Holds one owner of a slot and its store.
struct OneOwner {
    now: TimeMs,
    store: Store,
    owner: Owner,
}

impl OneOwner {
    fn new() -> OneOwner {
        OneOwner {
            now: TimeMs(1_000),
            store: Store::default(),
            owner: Owner::new(),
        }
    }

    /// Runs the owner until no call is left.
    fn settle(&mut self) {
        self.owner.settle(&mut self.now, &mut self.store);
    }

    /// Submits an operation and returns its verdict.
    fn verdict_of(&mut self, ticket: u64, op: Op) -> Option<ClaimVerdict> {
        self.owner.submit(self.now, ticket, op);
        self.settle();
        self.owner.verdict(ticket).cloned()
    }
}

#[test]
fn different_request_with_a_used_key_is_refused() {
    let mut setup = OneOwner::new();
    let first = claim(&key(NOW_UNIX_MS, 1));
    let mut other = claim(&first.key);
    other.digest = RequestDigest(8);
    assert_eq!(
        setup.verdict_of(1, Op::Claim(first)),
        Some(ClaimVerdict::Granted)
    );
    assert_eq!(
        setup.verdict_of(2, Op::Claim(other)),
        Some(ClaimVerdict::KeyReused)
    );
}

#[test]
fn equal_keys_of_two_organisations_are_both_granted() {
    let mut setup = OneOwner::new();
    let first = claim(&key(NOW_UNIX_MS, 1));
    let mut other = claim(&first.key);
    other.key.organisation = "tongyeong".parse().expect("a valid name");
    assert_eq!(
        setup.verdict_of(1, Op::Claim(first)),
        Some(ClaimVerdict::Granted)
    );
    assert_eq!(
        setup.verdict_of(2, Op::Claim(other)),
        Some(ClaimVerdict::Granted)
    );
}

#[test]
fn key_expires_when_its_page_is_reused() {
    let mut setup = OneOwner::new();
    let old = claim(&key(NOW_UNIX_MS, 1));
    let new = claim(&key(NOW_UNIX_MS + PAGES_PER_SLOT * BUCKET_MS, 2));
    let retry = claim(&old.key);
    assert_eq!(
        setup.verdict_of(1, Op::Claim(old)),
        Some(ClaimVerdict::Granted)
    );
    assert_eq!(
        setup.verdict_of(2, Op::Claim(new)),
        Some(ClaimVerdict::Granted)
    );
    assert_eq!(
        setup.verdict_of(3, Op::Claim(retry)),
        Some(ClaimVerdict::Expired)
    );
}

#[test]
fn claims_within_a_batch_period_after_a_write_share_the_next_write() {
    const CLAIMS: u64 = 50;
    let mut setup = OneOwner::new();
    // The owner reads the page and a batch period passes, so that the next claim is written at
    // once.
    setup.verdict_of(0, Op::Claim(claim(&key(NOW_UNIX_MS, 0))));
    let first = claim(&key(NOW_UNIX_MS, 1));
    setup.owner.submit(setup.now, 1, Op::Claim(first));
    assert_eq!(
        setup.owner.calls.len(),
        1,
        "the first claim is written at once"
    );
    for ticket in 2..=CLAIMS {
        let request = claim(&key(NOW_UNIX_MS, ticket as u16));
        setup.owner.submit(setup.now, ticket, Op::Claim(request));
    }
    let mut writes = 0;
    for _ in 0..10 {
        writes += setup
            .owner
            .calls
            .iter()
            .filter(|call| matches!(call, Action::Write { .. }))
            .count();
        setup
            .owner
            .step(setup.now, &mut setup.store, CallResult::Answered);
        setup.now = setup.now.plus_ms(BATCH_MS);
        setup.owner.tick(setup.now);
    }
    // One write of the first claim and one of all others.
    assert_eq!(writes, 2);
    let granted = (1..=CLAIMS).all(|t| setup.owner.verdict(t) == Some(&ClaimVerdict::Granted));
    assert!(granted);
}

#[test]
fn claims_are_refused_at_once_in_an_outage_and_granted_after_it() {
    let mut setup = OneOwner::new();
    setup
        .owner
        .submit(setup.now, 1, Op::Claim(claim(&key(NOW_UNIX_MS, 1))));
    setup
        .owner
        .step(setup.now, &mut setup.store, CallResult::Refused);
    setup
        .owner
        .submit(setup.now, 2, Op::Claim(claim(&key(NOW_UNIX_MS, 2))));
    for ticket in [1, 2] {
        assert_eq!(
            setup.owner.verdict(ticket),
            Some(&ClaimVerdict::Unavailable)
        );
    }
    assert!(setup.owner.calls.is_empty());
    setup.now = setup.now.plus_ms(1_000);
    let verdict = setup.verdict_of(3, Op::Claim(claim(&key(NOW_UNIX_MS, 3))));
    assert_eq!(verdict, Some(ClaimVerdict::Granted));
}

#[test]
fn retry_of_a_committed_claim_is_answered_in_an_outage() {
    let mut setup = OneOwner::new();
    let first = claim(&key(NOW_UNIX_MS, 1));
    setup.verdict_of(1, Op::Claim(first.clone()));
    setup
        .owner
        .submit(setup.now, 2, Op::Claim(claim(&key(NOW_UNIX_MS, 2))));
    setup
        .owner
        .step(setup.now, &mut setup.store, CallResult::Refused);
    setup
        .owner
        .submit(setup.now, 3, Op::Claim(claim(&first.key)));
    let held = ClaimVerdict::Held {
        claim: first.claim,
        runner: first.runner,
    };
    assert_eq!(setup.owner.verdict(3), Some(&held));
}

#[test]
fn unanswered_claim_is_refused_at_its_deadline() {
    let mut setup = OneOwner::new();
    setup
        .owner
        .submit(setup.now, 1, Op::Claim(claim(&key(NOW_UNIX_MS, 1))));
    let late = setup.now.plus_ms(WAIT_MS);
    assert_eq!(setup.owner.ledger.next_tick(), Some(late));
    setup.owner.tick(late);
    assert_eq!(setup.owner.verdict(1), Some(&ClaimVerdict::Unavailable));
}

#[test]
fn full_page_stays_below_a_megabyte_and_refuses_claims() {
    let mut setup = OneOwner::new();
    for ticket in 0..5_000 {
        let request = claim(&key(NOW_UNIX_MS, ticket as u16));
        setup.owner.submit(setup.now, ticket, Op::Claim(request));
    }
    setup.settle();
    let name = check_key(key(NOW_UNIX_MS, 0).key, NOW_UNIX_MS)
        .expect("accepted")
        .page(0);
    let (_, page): (_, Page) = setup.store.read(name);
    let bytes = serde_json::to_vec(&page).expect("a page is JSON").len();
    assert!(bytes < 1_000_000, "{bytes}");
    assert_eq!(setup.owner.verdict(4_999), Some(&ClaimVerdict::Unavailable));
    assert_eq!(setup.owner.verdict(0), Some(&ClaimVerdict::Granted));
}

#[test]
fn run_table_keeps_newest_answers_within_its_byte_limit() {
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
    assert_eq!(
        runs.state(claims[4]),
        answer(300),
        "the first final state stays"
    );
}
