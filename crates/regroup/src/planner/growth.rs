//! New groups of the upstreams that are free, and loads of weights in advance.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_fleet::{Engine, Group, ModelSpec, Order, OrderAction, Upstream};
use jacinthpoint_types::{Deadline, DeploymentId, GroupId, TimeMs, VmId};

use crate::{
    candidates::{Choice, FreeByDomain, HoldersByDomain, Nearness, choose_members},
    demand::{lacking, targets},
    formation::Formation,
    planner::{Planner, PlannerInput},
    staging::{MembersByDomain, stagings},
};

/// Groups that one owner can form; epochs grow by this from one fencing token to the next.
const EPOCHS_PER_FENCE: u64 = 10_000;
/// Part of the limit on loads that is used; a burst of crashes finds the rest free.
const LOAD_SHARE: f64 = 0.75;

impl Planner {
    /// Groups that serve or are being formed, by model.
    pub(super) fn group_counts(
        &self,
        groups: &BTreeMap<(GroupId, u64), Group>,
        engine: &Engine,
    ) -> BTreeMap<DeploymentId, usize> {
        let mut counts: BTreeMap<DeploymentId, usize> = BTreeMap::new();
        for group in groups.values() {
            let Some(model) = group.model_spec(engine) else {
                continue;
            };
            let has_dead = group.members.values().any(|id| self.detector.is_dead(id));
            let is_forming = self.formations.contains_key(&group.id);
            if group.is_serving(model.size) && !has_dead && !is_forming {
                *counts.entry(model.name.clone()).or_default() += 1;
            }
        }
        for formation in self.formations.values() {
            *counts.entry(formation.model.clone()).or_default() += 1;
        }
        counts
    }

    /// Forms groups of the upstreams that are free, the neediest model first.
    pub(super) fn form(
        &mut self,
        upstreams: &BTreeMap<VmId, Upstream>,
        mut taken: BTreeSet<VmId>,
        mut counts: BTreeMap<DeploymentId, usize>,
        input: PlannerInput<'_>,
        now: TimeMs,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let targets = targets(input.engine, self.most_upstreams, input.demand);
        let worst = if input.has_traffic {
            Nearness::Staged
        } else {
            Nearness::Remote
        };
        loop {
            let free = self.free(upstreams, &taken);
            let holders = self.holders(upstreams, &taken);
            let choice = lacking(input.engine, &targets, &counts)
                .into_iter()
                .find_map(|model| choose_members(&free, &holders, &self.last_models, model, worst));
            let Some(choice) = choice else {
                orders.extend(self.stage(&free, upstreams, &taken, input, now));
                return orders;
            };
            taken.extend(choice.members.iter().cloned());
            *counts.entry(choice.model.clone()).or_default() += 1;
            let model = input.engine.model(choice.model.as_str());
            let model = model.expect("chosen among the engine's models");
            orders.extend(self.begin(choice, model, upstreams, now));
        }
    }

    fn begin(
        &mut self,
        choice: Choice,
        model: &ModelSpec,
        upstreams: &BTreeMap<VmId, Upstream>,
        now: TimeMs,
    ) -> Vec<Order> {
        self.formed += 1;
        for id in &choice.members {
            self.last_models.insert(id.clone(), choice.model.clone());
        }
        let epoch = self.fence * EPOCHS_PER_FENCE + self.formed;
        let expected_ms = match choice.nearness {
            Nearness::Resident | Nearness::Staged => model.warm_ms,
            Nearness::Remote => model.load_ms + model.warm_ms,
        };
        let mut formation = Formation::new(epoch, choice.model, choice.members, expected_ms, now);
        let (_, orders) = formation.advance(|id| upstreams.get(id), |_| true, now);
        self.formations.insert(formation.group.clone(), formation);
        orders
    }

    fn free<'a>(
        &self,
        upstreams: &'a BTreeMap<VmId, Upstream>,
        taken: &BTreeSet<VmId>,
    ) -> FreeByDomain<'a> {
        let mut free = FreeByDomain::new();
        for upstream in upstreams.values() {
            let is_free = upstream.is_ready()
                && !taken.contains(&upstream.id)
                && !self.detector.is_dead(&upstream.id);
            if let (true, Some(domain)) = (is_free, &upstream.domain) {
                free.entry(domain.clone()).or_default().push(upstream);
            }
        }
        free
    }

    /// Counts who holds a model: members by that of their group, others by their host.
    fn holders(
        &self,
        upstreams: &BTreeMap<VmId, Upstream>,
        taken: &BTreeSet<VmId>,
    ) -> HoldersByDomain {
        let mut holders = HoldersByDomain::new();
        for upstream in upstreams.values() {
            let last = self.last_models.get(&upstream.id);
            let held = last.filter(|_| taken.contains(&upstream.id));
            let held = held.or(upstream.staged.first());
            if let (Some(domain), Some(model)) = (&upstream.domain, held) {
                *holders.entry((domain.clone(), model.clone())).or_default() += 1;
            }
        }
        holders
    }

    fn stage(
        &mut self,
        free: &FreeByDomain<'_>,
        upstreams: &BTreeMap<VmId, Upstream>,
        taken: &BTreeSet<VmId>,
        input: PlannerInput<'_>,
        now: TimeMs,
    ) -> Vec<Order> {
        self.load_starts
            .retain(|start| now.since_ms(*start) < 1_000);
        let per_s = (input.engine.loads_per_s * LOAD_SHARE).floor().max(1.0) as usize;
        let at_once = input.engine.loads_at_once.max(1) as usize;
        let most = if input.has_traffic {
            at_once
                .saturating_sub(self.loading.len())
                .min(per_s.saturating_sub(self.load_starts.len()))
        } else {
            usize::MAX
        };
        let mut members = MembersByDomain::new();
        for id in taken {
            let domain = upstreams
                .get(id)
                .and_then(|upstream| upstream.domain.clone());
            if let (Some(domain), Some(model)) = (domain, self.last_models.get(id)) {
                *members.entry((domain, model.clone())).or_default() += 1;
            }
        }
        let loading = &self.loading;
        let is_loading =
            |upstream: &Upstream| loading.get(&upstream.id).map(|(model, _)| model.clone());
        let chosen = stagings(free, is_loading, input.engine, &members, most);
        let mut orders = Vec::new();
        for (upstream, model) in chosen {
            let load_ms = input
                .engine
                .model(model.as_str())
                .map_or(0, |model| model.load_ms);
            // Loads share the weight store; one that is not there by then was lost.
            let until = Deadline::after_ms(now, load_ms * 2);
            self.loading
                .insert(upstream.id.clone(), (model.clone(), until));
            self.load_starts.push(now);
            orders.push(Order {
                target: upstream.id.clone(),
                action: OrderAction::Stage { model },
            });
        }
        orders
    }
}
