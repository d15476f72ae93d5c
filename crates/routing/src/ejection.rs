//! Ejection of outliers: places that fail while others do not.
//!
//! A place that answers errors at once always looks idle, and would draw all work. It is left
//! alone for a time that doubles while it goes on failing. At most half of the places are ejected:
//! when more than that fail, the fault is likely a shared one, and sending everything to the few
//! that are left would only bring them down too.

use std::collections::BTreeMap;

use jacinthpoint_types::{Deadline, TimeMs};

/// Failures in a row after which a place is ejected.
const FAILURES: u32 = 3;
/// Longest time to a failure that counts.
const FAST_MS: u64 = 500;
/// First time for which it is left alone.
const FIRST_MS: u64 = 5_000;
/// Longest time for which it is left alone.
const MAX_MS: u64 = 60_000;
/// Share of all places that may be ejected.
const MAX_SHARE: f64 = 0.5;

#[derive(Debug, Clone, Copy)]
struct Record {
    failures: u32,
    ejections: u32,
    until: Deadline,
}

/// Time of the ejection after a number of earlier ones.
fn ejection_ms(earlier: u32) -> u64 {
    let doubled = FIRST_MS.checked_shl(earlier).unwrap_or(MAX_MS);
    doubled.clamp(FIRST_MS, MAX_MS)
}

/// What one node remembers of failures.
#[derive(Debug, Clone)]
pub struct Ejector<K> {
    records: BTreeMap<K, Record>,
}

impl<K> Default for Ejector<K> {
    fn default() -> Ejector<K> {
        Ejector {
            records: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> Ejector<K> {
    /// Remembers nothing yet.
    pub fn new() -> Ejector<K> {
        Ejector::default()
    }

    /// Takes in a success; the place is trusted again.
    pub fn on_success(&mut self, key: &K) {
        self.records.remove(key);
    }

    /// Takes in a failure that came `after_ms`; tells whether the place is ejected for it.
    ///
    /// Slow failures do not count: a place that is silent under load draws no work by it, and
    /// ejecting it would move its load to the others.
    pub fn on_failure(&mut self, key: &K, after_ms: u64, now: TimeMs) -> bool {
        if after_ms > FAST_MS {
            return false;
        }
        let record = self.records.entry(key.clone()).or_insert(Record {
            failures: 0,
            ejections: 0,
            until: Deadline(now),
        });
        record.failures += 1;
        // One that was ejected before has to prove itself with its first request.
        let is_outlier = record.failures >= FAILURES || record.ejections > 0;
        if !is_outlier || !record.until.has_passed(now) {
            return false;
        }
        record.until = Deadline::after_ms(now, ejection_ms(record.ejections));
        record.ejections += 1;
        true
    }

    /// The places that are not ejected, and of the others as many as the bound asks for, those
    /// first whose time is over soonest.
    pub fn usable(&self, all: &[K], now: TimeMs) -> Vec<K> {
        let until = |key: &K| self.records.get(key).map(|record| record.until);
        let (mut usable, mut ejected): (Vec<K>, Vec<K>) = all
            .iter()
            .cloned()
            .partition(|key| until(key).is_none_or(|until| until.has_passed(now)));
        let least = (all.len() as f64 * (1.0 - MAX_SHARE)).ceil() as usize;
        if usable.len() < least {
            ejected.sort_by_key(until);
            usable.extend(ejected.into_iter().take(least - usable.len()));
        }
        usable
    }

    /// Forgets places that are gone.
    pub fn retain(&mut self, all: &[K]) {
        self.records.retain(|key, _| all.contains(key));
    }
}
