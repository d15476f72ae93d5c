//! Planned stop: its phases, and what is still open.
//!
//! First the node is only announced as not ready and goes on as before, so that the balancer sees
//! it and sends nothing new. Then it closes its listener and every connection that waits for no
//! answer. It has ended when no connection is left.

use std::{
    fmt,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// One request in flight.
    struct RequestKey;
}

/// A request in flight, as an operator wants to know it when it is cut.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// Its target, without the query; empty while its head is still on its way.
    pub path: String,
    /// The id that its caller gave it.
    pub request: Option<String>,
    started: Instant,
}

impl fmt::Display for OpenRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "(head not read)"
        } else {
            &self.path
        };
        let request = self.request.as_deref().unwrap_or("(no id)");
        let age_ms = self.started.elapsed().as_millis();
        write!(f, "{path} request {request} after {age_ms} ms")
    }
}

#[derive(Debug, Default)]
struct State {
    /// When the listener closes; `None` while the node serves.
    closing_at: Option<Instant>,
    listens: bool,
    connections: usize,
    requests: SlotMap<RequestKey, OpenRequest>,
}

/// State of a planned stop, shared by the listeners.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    state: Mutex<State>,
    ended: Condvar,
}

/// One open connection; ends it when dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(Arc<Drain>);

/// One request in flight; ends it when dropped.
#[derive(Debug)]
pub(crate) struct InFlight<'a> {
    drain: &'a Drain,
    key: RequestKey,
}

impl Drain {
    /// Begins the stop: not ready from now on, no new connections from `closing_at` on. Returns
    /// whether it had not begun before; a stop that has begun is not put off.
    pub(crate) fn begin(&self, closing_at: Instant) -> bool {
        let mut state = self.lock();
        let is_first = state.closing_at.is_none();
        let earliest = state.closing_at.map_or(closing_at, |at| at.min(closing_at));
        state.closing_at = Some(earliest);
        is_first
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.lock().closing_at.is_some()
    }

    /// Whether new connections are no longer taken.
    pub(crate) fn is_closing(&self) -> bool {
        let closing_at = self.lock().closing_at;
        closing_at.is_some_and(|at| Instant::now() >= at)
    }

    /// Notes that the callers' listener is open or closed.
    pub(crate) fn set_listens(&self, listens: bool) {
        self.lock().listens = listens;
        self.ended.notify_all();
    }

    /// Counts a connection until the result is dropped; `None` if `max_connections` are open.
    pub(crate) fn open(self: &Arc<Self>, max_connections: usize) -> Option<OpenConnection> {
        let mut state = self.lock();
        if state.connections >= max_connections {
            return None;
        }
        state.connections += 1;
        Some(OpenConnection(self.clone()))
    }

    /// Counts a request, from its first byte, until the result is dropped.
    pub(crate) fn enter(&self) -> InFlight<'_> {
        let request = OpenRequest {
            path: String::new(),
            request: None,
            started: Instant::now(),
        };
        let key = self.lock().requests.insert(request);
        InFlight { drain: self, key }
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.lock().requests.len()
    }

    /// The requests in flight.
    pub(crate) fn open_requests(&self) -> Vec<OpenRequest> {
        self.lock().requests.values().cloned().collect()
    }

    /// Waits until the listener is closed and no connection is left, at most `timeout`; tells
    /// whether it is so.
    pub(crate) fn wait_ended(&self, timeout: Duration) -> bool {
        let is_open = |state: &mut State| state.listens || state.connections > 0;
        let (mut state, _) = self
            .ended
            .wait_timeout_while(self.lock(), timeout, is_open)
            .unwrap_or_else(PoisonError::into_inner);
        !is_open(&mut state)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InFlight<'_> {
    /// Notes what the request is, once its head is read.
    pub(crate) fn describe(&self, path: &str, request: Option<&str>) {
        if let Some(open) = self.drain.lock().requests.get_mut(self.key) {
            open.path = path.to_owned();
            open.request = request.map(str::to_owned);
        }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.drain.lock().requests.remove(self.key);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.lock().connections -= 1;
        self.0.ended.notify_all();
    }
}
