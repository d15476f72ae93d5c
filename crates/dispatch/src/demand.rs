//! Request rate of the whole fleet by model, estimated from the traffic of one gateway.

use std::collections::{BTreeMap, VecDeque};

use jacinthpoint_types::{DeploymentId, TimeMs};

/// Window over which requests are counted: long enough for a steady rate from a part of the
/// traffic, short enough to show a sudden rise.
const WINDOW_MS: u64 = 4_000;
/// Largest number of gateways for which rates are computed. Until the gateways are counted, the
/// gateway passes a larger, assumed number, with which the rates would be too high.
const MAX_GATEWAYS: usize = 60;

/// Arrival times at one gateway of the requests of the last window, by model. A model is identified
/// by the name of its deployment.
#[derive(Debug, Default)]
pub struct DemandMeter {
    arrivals: BTreeMap<DeploymentId, VecDeque<TimeMs>>,
    first_request_at: Option<TimeMs>,
}

impl DemandMeter {
    /// Records a request for `model`.
    pub fn on_request(&mut self, model: &DeploymentId, now: TimeMs) {
        self.first_request_at.get_or_insert(now);
        self.arrivals
            .entry(model.clone())
            .or_default()
            .push_back(now);
    }

    /// Returns the requests per second of the whole fleet by model, assuming that each of the
    /// `gateways` gets as many as this one. The result is empty for `WINDOW_MS` after the first
    /// request, and if `gateways` is above `MAX_GATEWAYS`.
    pub fn rates(&mut self, gateways: usize, now: TimeMs) -> BTreeMap<DeploymentId, f64> {
        let observed_ms = self
            .first_request_at
            .map_or(0, |first_request_at| now.since_ms(first_request_at));
        for arrivals in self.arrivals.values_mut() {
            while arrivals
                .front()
                .is_some_and(|at| now.since_ms(*at) > WINDOW_MS)
            {
                arrivals.pop_front();
            }
        }
        if observed_ms < WINDOW_MS || gateways > MAX_GATEWAYS {
            return BTreeMap::new();
        }
        let rate = |arrivals: &VecDeque<TimeMs>| {
            arrivals.len() as f64 * 1_000.0 / WINDOW_MS as f64 * gateways as f64
        };
        self.arrivals
            .iter()
            .map(|(model, arrivals)| (model.clone(), rate(arrivals)))
            .collect()
    }
}
