//! Loads the weights of a model of large groups on a few hosts that serve a model of smaller ones.
//!
//! A group that loses a member leaves the others without work for the time of a load, unless another
//! upstream of its domain can take the place at once. The engines of these hosts keep the model that
//! they serve, so nothing is lost to its callers until a group is given up
//! ([`super::conversion`]). A host that keeps one set of weights has to load the other ones again
//! after a restart.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{Group, Order, Upstream};
use jacinthpoint_types::{GroupId, TimeMs, VmId};

use crate::{
    arrangement::ModelNeed,
    planner::{Planner, PlannerInput},
};

/// Time between two checks of what lacks a reserve. A check looks at all groups.
const CHECK_INTERVAL_MS: u64 = 500;

impl Planner {
    /// Returns the orders to load weights in reserve: in each domain with groups of a model, on the
    /// hosts of one smaller group of another model. Once callers send requests, this is done only for
    /// models that a loss would make short, by the observed demand.
    pub(super) fn load_reserve(
        &mut self,
        groups: &BTreeMap<(GroupId, u64), Group>,
        upstreams: &BTreeMap<VmId, Upstream>,
        needs: &[ModelNeed],
        input: PlannerInput<'_>,
        now: TimeMs,
    ) -> Vec<Order> {
        let is_unknown = input.has_traffic && input.demand.is_empty();
        let is_early = now.since_ms(self.reserve_checked_at) < CHECK_INTERVAL_MS;
        if !input.follows_demand || is_unknown || is_early || !self.formations.is_empty() {
            return Vec::new();
        }
        self.reserve_checked_at = now;
        let is_short_after_loss = |need: &ModelNeed| {
            !input.has_traffic || need.need > need.existing.saturating_sub(1) as f64
        };
        let domains = self.domains_to_convert(groups, upstreams, input, needs);
        let mut wanted: Vec<(VmId, usize)> = Vec::new();
        for spares in domains.values() {
            for (large, need) in needs.iter().enumerate() {
                let serves = spares.iter().any(|spare| spare.model == large);
                if !serves || !is_short_after_loss(need) {
                    continue;
                }
                let smaller = spares
                    .iter()
                    .filter(|spare| needs[spare.model].size < need.size);
                let missing = |upstream: &&Upstream| {
                    let loads = self.loading.get(&upstream.id);
                    !upstream.staged.contains(&need.model)
                        && loads.is_none_or(|(model, _)| *model != need.model)
                };
                let lacking = smaller.map(|spare| {
                    let lacking = spare.members.iter().copied().filter(missing);
                    let ids: Vec<VmId> = lacking.map(|member| member.id.clone()).collect();
                    (ids.len(), spare.running, ids)
                });
                if let Some((_, _, ids)) = lacking.min() {
                    wanted.extend(ids.into_iter().map(|id| (id, large)));
                }
            }
        }
        let room = self.load_room(input, now);
        let mut orders = Vec::new();
        for (id, large) in wanted.into_iter().take(room) {
            let model = input.engine.model(needs[large].model.as_str());
            if let Some(model) = model.filter(|_| !self.loading.contains_key(&id)) {
                orders.push(self.stage(id, model, now));
            }
        }
        orders
    }
}
