//! Gateways that are excluded from selection for a time, because they did not answer or had no
//! recent data.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr};

use jacinthpoint_types::{Deadline, TimeMs};

/// Addresses of gateways that are excluded from selection, each with the end of its exclusion.
#[derive(Debug, Default)]
pub(crate) struct ExcludedPeers(RefCell<BTreeMap<SocketAddr, Deadline>>);

impl ExcludedPeers {
    /// Excludes an address for `for_ms` milliseconds from `now` on.
    pub(crate) fn exclude(&self, address: SocketAddr, for_ms: u64, now: TimeMs) {
        let until = Deadline::after_ms(now, for_ms);
        self.0.borrow_mut().insert(address, until);
    }

    /// Ends the exclusion of an address.
    pub(crate) fn admit(&self, address: &SocketAddr) {
        self.0.borrow_mut().remove(address);
    }

    /// Returns whether an address is excluded at `now`.
    pub(crate) fn is_excluded(&self, address: &SocketAddr, now: TimeMs) -> bool {
        let excluded = self.0.borrow();
        let until = excluded.get(address);
        until.is_some_and(|until| !until.has_passed(now))
    }
}
