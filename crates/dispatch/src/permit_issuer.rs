//! Permits for requests to upstreams with a limit, issued by the hub.
//!
//! Any gateway can be the hub, and several may be at once: while a hub is replaced, or while some
//! gateways do not know of others yet. Each gateway asks one hub at a time. So each hub issues the
//! part of a limit that corresponds to the gateways that report to it, and all hubs together issue
//! no more than the limit. A gateway that becomes the hub starts without saved-up permits.

use std::collections::BTreeMap;

use jacinthpoint_types::{PerSecond, TimeMs, VmId};

use crate::upstream_limit::{LimitAnswer, LimitReport, Statement, is_kept, is_valid};

/// Time after its last report for which a gateway counts as reporting to this hub. Gateways report
/// at least every [`LIMIT_SYNC_MS`].
const REPORTING_MS: u64 = 600;
/// Time between two reports of a gateway that has nothing to report.
pub const LIMIT_SYNC_MS: u64 = 250;
/// Time after which a gateway that does not report to this hub is considered gone.
const GONE_MS: u64 = 30_000;
/// The same for limits that hold in whichever part of a split fleet a gateway is: the longest time for
/// which one upstream is limited. A gateway that is really gone costs its share for as long.
const SPLIT_GONE_MS: u64 = 600_000;
/// Time for which unused permits are saved up.
const SAVED_MS: u64 = 250;
/// Lowest rate of permits. The end of a limit shows only in answers, so a few requests are sent
/// even if the limit is zero.
const MIN_RATE: PerSecond = PerSecond(0.25);
/// Time after which the hub drops an upstream of which no gateway reports.
const UNREPORTED_MS: u64 = 60_000;

/// One upstream at the hub.
#[derive(Debug)]
struct Issue {
    statement: Statement,
    /// Number of permits that can be issued; fractions accrue.
    permits: f64,
    /// Time up to which `permits` is computed.
    accrued_at: TimeMs,
    reported_at: TimeMs,
}

/// Contact with one gateway.
#[derive(Debug, Clone, Copy)]
struct Contact {
    /// Time of its last report, or since when this gateway knows of it.
    last_at: TimeMs,
    has_reported: bool,
    /// Time of the first report since the last gap of [`REPORTING_MS`].
    reporting_since: TimeMs,
}

/// Limits and permits at the hub, for gateways with the identity `K`.
#[derive(Debug)]
pub struct PermitIssuer<K> {
    issues: BTreeMap<VmId, Issue>,
    gateways: BTreeMap<K, Contact>,
}

impl<K> Default for PermitIssuer<K> {
    fn default() -> PermitIssuer<K> {
        PermitIssuer {
            issues: BTreeMap::new(),
            gateways: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> PermitIssuer<K> {
    /// Adds gateways that this one knows of. They count as part of the fleet until they have not
    /// reported for [`GONE_MS`].
    pub fn on_known(&mut self, gateways: impl IntoIterator<Item = K>, now: TimeMs) {
        for gateway in gateways {
            self.gateways.entry(gateway).or_insert(Contact {
                last_at: now,
                has_reported: false,
                reporting_since: now,
            });
        }
    }

    /// Records a gateway's report and returns the newest statement on each reported upstream, with
    /// the permits that the gateway gets.
    pub fn on_report(&mut self, from: K, reports: &[LimitReport], now: TimeMs) -> Vec<LimitAnswer> {
        let before = self
            .gateways
            .get(&from)
            .filter(|contact| contact.has_reported && now.since_ms(contact.last_at) < REPORTING_MS);
        let contact = Contact {
            last_at: now,
            has_reported: true,
            reporting_since: before.map_or(now, |contact| contact.reporting_since),
        };
        self.gateways.insert(from, contact);
        let share = self.share(|_| true, GONE_MS, now);
        self.answers(reports, share, now)
    }

    /// Like [`PermitIssuer::on_report`], for a gateway that is its own hub and cannot be reached by
    /// others: `share` is its fraction of the fleet.
    pub fn on_report_alone(
        &mut self,
        reports: &[LimitReport],
        share: f64,
        now: TimeMs,
    ) -> Vec<LimitAnswer> {
        self.answers(reports, share, now)
    }

    fn answers(&mut self, reports: &[LimitReport], share: f64, now: TimeMs) -> Vec<LimitAnswer> {
        let reports = reports.iter().filter(|report| is_valid(report.limit));
        reports
            .map(|report| self.answer(report, share, now))
            .collect()
    }

    /// Returns the upstreams with a limit, without permits.
    pub fn limited(&self, now: TimeMs) -> Vec<LimitAnswer> {
        let issues = self.issues.iter();
        let limited = issues.filter(|(_, issue)| issue.statement.limit.is_some());
        limited
            .map(|(upstream, issue)| issue.answer(upstream, 0, now))
            .collect()
    }

    /// Drops the upstreams that are not reported any more or whose limit ended long ago.
    pub fn drop_old(&mut self, now: TimeMs) {
        self.issues.retain(|_, issue| {
            now.since_ms(issue.reported_at) < UNREPORTED_MS && is_kept(&issue.statement, now)
        });
    }

    /// Returns the fraction of the fleet's gateways that have reported to this hub for so long that
    /// no other hub counts them any more.
    pub fn settled_share(&self, now: TimeMs) -> f64 {
        let is_settled = |contact: &Contact| now.since_ms(contact.reporting_since) >= REPORTING_MS;
        self.share(is_settled, SPLIT_GONE_MS, now)
    }

    /// Returns the fraction of the fleet's gateways that report to this hub and for which `counts`
    /// returns true. A gateway is of the fleet until it has not reported for `gone_ms`.
    fn share(&self, counts: impl Fn(&Contact) -> bool, gone_ms: u64, now: TimeMs) -> f64 {
        let is_within = |contact: &&Contact, ms: u64| now.since_ms(contact.last_at) < ms;
        let reporting = self
            .gateways
            .values()
            .filter(|contact| contact.has_reported && is_within(contact, REPORTING_MS))
            .filter(|contact| counts(contact))
            .count();
        let present = self
            .gateways
            .values()
            .filter(|contact| is_within(contact, gone_ms))
            .count();
        reporting as f64 / present.max(1) as f64
    }

    fn answer(&mut self, report: &LimitReport, share: f64, now: TimeMs) -> LimitAnswer {
        let statement = Statement::with_ages(report.limit, report.ages, now);
        let issue = self
            .issues
            .entry(report.upstream.clone())
            .or_insert_with(|| Issue {
                statement,
                permits: 0.0,
                accrued_at: now,
                reported_at: now,
            });
        issue.accrue(share, now);
        issue.reported_at = now;
        issue.statement.update(statement);
        let is_issued = report.wants_permit && issue.permits >= 1.0;
        if is_issued {
            issue.permits -= 1.0;
        }
        issue.answer(&report.upstream, u8::from(is_issued), now)
    }
}

impl Issue {
    /// Adds the permits that accrued at `share` of the limit since the last call. None accrue
    /// without a limit.
    fn accrue(&mut self, share: f64, now: TimeMs) {
        let elapsed_ms = now.since_ms(self.accrued_at);
        self.accrued_at = now;
        let Some(limit) = self.statement.limit else {
            self.permits = 0.0;
            return;
        };
        let rate = PerSecond(limit.0.max(MIN_RATE.0)).scaled(share);
        let max_permits = rate.accrued_in_ms(SAVED_MS).max(1.0);
        self.permits = (self.permits + rate.accrued_in_ms(elapsed_ms)).min(max_permits);
    }

    fn answer(&self, upstream: &VmId, permits: u8, now: TimeMs) -> LimitAnswer {
        LimitAnswer {
            upstream: upstream.clone(),
            limit: self.statement.limit,
            ages: self.statement.ages(now),
            permits,
        }
    }
}
