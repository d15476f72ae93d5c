//! The engine's HTTP paths.

use std::{
    io,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_types::{AttemptId, Epoch};
use jacinthpoint_upstream::{ATTEMPT_HEADER, EPOCH_HEADER, GROUP_HEADER, Order, REQUEST_HEADER};
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::{
    engine::{
        EngineFault,
        attempt::{self, Attempt, AttemptRequest, Progress},
        state::{Shared, State},
    },
    http::{header, query, read_body, respond_error, respond_json, write_chunk},
    run_log::{RunRecord, wall_ms},
    text,
};

/// How long a stream waits for its next token before it looks whether the engine still runs.
const TOKEN_WAIT_MS: u64 = 50;

pub(super) fn handle(shared: &Arc<Shared>, request: Request) {
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default().to_owned();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    if parts[0] != "control" {
        shared.wait_while_paused();
    }
    if shared.is_stopped() {
        return hang(request);
    }
    match (request.method(), parts.as_slice()) {
        (Method::Get, ["state"]) => respond_json(request, 200, &shared.report()),
        (Method::Post, ["orders"]) => obey(shared, request),
        (Method::Post, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
            start(shared, request);
        }
        (Method::Get, ["streams", id]) => resume(shared, request, id, &url),
        (Method::Delete, ["streams", id]) => cancel(shared, request, id),
        (Method::Get, ["control", "runlog"]) => respond_json(request, 200, &shared.log.records()),
        (Method::Post, ["control", "fault"]) => set_fault(shared, request),
        _ => respond_error(request, 404, "no such path"),
    }
}

/// Never answers, as a VM that has died.
fn hang(request: Request) {
    drop(request.into_writer());
}

fn set_fault(shared: &Shared, mut request: Request) {
    let body = read_body(&mut request).unwrap_or_default();
    match serde_json::from_slice(&body) {
        Ok(fault) => {
            shared.lock().fault = fault;
            respond_json(request, 200, &json!({}));
        }
        Err(error) => respond_error(request, 400, &error.to_string()),
    }
}

fn obey(shared: &Shared, mut request: Request) {
    let body = read_body(&mut request).unwrap_or_default();
    let order: Order = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(error) => return respond_error(request, 400, &error.to_string()),
    };
    let mut state = shared.lock();
    let highest = state.highest_epoch;
    if shared.options.refuses_old_orders && order.epoch() < highest {
        drop(state);
        return respond_json(request, 409, &json!({ "highest": highest }));
    }
    state.highest_epoch = highest.max(order.epoch());
    match order {
        Order::Serve { assignment } => {
            if state.assignment.as_ref() != Some(&assignment) {
                let loaded = state.loaded.as_ref() == Some(&assignment.model);
                let load = Duration::from_millis(shared.options.load_ms);
                state.load_done_at = (!loaded).then(|| Instant::now() + load);
                state.assignment = Some(assignment);
                state.members_present = false;
            }
        }
        Order::Leave { group, .. } => {
            if state
                .assignment
                .as_ref()
                .is_some_and(|assignment| assignment.group == group)
            {
                state.assignment = None;
                state.members_present = false;
            }
        }
    }
    drop(state);
    respond_json(request, 200, &json!({}));
}

fn start(shared: &Arc<Shared>, mut request: Request) {
    let raw = read_body(&mut request).unwrap_or_default();
    let Ok(body) = serde_json::from_slice::<Value>(&raw) else {
        return respond_error(request, 400, "the body is not JSON");
    };
    if shared.lock().fault == EngineFault::ErrorFast {
        return respond_error(request, 500, "broken");
    }
    if !wait_to_read_start(shared, &request) {
        return hang(request);
    }
    let attempt = match admit(shared, &request, &body) {
        Ok(attempt) => attempt,
        Err(reason) => return respond_error(request, 503, reason),
    };
    shared.log.push(RunRecord {
        request: header(&request, REQUEST_HEADER),
        attempt: attempt.id.to_string(),
        vm: shared.options.vm.to_string(),
        group: header(&request, GROUP_HEADER),
        epoch: attempt.epoch.0,
        members: attempt.members.clone(),
        body: String::from_utf8_lossy(&raw).into_owned(),
        started_wall_ms: wall_ms(),
    });
    let generator = (shared.clone(), attempt.clone());
    thread::spawn(move || attempt::generate(&generator.0, &generator.1));
    let _ = stream(shared, request, &attempt, attempt.first_offset);
}

/// Waits until the engine reads a request that starts an attempt. Returns `false` if it stops before.
fn wait_to_read_start(shared: &Shared, request: &Request) -> bool {
    let id = header(request, ATTEMPT_HEADER).parse().ok();
    let is_late = |state: &State| {
        let is_asked_for = id.is_some_and(|id| state.asked_in_vain.contains(&id));
        state.fault == EngineFault::ReadsStartsLate && !is_asked_for
    };
    while is_late(&shared.lock()) {
        if shared.is_stopped() {
            return false;
        }
        thread::sleep(Duration::from_millis(TOKEN_WAIT_MS));
    }
    true
}

fn admit(shared: &Shared, request: &Request, body: &Value) -> Result<Arc<Attempt>, &'static str> {
    let id: AttemptId = header(request, ATTEMPT_HEADER)
        .parse()
        .map_err(|_| "no attempt id")?;
    let epoch: Epoch = header(request, EPOCH_HEADER)
        .parse()
        .map_err(|_| "no epoch")?;
    let continue_from: Vec<String> =
        serde_json::from_value(body["continue_from"].clone()).unwrap_or_default();
    let mut state = shared.lock();
    state.finish_loading();
    let assignment = state.assignment.as_ref().ok_or("member of no group")?;
    if assignment.group.as_str() != header(request, GROUP_HEADER) || assignment.epoch != epoch {
        return Err("another group or epoch");
    }
    if !shared.is_leader(&state) || !state.is_loaded() {
        return Err("not ready");
    }
    if state.queued as usize >= shared.options.max_queued {
        return Err("queue full");
    }
    if state.attempts.contains_key(&id) {
        return Err("attempt id used before");
    }
    let attempt = Arc::new(Attempt::new(AttemptRequest {
        id,
        epoch,
        members: assignment
            .members
            .iter()
            .map(|member| member.vm.to_string())
            .collect(),
        model: assignment.model.to_string(),
        prompt: text::prompt_of(body),
        total: text::max_tokens_of(body),
        continue_from,
    }));
    state.queued += 1;
    state.attempts.insert(id, attempt.clone());
    Ok(attempt)
}

fn resume(shared: &Shared, request: Request, id: &str, url: &str) {
    let offset: u64 = query(url, "offset")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let id = id.parse().ok();
    let attempt = id.and_then(|id: AttemptId| shared.lock().attempts.get(&id).cloned());
    match attempt {
        Some(attempt) if offset >= attempt.first_offset => {
            let _ = stream(shared, request, &attempt, offset);
        }
        _ => {
            shared.lock().asked_in_vain.extend(id);
            respond_error(request, 404, "no such attempt");
        }
    }
}

fn cancel(shared: &Shared, request: Request, id: &str) {
    let attempt = id
        .parse()
        .ok()
        .and_then(|id: AttemptId| shared.lock().attempts.get(&id).cloned());
    if let Some(attempt) = attempt {
        attempt.fail();
    }
    respond_json(request, 200, &json!({}));
}

fn stream(shared: &Shared, request: Request, attempt: &Attempt, first: u64) -> io::Result<()> {
    let mut writer = request.into_writer();
    writer.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
    )?;
    writer.flush()?;
    let mut offset = first;
    loop {
        shared.wait_while_paused();
        if shared.is_stopped() {
            return Ok(());
        }
        match attempt.token_at(offset, Duration::from_millis(TOKEN_WAIT_MS)) {
            (Some(text), _) => {
                let last = offset + 1 == attempt.total;
                let event = json!({
                    "attempt": attempt.id,
                    "offset": offset,
                    "text": text,
                    "finish_reason": last.then_some("length"),
                });
                write_chunk(&mut *writer, format!("data: {event}\n\n").as_bytes())?;
                offset += 1;
            }
            (None, Progress::Running) => {}
            (None, Progress::Done) => {
                write_chunk(&mut *writer, b"data: [DONE]\n\n")?;
                writer.write_all(b"0\r\n\r\n")?;
                return writer.flush();
            }
            // Ends the chunked body without the end marker.
            (None, Progress::Failed) => {
                writer.write_all(b"0\r\n\r\n")?;
                return writer.flush();
            }
        }
    }
}
