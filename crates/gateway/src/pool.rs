//! Pool of idle connections to upstreams.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Response, body::Incoming, header};
use jacinthpoint_adapter::headers;
use jacinthpoint_dispatch::{Target, TargetKey};
use jacinthpoint_types::{Deadline, TimeMs};
use tokio::time::timeout;

use crate::connection::{ConnectError, Connection};

/// Time for which an idle connection is kept if the upstream sends no `keep-alive` timeout.
const DEFAULT_KEEP_MS: u64 = 2_000;
/// Fraction of the upstream's `keep-alive` timeout for which an idle connection is kept, so that
/// the upstream does not close it first.
const KEEP_FRACTION: f64 = 0.6;
/// Maximum idle time of a connection that is used for a request that must not be retried. The
/// upstream may close an idle connection while the request is on its way, and the request would
/// then fail.
const MAX_IDLE_WITHOUT_RETRY_MS: u64 = 250;
/// Time for reading the rest of a short response, such as an upstream's refusal, before its
/// connection is closed.
const REMAINING_BODY_TIMEOUT_MS: u64 = 200;
/// Maximum length of that rest.
const MAX_REMAINING_BODY_BYTES: usize = 64 * 1_024;
/// Maximum number of idle connections to each target.
const MAX_IDLE_PER_TARGET: usize = 16;

/// An idle connection, with the start of its idle time and the time at which it is closed.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: TimeMs,
    until: Deadline,
}

/// The idle connections of each target, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<BTreeMap<TargetKey, Vec<IdleConnection>>>,
}

/// A connection taken from the pool or newly opened.
#[derive(Debug)]
pub(crate) struct Checkout {
    pub(crate) connection: Connection,
    /// Whether the connection was opened for this checkout.
    pub(crate) is_new: bool,
}

impl Pool {
    /// Returns an idle connection to the target, or opens one within `timeout_ms`.
    ///
    /// If the request must not be retried, an idle connection is used only if it has been idle for
    /// a short time. Those that were idle for longer are closed once another one is open.
    pub(crate) async fn checkout(
        &self,
        target: &Target,
        may_retry: bool,
        timeout_ms: u64,
        now: TimeMs,
    ) -> Result<Checkout, ConnectError> {
        if let Some(connection) = self.take_idle(&target.key, may_retry, now) {
            return Ok(Checkout {
                connection,
                is_new: false,
            });
        }
        let connection = Connection::open(target.address, timeout_ms).await?;
        if !may_retry {
            self.close_long_idle(&target.key, now);
        }
        Ok(Checkout {
            connection,
            is_new: true,
        })
    }

    /// Removes and returns the most recently used connection that is usable for this request.
    /// Closes those before it that no request can use, but none that only this request cannot use.
    fn take_idle(&self, key: &TargetKey, may_retry: bool, now: TimeMs) -> Option<Connection> {
        let mut by_target = self.idle.borrow_mut();
        let connections = by_target.get_mut(key)?;
        while let Some(newest) = connections.last() {
            let is_usable = newest.connection.is_ready() && !newest.until.has_passed(now);
            let is_recent_enough =
                may_retry || now.since_ms(newest.idle_since) <= MAX_IDLE_WITHOUT_RETRY_MS;
            if is_usable && !is_recent_enough {
                return None;
            }
            let newest = connections.pop()?;
            if is_usable {
                return Some(newest.connection);
            }
        }
        None
    }

    /// Closes connections to a target that requests that must not be retried cannot use.
    fn close_long_idle(&self, key: &TargetKey, now: TimeMs) {
        if let Some(connections) = self.idle.borrow_mut().get_mut(key) {
            connections.retain(|idle| now.since_ms(idle.idle_since) <= MAX_IDLE_WITHOUT_RETRY_MS);
        }
    }

    /// Adds a connection whose last response was read to its end, as soon as it is ready for
    /// another request. `fields` are the headers of the last response, which limit the idle time.
    ///
    /// The connection is closed if it is not ready within that time: the upstream has answered, but
    /// does not read the rest of the request.
    pub(crate) fn put_back(
        self: &Rc<Pool>,
        key: &TargetKey,
        mut connection: Connection,
        fields: &HeaderMap,
        now: TimeMs,
    ) {
        let Some(keep_ms) = keep_ms(fields) else {
            return;
        };
        let (pool, key) = (self.clone(), key.clone());
        tokio::task::spawn_local(async move {
            let ready = timeout(Duration::from_millis(keep_ms), connection.sender.ready());
            if !matches!(ready.await, Ok(Ok(()))) {
                return;
            }
            let mut by_target = pool.idle.borrow_mut();
            let connections = by_target.entry(key).or_default();
            if connections.len() >= MAX_IDLE_PER_TARGET {
                connections.remove(0);
            }
            connections.push(IdleConnection {
                connection,
                idle_since: now,
                until: Deadline::after_ms(now, keep_ms),
            });
        });
    }

    /// Reads the rest of a short response in the background, then adds its connection to the pool.
    pub(crate) fn put_back_after_body(
        self: &Rc<Pool>,
        key: &TargetKey,
        connection: Connection,
        response: Response<Incoming>,
        now: TimeMs,
    ) {
        let (pool, key) = (self.clone(), key.clone());
        tokio::task::spawn_local(async move {
            let (head, body) = response.into_parts();
            let body = timeout(
                Duration::from_millis(REMAINING_BODY_TIMEOUT_MS),
                Limited::new(body, MAX_REMAINING_BODY_BYTES).collect(),
            )
            .await;
            if matches!(body, Ok(Ok(_))) {
                pool.put_back(&key, connection, &head.headers, now);
            }
        });
    }

    /// Closes idle connections that have expired or were closed by the upstream, and those to
    /// targets that are not known.
    pub(crate) fn close_expired(&self, is_known: impl Fn(&TargetKey) -> bool, now: TimeMs) {
        let mut by_target = self.idle.borrow_mut();
        by_target.retain(|key, connections| {
            connections
                .retain(|idle| !idle.until.has_passed(now) && !idle.connection.sender.is_closed());
            !connections.is_empty() && is_known(key)
        });
    }
}

/// Returns the time for which a connection is kept idle after a response with these headers; `None`
/// if the upstream closes the connection, or if the response has no request id: it may belong to
/// another request, and that to this one may still come.
fn keep_ms(fields: &HeaderMap) -> Option<u64> {
    if !fields.contains_key(headers::ATTEMPT_ID) {
        return None;
    }
    let text = |name| fields.get(name).and_then(|value| value.to_str().ok());
    let closes = text(header::CONNECTION).is_some_and(|value| {
        value
            .split(',')
            .any(|option| option.trim().eq_ignore_ascii_case("close"))
    });
    if closes {
        return None;
    }
    let timeout_s = text(header::HeaderName::from_static("keep-alive"))
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|value| value.trim().parse::<f64>().ok());
    match timeout_s {
        Some(timeout_s) => Some((timeout_s.clamp(0.0, 60.0) * 1_000.0 * KEEP_FRACTION) as u64),
        None => Some(DEFAULT_KEEP_MS),
    }
}
