//! Calls to control paths and operators' pages.

use std::{net::SocketAddr, time::Duration};

use serde_json::Value;

/// Time for an answer.
const ANSWER_MS: u64 = 10_000;

/// Posts JSON, requires success, and gives the answer.
pub fn post_json(address: SocketAddr, path: &str, body: &Value) -> Value {
    let answer = attohttpc::post(format!("http://{address}{path}"))
        .read_timeout(Duration::from_millis(ANSWER_MS))
        .json(body);
    let answer = answer.and_then(|request| request.send());
    let answer = answer.expect("the stand-in answers");
    assert_eq!(answer.status().as_u16(), 200, "{path}");
    answer.json().expect("a stand-in answers with JSON")
}

/// Gets JSON; null if nothing answers.
pub fn get_json(address: SocketAddr, path: &str) -> Value {
    let answer = attohttpc::get(format!("http://{address}{path}"))
        .read_timeout(Duration::from_millis(ANSWER_MS))
        .send();
    answer.and_then(|answer| answer.json()).unwrap_or_default()
}

/// Status of a page; `None` if nothing answers.
pub fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let answer = attohttpc::get(format!("http://{address}{path}"))
        .read_timeout(Duration::from_millis(ANSWER_MS))
        .send();
    answer.ok().map(|answer| answer.status().as_u16())
}
