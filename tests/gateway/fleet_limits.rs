//! Limits that hold over all gateways together, measured at the upstreams.

use std::{
    collections::BTreeSet,
    thread,
    time::{Duration, Instant},
};

use crate::gateway::{caller::Request, site::Site};

/// Retry budget in the settings of the gateways of a [`Site`].
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 130.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Requests that each gateway gets between two restarts; more than its share of the budget covers.
const REQUESTS_PER_LIFE: usize = 60;

/// Time from the first naming of a limit until it must hold.
const LIMIT_STABLE: Duration = Duration::from_secs(3);
/// Window in which the requests of a limited upstream are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests in the window that are allowed beyond one and a half times the limit.
const LIMIT_SLACK: f64 = 5.0;

/// Returns the number of `times` in the window that begins at `begin`.
fn count_in_window(times: &[Instant], begin: Instant, window: Duration) -> f64 {
    let is_inside = |at: &&Instant| **at >= begin && **at < begin + window;
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
            count_in_window(&requests, *begin, RETRY_WINDOW),
            count_in_window(&requests, *begin - RETRY_WINDOW, RETRY_WINDOW),
            count_in_window(&requests, *begin - RETRY_WINDOW / 2, RETRY_WINDOW),
        ];
        let counted = counted.into_iter().fold(0.0, f64::max);
        let sent = count_in_window(&repeats, *begin, RETRY_WINDOW);
        assert!(
            sent <= RETRY_RATIO * counted + RETRY_SLACK,
            "{sent} retries for {counted} requests in {RETRY_WINDOW:?}"
        );
    }
}

/// Sends streams to each of `gateways` gateways for `time`, one every `pause`, and returns the
/// statuses of the answers.
fn send_steadily(site: &Site, gateways: usize, time: Duration, pause: Duration) -> Vec<u16> {
    let end = Instant::now() + time;
    let senders: Vec<_> = (0..gateways)
        .map(|gateway| {
            let address = site.gateway(gateway);
            thread::spawn(move || {
                let mut callers = Vec::new();
                while Instant::now() < end {
                    let id = format!("{gateway}-{}", callers.len());
                    callers.push(thread::spawn(move || {
                        Request::stream(&id).send(address).status
                    }));
                    thread::sleep(pause);
                }
                let answers = callers.into_iter();
                let statuses = answers.map(|caller| caller.join().expect("it does not panic"));
                statuses.collect::<Vec<u16>>()
            })
        })
        .collect();
    let statuses = senders.into_iter();
    statuses
        .flat_map(|sender| sender.join().expect("it does not panic"))
        .collect()
}

/// Checks that from [`LIMIT_STABLE`] after `named_at` an upstream got no more requests than the
/// limit allows, and returns the times of all its requests.
fn check_limit(site: &Site, upstream: &str, limit: f64, named_at: Instant) -> Vec<Instant> {
    let runs = site.platform.runs.all();
    let runs = runs.iter().filter(|run| run.upstream == upstream);
    let arrivals: Vec<Instant> = runs.map(|run| run.at).collect();
    let max = 1.5 * limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
    for begin in arrivals.iter().filter(|at| **at >= named_at + LIMIT_STABLE) {
        let count = count_in_window(&arrivals, *begin, LIMIT_WINDOW);
        assert!(
            count <= max,
            "{count} requests in {LIMIT_WINDOW:?}, {max} allowed"
        );
    }
    arrivals
}

/// Regression test for rule LIMIT: no gateway read the limit that an upstream names.
#[test]
fn upstream_gets_no_more_than_the_limit_it_names() {
    let gateways = 3;
    let limit = 2.0;
    let site = Site::start(gateways);
    let leader = site.platform.engines.open_groups()[0][0].clone();
    site.platform.engines.set_limit(&leader, Some(limit));
    let named_at = Instant::now();
    let time = LIMIT_STABLE + LIMIT_WINDOW + Duration::from_secs(1);
    let statuses = send_steadily(&site, gateways, time, Duration::from_millis(60));
    check_limit(&site, &leader, limit, named_at);
    // The other groups have room for what the limited one does not take.
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}
