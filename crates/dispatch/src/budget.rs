//! Limit on retries to a service that holds over all gateways together.
//!
//! In any window, all gateways together may send a service at most `ratio` retries per request plus
//! a fixed number, the slack. No gateway gets all traffic, so each applies the ratio to its own
//! requests and uses an equal share of the slack.
//!
//! Callers move to other gateways when theirs restarts, is lost or is cut off, and at any other time.
//! The gateway that they leave may have used the ratio on their requests of one window, and the
//! gateway that they move to, or the next life of the same one, uses it on those of the next. Both send
//! retries in the same window. So the requests of two windows allow retries in one, and each gateway
//! applies at most half of the ratio. The sum then stays within the limit however requests move.
//!
//! A gateway that restarts may have used its share of the slack already, so it uses only a small part
//! until the window has passed. The same holds for a gateway that was added, after the last moment at
//! which the others divided the slack without it.

use std::collections::VecDeque;

use jacinthpoint_types::TimeMs;

/// Length of the buckets in which requests and retries are counted.
const BUCKET_MS: u64 = 250;
/// Number of windows whose requests allow the retries of one window: that of the retries and the one
/// before it.
const COUNTED_WINDOWS: f64 = 2.0;
/// Share of the ratio that gateways use on the requests of all counted windows. The rest covers retries
/// that reach the service in a later window than the one they were sent in.
const USABLE_RATIO_SHARE: f64 = 0.9;
/// Share of the slack that gateways use. The rest covers the retries of gateways that just started,
/// and late ones.
const USABLE_SLACK_SHARE: f64 = 0.8;

/// Share of the slack that gateways use before [`SlackShare::usable_from`]. Without it, a gateway
/// that just started could retry none of its first requests. Up to four starts of all gateways
/// within a window stay within the budget.
const STARTING_SHARE: f64 = 0.05;

/// Limit on the retries to one service, for all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryBudgetSettings {
    /// Retries per request.
    pub ratio: f64,
    /// Number of retries in a window that are allowed beyond the ratio.
    pub slack: f64,
    /// Length of the window, in ms.
    pub window_ms: u64,
}

/// Share of one gateway in the slack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlackShare {
    /// Number of gateways among which the slack is divided; `None` until it is known. Then the gateway uses
    /// none: any number that it assumes is too small for some fleet.
    pub gateways: Option<usize>,
    /// Time from which the gateway uses its whole share.
    pub usable_from: TimeMs,
}

impl SlackShare {
    /// Returns the time from which a gateway uses its whole share, if its process started at
    /// `started_at` and all other gateways count it from `counted_by` on.
    pub fn usable_from(
        started_at: TimeMs,
        counted_by: TimeMs,
        settings: &FleetRetryBudgetSettings,
    ) -> TimeMs {
        started_at.max(counted_by).plus_ms(settings.window_ms)
    }
}

/// Use of one gateway's share of a retry budget in the current window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryUsage {
    /// Number of requests.
    pub requests: u32,
    /// Number of retries.
    pub retries: u32,
    /// Number of retries that the share allows.
    pub max_retries: f64,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    begin: TimeMs,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one gateway to one service in the window. They determine how much of its
/// share of the service's retry budget the gateway has left.
#[derive(Debug, Default)]
pub struct FleetRetryBudget {
    buckets: VecDeque<Bucket>,
}

impl FleetRetryBudget {
    /// Records a request.
    pub fn on_request(&mut self, settings: &FleetRetryBudgetSettings, now: TimeMs) {
        self.advance_window(settings, now).requests += 1;
    }

    /// Records a retry and returns `true` if this gateway's share of the budget allows one more;
    /// otherwise returns `false`.
    pub fn try_retry(
        &mut self,
        settings: &FleetRetryBudgetSettings,
        slack: SlackShare,
        now: TimeMs,
    ) -> bool {
        let usage = self.usage(settings, slack, now);
        if f64::from(usage.retries + 1) > usage.max_retries {
            return false;
        }
        self.advance_window(settings, now).retries += 1;
        true
    }

    /// Returns this gateway's requests and retries in the window, and its share of the budget.
    pub fn usage(
        &mut self,
        settings: &FleetRetryBudgetSettings,
        slack: SlackShare,
        now: TimeMs,
    ) -> RetryUsage {
        self.advance_window(settings, now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack_share = if now >= slack.usable_from {
            USABLE_SLACK_SHARE
        } else {
            STARTING_SHARE
        };
        let max_slack = slack.gateways.map_or(0.0, |gateways| {
            slack_share * settings.slack / gateways.max(1) as f64
        });
        let ratio = USABLE_RATIO_SHARE / COUNTED_WINDOWS * settings.ratio;
        RetryUsage {
            requests,
            retries,
            max_retries: ratio * f64::from(requests) + max_slack,
        }
    }

    /// Drops the buckets that left the window, adds a bucket that begins at `now` if the last
    /// one does not contain `now`, and returns the last one.
    fn advance_window(&mut self, settings: &FleetRetryBudgetSettings, now: TimeMs) -> &mut Bucket {
        // The last request in a bucket can come up to BUCKET_MS after its begin.
        let max_bucket_age_ms = settings.window_ms + BUCKET_MS;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.since_ms(bucket.begin) > max_bucket_age_ms)
        {
            self.buckets.pop_front();
        }
        let is_current = |bucket: &Bucket| now.since_ms(bucket.begin) < BUCKET_MS;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket {
                begin: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("pushed above")
    }
}
