//! Evidence on which upstreams are dead.
//!
//! An event of a group's stream proves that every member lives, since a group makes no progress
//! without all of them. Only members that were not heard of in this way are probed.

use std::collections::BTreeMap;

use jacinthpoint_types::{TimeMs, VmId};

/// Time without a sign of life after which a member of a group is probed.
const PROBE_AFTER_MS: u64 = 700;
/// Time between two probes of one upstream.
const PROBE_INTERVAL_MS: u64 = 600;
/// Time between two probes of an upstream that is under suspicion.
const SUSPECT_PROBE_INTERVAL_MS: u64 = 100;
/// Time between two probes of an upstream that is taken as dead.
const DEAD_PROBE_INTERVAL_MS: u64 = 1_000;
/// Failed probes in a row after which an upstream is taken as dead.
const DEAD_AFTER_FAILED_PROBES: u32 = 2;

#[derive(Debug, Clone, Copy, Default)]
struct Record {
    last_heard_at: Option<TimeMs>,
    last_probed_at: Option<TimeMs>,
    is_probing: bool,
    is_suspect: bool,
    failed_probes: u32,
    started_unix_ms: u64,
}

/// What is known of each upstream's life.
#[derive(Debug, Default)]
pub struct FailureDetector {
    records: BTreeMap<VmId, Record>,
}

impl FailureDetector {
    /// Takes in a sign of life.
    pub fn on_alive(&mut self, id: &VmId, now: TimeMs) {
        let record = self.records.entry(id.clone()).or_default();
        record.last_heard_at = Some(now);
        record.is_suspect = false;
        record.failed_probes = 0;
    }

    /// Takes in the life that an entry speaks of; another one than before starts anew.
    pub fn on_incarnation(&mut self, id: &VmId, started_unix_ms: u64, now: TimeMs) {
        let record = self.records.entry(id.clone()).or_default();
        if record.started_unix_ms != started_unix_ms || record.last_heard_at.is_none() {
            *record = Record {
                started_unix_ms,
                last_heard_at: Some(now),
                ..Record::default()
            };
        }
    }

    /// Takes in that something this upstream takes part in has stopped.
    pub fn on_suspicion(&mut self, id: &VmId) {
        self.records.entry(id.clone()).or_default().is_suspect = true;
    }

    /// Takes in a probe or order that was not answered; tells whether the upstream is taken as
    /// dead by it.
    pub fn on_failed_probe(&mut self, id: &VmId) -> bool {
        let record = self.records.entry(id.clone()).or_default();
        record.failed_probes += 1;
        record.failed_probes == DEAD_AFTER_FAILED_PROBES
    }

    /// The end of a probe, however it went.
    pub fn on_probe_end(&mut self, id: &VmId) {
        self.records.entry(id.clone()).or_default().is_probing = false;
    }

    /// Whether the upstream is taken as dead.
    pub fn is_dead(&self, id: &VmId) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.failed_probes >= DEAD_AFTER_FAILED_PROBES)
    }

    /// Whether it should be probed now; counts as probed if so.
    pub fn probe_is_due(&mut self, id: &VmId, now: TimeMs) -> bool {
        let record = self.records.entry(id.clone()).or_default();
        let elapsed_ms = |at: Option<TimeMs>| at.map_or(u64::MAX, |at| now.since_ms(at));
        let interval_ms = if record.failed_probes >= DEAD_AFTER_FAILED_PROBES {
            DEAD_PROBE_INTERVAL_MS
        } else if record.is_suspect || record.failed_probes > 0 {
            SUSPECT_PROBE_INTERVAL_MS
        } else if elapsed_ms(record.last_heard_at) >= PROBE_AFTER_MS {
            PROBE_INTERVAL_MS
        } else {
            return false;
        };
        let is_due = !record.is_probing && elapsed_ms(record.last_probed_at) >= interval_ms;
        if is_due {
            record.last_probed_at = Some(now);
            record.is_probing = true;
        }
        is_due
    }

    /// Forgets upstreams that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&VmId) -> bool) {
        self.records.retain(|id, _| is_listed(id));
    }
}
