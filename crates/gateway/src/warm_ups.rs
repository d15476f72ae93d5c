//! What this gateway knows of cold upstreams, and the exchange of permits for requests to them.
//!
//! Permits come from the root of the load exchange, as those for limits that upstreams name do, see
//! [`crate::limit_exchange`].

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
};

use jacinthpoint_dispatch::{
    Directory, WarmUpAnswer, WarmUpBasis, WarmUpIssuer, WarmUpLimits, WarmUpReport, WarmUps,
};
use jacinthpoint_fleet::{FleetConfig, Upstream, WarmUp};
use jacinthpoint_types::{DataCentreId, Deadline, TimeMs, VmId};

use crate::{events::log_event, metrics::Metrics};

/// Cold upstreams and permits of one gateway, and those that it issues as the hub.
#[derive(Debug, Default)]
pub(crate) struct WarmUpExchange {
    known: RefCell<WarmUps>,
    /// Requests that this gateway may send to cold upstreams.
    pub(crate) limits: RefCell<WarmUpLimits>,
    issuer: RefCell<WarmUpIssuer>,
}

impl WarmUpExchange {
    /// Records a view of the fleet. `evacuation_ended_at` returns when the last evacuation of a data
    /// centre ended.
    pub(crate) fn on_view(
        &self,
        config: &FleetConfig,
        upstreams: &BTreeMap<VmId, Upstream>,
        directory: &Directory,
        evacuation_ended_at: impl Fn(&DataCentreId) -> Option<TimeMs>,
        metrics: &Metrics,
        now: TimeMs,
    ) {
        let mut known = self.known.borrow_mut();
        let has_warm_up = config
            .services
            .values()
            .any(|service| service.warm_up.is_some());
        if !has_warm_up && known.is_empty() {
            return;
        }
        let warm_up = |upstream: &Upstream| config.services.get(&upstream.service)?.warm_up;
        known.retain(|id| upstreams.get(id).and_then(warm_up).is_some(), now);
        for (id, upstream) in upstreams {
            let Some(warm_up) = warm_up(upstream) else {
                continue;
            };
            let ended_at = evacuation_ended_at(&upstream.data_centre);
            if let Some(basis) = known.on_entry(upstream, &warm_up, ended_at, now) {
                log_cold(metrics, id, basis, known.cold_until(id, now), now);
            }
        }
        let mut limits = self.limits.borrow_mut();
        // An upstream that is not listed may be one that another gateway told of.
        limits.retain(|id| {
            upstreams
                .get(id)
                .is_none_or(|known| warm_up(known).is_some())
        });
        for target in directory.targets() {
            let upstream = upstreams.get(&target.upstream);
            if let (Some(until), Some(warm_up)) = (
                known.cold_until(&target.upstream, now),
                upstream.and_then(warm_up),
            ) {
                limits.on_cold(&target.upstream, warm_up.max_per_s, until, now);
            }
        }
    }

    /// Records the time for which an upstream stays cold according to its answer.
    pub(crate) fn on_answer(
        &self,
        upstream: &VmId,
        left_ms: u64,
        warm_up: &WarmUp,
        metrics: &Metrics,
        now: TimeMs,
    ) {
        let mut known = self.known.borrow_mut();
        let basis = known.on_answer(upstream, left_ms, warm_up, now);
        let Some(until) = known.cold_until(upstream, now) else {
            return;
        };
        if let Some(basis) = basis {
            log_cold(metrics, upstream, basis, Some(until), now);
        }
        let mut limits = self.limits.borrow_mut();
        limits.on_cold(upstream, warm_up.max_per_s, until, now);
    }

    /// Returns which of these upstreams are cold.
    pub(crate) fn cold<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a VmId>,
        now: TimeMs,
    ) -> BTreeSet<VmId> {
        let known = self.known.borrow();
        let cold = upstreams.filter(|id| known.cold_until(id, now).is_some());
        cold.cloned().collect()
    }

    /// Returns the reports for the hub that are due.
    pub(crate) fn due_reports(&self, is_counted: bool, now: TimeMs) -> Vec<WarmUpReport> {
        self.limits.borrow_mut().due_reports(is_counted, now)
    }

    /// Returns this gateway's answers, as the hub of a `share` of the fleet, to a report.
    pub(crate) fn answers_to(
        &self,
        reports: &[WarmUpReport],
        share: f64,
        now: TimeMs,
    ) -> Vec<WarmUpAnswer> {
        self.issuer.borrow_mut().on_report(reports, share, now)
    }

    /// Returns the cold upstreams that this gateway knows of as the hub.
    pub(crate) fn cold_at_hub(&self, now: TimeMs) -> Vec<WarmUpAnswer> {
        self.issuer.borrow().cold(now)
    }

    /// Applies the hub's answer.
    pub(crate) fn apply(&self, answers: &[WarmUpAnswer], metrics: &Metrics, now: TimeMs) {
        let permits: u64 = answers.iter().map(|answer| u64::from(answer.permits)).sum();
        (0..permits).for_each(|_| metrics.count("warm_up_permits", "received"));
        for upstream in self.limits.borrow_mut().on_hub_answer(answers, now) {
            metrics.count("cold_upstreams", "hub");
            log_event!(info, UpstreamCold, %upstream, why = "hub",
                "another gateway learned that an upstream is cold");
        }
    }
}

/// Logs and counts that an upstream is cold.
fn log_cold(
    metrics: &Metrics,
    upstream: &VmId,
    basis: WarmUpBasis,
    until: Option<Deadline>,
    now: TimeMs,
) {
    metrics.count("cold_upstreams", basis.into());
    log_event!(info, UpstreamCold, %upstream, why = %basis,
        left_ms = until.map(|until| until.remaining_ms(now)),
        "an upstream is cold: it gets requests at a limited rate");
}
