//! Detects dead upstreams.
//!
//! An event on a stream of a group proves that every member is alive, since a group makes no
//! progress without all of its members. An upstream is probed only if it was not heard from for
//! some time, is a suspect or failed a probe.

use std::collections::BTreeMap;

use jacinthpoint_types::{TimeMs, VmId};

/// Time since an upstream was last heard from after which it is probed.
const PROBE_AFTER_MS: u64 = 700;
/// Time between two probes of one upstream.
const PROBE_INTERVAL_MS: u64 = 600;
/// Time between two probes of a suspected upstream.
const SUSPECT_PROBE_INTERVAL_MS: u64 = 100;
/// Time between two probes of an upstream that is considered dead.
const DEAD_PROBE_INTERVAL_MS: u64 = 1_000;
/// Number of probes of a suspected upstream that may run at once. The second one starts while the
/// first is still unanswered, so a dead upstream is detected one probe timeout earlier.
const MAX_SUSPECT_PROBES: u32 = 2;
/// Number of consecutive failed probes after which an upstream is considered dead.
const DEAD_AFTER_FAILED_PROBES: u32 = 2;

/// Probe history of one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct Record {
    last_heard_at: Option<TimeMs>,
    last_probed_at: Option<TimeMs>,
    /// Number of probes in progress.
    running_probes: u32,
    /// Whether a group of the upstream stalled or an order to it was not answered since the
    /// upstream was last heard from.
    is_suspect: bool,
    /// Consecutive failed probes since the upstream was last heard from.
    failed_probes: u32,
    /// Start time of the incarnation that this record is about.
    started_unix_ms: u64,
}

/// Holds when each upstream was last heard from, and how many consecutive probes of it failed
/// since.
#[derive(Debug, Default)]
pub struct FailureDetector {
    records: BTreeMap<VmId, Record>,
}

impl FailureDetector {
    /// Records that an upstream was heard from: its group made progress, or it answered a probe or
    /// an order.
    pub fn on_alive(&mut self, id: &VmId, now: TimeMs) {
        let record = self.records.entry(id.clone()).or_default();
        record.last_heard_at = Some(now);
        record.is_suspect = false;
        record.failed_probes = 0;
    }

    /// Records the start time that an upstream's entry gives. The history is reset, and the
    /// upstream counts as heard from, if the incarnation is new or the upstream was never heard
    /// from.
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

    /// Records that a group of this upstream stalled or that an order to it was not answered. The
    /// upstream is probed without waiting for `PROBE_AFTER_MS`.
    pub fn on_suspicion(&mut self, id: &VmId) {
        self.records.entry(id.clone()).or_default().is_suspect = true;
    }

    /// Records a probe that failed. Returns true if the upstream is considered dead from this
    /// probe on.
    pub fn on_failed_probe(&mut self, id: &VmId) -> bool {
        let record = self.records.entry(id.clone()).or_default();
        record.failed_probes += 1;
        record.failed_probes == DEAD_AFTER_FAILED_PROBES
    }

    /// Records that a probe ended, with or without an answer.
    pub fn on_probe_end(&mut self, id: &VmId) {
        let record = self.records.entry(id.clone()).or_default();
        record.running_probes = record.running_probes.saturating_sub(1);
    }

    /// Returns whether the upstream is considered dead.
    pub fn is_dead(&self, id: &VmId) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.failed_probes >= DEAD_AFTER_FAILED_PROBES)
    }

    /// Records that a probe of the upstream starts now if one is due, and returns whether it is. No
    /// probe is due while another one is running, except that [`MAX_SUSPECT_PROBES`] of a suspected
    /// upstream may run.
    pub fn start_probe_if_due(&mut self, id: &VmId, now: TimeMs) -> bool {
        let record = self.records.entry(id.clone()).or_default();
        let elapsed_ms = |at: Option<TimeMs>| at.map_or(u64::MAX, |at| now.since_ms(at));
        let (interval_ms, max_probes) = if record.failed_probes >= DEAD_AFTER_FAILED_PROBES {
            (DEAD_PROBE_INTERVAL_MS, 1)
        } else if record.is_suspect || record.failed_probes > 0 {
            (SUSPECT_PROBE_INTERVAL_MS, MAX_SUSPECT_PROBES)
        } else if elapsed_ms(record.last_heard_at) >= PROBE_AFTER_MS {
            (PROBE_INTERVAL_MS, 1)
        } else {
            return false;
        };
        let is_due =
            record.running_probes < max_probes && elapsed_ms(record.last_probed_at) >= interval_ms;
        if is_due {
            record.last_probed_at = Some(now);
            record.running_probes += 1;
        }
        is_due
    }

    /// Removes the history of the upstreams for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&VmId) -> bool) {
        self.records.retain(|id, _| is_kept(id));
    }
}
