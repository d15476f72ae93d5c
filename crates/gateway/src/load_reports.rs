//! Sends reports of this gateway's requests at each target to the hub, and answers such reports of
//! other gateways with the aggregated load.
//!
//! A gateway acts as the hub for every gateway that reports to it.

use std::{net::SocketAddr, rc::Rc};

use jacinthpoint_dispatch::TargetReport;

use crate::{
    clock::sleep_ms,
    datagram::{Datagram, MAX_TARGET_REPORTS, send_to},
    events::log_event,
    limit_exchange,
    state::Gateway,
};

/// Bounds of the time between two reports of one gateway. A group receives only a few new requests
/// in this time.
const REPORT_INTERVAL_MS: std::ops::RangeInclusive<u64> = 25..=100;
/// Reports per second that the hub answers at most, as long as the interval is within its bounds.
const MAX_REPORTS_PER_S: u64 = 800;

/// Returns the time between two reports of each of `gateways`.
fn report_interval_ms(gateways: usize) -> u64 {
    let interval_ms = gateways as u64 * 1_000 / MAX_REPORTS_PER_S;
    interval_ms.clamp(*REPORT_INTERVAL_MS.start(), *REPORT_INTERVAL_MS.end())
}

/// Reports this gateway's requests at each target to the hub, for ever.
///
/// Sends nothing before the gateway has had a request. If the gateway is the hub itself, it adds
/// its report to the aggregated load without a datagram.
pub(crate) async fn send_reports(gateway: Rc<Gateway>) {
    loop {
        sleep_ms(report_interval_ms(gateway.gateway_count.get())).await;
        if !gateway.has_traffic.get() {
            continue;
        }
        let now = gateway.now();
        let ranking = gateway.roster.hub_ranking();
        let (hub, is_new) = gateway.load_exchange.choose_hub(&ranking, now);
        if is_new {
            log_event!(
                info,
                HubChanged,
                hub = hub.map(|hub| hub.to_string()),
                "the hub for load reports changed"
            );
        }
        let Some(hub) = hub else { continue };
        let reports = gateway.loads.borrow().target_reports(now);
        // The setting `peers` is the address of this gateway for datagrams of the others.
        if Some(hub) == gateway.settings().peers {
            let others = gateway.load_exchange.on_report(hub, reports, now);
            handle_aggregate(&gateway, hub, &others);
        } else {
            // Reports beyond the limit of a datagram are left out of the aggregated load. This is
            // rare, since a gateway has requests at few targets.
            let reports = reports.into_iter().take(MAX_TARGET_REPORTS).collect();
            send_to(&gateway, &Datagram::LoadReport(reports), hub);
        }
        limit_exchange::exchange(&gateway, hub, &ranking);
    }
}

/// Stores another gateway's report and answers with the aggregated load of all other gateways.
pub(crate) fn handle_report(gateway: &Gateway, from: SocketAddr, reports: Vec<TargetReport>) {
    let now = gateway.now();
    let others = gateway.load_exchange.on_report(from, reports, now);
    // Without an answer, the reporting gateway would exclude this hub, so an empty one is sent too.
    if others.is_empty() {
        send_to(gateway, &Datagram::AggregatedLoad(Vec::new()), from);
    }
    for part in others.chunks(MAX_TARGET_REPORTS) {
        send_to(gateway, &Datagram::AggregatedLoad(part.to_vec()), from);
    }
}

/// Applies an answer with the aggregated load, unless it comes from another gateway than the hub.
pub(crate) fn handle_aggregate(gateway: &Gateway, from: SocketAddr, loads: &[TargetReport]) {
    let now = gateway.now();
    if gateway.load_exchange.on_hub_answer(from, now) {
        gateway.loads.borrow_mut().on_peer_loads(loads, now);
    }
}
