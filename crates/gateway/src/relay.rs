//! Serves objects that this gateway has read from the store to other gateways.
//!
//! Each call to the store has a price, and the rate of calls is limited. If every gateway watched
//! the store, the number of calls would be the number of gateways times the number of changes. So
//! only some gateways of each data centre read the store; the others watch one of these with the
//! same calls. Served objects are never older than [`MAX_RELAYED_AGE_MS`]: a gateway whose last
//! answer from the store is older refuses the call. The calling gateway then calls it again, and
//! after several refusals uses the next relay or the store itself.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    convert::Infallible,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use jacinthpoint_adapter::{
    StoredObject, encode_events, encode_list,
    paths::{ObjectsCall, parse_objects_call},
};
use jacinthpoint_fleet::MAX_RELAYED_AGE_MS;
use jacinthpoint_types::TimeMs;
use tokio::{net::TcpListener, sync::Notify};

use crate::{
    body::{AnswerBody, full_body},
    clock::sleep_ms,
    connection::set_options,
    state::Gateway,
};

/// Number of changes of each kind that are kept for watches that lag behind.
const MAX_CHANGES: usize = 2_000;
/// Pause after a failed accept.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Objects of one kind and their latest changes, as read from the store.
#[derive(Debug, Default)]
struct KindCache {
    objects: BTreeMap<String, StoredObject>,
    /// Changes since `history_floor`, oldest first; `true` marks a removed object.
    changes: VecDeque<(StoredObject, bool)>,
    /// Revision after which all changes are kept. A watch from an earlier revision is answered with
    /// `GONE`, and the calling gateway lists the objects again.
    history_floor: u64,
    /// Revision of the store up to which the cache is complete.
    revision: u64,
    /// Time of the store's last answer.
    answered_at: Option<TimeMs>,
}

/// Objects read from the store, by kind.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    caches: RefCell<BTreeMap<&'static str, KindCache>>,
    /// Wakes waiting watches after every change.
    changed: Notify,
}

impl Relay {
    /// Replaces the objects of a kind by a whole list from the store.
    pub(crate) fn on_list(
        &self,
        kind: &'static str,
        objects: &[StoredObject],
        revision: u64,
        now: TimeMs,
    ) {
        let objects = objects
            .iter()
            .map(|object| (object.name.clone(), object.clone()));
        let cache = KindCache {
            objects: objects.collect(),
            changes: VecDeque::new(),
            history_floor: revision,
            revision,
            answered_at: Some(now),
        };
        self.caches.borrow_mut().insert(kind, cache);
        self.changed.notify_waiters();
    }

    /// Applies the answer of a watch on the store; ignored if the kind was not listed before.
    ///
    /// In `changes`, `true` marks a removed object.
    pub(crate) fn on_events(
        &self,
        kind: &'static str,
        changes: &[(StoredObject, bool)],
        revision: u64,
        now: TimeMs,
    ) {
        let mut caches = self.caches.borrow_mut();
        let Some(cache) = caches.get_mut(kind) else {
            return;
        };
        cache.answered_at = Some(now);
        cache.revision = revision;
        for (object, is_gone) in changes {
            if *is_gone {
                cache.objects.remove(&object.name);
            } else {
                cache.objects.insert(object.name.clone(), object.clone());
            }
            cache.changes.push_back((object.clone(), *is_gone));
        }
        while cache.changes.len() > MAX_CHANGES {
            if let Some((object, _)) = cache.changes.pop_front() {
                cache.history_floor = object.revision;
            }
        }
        self.changed.notify_waiters();
    }

    /// Removes the objects of a kind that this gateway now reads from another gateway.
    pub(crate) fn remove_kind(&self, kind: &'static str) {
        self.caches.borrow_mut().remove(kind);
        self.changed.notify_waiters();
    }

    /// Answers a call; returns `None` if a watch has to wait for a change.
    fn try_answer(&self, call: &ObjectsCall, now: TimeMs) -> Option<(StatusCode, Vec<u8>)> {
        let refused = Some((StatusCode::SERVICE_UNAVAILABLE, Vec::new()));
        let caches = self.caches.borrow();
        let (ObjectsCall::List(kind) | ObjectsCall::Watch(kind, ..)) = call;
        let Some(cache) = caches.get(kind.as_str()) else {
            return refused;
        };
        let is_fresh = cache
            .answered_at
            .is_some_and(|at| now.since_ms(at) <= MAX_RELAYED_AGE_MS);
        if !is_fresh {
            return refused;
        }
        match call {
            ObjectsCall::List(_) => {
                let list = encode_list(cache.objects.values(), cache.revision);
                Some((StatusCode::OK, list))
            }
            ObjectsCall::Watch(_, after, _) if *after < cache.history_floor => {
                Some((StatusCode::GONE, Vec::new()))
            }
            ObjectsCall::Watch(_, after, _) => {
                let is_newer = |(object, _): &&(StoredObject, bool)| object.revision > *after;
                let mut newer = cache.changes.iter().filter(is_newer).peekable();
                newer.peek()?;
                Some((StatusCode::OK, encode_events(newer, cache.revision)))
            }
        }
    }

    /// Returns an answer without changes for a watch whose waiting time is over, or a refusal if
    /// the kind is not cached.
    fn answer_empty(&self, call: &ObjectsCall) -> (StatusCode, Vec<u8>) {
        let caches = self.caches.borrow();
        let (ObjectsCall::List(kind) | ObjectsCall::Watch(kind, ..)) = call;
        match (call, caches.get(kind.as_str())) {
            (ObjectsCall::Watch(_, after, _), Some(cache)) => {
                // The calling gateway may have read a later revision elsewhere.
                let revision = cache.revision.max(*after);
                (StatusCode::OK, encode_events([], revision))
            }
            _ => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        }
    }
}

/// Parses and answers a request of another gateway.
async fn answer(gateway: &Gateway, request: Request<Incoming>) -> Response<AnswerBody> {
    let call = parse_objects_call(request.uri().path(), request.uri().query());
    let (status, body) = match call {
        Some(call) => answer_call(gateway, &call).await,
        None => (StatusCode::NOT_FOUND, Vec::new()),
    };
    let mut response = Response::new(full_body(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// Answers a call; a watch waits until there is a change or its waiting time is over.
async fn answer_call(gateway: &Gateway, call: &ObjectsCall) -> (StatusCode, Vec<u8>) {
    let wait_ms = match call {
        ObjectsCall::List(_) => 0,
        ObjectsCall::Watch(_, _, wait_ms) => *wait_ms,
    };
    let until = gateway.now().plus_ms(wait_ms);
    loop {
        let changed = gateway.relay.changed.notified();
        let now = gateway.now();
        if let Some(answer) = gateway.relay.try_answer(call, now) {
            return answer;
        }
        if now >= until {
            return gateway.relay.answer_empty(call);
        }
        // Wakes without a change, too, to refuse the call once the cache is too old.
        let wait = Duration::from_millis(until.since_ms(now).min(MAX_RELAYED_AGE_MS / 4));
        let _ = tokio::time::timeout(wait, changed).await;
    }
}

/// Accepts connections of other gateways and answers their calls, for ever.
pub(crate) async fn serve_gateways(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep_ms(ACCEPT_PAUSE_MS).await;
            continue;
        };
        let gateway = gateway.clone();
        tokio::task::spawn_local(async move {
            set_options(&stream);
            let service = service_fn(|request| {
                let gateway = gateway.clone();
                async move { Ok::<_, Infallible>(answer(&gateway, request).await) }
            });
            let result = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = result {
                tracing::debug!(%error, "a connection of another gateway ended");
            }
        });
    }
}
