//! Another writer's entry has a name with a space and fills a page of the store's list. Gateways that start
//! again never get the list.

use std::{
    thread,
    time::{Duration, Instant},
};

use review_harness::{
    Gateway, KEY, Record, STABLE, Server, Site, exchange, finish, is_calm, request_text,
    start_paging,
};
use serde_json::json;

/// `value_bytes` of the store is 1,048,576; the entry is below it.
const ENTRY_BYTES: usize = 1_030_000;
/// `down_s` of `kill_all` in the site file.
const DOWN: Duration = Duration::from_millis(710);
/// `recovery_s` of the deployment.
const RECOVERY: Duration = Duration::from_secs(12);
/// Name of another writer's entry.
const ENTRY: &str = "a spare";
const REQUESTS: usize = 60;

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let has_entry = !is_calm() && std::env::var("ENTRY").map_or(true, |value| value != "0");
    let desk = Server::start("desk-1", "desk");
    let mut site = Site::start_behind(
        &["bne-north", "bne-south", "gc-hall"],
        2,
        &[KEY],
        start_paging,
    );
    site.platform
        .store
        .put("servers", &desk.id, desk.entry("ready"));
    site.put_config_with(&[KEY], "desk", &[]);
    thread::sleep(STABLE);
    let send_all = |site: &Site, name: &str| -> usize {
        let mut served = 0;
        for number in 0..REQUESTS {
            let gateway = &site.gateways[number % site.gateways.len()];
            let id = format!("{name}-{number}");
            let text = request_text(&id, "/once/", KEY, 2_500);
            let answer = exchange(gateway.callers, &text, Duration::from_secs(3));
            record.line(format!(
                "request {id} to {}: {}",
                gateway.name, answer.status
            ));
            served += usize::from(answer.status == 200 && answer.is_whole);
            thread::sleep(Duration::from_millis(30));
        }
        record.line(format!("{served} of {REQUESTS} {name} were served"));
        served
    };
    let before = send_all(&site, "before");
    if has_entry {
        record.line(format!("another writer's entry '{ENTRY}' of {ENTRY_BYTES} bytes, without the fields of a server"));
        let note = "x".repeat(ENTRY_BYTES);
        site.platform
            .store
            .put("servers", ENTRY, json!({ "note": note }));
        thread::sleep(STABLE);
        send_all(&site, "with-the-entry");
    }
    if !is_calm() {
        record.line("all processes are killed");
        site.gateways.iter_mut().for_each(Gateway::kill);
        thread::sleep(DOWN);
        site.gateways.iter_mut().for_each(Gateway::start);
        record.line("all processes are started again");
    }
    let back_at = Instant::now();
    while back_at.elapsed() < RECOVERY {
        thread::sleep(Duration::from_secs(1));
        let ready = site
            .gateways
            .iter()
            .filter(|gateway| gateway.is_ready())
            .count();
        record.line(format!(
            "{ready} of {} gateways are ready",
            site.gateways.len()
        ));
    }
    let after = send_all(&site, "after");
    if 4 * before < REQUESTS {
        finish(2, &site);
    }
    finish(i32::from(4 * after < REQUESTS), &site);
}
