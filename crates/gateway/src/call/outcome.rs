//! Records results of attempts and requests in logs, metrics and the load tracker, and passes whole
//! answers on to the caller.

use hyper::{HeaderMap, Response, StatusCode, header};
use jacinthpoint_dispatch::{CrashId, StallPolicy, Target};
use jacinthpoint_types::{TimeMs, VmId};

use crate::{
    body::{AnswerBody, full_body},
    call::{attempt::WholeAnswer, context::Context, request::strip_hop_by_hop},
    events::log_event,
};

/// Records a failed attempt at a target, and logs if the target is ejected because of it.
pub(super) fn record_failure(context: &Context, target: &Target) {
    let gateway = &context.gateway;
    if gateway
        .loads
        .borrow_mut()
        .on_failure(&target.key, gateway.now())
    {
        gateway
            .metrics
            .count("targets_ejected", target.upstream.as_str());
        log_event!(warn, UpstreamEjected, upstream = %target.upstream, target = %target.key,
            "an upstream is ejected: it gets no requests for a time");
    }
}

/// Time in which the close of an idle connection reaches the gateway. Within a region, a round trip takes
/// a few milliseconds.
const CLOSE_RACE_MS: u64 = 20;

/// Point at which the connection of a request broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum BreakPoint {
    /// Before the head of the answer.
    BeforeHead,
    /// Before the head of the answer, within [`CLOSE_RACE_MS`] on a connection that had been idle. The
    /// upstream may have closed it before the request arrived.
    CloseRace,
    /// After the head of the answer.
    AfterHead,
}

impl BreakPoint {
    /// Returns the point for a connection that broke without a head, `elapsed_ms` after the request was
    /// sent.
    pub(super) fn without_head(is_new: bool, elapsed_ms: u64) -> BreakPoint {
        if is_new || elapsed_ms > CLOSE_RACE_MS {
            BreakPoint::BeforeHead
        } else {
            BreakPoint::CloseRace
        }
    }
}

/// Records that the connection of a request that was sent at `sent_at` broke before its second event.
pub(super) fn record_suspected_crash(
    context: &Context,
    target: &Target,
    at: BreakPoint,
    sent_at: TimeMs,
) {
    // The life to which the request was sent; the view may have a later one by now.
    let crash = CrashId {
        upstream: target.upstream.clone(),
        started_unix_ms: target.started_unix_ms,
    };
    let now = context.gateway.now();
    let mut notices = context.gateway.crash_notices.borrow_mut();
    let is_suspect = at != BreakPoint::CloseRace && notices.on_break(&crash, sent_at, now);
    let parts = context.content.parts.as_ref();
    let shared_parts = parts.map_or(&[][..], |parts| &parts.shared);
    let shared_parts: Vec<String> = shared_parts.iter().map(ToString::to_string).collect();
    log_event!(info, CrashSuspected, request = context.request_id, upstream = %target.upstream,
        started_unix_ms = crash.started_unix_ms, broke_at = %at, is_suspect, ?shared_parts, last_part = parts.map(|parts| parts.last.to_string()),
        elapsed_ms = context.elapsed_ms(), digest = context.content.digest.map(|digest| digest.to_string()), route = context.route.name,
        "the connection of a request broke before its second event");
    if is_suspect {
        let mut quarantine = context.gateway.quarantine.borrow_mut();
        quarantine.on_crash(&context.content, &crash, now);
    }
}

/// Records that an upstream did not run a request.
///
/// `faulty` is the group member that the upstream named as the cause, if any. The group is then
/// suspended, and the member is added to this gateway's fault reports. Only the owner of the groups
/// (the gateway that holds the lease) probes the members in its fault reports; other gateways
/// discard theirs.
pub(super) fn record_not_run(context: &Context, target: &Target, faulty: Option<VmId>) {
    let gateway = &context.gateway;
    // Whatever the cause, the target is treated as if it had shed the request for lack of room: it
    // is not selected for a time.
    gateway
        .loads
        .borrow_mut()
        .on_shed(&target.key, gateway.now());
    if let Some(faulty) = faulty {
        log_event!(warn, GroupSilent, target = %target.key, %faulty,
            "a group refused a request and named a faulty member");
        gateway
            .loads
            .borrow_mut()
            .suspend(&target.key, gateway.now());
        gateway
            .fault_reports
            .borrow_mut()
            .suspected_members
            .insert(faulty);
    }
}

/// What an attempt has to send next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Awaited {
    /// The head of the answer.
    Head,
    /// The first event of the stream.
    FirstEvent,
    /// An event after others.
    Event,
}

/// Logs that an attempt makes no progress, with what decided it. `since` is the time of its last event, or
/// that at which it was sent.
pub(super) fn log_stall(context: &Context, target: &Target, awaited: Awaited, since: TimeMs) {
    let gateway = &context.gateway;
    let now = gateway.now();
    let snapshot = gateway
        .snapshot()
        .unwrap_or_else(|| context.snapshot.clone());
    let mut listed = snapshot.directory.targets();
    let loads = gateway.loads.borrow();
    let group_event_at = loads.last_event_at(&target.key, now);
    gateway.metrics.count("attempts_stalled", awaited.into());
    log_event!(warn, AttemptStalled, request = context.request_id, upstream = %target.upstream,
        target = %target.key, %awaited, silent_ms = now.since_ms(since),
        group_silent_ms = group_event_at.map(|at| now.since_ms(at)),
        limit_ms = context.stall_policy().map(StallPolicy::limit_ms),
        is_suspended = loads.is_suspended(&target.key, now),
        is_listed = listed.any(|known| known.key == target.key),
        view_age_ms = now.since_ms(snapshot.built_at), version = %snapshot.config.version,
        "an attempt makes no progress");
}

/// Logs that an attempt at `target` is given up, since the request goes on at another one. `silent_ms` is the time
/// since the last event of its stream, if it has one.
pub(super) fn log_given_up(
    context: &Context,
    target: &Target,
    silent_ms: Option<u64>,
    goes_on_at: &Target,
) {
    context
        .gateway
        .metrics
        .count("attempts_given_up", "overtaken");
    log_event!(info, AttemptGivenUp, request = context.request_id, target = %target.key, silent_ms,
        goes_on_at = %goes_on_at.key, elapsed_ms = context.elapsed_ms(),
        "an attempt is given up, since the request goes on at another one");
}

/// Latencies of a stream's events.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StreamTimes {
    /// Time from the request's arrival to the first event.
    pub(super) first_event_ms: u64,
    /// Longest time between two successive events.
    pub(super) longest_gap_ms: u64,
}

/// Returns an upstream's answer as the caller's response and records the end of the request.
pub(super) fn pass_on(context: &Context, answer: WholeAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    remove_connection_headers(response.headers_mut());
    record_end(context, answer.status, "answered", None);
    response
}

/// Removes the hop-by-hop headers and `Content-Length`, which hyper sets again for a whole body.
pub(super) fn remove_connection_headers(fields: &mut HeaderMap) {
    strip_hop_by_hop(fields);
    fields.remove(header::CONTENT_LENGTH);
}

/// Records the end of a request in metrics and the log. `times` is given for streams with an event.
pub(super) fn record_end(
    context: &Context,
    status: StatusCode,
    outcome: &'static str,
    times: Option<StreamTimes>,
) {
    let gateway = &context.gateway;
    let elapsed_ms = context.elapsed_ms();
    let organisation = context.organisation_name();
    let route = &context.route.name;
    let metrics = &gateway.metrics;
    metrics.count("requests_ended", outcome);
    // How long the request would have taken is not known if its caller left.
    if outcome != "caller-left" {
        gateway.durations.borrow_mut().on_end(route, elapsed_ms);
    }
    metrics.record("request", organisation, route, elapsed_ms);
    if let Some(times) = times {
        metrics.record("first_event", organisation, route, times.first_event_ms);
        metrics.record("longest_gap", organisation, route, times.longest_gap_ms);
    }
    log_event!(
        info,
        RequestEnded,
        request = context.request_id,
        route,
        organisation,
        status = status.as_u16(),
        outcome,
        elapsed_ms,
        first_event_ms = times.map(|times| times.first_event_ms),
        longest_gap_ms = times.map(|times| times.longest_gap_ms),
        "a request ended"
    );
}
