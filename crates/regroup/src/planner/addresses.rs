//! Tells apart upstreams whose list entries have the same address.
//!
//! An upstream may restart under a new name at the same address, and its old entry stays in the
//! list until it expires, or is even written again by a delayed call. Probes do not show which of
//! the upstreams listens at the address: a report does not name its sender, and not every upstream
//! gives its start time. Orders do, since an upstream refuses an order to another one.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use jacinthpoint_fleet::Upstream;
use jacinthpoint_types::VmId;

use crate::planner::Planner;

impl Planner {
    /// Records that another upstream answered an order at the address of this one.
    pub(super) fn record_displaced(&mut self, id: &VmId) {
        let unlisted = self.unlisted.get(id).map(|(upstream, _)| upstream);
        if let Some(entry) = self.listed.get(id).or(unlisted) {
            self.displaced.insert(id.clone(), entry.clone());
        }
    }

    /// Records, after an upstream answered an order itself, that all other upstreams with its
    /// address have ended.
    pub(super) fn record_others_displaced(&mut self, id: &VmId) {
        self.displaced.remove(id);
        let Some(address) = self.listed.get(id).map(|upstream| upstream.address) else {
            return;
        };
        for (other_id, other) in &self.listed {
            if other_id != id && other.address == address {
                self.displaced.insert(other_id.clone(), other.clone());
            }
        }
    }

    /// Removes the records of upstreams that are gone from `upstreams` or whose entries changed.
    pub(super) fn retain_displaced(&mut self, upstreams: &BTreeMap<VmId, Upstream>) {
        self.displaced.retain(|id, entry| {
            let is_same = |upstream: &Upstream| !upstream.is_listed || upstream == entry;
            upstreams.get(id).is_some_and(is_same)
        });
    }
}

/// Returns the addresses of more than one of the upstreams.
pub(super) fn shared_addresses<'a>(
    upstreams: impl Iterator<Item = &'a Upstream>,
) -> BTreeSet<SocketAddr> {
    let mut seen = BTreeSet::new();
    let addresses = upstreams.map(|upstream| upstream.address);
    addresses.filter(|address| !seen.insert(*address)).collect()
}
