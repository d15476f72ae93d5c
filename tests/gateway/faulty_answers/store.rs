//! Answers of the store with a malformed head.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use jacinthpoint_platform_standins::PlainService;
use serde_json::json;

use crate::gateway::{
    caller::{End, Request},
    endless_answers::{FalseAnswer, start_store_proxy},
    pause_ms,
    site::Site,
};

/// Time for which the store answers so. Gateways ask again several times.
const FAULT_MS: u64 = 2_000;

/// Returns an answer to a watch: the plain service's upstream is removed.
fn removal(status: &str, line: &str) -> String {
    let object = json!({ "metadata": { "name": PlainService::ID, "rev": 1_000_000 }, "spec": {} });
    let events = json!([{ "deleted": true, "object": object }]);
    let body = json!({ "events": events, "as_of": 1_000_000 }).to_string();
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{line}content-length: {length}\r\n\r\n{body}")
}

/// Returns the status of a request to the plain service after the store has given such answers.
fn status_after(answer: FalseAnswer) -> u16 {
    let is_faulty = Arc::new(AtomicBool::new(false));
    let start = |store| start_store_proxy(store, &is_faulty, answer);
    let site = Site::start_behind_store_proxy(1, &start);
    is_faulty.store(true, Ordering::Relaxed);
    pause_ms(FAULT_MS);
    let answer = Request::once("beside").send(site.gateway(0));
    assert_eq!(answer.end, End::Whole);
    answer.status
}

/// Defines tests of answers of the store: name, status, a line of the head, status of a request to an upstream that
/// the answers remove.
macro_rules! removing_answer {
    ($($name:ident: $status:literal, $line:literal => $expected:literal;)+) => {
        $(
            #[test]
            fn $name() {
                let status = status_after(|gateway| {
                    gateway.write_all(removal($status, $line).as_bytes())
                });
                assert_eq!(status, $expected);
            }
        )+
    };
}

// Guards against broken answers of the store that are taken as its state.
removing_answer! {
    sound_answer_of_the_store_removes_an_upstream: "200 OK", "" => 503;
    answer_of_the_store_with_status_000_removes_nothing: "000 OK", "" => 200;
    answer_of_the_store_with_status_600_removes_nothing: "600 OK", "" => 200;
    answer_of_the_store_with_a_blank_in_a_name_removes_nothing: "200 OK", "x fault: 1\r\n" => 200;
    answer_of_the_store_with_a_control_byte_in_a_name_removes_nothing: "200 OK", "x\u{1}fault: 1\r\n" => 200;
    answer_of_the_store_with_a_blank_before_a_colon_removes_nothing: "200 OK", "x-fault : 1\r\n" => 200;
}
