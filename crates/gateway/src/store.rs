//! Client of the platform's store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, header};
use jacinthpoint_adapter::{
    DecodeError, Events, List, StoredObject, decode_events, decode_list, decode_object,
    encode_object,
    paths::{self, Freshness},
};
use jacinthpoint_fleet::SourceTracker;
use jacinthpoint_types::TimeMs;
use serde_json::Value;
use tokio::time::timeout;

use crate::{connection::Connection, events::log_event};

/// Time to connect. The store is a few milliseconds away.
const CONNECT_MS: u64 = 500;
/// Time to wait for an answer, beyond what a watch asks for. A slow store takes some hundred
/// milliseconds.
const ANSWER_MS: u64 = 800;

/// Time to connect to another gateway, and to wait for its answer beyond what a watch asks for. It
/// is in the same data centre and answers from memory.
const RELAY_CONNECT_MS: u64 = 200;
const RELAY_ANSWER_MS: u64 = 250;

/// Why a call failed.
#[derive(Debug, derive_more::Display)]
pub(crate) enum StoreError {
    /// Nothing was sent.
    #[display("not reached: {_0}")]
    NotReached(String),
    /// The call may have been executed.
    #[display("no answer: {_0}")]
    NoAnswer(String),
    /// The store refused; nothing was done.
    #[display("refused with status {_0}")]
    Refused(u16),
    /// The history that a watch needs is gone.
    #[display("the history is gone")]
    HistoryGone,
    /// The object has another revision, or exists already.
    #[display("the object has another revision")]
    Conflict(Option<Box<StoredObject>>),
    /// The answer cannot be read.
    #[display("{_0}")]
    Unreadable(DecodeError),
}

/// A client with a connection of its own. Users that wait for each other's answers need one each.
#[derive(Debug)]
pub(crate) struct Store {
    address: SocketAddr,
    connection: Option<Connection>,
    connect_ms: u64,
    answer_ms: u64,
    /// Calls made, for the metrics. Those to other gateways are not counted.
    calls: Option<&'static CallCounts>,
}

/// Calls of all clients of the process.
#[derive(Debug, Default)]
pub(crate) struct CallCounts {
    reads: std::sync::atomic::AtomicU64,
    writes: std::sync::atomic::AtomicU64,
}

/// Calls made so far.
static CALLS: CallCounts = CallCounts {
    reads: std::sync::atomic::AtomicU64::new(0),
    writes: std::sync::atomic::AtomicU64::new(0),
};

/// Reads and writes made so far by this process.
pub(crate) fn call_counts() -> (u64, u64) {
    use std::sync::atomic::Ordering::Relaxed;
    (CALLS.reads.load(Relaxed), CALLS.writes.load(Relaxed))
}

impl Store {
    /// A client of the store at `address`.
    pub(crate) fn new(address: SocketAddr) -> Store {
        Store {
            address,
            connection: None,
            connect_ms: CONNECT_MS,
            answer_ms: ANSWER_MS,
            calls: Some(&CALLS),
        }
    }

    /// A client of another gateway that passes on what it reads from the store.
    pub(crate) fn relayed(address: SocketAddr) -> Store {
        Store {
            address,
            connection: None,
            connect_ms: RELAY_CONNECT_MS,
            answer_ms: RELAY_ANSWER_MS,
            calls: None,
        }
    }

    /// Whom it asks.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it asks another gateway instead of the store.
    pub(crate) fn is_relayed(&self) -> bool {
        self.calls.is_none()
    }

    /// One part of the list of a kind.
    pub(crate) async fn list(
        &mut self,
        kind: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<List, StoreError> {
        let path = paths::list_after(kind, after, freshness);
        let body = self.read(&path, 0).await?;
        decode_list(&body).map_err(StoreError::Unreadable)
    }

    /// All objects of a kind, with the revision from which a watch goes on.
    pub(crate) async fn list_all(
        &mut self,
        kind: &str,
        freshness: Freshness,
    ) -> Result<List, StoreError> {
        let mut all = self.list(kind, None, freshness).await?;
        while all.has_more {
            let Some(last) = all.objects.last().map(|object| object.name.clone()) else {
                break;
            };
            let part = self.list(kind, Some(&last), freshness).await?;
            all.objects.extend(part.objects);
            all.has_more = part.has_more;
            // The watch goes on from the first part: what changed while the others were read
            // comes again.
        }
        Ok(all)
    }

    /// Changes of a kind after `revision`; empty after `wait_ms` without one.
    pub(crate) async fn watch(
        &mut self,
        kind: &str,
        revision: u64,
        wait_ms: u64,
    ) -> Result<Events, StoreError> {
        let body = self
            .read(&paths::watch(kind, revision, wait_ms), wait_ms)
            .await?;
        decode_events(&body).map_err(StoreError::Unreadable)
    }

    /// One object, perhaps seconds old; `None` if it does not exist.
    pub(crate) async fn get_stale(
        &mut self,
        kind: &str,
        name: &str,
    ) -> Result<Option<StoredObject>, StoreError> {
        match self.read(&paths::stale_object(kind, name), 0).await {
            Ok(body) => decode_object(&body)
                .map(Some)
                .map_err(StoreError::Unreadable),
            Err(StoreError::Refused(404)) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Creates an object.
    pub(crate) async fn create(
        &mut self,
        kind: &str,
        name: &str,
        content: &Value,
    ) -> Result<StoredObject, StoreError> {
        let body = encode_object(name, None, content);
        self.write(Method::POST, &paths::kind(kind), body).await
    }

    /// Replaces an object whose revision is still `expected`.
    pub(crate) async fn replace(
        &mut self,
        kind: &str,
        name: &str,
        expected: u64,
        content: &Value,
    ) -> Result<StoredObject, StoreError> {
        let body = encode_object(name, Some(expected), content);
        self.write(Method::PUT, &paths::object(kind, name), body)
            .await
    }

    async fn read(&mut self, path: &str, wait_ms: u64) -> Result<Bytes, StoreError> {
        if let Some(calls) = self.calls {
            calls
                .reads
                .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        }
        match self
            .call(Method::GET, path, Bytes::new(), wait_ms + self.answer_ms)
            .await?
        {
            (200, body) => Ok(body),
            (410, _) => Err(StoreError::HistoryGone),
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    async fn write(
        &mut self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<StoredObject, StoreError> {
        if let Some(calls) = self.calls {
            calls
                .writes
                .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        }
        match self.call(method, path, body.into(), self.answer_ms).await? {
            (200..=299, body) => decode_object(&body).map_err(StoreError::Unreadable),
            (409, body) => {
                let current = decode_object(&body).ok().map(Box::new);
                Err(StoreError::Conflict(current))
            }
            (status, _) => Err(StoreError::Refused(status)),
        }
    }

    /// Makes one call. A connection whose answer was lost returns nothing further, so it is closed
    /// after any failure.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<(u16, Bytes), StoreError> {
        let mut connection = match self.connection.take().filter(Connection::is_ready) {
            Some(connection) => connection,
            None => Connection::open(self.address, self.connect_ms)
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
        let exchange = async {
            let response = connection.sender.send_request(request).await?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await?.to_bytes();
            Ok::<_, hyper::Error>((status, body))
        };
        match timeout(Duration::from_millis(timeout_ms), exchange).await {
            Ok(Ok(answer)) => {
                self.connection = Some(connection);
                Ok(answer)
            }
            Ok(Err(error)) => Err(StoreError::NoAnswer(error.to_string())),
            Err(_) => Err(StoreError::NoAnswer("timed out".to_owned())),
        }
    }
}

/// Whether the store answers, as one of its users sees it; logs the changes.
#[derive(Debug, Default)]
pub(crate) struct Availability {
    pub(crate) reading: SourceTracker,
}

impl Availability {
    /// Takes in an answer of the store, or of a reader; tells whether the store was away before it
    /// for so long that live entries may have lapsed.
    pub(crate) fn on_answer(&mut self, what: &'static str, is_relayed: bool, now: TimeMs) -> bool {
        let back = self.reading.on_answer(is_relayed, now);
        if let Some(away_ms) = back.unavailable_ms {
            log_event!(info, StoreChanged, what, away_ms, "the store answers again");
        }
        back.is_after_outage()
    }

    /// Takes in a failure of the store.
    pub(crate) fn on_failure(&mut self, what: &'static str, error: &StoreError, now: TimeMs) {
        if self.reading.on_store_failure(now) {
            log_event!(warn, StoreChanged, what, %error, "the store does not answer");
        }
    }
}
