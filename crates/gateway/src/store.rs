//! Client of the platform's store, and of gateways that serve the same calls as relays.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, body::Incoming, header};
use jacinthpoint_adapter::{
    DecodeError, Events, List, StoredObject, decode_era, decode_events, decode_list, decode_object,
    encode_object, headers,
    paths::{self, Freshness},
};
use jacinthpoint_fleet::{HistoryPosition, SourceTracker, StoreEra};
use jacinthpoint_types::TimeMs;
use serde_json::Value;
use tokio::time::timeout;

use crate::{
    connection::{Connection, SendError},
    events::log_event,
    relay::MAX_LIST_HOLD_MS,
};

/// Time for connecting to the store, which is a few milliseconds away.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time for the head of the store's answer, in addition to the wait that a watch requests, and between
/// two parts of its body. A slow store takes a few hundred milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 800;
/// Time within which a call with a short answer ends, if nothing delays it.
pub(crate) const MAX_CALL_MS: u64 = CONNECT_TIMEOUT_MS + ANSWER_TIMEOUT_MS;

/// Time for connecting to a relay, which is in the same data centre.
const RELAY_CONNECT_TIMEOUT_MS: u64 = 200;
/// Time for the head of a relay's answer, in addition to the wait that the call requests, and between
/// two parts of its body. Relays answer from memory.
const RELAY_ANSWER_TIMEOUT_MS: u64 = 250;
/// Time for the whole body of an answer.
const MAX_BODY_MS: u64 = 3_000;
/// Maximum length of the body of an answer: several times that of a list page, which has about 1 MB at most.
const MAX_BODY_BYTES: usize = 8 * 1_024 * 1_024;

/// Error of a call.
#[derive(Debug, derive_more::Display)]
pub(crate) enum StoreError {
    /// No connection could be opened; nothing was sent.
    #[display("not reached: {_0}")]
    NotReached(String),
    /// The connection failed or the timeout passed before the answer. The call may have been
    /// executed.
    #[display("no answer: {_0}")]
    NoAnswer(String),
    /// The store or relay refused the call with this status; nothing was executed.
    #[display("refused with status {_0}")]
    Refused(u16),
    /// The changes that a watch needs are no longer kept.
    #[display("the changes after the requested revision are no longer kept")]
    HistoryGone,
    /// The object has another revision than expected, or exists already. Holds the current object
    /// if the answer had it.
    #[display("the object has another revision or exists already")]
    Conflict(Option<Box<StoredObject>>),
    /// The answer is older than what was read before.
    #[display("the answer is older than what was read before")]
    Older,
    /// The answer could not be decoded.
    #[display("{_0}")]
    Unreadable(DecodeError),
}

/// Where a list could not go on, although objects follow.
#[derive(Debug)]
pub(crate) struct ListEnd {
    /// Name after which a page was asked for; `None` if that was the first page.
    pub(crate) after: Option<String>,
    /// Reason for the log.
    pub(crate) why: String,
}

/// Answer to a call.
struct Answer {
    status: u16,
    /// Era of the store's history; `None` if the answer names none that can be read.
    era: Option<StoreEra>,
    body: Bytes,
}

/// A client with one connection, which carries one call at a time. Tasks that call at the same time
/// need a client each.
#[derive(Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    connection: Option<Connection>,
    connect_timeout_ms: u64,
    answer_timeout_ms: u64,
    /// Whether the calls go to a relay instead of the store.
    is_relayed: bool,
    /// Era of the store's history that the last answer named.
    era: Option<StoreEra>,
}

/// Kind of a call to the store, by which calls are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum CallType {
    /// A part of a list.
    List,
    /// A part of a list, or one object, that may be old. The store charges less for it.
    OldRead,
    /// A watch for changes.
    Watch,
    /// A creation, replacement or removal.
    Write,
}

/// Numbers of calls, by the kind of objects and the type of the call.
pub(crate) type CallCounts = BTreeMap<(&'static str, CallType), u64>;

thread_local! {
    /// Calls to the store by all clients of this thread so far. Calls to relays are not counted.
    static CALLS: RefCell<CallCounts> = RefCell::default();
}

/// Returns the number of calls that this thread has sent to the store so far.
pub(crate) fn call_counts() -> CallCounts {
    CALLS.with_borrow(Clone::clone)
}

impl StoreClient {
    /// Returns a client of the store at `address`.
    pub(crate) fn new(address: SocketAddr) -> StoreClient {
        StoreClient {
            address,
            connection: None,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            answer_timeout_ms: ANSWER_TIMEOUT_MS,
            is_relayed: false,
            era: None,
        }
    }

    /// Returns a client of the relay at `address`, a gateway that serves objects of the store.
    pub(crate) fn for_relay(address: SocketAddr) -> StoreClient {
        StoreClient {
            address,
            connection: None,
            connect_timeout_ms: RELAY_CONNECT_TIMEOUT_MS,
            answer_timeout_ms: RELAY_ANSWER_TIMEOUT_MS,
            is_relayed: true,
            era: None,
        }
    }

    /// Returns the address that the calls go to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the position of the last change of an object that the last answer held.
    pub(crate) fn position_of(&self, object: &StoredObject) -> HistoryPosition {
        HistoryPosition {
            era: self.era,
            revision: object.revision,
        }
    }

    /// Returns whether the calls go to a relay instead of the store.
    pub(crate) fn is_relayed(&self) -> bool {
        self.is_relayed
    }

    /// Returns one part of the list of a kind: the objects after the name `after`.
    pub(crate) async fn list(
        &mut self,
        kind: &'static str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<List, StoreError> {
        let path = paths::list_after(kind, after, freshness);
        self.count(
            kind,
            match freshness {
                Freshness::Newest => CallType::List,
                Freshness::MayBeOld => CallType::OldRead,
            },
        );
        // A relay that has just started answers when it has read the list.
        let wait_ms = if self.is_relayed { MAX_LIST_HOLD_MS } else { 0 };
        let Answer { body, era, .. } = self.read(&path, wait_ms).await?;
        self.decoded(decode_list(&body, era))
    }

    /// Returns all objects of a kind, with the position from which a watch continues, and where the list ends
    /// early if the source gives no way to its next page. Fails with [`StoreError::HistoryGone`] if the store
    /// was restored while the parts were read.
    pub(crate) async fn list_all(
        &mut self,
        kind: &'static str,
        freshness: Freshness,
    ) -> Result<(List, Option<ListEnd>), StoreError> {
        let mut all = self.list(kind, None, freshness).await?;
        let mut after: Option<String> = None;
        let mut asked = BTreeSet::new();
        let mut last = all.objects.last().map(|object| object.name.clone());
        while all.has_more {
            let unfinished = |after, why: &str| {
                let why = why.to_owned();
                Some(ListEnd { after, why })
            };
            let Some(next) = last else {
                return Ok((all, unfinished(after, "no name on the page can be read")));
            };
            if !asked.insert(next.clone()) {
                return Ok((
                    all,
                    unfinished(after, "the page ends at a name that was asked for"),
                ));
            }
            let part = match self.list(kind, Some(&next), freshness).await {
                Ok(part) => part,
                // Another call of the same page would be refused, too.
                Err(error @ StoreError::Refused(400 | 404 | 414 | 422)) => {
                    return Ok((all, unfinished(Some(next), &error.to_string())));
                }
                Err(error) => return Err(error),
            };
            last = part.objects.last().map(|object| object.name.clone());
            after = Some(next);
            if part.position.era != all.position.era {
                return Err(StoreError::HistoryGone);
            }
            all.objects.extend(part.objects);
            all.unreadable.extend(part.unreadable);
            all.has_more = part.has_more;
            // The revision stays that of the first part. Changes made while the other parts were
            // read are therefore returned again by the watch.
        }
        Ok((all, None))
    }

    /// Returns the changes of a kind after a position. Waits for one for up to `wait_ms`; the result
    /// is empty if there is none by then.
    pub(crate) async fn watch(
        &mut self,
        kind: &'static str,
        after: HistoryPosition,
        wait_ms: u64,
    ) -> Result<Events, StoreError> {
        let path = if self.is_relayed() {
            paths::relayed_watch(kind, after, wait_ms)
        } else {
            paths::watch(kind, after.revision, wait_ms)
        };
        self.count(kind, CallType::Watch);
        let Answer { body, era, .. } = self.read(&path, wait_ms).await?;
        self.decoded(decode_events(&body, era))
    }

    /// Returns one object, in a state that may be seconds old; `None` if it does not exist.
    pub(crate) async fn get_stale(
        &mut self,
        kind: &'static str,
        name: &str,
    ) -> Result<Option<StoredObject>, StoreError> {
        self.count(kind, CallType::OldRead);
        match self.read(&paths::stale_object(kind, name), 0).await {
            Ok(answer) => self.decoded(decode_object(&answer.body)).map(Some),
            Err(StoreError::Refused(404)) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Creates an object; fails with [`StoreError::Conflict`] if it exists.
    pub(crate) async fn create(
        &mut self,
        kind: &'static str,
        name: &str,
        content: &Value,
    ) -> Result<StoredObject, StoreError> {
        let body = encode_object(name, None, content);
        self.count(kind, CallType::Write);
        // Nothing in the answer tells it from an earlier one to a creation of this name.
        self.connection = None;
        let path = paths::kind(kind);
        let body = self.send_write(Method::POST, &path, body).await?;
        self.decoded(decode_object(&body))
    }

    /// Replaces an object if its revision is `expected`; fails with [`StoreError::Conflict`]
    /// otherwise.
    ///
    /// An earlier answer on the connection that comes once more is recognised by its object.
    pub(crate) async fn replace(
        &mut self,
        kind: &'static str,
        name: &str,
        expected: u64,
        content: &Value,
    ) -> Result<StoredObject, StoreError> {
        let body = encode_object(name, Some(expected), content);
        self.count(kind, CallType::Write);
        let path = paths::object(kind, name);
        match self.send_write(Method::PUT, &path, body).await {
            Ok(body) => {
                let object = self.decoded(decode_object(&body))?;
                // A write that changes nothing leaves the revision as it is.
                let is_after = object.revision > expected || object.content == *content;
                if object.name == name && is_after {
                    return Ok(object);
                }
            }
            Err(StoreError::Conflict(Some(current)))
                if current.name != name || current.revision == expected => {}
            Err(error) => return Err(error),
        }
        self.connection = None;
        let why = "the answer belongs to an earlier call";
        Err(StoreError::NoAnswer(why.to_owned()))
    }

    /// Removes an object if its revision is `expected`; fails with [`StoreError::Conflict`]
    /// otherwise.
    pub(crate) async fn remove(
        &mut self,
        kind: &'static str,
        name: &str,
        expected: u64,
    ) -> Result<(), StoreError> {
        let path = paths::object_at(kind, name, expected);
        self.count(kind, CallType::Write);
        // The answer need not name the object.
        self.connection = None;
        self.send_write(Method::DELETE, &path, Vec::new()).await?;
        Ok(())
    }

    /// Counts a call, unless it goes to a relay.
    fn count(&self, kind: &'static str, call: CallType) {
        if !self.is_relayed {
            CALLS.with_borrow_mut(|calls| *calls.entry((kind, call)).or_default() += 1);
        }
    }

    /// Sends a read that waits up to `wait_ms` at the store, and returns the answer.
    async fn read(&mut self, path: &str, wait_ms: u64) -> Result<Answer, StoreError> {
        let timeout_ms = wait_ms + self.answer_timeout_ms;
        let answer = self
            .call(Method::GET, path, Bytes::new(), timeout_ms)
            .await?;
        match answer.status {
            200 => Ok(answer),
            410 => Err(StoreError::HistoryGone),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Closes the connection if its last answer could not be decoded: it may be that to another call.
    fn decoded<T>(&mut self, result: Result<T, DecodeError>) -> Result<T, StoreError> {
        result.map_err(|error| {
            self.connection = None;
            StoreError::Unreadable(error)
        })
    }

    /// Sends a write and returns the body of the answer to a successful one.
    async fn send_write(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Bytes, StoreError> {
        let Answer { status, body, .. } = self
            .call(method, path, body.into(), self.answer_timeout_ms)
            .await?;
        match status {
            200..=299 => Ok(body),
            409 => {
                let current = decode_object(&body).ok().map(Box::new);
                Err(StoreError::Conflict(current))
            }
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Sends one call and returns the answer.
    ///
    /// The connection is closed after any failure, because a connection whose answer was lost may
    /// not return any more answers.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Answer, StoreError> {
        let mut connection = match self.connection.take().filter(Connection::is_ready) {
            Some(connection) => connection,
            None => Connection::open(self.address, self.connect_timeout_ms)
                .await
                .map_err(|error| StoreError::NotReached(error.to_string()))?,
        };
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string());
        if !body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| StoreError::NotReached(error.to_string()))?;
        let failed = |error: SendError| StoreError::NoAnswer(error.to_string());
        let response = match timeout(ms(timeout_ms), connection.send(request)).await {
            Ok(response) => response.map_err(failed)?,
            Err(_) => return Err(timed_out()),
        };
        let status = response.status().as_u16();
        let era = response.headers().get(headers::STORE_ERA);
        let era = era.and_then(|era| decode_era(era.to_str().ok()?));
        let body = read_body(response.into_body(), self.answer_timeout_ms).await?;
        self.connection = Some(connection);
        self.era = era;
        Ok(Answer { status, era, body })
    }
}

/// Reads a whole body. Fails if no part of it arrives for `pause_ms`, or if it takes longer than
/// [`MAX_BODY_MS`]: a long list takes its time on a slow link, and only silence shows a fault. Fails above
/// [`MAX_BODY_BYTES`], too.
async fn read_body(mut body: Incoming, pause_ms: u64) -> Result<Bytes, StoreError> {
    let read = async {
        let mut bytes = BytesMut::new();
        loop {
            match timeout(ms(pause_ms), body.frame()).await {
                Ok(None) => return Ok(bytes.freeze()),
                Ok(Some(Ok(frame))) => {
                    let Some(part) = frame.data_ref() else {
                        continue;
                    };
                    if bytes.len() + part.len() > MAX_BODY_BYTES {
                        return Err(StoreError::NoAnswer("the body is too long".to_owned()));
                    }
                    bytes.extend_from_slice(part);
                }
                Ok(Some(Err(error))) => return Err(StoreError::NoAnswer(error.to_string())),
                Err(_) => return Err(timed_out()),
            }
        }
    };
    timeout(ms(MAX_BODY_MS), read)
        .await
        .unwrap_or_else(|_| Err(timed_out()))
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn timed_out() -> StoreError {
    StoreError::NoAnswer("timed out".to_owned())
}

/// Tracks for one task whether the store is available, and logs when this changes.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    pub(crate) tracker: SourceTracker,
}

impl Availability {
    /// Records an answer of the store, or of a relay if `is_relayed`. Returns whether the store was
    /// unavailable before this answer for so long that entries of live upstreams may have expired.
    /// `what` names the kind of objects in the log.
    pub(crate) fn on_answer(&mut self, what: &'static str, is_relayed: bool, now: TimeMs) -> bool {
        let recovery = self.tracker.on_answer(is_relayed, now);
        if let Some(unavailable_ms) = recovery.unavailable_ms {
            log_event!(
                info,
                StoreChanged,
                what,
                away_ms = unavailable_ms,
                "the store is available again"
            );
        }
        recovery.is_after_outage()
    }

    /// Records a failed call to the store. `what` names the kind of objects in the log.
    pub(crate) fn on_failure(&mut self, what: &'static str, error: &StoreError, now: TimeMs) {
        if self.tracker.on_store_failure(now) {
            log_event!(warn, StoreChanged, what, %error, "calls to the store fail");
        }
    }
}
