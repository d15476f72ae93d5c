//! Kept connections to upstreams.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, body::Incoming, header};
use jacinthpoint_dispatch::{Target, TargetKey};
use jacinthpoint_types::{Deadline, TimeMs};
use tokio::time::timeout;

use crate::connection::{ConnectError, Connection};

/// Time for which an idle connection is kept where the upstream states none.
const KEEP_MS: u64 = 2_000;
/// Part of the time stated by the upstream that is used, so that it does not close first.
const KEEP_SHARE: f64 = 0.6;
/// Longest idle time after which a connection carries a request that must not be repeated: a
/// request that meets the upstream's close would be lost.
const FRESH_MS: u64 = 250;
/// Time for the rest of a refusal.
const REST_MS: u64 = 200;
/// Kept connections for each target.
const MAX_KEPT: usize = 16;

#[derive(Debug)]
struct Kept {
    connection: Connection,
    since: TimeMs,
    until: Deadline,
}

/// The kept connections by target.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    kept: RefCell<BTreeMap<TargetKey, Vec<Kept>>>,
}

/// How a connection was come by.
#[derive(Debug)]
pub(crate) struct Checkout {
    pub(crate) connection: Connection,
    pub(crate) is_new: bool,
}

impl Pool {
    /// A connection to the target, a kept one if there is one that fits.
    pub(crate) async fn checkout(
        &self,
        target: &Target,
        may_repeat: bool,
        timeout_ms: u64,
        now: TimeMs,
    ) -> Result<Checkout, ConnectError> {
        if let Some(connection) = self.take_kept(&target.key, may_repeat, now) {
            return Ok(Checkout {
                connection,
                is_new: false,
            });
        }
        let connection = Connection::open(target.address, timeout_ms).await?;
        Ok(Checkout {
            connection,
            is_new: true,
        })
    }

    fn take_kept(&self, key: &TargetKey, may_repeat: bool, now: TimeMs) -> Option<Connection> {
        let mut kept = self.kept.borrow_mut();
        let kept = kept.get_mut(key)?;
        while let Some(candidate) = kept.pop() {
            let is_fresh = may_repeat || now.since_ms(candidate.since) <= FRESH_MS;
            let is_usable = candidate.connection.is_ready() && !candidate.until.has_passed(now);
            if is_fresh && is_usable {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read whole, once it is ready for another request.
    pub(crate) fn put_back(
        self: &Rc<Pool>,
        key: &TargetKey,
        mut connection: Connection,
        headers: &HeaderMap,
        now: TimeMs,
    ) {
        let Some(keep_ms) = keep_ms(headers) else {
            return;
        };
        let (pool, key) = (self.clone(), key.clone());
        tokio::task::spawn_local(async move {
            if connection.sender.ready().await.is_err() {
                return;
            }
            let mut kept = pool.kept.borrow_mut();
            let kept = kept.entry(key).or_default();
            if kept.len() >= MAX_KEPT {
                kept.remove(0);
            }
            kept.push(Kept {
                connection,
                since: now,
                until: Deadline::after_ms(now, keep_ms),
            });
        });
    }

    /// Reads the rest of a short answer in the background and keeps the connection after it.
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
            let body = timeout(Duration::from_millis(REST_MS), body.collect()).await;
            if matches!(body, Ok(Ok(_))) {
                pool.put_back(&key, connection, &head.headers, now);
            }
        });
    }

    /// Closes connections that are too old, and those to targets that are gone.
    pub(crate) fn tidy(&self, is_known: impl Fn(&TargetKey) -> bool, now: TimeMs) {
        let mut kept = self.kept.borrow_mut();
        kept.retain(|key, kept| {
            kept.retain(|kept| !kept.until.has_passed(now) && !kept.connection.sender.is_closed());
            !kept.is_empty() && is_known(key)
        });
    }
}

/// Time for which the upstream lets a connection be idle, with a margin; `None` if it closes it.
fn keep_ms(headers: &HeaderMap) -> Option<u64> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(header::CONNECTION).is_some_and(|value| {
        value
            .split(',')
            .any(|w| w.trim().eq_ignore_ascii_case("close"))
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
        Some(timeout_s) => Some((timeout_s.clamp(0.0, 60.0) * 1_000.0 * KEEP_SHARE) as u64),
        None => Some(KEEP_MS),
    }
}
