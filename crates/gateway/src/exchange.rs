//! Exchange of what each gateway has at each target, by way of one gateway, the hub.
//!
//! All gateways agree on the order of hubs by their names. One whose hub does not answer goes on to
//! the next.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use jacinthpoint_dispatch::{LoadAggregator, TargetReport};
use jacinthpoint_types::TimeMs;

use crate::passed_over::PassedOver;

/// Time without an answer after which the next hub is asked: three reports in a row.
const HUB_SILENT_MS: u64 = 350;
/// Time for which a hub that did not answer is passed over.
const PASS_OVER_MS: u64 = 4_000;

/// The exchange, as one gateway sees it.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    /// Reports of the gateways whose hub this one is.
    tally: RefCell<LoadAggregator<SocketAddr>>,
    hub: Cell<Option<SocketAddr>>,
    /// When the hub last answered, or was first asked.
    heard_at: Cell<TimeMs>,
    passed_over: PassedOver,
}

impl Exchange {
    /// The hub to report to, the first of `order` that is not passed over, and whether it is
    /// another one than before.
    pub(crate) fn choose_hub(
        &self,
        order: &[SocketAddr],
        now: TimeMs,
    ) -> (Option<SocketAddr>, bool) {
        let is_late = now.since_ms(self.heard_at.get()) >= HUB_SILENT_MS;
        if let Some(hub) = self.hub.get().filter(|_| is_late) {
            self.passed_over.add(hub, PASS_OVER_MS, now);
        }
        let next = order
            .iter()
            .copied()
            .find(|address| !self.passed_over.contains(address, now));
        let is_new = next != self.hub.replace(next);
        if is_new {
            self.heard_at.set(now);
        }
        (next, is_new)
    }

    /// Takes in the report of a gateway; returns what all others have.
    pub(crate) fn on_report(
        &self,
        from: SocketAddr,
        sightings: Vec<TargetReport>,
        now: TimeMs,
    ) -> Vec<TargetReport> {
        let mut tally = self.tally.borrow_mut();
        tally.on_report(from, sightings, now);
        tally.load_of_others(&from, now)
    }

    /// Takes in that a hub answered; tells whether it is the one that was asked.
    pub(crate) fn on_answer(&self, from: SocketAddr, now: TimeMs) -> bool {
        let is_hub = self.hub.get() == Some(from);
        if is_hub {
            self.heard_at.set(now);
        }
        is_hub
    }
}
