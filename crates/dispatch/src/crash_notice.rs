//! Which requests may have caused the crash at which their connections broke.
//!
//! An upstream that crashed stays listed for a time, and its address may accept connections that then
//! break at once. A request that was sent after the crash was noticed breaks with them, but did not cause
//! it. The same upstream may have started again, unknown to the view, and crash once more: an answer to a
//! request that was sent after the notice shows that, and without one the notice ends after a time.

use std::collections::BTreeMap;

use jacinthpoint_types::{Deadline, TimeMs, VmId};

use crate::CrashId;

/// Time for which a crash explains further breaks. The entry of an upstream that stays away expires by
/// then, after three missed heartbeats.
const NOTICE_VALID_MS: u64 = 5_000;

/// A crash that was noticed.
#[derive(Debug, Clone, Copy)]
struct Notice {
    /// Start time of the life that crashed, in Unix milliseconds; 0 if it was not known.
    started_unix_ms: u64,
    noticed_at: TimeMs,
    valid_until: Deadline,
}

/// The crashes of upstreams that one gateway noticed lately.
#[derive(Debug, Default)]
pub struct CrashNotices(BTreeMap<VmId, Notice>);

impl CrashNotices {
    /// Records that the connection of a request broke, and returns whether the request may be the cause: unless
    /// it was sent after this crash had been noticed.
    pub fn on_break(&mut self, crash: &CrashId, sent_at: TimeMs, now: TimeMs) -> bool {
        self.0
            .retain(|_, notice| !notice.valid_until.has_passed(now));
        // The start time is 0 while the view does not have the upstream.
        let same_life =
            |notice: &&Notice| [0, notice.started_unix_ms].contains(&crash.started_unix_ms);
        if let Some(notice) = self.0.get(&crash.upstream).filter(same_life) {
            return sent_at <= notice.noticed_at;
        }
        let notice = Notice {
            started_unix_ms: crash.started_unix_ms,
            noticed_at: now,
            valid_until: Deadline::after_ms(now, NOTICE_VALID_MS),
        };
        self.0.insert(crash.upstream.clone(), notice);
        true
    }

    /// Returns whether this incarnation of an upstream is known to be down.
    pub fn is_down(&self, upstream: &VmId, started_unix_ms: u64, now: TimeMs) -> bool {
        let notice = self.0.get(upstream);
        notice.is_some_and(|notice| {
            notice.started_unix_ms == started_unix_ms && !notice.valid_until.has_passed(now)
        })
    }

    /// Records that an upstream answered a request: if that was sent after a crash was noticed, the upstream is up
    /// again.
    pub fn on_answer(&mut self, upstream: &VmId, sent_at: TimeMs) {
        let notice = self.0.get(upstream);
        if notice.is_some_and(|notice| sent_at > notice.noticed_at) {
            self.0.remove(upstream);
        }
    }
}
