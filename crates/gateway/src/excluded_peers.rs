//! Other gateways that did not answer, and until when they are left alone.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr};

use jacinthpoint_types::{Deadline, TimeMs};

/// Addresses that are passed over for a time.
#[derive(Debug, Default)]
pub(crate) struct ExcludedPeers(RefCell<BTreeMap<SocketAddr, Deadline>>);

impl ExcludedPeers {
    /// Passes an address over for `for_ms` from now on.
    pub(crate) fn exclude(&self, address: SocketAddr, for_ms: u64, now: TimeMs) {
        let until = Deadline::after_ms(now, for_ms);
        self.0.borrow_mut().insert(address, until);
    }

    /// Whether an address is passed over now.
    pub(crate) fn is_excluded(&self, address: &SocketAddr, now: TimeMs) -> bool {
        let passed_over = self.0.borrow();
        let until = passed_over.get(address);
        until.is_some_and(|until| !until.has_passed(now))
    }
}
