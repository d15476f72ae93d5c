//! The demo's callers.

use std::{net::SocketAddr, thread, time::Duration};

use jacinthpoint_standins::text;
use jacinthpoint_types::RequestId;
use serde_json::{Value, json};

use crate::commands::demo::KEYS;

/// Every so many requests goes to the plain service and may not run twice.
const SERVICE_EVERY: usize = 5;
/// Tokens of an answer.
const TOKENS: u64 = 24;
/// Times that a caller comes back after "not run".
const MAX_RETURNS: usize = 30;

/// A caller's view of one request.
pub(super) struct CallerView {
    /// Whether some node took it.
    pub(super) accepted: bool,
    /// Whether its own answer came, whole.
    pub(super) answered: bool,
    /// Ids under which it was sent, if it may not run twice. Each is another request to the nodes.
    pub(super) once_only: Vec<String>,
}

/// Sends one request until it is told anything but that it was not run.
pub(super) fn call(nodes: &[SocketAddr], number: usize) -> CallerView {
    let mut view = CallerView {
        accepted: false,
        answered: false,
        once_only: Vec::new(),
    };
    for turn in 0..MAX_RETURNS {
        let request = RequestId::new();
        let node = nodes[(number + turn) % nodes.len()];
        let is_service = number.is_multiple_of(SERVICE_EVERY);
        let prompt = format!("request {number}");
        if is_service {
            view.once_only.push(request.to_string());
        }
        let sent = send(node, number, request, is_service, &prompt);
        let Ok((outcome, body)) = sent else {
            // The caller cannot know; it counts as accepted and not answered.
            view.accepted = true;
            return view;
        };
        if outcome != "not-run" {
            view.accepted = true;
            view.answered = outcome == "answered" && is_right(&body, is_service, &prompt);
            return view;
        }
        thread::sleep(Duration::from_millis(200));
    }
    view
}

fn send(
    node: SocketAddr,
    number: usize,
    request: RequestId,
    is_service: bool,
    prompt: &str,
) -> Result<(String, Value), attohttpc::Error> {
    let (path, body) = if is_service {
        ("/services/enquiries/send", json!({ "text": prompt }))
    } else {
        let body = json!({ "model": "jp-model", "prompt": prompt, "max_tokens": TOKENS });
        ("/v1/completions", body)
    };
    let key = KEYS[number % KEYS.len()].1;
    let answer = attohttpc::post(format!("http://{node}{path}"))
        .header("authorization", format!("Bearer {key}"))
        .header("x-request-id", request.to_string())
        .json(&body)?
        .send()?;
    let outcome = answer
        .headers()
        .get("x-outcome")
        .and_then(|value| value.to_str().ok());
    let outcome = outcome.unwrap_or_default().to_owned();
    Ok((outcome, answer.json()?))
}

fn is_right(body: &Value, is_service: bool, prompt: &str) -> bool {
    if is_service {
        let echo = body["echo"]
            .as_str()
            .and_then(|echo| serde_json::from_str::<Value>(echo).ok());
        return echo == Some(json!({ "text": prompt }));
    }
    body["choices"][0]["text"] == text::answer("jp-model@v1", prompt, TOKENS)
}
