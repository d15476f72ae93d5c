//! Gateways of two builds side by side, while they are replaced one after the other.
//!
//! Run by hand with the executable of an earlier build, made from a commit in a worktree of its own:
//!
//!     JACINTHPOINT_EARLIER_BUILD=PATH cargo test --test integration -- mixed_builds --ignored --nocapture

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::gateway::{
    caller::{End, Request, join_all},
    pause_ms,
    site::Site,
};

const GATEWAYS: usize = 4;
/// Time within which a gateway that was replaced is ready.
const READY_MS: u64 = 15_000;
/// Time for which gateways of both builds run between two replacements.
const MIXED_MS: u64 = 1_500;
/// Time between two requests.
const REQUEST_INTERVAL_MS: u64 = 25;

/// What callers saw.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcomes {
    served: usize,
    refused: usize,
    failed: usize,
}

/// Replaces all gateways, one after the other, while callers send requests to the others, and returns what
/// the callers saw. `start` starts a gateway as the build that it is replaced by.
fn replace_all(site: &mut Site, prefix: &str, start: impl Fn(&mut Site, usize)) -> Outcomes {
    // Gateway that gets no requests: the balancer has taken it out.
    let replaced = Arc::new(AtomicUsize::new(GATEWAYS));
    let is_ended = Arc::new(Mutex::new(false));
    let addresses: Vec<_> = (0..GATEWAYS).map(|index| site.gateway(index)).collect();
    let (skipped, ended, prefix) = (replaced.clone(), is_ended.clone(), prefix.to_owned());
    let load = thread::spawn(move || {
        let mut senders = Vec::new();
        for number in 0.. {
            if *ended.lock().expect("nothing panics with it") {
                break;
            }
            pause_ms(REQUEST_INTERVAL_MS);
            let mut gateway = number % GATEWAYS;
            if gateway == skipped.load(Ordering::Relaxed) {
                gateway = (gateway + 1) % GATEWAYS;
            }
            let (id, address) = (format!("{prefix}-{number}"), addresses[gateway]);
            senders.push(thread::spawn(move || {
                let request = match number % 3 {
                    0 => Request::once(&id),
                    _ => Request::stream(&id),
                };
                let answer = request.send(address);
                (id, number % 3 == 0, answer)
            }));
        }
        join_all(senders)
    });
    for index in 0..GATEWAYS {
        replaced.store(index, Ordering::Relaxed);
        // Requests that were sent to it a moment ago arrive before the signal.
        pause_ms(100);
        site.signal(index, "TERM");
        assert!(site.wait_for_end(index, 10_000), "gateway {index} ends");
        start(site, index);
        site.wait_until("the gateway is ready", READY_MS, |site| {
            site.is_ready(index)
        });
        replaced.store(GATEWAYS, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(MIXED_MS));
    }
    *is_ended.lock().expect("nothing panics with it") = true;
    let mut outcomes = Outcomes::default();
    for (id, is_once, answer) in load.join().expect("the load does not panic") {
        let runs = site.platform.runs.of(&id).len();
        match (answer.status, answer.end) {
            (200, End::Whole) => outcomes.served += 1,
            (429 | 503, _) => {
                outcomes.refused += 1;
                assert!(!is_once || runs == 0, "{id} was refused, but ran");
            }
            (status, end) => {
                outcomes.failed += 1;
                println!("{id}: {status} {end:?}, {runs} runs, {}", answer.text());
            }
        }
        assert!(!is_once || runs <= 1, "{id} ran {runs} times");
    }
    outcomes
}

/// Guards against an upgrade, or its way back, that loses requests or breaks a promise while both builds run.
#[test]
#[ignore = "needs the executable of an earlier build"]
fn upgrade_and_way_back_by_hand() {
    let program =
        std::env::var("JACINTHPOINT_EARLIER_BUILD").expect("the path of an earlier build");
    let mut site = Site::start(GATEWAYS);
    let as_earlier = |site: &mut Site, index| site.restart_as(index, &program);
    let back = replace_all(&mut site, "back", as_earlier);
    println!("to the earlier build: {back:?}");
    let upgrade = replace_all(&mut site, "upgrade", Site::restart);
    println!("to this build: {upgrade:?}");
    for outcomes in [back, upgrade] {
        assert_eq!((outcomes.refused, outcomes.failed), (0, 0));
    }
}
