//! A crowd sends requests of legal size to one gateway, many at once. The platform kills a process that uses
//! more than the memory of its machine.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform_standins::{
    EngineSpec, Engines, PlainFault, PlainService, Platform, RequestLimits,
};
use serde_json::json;

use crate::{
    CaseResult,
    caller::{HOST, KEY, is_whole},
    gateway::{Folder, Limits, Machine, loopback},
    record::Record,
};

/// The smaller machines of `demands/bvst-router-grown.toml`.
const SMALL: Limits = Limits {
    descriptors: 2_870,
    memory_mb: 112,
    core_share: 0.084,
    link_mbps: 14.0,
};
/// Callers of the crowd; the gateway takes 1,310 connections with these limits.
const CROWD: usize = 1_280;
/// The same without the disruption.
const FEW: usize = 20;
/// Ordinary callers, whose requests may run only once.
const ORDINARY: usize = 10;
/// Servers, in groups of two.
const SERVERS: usize = 84;
/// Length of the body of a request of the crowd. The configuration allows 65,536.
const BODY_BYTES: usize = 20_000;
/// Events of a stream and the time between two.
const EVENTS: u64 = 60;
const EVENT_MS: u64 = 100;
/// Time that the plain service takes for the second request of an ordinary caller.
const PLAIN_MS: u64 = 4_000;
/// Time in which all callers connect and get the answer to their first request.
const CONNECTING: Duration = Duration::from_secs(5);
/// Time between the second requests of two callers of the crowd.
const INTERVAL: Duration = Duration::from_millis(1);

/// What a caller got on one connection.
#[derive(Debug, Clone)]
struct Outcome {
    name: String,
    sent_at: Instant,
    /// Status of the second request; 0 without a head.
    status: u16,
    is_whole: bool,
    /// Whether the connection ended before the answer, and not by the caller.
    is_closed: bool,
}

/// Reads an answer; returns its text and whether the connection ended first.
fn read_answer(stream: &mut TcpStream, until: Instant) -> (String, bool) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let left = until.saturating_duration_since(Instant::now());
        if is_whole(&text) || left.is_zero() {
            return (text, false);
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return (text, false),
            Ok(0) | Err(_) => return (text, true),
        }
    }
}

fn head(method_and_path: &str, id: &str, length: usize) -> String {
    format!(
        "{method_and_path} HTTP/1.1\r\nHost: {HOST}\r\nJacinthpoint-Attempt-Id: {id}\r\n\
         Api-Key: {KEY}\r\nJacinthpoint-Deadline-Ms: 8000\r\nContent-Length: {length}\r\n"
    )
}

/// Opens a connection, sends a short request on it, waits for the answer, and sends `second` at `second_at`. Returns
/// `None` if the first one is not served.
fn call_twice(
    address: SocketAddr,
    name: &str,
    second: &str,
    second_at: Instant,
) -> Option<Outcome> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
    let first = head("GET /first/x", &format!("{name}-1"), 0) + "\r\n";
    stream.write_all(first.as_bytes()).ok()?;
    let (text, _) = read_answer(&mut stream, Instant::now() + Duration::from_secs(7));
    text.starts_with("HTTP/1.1 200").then_some(())?;
    thread::sleep(second_at.saturating_duration_since(Instant::now()));
    let sent_at = Instant::now();
    stream.write_all(second.as_bytes()).ok()?;
    let (text, is_closed) = read_answer(&mut stream, sent_at + Duration::from_secs(9));
    let status = text.strip_prefix("HTTP/1.1 ");
    let status = status.and_then(|rest| rest.get(..3)?.parse().ok());
    Some(Outcome {
        name: name.to_owned(),
        sent_at,
        status: status.unwrap_or(0),
        is_whole: is_whole(&text),
        is_closed,
    })
}

/// Runs the case.
pub fn run(program: &Path, has_trouble: bool, record: &mut Record) -> CaseResult {
    let specs = (0..SERVERS).map(|index| EngineSpec {
        id: format!("i-{index}"),
        domain: format!("d{}", index / 18),
        data_centre: "z1".to_owned(),
    });
    let platform = Platform::start(specs.collect());
    platform.engines.set_stream(EVENTS, EVENT_MS);
    let route = |name: &str, path: &str, kind: &str, service: &str, is_stream: bool| {
        json!({ "name": name, "host": HOST, "path_prefix": path, "kind": kind, "timeout_ms": 8000,
            "slo_ms": 500, "priority": 1, "service": service, "attempts": 1, "public": false,
            "sticky": is_stream, "resumable": is_stream, "gap_target_ms": 300 })
    };
    platform.store.put_config(
        json!([
            route("r-1", "/first/", "idempotent", "plain", false),
            route("r-2", "/once/", "non_idempotent", "plain", false),
            route("r-3", "/stream/", "stream", "engines", true),
        ]),
        json!([
            Engines::service("engines", 2),
            PlainService::service("plain")
        ]),
        json!([{ "name": "hule930", "api_keys": [KEY], "priority": 1 }]),
        RequestLimits::default(),
    );
    let folder = Folder::new()?;
    let store = platform.store.address;
    let mut machine = Machine::new(&folder, "front-z1-1", loopback(1, 1), store, true)?;
    machine.set_limits(SMALL, true)?;
    machine.start(program)?;
    if !machine.wait_until_ready(Duration::from_secs(15)) {
        return Err("the gateway is not ready".to_owned());
    }
    let until = Instant::now() + Duration::from_secs(20);
    while platform.engines.open_groups().len() < SERVERS / 2 {
        if Instant::now() > until {
            return Err("the groups are not open".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(2));
    record.line("the gateway is ready and all groups are open");

    let address = machine.callers();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut callers = Vec::new();
    let mut start = |name: String, second: String, second_at: Instant| {
        let outcomes = outcomes.clone();
        let caller = thread::Builder::new()
            .stack_size(128 * 1_024)
            .spawn(move || {
                if let Some(outcome) = call_twice(address, &name, &second, second_at) {
                    outcomes.lock().expect("no panic").push(outcome);
                }
            });
        caller
            .map(|caller| callers.push(caller))
            .map_err(|error| error.to_string())
    };
    let crowd = if has_trouble { CROWD } else { FEW };
    let second_at = Instant::now() + CONNECTING;
    for number in 0..ORDINARY {
        let name = format!("o{number:07x}");
        let second = head("POST /once/x", &format!("{name}-2"), 5) + "\r\norder";
        start(name, second, second_at)?;
    }
    for number in 0..crowd {
        let name = format!("c{number:07x}");
        let second = head("POST /stream/x", &format!("{name}-2"), BODY_BYTES)
            + &format!(
                "Jacinthpoint-Model: model-a\r\nJacinthpoint-Token-Usage: 50,300\r\n\
                 Jacinthpoint-Prompt-Prefix: {:x}:50\r\n\r\n{}",
                0x100_0000 + number,
                "p".repeat(BODY_BYTES)
            );
        let delay = INTERVAL * u32::try_from(number).unwrap_or(0);
        start(name, second, second_at + Duration::from_millis(100) + delay)?;
        if number % 10 == 9 {
            thread::sleep(Duration::from_millis(20));
        }
    }
    thread::sleep(
        (second_at - Duration::from_millis(200)).saturating_duration_since(Instant::now()),
    );
    platform.plain.set_fault(PlainFault::Slow(PLAIN_MS));
    record.line("all callers have come, and the first requests are answered");
    let (mut peak_kb, mut is_killed) = (0, false);
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until && !is_killed {
        let memory_kb = machine.memory_kb();
        peak_kb = peak_kb.max(memory_kb);
        if memory_kb > SMALL.memory_mb * 1_024 {
            let open = platform.engines.open_streams();
            record.line(&format!(
                "the gateway uses {memory_kb} kB with {open} open streams and is killed"
            ));
            machine.kill();
            is_killed = true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    for caller in callers {
        caller.join().map_err(|_| "a caller panicked")?;
    }
    let outcomes = outcomes.lock().expect("no panic").clone();
    let runs = platform.runs.all();
    let (mut closed, mut cut) = (0, 0);
    for outcome in &outcomes {
        let id = format!("{}-2", outcome.name);
        let has_run = runs.iter().any(|run| run.attempt_id == id);
        let is_lost = has_run && outcome.is_closed && outcome.status == 0;
        closed += usize::from(is_lost);
        cut += usize::from(has_run && outcome.status != 0 && !outcome.is_whole);
        record.line_at(
            outcome.sent_at,
            &format!(
                "request {id} on a kept connection answered {}, whole {}, closed {}, run {has_run}",
                outcome.status, outcome.is_whole, outcome.is_closed
            ),
        );
    }
    let ordinary = outcomes
        .iter()
        .filter(|outcome| outcome.name.starts_with('o'));
    let ordinary_lost = ordinary.filter(|outcome| !outcome.is_whole).count();
    let text = format!(
        "{} requests on kept connections, peak {peak_kb} kB of {} kB; of those that ran, {closed} got no \
         answer and {cut} a part of one; {ordinary_lost} of the {ORDINARY} ordinary ones got none",
        outcomes.len(),
        SMALL.memory_mb * 1_024
    );
    record.line(&text);
    println!("{text}");
    if outcomes.len() < crowd / 2 {
        return Err("too few requests were sent".to_owned());
    }
    Ok(closed <= 3)
}
