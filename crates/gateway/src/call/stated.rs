//! What upstreams state of themselves in answers, recorded by the gateway that gets the answer from the
//! upstream and by the one for which it asked.
//!
//! An answer to a forwarded request has one header for each statement, since callers get what one upstream
//! wrote, or a refusal, but several may have been asked.

use std::cell::RefCell;

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue},
};
use jacinthpoint_dispatch::AnsweringLife;
use jacinthpoint_types::{Deadline, PerSecond, TimeMs, VmId};

use crate::{events::log_event, state::Gateway};

/// Header of the answer to a forwarded request: what an upstream stated.
pub(super) const STATED: HeaderName = HeaderName::from_static("gateway-stated");

/// What an upstream stated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Statement {
    /// It leaves.
    Leaving,
    /// It wants no requests until then.
    PausedUntil(Deadline),
    /// It names this limit, or none.
    Limit(Option<PerSecond>),
}

/// A statement and the life of the upstream that made it.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Stated {
    pub(super) upstream: VmId,
    /// Start time of the life to which the request was sent, in Unix milliseconds; 0 if it is not known.
    pub(super) asked_unix_ms: u64,
    pub(super) statement: Statement,
}

/// Statements in the answers that a gateway gets for another one.
#[derive(Debug, Default)]
pub(crate) struct StatedForOther(RefCell<Vec<Stated>>);

impl StatedForOther {
    pub(super) fn add(&self, stated: Stated) {
        let mut all = self.0.borrow_mut();
        // A later statement of the same kind holds.
        let kind = std::mem::discriminant(&stated.statement);
        all.retain(|known| {
            known.upstream != stated.upstream || std::mem::discriminant(&known.statement) != kind
        });
        all.push(stated);
    }

    /// Replaces the statements in the head of an answer by these.
    pub(super) fn write(&self, fields: &mut HeaderMap, now: TimeMs) {
        fields.remove(STATED);
        for stated in self.0.borrow().iter() {
            match HeaderValue::from_str(&stated.encode(now)) {
                Ok(value) => {
                    fields.append(STATED, value);
                }
                Err(error) => tracing::debug!(upstream = %stated.upstream, %error,
                    "a statement cannot be passed on to the gateway that forwards"),
            }
        }
    }
}

impl Stated {
    /// Returns the text form: what is stated, the start time and the name, as in `pause=1500 17 i-1`.
    fn encode(&self, now: TimeMs) -> String {
        let what = match self.statement {
            Statement::Leaving => "leaving".to_owned(),
            Statement::PausedUntil(until) => format!("pause={}", until.remaining_ms(now)),
            Statement::Limit(None) => "no-limit".to_owned(),
            Statement::Limit(Some(limit)) => format!("limit={limit}"),
        };
        format!("{what} {} {}", self.asked_unix_ms, self.upstream)
    }

    /// Parses the text form; `None` if it cannot be read.
    fn decode(text: &str, now: TimeMs) -> Option<Stated> {
        let mut parts = text.splitn(3, ' ');
        let what = parts.next()?;
        let asked_unix_ms = parts.next()?.parse().ok()?;
        let upstream = parts.next()?.parse().ok()?;
        let statement = match what.split_once('=') {
            None if what == "leaving" => Statement::Leaving,
            None if what == "no-limit" => Statement::Limit(None),
            Some(("pause", ms)) => {
                Statement::PausedUntil(Deadline::after_ms(now, ms.parse().ok()?))
            }
            Some(("limit", limit)) => {
                let limit: PerSecond = limit.parse().ok()?;
                Statement::Limit(limit.is_valid().then_some(Some(limit))?)
            }
            _ => return None,
        };
        Some(Stated {
            upstream,
            asked_unix_ms,
            statement,
        })
    }
}

/// Removes the statements from the head of another gateway's answer to a request that was sent at `sent_at`,
/// and records them.
pub(super) fn take_statements(
    gateway: &Gateway,
    request_id: &str,
    fields: &mut HeaderMap,
    sent_at: TimeMs,
) {
    for value in fields.get_all(STATED) {
        let text = std::str::from_utf8(value.as_bytes()).ok();
        match text.and_then(|text| Stated::decode(text, gateway.now())) {
            Some(stated) => record(gateway, request_id, &stated, sent_at),
            None => tracing::warn!(
                request = request_id,
                ?value,
                "a statement of an upstream in another gateway's answer cannot be read"
            ),
        }
    }
    fields.remove(STATED);
}

/// Records what an upstream stated in the answer to a request that was sent at `sent_at`, and logs what is
/// new.
pub(super) fn record(gateway: &Gateway, request_id: &str, stated: &Stated, sent_at: TimeMs) {
    let Stated {
        upstream,
        asked_unix_ms,
        statement,
    } = stated;
    let life = {
        let view = gateway.view.borrow();
        let known = view.upstreams().get(upstream);
        AnsweringLife {
            asked_unix_ms: *asked_unix_ms,
            listed_unix_ms: known.map_or(0, |known| known.started_unix_ms),
        }
    };
    let now = gateway.now();
    match statement {
        Statement::Leaving => {
            let statements = &mut gateway.loads.borrow_mut().statements;
            if statements.on_leaving(upstream, life) {
                gateway.metrics.count("upstream_statements", "leaving");
                log_event!(info, UpstreamStated, request = request_id, %upstream, what = "leaving",
                    "an upstream stated that it leaves: it gets no more requests");
            }
        }
        Statement::PausedUntil(until) => {
            let statements = &mut gateway.loads.borrow_mut().statements;
            let pause_ms = until.remaining_ms(now);
            if let Some(until) = statements.on_pause(upstream, life, pause_ms, now) {
                gateway.metrics.count("upstream_statements", "pause");
                log_event!(info, UpstreamStated, request = request_id, %upstream, what = "pause",
                    pause_ms = until.remaining_ms(now), "an upstream wants no requests for a time");
            }
        }
        Statement::Limit(limit) => {
            let mut limits = gateway.limits.borrow_mut();
            if limits.on_answer(upstream, *limit, sent_at, now) {
                log_event!(info, LimitChanged, %upstream, limit = limit.map(|limit| limit.0),
                    "an upstream changed the limit that it names");
            }
        }
    }
}
