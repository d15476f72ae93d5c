//! State of one gateway in the exchange of loads and of limits: the hub of its cell, and the root, which
//! adds up the cells and issues the permits for limited upstreams.
//!
//! All gateways rank the gateways alike and use the first that answers; see
//! [`jacinthpoint_dispatch::LoadCell`] for who reports to whom.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

use jacinthpoint_dispatch::LoadCell;
use jacinthpoint_types::TimeMs;

use crate::excluded_peers::ExcludedPeers;

/// Time without an answer after which the next gateway is used. By then, two reports in a row or more
/// have not been answered.
const ANSWER_TIMEOUT_MS: u64 = 350;
/// Time for which a gateway that did not answer is excluded.
const EXCLUSION_MS: u64 = 4_000;

/// One gateway's state in the exchange of loads.
#[derive(Debug, Default)]
pub(crate) struct LoadExchange {
    /// Reports of the gateways that use this one as their hub or as the root.
    pub(crate) cell: RefCell<LoadCell<SocketAddr>>,
    /// The hub of this gateway's cell.
    pub(crate) hub: Contact,
    /// The root, while this gateway is a hub.
    pub(crate) root: Contact,
    /// The gateway that issues permits: the root, as this gateway or the hub of its cell knows it.
    pub(crate) permit_issuer: Cell<Option<SocketAddr>>,
    /// Time of the last report to the root.
    pub(crate) root_reported_at: Cell<TimeMs>,
}

/// A gateway to which this one reports, as long as it answers.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    current: Cell<Option<SocketAddr>>,
    /// Time of its last answer, or of its selection if it has not answered yet.
    last_answer_at: Cell<TimeMs>,
    excluded: ExcludedPeers,
}

impl Contact {
    /// Returns the first gateway of `ranking` that is not excluded, and whether it differs from the
    /// previous one. Excludes the previous one first if it has not answered for
    /// [`ANSWER_TIMEOUT_MS`], unless it is `own`.
    pub(crate) fn choose(
        &self,
        ranking: impl IntoIterator<Item = SocketAddr>,
        own: SocketAddr,
        now: TimeMs,
    ) -> (Option<SocketAddr>, bool) {
        let is_late = now.since_ms(self.last_answer_at.get()) >= ANSWER_TIMEOUT_MS;
        if let Some(late) = self
            .current
            .get()
            .filter(|address| is_late && *address != own)
        {
            self.excluded.exclude(late, EXCLUSION_MS, now);
        }
        let mut ranking = ranking.into_iter();
        let next = ranking.find(|address| !self.excluded.is_excluded(address, now));
        let is_new = next != self.current.replace(next);
        if is_new {
            self.last_answer_at.set(now);
        }
        (next, is_new)
    }

    /// Records the time of an answer if `from` is the current contact; returns whether it is.
    pub(crate) fn on_answer(&self, from: SocketAddr, now: TimeMs) -> bool {
        let is_current = self.current.get() == Some(from);
        if is_current {
            self.last_answer_at.set(now);
        }
        is_current
    }

    /// Returns the current contact.
    pub(crate) fn current(&self) -> Option<SocketAddr> {
        self.current.get()
    }
}
