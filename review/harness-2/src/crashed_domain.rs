//! All model servers of the one fabric domain crash and start again. All prompts of the application that
//! they serve begin with the same part. Its route was added later than that of a plain service.

use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::{
    EngineFault, EngineSpec, Engines, PlainService, Platform, RequestLimits,
};
use serde_json::{Value, json};

use crate::{
    CaseResult,
    caller::{Answer, HOST, KEY, send},
    gateway::{Folder, Machine, loopback},
    record::Record,
};

/// Gateways in front of the servers.
const GATEWAYS: usize = 2;
/// Servers of the domain, two in each group.
const SERVERS: usize = 8;
const GROUP_SIZE: usize = 2;
/// Part that all prompts share: the system prompt of the application.
const SHARED_PART: &str = "5c1e07a2";
/// Time between two requests of all callers together.
const INTERVAL: Duration = Duration::from_millis(10);
/// One request in this many is for the plain service.
const PLAIN_EVERY: usize = 5;
/// Time for which requests are counted before the crash.
const BEFORE: Duration = Duration::from_secs(8);
/// Time for which the servers are down.
const DOWN: Duration = Duration::from_millis(4_500);
/// Three heartbeats, after which the entry of a silent server is removed.
const ENTRY_EXPIRES: Duration = Duration::from_millis(3_600);
/// Time after the groups are open again from which on the state is steady: three times `stable_ms`.
const SETTLED: Duration = Duration::from_secs(9);
/// Time for which requests are counted after that.
const COUNTED: Duration = Duration::from_secs(20);

/// Returns whether the request with this number is for the plain service.
fn is_plain(number: usize) -> bool {
    number % PLAIN_EVERY == 0
}

fn request(number: usize) -> String {
    let common = format!(
        "Host: {HOST}\r\nJacinthpoint-Attempt-Id: {number:016x}\r\nApi-Key: {KEY}\r\n\
         Jacinthpoint-Deadline-Ms: 6000\r\n"
    );
    if is_plain(number) {
        return format!("GET /first/{number} HTTP/1.1\r\n{common}\r\n");
    }
    format!(
        "POST /added/x HTTP/1.1\r\n{common}Jacinthpoint-Model: model-a\r\n\
         Jacinthpoint-Token-Usage: 340,25\r\n\
         Jacinthpoint-Prompt-Prefix: {SHARED_PART}:40,{:x}:300\r\n\
         Content-Length: 6\r\n\r\nprompt",
        0x100_0000 + number,
    )
}

/// Writes the next version of the configuration with these routes.
fn put_config(platform: &Platform, routes: Value) {
    platform.store.put_config(
        routes,
        json!([
            Engines::service("engines", GROUP_SIZE),
            PlainService::service("plain")
        ]),
        json!([{ "name": "hule930", "api_keys": [KEY], "priority": 1 }]),
        RequestLimits::default(),
    );
}

/// Requests that were sent in a span.
#[derive(Debug, Clone, Copy)]
struct Span {
    from: Instant,
    until: Instant,
}

impl Span {
    /// Returns how many of the requests of a route were served, and how many there were.
    fn count(&self, answers: &[(usize, Answer)], of_plain: bool) -> (u32, u32) {
        let counted = answers.iter().filter(|(number, answer)| {
            is_plain(*number) == of_plain
                && answer.sent_at >= self.from
                && answer.sent_at < self.until
        });
        counted.fold((0, 0), |(served, all), (_, answer)| {
            (served + u32::from(answer.is_served()), all + 1)
        })
    }
}

fn share((served, all): (u32, u32)) -> f64 {
    f64::from(served) / f64::from(all.max(1))
}

fn wait_for_groups(platform: &Platform) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs(20);
    while platform.engines.open_groups().len() < SERVERS / GROUP_SIZE {
        if Instant::now() > until {
            return Err("the groups are not open".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Runs the case.
pub fn run(program: &Path, has_trouble: bool, record: &mut Record) -> CaseResult {
    let specs = (0..SERVERS).map(|index| EngineSpec {
        id: format!("i-{index}"),
        domain: "d0".to_owned(),
        data_centre: "z1".to_owned(),
    });
    let platform = Platform::start(specs.collect());
    // As many events as the shortest stream of the sheets has, one each 100 ms.
    platform.engines.set_stream(5, 100);
    let first = json!({ "name": "r-1", "host": HOST, "path_prefix": "/first/",
        "kind": "idempotent", "timeout_ms": 6000, "slo_ms": 500, "priority": 1, "service": "plain",
        "attempts": 2, "public": false });
    let added = json!({ "name": "r-2", "host": HOST, "path_prefix": "/added/", "kind": "stream",
        "timeout_ms": 6000, "slo_ms": 500, "priority": 1, "service": "engines", "attempts": 2,
        "public": false, "sticky": true, "resumable": true, "gap_target_ms": 300 });
    put_config(&platform, json!([first]));
    let folder = Folder::new()?;
    let mut machines = Vec::new();
    for index in 0..GATEWAYS {
        let ip = loopback(1, 1 + index);
        let name = format!("front-z1-{}", index + 1);
        let mut machine = Machine::new(&folder, &name, ip, platform.store.address, true)?;
        machine.start(program)?;
        machines.push(machine);
    }
    let limit = Duration::from_secs(15);
    if !machines
        .iter()
        .all(|machine| machine.wait_until_ready(limit))
    {
        return Err("a gateway is not ready".to_owned());
    }
    put_config(&platform, json!([first, added]));
    record.line("a configuration adds the route /added/");
    wait_for_groups(&platform)?;
    thread::sleep(Duration::from_secs(4));
    record.line("all gateways are ready and all groups open");

    let answers: Arc<Mutex<Vec<(usize, Answer)>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let traffic = {
        let addresses: Vec<_> = machines.iter().map(Machine::callers).collect();
        let (answers, is_over) = (answers.clone(), is_over.clone());
        thread::spawn(move || {
            let mut callers = Vec::new();
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let (address, answers) = (addresses[number % addresses.len()], answers.clone());
                callers.push(thread::spawn(move || {
                    let answer = send(address, &request(number), Duration::from_secs(6));
                    answers.lock().expect("no panic").push((number, answer));
                }));
                callers.retain(|caller| !caller.is_finished());
                thread::sleep(INTERVAL);
            }
            for caller in callers {
                caller.join().expect("no panic");
            }
        })
    };

    let began = Instant::now();
    thread::sleep(BEFORE);
    let before = Span {
        from: began,
        until: Instant::now() - Duration::from_secs(1),
    };
    if has_trouble {
        let crashed_at = Instant::now();
        for id in platform.engines.ids() {
            platform.engines.set_fault(&id, EngineFault::Dead);
        }
        record.line("all servers of the domain d0 crash");
        thread::sleep(ENTRY_EXPIRES);
        for id in platform.engines.ids() {
            platform.store.remove(paths::UPSTREAM_KIND, &id);
        }
        record.line("their entries are removed");
        thread::sleep((crashed_at + DOWN).saturating_duration_since(Instant::now()));
        for id in platform.engines.ids() {
            platform.engines.set_fault(&id, EngineFault::None);
        }
        record.line("the servers have started again");
    }
    wait_for_groups(&platform)?;
    record.line("all groups are open");
    thread::sleep(SETTLED);
    let from = Instant::now();
    thread::sleep(COUNTED);
    let after = Span {
        from,
        until: Instant::now(),
    };
    is_over.store(true, Ordering::Relaxed);
    traffic.join().map_err(|_| "the traffic ended")?;

    let mut answers = answers.lock().expect("no panic").clone();
    answers.sort_by_key(|(number, _)| *number);
    for (number, answer) in &answers {
        let route = if is_plain(*number) {
            "/first/"
        } else {
            "/added/"
        };
        let refusal = answer.text.split("\r\n\r\n").nth(1).unwrap_or_default();
        let refusal = if answer.is_served() || answer.status == 200 {
            ""
        } else {
            refusal
        };
        let text = format!(
            "request {number:016x} {route} answered {}, whole {} {refusal}",
            answer.status, answer.is_whole
        );
        record.line_at(answer.sent_at, &text);
    }
    for run in platform.runs.all() {
        record.line_at(run.at, &format!("{} runs {}", run.upstream, run.attempt_id));
    }
    let suspicions = platform.store.get_content("prompt-suspicions", SHARED_PART);
    record.line(&format!(
        "the store's record of {SHARED_PART}: {suspicions:?}"
    ));
    let groups = platform.engines.open_groups().len();
    record.line(&format!(
        "open groups at the end: {groups} of {}",
        SERVERS / GROUP_SIZE
    ));
    let mut shares = Vec::new();
    for (name, span) in [("before", before), ("after", after)] {
        for (route, of_plain) in [("/first/", true), ("/added/", false)] {
            let (served, all) = span.count(&answers, of_plain);
            let text = format!("{name}: {served} of {all} requests on {route} served");
            record.line(&text);
            println!("{text}");
            shares.push((share((served, all)), all));
        }
    }
    let [first_before, added_before, first_after, added_after] = shares.as_slice() else {
        return Err("a share is missing".to_owned());
    };
    if first_before.0 < 0.9 || added_before.0 < 0.9 || first_after.0 < 0.9 || added_after.1 < 20 {
        return Err("too little was served for a comparison".to_owned());
    }
    Ok(added_after.0 >= first_after.0 / 4.0)
}
