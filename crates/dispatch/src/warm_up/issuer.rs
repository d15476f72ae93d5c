//! Permits for requests to cold upstreams, issued by the hub.
//!
//! The rate that a service configures holds in any second. A permit that is issued just before a
//! second may be used in it, and so may those that were saved up. So the rate of permits is lower
//! than the configured one: with [`RATE_SHARE`], the permits of [`PERMIT_VALID_MS`] before a second
//! and of the second itself are 1.35 times the configured rate, and those saved up a tenth of it or
//! one. Several hubs issue one part each, as those of [`crate::PermitIssuer`] do.

use std::collections::BTreeMap;

use jacinthpoint_types::{Deadline, PerSecond, TimeMs, VmId};

#[cfg(doc)]
use super::limit::PERMIT_VALID_MS;
use super::limit::{MAX_DELAY_MS, WarmUpAnswer, WarmUpReport};

/// Rate of permits, as a share of the rate that the upstream takes.
const RATE_SHARE: f64 = 0.9;
/// Time for which unused permits are saved up.
const SAVED_MS: u64 = 100;

/// One cold upstream at the hub.
#[derive(Debug)]
struct Issue {
    max_per_s: PerSecond,
    until: Deadline,
    /// Number of permits that can be issued; fractions accrue.
    permits: f64,
    /// Time up to which `permits` is computed.
    accrued_at: TimeMs,
}

/// Cold upstreams and their permits at the hub.
#[derive(Debug, Default)]
pub struct WarmUpIssuer {
    issues: BTreeMap<VmId, Issue>,
}

impl WarmUpIssuer {
    /// Records a gateway's report and returns what is known of each reported upstream, with the
    /// permits that the gateway gets. `share` is the part of the fleet that this hub issues for.
    pub fn on_report(
        &mut self,
        reports: &[WarmUpReport],
        share: f64,
        now: TimeMs,
    ) -> Vec<WarmUpAnswer> {
        self.issues.retain(|_, issue| !issue.until.has_passed(now));
        let reports = reports.iter().filter(|report| report.max_per_s.is_valid());
        reports
            .map(|report| self.answer(report, share, now))
            .collect()
    }

    /// Returns the cold upstreams, without permits.
    pub fn cold(&self, now: TimeMs) -> Vec<WarmUpAnswer> {
        let issues = self.issues.iter();
        let cold = issues.filter(|(_, issue)| !issue.until.has_passed(now));
        let answer = |(upstream, issue): (&VmId, &Issue)| WarmUpAnswer {
            upstream: upstream.clone(),
            max_per_s: issue.max_per_s,
            left_ms: left_ms(issue.until, now),
            permits: 0,
            asked_at: TimeMs::default(),
        };
        cold.map(answer).collect()
    }

    fn answer(&mut self, report: &WarmUpReport, share: f64, now: TimeMs) -> WarmUpAnswer {
        let mut answer = WarmUpAnswer {
            upstream: report.upstream.clone(),
            max_per_s: report.max_per_s,
            left_ms: 0,
            permits: 0,
            asked_at: report.asked_at,
        };
        if report.left_ms > 0 {
            self.record(report, now);
        }
        // Without a first-hand report, nothing says that the upstream is still cold.
        let Some(issue) = self.issues.get_mut(&report.upstream) else {
            return answer;
        };
        issue.accrue(share, now);
        if report.wants_permit && issue.permits >= 1.0 {
            issue.permits -= 1.0;
            answer.permits = 1;
        }
        answer.max_per_s = issue.max_per_s;
        answer.left_ms = left_ms(issue.until, now);
        answer
    }

    /// Records the end of a warm-up that a gateway knows first-hand.
    fn record(&mut self, report: &WarmUpReport, now: TimeMs) {
        let until = Deadline::after_ms(now, u64::from(report.left_ms));
        let issue = self
            .issues
            .entry(report.upstream.clone())
            .or_insert_with(|| Issue {
                max_per_s: report.max_per_s,
                until,
                permits: 0.0,
                accrued_at: now,
            });
        if until > Deadline(issue.until.0.plus_ms(MAX_DELAY_MS)) {
            issue.until = until;
        }
        // Gateways may have different versions of the configuration; the lower rate is safe.
        issue.max_per_s = PerSecond(issue.max_per_s.0.min(report.max_per_s.0));
    }
}

impl Issue {
    /// Adds the permits that accrued at `share` of the rate since the last call.
    fn accrue(&mut self, share: f64, now: TimeMs) {
        let elapsed_ms = now.since_ms(self.accrued_at);
        self.accrued_at = now;
        let rate = self.max_per_s.scaled(RATE_SHARE * share);
        let max_permits = rate.accrued_in_ms(SAVED_MS).max(1.0);
        self.permits = (self.permits + rate.accrued_in_ms(elapsed_ms)).min(max_permits);
    }
}

fn left_ms(until: Deadline, now: TimeMs) -> u32 {
    u32::try_from(until.remaining_ms(now)).unwrap_or(u32::MAX)
}
