//! During an upgrade, a gateway of the present build reaches no server and passes requests on to gateways of
//! an earlier build, which know no such requests.

use std::{
    thread,
    time::{Duration, Instant},
};

use review_harness::{
    KEY, PRESENT_BUILD, Record, STABLE, Server, Site, exchange, finish, is_calm, request_text,
};

/// Program of the last commit of landing 8.
const EARLIER_BUILD: &str = "target/review-earlier/7bf3b52/target/release/jacinthpoint";
/// Time in which a stopped gateway ends: `grace_s`.
const GRACE: Duration = Duration::from_secs(8);
const REQUESTS: usize = 100;

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("the path of the record"));
    let desk = Server::start("desk-1", "desk");
    let zones = ["bne-north", "bne-south", "gc-hall"];
    let mut site = Site::start_build(&zones, 2, &[KEY], |store| store, EARLIER_BUILD);
    site.platform
        .store
        .put("servers", &desk.id, desk.entry("ready"));
    site.put_config_with(&[KEY], "desk", &[]);
    thread::sleep(STABLE);
    let upgraded = &mut site.gateways[0];
    record.line(format!(
        "{} is stopped and starts again as the present build; the others run 7bf3b52",
        upgraded.name
    ));
    upgraded.signal("TERM");
    if !upgraded.wait_for_end(GRACE) {
        finish(2, &site);
    }
    upgraded.program = PRESENT_BUILD;
    upgraded.start();
    site.wait("the upgraded gateway is ready", 15_000, |site| {
        site.gateways[0].is_ready()
    });
    thread::sleep(STABLE + Duration::from_secs(1));
    let sender = &site.gateways[0];
    let send = |id: &str, path: &str| {
        let text = request_text(id, path, KEY, 2_500);
        exchange(sender.callers, &text, Duration::from_secs(4))
    };
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
                let answer = send(&format!("met-{route}-{number}"), &format!("/{route}/"));
                record.line(format!("request met-{route}-{number}: {}", answer.status));
            }
            thread::sleep(Duration::from_millis(30));
        }
    }
    let (mut served, mut denied) = (0, 0);
    for number in 0..REQUESTS {
        let route = ["once", "stream"][number % 2];
        let id = format!("request-{number}");
        let answer = send(&id, &format!("/{route}/"));
        served += usize::from(answer.status == 200 && answer.is_whole);
        denied += usize::from([401, 403, 404].contains(&answer.status));
        record.line(format!(
            "{id} on the route '{route}' to {}: {}",
            sender.name, answer.status
        ));
        thread::sleep(Duration::from_millis(20));
    }
    let may_be = 5 + REQUESTS / 500;
    record.line(format!(
        "{served} of {REQUESTS} were served; {denied} were denied though the configuration allows them, {may_be} may be"
    ));
    finish(i32::from(denied > may_be), &site);
}
