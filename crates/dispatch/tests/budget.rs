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
        gateways: Some(gateways),
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
    is_within_budget(&requests, &retries)
}

/// Returns whether the retries in each window are within the budget for the requests in the same
/// or the previous window, whichever are more.
fn is_within_budget(requests: &[TimeMs], retries: &[TimeMs]) -> bool {
    assert!(requests.is_sorted() && retries.is_sorted());
    let in_window = |times: &[TimeMs], end: TimeMs| {
        let begin = TimeMs(end.0.saturating_sub(SETTINGS.window_ms));
        let count_until = |last: TimeMs| times.partition_point(|at| *at <= last);
        (count_until(end) - count_until(begin)) as f64
    };
    retries.iter().all(|end| {
        let previous_window_end = TimeMs(end.0 - SETTINGS.window_ms);
        let counted = in_window(requests, *end).max(in_window(requests, previous_window_end));
        in_window(retries, *end) <= SETTINGS.ratio * counted + SETTINGS.slack
    })
}

/// Time after the start of a new gateway at which the others count it.
const COUNTED_AFTER_MS: u64 = 9_000;
/// Time between two requests; so few that most of the budget is slack.
const REQUEST_INTERVAL_MS: u64 = 40;

/// Returns whether the retries of all gateways stay within the budget while gateways restart and as
/// many gateways are added as there are. `restarts` holds the gateway that restarts at each second,
/// or none.
fn keeps_the_budget_while_gateways_start(restarts: Vec<Option<u8>>) -> bool {
    const GATEWAYS: usize = 6;
    let begin = TimeMs(1_000_000);
    let added_at = begin.plus_ms(12_000);
    let counted_by = added_at.plus_ms(COUNTED_AFTER_MS);
    let mut started_at = vec![begin; GATEWAYS];
    let mut budgets: Vec<FleetRetryBudget> = Vec::new();
    budgets.resize_with(GATEWAYS, FleetRetryBudget::default);
    let mut requests: Vec<TimeMs> = Vec::new();
    let mut retries: Vec<TimeMs> = Vec::new();
    for index in 0..1_000 {
        let now = begin.plus_ms(index * REQUEST_INTERVAL_MS);
        if now >= added_at && budgets.len() == GATEWAYS {
            started_at.resize(2 * GATEWAYS, now);
            budgets.resize_with(2 * GATEWAYS, FleetRetryBudget::default);
        }
        let second = (now.since_ms(begin) / 1_000) as usize;
        if now.since_ms(begin).is_multiple_of(1_000)
            && let Some(Some(gateway)) = restarts.get(second)
        {
            let gateway = usize::from(*gateway) % budgets.len();
            started_at[gateway] = now;
            budgets[gateway] = FleetRetryBudget::default();
        }
        requests.push(now);
        for (gateway, budget) in budgets.iter_mut().enumerate() {
            if index as usize % started_at.len() == gateway {
                budget.on_request(&SETTINGS, now);
            }
            let is_new = gateway >= GATEWAYS;
            let known_by = if is_new { counted_by } else { begin };
            let slack = SlackShare {
                gateways: Some(match is_new || now >= counted_by {
                    true => 2 * GATEWAYS,
                    false => GATEWAYS,
                }),
                usable_from: SlackShare::usable_from(started_at[gateway], known_by, &SETTINGS),
            };
            while budget.try_retry(&SETTINGS, slack, now) {
                retries.push(now);
            }
        }
    }
    is_within_budget(&requests, &retries)
}

/// Time between two requests of [`keeps_the_budget_while_requests_move`]; so many that most of the
/// budget follows from the ratio.
const BUSY_REQUEST_INTERVAL_MS: u64 = 4;

/// Returns whether the retries of all gateways stay within the budget while requests move between
/// gateways, gateways restart, and all upstreams fail at times. Each gateway then retries as often as
/// its budget allows. Each phase holds its length in units of 100 ms, the gateways that get requests as
/// a bit mask, those that restart at its begin, and whether upstreams fail.
fn keeps_the_budget_while_requests_move(phases: Vec<(u8, u8, u8, bool)>) -> bool {
    const GATEWAYS: usize = 6;
    let begin = TimeMs(1_000_000);
    let mut budgets: Vec<FleetRetryBudget> = Vec::new();
    budgets.resize_with(GATEWAYS, FleetRetryBudget::default);
    let mut slacks = [share(GATEWAYS); GATEWAYS];
    let mut requests: Vec<TimeMs> = Vec::new();
    let mut retries: Vec<TimeMs> = Vec::new();
    let mut now = begin;
    for (length, serving, restarted, is_failing) in phases {
        let has_bit = |mask: u8, gateway: usize| mask >> gateway & 1 == 1;
        let mut serving: Vec<usize> = (0..GATEWAYS)
            .filter(|gateway| has_bit(serving, *gateway))
            .collect();
        if serving.is_empty() {
            serving = (0..GATEWAYS).collect();
        }
        for gateway in (0..GATEWAYS).filter(|gateway| has_bit(restarted, *gateway)) {
            budgets[gateway] = FleetRetryBudget::default();
            slacks[gateway].usable_from = SlackShare::usable_from(now, begin, &SETTINGS);
        }
        let end = now.plus_ms(u64::from(length % 80) * 100);
        while now < end {
            now = now.plus_ms(BUSY_REQUEST_INTERVAL_MS);
            let gateway = serving[requests.len() % serving.len()];
            budgets[gateway].on_request(&SETTINGS, now);
            requests.push(now);
            for (budget, slack) in budgets.iter_mut().zip(slacks).filter(|_| is_failing) {
                while budget.try_retry(&SETTINGS, slack, now) {
                    retries.push(now);
                }
            }
        }
    }
    is_within_budget(&requests, &retries)
}

/// Returns phases of [`keeps_the_budget_while_requests_move`] with calm before all upstreams fail, then
/// one change and more failures.
fn failures_around(serving: [u8; 2], restarted: u8) -> Vec<(u8, u8, u8, bool)> {
    vec![
        (79, serving[0], 0, false),
        (40, serving[0], 0, false),
        (20, serving[0], 0, true),
        (78, serving[1], restarted, true),
    ]
}

/// Regression test for rule BUDGET: retries for requests that moved to another gateway, or to the next
/// life of the same one, came on top of those that the former one had sent in the window.
#[test]
fn retries_stay_within_the_budget_while_requests_move() {
    // All gateways restart; four of six are lost; all callers move to other gateways.
    for phases in [
        failures_around([0b11_1111, 0b11_1111], 0b11_1111),
        failures_around([0b11_1111, 0b11_0000], 0),
        failures_around([0b00_1111, 0b11_0000], 0),
    ] {
        let description = format!("{phases:?}");
        assert!(
            keeps_the_budget_while_requests_move(phases),
            "{description}"
        );
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(24, 3))
        .tests(60)
        .quickcheck(keeps_the_budget_while_requests_move as fn(Vec<(u8, u8, u8, bool)>) -> bool);
}

/// Regression test for rule BUDGET: restarted gateways used their share of the slack again, and
/// added gateways used theirs before the others counted them.
#[test]
fn retries_stay_within_the_budget_while_gateways_start() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 2))
        .tests(60)
        .quickcheck(keeps_the_budget_while_gateways_start as fn(Vec<Option<u8>>) -> bool);
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

/// Guards against rule BUDGET in a large fleet that starts for the first time while its gateways cannot read how
/// many they are: each one assumed 64.
#[test]
fn large_fleet_of_unknown_size_stays_within_the_budget() {
    const GATEWAYS: usize = 300;
    let now = TimeMs(1_000_000);
    let slack = SlackShare {
        gateways: None,
        usable_from: TimeMs::default(),
    };
    let retries: usize = (0..GATEWAYS)
        .map(|_| {
            let mut budget = FleetRetryBudget::default();
            budget.on_request(&SETTINGS, now);
            (0..100)
                .filter(|_| budget.try_retry(&SETTINGS, slack, now))
                .count()
        })
        .sum();
    assert!(retries as f64 <= SETTINGS.ratio * GATEWAYS as f64 + SETTINGS.slack);
}

#[test]
fn restarted_gateway_has_one_retry_of_slack_before_the_window_has_passed() {
    let mut budget = FleetRetryBudget::default();
    let started_at = TimeMs(1_000_000);
    let slack = SlackShare {
        gateways: Some(6),
        usable_from: started_at.plus_ms(SETTINGS.window_ms),
    };
    budget.on_request(&SETTINGS, started_at);
    assert!(budget.try_retry(&SETTINGS, slack, started_at));
    assert!(!budget.try_retry(&SETTINGS, slack, started_at));
    assert!(budget.try_retry(&SETTINGS, slack, slack.usable_from));
}

#[test]
fn restarted_gateway_retries_as_its_own_requests_allow() {
    let mut budget = FleetRetryBudget::default();
    let now = TimeMs(1_000_000);
    let slack = SlackShare {
        gateways: Some(6),
        usable_from: now.plus_ms(SETTINGS.window_ms),
    };
    (0..100).for_each(|_| budget.on_request(&SETTINGS, now));
    let retries = (0..100).filter(|_| budget.try_retry(&SETTINGS, slack, now));
    assert!((10..=20).contains(&retries.count()));
}
