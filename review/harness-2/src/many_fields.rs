//! Requests of a few hundred bytes whose heads are made of many short fields, one at a time in calm.

use std::{path::Path, thread, time::Duration};

use jacinthpoint_platform_standins::{PlainService, Platform, RequestLimits};
use serde_json::json;

use crate::{
    CaseResult,
    caller::{HOST, KEY, send},
    gateway::{Folder, Machine, loopback},
    record::Record,
};

/// Number of requests.
const REQUESTS: usize = 100;
/// Fields of each request beside those that all requests have.
const FIELDS: usize = 120;
/// The same without the disruption.
const FEW_FIELDS: usize = 20;
/// `max_header_bytes` of the configuration.
const MAX_HEADER_BYTES: usize = 16_384;

/// Runs the case.
pub fn run(program: &Path, has_trouble: bool, record: &mut Record) -> CaseResult {
    let platform = Platform::start(Vec::new());
    // The stand-in's configuration has the limits of the pages' example: 16,384 bytes of header.
    platform.store.put_config(
        json!([{ "name": "r-1", "host": HOST, "path_prefix": "/first/", "kind": "non_idempotent",
            "timeout_ms": 2500, "slo_ms": 150, "priority": 1, "service": "plain", "attempts": 1,
            "public": false }]),
        json!([PlainService::service("plain")]),
        json!([{ "name": "hule930", "api_keys": [KEY], "priority": 1 }]),
        RequestLimits::default(),
    );
    let folder = Folder::new()?;
    let mut machine = Machine::new(
        &folder,
        "front-z1-1",
        loopback(1, 1),
        platform.store.address,
        true,
    )?;
    machine.start(program)?;
    if !machine.wait_until_ready(Duration::from_secs(15)) {
        return Err("the gateway is not ready".to_owned());
    }
    let count = if has_trouble { FIELDS } else { FEW_FIELDS };
    let fields: String = (0..count).map(|n| format!("x-{n}: 1\r\n")).collect();
    let (mut denied, mut served) = (0, 0);
    for number in 0..REQUESTS {
        let request = format!(
            "POST /first/{number} HTTP/1.1\r\nHost: {HOST}\r\n\
             Jacinthpoint-Attempt-Id: {number:016x}\r\nApi-Key: {KEY}\r\n\
             Jacinthpoint-Deadline-Ms: 2500\r\n{fields}Content-Length: 4\r\n\r\nbody"
        );
        if request.len() > MAX_HEADER_BYTES {
            return Err("the request is over the limit".to_owned());
        }
        let answer = send(machine.callers(), &request, Duration::from_millis(2_500));
        let text = format!(
            "request {number:016x}, {} bytes and {} fields, answered {}, whole {}",
            request.len(),
            count + 5,
            answer.status,
            answer.is_whole
        );
        record.line_at(answer.sent_at, &text);
        let is_denial = answer.status / 100 == 3 || answer.status / 100 == 4;
        denied += usize::from(is_denial && ![408, 421, 429].contains(&answer.status));
        served += usize::from(answer.is_served());
        thread::sleep(Duration::from_millis(50));
    }
    for run in platform.runs.all() {
        record.line_at(run.at, &format!("{} runs {}", run.upstream, run.attempt_id));
    }
    let text = format!("{served} of {REQUESTS} requests served, {denied} denied");
    record.line(&text);
    println!("{text}");
    if served + denied < REQUESTS / 2 {
        return Err("too few requests were served or denied".to_owned());
    }
    Ok(denied <= 5 + REQUESTS / 500)
}
