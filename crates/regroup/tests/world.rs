//! Runs a planner against simulated engines in steps of simulated time.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use jacinthpoint_fleet::{
    Engine, Evacuations, GroupState, Membership, ModelSpec, Order, OrderAnswer, Upstream, groups_of,
};
use jacinthpoint_regroup::{Action, Decision, Demand, Planner, PlannerInput, Report};
use jacinthpoint_types::{DeploymentId, TimeMs, VmId};

use crate::engines::{Engines, LOAD_MS, OPEN_MS, SimulatedEngine, WARM_MS};

/// Length of a step; a gateway's planner runs at the same interval.
pub const STEP_MS: u64 = 50;

/// Maximum age of an entry that the planner reads.
const MAX_LIST_LAG_MS: u64 = 8_000;

/// The large model, in groups of four.
pub const LARGE: &str = "large";
/// The small model, in groups of two.
pub const SMALL: &str = "small";

pub fn vm(id: &str) -> VmId {
    id.parse().expect("a valid name")
}

/// Returns the settings of a model. `time_factor` multiplies all times of its groups.
fn model(name: &str, size: usize, demand_share: f64, time_factor: f64) -> ModelSpec {
    ModelSpec {
        name: name.parse().expect("a valid name"),
        size,
        demand_share,
        time_factor,
        load_ms: LOAD_MS,
        warm_ms: WARM_MS,
    }
}

/// Returns the settings of the service's engines.
pub fn engine_spec() -> Engine {
    Engine {
        models: vec![model(LARGE, 4, 0.67, 1.0), model(SMALL, 2, 0.33, 0.6)],
        slots: 26,
        step_ms: 6.0,
        per_sequence_ms: 0.24,
        stride: 5,
        prefill_tokens_per_s: 46_000.0,
        max_prefill_tokens_per_step: 2_048,
        mean_prompt_tokens: 1_076.0,
        mean_answer_tokens: 116.0,
        loads_at_once: 6,
        loads_per_s: 4.0,
        form_ms: OPEN_MS,
        cross_domain_factor: 2.5,
    }
}

/// Returns the delay of an order in milliseconds if it is to be carried out late and not answered.
pub type OrderDelay = Box<dyn FnMut(&Order) -> Option<u64>>;

/// A planner, the engines that it sends orders to, and the list of upstreams that it reads.
pub struct World {
    pub now: TimeMs,
    pub engines: Engines,
    pub planner: Planner,
    /// Decisions of all planners so far.
    pub decisions: Vec<Decision>,
    /// Settings of the engines.
    pub spec: Engine,
    pub demand: Demand,
    /// Number of requests that groups run, by leader.
    pub running: BTreeMap<VmId, u32>,
    pub has_traffic: bool,
    /// Engines of the domain `domain-N` are in the data centre `dc-N`.
    pub evacuations: Evacuations,
    /// Entries that the list showed at the last step.
    listed: BTreeMap<VmId, Upstream>,
    /// Group members that are no longer listed.
    unlisted: BTreeMap<VmId, Upstream>,
    /// Upstreams that are cold.
    pub cold: BTreeSet<VmId>,
    /// Engines that listen at the address of a dead engine, by the name of the dead one.
    pub successors: BTreeMap<VmId, VmId>,
    /// Age of the state that engines report when they are probed.
    pub report_lag_ms: u64,
    /// State of each engine at the last steps, the oldest first. Kept for `report_lag_ms`.
    reportable: VecDeque<(TimeMs, BTreeMap<VmId, Report>)>,
    /// Age of the entries that the planner reads, of upstreams without one in `publish_lag_ms`.
    pub list_lag_ms: u64,
    /// Age of the entries of single upstreams. An entry never returns to an older state when this
    /// grows.
    pub publish_lag_ms: BTreeMap<VmId, u64>,
    /// Entries that the store showed at the last steps, the oldest first.
    published: VecDeque<(TimeMs, BTreeMap<VmId, Upstream>)>,
    /// Time of the state that the planner last read of each upstream.
    shown_at: BTreeMap<VmId, TimeMs>,
    /// Called for each order. Returns the delay in milliseconds if the order is to be carried out
    /// late and not answered.
    pub order_delay: OrderDelay,
    /// Time of the longest planning step so far.
    pub longest_plan: Duration,
}

impl World {
    pub fn new() -> World {
        World {
            now: TimeMs(1_000_000),
            engines: Engines::default(),
            planner: Planner::new(1),
            decisions: Vec::new(),
            spec: engine_spec(),
            demand: Demand::new(),
            running: BTreeMap::new(),
            has_traffic: false,
            evacuations: Evacuations::default(),
            listed: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            cold: BTreeSet::new(),
            successors: BTreeMap::new(),
            report_lag_ms: 0,
            reportable: VecDeque::new(),
            list_lag_ms: 0,
            publish_lag_ms: BTreeMap::new(),
            published: VecDeque::new(),
            shown_at: BTreeMap::new(),
            order_delay: Box::new(|_| None),
            longest_plan: Duration::ZERO,
        }
    }

    /// Returns a fleet of `domains` fabric domains with eight engines each.
    pub fn with_domains(domains: usize) -> World {
        World::with_domains_of(&vec![8; domains])
    }

    /// Returns a fleet with one fabric domain for each of these numbers of engines.
    pub fn with_domains_of(sizes: &[usize]) -> World {
        let mut world = World::new();
        for (domain, size) in sizes.iter().enumerate() {
            for index in 0..*size {
                let id = format!("d{domain}-{index:02}");
                world.engines.add(&id, &format!("domain-{domain}"), None);
            }
        }
        world
    }

    /// Replaces the models by these, each given by name, size and share of the demand.
    pub fn set_models(&mut self, models: &[(&str, usize, f64)]) {
        self.spec.models = models
            .iter()
            .map(|(name, size, share)| model(name, *size, *share, 1.0))
            .collect();
    }

    /// Returns a fleet of `domains` fabric domains in which all groups were formed and callers have
    /// begun to send requests.
    pub fn serving(domains: usize) -> World {
        let mut world = World::with_domains(domains);
        world.run_ms(25_000);
        world.has_traffic = true;
        world
    }

    /// Returns a serving fleet, and the members of one of its groups, the leader first. Another
    /// group of the large model in the domain of these members lost a member, so the domain has
    /// three spares.
    pub fn with_spares(domains: usize) -> (World, Vec<VmId>) {
        let mut world = World::serving(domains);
        world.run_ms(5_000);
        let members = world.members_of_group(LARGE);
        world.engines.kill(&members[1]);
        world.planner.on_group_stalled(&members);
        world.run_ms(10_000);
        let domain = world.engines.by_id[&members[0]].entry.domain.clone();
        let listed = world.engines.listed();
        // All four members of the group that is looked for are alive and in the domain.
        let is_live_in_domain =
            |id: &&VmId| listed[*id].domain == domain && world.engines.by_id[*id].is_alive;
        let groups = groups_of(listed.values());
        let serving = groups.values().find(|group| {
            group.leader_state == Some(GroupState::Open)
                && group.members.values().filter(is_live_in_domain).count() == 4
        });
        let members = serving
            .expect("a group still serves in the domain")
            .members
            .values()
            .cloned()
            .collect();
        (world, members)
    }

    /// Runs for `ms` milliseconds of simulated time.
    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    /// Runs until `is_done` returns true. Returns the simulated time that passed, in milliseconds.
    /// Panics if it reaches `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, is_done: impl Fn(&World) -> bool) -> u64 {
        let began = self.now;
        while !is_done(self) {
            assert!(
                self.now.since_ms(began) < limit_ms,
                "`is_done` still returns false after {limit_ms} ms of simulated time"
            );
            self.step();
        }
        self.now.since_ms(began)
    }

    /// Replaces the planner by that of the next owner, which starts without any state.
    pub fn take_over(&mut self) {
        self.planner = Planner::new(self.planner.fencing_token() + 1);
    }

    fn step(&mut self) {
        self.now = self.now.plus_ms(STEP_MS);
        self.engines.advance(self.now);
        self.record_reportable();
        let listed = self.read_list();
        self.update_unlisted(&listed);
        let spec = self.spec.clone();
        let input = PlannerInput {
            upstreams: &listed,
            unlisted: &self.unlisted,
            cold: &self.cold,
            engine: &spec,
            has_traffic: self.has_traffic,
            evacuations: &self.evacuations,
            follows_demand: true,
            demand: &self.demand,
            running: &self.running,
        };
        let began = Instant::now();
        let actions = self.planner.plan(input, self.now);
        self.longest_plan = self.longest_plan.max(began.elapsed());
        self.decisions.extend(self.planner.take_decisions());
        let fencing_token = self.planner.fencing_token();
        for action in actions {
            match action {
                Action::Order(order, address) => {
                    let listener = self.engines.at_address(address);
                    let is_other = listener.is_some_and(|id| *id != order.target);
                    let answer = match (self.order_delay)(&order) {
                        _ if is_other => OrderAnswer::WrongUpstream,
                        Some(after_ms) => {
                            let at = self.now.plus_ms(after_ms);
                            self.engines
                                .defer(at, &order.target, &order.action, fencing_token);
                            OrderAnswer::Unknown
                        }
                        None => {
                            let target = &order.target;
                            self.engines
                                .carry_out(target, &order.action, fencing_token, self.now)
                        }
                    };
                    self.planner.on_answer(&order, answer, self.now);
                }
                Action::CheckHealth(id, _) => {
                    // An engine that took over the address answers for the dead one here. A real
                    // upstream refuses the health check of another one.
                    let is_healthy = self
                        .at_address_of(&id)
                        .map(|engine| !engine.entry.is_draining());
                    if let Some(is_healthy) = is_healthy {
                        self.planner.on_health_answer(&id, is_healthy);
                    }
                }
                Action::Probe(id, _) => {
                    let answering = self.at_address_of(&id);
                    let answer = answering.map(|engine| self.report_of(&engine.entry.id));
                    self.planner
                        .on_probe_end(&id, answer, listed.get(&id), self.now);
                }
            }
        }
    }

    /// Returns the list that the planner reads, whose entries may be old.
    fn read_list(&mut self) -> BTreeMap<VmId, Upstream> {
        self.published.push_back((self.now, self.engines.listed()));
        if self.published.len() > MAX_LIST_LAG_MS as usize / STEP_MS as usize {
            self.published.pop_front();
        }
        let newest = self.published.len() - 1;
        let mut listed = BTreeMap::new();
        for id in self.engines.by_id.keys() {
            let lag_ms = self
                .publish_lag_ms
                .get(id)
                .copied()
                .unwrap_or(self.list_lag_ms);
            let wanted = TimeMs(self.now.0.saturating_sub(lag_ms));
            let shown = self.shown_at.get(id).copied().unwrap_or(wanted).max(wanted);
            self.shown_at.insert(id.clone(), shown);
            let steps = (self.now.since_ms(shown) / STEP_MS) as usize;
            let entries = &self.published[newest.saturating_sub(steps)].1;
            if let Some(entry) = entries.get(id) {
                listed.insert(id.clone(), entry.clone());
            }
        }
        listed
    }

    /// Records the state that engines report `report_lag_ms` later.
    fn record_reportable(&mut self) {
        let live = self
            .engines
            .by_id
            .iter()
            .filter(|(_, engine)| engine.is_alive);
        let report = |engine: &SimulatedEngine| Report {
            started_unix_ms: engine.entry.started_unix_ms,
            membership: engine.entry.membership.clone(),
            staged: engine.entry.staged.clone(),
            orders: Some(engine.orders),
        };
        let reports = live
            .map(|(id, engine)| (id.clone(), report(engine)))
            .collect();
        self.reportable.push_back((self.now, reports));
        let (lag_ms, now) = (self.report_lag_ms, self.now);
        while self
            .reportable
            .get(1)
            .is_some_and(|(at, _)| now.since_ms(*at) >= lag_ms)
        {
            self.reportable.pop_front();
        }
    }

    /// Returns what a live engine answers to a probe. An engine that was started within
    /// `report_lag_ms` reports its state after the start.
    fn report_of(&self, id: &VmId) -> Report {
        let mut reports = self.reportable.iter().map(|(_, reports)| reports);
        let report = reports.find_map(|reports| reports.get(id));
        report
            .expect("the state of each live engine is recorded")
            .clone()
    }

    /// Updates the group members that are no longer listed, as a gateway's view of the fleet does.
    fn update_unlisted(&mut self, listed: &BTreeMap<VmId, Upstream>) {
        for (id, entry) in std::mem::replace(&mut self.listed, listed.clone()) {
            if !listed.contains_key(&id) && entry.may_serve_unlisted() {
                let is_listed = false;
                self.unlisted.insert(id, Upstream { is_listed, ..entry });
            }
        }
        self.unlisted.retain(|id, _| !listed.contains_key(id));
    }

    /// Returns whether the first of these members, their leader, takes requests.
    pub fn is_open(&self, members: &[VmId]) -> bool {
        let membership = self.engines.by_id[&members[0]].entry.membership.as_ref();
        membership.is_some_and(|membership| membership.state == GroupState::Open)
    }

    /// Returns whether an engine is a live member of a group whose leader takes requests.
    pub fn is_in_open_group(&self, id: &VmId) -> bool {
        let engine = &self.engines.by_id[id];
        let membership = engine.entry.membership.as_ref();
        let is_open = |m: &Membership| {
            let engines = self.engines.by_id.values().filter(|engine| engine.is_alive);
            let mut memberships = engines.filter_map(|engine| engine.entry.membership.as_ref());
            memberships.any(|other| {
                other.group == m.group && other.rank == 0 && other.state == GroupState::Open
            })
        };
        engine.is_alive && membership.is_some_and(is_open)
    }

    /// Returns the other engines in the fabric domain of `members`, those that are alive first, then
    /// the dead ones.
    pub fn others_in_domain(&self, members: &[VmId]) -> (Vec<VmId>, Vec<VmId>) {
        let domain = &self.engines.by_id[&members[0]].entry.domain;
        let is_other = |(id, engine): &(&VmId, &SimulatedEngine)| {
            engine.entry.domain == *domain && !members.contains(id)
        };
        let others = self.engines.by_id.iter().filter(is_other);
        let (live, dead): (Vec<_>, Vec<_>) = others.partition(|(_, engine)| engine.is_alive);
        let ids = |engines: Vec<(&VmId, &SimulatedEngine)>| {
            engines.into_iter().map(|(id, _)| id.clone()).collect()
        };
        (ids(live), ids(dead))
    }

    /// Returns the live engine that listens at the address of `id`.
    fn at_address_of(&self, id: &VmId) -> Option<&SimulatedEngine> {
        let id = self.successors.get(id).unwrap_or(id);
        let address = self.engines.by_id.get(id)?.entry.address;
        self.engines.by_id.get(self.engines.at_address(address)?)
    }

    /// Returns the number of serving groups by model.
    pub fn serving_group_counts(&self) -> BTreeMap<String, usize> {
        let listed = self.engines.listed();
        let mut counts = BTreeMap::new();
        for group in groups_of(listed.values()).values() {
            let Some(model) = group.model_spec(&self.spec) else {
                continue;
            };
            let is_alive = |id: &VmId| self.engines.by_id[id].is_alive;
            if group.is_serving(model.size) && group.members.values().all(is_alive) {
                *counts.entry(model.name.to_string()).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the number of serving groups of a model.
    pub fn serving_group_count(&self, model: &str) -> usize {
        self.serving_group_counts().get(model).copied().unwrap_or(0)
    }

    /// Returns the members of an open group of `model`, the leader first.
    pub fn members_of_group(&self, model: &str) -> Vec<VmId> {
        self.members_of_other_group(model, &[])
    }

    /// Returns the members of an open group of `model`, the leader first. The group has none of the
    /// members in `without`.
    pub fn members_of_other_group(&self, model: &str, without: &[VmId]) -> Vec<VmId> {
        let listed = self.engines.listed();
        let groups = groups_of(listed.values());
        let is_wanted = |group: &&jacinthpoint_fleet::Group| {
            let name = group.model.as_ref().map(DeploymentId::as_str);
            group.leader_state == Some(GroupState::Open)
                && name == Some(model)
                && !group.members.values().any(|id| without.contains(id))
        };
        let group = groups
            .values()
            .find(is_wanted)
            .expect("a group of the model is open");
        group.members.values().cloned().collect()
    }

    pub fn assert_no_violation(&self) {
        let none: Vec<String> = Vec::new();
        assert_eq!(self.engines.violations, none);
    }
}
