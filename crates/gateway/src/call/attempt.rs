//! One attempt of a request at one upstream, up to the head of its answer.

use std::{rc::Rc, sync::Arc};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{HeaderMap, Response, StatusCode, body::Incoming, http::request::Parts};
use jacinthpoint_dispatch::{StallState, Target, TargetKey};
use jacinthpoint_fleet::RequestKind;
use jacinthpoint_types::{TimeMs, VmId};

use crate::{
    alarm,
    call::{
        answer::{Meaning, meaning, stated_load},
        context::Context,
        request::to_target,
    },
    connection::Connection,
    datagram::Alarm,
    events::log_event,
    pool::Checkout,
    state::Gateway,
};

/// Time to connect to an upstream. Connections within a region take a few milliseconds.
const CONNECT_MS: u64 = 400;
/// Objectives after which an answer that may be asked for again is given up.
const PATIENCE: u64 = 3;

/// Time between two looks at a silent attempt that nothing can replace.
const LOOK_AGAIN_MS: u64 = 250;

/// Time between two words to others on one silent group.
const TELL_EVERY_MS: u64 = 800;

/// Counts a request at its target while it lives.
#[derive(Debug)]
pub(super) struct InFlight {
    gateway: Rc<Gateway>,
    key: TargetKey,
}

impl InFlight {
    fn new(gateway: &Rc<Gateway>, key: &TargetKey) -> InFlight {
        gateway.loads.borrow_mut().on_sent(key, gateway.now());
        InFlight {
            gateway: gateway.clone(),
            key: key.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gateway.loads.borrow_mut().on_ended(&self.key);
    }
}

/// An answer that is there whole.
#[derive(Debug)]
pub(super) struct WholeAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// A stream whose head has arrived.
#[derive(Debug)]
pub(super) struct OpenStream {
    pub(super) target: Arc<Target>,
    pub(super) response: Response<Incoming>,
    pub(super) connection: Connection,
    pub(super) in_flight: InFlight,
}

/// How an attempt went.
#[derive(Debug)]
pub(super) enum Attempt {
    /// No byte of the request left.
    NotSent(String),
    /// The upstream did not run it.
    NotRun(Option<VmId>),
    /// It may have run.
    Unknown(String),
    /// The deadline passed; it may have run.
    DeadlinePassed,
    /// The upstream answered.
    Answered(WholeAnswer),
    /// The upstream began a stream.
    Stream(Box<OpenStream>),
}

/// What is sent in every attempt.
#[derive(Debug)]
pub(super) struct Sending {
    pub(super) head: Parts,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Sends the request to `target`.
pub(super) async fn send(
    context: &Context,
    sending: &Sending,
    target: &Arc<Target>,
    last_event_id: Option<&str>,
    is_last: bool,
) -> Attempt {
    let gateway = &context.gateway;
    let in_flight = InFlight::new(gateway, &target.key);
    let connect_ms = CONNECT_MS.min(context.remaining_ms());
    let may_repeat = context.route.may_retry_executed();
    let checkout = gateway
        .pool
        .checkout(target, may_repeat, connect_ms, gateway.now())
        .await;
    let Checkout {
        mut connection,
        is_new,
    } = match checkout {
        Ok(checkout) => checkout,
        Err(error) => return Attempt::NotSent(error.to_string()),
    };
    let request = to_target(
        context,
        &sending.head,
        &sending.headers,
        &sending.body,
        target,
        last_event_id,
    );
    log_event!(debug, RequestSent, request = context.attempt_id, upstream = %target.upstream,
        target = %target.key, is_new, elapsed_ms = context.elapsed_ms(), "a request was sent");
    let sent_at = gateway.now();
    let response = {
        let mut response = std::pin::pin!(connection.sender.try_send_request(request));
        let mut look_at = first_look(context, sent_at, is_last);
        loop {
            tokio::select! {
                response = response.as_mut() => break response,
                () = gateway.clock.sleep_until(look_at) => {
                    match look(context, target, sent_at, is_last) {
                        Look::Again(at) => look_at = at,
                        Look::GiveUp(why) => return Attempt::Unknown(why.to_owned()),
                        Look::DeadlinePassed => return Attempt::DeadlinePassed,
                    }
                }
            }
        }
    };
    let response = match response {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                // The request comes back whole, so no byte of it left.
                Some(_) => Attempt::NotSent("the connection was closed".to_owned()),
                None => Attempt::Unknown(error.error().to_string()),
            };
        }
    };
    if let Some(requests) = stated_load(response.headers()) {
        gateway
            .loads
            .borrow_mut()
            .on_load_reported(&target.key, requests, gateway.now());
    }
    match meaning(&response, &context.attempt_id) {
        Meaning::NotRun(faulty) => {
            gateway
                .pool
                .put_back_after(&target.key, connection, response, gateway.now());
            Attempt::NotRun(faulty)
        }
        Meaning::Unusable(why) => Attempt::Unknown(why.to_owned()),
        Meaning::Own => {
            let stream = OpenStream {
                target: target.clone(),
                response,
                connection,
                in_flight,
            };
            let is_stream = context.route.kind == RequestKind::Stream;
            if is_stream && stream.response.status() == StatusCode::OK {
                Attempt::Stream(Box::new(stream))
            } else {
                read_whole(context, stream).await
            }
        }
    }
}

/// Reads the rest of an answer that is passed on only when it is there whole.
async fn read_whole(context: &Context, stream: OpenStream) -> Attempt {
    let gateway = &context.gateway;
    let OpenStream {
        target,
        response,
        connection,
        in_flight,
    } = stream;
    let _in_flight = in_flight;
    let (head, body) = response.into_parts();
    let deadline = gateway.clock.instant(context.deadline.0);
    let body = match tokio::time::timeout_at(deadline, body.collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return Attempt::Unknown(error.to_string()),
        Err(_) => return Attempt::DeadlinePassed,
    };
    gateway
        .pool
        .put_back(&target.key, connection, &head.headers, gateway.now());
    Attempt::Answered(WholeAnswer {
        status: head.status,
        headers: head.headers,
        body,
    })
}

enum Look {
    Again(TimeMs),
    GiveUp(&'static str),
    DeadlinePassed,
}

/// When to look first whether an attempt is still worth waiting for.
fn first_look(context: &Context, sent_at: TimeMs, is_last: bool) -> TimeMs {
    let deadline = context.deadline.0;
    let look_at = match context.silence() {
        Some(silence) => silence.first_check(sent_at),
        None if is_last || !context.route.may_retry_executed() => deadline,
        None => sent_at.plus_ms(context.route.answer_objective_ms * PATIENCE),
    };
    look_at.min(deadline)
}

/// Looks whether an attempt without an answer is still worth waiting for. The last one is, until
/// the deadline: nothing could take its place.
fn look(context: &Context, target: &Target, sent_at: TimeMs, is_last: bool) -> Look {
    let gateway = &context.gateway;
    let now = gateway.now();
    let deadline = context.deadline;
    if deadline.has_passed(now) {
        return Look::DeadlinePassed;
    }
    let is_final = is_last || !context.route.may_retry_executed();
    let Some(silence) = context.silence() else {
        return if is_final {
            Look::Again(deadline.0)
        } else {
            Look::GiveUp("no answer in time")
        };
    };
    let loads = gateway.loads.borrow();
    let group_at = loads.last_event_at(&target.key, now);
    let is_known_silent = loads.is_suspended_or_stalled(&target.key, Some(silence), now);
    drop(loads);
    let verdict = silence.check_waiting(sent_at, group_at, is_known_silent, now);
    if silence.should_probe_members(sent_at, group_at, now) {
        suspect(gateway, target, false);
    }
    match verdict {
        StallState::CheckAgainAt(at) => Look::Again(at.min(deadline.0)),
        StallState::GroupStalled | StallState::StreamStalled if is_final => {
            Look::Again(now.plus_ms(LOOK_AGAIN_MS).min(deadline.0))
        }
        StallState::GroupStalled => Look::GiveUp("the group makes no progress"),
        StallState::StreamStalled => Look::GiveUp("the stream makes no progress"),
    }
}

/// Takes in that a group makes no progress: its members are probed, and it gets no requests for a
/// time if a stream that flowed has stopped.
pub(super) fn suspect(gateway: &Gateway, target: &Target, has_flowed: bool) {
    let Some(group) = &target.group else {
        return;
    };
    let now = gateway.now();
    if gateway.loads.borrow().is_suspended(&target.key, now) {
        return;
    }
    if has_flowed {
        gateway.loads.borrow_mut().suspend(&target.key, now);
    }
    let told_at = gateway.silence_told_at.borrow().get(&target.key).copied();
    if told_at.is_some_and(|at| now.since_ms(at) < TELL_EVERY_MS) {
        return;
    }
    gateway
        .silence_told_at
        .borrow_mut()
        .insert(target.key.clone(), now);
    gateway.metrics.count("groups_silent", "silence");
    log_event!(warn, GroupSilent, group = %group.id, head = %target.upstream, has_flowed,
        "a group makes no progress");
    alarm::send(gateway, &Alarm::Silent(group.members.clone()));
}
