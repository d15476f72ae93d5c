//! Recent durations of requests, by which a gateway that is about to stop predicts which ones end in time.

use std::collections::{BTreeMap, VecDeque};

/// Number of durations that are kept for each route.
const MAX_DURATIONS: usize = 64;
/// Number of durations from which [`RequestDurations::usual_ms`] is known.
const MIN_DURATIONS: usize = 8;
/// Share of the requests that may last longer than usual.
const EXCEEDING_SHARE: f64 = 0.05;
/// Maximum number of routes. Beyond it, new routes get no prediction.
const MAX_ROUTES: usize = 2_000;

/// The last durations of requests, by the name of their route.
#[derive(Debug, Default)]
pub struct RequestDurations {
    by_route: BTreeMap<String, VecDeque<u64>>,
}

impl RequestDurations {
    /// Records a request that ended.
    pub fn on_end(&mut self, route: &str, duration_ms: u64) {
        if !self.by_route.contains_key(route) {
            if self.by_route.len() >= MAX_ROUTES {
                return;
            }
            self.by_route.insert(route.to_owned(), VecDeque::new());
        }
        if let Some(durations) = self.by_route.get_mut(route) {
            durations.push_back(duration_ms);
            if durations.len() > MAX_DURATIONS {
                durations.pop_front();
            }
        }
    }

    /// Returns the longest duration in ms of the route's last requests; `None` if there were none.
    pub fn longest_ms(&self, route: &str) -> Option<u64> {
        self.by_route.get(route)?.iter().copied().max()
    }

    /// Returns the time in ms that nearly all of the route's last requests took at most; `None` if there were
    /// too few.
    pub fn usual_ms(&self, route: &str) -> Option<u64> {
        let durations = self.by_route.get(route)?;
        if durations.len() < MIN_DURATIONS {
            return None;
        }
        let mut sorted: Vec<u64> = durations.iter().copied().collect();
        sorted.sort_unstable();
        let exceeding = (EXCEEDING_SHARE * sorted.len() as f64) as usize;
        sorted.get(sorted.len() - 1 - exceeding).copied()
    }
}
