//! Exchange of target loads between gateways through one gateway, the hub.
//!
//! Each gateway reports its requests at each target to the hub, which answers with the aggregated
//! load of the others. All gateways rank the gateways in the same order, by hashes of their names,
//! and use the first as the hub. A gateway whose hub does not answer uses the next one.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use jacinthpoint_dispatch::{LoadAggregator, TargetReport};
use jacinthpoint_types::TimeMs;

use crate::excluded_peers::ExcludedPeers;

/// Time without an answer from the hub after which the next gateway is used as the hub. By then,
/// three reports in a row have not been answered.
const HUB_TIMEOUT_MS: u64 = 350;
/// Time for which a hub that did not answer is excluded.
const HUB_EXCLUSION_MS: u64 = 4_000;

/// One gateway's state in the exchange of loads, as a reporter and as a hub.
#[derive(Debug, Default)]
pub(crate) struct LoadExchange {
    /// Reports of the gateways that use this one as their hub.
    aggregator: RefCell<LoadAggregator<SocketAddr>>,
    hub: Cell<Option<SocketAddr>>,
    /// Time of the hub's last answer, or of its selection if it has not answered yet.
    last_answer_at: Cell<TimeMs>,
    excluded: ExcludedPeers,
}

impl LoadExchange {
    /// Returns the hub to report to, which is the first of `ranking` that is not excluded, and
    /// whether it differs from the previous one. Excludes the previous hub first if it has not
    /// answered for [`HUB_TIMEOUT_MS`].
    pub(crate) fn choose_hub(
        &self,
        ranking: &[SocketAddr],
        now: TimeMs,
    ) -> (Option<SocketAddr>, bool) {
        let is_late = now.since_ms(self.last_answer_at.get()) >= HUB_TIMEOUT_MS;
        if let Some(hub) = self.hub.get().filter(|_| is_late) {
            self.excluded.exclude(hub, HUB_EXCLUSION_MS, now);
        }
        let next = ranking
            .iter()
            .copied()
            .find(|address| !self.excluded.is_excluded(address, now));
        let is_new = next != self.hub.replace(next);
        if is_new {
            self.last_answer_at.set(now);
        }
        (next, is_new)
    }

    /// Stores a gateway's report and returns the aggregated load of all other gateways.
    pub(crate) fn on_report(
        &self,
        from: SocketAddr,
        reports: Vec<TargetReport>,
        now: TimeMs,
    ) -> Vec<TargetReport> {
        let mut aggregator = self.aggregator.borrow_mut();
        aggregator.on_report(from, reports, now);
        aggregator.load_of_others(&from, now)
    }

    /// Returns whether `address` is the current hub.
    pub(crate) fn is_hub(&self, address: SocketAddr) -> bool {
        self.hub.get() == Some(address)
    }

    /// Records the time of an answer if `from` is the current hub; returns whether it is.
    pub(crate) fn on_hub_answer(&self, from: SocketAddr, now: TimeMs) -> bool {
        let is_hub = self.is_hub(from);
        if is_hub {
            self.last_answer_at.set(now);
        }
        is_hub
    }
}
