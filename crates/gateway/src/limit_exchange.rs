//! Exchange of upstreams' limits and of permits with the hub.
//!
//! Each gateway reports the limits that upstreams named to it to the root of the load exchange, and
//! asks there for permits: one gateway issues all permits, since each that did could save one up. A gateway without an address for other gateways issues permits itself,
//! at an even share of each limit.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use jacinthpoint_dispatch::{
    LIMIT_SYNC_MS, LimitAnswer, LimitReport, MAX_LIMIT_REPORTS, MAX_WARM_UP_REPORTS, PermitIssuer,
    WarmUpAnswer, WarmUpReport,
};
use jacinthpoint_types::TimeMs;

use crate::{
    clock::sleep_ms,
    datagram::{Datagram, WarmUpMessage, send_to},
    events::log_event,
    state::Gateway,
};

/// Time between two reports of a gateway that issues its permits itself.
const ALONE_INTERVAL_MS: u64 = 100;

/// One gateway's state in the exchange of limits.
#[derive(Debug, Default)]
pub(crate) struct LimitExchange {
    /// Limits and permits for the gateways that use this one as their hub.
    issuer: RefCell<PermitIssuer<SocketAddr>>,
    /// Time of the last report with an update of all limits.
    synced_at: Cell<TimeMs>,
}

/// Sends the due reports to `hub`, which may be this gateway itself, and applies its answer. Every
/// [`LIMIT_SYNC_MS`], a report is sent even if none is due, and the hub answers with all limits.
pub(crate) fn exchange(gateway: &Gateway, hub: SocketAddr, ranking: &[SocketAddr]) {
    let now = gateway.now();
    let state = &gateway.limit_exchange;
    state
        .issuer
        .borrow_mut()
        .on_known(ranking.iter().copied(), now);
    exchange_warm_ups(gateway, hub, now);
    let reports = due_reports(gateway, now);
    let is_sync = now.since_ms(state.synced_at.get()) >= LIMIT_SYNC_MS;
    if is_sync {
        state.synced_at.set(now);
        state.issuer.borrow_mut().drop_old(now);
    }
    if reports.is_empty() && !is_sync {
        return;
    }
    if Some(hub) == gateway.settings().peers {
        let answers = answers_to(gateway, hub, &reports, is_sync);
        apply(gateway, &answers, now);
    } else {
        send_to(gateway, &Datagram::LimitReport { reports, is_sync }, hub);
    }
}

/// Sends the due reports on cold upstreams to `hub`, or applies this gateway's own answer.
fn exchange_warm_ups(gateway: &Gateway, hub: SocketAddr, now: TimeMs) {
    let is_counted = now >= gateway.counted_by.get();
    let reports = gateway.warm_ups.due_reports(is_counted, now);
    if Some(hub) == gateway.settings().peers {
        let mut answers = warm_up_answers_to(gateway, &reports, now);
        answers.extend(gateway.warm_ups.cold_at_hub(now));
        gateway.warm_ups.apply(&answers, &gateway.metrics, now);
    } else if !reports.is_empty() {
        let message = WarmUpMessage::Report(reports);
        send_to(gateway, &Datagram::WarmUp(message), hub);
    }
}

/// Returns this gateway's answers, as the hub, to a report on cold upstreams.
fn warm_up_answers_to(
    gateway: &Gateway,
    reports: &[WarmUpReport],
    now: TimeMs,
) -> Vec<WarmUpAnswer> {
    let issuer = gateway.limit_exchange.issuer.borrow();
    let share = issuer.settled_share(now);
    gateway.warm_ups.answers_to(reports, share, now)
}

/// Handles a message of another gateway on cold upstreams. Answers of others than the hub are dropped.
pub(crate) fn handle_warm_up(gateway: &Gateway, from: SocketAddr, message: &WarmUpMessage) {
    let now = gateway.now();
    match message {
        WarmUpMessage::Report(reports) => {
            let answers = warm_up_answers_to(gateway, reports, now);
            send_warm_ups(gateway, &answers, from);
        }
        WarmUpMessage::Answer(answers) => {
            if gateway.load_exchange.permit_issuer.get() == Some(from) {
                gateway.warm_ups.apply(answers, &gateway.metrics, now);
            }
        }
    }
}

/// Sends answers on cold upstreams in as many datagrams as they need.
fn send_warm_ups(gateway: &Gateway, answers: &[WarmUpAnswer], to: SocketAddr) {
    for part in answers.chunks(MAX_WARM_UP_REPORTS) {
        let message = WarmUpMessage::Answer(part.to_vec());
        send_to(gateway, &Datagram::WarmUp(message), to);
    }
}

/// Returns the reports that are due. They ask for no permit until all other gateways count this one.
fn due_reports(gateway: &Gateway, now: TimeMs) -> Vec<LimitReport> {
    let is_counted = now >= gateway.counted_by.get();
    gateway.limits.borrow_mut().due_reports(is_counted, now)
}

/// Answers another gateway's report as its hub.
pub(crate) fn handle_report(
    gateway: &Gateway,
    from: SocketAddr,
    reports: &[LimitReport],
    is_sync: bool,
) {
    for part in answers_to(gateway, from, reports, is_sync).chunks(MAX_LIMIT_REPORTS) {
        send_to(gateway, &Datagram::LimitAnswer(part.to_vec()), from);
    }
    if is_sync {
        let cold = gateway.warm_ups.cold_at_hub(gateway.now());
        send_warm_ups(gateway, &cold, from);
    }
}

/// Returns this gateway's answers, as the hub, to a report of `from`.
fn answers_to(
    gateway: &Gateway,
    from: SocketAddr,
    reports: &[LimitReport],
    is_sync: bool,
) -> Vec<LimitAnswer> {
    let now = gateway.now();
    let mut issuer = gateway.limit_exchange.issuer.borrow_mut();
    let mut answers = issuer.on_report(from, reports, now);
    if is_sync {
        answers.extend(issuer.limited(now));
    }
    answers
}

/// Applies an answer, unless it comes from another gateway than the hub.
pub(crate) fn handle_answer(gateway: &Gateway, from: SocketAddr, answers: &[LimitAnswer]) {
    if gateway.load_exchange.permit_issuer.get() == Some(from) {
        apply(gateway, answers, gateway.now());
    }
}

/// Applies the hub's answer and logs the limits that changed.
fn apply(gateway: &Gateway, answers: &[LimitAnswer], now: TimeMs) {
    let mut limits = gateway.limits.borrow_mut();
    for upstream in limits.on_hub_answer(answers, now) {
        let limit = limits.limit(&upstream).map(|limit| limit.0);
        log_event!(info, LimitChanged, %upstream, limit,
            "another gateway learned that an upstream changed the limit that it names");
    }
}

/// Issues this gateway's permits for ever, at an even share of each limit. For a gateway without an
/// address for other gateways.
pub(crate) async fn issue_alone(gateway: Rc<Gateway>) {
    loop {
        sleep_ms(ALONE_INTERVAL_MS).await;
        // Without the number of gateways, no share is small enough.
        let Some(gateways) = gateway.gateway_count.get() else {
            continue;
        };
        let now = gateway.now();
        let reports = due_reports(&gateway, now);
        let mut issuer = gateway.limit_exchange.issuer.borrow_mut();
        issuer.drop_old(now);
        let share = 1.0 / gateways as f64;
        let answers = issuer.on_report_alone(&reports, share, now);
        drop(issuer);
        apply(&gateway, &answers, now);
        let is_counted = now >= gateway.counted_by.get();
        let reports = gateway.warm_ups.due_reports(is_counted, now);
        let answers = gateway.warm_ups.answers_to(&reports, share, now);
        gateway.warm_ups.apply(&answers, &gateway.metrics, now);
    }
}
