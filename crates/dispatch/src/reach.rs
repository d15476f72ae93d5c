//! Whether a gateway reaches upstreams at all.
//!
//! One upstream that cannot be reached is ejected, and others take its requests. If the path from a
//! gateway to all of them is cut, each request would wait for the timeouts of several connections before
//! it is refused, although other gateways could serve it. Only new connections tell: open ones may live
//! on through a cut, and upstreams that are silent for a moment still accept connections.

use std::collections::BTreeSet;

use jacinthpoint_types::{TimeMs, VmId};

/// Number of upstreams to which connections failed, with none established in between, after which the
/// path is checked.
const MIN_FAILED_UPSTREAMS: usize = 3;

/// What one gateway knows of its path to upstreams.
#[derive(Debug, Default)]
pub struct UpstreamReach {
    /// Upstreams to which connections failed since one was established.
    failed: BTreeSet<VmId>,
    /// Time of the first of the checks since which no upstream was reached.
    cut_since: Option<TimeMs>,
}

impl UpstreamReach {
    /// Records that a connection to an upstream could not be established.
    pub fn on_connect_failed(&mut self, upstream: &VmId) {
        if self.failed.len() < MIN_FAILED_UPSTREAMS {
            self.failed.insert(upstream.clone());
        }
    }

    /// Records that a connection to an upstream was established.
    pub fn on_connected(&mut self) {
        self.failed.clear();
    }

    /// Returns whether the path has to be checked, if there are this many upstreams.
    pub fn needs_check(&self, upstreams: usize) -> bool {
        self.is_cut() || (upstreams > 0 && self.failed.len() >= MIN_FAILED_UPSTREAMS.min(upstreams))
    }

    /// Applies the result of a check: whether any of several upstreams could be reached. Returns whether
    /// the state changed.
    pub fn on_checked(&mut self, is_reached: bool, now: TimeMs) -> bool {
        self.failed.clear();
        let was_cut = self.is_cut();
        self.cut_since = match is_reached {
            true => None,
            false => self.cut_since.or(Some(now)),
        };
        self.is_cut() != was_cut
    }

    /// Returns whether no upstream can be reached.
    pub fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Returns the milliseconds for which no upstream could be reached.
    pub fn cut_ms(&self, now: TimeMs) -> u64 {
        self.cut_since.map_or(0, |since| now.since_ms(since))
    }
}
