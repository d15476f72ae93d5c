//! Budget for sending a request to a second upstream, which all gateways share.
//!
//! In any window, a service may get no more repeats than a part of its requests and a fixed number
//! beside. No gateway sees the whole, so each keeps to the part by its own requests and takes an
//! even share of the fixed number. What they send together then stays within the whole, however
//! requests are spread.

use std::collections::VecDeque;

use jacinthpoint_types::TimeMs;

/// Length of the buckets in which requests and repeats are counted.
const BUCKET_MS: u64 = 250;
/// Part of the budget that is used. The rest covers gateways that started since the last count
/// and repeats that cross a window's edge on their way.
const USED_SHARE: f64 = 0.8;

/// The bound, for all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetRetryBudgetSettings {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside those.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    begin: TimeMs,
    requests: u32,
    repeats: u32,
}

/// One gateway's share of the budget of one service.
#[derive(Debug, Default)]
pub struct FleetRetryBudget {
    buckets: VecDeque<Bucket>,
}

impl FleetRetryBudget {
    /// Takes in a request.
    pub fn on_request(&mut self, settings: &FleetRetryBudgetSettings, now: TimeMs) {
        self.bucket(settings, now).requests += 1;
    }

    /// Takes one repeat out of the budget of a fleet of `gateways`; `false` if there is none left.
    pub fn try_retry(
        &mut self,
        settings: &FleetRetryBudgetSettings,
        gateways: usize,
        now: TimeMs,
    ) -> bool {
        self.bucket(settings, now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let share = settings.slack / gateways.max(1) as f64;
        let most = USED_SHARE * (settings.ratio * f64::from(requests) + share);
        if f64::from(repeats + 1) > most {
            return false;
        }
        self.bucket(settings, now).repeats += 1;
        true
    }

    fn bucket(&mut self, settings: &FleetRetryBudgetSettings, now: TimeMs) -> &mut Bucket {
        let window_ms = settings.window_ms + BUCKET_MS;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now.since_ms(bucket.begin) > window_ms)
        {
            self.buckets.pop_front();
        }
        let is_current = |bucket: &Bucket| now.since_ms(bucket.begin) < BUCKET_MS;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket {
                begin: now,
                requests: 0,
                repeats: 0,
            });
        }
        self.buckets.back_mut().expect("pushed above")
    }
}
