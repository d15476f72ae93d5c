//! What the end of an attempt and of a request means for logs, metrics and the loads of targets.

use hyper::{HeaderMap, Response, StatusCode, header};
use jacinthpoint_dispatch::Target;
use jacinthpoint_types::VmId;

use crate::{
    body::{AnswerBody, whole},
    call::{attempt::WholeAnswer, context::Context, request::strip_hop_by_hop},
    events::log_event,
};

/// Takes in a failure of a target.
pub(super) fn note_failure(context: &Context, target: &Target) {
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
            "an upstream is left alone for a time");
    }
}

/// Takes in that an upstream did not run a request; `faulty` is the one it blames.
pub(super) fn note_not_run(context: &Context, target: &Target, faulty: Option<VmId>) {
    let gateway = &context.gateway;
    gateway
        .loads
        .borrow_mut()
        .on_shed(&target.key, gateway.now());
    if let Some(faulty) = faulty {
        log_event!(warn, GroupSilent, target = %target.key, %faulty,
            "a group blames one of its members");
        gateway
            .loads
            .borrow_mut()
            .suspend(&target.key, gateway.now());
        gateway
            .fault_reports
            .borrow_mut()
            .stalled_members
            .insert(faulty);
    }
}

/// When the events of a stream came.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StreamTimes {
    /// From the request to the first event.
    pub(super) first_event_ms: u64,
    /// Longest time between two events.
    pub(super) longest_gap_ms: u64,
}

/// Passes an upstream's answer on as it is.
pub(super) fn pass_on(context: &Context, answer: WholeAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(whole(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    clean(response.headers_mut());
    note_end(context, answer.status, "answered", None);
    response
}

/// Removes the headers that concern the connection to the upstream.
pub(super) fn clean(fields: &mut HeaderMap) {
    strip_hop_by_hop(fields);
    fields.remove(header::CONTENT_LENGTH);
}

/// Takes in the end of a request.
pub(super) fn note_end(
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
    metrics.record("request", organisation, route, elapsed_ms);
    if let Some(times) = times {
        metrics.record("first_event", organisation, route, times.first_event_ms);
        metrics.record("longest_gap", organisation, route, times.longest_gap_ms);
    }
    log_event!(
        info,
        RequestEnded,
        request = context.attempt_id,
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
