//! A gateway that reaches no server passes requests on to one whose configuration is out of date.

use std::{
    thread,
    time::{Duration, Instant},
};

use review_harness::{
    Answer, CONFIG_APPLY, KEY, LinkState, Record, STABLE, Server, Site, exchange, finish, is_calm,
    request_text,
};

/// Longest time for which the store turns a machine away: `for_s` of `platform_down` in the site file.
const STORE_FAULT: Duration = Duration::from_secs(9);
const REQUESTS: usize = 60;

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let desk = Server::start("desk-1", "desk");
    // One machine in each of three zones.
    let site = Site::start(&["bne-north", "bne-south", "gc-hall"], 2, &[KEY]);
    site.platform
        .store
        .put("servers", &desk.id, desk.entry("ready"));
    thread::sleep(STABLE);
    let (sender, stale) = (&site.gateways[0], &site.gateways[1]);
    let send = |id: &str| -> Answer {
        exchange(
            sender.callers,
            &request_text(id, "/once/", KEY, 2_500),
            Duration::from_secs(4),
        )
    };
    let ran_at = |id: &str| -> Vec<String> {
        let mut at: Vec<String> = site
            .platform
            .runs
            .of(id)
            .into_iter()
            .map(|run| run.upstream)
            .collect();
        let runs = desk.runs.lock().expect("no thread panics");
        at.extend(
            runs.iter()
                .filter(|(run, _)| run == id)
                .map(|_| desk.id.clone()),
        );
        at
    };
    let before = send("before");
    record.line(format!(
        "request before: {} run at {:?}",
        before.status,
        ran_at("before")
    ));
    if before.status != 200 {
        finish(2, &site);
    }
    if !is_calm() {
        record.line(format!("the store turns {} away (silent)", stale.name));
        stale.link.set(LinkState::Silent);
    }
    let store_fault_at = Instant::now();
    thread::sleep(Duration::from_millis(200));
    site.put_config_with(&[KEY], "desk", &[]);
    let acked_at = Instant::now();
    record.line("the operator moves the route 'once' from service 'plain' to 'desk'; acknowledged");
    thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    let moved = send("moved");
    record.line(format!(
        "request moved at {}: {} run at {:?}",
        sender.name,
        moved.status,
        ran_at("moved")
    ));
    if ran_at("moved") != ["desk-1"] {
        finish(2, &site);
    }
    if !is_calm() {
        record.line(format!("{} loses the path to the servers", sender.name));
        sender.link.cut_servers(true);
        // Traffic of other routes, by which the machine meets the cut.
        let began = Instant::now();
        for number in 0.. {
            if sender.metrics_text().contains("upstreams_reachable 0") || began.elapsed() > STABLE {
                break;
            }
            for route in ["stream", "again"] {
                let id = format!("{route}-{number}");
                let text = request_text(&id, &format!("/{route}/"), KEY, 2_500);
                let answer = exchange(sender.callers, &text, Duration::from_secs(4));
                record.line(format!(
                    "request {id} to {}: {}",
                    sender.name, answer.status
                ));
            }
            let answer = send(&format!("met-{number}"));
            record.line(format!(
                "request met-{number} to {}: {}",
                sender.name, answer.status
            ));
            thread::sleep(Duration::from_millis(30));
        }
    }
    let mut old = 0;
    let mut answered = 0;
    for number in 0..REQUESTS {
        if store_fault_at.elapsed() >= STORE_FAULT {
            break;
        }
        let id = format!("request-{number}");
        let since_ack = acked_at.elapsed();
        let answer = send(&id);
        let at = ran_at(&id);
        record.line(format!(
            "request {id} to {}, {:.2} s after the acknowledgement: {} run at {at:?}",
            sender.name,
            since_ack.as_secs_f64(),
            answer.status
        ));
        answered += usize::from(answer.status == 200);
        old += at.iter().filter(|upstream| *upstream == "plain-1").count();
        thread::sleep(Duration::from_millis(60));
    }
    stale.link.set(LinkState::Open);
    record.line(format!(
        "{answered} answered with 200; {old} ran at the old service, which the configuration no longer names"
    ));
    if answered == 0 {
        finish(2, &site);
    }
    finish(i32::from(old > 0), &site);
}
