//! Forms new groups from free upstreams, and loads weights in advance on the hosts of those that
//! remain.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_fleet::{Engine, Group, ModelSpec, Order, Upstream};
use jacinthpoint_types::{DeploymentId, FabricDomainId, GroupId, TimeMs, VmId};

use crate::{
    arrangement::{DomainStock, ModelNeed, arrange},
    decision::{Decision, MemberBasis, StateSource},
    demand::{model_needs, models_below_target, models_to_keep_for},
    formation::Formation,
    member_selection::{
        Candidate, FreeByDomain, HolderCounts, MemberSelection, WeightsLocation, candidate,
        holder_surplus, soonest, weights_location,
    },
    planner::{Planner, PlannerInput, addresses::shared_addresses},
    staging::{FreeHost, MemberCounts, select_stagings},
};

/// Number of groups that one owner can form. Epochs grow by this number from one fencing token to
/// the next.
pub(super) const EPOCHS_PER_FENCING_TOKEN: u64 = 10_000;
/// Fraction of the limit on load starts per second that staging uses. The rest is a margin
/// for members that load weights when they join, for example in groups whose formation began before
/// callers sent requests.
pub(super) const LOAD_STARTS_SHARE: f64 = 0.75;

/// Time for which an upstream is free before its host replaces the weights of another model. A group
/// that lost a member releases the others within this time.
const IDLE_AFTER_MS: u64 = 1_500;

impl Planner {
    /// Returns the number of groups that serve or are being formed, by model, outside of evacuated data
    /// centres.
    pub(super) fn group_counts(
        &self,
        groups: &BTreeMap<(GroupId, u64), Group>,
        upstreams: &BTreeMap<VmId, Upstream>,
        input: PlannerInput<'_>,
    ) -> BTreeMap<DeploymentId, usize> {
        let engine = input.engine;
        let is_evacuated = |id: &VmId| is_evacuated(upstreams.get(id), input);
        let mut counts: BTreeMap<DeploymentId, usize> = BTreeMap::new();
        for group in groups.values() {
            let Some(model) = group.model_spec(engine) else {
                continue;
            };
            let has_dead_member = group.members.values().any(|id| self.is_gone(id));
            let is_forming = self.formations.contains_key(&group.id);
            let is_counted = !is_forming && !group.members.values().any(is_evacuated);
            if group.is_serving(model.size) && !has_dead_member && is_counted {
                *counts.entry(model.name.clone()).or_default() += 1;
            }
        }
        let formations = self.formations.values();
        for formation in formations.filter(|formation| !formation.members.iter().any(is_evacuated))
        {
            *counts.entry(formation.model.clone()).or_default() += 1;
        }
        counts
    }

    /// Starts to form groups from free upstreams, the model with the lowest ratio of groups to its
    /// target first, and stages weights on the hosts that remain. Returns the orders for both.
    pub(super) fn form_groups(
        &mut self,
        upstreams: &BTreeMap<VmId, Upstream>,
        mut assigned: BTreeSet<VmId>,
        mut group_counts: BTreeMap<DeploymentId, usize>,
        input: PlannerInput<'_>,
        now: TimeMs,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        // Once callers send requests, loads are limited, and only `stage_weights` observes the
        // limits. A group is then formed only if its members need no load.
        let slowest_allowed = if input.has_traffic {
            WeightsLocation::Staged
        } else {
            WeightsLocation::Remote
        };
        let free = self.free_by_domain(upstreams, &assigned, input);
        self.record_free(&free, now);
        orders.extend(self.form_converted(
            &free,
            upstreams,
            &mut assigned,
            &mut group_counts,
            input,
            now,
        ));
        let free = self.free_by_domain(upstreams, &assigned, input);
        let holder_counts = self.holder_counts(upstreams, &assigned);
        let mut needs = self.model_needs(&group_counts, input);
        let kept = self.kept_for_others(&free, &needs, input);
        let stocks = self.stocks(&free, input.engine, slowest_allowed, &kept);
        let mut arrangement = arrange(&stocks, &needs, |domain, model| {
            holder_surplus(&holder_counts, domain, model)
        });
        let (mut free, mut holder_counts) = (free, holder_counts);
        // Of each domain and model, computed again only after a group was formed in the domain: a large
        // fleet forms hundreds of groups in one step.
        let mut candidates: BTreeMap<(FabricDomainId, DeploymentId), Option<Candidate>> =
            BTreeMap::new();
        loop {
            let below_target = models_below_target(input.engine, &needs);
            for model in &below_target {
                for (domain, upstreams) in &free {
                    let key = (domain.clone(), model.name.clone());
                    let is_arranged = arrangement.get(&key).is_some_and(|count| *count > 0);
                    if is_arranged && !candidates.contains_key(&key) {
                        let is_usable = |upstream: &&&Upstream| {
                            !kept.contains(&(upstream.id.clone(), model.name.clone()))
                        };
                        let usable: Vec<&Upstream> =
                            upstreams.iter().filter(is_usable).copied().collect();
                        let candidate = candidate(
                            domain,
                            &usable,
                            &holder_counts,
                            &self.last_models,
                            model,
                            slowest_allowed,
                        );
                        candidates.insert(key, candidate);
                    }
                }
            }
            let selection = below_target.iter().find_map(|model| {
                let of_model = candidates.iter().filter_map(|((_, name), candidate)| {
                    candidate.as_ref().filter(|_| *name == model.name)
                });
                soonest(of_model).cloned()
            });
            let Some(selection) = selection else {
                orders.extend(self.stage_weights(
                    &free,
                    upstreams,
                    &assigned,
                    &below_target,
                    input,
                    now,
                ));
                return orders;
            };
            let selection = selection.with_warm_leader(input.cold);
            assigned.extend(selection.members.iter().cloned());
            let domain = upstreams[&selection.members[0]].domain.clone();
            if let Some(domain) = domain {
                if let Some(count) = arrangement.get_mut(&(domain.clone(), selection.model.clone()))
                {
                    *count -= 1;
                }
                candidates.retain(|(other, _), _| *other != domain);
                if let Some(left) = free.get_mut(&domain) {
                    left.retain(|upstream| !selection.members.contains(&upstream.id));
                }
                let in_domain = holder_counts.entry(domain).or_default();
                for member in &selection.members {
                    if let Some(count) = upstreams[member]
                        .staged
                        .first()
                        .and_then(|staged| in_domain.get_mut(staged))
                    {
                        *count -= 1;
                    }
                }
                *in_domain.entry(selection.model.clone()).or_default() += selection.members.len();
            }
            *group_counts.entry(selection.model.clone()).or_default() += 1;
            needs = self.model_needs(&group_counts, input);
            let model = input.engine.model(selection.model.as_str());
            let model = model.expect("chosen among the engine's models");
            orders.extend(self.start_formation(selection, model, upstreams, now));
        }
    }

    /// Returns the free upstreams that are kept for models that callers miss, each with a model that
    /// it could serve instead.
    fn kept_for_others(
        &self,
        free: &FreeByDomain<'_>,
        needs: &[ModelNeed],
        input: PlannerInput<'_>,
    ) -> BTreeSet<(VmId, DeploymentId)> {
        let mut kept = BTreeSet::new();
        if !input.follows_demand {
            return kept;
        }
        for need in needs {
            let missed = models_to_keep_for(&need.model, needs, input.demand);
            for upstream in free.values().flatten().filter(|_| !missed.is_empty()) {
                let joinable = self.joinable_models(upstream, input.engine);
                if joinable.iter().any(|model| missed.contains(model)) {
                    kept.insert((upstream.id.clone(), need.model.clone()));
                }
            }
        }
        kept
    }

    /// Forms the groups of the conversion in progress once enough upstreams are free for one, and
    /// keeps these upstreams from other groups until then. Returns the orders to join.
    fn form_converted(
        &mut self,
        free: &FreeByDomain<'_>,
        upstreams: &BTreeMap<VmId, Upstream>,
        assigned: &mut BTreeSet<VmId>,
        group_counts: &mut BTreeMap<DeploymentId, usize>,
        input: PlannerInput<'_>,
        now: TimeMs,
    ) -> Vec<Order> {
        let mut orders = Vec::new();
        let Some(kept) = self.kept_for_conversion(free, upstreams, input, now) else {
            return orders;
        };
        let Some(model) = input.engine.model(kept.model.as_str()) else {
            return orders;
        };
        if !kept.is_ready {
            assigned.extend(kept.hosts);
            return orders;
        }
        let mut left: Vec<&Upstream> = kept
            .hosts
            .iter()
            .filter_map(|id| upstreams.get(id))
            .collect();
        let no_holders = HolderCounts::new();
        while let Some(candidate) = candidate(
            &kept.domain,
            &left,
            &no_holders,
            &self.last_models,
            model,
            WeightsLocation::Staged,
        ) {
            let selection = candidate.selection.with_warm_leader(input.cold);
            left.retain(|upstream| !selection.members.contains(&upstream.id));
            assigned.extend(selection.members.iter().cloned());
            *group_counts.entry(selection.model.clone()).or_default() += 1;
            orders.extend(self.start_formation(selection, model, upstreams, now));
        }
        orders
    }

    /// Returns what each model has and should have.
    pub(super) fn model_needs(
        &self,
        group_counts: &BTreeMap<DeploymentId, usize>,
        input: PlannerInput<'_>,
    ) -> Vec<ModelNeed> {
        // Losses do not lower the targets, since the peak number of upstreams is used.
        model_needs(
            input.engine,
            self.peak_upstreams,
            input.demand,
            group_counts,
        )
    }

    /// Returns the models of which an upstream can join a group without a load.
    pub(super) fn joinable_models(
        &self,
        upstream: &Upstream,
        engine: &Engine,
    ) -> Vec<DeploymentId> {
        let last = self.last_models.get(&upstream.id);
        let models = engine.models.iter().map(|model| &model.name);
        models
            .filter(|model| weights_location(upstream, last, model) <= WeightsLocation::Staged)
            .cloned()
            .collect()
    }

    /// Updates since when each free upstream has been free.
    fn record_free(&mut self, free: &FreeByDomain<'_>, now: TimeMs) {
        let ids = free.values().flatten().map(|upstream| &upstream.id);
        let previous = std::mem::take(&mut self.free_since);
        self.free_since = ids
            .map(|id| (id.clone(), previous.get(id).copied().unwrap_or(now)))
            .collect();
    }

    /// Counts the free upstreams of each domain, and those that can join a group of each model with
    /// weights from `slowest_allowed` or a faster source and are not kept for another one.
    fn stocks(
        &self,
        free: &FreeByDomain<'_>,
        engine: &Engine,
        slowest_allowed: WeightsLocation,
        kept: &BTreeSet<(VmId, DeploymentId)>,
    ) -> BTreeMap<FabricDomainId, DomainStock> {
        let usable = |upstreams: &[&Upstream], model: &ModelSpec| {
            let can_join = |upstream: &&&Upstream| {
                let last = self.last_models.get(&upstream.id);
                weights_location(upstream, last, &model.name) <= slowest_allowed
                    && !kept.contains(&(upstream.id.clone(), model.name.clone()))
            };
            upstreams.iter().filter(can_join).count()
        };
        let stock = |upstreams: &[&Upstream]| DomainStock {
            free: upstreams.len(),
            usable: engine
                .models
                .iter()
                .map(|model| (model.name.clone(), usable(upstreams, model)))
                .collect(),
        };
        free.iter()
            .map(|(domain, upstreams)| (domain.clone(), stock(upstreams)))
            .collect()
    }

    /// Starts to form a group under a new epoch. Returns the orders to join.
    pub(super) fn start_formation(
        &mut self,
        selection: MemberSelection,
        model: &ModelSpec,
        upstreams: &BTreeMap<VmId, Upstream>,
        now: TimeMs,
    ) -> Vec<Order> {
        self.formation_count += 1;
        let bases = self.member_bases(&selection.members, upstreams);
        for id in &selection.members {
            self.last_models.insert(id.clone(), selection.model.clone());
        }
        let epoch = self.fencing_token * EPOCHS_PER_FENCING_TOKEN + self.formation_count;
        let expected_ms = match selection.slowest_weights_location {
            WeightsLocation::Resident | WeightsLocation::Staged => model.warm_ms,
            WeightsLocation::Remote => model.load_ms + model.warm_ms,
        };
        let mut formation =
            Formation::new(epoch, selection.model, selection.members, expected_ms, now);
        self.decisions.push(Decision::FormationStarted {
            group: formation.group.clone(),
            model: formation.model.clone(),
            members: bases,
        });
        let (_, orders) = formation.advance(|id| upstreams.get(id), |_| true, now);
        self.formations.insert(formation.group.clone(), formation);
        orders
    }

    /// Returns the states by which these upstreams count as free.
    fn member_bases(
        &self,
        members: &[VmId],
        upstreams: &BTreeMap<VmId, Upstream>,
    ) -> Vec<MemberBasis> {
        let members = members.iter().filter_map(|id| upstreams.get(id));
        let addresses: BTreeSet<_> = members.clone().map(|member| member.address).collect();
        let others = upstreams.values();
        let shared = shared_addresses(others.filter(|other| addresses.contains(&other.address)));
        let basis = |member: &Upstream| MemberBasis {
            id: member.id.clone(),
            source: if self.reported_states.contains_key(&member.id) {
                StateSource::Report
            } else {
                StateSource::Entry
            },
            membership: member.membership.clone(),
            shares_address: shared.contains(&member.address),
        };
        members.map(basis).collect()
    }

    /// Returns the live upstreams that take new work, are not assigned to a group and confirmed that,
    /// outside of evacuated data centres. Those with an address that another live upstream has are left out, since only one of them can
    /// exist.
    fn free_by_domain<'a>(
        &self,
        upstreams: &'a BTreeMap<VmId, Upstream>,
        assigned: &BTreeSet<VmId>,
        input: PlannerInput<'_>,
    ) -> FreeByDomain<'a> {
        let present = upstreams
            .values()
            .filter(|upstream| !self.is_gone(&upstream.id));
        let shared = self.shared_addresses_of_present(upstreams);
        let mut free = FreeByDomain::new();
        for upstream in present {
            let is_free = upstream.is_ready()
                && !is_evacuated(Some(upstream), input)
                && !assigned.contains(&upstream.id)
                && self.confirmed.contains(&upstream.id)
                && !shared.contains(&upstream.address);
            if let (true, Some(domain)) = (is_free, &upstream.domain) {
                free.entry(domain.clone()).or_default().push(upstream);
            }
        }
        free
    }

    /// Counts the upstreams that hold each model. An assigned upstream counts for the model of its
    /// group if that is known; any other counts for the first model whose weights its host holds.
    fn holder_counts(
        &self,
        upstreams: &BTreeMap<VmId, Upstream>,
        assigned: &BTreeSet<VmId>,
    ) -> HolderCounts {
        let mut holder_counts = HolderCounts::new();
        for upstream in upstreams.values() {
            let last = self.last_models.get(&upstream.id);
            let held = last.filter(|_| assigned.contains(&upstream.id));
            let held = held.or(upstream.staged.first());
            if let (Some(domain), Some(model)) = (&upstream.domain, held) {
                let in_domain = holder_counts.entry(domain.clone()).or_default();
                *in_domain.entry(model.clone()).or_default() += 1;
            }
        }
        holder_counts
    }

    /// Returns the orders to load weights on the hosts of free upstreams, and records the loads.
    /// The engine's limits on loads apply only if `input.has_traffic` is true.
    fn stage_weights<'a>(
        &mut self,
        free: &FreeByDomain<'a>,
        upstreams: &BTreeMap<VmId, Upstream>,
        assigned: &BTreeSet<VmId>,
        below_target: &[&ModelSpec],
        input: PlannerInput<'_>,
        now: TimeMs,
    ) -> Vec<Order> {
        let max_loads = self.load_room(input, now);
        let mut member_counts = MemberCounts::new();
        for id in assigned {
            let domain = upstreams
                .get(id)
                .and_then(|upstream| upstream.domain.clone());
            if let (Some(domain), Some(model)) = (domain, self.last_models.get(id)) {
                *member_counts.entry((domain, model.clone())).or_default() += 1;
            }
        }
        let host = |upstream: &&'a Upstream| FreeHost {
            upstream,
            loading: self
                .loading
                .get(&upstream.id)
                .map(|(model, _)| model.clone()),
            joinable: self.joinable_models(upstream, input.engine),
            is_idle: self
                .free_since
                .get(&upstream.id)
                .is_some_and(|since| now.since_ms(*since) >= IDLE_AFTER_MS),
        };
        let hosts = free
            .iter()
            .map(|(domain, upstreams)| (domain.clone(), upstreams.iter().map(host).collect()))
            .collect();
        let chosen = select_stagings(
            &hosts,
            input.engine,
            below_target,
            &member_counts,
            max_loads,
        );
        let mut orders = Vec::new();
        for (upstream, model) in chosen {
            if let Some(model) = input.engine.model(model.as_str()) {
                orders.push(self.stage(upstream.id.clone(), model, now));
            }
        }
        orders
    }
}

/// Returns whether an upstream is in an evacuated data centre.
pub(super) fn is_evacuated(upstream: Option<&Upstream>, input: PlannerInput<'_>) -> bool {
    upstream.is_some_and(|upstream| input.evacuations.is_evacuated(&upstream.data_centre))
}
