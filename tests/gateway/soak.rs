//! Random faults in series and together, while callers go on. What callers and upstreams saw is
//! checked against the promises.
//!
//! ```text
//! JACINTHPOINT_SOAK_SEEDS=1000..1050 \
//!     cargo test --release --test integration -- gateway::soak::by_hand --ignored --nocapture
//! ```

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use jacinthpoint_platform_standins::{EngineFault, PlainFault, PlainService, StoreFault};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::json;

use crate::gateway::{
    caller::{Answer, End, Request},
    site::{KEY, OTHER_KEY, STORE, Site, gateway_name},
};

/// Seed of the soak in CI.
const CI_SEED: u64 = 1;
/// Seeds by hand, where the environment names none.
const SEEDS_VARIABLE: &str = "JACINTHPOINT_SOAK_SEEDS";
/// Gateways of a soak.
const GATEWAYS: usize = 3;
/// Callers, each with one request at a time.
const CALLERS: usize = 8;
/// Faults of a soak.
const FAULTS: usize = 12;
/// Events of each stream, and the time between them.
const EVENTS: u64 = 20;
const EVENT_MS: u64 = 15;
/// Share of requests that are answered once all faults have ended.
const SERVED_AFTER: f64 = 0.95;

/// What a caller saw, or a promise that was broken.
fn check(request: &Request<'_>, answer: &Answer, site: &jacinthpoint_platform_standins::Platform) {
    let id = &request.id;
    let runs = site.runs.of(id).len();
    let is_stream = request.path == "/stream/";
    if !is_stream {
        assert!(runs <= 1, "{id} ran {runs} times");
    }
    match answer.status {
        200 if is_stream => {
            let events = answer.events();
            let expected: Vec<u64> = (1..=events.len() as u64).collect();
            assert_eq!(events, expected, "{id} got other events");
            let is_whole = events.len() as u64 == EVENTS;
            assert!(
                answer.end != End::Whole || is_whole,
                "{id} ended early as whole"
            );
        }
        200 if answer.end == End::Whole => {
            assert_eq!(answer.text(), PlainService::BODY, "{id} got another body");
        }
        429 | 503 if !is_stream => assert_eq!(runs, 0, "{id} was refused and ran"),
        _ => {}
    }
}

/// Ends a fault.
type EndFault = Box<dyn FnOnce(&mut Site)>;

/// Provokes one fault; returns what ends it.
fn provoke(site: &mut Site, rng: &mut SmallRng) -> EndFault {
    let engines = site.platform.engines.ids();
    let engine = engines.choose(rng).expect("there are engines").clone();
    let gateway = rng.random_range(0..GATEWAYS);
    match rng.random_range(0..12) {
        0 => {
            site.platform.engines.set_fault(&engine, EngineFault::Dead);
            Box::new(move |site| site.platform.engines.set_fault(&engine, EngineFault::None))
        }
        1 => {
            site.platform
                .engines
                .set_fault(&engine, EngineFault::Silent);
            Box::new(move |site| site.platform.engines.set_fault(&engine, EngineFault::None))
        }
        2 => {
            let faults = [
                StoreFault::Busy,
                StoreFault::Silent,
                StoreFault::LosesWrites,
                StoreFault::Slow(300),
            ];
            site.platform
                .store
                .set_fault(*faults.choose(rng).expect("there are some"));
            Box::new(|site| site.platform.store.set_fault(StoreFault::None))
        }
        3 => {
            let faults = [
                PlainFault::LosesAnswer,
                PlainFault::CutsUnframed,
                PlainFault::CutsFramed,
                PlainFault::AnswersAnother,
                PlainFault::Full,
                PlainFault::Slow(1_000),
            ];
            site.platform
                .plain
                .set_fault(*faults.choose(rng).expect("there are some"));
            Box::new(|site| site.platform.plain.set_fault(PlainFault::None))
        }
        4 => {
            site.kill(gateway);
            Box::new(move |site| site.restart(gateway))
        }
        5 => {
            site.signal(gateway, "STOP");
            Box::new(move |site| site.signal(gateway, "CONT"))
        }
        6 => {
            site.signal(gateway, "TERM");
            let life = site.life(gateway);
            Box::new(move |site| {
                // A gateway that a fault paused meanwhile cannot end.
                site.signal(gateway, "CONT");
                // Another fault may have killed it and started it again.
                let is_same = site.life(gateway) == life;
                let has_ended = !is_same || site.wait_for_end(gateway, 9_000);
                assert!(has_ended, "a stop outlasted its grace time");
                site.restart(gateway);
            })
        }
        7 => {
            site.platform.store.forget_history();
            Box::new(|_| {})
        }
        8 => disturb(site, rng, Some(&gateway_name(gateway)), STORE),
        9 => disturb(site, rng, None, &engine),
        10 => {
            site.links().freeze(&[&gateway_name(gateway)], &[STORE]);
            Box::new(|_| {})
        }
        _ => {
            site.put_config(&[KEY, OTHER_KEY]);
            site.signal(gateway, "HUP");
            Box::new(|_| {})
        }
    }
}

/// Disturbs the connections from one party, or all, to another.
fn disturb(site: &mut Site, rng: &mut SmallRng, from: Option<&str>, to: &str) -> EndFault {
    let faults = [
        json!({ "mode": "cut" }),
        json!({ "mode": "silent" }),
        json!({ "mode": "lose-towards-target" }),
        json!({ "mode": "lose-towards-source" }),
        json!({ "mode": "delay", "delay_ms": 150 }),
        json!({ "mode": "lose-share", "share": 0.2 }),
    ];
    let fault = faults.choose(rng).expect("there are some");
    let rule = format!("rule-{}", rng.random::<u32>());
    let from: Vec<&str> = from.into_iter().collect();
    site.links().disturb(&rule, &from, &[to], fault);
    Box::new(move |site| site.links().heal(&rule))
}

fn soak(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut site = Site::start_behind_links(GATEWAYS, seed);
    site.platform.engines.set_stream(EVENTS, EVENT_MS);
    let is_over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (is_over, sent) = (is_over.clone(), sent.clone());
            let platform = site.platform.clone();
            let gateways: Vec<_> = (0..GATEWAYS).map(|index| site.gateway(index)).collect();
            thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("s{seed}-c{caller}-{number}");
                    let request = match (caller + number) % 3 {
                        0 => Request::once(&id),
                        _ => Request::stream(&id),
                    };
                    let request = Request {
                        patience_ms: 3_000,
                        ..request
                    };
                    let answer = request.send(gateways[(caller + number) % GATEWAYS]);
                    check(&request, &answer, &platform);
                    sent.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    let mut running: Vec<EndFault> = Vec::new();
    for _ in 0..FAULTS {
        running.push(provoke(&mut site, &mut rng));
        thread::sleep(Duration::from_millis(rng.random_range(100..1_200)));
        if running.len() > 2 {
            running.remove(0)(&mut site);
        }
    }
    for end in running {
        end(&mut site);
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        caller
            .join()
            .unwrap_or_else(|_| panic!("seed {seed}: a promise was broken, see above"));
    }
    serves_again(&site, seed);
    println!(
        "soak: seed {seed}, {FAULTS} faults, {} requests",
        sent.load(Ordering::SeqCst)
    );
}

/// All gateways serve once the faults have ended.
fn serves_again(site: &Site, seed: u64) {
    for index in 0..GATEWAYS {
        site.wait_until("the gateway is ready again", 15_000, |site| {
            site.is_ready(index)
        });
    }
    site.wait_for_groups(3);
    thread::sleep(Duration::from_millis(1_000));
    let mut served = 0;
    const LAST: usize = 40;
    for number in 0..LAST {
        let request = Request::stream(&format!("s{seed}-last-{number}"));
        let answer = request.send(site.gateway(number % GATEWAYS));
        check(&request, &answer, &site.platform);
        served += usize::from(answer.status == 200 && answer.end == End::Whole);
    }
    let share = served as f64 / LAST as f64;
    assert!(
        share >= SERVED_AFTER,
        "seed {seed}: {served} of {LAST} served after the faults"
    );
}

#[test]
fn short() {
    soak(CI_SEED);
}

/// Waited for the end of a gateway that another fault had killed and started again.
#[test]
fn seed_202() {
    soak(202);
}

#[test]
#[ignore = "runs many seeds; see the module's text"]
fn by_hand() {
    let range = std::env::var(SEEDS_VARIABLE).unwrap_or_else(|_| "100..110".to_owned());
    let (first, end) = range.split_once("..").expect("two seeds, as in 100..110");
    let seed = |text: &str| text.parse::<u64>().expect("a seed is a number");
    for seed in seed(first)..seed(end) {
        soak(seed);
    }
}
