//! Runs a planner against simulated engines in steps of simulated time.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{Engine, GroupState, ModelSpec, OrderAnswer, Upstream, groups_of};
use jacinthpoint_regroup::{Action, Demand, Planner, PlannerInput, Report};
use jacinthpoint_types::{DeploymentId, TimeMs, VmId};

use crate::engines::{Engines, FORM_MS, LOAD_MS, WARM_MS};

/// Length of a step; a gateway's planner runs at the same interval.
pub const STEP_MS: u64 = 50;

/// The large model, in groups of four.
pub const LARGE: &str = "large";
/// The small model, in groups of two.
pub const SMALL: &str = "small";

pub fn vm(id: &str) -> VmId {
    id.parse().expect("a valid name")
}

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

pub fn engine() -> Engine {
    Engine {
        models: vec![model(LARGE, 4, 0.67, 1.0), model(SMALL, 2, 0.33, 0.6)],
        slots: 26,
        step_ms: 6.0,
        per_sequence_ms: 0.24,
        stride: 5,
        prefill_tokens_per_s: 46_000.0,
        mean_prompt_tokens: 1_076.0,
        mean_answer_tokens: 116.0,
        loads_at_once: 6,
        loads_per_s: 4.0,
        form_ms: FORM_MS,
        cross_domain_factor: 2.5,
    }
}

/// A planner, the engines that it sends orders to, and the list of upstreams that it reads.
pub struct World {
    pub now: TimeMs,
    pub engines: Engines,
    pub planner: Planner,
    pub demand: Demand,
    pub has_traffic: bool,
    /// Entries that the list showed at the last step.
    listed: BTreeMap<VmId, Upstream>,
    /// Group members that dropped out of the list.
    unlisted: BTreeMap<VmId, Upstream>,
    /// Engines that listen at the address of an engine that ended, by the name of the latter.
    pub successors: BTreeMap<VmId, VmId>,
    /// Called for each order. Returns the delay in milliseconds if the order is to be carried out
    /// late and not answered.
    pub order_delay: Box<dyn FnMut() -> Option<u64>>,
}

impl World {
    pub fn new() -> World {
        World {
            now: TimeMs(1_000_000),
            engines: Engines::default(),
            planner: Planner::new(1),
            demand: Demand::new(),
            has_traffic: false,
            listed: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            successors: BTreeMap::new(),
            order_delay: Box::new(|| None),
        }
    }

    /// Returns a fleet of `domains` fabric domains with eight engines each.
    pub fn with_domains(domains: usize) -> World {
        let mut world = World::new();
        for domain in 0..domains {
            for index in 0..8 {
                let id = format!("d{domain}-{index}");
                world.engines.add(&id, &format!("domain-{domain}"), None);
            }
        }
        world
    }

    /// Returns such a fleet after all groups were formed and traffic began.
    pub fn serving(domains: usize) -> World {
        let mut world = World::with_domains(domains);
        world.run_ms(25_000);
        world.has_traffic = true;
        world
    }

    /// Returns such a fleet after a group of the large model lost a member, which left three spares
    /// in its domain, and the members of the group that still serves in that domain.
    pub fn with_spares(domains: usize) -> (World, Vec<VmId>) {
        let mut world = World::serving(domains);
        world.run_ms(5_000);
        let members = world.members_of_group(LARGE);
        world.engines.kill(&members[1]);
        world.planner.on_group_stalled(&members);
        world.run_ms(10_000);
        let domain = world.engines.machines[&members[0]].entry.domain.clone();
        let listed = world.engines.listed();
        let is_live_in_domain =
            |id: &&VmId| listed[*id].domain == domain && world.engines.machines[*id].is_alive;
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

    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    /// Runs until `is_done` returns true. Returns the simulated time that passed, and panics after
    /// `limit_ms` of it.
    pub fn run_until(&mut self, limit_ms: u64, is_done: impl Fn(&World) -> bool) -> u64 {
        let began = self.now;
        while !is_done(self) {
            assert!(
                self.now.since_ms(began) < limit_ms,
                "condition not met after {limit_ms} ms"
            );
            self.step();
        }
        self.now.since_ms(began)
    }

    /// Replaces the planner by that of the next owner, which starts without any state.
    pub fn take_over(&mut self) {
        self.planner = Planner::new(self.planner.fence() + 1);
    }

    fn step(&mut self) {
        self.now = self.now.plus_ms(STEP_MS);
        self.engines.advance(self.now);
        let listed = self.engines.listed();
        self.update_unlisted(&listed);
        let engine = engine();
        let input = PlannerInput {
            upstreams: &listed,
            unlisted: &self.unlisted,
            engine: &engine,
            has_traffic: self.has_traffic,
            demand: &self.demand,
        };
        let actions = self.planner.plan(input, self.now);
        let fence = self.planner.fence();
        for action in actions {
            match action {
                Action::Order(order, _) => {
                    let answer = match (self.order_delay)() {
                        Some(after_ms) => {
                            let at = self.now.plus_ms(after_ms);
                            self.engines.defer(at, &order.target, &order.action, fence);
                            OrderAnswer::Unknown
                        }
                        None => {
                            let target = &order.target;
                            self.engines
                                .carry_out(target, &order.action, fence, self.now)
                        }
                    };
                    self.planner.on_answer(&order, answer, self.now);
                }
                Action::CheckHealth(id, _) => {
                    let stays = self.at_address_of(&id).map(|m| !m.entry.is_draining());
                    if let Some(stays) = stays {
                        self.planner.on_health_answer(&id, stays);
                    }
                }
                Action::Probe(id, _) => {
                    let answering = self.at_address_of(&id);
                    let answer = answering.map(|machine| Report {
                        started_unix_ms: machine.entry.started_unix_ms,
                        membership: machine.entry.membership.clone(),
                        staged: machine.entry.staged.clone(),
                    });
                    self.planner
                        .on_probe(&id, answer, listed.get(&id), self.now);
                }
            }
        }
    }

    /// Updates the members that dropped out of the list, as a gateway's view of the fleet does.
    fn update_unlisted(&mut self, listed: &BTreeMap<VmId, Upstream>) {
        for (id, known) in std::mem::replace(&mut self.listed, listed.clone()) {
            if !listed.contains_key(&id) && known.may_serve_unlisted() {
                let is_listed = false;
                self.unlisted.insert(id, Upstream { is_listed, ..known });
            }
        }
        self.unlisted.retain(|id, _| !listed.contains_key(id));
    }

    /// Returns whether the first of these members, their leader, takes requests.
    pub fn is_open(&self, members: &[VmId]) -> bool {
        let membership = self.engines.machines[&members[0]].entry.membership.as_ref();
        membership.is_some_and(|membership| membership.state == GroupState::Open)
    }

    /// Returns the live engine that listens at the address of `id`.
    fn at_address_of(&self, id: &VmId) -> Option<&crate::engines::Machine> {
        let id = self.successors.get(id).unwrap_or(id);
        let machine = self.engines.machines.get(id);
        machine.filter(|machine| machine.is_alive)
    }

    /// Returns the number of serving groups by model.
    pub fn groups(&self) -> BTreeMap<String, usize> {
        let engine = engine();
        let listed = self.engines.listed();
        let mut counts = BTreeMap::new();
        for group in groups_of(listed.values()).values() {
            let Some(model) = group.model_spec(&engine) else {
                continue;
            };
            let is_alive = |id: &VmId| self.engines.machines[id].is_alive;
            if group.is_serving(model.size) && group.members.values().all(is_alive) {
                *counts.entry(model.name.to_string()).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the number of serving groups of a model.
    pub fn count(&self, model: &str) -> usize {
        self.groups().get(model).copied().unwrap_or(0)
    }

    /// Returns the members of a serving group of a model, the leader first.
    pub fn members_of_group(&self, model: &str) -> Vec<VmId> {
        self.members_of_other_group(model, &[])
    }

    /// Returns the members of a serving group of a model that has none of the members `without`.
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
            .expect("a group of the model serves");
        group.members.values().cloned().collect()
    }

    pub fn assert_no_violation(&self) {
        let none: Vec<String> = Vec::new();
        assert_eq!(self.engines.violations, none);
    }
}
