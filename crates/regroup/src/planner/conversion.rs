//! Converts groups of models that have room into groups of a model that has too few.
//!
//! The shares in the configuration are an estimate; the observed demand may differ from them for
//! long, and losses take more from a model of large groups than from one of small groups. The
//! members of a group come from one fabric domain, so a large group may take several small ones of
//! its domain, together with the upstreams that losses left there.
//!
//! The hosts first load the weights of the other model, while they serve. The groups are then closed
//! together, their running requests finish, and their members are kept for the new groups until these
//! can be formed. An owner that takes over meanwhile opens closed groups again that are still whole.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_fleet::{Engine, Group, ModelSpec, Order, OrderAction, Upstream};
use jacinthpoint_types::{Deadline, DeploymentId, FabricDomainId, GroupId, TimeMs, VmId};

use crate::{
    arrangement::ModelNeed,
    decision::{ConversionOutcome, Decision, GroupNeed},
    demand::is_shorter,
    member_selection::FreeByDomain,
    planner::{Planner, PlannerInput, new_groups::is_evacuated},
};

/// Maximum number of conversions whose hosts load weights at the same time. Each takes one domain.
const MAX_CONVERSIONS: usize = 4;
/// Time between two checks of whether conversions are worth it. A check looks at all groups.
const CHECK_INTERVAL_MS: u64 = 500;
/// Time for which a conversion must be worth it before hosts load weights for it, and before groups
/// are closed for upstreams that wait idle for them.
const SUSTAINED_MS: u64 = 2_000;
/// Time for which it must be worth it before groups are closed without such upstreams: a demand that
/// swings within seconds is not followed.
const SUSTAINED_DEMAND_MS: u64 = 6_000;
/// Time from the end of a conversion to the next close of groups, in which the loads settle.
const PAUSE_MS: u64 = 2_000;
/// Time in which the groups of a conversion finish their requests and release their members. After
/// it, the members that are free form other groups.
const CLOSE_TIMEOUT_MS: u64 = 12_000;

/// Name and epoch of a group.
type GroupKey = (GroupId, u64);

/// A conversion that is considered, or whose hosts load weights.
#[derive(Debug, Clone)]
struct Considered {
    domain: FabricDomainId,
    /// Model of the groups to be formed.
    model: DeploymentId,
    /// Groups to close.
    groups: Vec<GroupKey>,
    /// Hosts of their members that have to load the weights of the model.
    lacking: Vec<VmId>,
    /// Whether half of the upstreams of a new group or more are free.
    has_remainder: bool,
    /// Since when it has been worth it.
    chosen_at: TimeMs,
}

/// A conversion whose groups were ordered to close.
#[derive(Debug)]
pub(super) struct Closing {
    domain: FabricDomainId,
    model: DeploymentId,
    /// Members of the closed groups.
    members: BTreeSet<VmId>,
    timeout_at: Deadline,
}

/// The conversions of a service.
#[derive(Debug, Default)]
pub(super) struct Conversions {
    /// Conversions that have not begun to close groups, the oldest first.
    considered: Vec<Considered>,
    /// The conversion whose groups are being closed. One at a time, so that only one domain serves
    /// less.
    pub(super) closing: Option<Closing>,
    checked_at: TimeMs,
    /// When the last conversion ended.
    ended_at: Option<TimeMs>,
}

/// What a conversion does to the numbers of groups.
struct Candidate {
    considered: Considered,
    /// Numbers of groups after it, in the order of the models.
    counts: Vec<usize>,
    /// Reduction of the cost, see [`cost`].
    gain: f64,
}

/// A group that may be given up.
pub(super) struct Spare<'a> {
    key: GroupKey,
    /// Position of its model.
    pub(super) model: usize,
    pub(super) members: Vec<&'a Upstream>,
    /// Number of requests that it runs.
    pub(super) running: u32,
}

impl Planner {
    /// Returns the orders that are due for conversions: to load weights on the hosts of members, or
    /// to close groups once enough hosts hold them. Starts conversions that are worth it.
    pub(super) fn convert(
        &mut self,
        groups: &BTreeMap<GroupKey, Group>,
        upstreams: &BTreeMap<VmId, Upstream>,
        needs: &[ModelNeed],
        input: PlannerInput<'_>,
        now: TimeMs,
    ) -> Vec<Order> {
        if !input.has_traffic || input.demand.is_empty() {
            return Vec::new();
        }
        if now.since_ms(self.conversions.checked_at) >= CHECK_INTERVAL_MS {
            self.conversions.checked_at = now;
            self.choose_conversions(groups, upstreams, needs, input, now);
        }
        let mut orders = self.load_for_conversions(upstreams, input, now);
        let ended_at = self.conversions.ended_at;
        let is_pausing = ended_at.is_some_and(|at| now.since_ms(at) < PAUSE_MS);
        if !is_pausing && self.conversions.closing.is_none() {
            orders.extend(self.close_for_conversion(groups, upstreams, needs, input, now));
        }
        orders
    }

    /// Chooses the conversions that lower the cost most. Earlier choices stay as long as they are
    /// worth it themselves, so that small changes of the load do not move them.
    fn choose_conversions(
        &mut self,
        groups: &BTreeMap<GroupKey, Group>,
        upstreams: &BTreeMap<VmId, Upstream>,
        needs: &[ModelNeed],
        input: PlannerInput<'_>,
        now: TimeMs,
    ) {
        let mut counts: Vec<usize> = needs.iter().map(|need| need.existing).collect();
        if let Some(closing) = &self.conversions.closing
            && let Some(to) = needs.iter().position(|need| need.model == closing.model)
        {
            // Its groups do not serve any more, and the new ones do not yet.
            counts[to] += (closing.members.len() / needs[to].size.max(1)).max(1);
        }
        let domains = self.domains_to_convert(groups, upstreams, input, needs);
        let mut chosen: Vec<Considered> = Vec::new();
        for earlier in std::mem::take(&mut self.conversions.considered) {
            let candidates = self.candidates(&domains, upstreams, needs, &counts, input.engine);
            let again = candidates.into_iter().find(|candidate| {
                candidate.considered.domain == earlier.domain
                    && candidate.considered.model == earlier.model
            });
            if let Some(again) = again {
                counts = again.counts;
                chosen.push(Considered {
                    chosen_at: earlier.chosen_at,
                    ..again.considered
                });
            }
        }
        while chosen.len() < MAX_CONVERSIONS {
            let candidates = self.candidates(&domains, upstreams, needs, &counts, input.engine);
            let is_new = |candidate: &Candidate| {
                let domain = &candidate.considered.domain;
                chosen.iter().all(|chosen| chosen.domain != *domain)
            };
            let best = candidates
                .into_iter()
                .filter(is_new)
                .max_by(|a, b| a.gain.total_cmp(&b.gain));
            let Some(best) = best else {
                break;
            };
            counts = best.counts;
            chosen.push(Considered {
                chosen_at: now,
                ..best.considered
            });
        }
        self.conversions.considered = chosen;
    }

    /// Returns the serving groups of each domain in which no group is being formed or closed.
    pub(super) fn domains_to_convert<'a>(
        &self,
        groups: &BTreeMap<GroupKey, Group>,
        upstreams: &'a BTreeMap<VmId, Upstream>,
        input: PlannerInput<'_>,
        needs: &[ModelNeed],
    ) -> BTreeMap<FabricDomainId, Vec<Spare<'a>>> {
        let domain_of = |id: &VmId| {
            upstreams
                .get(id)
                .and_then(|upstream| upstream.domain.clone())
        };
        let mut busy: BTreeSet<FabricDomainId> = self
            .forming_members()
            .iter()
            .filter_map(domain_of)
            .collect();
        busy.extend(self.conversions.closing.iter().map(|c| c.domain.clone()));
        let mut domains: BTreeMap<FabricDomainId, Vec<Spare<'a>>> = BTreeMap::new();
        for group in groups.values() {
            let model = needs
                .iter()
                .position(|need| group.model.as_ref() == Some(&need.model));
            let leader = group.leader();
            let (Some(model), Some(leader)) = (model, leader) else {
                continue;
            };
            let is_alive = |id: &VmId| !self.is_gone(id);
            // A group in an evacuated data centre does not count as capacity of either model.
            let is_evacuated = |id: &VmId| is_evacuated(upstreams.get(id), input);
            let is_serving = group.is_serving(needs[model].size)
                && !group.members.values().any(is_evacuated)
                && group.members.values().all(is_alive)
                && !self
                    .closed_permanently
                    .contains(&(group.id.clone(), group.epoch));
            let Some(domain) = domain_of(leader).filter(|domain| !busy.contains(domain)) else {
                continue;
            };
            if is_serving {
                let members = group.members.values().filter_map(|id| upstreams.get(id));
                domains.entry(domain).or_default().push(Spare {
                    key: (group.id.clone(), group.epoch),
                    model,
                    members: members.collect(),
                    running: input.running.get(leader).copied().unwrap_or(0),
                });
            }
        }
        domains
    }

    /// Returns the conversions that are worth it if the models have these numbers of groups.
    fn candidates(
        &self,
        domains: &BTreeMap<FabricDomainId, Vec<Spare<'_>>>,
        upstreams: &BTreeMap<VmId, Upstream>,
        needs: &[ModelNeed],
        counts: &[usize],
        engine: &Engine,
    ) -> Vec<Candidate> {
        let mut candidates = Vec::new();
        for (domain, spares) in domains {
            for to in 0..needs.len() {
                let is_short = needs[to].need > counts[to] as f64;
                if is_short && counts[to] < needs[to].target {
                    let idle = self.idle_holders(domain, &needs[to].model, upstreams, engine);
                    let candidate = self.candidate(domain, spares, idle, to, needs, counts);
                    candidates.extend(candidate);
                }
            }
        }
        candidates
    }

    /// Returns the conversion of the fewest groups of a domain that lets groups of the model at `to`
    /// be formed, if it is worth it. `idle` is the number of free upstreams that can join them
    /// without a load, and of those whose hosts are loading the weights.
    fn candidate(
        &self,
        domain: &FabricDomainId,
        spares: &[Spare<'_>],
        (idle, loading): (usize, usize),
        to: usize,
        needs: &[ModelNeed],
        counts: &[usize],
    ) -> Option<Candidate> {
        let need = &needs[to];
        let size = need.size.max(1);
        let lacks = |member: &&Upstream| !member.staged.contains(&need.model);
        let is_loading = |member: &&Upstream| {
            let load = self.loading.get(&member.id);
            load.is_some_and(|(model, _)| *model == need.model)
        };
        // Groups whose hosts are loading the weights come before others that lack them: a choice that
        // moved with the running requests would load them on one host after another.
        let lacking_count = |spare: &Spare<'_>| {
            let members = spare.members.iter().copied();
            let lacking: Vec<&Upstream> = members.filter(lacks).collect();
            let to_load = lacking.iter().filter(|member| !is_loading(member)).count();
            (to_load, lacking.len())
        };
        let mut order: Vec<&Spare<'_>> = spares.iter().filter(|spare| spare.model != to).collect();
        order.sort_by_key(|spare| (lacking_count(spare), spare.running, spare.key.clone()));
        let mut after = counts.to_vec();
        let mut given_up: Vec<&Spare<'_>> = Vec::new();
        let mut members = idle;
        let has_remainder = 2 * idle >= size;
        for spare in order {
            if members >= size {
                break;
            }
            let from = spare.model;
            let Some(left) = after[from].checked_sub(1) else {
                continue;
            };
            // Upstreams that wait idle for the rest of a group are worth it by themselves.
            if has_remainder || is_shorter(need.need, counts[to], needs[from].need, left) {
                after[from] = left;
                members += spare.members.len();
                given_up.push(spare);
            }
        }
        // Without a group to give up, the free upstreams form the groups anyway.
        if members < size || given_up.is_empty() {
            return None;
        }
        let formed = (members / size).min(need.target - counts[to]);
        after[to] += formed;
        let gain = cost(needs, counts) - cost(needs, &after);
        let given = given_up
            .iter()
            .flat_map(|spare| spare.members.iter().copied());
        let (lacking, holders): (Vec<&Upstream>, Vec<&Upstream>) = given.partition(lacks);
        let missing = (formed * size).saturating_sub(idle + holders.len());
        // Loads of free hosts that have begun end sooner than those of members would.
        if gain <= 0.0 || (missing > 0 && idle + loading >= size) {
            return None;
        }
        let lacking = lacking.into_iter().take(missing);
        Some(Candidate {
            considered: Considered {
                domain: domain.clone(),
                model: need.model.clone(),
                groups: given_up.iter().map(|spare| spare.key.clone()).collect(),
                lacking: lacking.map(|member| member.id.clone()).collect(),
                has_remainder,
                chosen_at: TimeMs(0),
            },
            counts: after,
            gain,
        })
    }

    /// Counts the free upstreams of a domain that can join a group of the model without a load, and
    /// those whose hosts are loading its weights.
    fn idle_holders(
        &self,
        domain: &FabricDomainId,
        model: &DeploymentId,
        upstreams: &BTreeMap<VmId, Upstream>,
        engine: &Engine,
    ) -> (usize, usize) {
        let free = self.free_since.keys().filter_map(|id| upstreams.get(id));
        let (mut holders, mut loading) = (0, 0);
        for upstream in free.filter(|upstream| upstream.domain.as_ref() == Some(domain)) {
            let loads = self.loading.get(&upstream.id);
            if self.joinable_models(upstream, engine).contains(model) {
                holders += 1;
            } else if loads.is_some_and(|(loaded, _)| loaded == model) {
                loading += 1;
            }
        }
        (holders, loading)
    }

    /// Returns the orders to load the weights of conversions that were worth it for some time.
    fn load_for_conversions(
        &mut self,
        upstreams: &BTreeMap<VmId, Upstream>,
        input: PlannerInput<'_>,
        now: TimeMs,
    ) -> Vec<Order> {
        let mut room = self.load_room(input, now);
        let mut orders = Vec::new();
        for considered in self.conversions.considered.clone() {
            if now.since_ms(considered.chosen_at) < SUSTAINED_MS {
                continue;
            }
            let Some(model) = input.engine.model(considered.model.as_str()) else {
                continue;
            };
            for id in considered.lacking {
                if room > 0 && upstreams.contains_key(&id) && !self.loading.contains_key(&id) {
                    room -= 1;
                    orders.push(self.stage(id, model, now));
                }
            }
        }
        orders
    }

    /// Returns the orders to close the groups of the first conversion whose hosts hold the weights.
    fn close_for_conversion(
        &mut self,
        groups: &BTreeMap<GroupKey, Group>,
        upstreams: &BTreeMap<VmId, Upstream>,
        needs: &[ModelNeed],
        input: PlannerInput<'_>,
        now: TimeMs,
    ) -> Vec<Order> {
        let holds = |considered: &Considered, id: &VmId| {
            let upstream = upstreams.get(id);
            upstream.is_some_and(|upstream| upstream.staged.contains(&considered.model))
        };
        // The choice may be older than an evacuation or the loss of a group.
        let may_close = |key: &GroupKey| {
            groups.get(key).is_some_and(|group| {
                let mut members = group.members.values();
                let model = group.model_spec(input.engine);
                model.is_some_and(|model| group.is_serving(model.size))
                    && !members.any(|id| is_evacuated(upstreams.get(id), input))
            })
        };
        let is_due = |considered: &Considered| {
            let sustained_ms = match considered.has_remainder {
                true => SUSTAINED_MS,
                false => SUSTAINED_DEMAND_MS,
            };
            now.since_ms(considered.chosen_at) >= sustained_ms
                && considered.lacking.iter().all(|id| holds(considered, id))
                && considered.groups.iter().all(may_close)
        };
        let Some(position) = self.conversions.considered.iter().position(is_due) else {
            return Vec::new();
        };
        let due = self.conversions.considered.remove(position);
        let closed: Vec<&Group> = due
            .groups
            .iter()
            .filter_map(|key| groups.get(key))
            .collect();
        let members = closed.iter().flat_map(|group| group.members.values());
        let closing = Closing {
            domain: due.domain.clone(),
            model: due.model.clone(),
            members: members.cloned().collect(),
            timeout_at: Deadline::after_ms(now, CLOSE_TIMEOUT_MS),
        };
        let running = |group: &&Group| input.running.get(group.leader()?).copied();
        let need = |need: &ModelNeed| GroupNeed {
            model: need.model.clone(),
            needed: need.need,
            existing: need.existing,
        };
        self.decisions.push(Decision::ConversionStarted {
            domain: due.domain,
            model: due.model,
            groups: closed.iter().map(|group| group.id.clone()).collect(),
            running: closed.iter().filter_map(running).sum(),
            needs: needs.iter().map(need).collect(),
        });
        self.conversions.closing = Some(closing);
        let orders = closed
            .into_iter()
            .flat_map(|group| self.close(group, false, now));
        orders.collect()
    }

    /// Returns the free upstreams that are kept for the groups of the conversion in progress: those
    /// of its domain that can join them. Ends the conversion once they are enough for a group, or can
    /// no longer become enough, or it takes too long.
    pub(super) fn kept_for_conversion(
        &mut self,
        free: &FreeByDomain<'_>,
        upstreams: &BTreeMap<VmId, Upstream>,
        input: PlannerInput<'_>,
        now: TimeMs,
    ) -> Option<Kept> {
        let engine = input.engine;
        let closing = self.conversions.closing.as_ref()?;
        let model = engine.model(closing.model.as_str());
        let in_domain = free.get(&closing.domain);
        let can_join = |upstream: &&&Upstream| {
            let models = self.joinable_models(upstream, engine);
            models.contains(&closing.model)
        };
        let hosts = in_domain.into_iter().flatten().filter(can_join);
        let hosts: BTreeSet<VmId> = hosts.map(|upstream| upstream.id.clone()).collect();
        let is_coming = |id: &&VmId| {
            let upstream = upstreams.get(*id);
            !hosts.contains(*id)
                && !self.is_gone(id)
                && !is_evacuated(upstream, input)
                && upstream.is_some_and(|upstream| {
                    upstream.is_ready() && upstream.staged.contains(&closing.model)
                })
        };
        let coming = closing.members.iter().filter(is_coming).count();
        let size = model.map_or(usize::MAX, |model| model.size.max(1));
        let (domain, model) = (closing.domain.clone(), closing.model.clone());
        let outcome = if hosts.len() >= size {
            Some(ConversionOutcome::Forming)
        } else if hosts.len() + coming < size {
            Some(ConversionOutcome::MemberLost)
        } else {
            let is_late = closing.timeout_at.has_passed(now);
            is_late.then_some(ConversionOutcome::TimedOut)
        };
        if let Some(outcome) = outcome {
            self.conversions.closing = None;
            self.conversions.ended_at = Some(now);
            self.decisions.push(Decision::ConversionEnded {
                domain: domain.clone(),
                model: model.clone(),
                outcome,
            });
        }
        let is_ready = match outcome {
            None => false,
            Some(ConversionOutcome::Forming) => true,
            Some(_) => return None,
        };
        Some(Kept {
            domain,
            model,
            hosts,
            is_ready,
        })
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

/// Free upstreams that are kept for the groups of a conversion.
pub(super) struct Kept {
    pub(super) domain: FabricDomainId,
    pub(super) model: DeploymentId,
    pub(super) hosts: BTreeSet<VmId>,
    /// Whether the groups can be formed now.
    pub(super) is_ready: bool,
}

/// Returns the sum over all models of the squared ratio of need to groups. Unlike the cost of an
/// arrangement, it has no targets: groups above one serve callers as well.
fn cost(needs: &[ModelNeed], counts: &[usize]) -> f64 {
    let ratio = |(need, count): (&ModelNeed, &usize)| need.need / (*count as f64).max(0.5);
    let models = needs.iter().zip(counts);
    models.map(|model| ratio(model).powi(2)).sum()
}
