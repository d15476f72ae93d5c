//! A gateway passes on an answer that another gateway got for it, in which a server says that it leaves, and
//! later sends requests to that server itself.

use std::{
    sync::atomic::Ordering,
    thread,
    time::{Duration, Instant},
};

use review_harness::{
    Answer, KEY, LinkState, Record, STABLE, Server, Site, exchange, finish, is_calm, request_text,
};

/// `drain_ms` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time until the report of a server that leaves is in the store: less than `heartbeat_ms`, 1,200.
const REPORT: Duration = Duration::from_millis(600);
/// Longest time for which the store turns a machine away: `for_s` of `platform_down` in the site file.
const STORE_FAULT: Duration = Duration::from_secs(9);

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let desks = [Server::start("desk-1", "desk"), Server::start("desk-2", "desk")];
    let site = Site::start(&["bne-north", "bne-south", "gc-hall"], 2, &[KEY]);
    for desk in &desks {
        site.platform.store.put("servers", &desk.id, desk.entry("ready"));
    }
    site.put_config_with(&[KEY], "desk", &[]);
    thread::sleep(STABLE);
    let sender = &site.gateways[0];
    let send = |id: &str, path: &str| -> (Answer, Instant) {
        let sent_at = Instant::now();
        let text = request_text(id, path, KEY, 2_500);
        (exchange(sender.callers, &text, Duration::from_secs(4)), sent_at)
    };
    let leaves = |answer: &Answer| answer.header("server-leaving") == Some("1");
    let seal = |answer: &Answer| answer.header("jacinthpoint-server-seal").unwrap_or("none").to_owned();
    let store_fault_at = Instant::now();
    if !is_calm() {
        record.line(format!("the store turns {} away (silent)", sender.name));
        sender.link.set(LinkState::Silent);
        record.line(format!("{} loses the path to the servers", sender.name));
        sender.link.cut_servers(true);
        let began = Instant::now();
        for number in 0.. {
            if sender.metrics_text().contains("upstreams_reachable 0") {
                break;
            }
            if began.elapsed() > STABLE {
                finish(2, &site);
            }
            for route in ["stream", "again", "once"] {
                let (answer, _) = send(&format!("met-{route}-{number}"), &format!("/{route}/"));
                record.line(format!("request met-{route}-{number}: {}", answer.status));
            }
            thread::sleep(Duration::from_millis(30));
        }
    }
    record.line("desk-1 begins to leave and says so in its answers");
    desks[0].is_leaving.store(true, Ordering::SeqCst);
    let leaving_at = Instant::now();
    let mut passed_on_at = None;
    let mut number = 0;
    while leaving_at.elapsed() < REPORT {
        let (answer, _) = send(&format!("early-{number}"), "/once/");
        record.line(format!(
            "request early-{number}: {} by {}, leaving: {}", answer.status, seal(&answer), leaves(&answer)
        ));
        if leaves(&answer) && passed_on_at.is_none() {
            passed_on_at = Some(Instant::now());
        }
        number += 1;
        thread::sleep(Duration::from_millis(30));
    }
    record.line("the report of desk-1 that it drains is in the store");
    site.platform.store.put("servers", "desk-1", desks[0].entry("draining"));
    let Some(passed_on_at) = passed_on_at else {
        finish(2, &site);
    };
    thread::sleep((passed_on_at + DRAIN + DRAIN / 10).saturating_duration_since(Instant::now()));
    if !is_calm() {
        record.line(format!("{} has a path to the servers again", sender.name));
        sender.link.cut_servers(false);
    }
    let until = store_fault_at + STORE_FAULT;
    let mut late = 0;
    let mut number = 0;
    while Instant::now() < until {
        let (answer, sent_at) = send(&format!("request-{number}"), "/once/");
        let since = sent_at - passed_on_at;
        let is_late = since > DRAIN && seal(&answer) == "seal.desk-1";
        late += usize::from(is_late);
        record.line(format!(
            "request request-{number}, sent {:.2} s after {} had passed on that desk-1 leaves: {} by {}",
            since.as_secs_f64(), sender.name, answer.status, seal(&answer)
        ));
        number += 1;
        thread::sleep(Duration::from_millis(60));
    }
    sender.link.set(LinkState::Open);
    record.line(format!(
        "{late} requests that were sent later than {} ms after that reached desk-1 from {}",
        DRAIN.as_millis(), sender.name
    ));
    finish(i32::from(late > 0), &site);
}
