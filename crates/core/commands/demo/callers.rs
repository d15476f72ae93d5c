//! Sends the demo's requests and checks the answers, as a caller does.

use std::{net::SocketAddr, thread, time::Duration};

use jacinthpoint_standins::text;
use jacinthpoint_types::RequestId;
use serde_json::{Value, json};

use crate::commands::demo::KEYS;

/// One in this many requests goes to the plain service and is non-idempotent.
const SERVICE_REQUEST_INTERVAL: usize = 5;
/// Number of tokens in an answer.
const ANSWER_TOKENS: u64 = 24;
/// Maximum number of attempts of a request; only an attempt with outcome `not-run` is retried.
const MAX_ATTEMPTS: usize = 30;

/// Result of one request as its caller sees it.
pub(super) struct RequestResult {
    /// Whether a node accepted the request, or may have.
    pub(super) accepted: bool,
    /// Whether the complete and correct answer to this request arrived.
    pub(super) answered: bool,
    /// Ids of the attempts of a non-idempotent request, else empty. The nodes treat each id as a
    /// request of its own.
    pub(super) non_idempotent_ids: Vec<String>,
}

/// Sends one request until its outcome is not `not-run`, at most [`MAX_ATTEMPTS`] times. Each
/// attempt goes to the next node under a new id.
pub(super) fn send_until_accepted(nodes: &[SocketAddr], number: usize) -> RequestResult {
    let mut result = RequestResult {
        accepted: false,
        answered: false,
        non_idempotent_ids: Vec::new(),
    };
    for attempt in 0..MAX_ATTEMPTS {
        let request = RequestId::new();
        let node = nodes[(number + attempt) % nodes.len()];
        let is_service = number.is_multiple_of(SERVICE_REQUEST_INTERVAL);
        let prompt = format!("request {number}");
        if is_service {
            result.non_idempotent_ids.push(request.to_string());
        }
        let response = send_attempt(node, number, request, is_service, &prompt);
        let Ok((outcome, body)) = response else {
            // Without an answer, the node may have run the request: counted as accepted and lost.
            result.accepted = true;
            return result;
        };
        if outcome != "not-run" {
            result.accepted = true;
            result.answered = outcome == "answered" && is_answer_to(&body, is_service, &prompt);
            return result;
        }
        thread::sleep(Duration::from_millis(200));
    }
    result
}

/// Sends one attempt and returns its outcome and the answer's body.
fn send_attempt(
    node: SocketAddr,
    number: usize,
    request: RequestId,
    is_service: bool,
    prompt: &str,
) -> Result<(String, Value), attohttpc::Error> {
    let (path, body) = if is_service {
        ("/services/enquiries/send", json!({ "text": prompt }))
    } else {
        let body = json!({ "model": "jp-model", "prompt": prompt, "max_tokens": ANSWER_TOKENS });
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

/// Returns whether `body` is the answer to `prompt`, so that an answer to another request is
/// noticed.
fn is_answer_to(body: &Value, is_service: bool, prompt: &str) -> bool {
    if is_service {
        let echo = body["echo"]
            .as_str()
            .and_then(|echo| serde_json::from_str::<Value>(echo).ok());
        return echo == Some(json!({ "text": prompt }));
    }
    body["choices"][0]["text"] == text::answer("jp-model@v1", prompt, ANSWER_TOKENS)
}
