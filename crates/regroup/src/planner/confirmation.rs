//! Confirms by a report that an upstream is free before it is first used.
//!
//! A new owner knows the orders of its predecessors only by the list of upstreams. The entry of an
//! upstream that is cut off from the store is older than the orders that it carried out, so it may
//! show a member of a serving group as free. The upstream's own report shows the group.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use jacinthpoint_fleet::Upstream;
use jacinthpoint_types::VmId;

use crate::planner::{Planner, addresses::shared_addresses};

impl Planner {
    /// Records that the upstreams whose reports are in use are confirmed. Removes those that are
    /// gone from `upstreams`, and those at a shared address, whose reports can no longer be used.
    pub(super) fn update_confirmed(&mut self, upstreams: &BTreeMap<VmId, Upstream>) {
        self.confirmed.extend(self.reported_states.keys().cloned());
        let shared = self.shared_addresses_of_present(upstreams);
        self.confirmed.retain(|id| {
            let upstream = upstreams.get(id);
            upstream.is_some_and(|upstream| !shared.contains(&upstream.address))
        });
    }

    /// Makes probes due for the upstreams that could be selected as members, but are not confirmed.
    /// The reports from a shared address confirm none, so those upstreams are left out.
    pub(super) fn request_confirmations(
        &mut self,
        upstreams: &BTreeMap<VmId, Upstream>,
        assigned: &BTreeSet<VmId>,
    ) {
        let shared = self.shared_addresses_of_present(upstreams);
        for (id, upstream) in upstreams {
            let is_candidate = upstream.is_ready()
                && upstream.domain.is_some()
                && !assigned.contains(id)
                && !self.is_gone(id)
                && !shared.contains(&upstream.address);
            if is_candidate && !self.confirmed.contains(id) {
                self.detector.on_suspicion(id);
            }
        }
    }

    /// Returns the addresses of more than one of the upstreams that are not considered ended.
    pub(super) fn shared_addresses_of_present(
        &self,
        upstreams: &BTreeMap<VmId, Upstream>,
    ) -> BTreeSet<SocketAddr> {
        let present = upstreams
            .values()
            .filter(|upstream| !self.is_gone(&upstream.id));
        shared_addresses(present)
    }
}
