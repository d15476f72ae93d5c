//! Converts a group of a model that has room into groups of a model that has too few.
//!
//! The shares in the configuration are an estimate; the observed demand may differ from them for
//! long. The members of a group first load the weights of the other model, while they serve. The
//! group is then closed, its running requests finish, and its members form other groups within
//! seconds.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{Group, ModelSpec, Order, OrderAction, Upstream};
use jacinthpoint_types::{Deadline, DeploymentId, FabricDomainId, GroupId, TimeMs, VmId};

use crate::{
    arrangement::{ModelNeed, cost},
    planner::{Planner, PlannerInput, new_groups::is_evacuated},
};

/// Fraction by which a conversion must lower the cost of the arrangement. Less may be due to a
/// short change of the load, and the group serves nobody while it is converted.
const MIN_GAIN: f64 = 0.07;
/// Time between two checks of whether a conversion is worth it. A check looks at all groups.
const CHECK_INTERVAL_MS: u64 = 500;
/// Time for which a conversion must be worth it before it starts.
const SUSTAINED_MS: u64 = 2_000;
/// Time from the end of a conversion to the start of the next one, in which the loads settle.
const PAUSE_MS: u64 = 4_000;

/// A group to convert, and the model that its members are to serve.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ConversionChoice {
    group: (GroupId, u64),
    model: DeploymentId,
}

/// The conversion that is considered or in progress.
#[derive(Debug, Default)]
pub(super) struct Conversion {
    choice: Option<ConversionChoice>,
    /// Since when this choice has been worth it.
    chosen_at: TimeMs,
    /// When the choice was last checked.
    checked_at: TimeMs,
    /// When the last group was closed for a conversion.
    closed_at: Option<TimeMs>,
}

impl Planner {
    /// Returns the orders that are due for the conversion of a group: to load weights on the hosts of
    /// its members, or to close it once they are loaded. Starts a conversion if one is worth it.
    pub(super) fn convert(
        &mut self,
        groups: &BTreeMap<(GroupId, u64), Group>,
        upstreams: &BTreeMap<VmId, Upstream>,
        needs: &[ModelNeed],
        input: PlannerInput<'_>,
        now: TimeMs,
    ) -> Vec<Order> {
        if !input.has_traffic || input.demand.is_empty() || !self.formations.is_empty() {
            return Vec::new();
        }
        if now.since_ms(self.conversion.checked_at) >= CHECK_INTERVAL_MS {
            self.conversion.checked_at = now;
            self.choose_conversion(groups, upstreams, needs, input, now);
        }
        let closed_at = self.conversion.closed_at;
        let is_pausing = closed_at.is_some_and(|at| now.since_ms(at) < PAUSE_MS);
        if is_pausing || now.since_ms(self.conversion.chosen_at) < SUSTAINED_MS {
            return Vec::new();
        }
        let Some(choice) = &self.conversion.choice else {
            return Vec::new();
        };
        let model = input.engine.model(choice.model.as_str());
        let (Some(group), Some(model)) = (groups.get(&choice.group), model) else {
            return Vec::new();
        };
        let members = group.members.values().filter_map(|id| upstreams.get(id));
        let lacking: Vec<&Upstream> = members
            .filter(|member| !member.staged.contains(&model.name))
            .collect();
        if lacking.is_empty() {
            self.conversion.choice = None;
            self.conversion.closed_at = Some(now);
            return self.close(group, false, now);
        }
        let room = self.load_room(input, now);
        let is_waiting = |member: &&&Upstream| !self.loading.contains_key(&member.id);
        let waiting = lacking.iter().filter(is_waiting);
        let starting: Vec<VmId> = waiting.take(room).map(|member| member.id.clone()).collect();
        let orders = starting.into_iter().map(|id| self.stage(id, model, now));
        orders.collect()
    }

    /// Chooses the conversion that lowers the cost most, or none if none is worth it. An earlier choice
    /// stays as long as it is worth it itself, so that small changes of the load do not move it.
    fn choose_conversion(
        &mut self,
        groups: &BTreeMap<(GroupId, u64), Group>,
        upstreams: &BTreeMap<VmId, Upstream>,
        needs: &[ModelNeed],
        input: PlannerInput<'_>,
        now: TimeMs,
    ) {
        let worthwhile = self.worthwhile_conversions(groups, upstreams, needs, input);
        let is_worthwhile = |choice: &ConversionChoice| {
            let mut choices = worthwhile.iter().map(|(_, choice)| choice);
            choices.any(|worthwhile| worthwhile == choice)
        };
        if !self.conversion.choice.as_ref().is_some_and(is_worthwhile) {
            let best = worthwhile.into_iter().max_by(|a, b| a.0.total_cmp(&b.0));
            self.conversion.choice = best.map(|(_, choice)| choice);
            self.conversion.chosen_at = now;
        }
    }

    /// Returns the conversions that lower the cost by [`MIN_GAIN`] or more, each with the fraction by
    /// which it does.
    fn worthwhile_conversions(
        &self,
        groups: &BTreeMap<(GroupId, u64), Group>,
        upstreams: &BTreeMap<VmId, Upstream>,
        needs: &[ModelNeed],
        input: PlannerInput<'_>,
    ) -> Vec<(f64, ConversionChoice)> {
        let counts: Vec<usize> = needs.iter().map(|need| need.existing).collect();
        let before = cost(needs, &counts);
        let idle_holders = self.idle_holders(upstreams, input);
        let mut worthwhile = Vec::new();
        for group in groups.values() {
            let spec = group.model_spec(input.engine);
            let from = needs
                .iter()
                .position(|need| spec.is_some_and(|s| s.name == need.model));
            let leader = group.leader().and_then(|id| upstreams.get(id));
            let domain = leader.and_then(|leader| leader.domain.clone());
            let (Some(from), Some(domain)) = (from, domain) else {
                continue;
            };
            // A group in an evacuated data centre does not count as capacity of either model.
            let mut members = group.members.values();
            let gets_requests = !members.any(|id| is_evacuated(upstreams.get(id), input));
            if !group.is_serving(needs[from].size) || !gets_requests {
                continue;
            }
            for (to, need) in needs.iter().enumerate().filter(|(to, _)| *to != from) {
                let idle = idle_holders.get(&(domain.clone(), need.model.clone()));
                let members = needs[from].size + idle.copied().unwrap_or(0);
                let mut after = counts.clone();
                after[from] = after[from].saturating_sub(1);
                after[to] = (after[to] + members / need.size.max(1)).min(need.target);
                let gain = 1.0 - cost(needs, &after) / before;
                if gain >= MIN_GAIN {
                    let choice = ConversionChoice {
                        group: (group.id.clone(), group.epoch),
                        model: need.model.clone(),
                    };
                    worthwhile.push((gain, choice));
                }
            }
        }
        worthwhile
    }

    /// Counts the free upstreams that can join a group of each model without a load, by domain and
    /// model.
    fn idle_holders(
        &self,
        upstreams: &BTreeMap<VmId, Upstream>,
        input: PlannerInput<'_>,
    ) -> BTreeMap<(FabricDomainId, DeploymentId), usize> {
        let mut counts = BTreeMap::new();
        for upstream in self.free_since.keys().filter_map(|id| upstreams.get(id)) {
            let Some(domain) = &upstream.domain else {
                continue;
            };
            for model in self.joinable_models(upstream, input.engine) {
                *counts.entry((domain.clone(), model)).or_default() += 1;
            }
        }
        counts
    }

    /// Returns how many loads of weights may start now.
    pub(super) fn load_room(&mut self, input: PlannerInput<'_>, now: TimeMs) -> usize {
        self.load_starts
            .retain(|start| now.since_ms(*start) < 1_000);
        if !input.has_traffic {
            return usize::MAX;
        }
        let engine = input.engine;
        let max_starts_per_s = (engine.loads_per_s * super::new_groups::LOAD_STARTS_SHARE)
            .floor()
            .max(1.0) as usize;
        let max_at_once = engine.loads_at_once.max(1) as usize;
        max_at_once
            .saturating_sub(self.loading.len())
            .min(max_starts_per_s.saturating_sub(self.load_starts.len()))
    }

    /// Returns the order to load the weights of a model on a host, and records the load.
    pub(super) fn stage(&mut self, id: VmId, model: &ModelSpec, now: TimeMs) -> Order {
        // Loads that share the weight store may slow each other down, so a load is considered lost
        // only after twice the expected time.
        let until = Deadline::after_ms(now, model.load_ms * 2);
        self.loading.insert(id.clone(), (model.name.clone(), until));
        self.load_starts.push(now);
        Order {
            target: id,
            action: OrderAction::Stage {
                model: model.name.clone(),
            },
        }
    }
}
