//! Tests of the retry budget that all gateways share.

use jacinthpoint_dispatch::{FleetRetryBudget, FleetRetryBudgetSettings, SlackShare};
use jacinthpoint_types::TimeMs;
use quickcheck::{Gen, QuickCheck};

const SETTINGS: FleetRetryBudgetSettings = FleetRetryBudgetSettings {
    ratio: 0.2,
    slack: 130.0,
    window_ms: 10_000,
};

/// Returns the share of a gateway that has run for longer than the window.
fn share(gateways: usize) -> SlackShare {
    SlackShare {
        gateways,
        usable_from: TimeMs::default(),
    }
}

/// Returns whether the retries of all gateways stay within the budget while a service fails all
/// requests and each gateway retries as often as its budget allows. `spread` holds the gateway that
/// gets each request, `pauses` the time in ms before it.
fn keeps_the_budget(spread: Vec<u8>, pauses: Vec<u8>) -> bool {
    const GATEWAYS: usize = 6;
    let mut budgets: Vec<FleetRetryBudget> =
        (0..GATEWAYS).map(|_| FleetRetryBudget::default()).collect();
    let mut now = TimeMs(1_000_000);
    let mut requests: Vec<TimeMs> = Vec::new();
    let mut retries: Vec<TimeMs> = Vec::new();
    let rounds = 40;
    for (index, gateway) in spread
        .iter()
        .cycle()
        .take(spread.len() * rounds)
        .enumerate()
    {
        let pause = pauses
            .get(index % pauses.len().max(1))
            .copied()
            .unwrap_or(1);
        now = now.plus_ms(u64::from(pause % 32));
        let budget = &mut budgets[usize::from(*gateway) % GATEWAYS];
        budget.on_request(&SETTINGS, now);
        requests.push(now);
        for _ in 0..3 {
            if budget.try_retry(&SETTINGS, share(GATEWAYS), now) {
                retries.push(now);
            }
        }
    }
    // The retries in each window are compared with the requests in the same or the previous window,
    // whichever are more.
    let in_window = |times: &[TimeMs], end: TimeMs| {
        let begin = end.0.saturating_sub(SETTINGS.window_ms);
        times
            .iter()
            .filter(|at| at.0 > begin && **at <= end)
            .count() as f64
    };
    retries.iter().all(|end| {
        let previous_window_end = TimeMs(end.0 - SETTINGS.window_ms);
        let counted = in_window(&requests, *end).max(in_window(&requests, previous_window_end));
        in_window(&retries, *end) <= SETTINGS.ratio * counted + SETTINGS.slack
    })
}

#[test]
fn retries_of_all_gateways_stay_within_the_budget() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 1))
        .tests(60)
        .quickcheck(keeps_the_budget as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn gateway_with_one_request_gets_a_retry_from_the_slack() {
    let mut budget = FleetRetryBudget::default();
    budget.on_request(&SETTINGS, TimeMs(1_000_000));
    assert!(budget.try_retry(&SETTINGS, share(6), TimeMs(1_000_000)));
}

#[test]
fn restarted_gateway_has_no_slack_before_the_window_has_passed() {
    let mut budget = FleetRetryBudget::default();
    let started_at = TimeMs(1_000_000);
    let slack = SlackShare {
        gateways: 6,
        usable_from: started_at.plus_ms(SETTINGS.window_ms),
    };
    budget.on_request(&SETTINGS, started_at);
    assert!(!budget.try_retry(&SETTINGS, slack, started_at));
    assert!(budget.try_retry(&SETTINGS, slack, slack.usable_from));
}

#[test]
fn restarted_gateway_retries_as_its_own_requests_allow() {
    let mut budget = FleetRetryBudget::default();
    let now = TimeMs(1_000_000);
    let slack = SlackShare {
        gateways: 6,
        usable_from: now.plus_ms(SETTINGS.window_ms),
    };
    (0..100).for_each(|_| budget.on_request(&SETTINGS, now));
    let retries = (0..100).filter(|_| budget.try_retry(&SETTINGS, slack, now));
    assert!((10..=20).contains(&retries.count()));
}
