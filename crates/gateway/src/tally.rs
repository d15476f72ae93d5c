//! Reports to the hub of the loads and answers as one. A gateway is the hub of whoever reports to
//! it.

use std::{net::SocketAddr, rc::Rc};

use jacinthpoint_dispatch::TargetReport;

use crate::{
    clock::sleep_ms,
    datagram::{Datagram, MAX_SIGHTINGS, send_to},
    events::log_event,
    state::Gateway,
};

/// Time between two reports. A group takes a few new requests in it.
const REPORT_EVERY_MS: u64 = 100;

/// Reports what this gateway has at each target, for ever.
pub(crate) async fn report(gateway: Rc<Gateway>) {
    loop {
        sleep_ms(REPORT_EVERY_MS).await;
        if !gateway.has_traffic.get() {
            continue;
        }
        let now = gateway.now();
        let order = gateway.roster.ranked_addresses("loads");
        let (hub, is_new) = gateway.exchange.choose_hub(&order, now);
        if is_new {
            log_event!(
                info,
                HubChanged,
                hub = hub.map(|hub| hub.to_string()),
                "loads are exchanged through another gateway"
            );
        }
        let Some(hub) = hub else { continue };
        let sightings = gateway.loads.borrow().target_reports(now);
        if Some(hub) == gateway.settings().peers {
            let others = gateway.exchange.on_report(hub, sightings, now);
            on_sum(&gateway, hub, &others);
        } else {
            // What does not fit is missing in the sum; a gateway has requests at few targets.
            let sightings = sightings.into_iter().take(MAX_SIGHTINGS).collect();
            send_to(&gateway, &Datagram::Report(sightings), hub);
        }
    }
}

/// Takes in another gateway's report and answers it.
pub(crate) fn on_report(gateway: &Gateway, from: SocketAddr, sightings: Vec<TargetReport>) {
    let now = gateway.now();
    let others = gateway.exchange.on_report(from, sightings, now);
    if others.is_empty() {
        send_to(gateway, &Datagram::Sum(Vec::new()), from);
    }
    for part in others.chunks(MAX_SIGHTINGS) {
        send_to(gateway, &Datagram::Sum(part.to_vec()), from);
    }
}

/// Takes in a hub's answer.
pub(crate) fn on_sum(gateway: &Gateway, from: SocketAddr, sightings: &[TargetReport]) {
    let now = gateway.now();
    if gateway.exchange.on_answer(from, now) {
        gateway.loads.borrow_mut().on_peer_loads(sightings, now);
    }
}
