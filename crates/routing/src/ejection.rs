//! Outlier ejection: a target that fails while others work gets no requests for a time.
//!
//! A target that answers every request with an error at once always looks idle and would attract
//! all requests. It is ejected for a time that doubles while it continues to fail. At least half of
//! the targets stay usable, even if more are ejected: the cause is then probably common to all, and
//! sending every request to the few that remain would overload those, too.

use std::collections::BTreeMap;

use jacinthpoint_types::{Deadline, TimeMs};

/// Number of consecutive failures after which a target is ejected for the first time.
const FAILURES_TO_EJECT: u32 = 3;
/// Longest time from sending a request to its failure for which the failure counts.
const MAX_FAILURE_MS: u64 = 500;
/// Duration of the first ejection of a target.
const FIRST_EJECTION_MS: u64 = 5_000;
/// Longest duration of an ejection.
const MAX_EJECTION_MS: u64 = 60_000;
/// Largest share of the targets that [`Ejector::usable`] leaves out.
const MAX_UNUSABLE_SHARE: f64 = 0.5;

/// Failures of one target since its last success.
#[derive(Debug, Clone, Copy)]
struct FailureRecord {
    failures: u32,
    ejections: u32,
    /// End of the last ejection.
    ejected_until: Deadline,
}

/// Returns the duration of an ejection that follows `earlier_ejections` ejections without a success
/// between them.
fn ejection_ms(earlier_ejections: u32) -> u64 {
    let doubled = FIRST_EJECTION_MS
        .checked_shl(earlier_ejections)
        .unwrap_or(MAX_EJECTION_MS);
    doubled.clamp(FIRST_EJECTION_MS, MAX_EJECTION_MS)
}

/// Failures and ejections of the targets to which one node sends requests.
#[derive(Debug, Clone)]
pub struct Ejector<K> {
    records: BTreeMap<K, FailureRecord>,
}

impl<K> Default for Ejector<K> {
    fn default() -> Ejector<K> {
        Ejector {
            records: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> Ejector<K> {
    /// Returns an ejector without records.
    pub fn new() -> Ejector<K> {
        Ejector::default()
    }

    /// Records a success, which deletes the failures and ejections of the target.
    pub fn on_success(&mut self, key: &K) {
        self.records.remove(key);
    }

    /// Records a failure that came `after_ms` after the request was sent. Returns whether it starts
    /// an ejection of the target; `false` also if the target is already ejected.
    ///
    /// Slow failures do not count. A target that is too loaded to answer in time does not look idle
    /// and attracts no requests, and ejecting it would move its load to the others.
    pub fn on_failure(&mut self, key: &K, after_ms: u64, now: TimeMs) -> bool {
        if after_ms > MAX_FAILURE_MS {
            return false;
        }
        let record = self.records.entry(key.clone()).or_insert(FailureRecord {
            failures: 0,
            ejections: 0,
            ejected_until: Deadline(now),
        });
        record.failures += 1;
        // A target that was ejected before and had no success since is ejected again at its first
        // failure.
        let is_outlier = record.failures >= FAILURES_TO_EJECT || record.ejections > 0;
        if !is_outlier || !record.ejected_until.has_passed(now) {
            return false;
        }
        record.ejected_until = Deadline::after_ms(now, ejection_ms(record.ejections));
        record.ejections += 1;
        true
    }

    /// Returns the targets of `all` that are not ejected. If these are fewer than the share that
    /// must stay usable, the ejected targets whose ejection ends soonest are added.
    pub fn usable(&self, all: &[K], now: TimeMs) -> Vec<K> {
        let ejected_until = |key: &K| self.records.get(key).map(|record| record.ejected_until);
        let (mut usable, mut ejected): (Vec<K>, Vec<K>) = all
            .iter()
            .cloned()
            .partition(|key| ejected_until(key).is_none_or(|until| until.has_passed(now)));
        let min_usable = (all.len() as f64 * (1.0 - MAX_UNUSABLE_SHARE)).ceil() as usize;
        if usable.len() < min_usable {
            ejected.sort_by_key(ejected_until);
            usable.extend(ejected.into_iter().take(min_usable - usable.len()));
        }
        usable
    }

    /// Deletes the records of targets for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool) {
        self.records.retain(|key, _| is_known(key));
    }
}
