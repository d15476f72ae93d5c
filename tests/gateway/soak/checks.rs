//! Checks of each answer, at once.

use std::time::Instant;

use jacinthpoint_platform_standins::{PlainService, Platform};

use crate::gateway::{
    caller::{Answer, End, Request},
    kept_caller::Outcome,
    soak::{faults::FaultLog, history::is_permanent},
};

/// A request, and where and when it was sent.
pub struct SentRequest<'a> {
    pub request: &'a Request<'a>,
    pub gateway: usize,
    pub sent_at: Instant,
    /// Number of events of a whole stream.
    pub events: u64,
}

impl SentRequest<'_> {
    pub fn is_stream(&self) -> bool {
        self.request.path == "/stream/"
    }
}

/// Checks what a request got, and its recorded runs, against the gateway's guarantees; panics if one
/// is violated.
pub fn check_outcome(
    sent: &SentRequest<'_>,
    outcome: &Outcome,
    platform: &Platform,
    faults: &FaultLog,
) {
    let id = &sent.request.id;
    let runs = platform.runs.of(id).len();
    check_received(sent, outcome, runs);
    let is_failed =
        matches!(outcome, Outcome::Whole(answer) if [502, 504].contains(&answer.status));
    let is_answered = !is_failed && matches!(outcome, Outcome::Whole(_) | Outcome::NotConnected);
    assert!(
        is_answered || faults.explains(sent),
        "request {id} at gateway {}, sent at {:.3?}, got no whole answer after {:?}, and no fault explains it: \
         {}, {runs} runs",
        sent.gateway,
        faults.since_start(sent.sent_at),
        sent.sent_at.elapsed(),
        outcome.describe()
    );
}

/// Checks what arrived of an answer, whole or not, and the number of runs; panics if a guarantee is violated.
pub fn check_received(sent: &SentRequest<'_>, outcome: &Outcome, runs: usize) {
    let id = &sent.request.id;
    if !sent.is_stream() {
        assert!(runs <= 1, "non-idempotent request {id} ran {runs} times");
    }
    match outcome {
        Outcome::Whole(answer) | Outcome::Cut(answer, _) | Outcome::Left(answer) => {
            check_answer(sent, answer, runs);
        }
        Outcome::Unanswered(_) | Outcome::NotConnected => {}
    }
}

/// Checks what arrived of an answer; panics if it violates a guarantee.
fn check_answer(sent: &SentRequest<'_>, answer: &Answer, runs: usize) {
    let id = &sent.request.id;
    if answer.status == 200 {
        let seal = answer.header("jacinthpoint-server-seal");
        assert!(seal.is_some(), "request {id} has a success of no upstream");
    }
    if let Some(echoed) = answer.header("jacinthpoint-attempt-id") {
        assert_eq!(echoed, id, "an answer to another request arrived");
    }
    match answer.status {
        200 if sent.is_stream() => {
            let events = answer.events();
            let expected: Vec<u64> = (1..=events.len() as u64).collect();
            assert_eq!(
                events, expected,
                "stream {id} lost, repeated or reordered events"
            );
            let is_whole = events.len() as u64 == sent.events;
            assert!(
                answer.end != End::Whole || is_whole,
                "stream {id} ended as complete but not with {} events",
                sent.events
            );
        }
        200 => {
            let is_cut = answer.end != End::Whole;
            assert!(
                is_cut || answer.text() == PlainService::BODY,
                "request {id} received a wrong body"
            );
        }
        429 | 503 => assert!(
            sent.is_stream() || runs == 0,
            "request {id} was refused but ran {runs} times"
        ),
        401 if !is_permanent(sent.request.key) => {
            assert_eq!(runs, 0, "request {id} has no valid key but ran");
        }
        // They promise nothing.
        502 | 504 => {}
        // No head arrived.
        0 => {}
        status => panic!("request {id} got status {status}"),
    }
}
