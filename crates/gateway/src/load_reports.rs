//! Sends reports of this gateway's requests at each target to the hub of its cell, and the sum of its
//! cell to the root if it is a hub; answers such reports of other gateways.
//!
//! A gateway acts as the hub or root for every gateway that reports to it as such.

use std::{net::SocketAddr, rc::Rc};

use jacinthpoint_dispatch::{TargetReport, cell_interval_ms, member_interval_ms};
use jacinthpoint_types::TimeMs;

use crate::{
    capacity_exchange,
    clock::sleep_ms,
    datagram::{CellMessage, Datagram, MAX_TARGET_REPORTS, send_to},
    events::log_event,
    limit_exchange,
    load_exchange::Contact,
    state::Gateway,
};

/// Reports this gateway's requests at each target to the hub of its cell, for ever. If it is a hub, also
/// reports its cell to the root.
///
/// Sends no report of its own before it has had a request. A hub adds its own report without a datagram.
pub(crate) async fn send_reports(gateway: Rc<Gateway>) {
    loop {
        sleep_ms(member_interval_ms(gateway.gateway_count.get().unwrap_or(1))).await;
        // The setting `peers` is the address of this gateway for datagrams of the others.
        let Some(own) = gateway.settings().peers else {
            continue;
        };
        let now = gateway.now();
        let exchange = &gateway.load_exchange;
        let has_members = exchange.cell.borrow().has_members(now);
        if !gateway.has_traffic.get() && !has_members {
            continue;
        }
        // A gateway that reaches no hub is its own, and reports to the root itself.
        let hubs = gateway.roster.load_hubs().to_vec();
        let hub = choose(&gateway, &exchange.hub, "hub", hubs, own).unwrap_or(own);
        if gateway.has_traffic.get() {
            let reports = gateway.loads.borrow().target_reports(now);
            if hub == own {
                let mut cell = exchange.cell.borrow_mut();
                cell.on_member_report(own, reports, now);
            } else {
                report_to_hub(&gateway, hub, &reports);
            }
        }
        if hub == own || has_members {
            report_cell(&gateway, own, now);
        }
        if hub == own {
            let is_root = exchange.root.current() == Some(own);
            let others = exchange
                .cell
                .borrow_mut()
                .load_for_member(&own, is_root, now);
            gateway.loads.borrow_mut().on_peer_loads(&others, now);
            exchange.permit_issuer.set(exchange.root.current());
        }
        if let Some(issuer) = exchange.permit_issuer.get() {
            let known = gateway.roster.root_ranking();
            limit_exchange::exchange(&gateway, issuer, &known);
            capacity_exchange::exchange(&gateway, issuer);
        }
    }
}

/// Chooses the contact for `role` and logs a change.
fn choose(
    gateway: &Gateway,
    contact: &Contact,
    role: &'static str,
    ranking: impl IntoIterator<Item = SocketAddr>,
    own: SocketAddr,
) -> Option<SocketAddr> {
    let (chosen, is_new) = contact.choose(ranking, own, gateway.now());
    if is_new {
        log_event!(
            info,
            HubChanged,
            role,
            hub = chosen.map(|hub| hub.to_string()),
            "this gateway reports loads to another hub or root"
        );
    }
    chosen
}

/// Sends this gateway's own report to the hub of its cell.
fn report_to_hub(gateway: &Gateway, hub: SocketAddr, reports: &[TargetReport]) {
    // Reports beyond the limit of a datagram are left out. This is rare, since a gateway has requests
    // at few targets.
    let reports = reports[..reports.len().min(MAX_TARGET_REPORTS)].to_vec();
    let message = CellMessage::Member(reports);
    send_to(gateway, &Datagram::Cell(message), hub);
}

/// Reports the sum of this gateway's cell to the root, unless this gateway is the root or the last
/// report was a moment ago.
fn report_cell(gateway: &Gateway, own: SocketAddr, now: TimeMs) {
    let exchange = &gateway.load_exchange;
    let ranking = gateway.roster.root_ranking();
    let root = choose(
        gateway,
        &exchange.root,
        "root",
        ranking.iter().copied(),
        own,
    );
    let Some(root) = root.filter(|root| *root != own) else {
        return;
    };
    let interval_ms = cell_interval_ms(gateway.gateway_count.get().unwrap_or(1));
    if now.since_ms(exchange.root_reported_at.get()) < interval_ms {
        return;
    }
    exchange.root_reported_at.set(now);
    let mut cell = exchange.cell.borrow_mut().load_of_members(now);
    if !gateway.roster.knows_cells(root) {
        // A gateway of an earlier build keeps one datagram of each gateway.
        cell.truncate(MAX_TARGET_REPORTS);
        send_to(gateway, &Datagram::LoadReport(cell), root);
        return;
    }
    // Without a report, the root would not answer, so an empty one is sent too.
    let mut parts: Vec<&[TargetReport]> = cell.chunks(MAX_TARGET_REPORTS).collect();
    if parts.is_empty() {
        parts.push(&[]);
    }
    for (part, reports) in (0..).zip(parts) {
        let reports = reports.to_vec();
        let message = CellMessage::Cell { part, reports };
        send_to(gateway, &Datagram::Cell(message), root);
    }
}

/// Handles a message between a member and its hub, or between a hub and the root.
pub(crate) fn handle_cell(gateway: &Gateway, from: SocketAddr, message: CellMessage) {
    let now = gateway.now();
    let exchange = &gateway.load_exchange;
    match message {
        CellMessage::Member(reports) => {
            let others = member_answer(gateway, from, reports, now);
            answer_in_parts(gateway, from, &others, |loads| {
                Datagram::Cell(CellMessage::ToMember {
                    root: exchange.root.current(),
                    loads,
                })
            });
        }
        CellMessage::Cell { part, reports } => {
            let mut cell = exchange.cell.borrow_mut();
            cell.on_cell_report(from, part, reports, now);
            // The parts of one report arrive together; the first is answered.
            if part == 0 {
                let others = cell.load_for_cell(&from, now);
                drop(cell);
                answer_in_parts(gateway, from, &others, |loads| {
                    Datagram::Cell(CellMessage::ToHub(loads))
                });
            }
        }
        CellMessage::ToMember { root, loads } => {
            if exchange.hub.on_answer(from, now) {
                exchange.permit_issuer.set(root);
                gateway.loads.borrow_mut().on_peer_loads(&loads, now);
            }
        }
        CellMessage::ToHub(loads) => on_root_answer(gateway, from, &loads, now),
    }
}

/// Answers the report of a gateway of an earlier build, which knows one hub for all gateways.
pub(crate) fn handle_report(gateway: &Gateway, from: SocketAddr, reports: Vec<TargetReport>) {
    let others = member_answer(gateway, from, reports, gateway.now());
    answer_in_parts(gateway, from, &others, Datagram::AggregatedLoad);
}

/// Applies the answer of a root of an earlier build.
pub(crate) fn handle_aggregate(gateway: &Gateway, from: SocketAddr, loads: &[TargetReport]) {
    on_root_answer(gateway, from, loads, gateway.now());
}

/// Stores a member's report and returns the load of all others.
fn member_answer(
    gateway: &Gateway,
    from: SocketAddr,
    reports: Vec<TargetReport>,
    now: TimeMs,
) -> Vec<TargetReport> {
    let exchange = &gateway.load_exchange;
    let is_root = exchange.root.current() == gateway.settings().peers;
    let mut cell = exchange.cell.borrow_mut();
    cell.on_member_report(from, reports, now);
    cell.load_for_member(&from, is_root, now)
}

fn on_root_answer(gateway: &Gateway, from: SocketAddr, loads: &[TargetReport], now: TimeMs) {
    let exchange = &gateway.load_exchange;
    if exchange.root.on_answer(from, now) {
        exchange.cell.borrow_mut().on_root_answer(loads, now);
    }
}

/// Sends loads in as many datagrams as they need. Without an answer, the reporting gateway would exclude
/// this one, so an empty one is sent too.
fn answer_in_parts(
    gateway: &Gateway,
    to: SocketAddr,
    loads: &[TargetReport],
    datagram: impl Fn(Vec<TargetReport>) -> Datagram,
) {
    if loads.is_empty() {
        send_to(gateway, &datagram(Vec::new()), to);
    }
    for part in loads.chunks(MAX_TARGET_REPORTS) {
        send_to(gateway, &datagram(part.to_vec()), to);
    }
}
