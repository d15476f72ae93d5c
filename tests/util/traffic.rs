//! Callers that go on while a site is disturbed.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use jacinthpoint_standins::wall_ms;
use jacinthpoint_types::{IdempotencyKey, RequestId};

use crate::util::{Answer, Call};

/// Pause of a caller between two requests.
const PAUSE_MS: u64 = 30;
/// Tokens of an answer, by turns: short ones, and some that outlast a fault.
const TOKENS: [u64; 4] = [8, 24, 60, 150];
/// One call of this many is a plain call that may not be repeated.
///
/// The strides below share no factor with each other or with the usual three nodes, so that every
/// node gets every kind of call.
const SERVICE_EVERY: usize = 4;
/// One model call of this many may not be repeated.
const MARKED_EVERY: usize = 5;
/// One model call of this many carries an idempotency key, and is sent again until it is answered.
const KEYED_EVERY: usize = 11;
/// Times that a keyed call is sent.
const MAX_SENDINGS: usize = 4;
/// Of this many model calls, those below [`STREAMED_OF_STRIDE`] are streamed.
const STREAM_STRIDE: usize = 7;
/// See [`STREAM_STRIDE`].
const STREAMED_OF_STRIDE: usize = 4;

/// A request and what its caller saw.
#[derive(Debug, Clone)]
pub struct Sent {
    pub call: Call,
    /// An error means that the connection failed, so that the caller was told nothing.
    pub answer: Result<Answer, String>,
    /// Wall-clock time of the answer's end.
    pub ended_ms: u64,
}

/// Callers in threads of their own, each asking the nodes in turn.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    callers: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts callers. With `service`, part of the calls go to that plain service.
    pub fn start(nodes: &[SocketAddr], callers: usize, service: Option<&'static str>) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(Mutex::new(Vec::new()));
        let next = Arc::new(AtomicUsize::new(0));
        let callers = (0..callers).map(|_| {
            let (stop, sent, next) = (stop.clone(), sent.clone(), next.clone());
            let nodes = nodes.to_vec();
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    for one in send(nth_call(number, service), number, &nodes) {
                        let mut sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
                        sent.push(one);
                    }
                    thread::sleep(Duration::from_millis(PAUSE_MS));
                }
            })
        });
        let callers = callers.collect();
        Traffic {
            stop,
            sent,
            callers,
        }
    }

    /// Number of requests that were answered.
    pub fn answered(&self) -> usize {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.iter()
            .filter(|sent| sent.outcome() == "answered")
            .count()
    }

    /// Lets every caller end its request and gives all of them.
    pub fn finish(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.join().expect("a caller does not panic");
        }
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *sent)
    }
}

impl Sent {
    /// The outcome that the caller was told; empty if none.
    pub fn outcome(&self) -> &str {
        self.answer.as_ref().map_or("", |answer| &answer.outcome)
    }
}

/// Sends a call, a keyed one again at the next node until it is answered.
fn send(call: Call, number: usize, nodes: &[SocketAddr]) -> Vec<Sent> {
    let sendings = if call.is_keyed() { MAX_SENDINGS } else { 1 };
    let mut sent: Vec<Sent> = Vec::new();
    for sending in 0..sendings {
        let call = Call {
            request: RequestId::new(),
            ..call.clone()
        };
        let answer = call.send(nodes[(number + sending) % nodes.len()]);
        sent.push(Sent {
            call,
            answer,
            ended_ms: wall_ms(),
        });
        if sent[sending].outcome() == "answered" {
            break;
        }
        thread::sleep(Duration::from_millis(PAUSE_MS));
    }
    sent
}

fn nth_call(number: usize, service: Option<&'static str>) -> Call {
    let prompt = format!("request {number}");
    if let Some(service) = service.filter(|_| number.is_multiple_of(SERVICE_EVERY)) {
        return Call {
            service: Some(service),
            ..Call::new(&prompt)
        };
    }
    if number.is_multiple_of(KEYED_EVERY) {
        let key = IdempotencyKey::new().to_string();
        return Call {
            headers: vec![("idempotency-key", key)],
            ..Call::new(&prompt)
        };
    }
    Call {
        stream: number % STREAM_STRIDE < STREAMED_OF_STRIDE,
        max_tokens: TOKENS[number / STREAM_STRIDE % TOKENS.len()],
        headers: if number.is_multiple_of(MARKED_EVERY) {
            vec![("x-repeatable", "false".to_owned())]
        } else {
            Vec::new()
        },
        ..Call::new(&prompt)
    }
}
