//! Retry budgets and pauses.

use jacinthpoint_routing::{Failure, RetryBudgets, backoff_ms};
use quickcheck::quickcheck;
use rand::{SeedableRng, rngs::SmallRng};

/// Retries sent when every one of `requests` fails.
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
fn refusals_are_retried_for_a_tenth_of_the_requests() {
    let sent = retries(10_000, Failure::Refused);
    assert!((1_000..=1_020).contains(&sent), "{sent}");
}

#[test]
fn losses_are_retried_once_each() {
    assert_eq!(retries(10_000, Failure::Lost), 10_000);
}

#[test]
fn one_target_does_not_use_up_anothers_budget() {
    let mut budgets = RetryBudgets::default();
    while budgets.can_withdraw(&"first", Failure::Refused) {
        budgets.withdraw(&"first", Failure::Refused);
    }
    assert!(budgets.can_withdraw(&"second", Failure::Refused));
}

quickcheck! {
    fn pause_is_bounded_and_repeatable(failures: u32, seed: u64) -> bool {
        let pause = |seed| backoff_ms(failures, &mut SmallRng::seed_from_u64(seed));
        pause(seed) <= 500 && pause(seed) == pause(seed)
    }
}
