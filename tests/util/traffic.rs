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
                    let call = nth_call(number, service);
                    let answer = call.send(nodes[number % nodes.len()]);
                    let mut sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
                    sent.push(Sent { call, answer });
                    drop(sent);
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

fn nth_call(number: usize, service: Option<&'static str>) -> Call {
    let prompt = format!("request {number}");
    if let Some(service) = service.filter(|_| number.is_multiple_of(SERVICE_EVERY)) {
        return Call {
            service: Some(service),
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
