//! Callers of a soak.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform_standins::Platform;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::gateway::{
    caller::Request,
    kept_caller::{KeptCaller, Outcome},
    site::KEY,
    soak::{
        checks::{SentRequest, check_outcome, check_received},
        faults::FaultLog,
        history::{Exchange, History, UNKNOWN_KEY},
        size::Size,
    },
};

/// Pause of a caller after an answer.
const CALLER_PAUSE_MS: u64 = 10;
/// Time after which callers leave that wait for a whole answer.
const PATIENCE_MS: u64 = 3_000;
/// Shortest and longest time after which a caller leaves that does so on purpose.
const LEAVE_MS: std::ops::RangeInclusive<u64> = 50..=200;
/// Number of requests that a caller with changing keys sends to a gateway before it turns to the next one.
const REQUESTS_A_GATEWAY: usize = 6;

/// What a caller does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// Keeps its connection, stays at one gateway and comes back to it at once, until it is gone.
    Keep,
    /// Opens a connection for each request, to one gateway after another.
    Close,
    /// Does the same, and leaves in the middle of each stream.
    Leave,
    /// Uses keys that come and go. It keeps its connection for some requests, then turns to the next gateway.
    ChangeKeys,
}

/// What the callers of a soak share.
#[derive(Clone)]
pub struct Callers {
    pub size: Size,
    pub platform: Platform,
    pub gateways: Vec<SocketAddr>,
    pub faults: FaultLog,
    pub history: History,
    pub is_over: Arc<AtomicBool>,
    /// Number of requests by what they got.
    pub counts: Arc<Mutex<BTreeMap<String, usize>>>,
}

impl Callers {
    fn role(&self, caller: usize) -> Role {
        let callers = &self.size.callers;
        let roles = [
            (callers.keep, Role::Keep),
            (callers.close, Role::Close),
            (callers.leave, Role::Leave),
            (callers.change_keys, Role::ChangeKeys),
        ];
        let mut first = 0;
        for (count, role) in roles {
            first += count;
            if caller < first {
                return role;
            }
        }
        panic!("there is no caller {caller}")
    }

    /// Returns the gateway of a caller's request.
    fn gateway(&self, role: Role, caller: usize, number: usize) -> usize {
        let place = match role {
            Role::Keep => caller,
            Role::Close | Role::Leave => caller + number,
            Role::ChangeKeys => caller * REQUESTS_A_GATEWAY + number / REQUESTS_A_GATEWAY,
        };
        place % self.gateways.len()
    }

    /// Returns the key for the next request of a caller with changing keys: mostly that of the newest
    /// configuration, or that of one of the few before it.
    fn changing_key(&self, rng: &mut SmallRng) -> String {
        let key = match rng.random_range(0..10) {
            0 => None,
            1..=5 => self.history.key_before(0),
            6..=8 => self.history.key_before(1),
            _ => self.history.key_before(rng.random_range(2..6)),
        };
        key.unwrap_or_else(|| UNKNOWN_KEY.to_owned())
    }

    /// Sends requests until the soak is over.
    pub fn send_requests(&self, seed: u64, caller: usize) {
        let role = self.role(caller);
        let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32) ^ caller as u64);
        let mut gateway = self.gateway(role, caller, 0);
        let mut connection = KeptCaller::new(self.gateways[gateway]);
        for number in 0.. {
            if self.is_over.load(Ordering::SeqCst) {
                return;
            }
            let next = self.gateway(role, caller, number);
            if matches!(role, Role::Close | Role::Leave) || next != gateway {
                gateway = next;
                connection = KeptCaller::new(self.gateways[gateway]);
            }
            let id = format!("s{seed}-c{caller}-{number}");
            let key = match role {
                Role::ChangeKeys => self.changing_key(&mut rng),
                _ => KEY.to_owned(),
            };
            let request = match (caller + number) % 3 {
                0 if role != Role::Leave => Request::once(&id),
                _ => Request::stream(&id),
            };
            let request = Request {
                key: &key,
                timeout_ms: match role {
                    Role::Leave => rng.random_range(LEAVE_MS),
                    _ => PATIENCE_MS,
                },
                ..request
            };
            let outcome = self.send(&mut connection, &request, gateway, role);
            let pause_ms = match outcome {
                Outcome::NotConnected => self.size.callers.connect_pause_ms,
                _ => CALLER_PAUSE_MS,
            };
            thread::sleep(Duration::from_millis(pause_ms));
        }
    }

    /// Sends a request, checks what it got and records it.
    fn send(
        &self,
        connection: &mut KeptCaller,
        request: &Request<'_>,
        gateway: usize,
        role: Role,
    ) -> Outcome {
        let sent = SentRequest {
            request,
            gateway,
            sent_at: Instant::now(),
            events: self.size.events,
        };
        let outcome = connection.send(request);
        let ended_at = Instant::now();
        let has_left = role == Role::Leave && matches!(outcome, Outcome::Left(_));
        let status = match &outcome {
            Outcome::Whole(answer) | Outcome::Cut(answer, _) | Outcome::Left(answer) => {
                answer.status
            }
            _ => 0,
        };
        self.history.push(Exchange {
            id: request.id.clone(),
            gateway,
            key: request.key.to_owned(),
            is_stream: sent.is_stream(),
            sent_at: sent.sent_at,
            ended_at,
            status,
            has_left,
        });
        if has_left {
            check_received(&sent, &outcome, self.platform.runs.of(&request.id).len());
        } else {
            check_outcome(&sent, &outcome, &self.platform, &self.faults);
        }
        let what = match &outcome {
            Outcome::Left(_) if has_left => "left on purpose".to_owned(),
            _ => outcome.describe(),
        };
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(what).or_default() += 1;
        outcome
    }
}
