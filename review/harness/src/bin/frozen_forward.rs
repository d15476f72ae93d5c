//! A gateway passes streams of another gateway on to its clients. The other one freezes, and the streams have
//! no end at their route's timeout.

use std::{
    thread,
    time::{Duration, Instant},
};

use review_harness::{Answer, KEY, Record, STABLE, Site, exchange, finish, is_calm, request_text};

const TIMEOUT_MS: u64 = 2_500;
/// Time after the timeout by which a request must have its final answer.
const SLACK: Duration = Duration::from_millis(500);
/// Longest freeze: `for_s` of `node_freeze` in the site file.
const FREEZE: Duration = Duration::from_millis(3_500);
const STREAMS: usize = 32;

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let site = Site::start(&["bne-north", "bne-south", "gc-hall"], 4, &[KEY]);
    site.put_config_of(&[KEY], "plain", TIMEOUT_MS, &[]);
    thread::sleep(STABLE);
    let sender = &site.gateways[0];
    let frozen = &site.gateways[1];
    let address = sender.callers;
    if !is_calm() {
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
                let id = format!("met-{route}-{number}");
                let text = request_text(&id, &format!("/{route}/"), KEY, 2_500);
                exchange(address, &text, Duration::from_secs(3));
            }
            thread::sleep(Duration::from_millis(30));
        }
    }
    // Streams that last longer than the route's timeout.
    site.platform.engines.set_stream(40, 200);
    let threads: Vec<_> = (0..STREAMS)
        .map(|number| {
            thread::spawn(move || {
                let text = request_text(&format!("stream-{number}"), "/stream/", KEY, 8_000);
                exchange(address, &text, Duration::from_secs(8))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    if !is_calm() {
        record.line(format!("{} freezes", frozen.name));
        frozen.signal("STOP");
    }
    thread::sleep(FREEZE);
    frozen.signal("CONT");
    record.line(format!("{} runs", frozen.name));
    let answers: Vec<Answer> = threads
        .into_iter()
        .map(|t| t.join().expect("no panic"))
        .collect();
    let limit = Duration::from_millis(TIMEOUT_MS) + SLACK;
    let begun = answers.iter().filter(|answer| answer.status == 200).count();
    let late = answers
        .iter()
        .filter(|answer| answer.status == 200 && answer.elapsed > limit)
        .count();
    for (number, answer) in answers.iter().enumerate() {
        record.line(format!(
            "request stream-{number}: status {}, ended after {:.2} s, whole: {}",
            answer.status,
            answer.elapsed.as_secs_f64(),
            answer.is_whole
        ));
    }
    record.line(format!(
        "{late} of {begun} streams had no end {} ms after their route's timeout of {TIMEOUT_MS} ms",
        SLACK.as_millis()
    ));
    if begun < 16 {
        finish(2, &site);
    }
    finish(i32::from(late >= 8 && 4 * late > begun), &site);
}
