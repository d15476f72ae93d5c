//! Requests that were refused for lack of room or answered late, as work that their model lacks.
//!
//! The loads of groups do not show work that was refused, nor that a group answers late: models differ
//! in the load at which they do. A refused request counts as if it ran, for the time that it
//! would have taken, or until its caller may return if that is sooner: a caller that returns counts again,
//! by its new request. One that was answered late counts as if it ran once more.

use std::collections::BTreeMap;

use jacinthpoint_types::{DeploymentId, ServiceId, TimeMs};

use crate::peer_load::{TargetDigest, TargetReport};

/// Number of thousandths of a request in one.
const MILLIS: f64 = 1_000.0;

/// Time constant with which unmet requests stop to count. It is some times as long as a caller
/// waits, so that single ones are not seen as swings.
const FALL_MS: f64 = 4_000.0;

/// Unmet requests of one model at this gateway.
#[derive(Debug, Clone, Copy, Default)]
struct Unmet {
    /// Mean number of requests that would run.
    running: f64,
    /// When that was last computed.
    at: TimeMs,
}

impl Unmet {
    fn running(&self, now: TimeMs) -> f64 {
        self.running * (-(now.since_ms(self.at) as f64) / FALL_MS).exp()
    }
}

/// Unmet requests at one gateway, by service and model.
#[derive(Debug, Default)]
pub(crate) struct UnmetWork {
    by_model: BTreeMap<TargetDigest, Unmet>,
}

impl UnmetWork {
    /// Records a request that would have run for `run_ms`, and counts for at most `max_ms`.
    pub(crate) fn on_unmet(
        &mut self,
        service: &ServiceId,
        model: &DeploymentId,
        run_ms: f64,
        max_ms: u64,
        now: TimeMs,
    ) {
        let counts_for_ms = run_ms.min(max_ms as f64).max(0.0);
        let unmet = self.by_model.entry(digest(service, model)).or_default();
        unmet.running = unmet.running(now) + counts_for_ms / FALL_MS;
        unmet.at = now;
    }

    /// Returns the number of unmet requests of a model that would run, at this gateway.
    pub(crate) fn running(&self, service: &ServiceId, model: &DeploymentId, now: TimeMs) -> f64 {
        let unmet = self.by_model.get(&digest(service, model));
        unmet.map_or(0.0, |unmet| unmet.running(now))
    }

    /// Returns the reports for the hub. They have the form of a target's report, so that the exchange
    /// adds them up as it does those, also at hubs that do not know them: the number of requests is
    /// in thousandths, in the place of the unread tokens.
    pub(crate) fn reports(&self, now: TimeMs) -> Vec<TargetReport> {
        let report = |(target, unmet): (&TargetDigest, &Unmet)| TargetReport {
            target: *target,
            in_flight: 0,
            unread_tokens: (unmet.running(now) * MILLIS).round() as u32,
            heard_ms: None,
            waited_ms: None,
        };
        let reports = self.by_model.iter().map(report);
        reports.filter(|report| report.unread_tokens > 0).collect()
    }

    /// Returns the number of requests in the sum of reports that the exchange returned.
    pub(crate) fn running_at_peers(report: &TargetReport) -> f64 {
        f64::from(report.unread_tokens) / MILLIS
    }

    /// Drops models that had no unmet request for long.
    pub(crate) fn retain_recent(&mut self, now: TimeMs) {
        self.by_model
            .retain(|_, unmet| unmet.running(now) * MILLIS >= 0.5);
    }
}

/// Returns what identifies the unmet work of a model in the exchange of loads. No target has a key
/// that begins with a slash.
pub(crate) fn digest(service: &ServiceId, model: &DeploymentId) -> TargetDigest {
    TargetDigest::of(&format!("/unmet/{service}/{model}"))
}
