//! Loads real nodes with open-loop arrivals.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    load::{
        arrivals::Arrival,
        report::{Ended, Report},
    },
    wall_ms,
};

/// Requests on their way at once; more are counted as failed, so that a stuck node cannot fill the
/// machine with threads.
const MAX_IN_FLIGHT: usize = 400;
/// Time beyond the patience after which a caller gives up reading.
const GRACE_MS: u64 = 2_000;

/// Where the load goes.
#[derive(Debug, Clone)]
pub struct OpenLoop {
    /// Callers' addresses of the nodes, each with its share of the arrivals.
    pub nodes: Vec<(SocketAddr, f64)>,
    /// Key of the organisation that asks.
    pub key: String,
    /// Model to ask for.
    pub model: String,
}

/// Sends arrivals when they are due, and reports once all have ended.
pub fn send_open_loop(target: &OpenLoop, arrivals: &[Arrival]) -> Report {
    let report = Arc::new(Mutex::new(Report::default()));
    let start = Instant::now();
    let total: f64 = target.nodes.iter().map(|(_, weight)| weight).sum();
    let mut sent: Vec<f64> = vec![0.0; target.nodes.len()];
    let mut callers = Vec::new();
    for arrival in arrivals {
        let due = Duration::from_millis(arrival.at_ms);
        thread::sleep(due.saturating_sub(start.elapsed()));
        callers.retain(|caller: &thread::JoinHandle<()>| !caller.is_finished());
        if callers.len() >= MAX_IN_FLIGHT {
            take(&report, arrival, Ended::Failed);
            continue;
        }
        let node = next_node(target, total, &mut sent);
        let (target, arrival, report) = (target.clone(), arrival.clone(), report.clone());
        callers.push(thread::spawn(move || {
            let ended = call(&target, node, &arrival);
            take(&report, &arrival, ended);
        }));
    }
    for caller in callers {
        // A caller that panicked has reported nothing, which the sums show.
        let _ = caller.join();
    }
    let report = report.lock().unwrap_or_else(PoisonError::into_inner);
    report.clone()
}

/// The node that is furthest behind its share.
fn next_node(target: &OpenLoop, total: f64, sent: &mut [f64]) -> SocketAddr {
    let behind = |index: &usize| sent[*index] / (target.nodes[*index].1 / total).max(1e-9);
    let index = (0..target.nodes.len())
        .min_by(|a, b| behind(a).total_cmp(&behind(b)))
        .expect("there is a node");
    sent[index] += 1.0;
    target.nodes[index].0
}

fn take(report: &Mutex<Report>, arrival: &Arrival, ended: Ended) {
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
    report.take(&arrival.organisation, arrival.priority, ended);
}

fn call(target: &OpenLoop, node: SocketAddr, arrival: &Arrival) -> Ended {
    let sent_at = Instant::now();
    let body = json!({
        "model": target.model,
        "prompt": format!("prefix {} of {}", arrival.prefix, arrival.at_ms),
        "max_tokens": arrival.answer_tokens,
        "stream": true,
    });
    let deadline_unix_ms = wall_ms() + arrival.patience_ms;
    let answer = attohttpc::post(format!("http://{node}/v1/completions"))
        .read_timeout(Duration::from_millis(arrival.patience_ms + GRACE_MS))
        .header("authorization", format!("Bearer {}", target.key))
        .header("x-priority", arrival.priority.to_string())
        .header("x-deadline-unix-ms", deadline_unix_ms.to_string())
        .json(&body)
        .and_then(|request| request.send());
    let Ok(answer) = answer else {
        return Ended::Failed;
    };
    match answer.status().as_u16() {
        200 => {}
        429 => return Ended::Paced,
        503 => {
            let after_ms = sent_at.elapsed().as_millis() as u64;
            return Ended::Shed { after_ms };
        }
        _ => return Ended::Failed,
    }
    let first_token_ms = sent_at.elapsed().as_millis() as u64;
    let is_whole = answer
        .text()
        .is_ok_and(|text| text.contains(": outcome answered"));
    let is_in_time = sent_at.elapsed().as_millis() as u64 <= arrival.patience_ms;
    match (is_whole, is_in_time) {
        (true, true) => Ended::InTime { first_token_ms },
        (true, false) => Ended::Late { first_token_ms },
        (false, _) => Ended::Failed,
    }
}
