//! Serves objects that this gateway has read from the store to other gateways.
//!
//! Each call to the store has a price, and the rate of calls is limited. If every gateway watched
//! the store, the number of calls would be the number of gateways times the number of changes. So
//! only some gateways of each data centre read the store; the others watch one of these with the
//! same calls. Served objects are never older than a maximum age of their kind: a gateway whose last
//! answer from the store is older refuses the call. The calling gateway then calls it again, and
//! after several refusals uses the next relay or the store itself.
//!
//! Many gateways ask for the same at the same time. Each answer is encoded once for all of them.

use std::{
    cell::{OnceCell, RefCell},
    collections::{BTreeMap, BTreeSet, VecDeque},
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, body::Incoming, header::HeaderValue};
use jacinthpoint_adapter::{
    StoredObject, encode_events, encode_list, headers,
    paths::{ObjectsCall, parse_objects_call},
};
use jacinthpoint_fleet::{HistoryPosition, StoreEra};
use jacinthpoint_types::TimeMs;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
};

use crate::{
    body::{AnswerBody, full_body},
    call,
    clock::sleep_ms,
    connection::set_peer_options,
    edge::{accept_last, open_account, serve_guarded},
    events::log_event,
    memory::Listener,
    state::{Gateway, OpenConnectionGuard, Phase},
    watch,
};

/// Number of changes of each kind that are kept for watches that lag behind.
const MAX_CHANGES: usize = 2_000;
/// Time for which a call is held if this gateway reads the kind from the store, but has not read the
/// list yet, and a call for the list if what it has is too old. Gateways that start together, or lost
/// the same changes, all ask their relays before these have read anything.
pub(crate) const MAX_LIST_HOLD_MS: u64 = 600;
/// Longest wait of a watch. Gateways ask for less; anybody else must not hold a place for longer.
const MAX_WATCH_MS: u64 = 5_000;
/// Time between two checks of whether the objects for a waiting watch are too old.
const AGE_CHECK_INTERVAL_MS: u64 = 275;
/// Part of the descriptors that connections of other gateways may take. They are counted beside those of callers
/// and upstreams, of which few are open on a gateway that serves many others.
const PEERS_DIVISOR: usize = 4;
/// Maximum size of the head of their requests: the largest head of a caller, and what the other gateway adds.
const MAX_HEAD_BYTES: usize = 68 * 1_024;
/// Pause after a failed accept.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Objects of one kind and their latest changes, as read from the store.
#[derive(Debug)]
struct KindCache {
    objects: BTreeMap<String, Rc<StoredObject>>,
    /// Last change of each object since `history_floor`, oldest first; `true` marks a removed object. Earlier
    /// changes of an object are dropped, since a configuration can be large and change often.
    changes: VecDeque<(Rc<StoredObject>, bool)>,
    /// Revision after which all changes are kept. A watch from an earlier revision, or from another
    /// history, is answered with `GONE`, and the calling gateway lists the objects again.
    history_floor: u64,
    /// Position in the store's history up to which the cache is complete.
    position: HistoryPosition,
    /// Time of the store's last answer.
    answered_at: TimeMs,
    /// Age of the store's last answer from which calls are refused.
    max_age_ms: u64,
    /// The whole list at `position`, once it was asked for.
    encoded_list: Option<Bytes>,
    /// The changes from a revision on to `position`, as they were last asked for.
    encoded_changes: Option<(u64, Bytes)>,
}

/// Answer to a call of another gateway.
struct RelayAnswer {
    status: StatusCode,
    /// Era of the store's history that the body is from; `None` without a body, or if the store
    /// named none.
    era: Option<StoreEra>,
    body: Bytes,
}

impl RelayAnswer {
    fn without_body(status: StatusCode) -> RelayAnswer {
        RelayAnswer {
            status,
            era: None,
            body: Bytes::new(),
        }
    }
}

/// Objects read from the store, by kind.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    caches: RefCell<BTreeMap<&'static str, KindCache>>,
    /// Kinds that this gateway reads from another gateway.
    relayed: RefCell<BTreeSet<&'static str>>,
    /// Wakes waiting watches after every change.
    changed: Notify,
}

impl Relay {
    /// Replaces the objects of a kind by a whole list from the store. They are served until the
    /// store's last answer is `max_age_ms` old.
    pub(crate) fn on_list(
        &self,
        kind: &'static str,
        objects: &[StoredObject],
        position: HistoryPosition,
        max_age_ms: u64,
        now: TimeMs,
    ) {
        let objects = objects
            .iter()
            .map(|object| (object.name.clone(), Rc::new(object.clone())));
        let cache = KindCache {
            objects: objects.collect(),
            changes: VecDeque::new(),
            history_floor: position.revision,
            position,
            answered_at: now,
            max_age_ms,
            encoded_list: None,
            encoded_changes: None,
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
        position: HistoryPosition,
        now: TimeMs,
    ) {
        let mut caches = self.caches.borrow_mut();
        let Some(cache) = caches.get_mut(kind) else {
            return;
        };
        cache.answered_at = now;
        if cache.position != position || !changes.is_empty() {
            cache.encoded_list = None;
            cache.encoded_changes = None;
        }
        cache.position = position;
        for (object, is_gone) in changes {
            cache.apply(object, *is_gone);
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
        self.relayed.borrow_mut().insert(kind);
        self.changed.notify_waiters();
    }

    /// Forgets the objects of a kind, since some may be missing. Until a whole list was read, calls are held.
    pub(crate) fn discard(&self, kind: &'static str) {
        self.caches.borrow_mut().remove(kind);
        self.changed.notify_waiters();
    }

    /// Begins to serve a kind that this gateway now reads from the store. Until its list was read,
    /// calls are held.
    pub(crate) fn add_kind(&self, kind: &'static str) {
        self.relayed.borrow_mut().remove(kind);
    }

    /// Answers a call; returns `None` if a watch has to wait for a change, or a call for a recent
    /// list.
    fn try_answer(&self, call: &ObjectsCall, now: TimeMs) -> Option<RelayAnswer> {
        let refused = Some(RelayAnswer::without_body(StatusCode::SERVICE_UNAVAILABLE));
        let mut caches = self.caches.borrow_mut();
        let (ObjectsCall::List(kind) | ObjectsCall::Watch(kind, ..)) = call;
        let is_served =
            watch::KINDS.contains(&kind.as_str()) && !self.relayed.borrow().contains(kind.as_str());
        let Some(cache) = caches.get_mut(kind.as_str()) else {
            return if is_served { None } else { refused };
        };
        let is_old = now.since_ms(cache.answered_at) > cache.max_age_ms;
        let ObjectsCall::Watch(_, after, _) = call else {
            if is_old {
                return None;
            }
            let list = cache
                .encoded_list
                .get_or_insert_with(|| {
                    let objects = cache.objects.values().map(Rc::as_ref);
                    encode_list(objects, cache.position.revision).into()
                })
                .clone();
            return Some(cache.answer(list));
        };
        let has_era = after.era.is_some() && cache.position.era.is_some();
        if is_old || (has_era && after.era > cache.position.era) {
            return refused;
        }
        if after.revision < cache.history_floor || (has_era && after.era < cache.position.era) {
            return Some(RelayAnswer::without_body(StatusCode::GONE));
        }
        let known = cache.encoded_changes.as_ref();
        if let Some((_, changes)) = known.filter(|(from, _)| *from == after.revision) {
            return Some(cache.answer(changes.clone()));
        }
        let changes = cache.changes.iter();
        let changes = changes.map(|(object, is_gone)| (object.as_ref(), *is_gone));
        let mut newer = changes
            .filter(|(object, _)| object.revision > after.revision)
            .peekable();
        newer.peek()?;
        let changes = Bytes::from(encode_events(newer, cache.position.revision));
        cache.encoded_changes = Some((after.revision, changes.clone()));
        Some(cache.answer(changes))
    }

    /// Returns an answer without changes for a watch whose waiting time is over, or a refusal if
    /// the kind is not cached.
    fn answer_empty(&self, call: &ObjectsCall) -> RelayAnswer {
        let caches = self.caches.borrow();
        let (ObjectsCall::List(kind) | ObjectsCall::Watch(kind, ..)) = call;
        match (call, caches.get(kind.as_str())) {
            (ObjectsCall::Watch(_, after, _), Some(cache)) => {
                // The calling gateway may have read a later revision elsewhere.
                let revision = cache.position.revision.max(after.revision);
                cache.answer(encode_events([], revision).into())
            }
            _ => RelayAnswer::without_body(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

impl KindCache {
    /// Applies one change, which takes the place of the last one of the same object.
    fn apply(&mut self, object: &StoredObject, is_gone: bool) {
        let object = Rc::new(object.clone());
        let previous = match is_gone {
            true => self.objects.remove(&object.name),
            false => self.objects.insert(object.name.clone(), object.clone()),
        };
        if let Some(previous) = previous {
            let changes = &mut self.changes;
            let begin =
                changes.partition_point(|(changed, _)| changed.revision < previous.revision);
            let is_previous = |changed: &StoredObject| {
                changed.revision == previous.revision && changed.name == previous.name
            };
            if (changes.get(begin)).is_some_and(|(changed, _)| is_previous(changed)) {
                changes.remove(begin);
            }
        }
        self.changes.push_back((object, is_gone));
    }

    /// Returns a successful answer, which is from the cache's history.
    fn answer(&self, body: Bytes) -> RelayAnswer {
        RelayAnswer {
            status: StatusCode::OK,
            era: self.position.era,
            body,
        }
    }
}

/// Parses and answers a call of another gateway.
async fn answer(gateway: &Gateway, request: Request<Incoming>) -> Response<AnswerBody> {
    let call = parse_objects_call(request.uri().path(), request.uri().query());
    let answer = match call {
        Some(call) => answer_call(gateway, &call).await,
        None => RelayAnswer::without_body(StatusCode::NOT_FOUND),
    };
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.status;
    if let Some(era) = answer.era {
        let fields = response.headers_mut();
        fields.insert(headers::STORE_ERA, HeaderValue::from(era.0));
    }
    response
}

/// Answers a call; a watch waits until there is a change or its waiting time is over.
async fn answer_call(gateway: &Gateway, call: &ObjectsCall) -> RelayAnswer {
    let wait_ms = match call {
        ObjectsCall::List(_) => MAX_LIST_HOLD_MS,
        ObjectsCall::Watch(_, _, wait_ms) => (*wait_ms).min(MAX_WATCH_MS),
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
        let wait = Duration::from_millis(until.since_ms(now).min(AGE_CHECK_INTERVAL_MS));
        let _ = tokio::time::timeout(wait, changed).await;
    }
}

/// Accepts connections of other gateways and answers their calls, until the gateway ends all connections.
///
/// Those that wait in the listener's queue are served, and later ones refused by the operating system, so
/// that no forwarded request lies unread when the process exits.
pub(crate) async fn serve_gateways(gateway: Rc<Gateway>, listener: TcpListener) {
    gateway.open_listeners.set(gateway.open_listeners.get() + 1);
    let mut phase = gateway.phase.subscribe();
    let ending = phase.wait_for(|phase| *phase >= Phase::Ending);
    let mut ending = std::pin::pin!(ending);
    loop {
        let accepted = tokio::select! {
            biased;
            _ = ending.as_mut() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => begin_serving(&gateway, stream),
            Err(error) => {
                log_event!(warn, AcceptFailed, %error,
                    "a connection of another gateway could not be accepted");
                sleep_ms(ACCEPT_PAUSE_MS).await;
            }
        }
    }
    for stream in accept_last(listener).await {
        begin_serving(&gateway, stream);
    }
    gateway.open_listeners.set(gateway.open_listeners.get() - 1);
}

/// Serves a connection of another gateway in a task of its own.
///
/// It counts as open from its first forwarded request on, whose gateway closes it after the answer.
/// Connections with other calls do not count: these are reads, which the calling gateway repeats elsewhere.
fn begin_serving(gateway: &Rc<Gateway>, stream: TcpStream) {
    let max_connections = gateway.settings().descriptors / PEERS_DIVISOR;
    let account = open_account(gateway, Listener::Peers, max_connections, false);
    let Some(account) = account else {
        return;
    };
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        set_peer_options(&stream);
        let guard = OnceCell::new();
        let respond = |request: Request<Incoming>| {
            let gateway = gateway.clone();
            let is_forwarded = request.headers().contains_key(call::FORWARDED_BY);
            if is_forwarded {
                guard.get_or_init(|| OpenConnectionGuard::new(&gateway));
            }
            async move {
                if is_forwarded {
                    call::answer_forwarded(gateway, request).await
                } else {
                    answer(&gateway, request).await
                }
            }
        };
        let result = serve_guarded(&gateway, stream, account, MAX_HEAD_BYTES, respond).await;
        if let Err(error) = result {
            tracing::debug!(%error, "a connection of another gateway ended");
        }
    });
}
