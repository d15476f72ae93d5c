//! Drain, the planned stop of a node: its phases, and the connections and requests still open.
//!
//! A node that closed its listener at once would fail the requests that the load balancer still
//! sends to it. So in the first phase the node only reports that it is not ready, and serves as
//! before until the balancer has noticed. In the second phase it closes its listener and every
//! kept-alive connection without a request in flight. The drain ends when no connection is left.

use std::{
    fmt,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Key of a request in flight.
    struct RequestKey;
}

/// A request in flight, as logged for operators if the node stops before it ends.
#[derive(Debug, Clone)]
pub struct OpenRequest {
    /// Path of the request, without the query; empty until the head is read.
    pub path: String,
    /// Request id that the caller sent.
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
    /// Time at which the listener closes; `None` if no drain has begun.
    closing_at: Option<Instant>,
    is_listening: bool,
    connections: usize,
    requests: SlotMap<RequestKey, OpenRequest>,
}

/// State of a planned stop, shared by the listeners and the connections.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    state: Mutex<State>,
    /// Notified when a connection or the listener closes.
    closed: Condvar,
}

/// An open connection, counted until dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(Arc<Drain>);

/// A request in flight, listed until dropped.
#[derive(Debug)]
pub(crate) struct InFlight<'a> {
    drain: &'a Drain,
    key: RequestKey,
}

impl Drain {
    /// Begins the drain: the node is not ready from now on, and closes its listener at
    /// `closing_at`. Returns `false` if the drain had already begun; a later call may bring the
    /// closing forward but cannot delay it.
    pub(crate) fn begin(&self, closing_at: Instant) -> bool {
        let mut state = self.lock();
        let is_first = state.closing_at.is_none();
        let earliest = state.closing_at.map_or(closing_at, |at| at.min(closing_at));
        state.closing_at = Some(earliest);
        is_first
    }

    /// Returns whether the drain has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.lock().closing_at.is_some()
    }

    /// Returns whether new connections are no longer accepted.
    pub(crate) fn is_closing(&self) -> bool {
        let closing_at = self.lock().closing_at;
        closing_at.is_some_and(|at| Instant::now() >= at)
    }

    /// Records whether the callers' listener is open.
    pub(crate) fn set_listens(&self, listens: bool) {
        self.lock().is_listening = listens;
        self.closed.notify_all();
    }

    /// Counts a connection until the returned value is dropped. Returns `None` if `max_connections`
    /// are already open.
    pub(crate) fn begin_connection(
        self: &Arc<Self>,
        max_connections: usize,
    ) -> Option<OpenConnection> {
        let mut state = self.lock();
        if state.connections >= max_connections {
            return None;
        }
        state.connections += 1;
        Some(OpenConnection(self.clone()))
    }

    /// Lists a request as in flight until the returned value is dropped. Called at its first byte.
    pub(crate) fn begin_request(&self) -> InFlight<'_> {
        let request = OpenRequest {
            path: String::new(),
            request: None,
            started: Instant::now(),
        };
        let key = self.lock().requests.insert(request);
        InFlight { drain: self, key }
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.lock().requests.len()
    }

    /// Returns the requests in flight.
    pub(crate) fn open_requests(&self) -> Vec<OpenRequest> {
        self.lock().requests.values().cloned().collect()
    }

    /// Waits at most `timeout` until the listener and all connections are closed. Returns whether
    /// they are.
    pub(crate) fn wait_ended(&self, timeout: Duration) -> bool {
        let is_open = |state: &mut State| state.is_listening || state.connections > 0;
        let (mut state, _) = self
            .closed
            .wait_timeout_while(self.lock(), timeout, is_open)
            .unwrap_or_else(PoisonError::into_inner);
        !is_open(&mut state)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InFlight<'_> {
    /// Records the path and id of the request, once its head is read.
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
        self.0.closed.notify_all();
    }
}
