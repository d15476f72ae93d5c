//! Limits that hold over all gateways together, measured at the upstreams.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::StoreFault;

use crate::gateway::{
    caller::Request,
    site::{Site, gateway_name},
};

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
    check_retry_budget(&site, &requests);
}

/// Guards against more retries than the fleet may send: those for callers that moved to another gateway came on
/// top of those that the former one had sent in the window.
#[test]
fn retries_stay_within_the_budget_while_callers_move() {
    let site = Site::start(2);
    let pause = Duration::from_millis(10);
    let send = |gateway, time_s| {
        let time = Duration::from_secs(time_s);
        send_steadily(&[site.gateway(gateway)], time, pause)
    };
    let mut answers = send(0, 7);
    site.platform.engines.set_failing(true);
    answers.extend(send(0, 2));
    answers.extend(send(1, 8));
    let mut requests: Vec<Instant> = answers.iter().map(|answer| answer.sent_at).collect();
    requests.sort();
    check_retry_budget(&site, &requests);
}

/// Guards against a whole share of the retry budget at a gateway that the others may not count yet: at the
/// first start of the fleet, one that the store turned away registers late.
#[test]
fn gateway_that_registers_late_at_the_first_start_uses_little_of_the_slack() {
    const REQUESTS: usize = 60;
    let mut site = Site::start(1);
    let store = site.platform.store.clone();
    site.kill(0);
    store.remove("gateways", &gateway_name(0));
    store.set_fault(StoreFault::Busy);
    site.restart(0);
    thread::sleep(Duration::from_secs(4));
    store.set_fault(StoreFault::None);
    site.wait_until("the gateway is ready", 10_000, |site| site.is_ready(0));
    site.platform.engines.set_failing(true);
    for index in 0..REQUESTS {
        Request::stream(&format!("late-{index}")).send(site.gateway(0));
    }
    let repeats = site.platform.runs.all().len().saturating_sub(REQUESTS);
    let max = RETRY_RATIO * REQUESTS as f64 + RETRY_SLACK / 10.0;
    assert!(repeats as f64 <= max, "{repeats} repeats, {max} may be");
}

/// Checks that the engines got no more repeats of requests than the retry budget allows, given the times
/// of all requests.
fn check_retry_budget(site: &Site, requests: &[Instant]) {
    let mut seen = BTreeSet::new();
    let runs = site.platform.runs.all();
    let repeats = runs.iter().filter(|run| !seen.insert(&run.attempt_id));
    let repeats: Vec<Instant> = repeats.map(|run| run.at).collect();
    assert!(!repeats.is_empty(), "no request was retried");
    for begin in &repeats {
        let counted = [
            count_in_window(requests, *begin, RETRY_WINDOW),
            count_in_window(requests, *begin - RETRY_WINDOW, RETRY_WINDOW),
            count_in_window(requests, *begin - RETRY_WINDOW / 2, RETRY_WINDOW),
        ];
        let counted = counted.into_iter().fold(0.0, f64::max);
        let sent = count_in_window(&repeats, *begin, RETRY_WINDOW);
        assert!(
            sent <= RETRY_RATIO * counted + RETRY_SLACK,
            "{sent} retries for {counted} requests in {RETRY_WINDOW:?}"
        );
    }
}

/// Time at which a request was sent, and the status of its answer.
struct TimedAnswer {
    sent_at: Instant,
    status: u16,
}

/// Sends streams to each gateway for `time`, one every `pause`, and returns the answers.
fn send_steadily(gateways: &[SocketAddr], time: Duration, pause: Duration) -> Vec<TimedAnswer> {
    let end = Instant::now() + time;
    let senders: Vec<_> = gateways
        .iter()
        .map(|address| {
            let address = *address;
            thread::spawn(move || {
                let mut callers = Vec::new();
                while Instant::now() < end {
                    let id = format!("{address}-{}-{}", time.as_millis(), callers.len());
                    callers.push(thread::spawn(move || TimedAnswer {
                        sent_at: Instant::now(),
                        status: Request::stream(&id).send(address).status,
                    }));
                    thread::sleep(pause);
                }
                let answers = callers.into_iter();
                let answers = answers.map(|caller| caller.join().expect("it does not panic"));
                answers.collect::<Vec<TimedAnswer>>()
            })
        })
        .collect();
    let answers = senders.into_iter();
    answers
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
    let addresses: Vec<_> = (0..gateways).map(|index| site.gateway(index)).collect();
    let answers = send_steadily(&addresses, time, Duration::from_millis(60));
    check_limit(&site, &leader, limit, named_at);
    // The other groups have room for what the limited one does not take.
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// Guards against requests to a cold upstream at the rate of a warm one, also by a gateway that starts
/// meanwhile.
#[test]
fn cold_upstream_gets_no_more_than_its_service_allows() {
    const WINDOW: Duration = Duration::from_secs(1);
    let (gateways, per_s) = (3, 4.0);
    let mut site = Site::start(gateways);
    site.platform.engines.set_stream(5, 20);
    let store = site.platform.store.clone();
    let content = |kind: &str, name: &str| store.get_content(kind, name).expect("it is stored");
    let mut config = content(paths::CONFIG_KIND, paths::CONFIG_NAME);
    config["version"] = 1_000.into();
    for service in config["services"].as_array_mut().expect("it is a list") {
        service["warmup_s"] = 60.into();
        service["cold_per_s"] = per_s.into();
    }
    store.put(paths::CONFIG_KIND, paths::CONFIG_NAME, config);
    let leader = site.platform.engines.open_groups()[0][0].clone();
    let mut entry = content(paths::UPSTREAM_KIND, &leader);
    entry["cold_left_ms"] = 60_000.into();
    store.put(paths::UPSTREAM_KIND, &leader, entry);
    for gateway in 0..gateways {
        site.wait_until("the gateway knows that it is cold", 10_000, |site| {
            site.metrics(gateway).contains("cold_upstreams")
        });
    }
    let addresses: Vec<_> = (0..gateways).map(|index| site.gateway(index)).collect();
    let time = Duration::from_secs(4);
    let callers = thread::spawn(move || send_steadily(&addresses, time, Duration::from_millis(20)));
    thread::sleep(time / 2);
    site.restart(1);
    callers.join().expect("it does not panic");
    let runs = site.platform.runs.all();
    let (cold, warm): (Vec<_>, Vec<_>) = runs.iter().partition(|run| run.upstream == leader);
    let arrivals: Vec<Instant> = cold.iter().map(|run| run.at).collect();
    assert!(!arrivals.is_empty(), "the cold upstream got no request");
    // A third of what the other three groups get is beyond the limit.
    let max = 1.5 * per_s + LIMIT_SLACK;
    assert!(warm.len() as f64 / 3.0 > time.as_secs_f64() * max);
    for begin in &arrivals {
        let count = count_in_window(&arrivals, *begin, WINDOW);
        assert!(count <= max, "{count} requests in a second, {max} allowed");
    }
}

/// Guards against limits that hold only while the same gateways run: a frozen or restarted one, which
/// may be the issuer of permits, must not let the others exceed any of several limits.
#[test]
fn limits_of_many_upstreams_hold_while_gateways_stop_and_restart() {
    let gateways = 3;
    let limits = [1.0, 2.0, 3.0];
    let mut site = Site::start(gateways);
    let groups = site.platform.engines.open_groups();
    for (members, limit) in groups.iter().zip(limits) {
        site.platform.engines.set_limit(&members[0], Some(limit));
    }
    let named_at = Instant::now();
    let callers = {
        let addresses: Vec<_> = (0..gateways).map(|index| site.gateway(index)).collect();
        let time = LIMIT_STABLE + LIMIT_WINDOW * 2;
        thread::spawn(move || send_steadily(&addresses, time, Duration::from_millis(40)))
    };
    thread::sleep(Duration::from_secs(4));
    // Any of the gateways may be the hub.
    site.signal(0, "STOP");
    thread::sleep(Duration::from_secs(2));
    site.signal(0, "CONT");
    site.restart(1);
    thread::sleep(Duration::from_secs(2));
    site.restart(2);
    callers.join().expect("it does not panic");
    for (members, limit) in groups.iter().zip(limits) {
        check_limit(&site, &members[0], limit, named_at);
    }
}

/// Guards against a limit that is kept after its upstream stopped naming it.
#[test]
fn upstream_whose_limit_ended_gets_more_requests_again() {
    let limit = 1.0;
    let site = Site::start(2);
    let leader = site.platform.engines.open_groups()[0][0].clone();
    let addresses = [site.gateway(0), site.gateway(1)];
    let pause = Duration::from_millis(60);
    site.platform.engines.set_limit(&leader, Some(limit));
    send_steadily(&addresses, LIMIT_STABLE, pause);
    site.platform.engines.set_limit(&leader, None);
    send_steadily(&addresses, LIMIT_WINDOW, pause);
    let ended_at = Instant::now();
    send_steadily(&addresses, LIMIT_WINDOW, pause);
    let runs = site.platform.runs.all();
    let count = runs
        .iter()
        .filter(|run| run.upstream == leader && run.at >= ended_at)
        .count();
    // A quarter of two gateways' requests go to each of the four groups.
    let max_limited = 1.5 * limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
    assert!(count as f64 > max_limited, "{count} requests");
}

/// Guards against requests that wait for a permit until their deadline.
#[test]
fn request_beyond_the_limits_of_all_upstreams_is_refused_at_once() {
    let site = Site::start(1);
    for members in site.platform.engines.open_groups() {
        site.platform.engines.set_limit(&members[0], Some(0.5));
    }
    let mut refused = 0;
    for index in 0..60 {
        let id = format!("limited-{index}");
        let began = Instant::now();
        let answer = Request::stream(&id).send(site.gateway(0));
        if answer.status == 503 {
            refused += 1;
            assert!(began.elapsed() < Duration::from_millis(500));
            assert!(answer.header("retry-after").is_some());
            assert!(site.platform.runs.of(&id).is_empty());
        }
    }
    assert!(refused > 0, "no request was refused");
}
