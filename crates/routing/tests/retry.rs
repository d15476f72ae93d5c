//! Tests of retry budgets and of the pause before a retry.

use jacinthpoint_routing::{Failure, RetryBudgets, backoff_ms};
use quickcheck::quickcheck;
use rand::{SeedableRng, rngs::SmallRng};

/// Returns the number of retries that the budget allows if each of `requests` requests fails.
fn retries(requests: u32, failure: Failure) -> u32 {
    let mut budgets = RetryBudgets::default();
    let mut retries = 0;
    for _ in 0..requests {
        budgets.on_request(&"target");
        if budgets.can_withdraw(&"target", failure) {
            budgets.withdraw(&"target", failure);
            retries += 1;
        }
    }
    retries
}

#[test]
fn retries_after_refusals_stay_at_a_tenth_of_the_requests_plus_the_initial_tokens() {
    let sent = retries(10_000, Failure::Refused);
    assert!((1_000..=1_020).contains(&sent), "{sent}");
}

#[test]
fn each_lost_request_is_retried_once() {
    assert_eq!(retries(10_000, Failure::Lost), 10_000);
}

#[test]
fn empty_budget_of_one_target_does_not_affect_another() {
    let mut budgets = RetryBudgets::default();
    while budgets.can_withdraw(&"first", Failure::Refused) {
        budgets.withdraw(&"first", Failure::Refused);
    }
    assert!(budgets.can_withdraw(&"second", Failure::Refused));
}

quickcheck! {
    fn backoff_is_bounded_and_the_same_for_the_same_seed(failures: u32, seed: u64) -> bool {
        let backoff = |seed| backoff_ms(failures, &mut SmallRng::seed_from_u64(seed));
        backoff(seed) <= 500 && backoff(seed) == backoff(seed)
    }
}
