//! Requests that were refused for lack of room, as work that their model lacks.
//!
//! The loads of groups do not show work that was refused. A refused request counts as if it ran, for
//! the time that it would have taken, or until its caller may return if that is sooner: a caller that
//! returns counts again, by its new request.

use std::collections::BTreeMap;

use jacinthpoint_types::{DeploymentId, ServiceId, TimeMs};

use crate::peer_load::{TargetDigest, TargetReport};

/// Number of thousandths of a request in one.
const MILLIS: f64 = 1_000.0;

/// Time constant with which refused requests stop to count. It is some times as long as a caller
/// waits, so that single refusals are not seen as swings.
const FALL_MS: f64 = 4_000.0;

/// Refused requests of one model at this gateway.
#[derive(Debug, Clone, Copy, Default)]
struct Refused {
    /// Mean number of requests that would run.
    running: f64,
    /// When that was last computed.
    at: TimeMs,
}

impl Refused {
    fn running(&self, now: TimeMs) -> f64 {
        self.running * (-(now.since_ms(self.at) as f64) / FALL_MS).exp()
    }
}

/// Refused requests at one gateway, by service and model.
#[derive(Debug, Default)]
pub(crate) struct RefusedWork {
    by_model: BTreeMap<TargetDigest, Refused>,
}

impl RefusedWork {
    /// Records a refused request that would have run for `run_ms`, and whose caller may return in
    /// `retry_after_ms`.
    pub(crate) fn on_refused(
        &mut self,
        service: &ServiceId,
        model: &DeploymentId,
        run_ms: f64,
        retry_after_ms: u64,
        now: TimeMs,
    ) {
        let counts_for_ms = run_ms.min(retry_after_ms as f64).max(0.0);
        let refused = self.by_model.entry(digest(service, model)).or_default();
        refused.running = refused.running(now) + counts_for_ms / FALL_MS;
        refused.at = now;
    }

    /// Returns the number of refused requests of a model that would run, at this gateway.
    pub(crate) fn running(&self, service: &ServiceId, model: &DeploymentId, now: TimeMs) -> f64 {
        let refused = self.by_model.get(&digest(service, model));
        refused.map_or(0.0, |refused| refused.running(now))
    }

    /// Returns the reports for the hub. They have the form of a target's report, so that the exchange
    /// adds them up as it does those, also at hubs that do not know them: the number of requests is
    /// in thousandths, in the place of the unread tokens.
    pub(crate) fn reports(&self, now: TimeMs) -> Vec<TargetReport> {
        let report = |(target, refused): (&TargetDigest, &Refused)| TargetReport {
            target: *target,
            in_flight: 0,
            unread_tokens: (refused.running(now) * MILLIS).round() as u32,
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

    /// Drops models that had no refused request for long.
    pub(crate) fn retain_recent(&mut self, now: TimeMs) {
        self.by_model
            .retain(|_, refused| refused.running(now) * MILLIS >= 0.5);
    }
}

/// Returns what identifies the refused work of a model in the exchange of loads. No target has a key
/// that begins with a slash.
pub(crate) fn digest(service: &ServiceId, model: &DeploymentId) -> TargetDigest {
    TargetDigest::of(&format!("/refused/{service}/{model}"))
}
