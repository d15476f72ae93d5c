//! Work that callers ask of each model, estimated from the loads of its groups and from the requests
//! that were refused or answered late.

use std::{collections::BTreeMap, sync::Arc};

use jacinthpoint_fleet::{Engine, ModelSpec};
use jacinthpoint_types::{DeploymentId, ServiceId, TimeMs};

use crate::{directory::Target, load::LoadTracker};

/// Time constant with which the estimate follows a rise: a few requests, so that it does not follow
/// each of them.
const RISE_MS: f64 = 2_000.0;
/// Time constant with which it follows a fall. It is longer than the waves in which callers come, so
/// that groups are kept for the next one.
const FALL_MS: f64 = 30_000.0;
/// Time from the first measurement after which the estimate is used.
const WARM_UP_MS: u64 = 4_000;

/// Estimates of the work by model, in the number of groups that it would keep fully busy.
#[derive(Debug, Default)]
pub struct WorkMeter {
    work: BTreeMap<DeploymentId, f64>,
    first_at: Option<TimeMs>,
    measured_at: Option<TimeMs>,
}

impl WorkMeter {
    /// Measures the loads of the groups of a model, which all gateways together have there, and the
    /// requests for it that they did not serve in time. `measured_at` is the time of the previous measurement of all
    /// models.
    fn measure_model(
        &mut self,
        service: &ServiceId,
        engine: &Engine,
        model: &ModelSpec,
        targets: &[Arc<Target>],
        loads: &LoadTracker,
        now: TimeMs,
    ) {
        let elapsed_ms = self.measured_at.map_or(0, |at| now.since_ms(at)) as f64;
        let busy = |target: &Arc<Target>| engine.utilisation(model, loads.load(&target.key, now));
        let served: f64 = targets.iter().map(busy).sum();
        let unmet = loads.unmet(service, &model.name, now) / f64::from(engine.slots.max(1));
        let sample = served + unmet;
        let work = self.work.entry(model.name.clone()).or_insert(sample);
        let time_constant_ms = if sample > *work { RISE_MS } else { FALL_MS };
        *work += (sample - *work) * (elapsed_ms / time_constant_ms).min(1.0);
    }

    /// Measures the loads of all groups of a service. `groups` returns the groups of a model. Does
    /// nothing while the loads that the other gateways cause are not known.
    pub fn measure<'a>(
        &mut self,
        service: &ServiceId,
        engine: &Engine,
        groups: impl Fn(&ModelSpec) -> &'a [Arc<Target>],
        loads: &LoadTracker,
        now: TimeMs,
    ) {
        if !loads.has_peer_loads(now) {
            self.measured_at = None;
            return;
        }
        self.first_at.get_or_insert(now);
        for model in &engine.models {
            self.measure_model(service, engine, model, groups(model), loads, now);
        }
        self.measured_at = Some(now);
    }

    /// Returns the work by model; empty for [`WARM_UP_MS`] after the first measurement.
    pub fn work(&self, now: TimeMs) -> BTreeMap<DeploymentId, f64> {
        match self.first_at {
            Some(first_at) if now.since_ms(first_at) >= WARM_UP_MS => self.work.clone(),
            _ => BTreeMap::new(),
        }
    }
}
