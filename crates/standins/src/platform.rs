//! The platform: versioned objects with conditional updates and watches, and the membership list.
//!
//! Protocol, HTTP with JSON:
//!
//! - `GET /objects/KIND/NAME` gives `{name, version, value}` or 404; with `above=V&wait_ms=T` it
//!   waits until the version is above V and gives 304 if it stays so for T.
//! - `GET /objects/KIND` lists the objects of a kind.
//! - `PUT /objects/KIND/NAME` with `If-Match: V` writes if the version is V (0: new), else gives
//!   409 and the current object.
//! - `GET /membership` gives the list of VMs as it was some time ago.
//! - `POST /control/register`, `/control/unregister`, `/control/fault`;
//!   `GET /control/history/KIND/NAME`, `/control/calls`.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform::{MemberState, Object, PlatformMember, Version};
use jacinthpoint_types::VmId;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tiny_http::{Method, Request};

use crate::http::{HttpServer, header, query, read_body, respond_error, respond_json};

/// Settings of the stand-in.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Where to listen.
    pub address: SocketAddr,
    /// Age of the membership list that is given out.
    pub membership_lag_ms: u64,
    /// Reads a second beyond which calls get 429.
    pub max_reads_per_s: u64,
    /// Writes a second beyond which calls get 429.
    pub max_writes_per_s: u64,
}

impl PlatformOptions {
    /// Plain defaults on a free loopback port, with the brief's rates.
    pub fn new() -> PlatformOptions {
        PlatformOptions {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            membership_lag_ms: 500,
            max_reads_per_s: 2_000,
            max_writes_per_s: 500,
        }
    }
}

impl Default for PlatformOptions {
    fn default() -> PlatformOptions {
        PlatformOptions::new()
    }
}

/// A fault, switched on by `POST /control/fault`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "kebab-case")]
pub enum PlatformFault {
    /// None.
    #[default]
    None,
    /// Every call gets 503.
    Refuse,
    /// Every call gets 429.
    Throttle,
    /// No call is answered or takes effect.
    Silent,
    /// Every call takes this much longer.
    Slow {
        /// Added time.
        delay_ms: u64,
    },
    /// Writes take effect, but their answers are lost, for this many writes.
    LoseAnswers {
        /// Writes still to be treated so.
        count: u64,
    },
}

/// A VM put on the membership list by `POST /control/register`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Registration {
    /// Its entry.
    pub member: PlatformMember,
    /// Taken off the list unless it is registered again within this time; never if absent.
    pub lease_ms: Option<u64>,
}

#[derive(Debug, Default, Clone, Copy, Serialize)]
struct CallCounts {
    reads: u64,
    writes: u64,
    watches: u64,
    refused: u64,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<(String, String), Vec<Object>>,
    members: BTreeMap<VmId, (PlatformMember, Option<Instant>)>,
    past_lists: VecDeque<(Instant, Vec<PlatformMember>)>,
    fault: PlatformFault,
    calls: CallCounts,
    second: Option<Instant>,
    reads_in_second: u64,
    writes_in_second: u64,
}

#[derive(Debug)]
struct Shared {
    options: PlatformOptions,
    state: Mutex<State>,
    changed: Condvar,
    stopped: Arc<AtomicBool>,
}

/// A running platform.
#[derive(Debug)]
pub struct PlatformServer {
    http: HttpServer,
}

impl PlatformServer {
    /// Starts it.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn start(options: PlatformOptions) -> io::Result<PlatformServer> {
        let stopped = Arc::new(AtomicBool::new(false));
        let shared = Arc::new(Shared {
            options: options.clone(),
            state: Mutex::default(),
            changed: Condvar::new(),
            stopped: stopped.clone(),
        });
        let http = HttpServer::start(options.address, stopped, move |request| {
            shared.handle(request);
        })?;
        Ok(PlatformServer { http })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.http.address
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, request: Request) {
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or_default().to_owned();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        if parts[0] == "control" {
            return self.control(request, &parts[1..]);
        }
        let is_write = *request.method() == Method::Put;
        if !self.take_call(is_write) {
            return respond_error(request, 429, "call rate exceeded");
        }
        let fault = self.lock().fault;
        match fault {
            PlatformFault::Refuse => return respond_error(request, 503, "outage"),
            PlatformFault::Throttle => return respond_error(request, 429, "call rate exceeded"),
            PlatformFault::Silent => return self.never_answer(request),
            PlatformFault::Slow { delay_ms } => thread::sleep(Duration::from_millis(delay_ms)),
            PlatformFault::None | PlatformFault::LoseAnswers { .. } => {}
        }
        match (request.method(), parts.as_slice()) {
            (Method::Get, ["membership"]) => {
                let list = self.lagging_members();
                respond_json(request, 200, &list);
            }
            (Method::Get, ["objects", kind]) => respond_json(request, 200, &self.list(kind)),
            (Method::Get, ["objects", kind, name]) => self.read(request, &url, kind, name),
            (Method::Put, ["objects", kind, name]) => self.write(request, kind, name),
            _ => respond_error(request, 404, "no such path"),
        }
    }

    fn never_answer(&self, request: Request) {
        while self.lock().fault == PlatformFault::Silent && !self.stopped.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(20));
        }
        // The writer is dropped unused, so the caller gets no byte.
        drop(request.into_writer());
    }

    fn take_call(&self, is_write: bool) -> bool {
        let mut state = self.lock();
        let now = Instant::now();
        if state
            .second
            .is_none_or(|start| now.duration_since(start) >= Duration::from_secs(1))
        {
            state.second = Some(now);
            state.reads_in_second = 0;
            state.writes_in_second = 0;
        }
        let allowed = if is_write {
            state.calls.writes += 1;
            state.writes_in_second += 1;
            state.writes_in_second <= self.options.max_writes_per_s
        } else {
            state.calls.reads += 1;
            state.reads_in_second += 1;
            state.reads_in_second <= self.options.max_reads_per_s
        };
        if !allowed {
            state.calls.refused += 1;
        }
        allowed
    }

    fn list(&self, kind: &str) -> Vec<Object> {
        let state = self.lock();
        let of_kind = state.objects.iter().filter(|((k, _), _)| k == kind);
        of_kind
            .filter_map(|(_, history)| history.last().cloned())
            .collect()
    }

    fn read(&self, request: Request, url: &str, kind: &str, name: &str) {
        let above: Option<u64> = query(url, "above").and_then(|text| text.parse().ok());
        let wait_ms = query(url, "wait_ms")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.lock();
        let Some(above) = above else {
            let object = state
                .objects
                .get(&key)
                .and_then(|history| history.last())
                .cloned();
            drop(state);
            return match object {
                Some(object) => respond_json(request, 200, &object),
                None => respond_error(request, 404, "no such object"),
            };
        };
        state.calls.watches += 1;
        let is_newer = |state: &State| {
            let last = state.objects.get(&key).and_then(|history| history.last());
            last.filter(|object| object.version.0 > above).cloned()
        };
        let end = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if let Some(object) = is_newer(&state) {
                drop(state);
                return respond_json(request, 200, &object);
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() || self.stopped.load(Ordering::Relaxed) {
                drop(state);
                return respond_error(request, 304, "");
            }
            let (next, _) = self
                .changed
                .wait_timeout(state, left.min(Duration::from_millis(200)))
                .unwrap_or_else(PoisonError::into_inner);
            state = next;
        }
    }

    fn write(&self, mut request: Request, kind: &str, name: &str) {
        let expected = header(&request, "If-Match").parse::<u64>().ok();
        let value: Option<Value> = read_body(&mut request)
            .ok()
            .and_then(|body| serde_json::from_slice(&body).ok());
        let (Some(expected), Some(value)) = (expected, value) else {
            return respond_error(request, 400, "needs If-Match and a JSON body");
        };
        let mut state = self.lock();
        let history = state
            .objects
            .entry((kind.to_owned(), name.to_owned()))
            .or_default();
        let current = history.last().map_or(Version(0), |object| object.version);
        if current.0 != expected {
            let missing = Object {
                name: name.to_owned(),
                version: current,
                value: Value::Null,
            };
            let object = history.last().cloned().unwrap_or(missing);
            drop(state);
            return respond_json(request, 409, &object);
        }
        let object = Object {
            name: name.to_owned(),
            version: Version(expected + 1),
            value,
        };
        history.push(object.clone());
        self.changed.notify_all();
        if let PlatformFault::LoseAnswers { count } = state.fault {
            state.fault = match count {
                0 | 1 => PlatformFault::None,
                _ => PlatformFault::LoseAnswers { count: count - 1 },
            };
            drop(state);
            return drop(request.into_writer());
        }
        drop(state);
        respond_json(request, 200, &object);
    }

    fn lagging_members(&self) -> Vec<PlatformMember> {
        let mut state = self.lock();
        let now = Instant::now();
        state
            .members
            .retain(|_, (_, expires)| expires.is_none_or(|expires| expires > now));
        let current: Vec<PlatformMember> = state
            .members
            .values()
            .map(|(member, _)| member.clone())
            .collect();
        let lag = Duration::from_millis(self.options.membership_lag_ms);
        state.past_lists.push_back((now, current));
        while state.past_lists.len() > 1 && now.duration_since(state.past_lists[1].0) >= lag {
            state.past_lists.pop_front();
        }
        state.past_lists[0].1.clone()
    }

    fn control(&self, mut request: Request, parts: &[&str]) {
        let body = read_body(&mut request).unwrap_or_default();
        match (request.method(), parts) {
            (Method::Post, ["register"]) => match serde_json::from_slice(&body) {
                Ok(registration) => {
                    self.register(registration);
                    respond_json(request, 200, &json!({}));
                }
                Err(error) => respond_error(request, 400, &error.to_string()),
            },
            (Method::Post, ["unregister"]) => match serde_json::from_slice::<VmId>(&body) {
                Ok(vm) => {
                    self.lock().members.remove(&vm);
                    respond_json(request, 200, &json!({}));
                }
                Err(error) => respond_error(request, 400, &error.to_string()),
            },
            (Method::Post, ["leaving"]) => match serde_json::from_slice::<VmId>(&body) {
                Ok(vm) => {
                    if let Some((member, _)) = self.lock().members.get_mut(&vm) {
                        member.state = MemberState::Leaving;
                    }
                    respond_json(request, 200, &json!({}));
                }
                Err(error) => respond_error(request, 400, &error.to_string()),
            },
            (Method::Post, ["fault"]) => match serde_json::from_slice(&body) {
                Ok(fault) => {
                    self.lock().fault = fault;
                    respond_json(request, 200, &json!({}));
                }
                Err(error) => respond_error(request, 400, &error.to_string()),
            },
            (Method::Get, ["history", kind, name]) => {
                let key = ((*kind).to_owned(), (*name).to_owned());
                let history = self.lock().objects.get(&key).cloned().unwrap_or_default();
                respond_json(request, 200, &history);
            }
            (Method::Get, ["calls"]) => {
                let calls = self.lock().calls;
                respond_json(request, 200, &calls);
            }
            _ => respond_error(request, 404, "no such control path"),
        }
    }

    fn register(&self, registration: Registration) {
        let expires = registration
            .lease_ms
            .map(|lease_ms| Instant::now() + Duration::from_millis(lease_ms));
        let mut member = registration.member;
        let mut state = self.lock();
        // A VM that is leaving stays so until it comes back as another incarnation.
        if let Some((old, _)) = state.members.get(&member.vm)
            && old.incarnation == member.incarnation
        {
            member.state = old.state;
        }
        state.members.insert(member.vm.clone(), (member, expires));
    }
}
