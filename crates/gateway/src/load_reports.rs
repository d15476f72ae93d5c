//! Reports to the hub of the loads and answers as one. A gateway is the hub of whoever reports to
//! it.

use std::{net::SocketAddr, rc::Rc};

use jacinthpoint_dispatch::Sighting;

use crate::{
    clock::sleep_ms,
    datagram::{Datagram, MAX_TARGET_REPORTS, send_to},
    events::log_event,
    state::Gateway,
};

/// Time between two reports. A group takes a few new requests in it.
const REPORT_EVERY_MS: u64 = 100;

/// Reports what this gateway has at each target, for ever.
pub(crate) async fn send_reports(gateway: Rc<Gateway>) {
    loop {
        sleep_ms(REPORT_EVERY_MS).await;
        if !gateway.has_traffic.get() {
            continue;
        }
        let now = gateway.now();
        let order = gateway.roster.ranked_addresses("loads");
        let (hub, is_new) = gateway.load_exchange.choose_hub(&order, now);
        if is_new {
            log_event!(
                info,
                HubChanged,
                hub = hub.map(|hub| hub.to_string()),
                "loads are exchanged through another gateway"
            );
        }
        let Some(hub) = hub else { continue };
        let sightings = gateway.loads.borrow().sightings(now);
        if Some(hub) == gateway.settings().peers {
            let others = gateway.load_exchange.on_report(hub, sightings, now);
            handle_aggregate(&gateway, hub, &others);
        } else {
            // What does not fit is missing in the sum; a gateway has requests at few targets.
            let sightings = sightings.into_iter().take(MAX_TARGET_REPORTS).collect();
            send_to(&gateway, &Datagram::LoadReport(sightings), hub);
        }
    }
}

/// Takes in another gateway's report and answers it.
pub(crate) fn handle_report(gateway: &Gateway, from: SocketAddr, sightings: Vec<Sighting>) {
    let now = gateway.now();
    let others = gateway.load_exchange.on_report(from, sightings, now);
    if others.is_empty() {
        send_to(gateway, &Datagram::AggregatedLoad(Vec::new()), from);
    }
    for part in others.chunks(MAX_TARGET_REPORTS) {
        send_to(gateway, &Datagram::AggregatedLoad(part.to_vec()), from);
    }
}

/// Takes in a hub's answer.
pub(crate) fn handle_aggregate(gateway: &Gateway, from: SocketAddr, sightings: &[Sighting]) {
    let now = gateway.now();
    if gateway.load_exchange.on_answer(from, now) {
        gateway.loads.borrow_mut().on_fleet(sightings, now);
    }
}
