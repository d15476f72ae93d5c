//! Passes on to other gateways what this one reads from the store.
//!
//! The store counts each call, and a fleet of gateways that all watch it makes calls by the number
//! of gateways times the number of changes. So only some in each data centre read the store; the
//! others watch one of these, with the same calls. What is passed on is never older than
//! [`UNHEARD_MS`]: a gateway that has not heard from the store for longer refuses, and those behind
//! it turn to the store themselves.

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
use jacinthpoint_fleet::UNHEARD_MS;
use jacinthpoint_types::TimeMs;
use tokio::{net::TcpListener, sync::Notify};

use crate::{
    body::{AnswerBody, whole},
    clock::sleep_ms,
    connection::set_options,
    state::Gateway,
};

/// Changes that are kept for watches that lag behind.
const MAX_CHANGES: usize = 2_000;
/// Pause after a failed accept.
const ACCEPT_PAUSE_MS: u64 = 20;

/// What was read of one kind.
#[derive(Debug, Default)]
struct Journal {
    objects: BTreeMap<String, StoredObject>,
    changes: VecDeque<(StoredObject, bool)>,
    /// Revision after which all changes are kept.
    floor: u64,
    revision: u64,
    answered_at: Option<TimeMs>,
}

/// What was read of all kinds.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    journals: RefCell<BTreeMap<&'static str, Journal>>,
    changed: Notify,
}

impl Relay {
    /// Takes in a whole list from the store.
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
        let journal = Journal {
            objects: objects.collect(),
            changes: VecDeque::new(),
            floor: revision,
            revision,
            answered_at: Some(now),
        };
        self.journals.borrow_mut().insert(kind, journal);
        self.changed.notify_waiters();
    }

    /// Takes in the answer of a watch on the store.
    pub(crate) fn on_events(
        &self,
        kind: &'static str,
        changes: &[(StoredObject, bool)],
        revision: u64,
        now: TimeMs,
    ) {
        let mut journals = self.journals.borrow_mut();
        let Some(journal) = journals.get_mut(kind) else {
            return;
        };
        journal.answered_at = Some(now);
        journal.revision = revision;
        for (object, is_gone) in changes {
            if *is_gone {
                journal.objects.remove(&object.name);
            } else {
                journal.objects.insert(object.name.clone(), object.clone());
            }
            journal.changes.push_back((object.clone(), *is_gone));
        }
        while journal.changes.len() > MAX_CHANGES {
            if let Some((object, _)) = journal.changes.pop_front() {
                journal.floor = object.revision;
            }
        }
        self.changed.notify_waiters();
    }

    /// Forgets what was read of a kind: it is read from another gateway from now on.
    pub(crate) fn remove_kind(&self, kind: &'static str) {
        self.journals.borrow_mut().remove(kind);
        self.changed.notify_waiters();
    }

    /// Answers a call now; `None` if a watch has to wait.
    fn try_answer(&self, call: &ObjectsCall, now: TimeMs) -> Option<(StatusCode, Vec<u8>)> {
        let refused = Some((StatusCode::SERVICE_UNAVAILABLE, Vec::new()));
        let journals = self.journals.borrow();
        let (ObjectsCall::List(kind) | ObjectsCall::Watch(kind, ..)) = call;
        let Some(journal) = journals.get(kind.as_str()) else {
            return refused;
        };
        let is_fresh = journal
            .answered_at
            .is_some_and(|at| now.since_ms(at) <= UNHEARD_MS);
        if !is_fresh {
            return refused;
        }
        match call {
            ObjectsCall::List(_) => {
                let list = encode_list(journal.objects.values(), journal.revision);
                Some((StatusCode::OK, list))
            }
            ObjectsCall::Watch(_, after, _) if *after < journal.floor => {
                Some((StatusCode::GONE, Vec::new()))
            }
            ObjectsCall::Watch(_, after, _) => {
                let is_newer = |(object, _): &&(StoredObject, bool)| object.revision > *after;
                let mut newer = journal.changes.iter().filter(is_newer).peekable();
                newer.peek()?;
                Some((StatusCode::OK, encode_events(newer, journal.revision)))
            }
        }
    }

    /// Answers a watch whose wait is over.
    fn answer_empty(&self, call: &ObjectsCall) -> (StatusCode, Vec<u8>) {
        let journals = self.journals.borrow();
        let (ObjectsCall::List(kind) | ObjectsCall::Watch(kind, ..)) = call;
        match (call, journals.get(kind.as_str())) {
            (ObjectsCall::Watch(_, after, _), Some(journal)) => {
                let revision = journal.revision.max(*after);
                (StatusCode::OK, encode_events([], revision))
            }
            _ => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        }
    }
}

async fn answer(gateway: &Gateway, request: Request<Incoming>) -> Response<AnswerBody> {
    let call = parse_objects_call(request.uri().path(), request.uri().query());
    let (status, body) = match call {
        Some(call) => answer_call(gateway, &call).await,
        None => (StatusCode::NOT_FOUND, Vec::new()),
    };
    let mut response = Response::new(whole(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

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
        let wait = Duration::from_millis(until.since_ms(now).min(UNHEARD_MS / 4));
        let _ = tokio::time::timeout(wait, changed).await;
    }
}

/// Serves other gateways for ever.
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
