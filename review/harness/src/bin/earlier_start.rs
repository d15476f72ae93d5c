//! A server starts again under its id while its clock is set back, so that its start time is lower than
//! before. A gateway then ignores that the server wants no requests for a time.

use std::{
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use review_harness::{KEY, Record, STABLE, Server, Site, exchange, finish, is_calm, request_text};

/// Unix time of the first start in ms.
const BORN: u64 = 1_790_000_000_000;
/// Time from the first start to the second one.
const LIFE_MS: u64 = 1_500;
/// Jump of the server's time of day: `x` of `clock_step` in the site file.
const CLOCK_STEP_MS: u64 = 2_400;
const FIRST_PAUSE_MS: u64 = 500;
const PAUSE_MS: u64 = 5_000;
/// Time after the refusal from which arrivals count, and their number that is allowed.
const GRACE: Duration = Duration::from_millis(500);
const MAX_ARRIVALS: usize = 2;

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let desks = [
        Server::start("desk-1", "desk"),
        Server::start("desk-2", "desk"),
    ];
    let site = Site::start(&["bne-north"], 2, &[KEY]);
    for desk in &desks {
        site.platform
            .store
            .put("servers", &desk.id, desk.entry_born("ready", BORN));
    }
    site.put_config_with(&[KEY], "desk", &[]);
    thread::sleep(STABLE);
    let gateway = site.gateways[0].callers;
    let mut number = 0;
    let mut send_for = |ms: u64| {
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(ms) {
            let text = request_text(&format!("request-{number}"), "/once/", KEY, 2_500);
            let answer = exchange(gateway, &text, Duration::from_secs(3));
            record.line(format!(
                "request-{number}: {} by {}",
                answer.status,
                answer.header("jacinthpoint-server-seal").unwrap_or("none")
            ));
            number += 1;
            thread::sleep(Duration::from_millis(40));
        }
    };
    send_for(300);
    record.line(format!(
        "desk-1, born {BORN}, refuses with 503 and Retry-After {FIRST_PAUSE_MS} ms"
    ));
    desks[0].pause_ms.store(FIRST_PAUSE_MS, Ordering::SeqCst);
    send_for(FIRST_PAUSE_MS);
    desks[0].pause_ms.store(0, Ordering::SeqCst);
    let born = match is_calm() {
        true => BORN + LIFE_MS,
        false => BORN + LIFE_MS - CLOCK_STEP_MS,
    };
    record.line(format!("desk-1 starts again, born {born}"));
    desks[0].reset_connections();
    site.platform
        .store
        .put("servers", "desk-1", desks[0].entry_born("ready", born));
    send_for(2_000);
    record.line(format!(
        "desk-1 refuses with 503 and Retry-After {PAUSE_MS} ms"
    ));
    let refused_from = Instant::now();
    desks[0].pause_ms.store(PAUSE_MS, Ordering::SeqCst);
    send_for(PAUSE_MS);
    let arrivals = desks[0].arrivals.lock().expect("no thread panics").clone();
    let refused = arrivals
        .iter()
        .filter(|(_, at, is_refused)| *is_refused && *at >= refused_from);
    let times: Vec<Instant> = refused.map(|(_, at, _)| *at).collect();
    for (id, at, is_refused) in &arrivals {
        record.line(format!(
            "desk-1 got {id} at {:.3}, refused: {is_refused}",
            record.at(*at)
        ));
    }
    let Some(first) = times.first().copied() else {
        record.line("desk-1 got no request to refuse");
        finish(2, &site);
    };
    let end = first + Duration::from_millis(PAUSE_MS);
    let late = times
        .iter()
        .filter(|at| **at > first + GRACE && **at < end)
        .count();
    record.line(format!(
        "{late} requests reached desk-1 between {} ms after it had answered 503 with Retry-After and the end of \
         that time; {MAX_ARRIVALS} may", GRACE.as_millis()
    ));
    finish(i32::from(late > MAX_ARRIVALS), &site);
}
