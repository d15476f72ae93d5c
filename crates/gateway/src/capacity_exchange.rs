//! Exchange of what upstreams take well with the root of the load exchange, which learns from the answers
//! that all gateways got.
//!
//! Without the root, each gateway decides by what it learnt itself.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use jacinthpoint_dispatch::{SharedCapacities, SharedCapacity};
use jacinthpoint_types::TimeMs;

use crate::{
    datagram::{CapacityMessage, Datagram, send_to},
    state::Gateway,
};

/// Time between two reports of a gateway.
const INTERVAL_MS: u64 = 1_000;
/// Maximum number of targets in a report or an answer. Each takes up to 25 bytes, and a datagram has
/// to hold them.
const MAX_TARGETS: usize = 50;

/// One gateway's state in the exchange of capacities.
#[derive(Debug, Default)]
pub(crate) struct CapacityExchange {
    /// What this gateway learnt as the root.
    learnt: RefCell<SharedCapacities>,
    /// Time of the last report to the root.
    reported_at: Cell<TimeMs>,
}

/// Reports the answers since the last report to `root`, which may be this gateway itself, if that is
/// due and capacities are learnt.
pub(crate) fn exchange(gateway: &Gateway, root: SocketAddr) {
    let now = gateway.now();
    let state = &gateway.capacity_exchange;
    let is_due = now.since_ms(state.reported_at.get()) >= INTERVAL_MS;
    if !is_due || !gateway.loads.borrow().capacities.is_enabled() {
        return;
    }
    state.reported_at.set(now);
    let counts = gateway.loads.borrow_mut().capacities.take_counts();
    if Some(root) == gateway.settings().peers {
        let mut learnt = state.learnt.borrow_mut();
        learnt.on_report(&counts, now);
        learnt.drop_old(now);
        let shared = learnt.limited(now);
        drop(learnt);
        apply(gateway, &shared, now);
    } else {
        // Without a report, the root would not answer, so an empty one is sent too.
        for part in counts
            .chunks(MAX_TARGETS)
            .chain(counts.is_empty().then_some(&[][..]))
        {
            let message = CapacityMessage::Report(part.to_vec());
            send_to(gateway, &Datagram::Capacity(message), root);
        }
    }
}

/// Handles a message of another gateway.
pub(crate) fn handle(gateway: &Gateway, from: SocketAddr, message: CapacityMessage) {
    let now = gateway.now();
    match message {
        CapacityMessage::Report(_) if !gateway.loads.borrow().capacities.is_enabled() => {}
        CapacityMessage::Report(counts) => {
            let mut learnt = gateway.capacity_exchange.learnt.borrow_mut();
            learnt.on_report(&counts, now);
            learnt.drop_old(now);
            for part in learnt.limited(now).chunks(MAX_TARGETS) {
                let message = CapacityMessage::Shared(part.to_vec());
                send_to(gateway, &Datagram::Capacity(message), from);
            }
        }
        CapacityMessage::Shared(shared) => {
            if gateway.load_exchange.permit_issuer.get() == Some(from) {
                apply(gateway, &shared, now);
            }
        }
    }
}

fn apply(gateway: &Gateway, shared: &[SharedCapacity], now: TimeMs) {
    let mut loads = gateway.loads.borrow_mut();
    loads.capacities.on_shared(shared, now);
}
