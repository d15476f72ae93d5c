//! A write of a server's entry, sent while the server was ready, is executed seconds later, when the server has
//! reported that it drains.

use std::{
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform_standins::{PlainService, Platform, RequestLimits};
use review_harness_3::{
    Gateways, Record, exchange, has_trouble, lock,
    plain::{KIND, Server},
    sleep_ms, status, wait_until,
};
use serde_json::json;

const DRAIN_MS: u64 = 2_000;
/// Time between the write whose answer is lost and the report that the server drains. The store is stable again.
const STABLE_MS: u64 = 3_200;
/// Time from which that write is executed, after the next heartbeat of the server. The pages say 1 to 6 s.
const LATE_MS: u64 = 4_700;
/// Time from then until the server exits.
const EXIT_MS: u64 = 1_000;
const GATEWAYS: usize = 6;

fn main() {
    let record = Record::default();
    let platform = Platform::start(Vec::new());
    let store = platform.store.clone();
    PlainService::IDS
        .iter()
        .for_each(|id| store.remove(KIND, id));
    let arrivals = Arc::<Mutex<Vec<_>>>::default();
    let servers: Vec<_> = (0..3)
        .map(|index| Server::start(&format!("s-{index}"), &store, &record, &arrivals))
        .collect();
    let route = json!({ "name": "once", "host": "model.example", "path_prefix": "/once/", "kind": "non_idempotent",
        "timeout_ms": 1_200, "slo_ms": 150, "priority": 2, "service": "plain", "attempts": 1, "public": false });
    store.put_config(
        json!([route]),
        json!([{ "name": "plain", "health_path": "/health", "max_conns": 96, "protocol": "h1" }]),
        json!([{ "name": "customer-1", "api_keys": ["key-1"], "priority": 1 }]),
        RequestLimits::default(),
    );
    let mut gateways = Gateways::prepare(&["zone-a"; GATEWAYS], &[store.address; GATEWAYS]);
    (0..GATEWAYS).for_each(|index| gateways.start(index));
    for index in 0..GATEWAYS {
        wait_until("the gateways are ready", 15_000, || {
            gateways.is_ready(index)
        });
    }
    let is_busy = Arc::new(AtomicBool::new(true));
    let sent = Arc::new(AtomicU64::new(0));
    let failed = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..2 * GATEWAYS)
        .map(|caller| {
            let address = gateways.addresses[caller % GATEWAYS].callers;
            let (is_busy, sent, record, failed) = (is_busy.clone(), sent.clone(), record.clone(), failed.clone());
            thread::spawn(move || {
                while is_busy.load(Ordering::Relaxed) {
                    let id = format!("m{}-{:06}", caller % GATEWAYS, sent.fetch_add(1, Ordering::Relaxed));
                    let request = format!(
                        "POST /once/1 HTTP/1.1\r\nHost: model.example\r\nJacinthpoint-Attempt-Id: {id}\r\n\
                         Jacinthpoint-Deadline-Ms: 2500\r\nApi-Key: key-1\r\nContent-Length: 2\r\n\
                         Connection: close\r\n\r\n{{}}"
                    );
                    let answer = exchange(address, request.as_bytes(), 3_000).unwrap_or_default();
                    record.say(format!("{id} was answered {:?}", status(&answer)));
                    if status(&answer) != Some(200) {
                        lock(&failed).push(id);
                    }
                    sleep_ms(250);
                }
            })
        })
        .collect();
    sleep_ms(2_500);
    let leaving = &servers[0];
    let began = Instant::now();
    let until = |ms: u64| sleep_ms(ms.saturating_sub(began.elapsed().as_millis() as u64));
    let ready = leaving.entry();
    record.say("s-0 writes its entry (ready), and gets no answer");
    until(STABLE_MS);
    leaving.drain();
    let acknowledged = Instant::now();
    record.say("s-0 reports that it drains, and the store accepts that");
    until(LATE_MS);
    while leaving.since_beat_ms() > 50 {
        sleep_ms(10);
    }
    if has_trouble() {
        store.put(KIND, "s-0", ready);
        record.say(format!(
            "the store executes the write that s-0 sent {} ms ago (ready)",
            began.elapsed().as_millis()
        ));
    }
    sleep_ms(EXIT_MS);
    leaving.leave();
    record.say("s-0 exits and is removed from the list");
    sleep_ms(1_500);
    is_busy.store(false, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    let bound = acknowledged + Duration::from_millis(DRAIN_MS);
    let arrivals = lock(&arrivals).clone();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|a| a.server == "s-0" && a.status != 421 && a.at > bound)
        .collect();
    let cut = late.iter().filter(|arrival| arrival.status == 0).count();
    record.say(format!("{} requests reached s-0 later than {DRAIN_MS} ms after that; {cut} of them were cut by its exit", late.len()));
    record.say(format!(
        "requests that were not answered 200: {:?}",
        lock(&failed)
    ));
    let is_broken = !late.is_empty();
    record.say(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    record.write(
        &std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".to_owned()),
    );
    drop(gateways);
    exit(i32::from(is_broken));
}
