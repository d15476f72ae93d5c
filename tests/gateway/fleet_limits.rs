//! Limits that hold over all gateways together, measured at the upstreams.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use crate::gateway::{caller::Request, site::Site};

/// Retry budget in the settings of the gateways of a [`Site`].
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 130.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Requests that each gateway gets between two restarts; more than its share of the budget covers.
const REQUESTS_PER_LIFE: usize = 60;

/// Returns the number of `times` in the window that begins at `begin`.
fn count_in_window(times: &[Instant], begin: Instant) -> f64 {
    let is_inside = |at: &&Instant| **at >= begin && **at < begin + RETRY_WINDOW;
    times.iter().filter(is_inside).count() as f64
}

/// Regression test for rule BUDGET: restarted gateways forgot the retries that they had sent, so
/// that each life used a whole share of the budget.
#[test]
fn retries_stay_within_the_budget_while_gateways_restart() {
    let gateways = 3;
    let mut site = Site::start(gateways);
    site.platform.engines.set_failing(true);
    let mut requests = Vec::new();
    for life in 0..3 {
        for gateway in 0..gateways {
            for index in 0..REQUESTS_PER_LIFE {
                requests.push(Instant::now());
                Request::stream(&format!("{life}-{gateway}-{index}")).send(site.gateway(gateway));
            }
        }
        (0..gateways).for_each(|gateway| site.restart(gateway));
        for gateway in 0..gateways {
            site.wait_until("the gateway is ready again", 10_000, |site| {
                site.is_ready(gateway)
            });
        }
    }
    let mut seen = BTreeSet::new();
    let runs = site.platform.runs.all();
    let repeats = runs.iter().filter(|run| !seen.insert(&run.attempt_id));
    let repeats: Vec<Instant> = repeats.map(|run| run.at).collect();
    assert!(!repeats.is_empty(), "no request was retried");
    for begin in &repeats {
        let counted = [
            count_in_window(&requests, *begin),
            count_in_window(&requests, *begin - RETRY_WINDOW),
            count_in_window(&requests, *begin - RETRY_WINDOW / 2),
        ];
        let counted = counted.into_iter().fold(0.0, f64::max);
        let sent = count_in_window(&repeats, *begin);
        assert!(
            sent <= RETRY_RATIO * counted + RETRY_SLACK,
            "{sent} retries for {counted} requests in {RETRY_WINDOW:?}"
        );
    }
}
