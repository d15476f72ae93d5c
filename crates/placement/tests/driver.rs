//! A simulation of one fabric domain for tests: VMs, the plan stored on the platform, and
//! controllers as plain values that advance in steps. It has no network and no randomness of its
//! own.

#![allow(dead_code, reason = "the tests and examples/repair.rs each use a part")]

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

use jacinthpoint_placement::{
    Action, Controller, Demand, EngineReport, Event, ListedVm, Order, OrderResult, Plan,
    PlanVersion, RepairSettings,
};
use jacinthpoint_types::{Assignment, Epoch, MemberAddress, ModelRef, Priority, TimeMs, VmId};

/// Simulated time of one step.
pub const STEP_MS: u64 = 250;
/// Age of the platform's list when controllers read it.
const LIST_LAG_MS: u64 = 2_000;

/// A VM with its engine.
#[derive(Debug, Clone)]
pub struct Vm {
    pub address: SocketAddr,
    pub incarnation: u64,
    pub is_dead: bool,
    pub paused_until: TimeMs,
    pub is_leaving: bool,
    pub refuses_old_orders: bool,
    pub assignment: Option<Assignment>,
    /// Highest epoch of the accepted orders.
    pub highest: Epoch,
    /// Model whose weights the engine has, or is loading until `load_done_at`.
    pub model: Option<ModelRef>,
    pub load_done_at: TimeMs,
    /// Number of loads started.
    pub loads: u32,
    /// Number of orders accepted although a higher epoch was seen before.
    pub outdated_orders: u32,
}

impl Vm {
    pub fn is_up(&self, now: TimeMs) -> bool {
        !self.is_dead && now >= self.paused_until
    }

    fn is_loading(&self, now: TimeMs) -> bool {
        now < self.load_done_at
    }

    /// Returns whether the engine runs and has loaded the model of its assignment.
    pub fn is_ready(&self, now: TimeMs) -> bool {
        let wanted = self.assignment.as_ref().map(|assignment| &assignment.model);
        let is_loaded = wanted.is_some() && wanted == self.model.as_ref();
        self.is_up(now) && !self.is_loading(now) && is_loaded
    }

    fn apply_order(&mut self, now: TimeMs, load_ms: u64, order: Order) -> OrderResult {
        let epoch = match &order {
            Order::Serve { assignment } => assignment.epoch,
            Order::Leave { epoch, .. } => *epoch,
        };
        if self.refuses_old_orders && epoch < self.highest {
            let highest = self.highest;
            return OrderResult::Fenced { highest };
        }
        self.outdated_orders += u32::from(epoch < self.highest);
        self.highest = self.highest.max(epoch);
        match order {
            Order::Serve { assignment } => {
                if self.model.as_ref() != Some(&assignment.model) {
                    self.model = Some(assignment.model.clone());
                    self.load_done_at = now.plus_ms(load_ms);
                    self.loads += 1;
                }
                self.assignment = Some(assignment);
            }
            Order::Leave { group, .. } => {
                self.assignment
                    .take_if(|assignment| assignment.group == group);
            }
        }
        OrderResult::Accepted
    }

    /// Restarts the engine without weights, assignment and fencing tokens, as on a new machine.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.is_dead = false;
        self.is_leaving = false;
        self.paused_until = TimeMs(0);
        self.assignment = None;
        self.highest = Epoch(0);
        self.model = None;
        self.load_done_at = TimeMs(0);
    }
}

/// A controller with its faults and its role.
pub struct SimulatedController {
    pub controller: Controller,
    pub controls: bool,
    pub sees_platform: bool,
    pub paused_until: TimeMs,
    /// Duration of the pause that starts when the controller has decided its next actions.
    pub pause_before_acting_ms: u64,
    /// Duration of the pause that starts right before the next order.
    pub pause_before_order_ms: u64,
    /// Actions that were decided before a pause.
    pending: VecDeque<Action>,
}

/// The simulated domain, platform and controllers.
pub struct World {
    pub now: TimeMs,
    pub vms: BTreeMap<VmId, Vm>,
    pub demands: Vec<Demand>,
    pub controllers: Vec<SimulatedController>,
    /// All plans written so far; the version of a plan is its index plus 1.
    pub plans: Vec<Plan>,
    pub is_platform_up: bool,
    /// Number of next writes that take effect without an answer.
    pub lose_answers: u32,
    /// Transit time of orders.
    pub order_delay_ms: u64,
    pub load_ms: u64,
    pub writes: u64,
    pub reads: u64,
    /// Maximum number of VMs that loaded weights at the same time.
    pub max_loading: usize,
    /// Orders in transit, with the time at which each arrives.
    orders: Vec<(TimeMs, MemberAddress, Order)>,
    /// Recent lists with the time of each, oldest first.
    lists: VecDeque<(TimeMs, Vec<ListedVm>)>,
}

pub fn vm_id(number: usize) -> VmId {
    format!("vm-{number:03}").parse().expect("a valid name")
}

/// Returns the address of a VM. A VM that moves gets another port.
pub fn address(number: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], port))
}

pub fn demand(name: &str, groups: u16, group_size: u16, standbys: u16) -> Demand {
    Demand {
        deployment: name.parse().expect("a valid name"),
        model: "jp-model@v1".parse().expect("a valid model"),
        groups,
        group_size,
        standbys,
        priority: Priority::Normal,
        refuses_old_orders: true,
    }
}

impl World {
    pub fn new(vms: usize, demands: Vec<Demand>, settings: &RepairSettings, nodes: u64) -> World {
        let refuses = demands.iter().all(|demand| demand.refuses_old_orders);
        let vms = (0..vms).map(|number| (vm_id(number), new_vm(number, refuses)));
        World {
            now: TimeMs(100_000),
            vms: vms.collect(),
            demands,
            controllers: (0..nodes)
                .map(|seed| new_controller(seed, settings))
                .collect(),
            plans: Vec::new(),
            is_platform_up: true,
            lose_answers: 0,
            order_delay_ms: 0,
            load_ms: settings.load_ms,
            writes: 0,
            reads: 0,
            max_loading: 0,
            orders: Vec::new(),
            lists: VecDeque::new(),
        }
    }

    pub fn vm(&mut self, number: usize) -> &mut Vm {
        self.vms.get_mut(&vm_id(number)).expect("a VM")
    }

    pub fn latest(&self) -> Plan {
        self.plans.last().cloned().unwrap_or_default()
    }

    /// Advances by one step.
    pub fn step(&mut self) {
        self.now = self.now.plus_ms(STEP_MS);
        self.deliver_orders();
        let list = self.lagging_list();
        let loading = self.vms.values().filter(|vm| vm.is_loading(self.now));
        self.max_loading = self.max_loading.max(loading.count());
        for index in 0..self.controllers.len() {
            if self.now >= self.controllers[index].paused_until {
                self.run_controller(index, &list);
            }
        }
    }

    pub fn run_ms(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(STEP_MS) {
            self.step();
        }
    }

    /// Runs until the condition holds and returns how long that took, or `None` after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&World) -> bool) -> Option<u64> {
        let start = self.now;
        while !condition(self) {
            if self.now.since_ms(start) >= limit_ms {
                return None;
            }
            self.step();
        }
        Some(self.now.since_ms(start))
    }

    /// Returns the groups whose members all are ready and have the same assignment.
    pub fn serving(&self) -> BTreeSet<(String, Epoch, Vec<VmId>)> {
        let assignments = self.vms.values().filter_map(|vm| vm.assignment.as_ref());
        let serving = assignments.filter(|assignment| {
            assignment.members.iter().all(|member| {
                let vm = &self.vms[&member.vm];
                let agrees = vm.assignment.as_ref() == Some(assignment);
                agrees && vm.address == member.address && vm.is_ready(self.now)
            })
        });
        let named = serving.map(|assignment| {
            let members = assignment.members.iter();
            let members = members.map(|member| member.vm.clone()).collect();
            (assignment.group.to_string(), assignment.epoch, members)
        });
        named.collect()
    }

    /// Returns the number of healthy VMs that are idle while groups are missing: all that neither
    /// serve nor are standbys of a serving group.
    pub fn stranded_vms(&self) -> usize {
        let serving = self.serving();
        let wanted = self.demands.iter().map(|demand| usize::from(demand.groups));
        if serving.len() >= wanted.sum() {
            return 0;
        }
        let mut busy: BTreeSet<VmId> = BTreeSet::new();
        for (id, _, members) in serving {
            let plan = self.latest();
            let group = plan.groups.iter().find(|group| group.id.as_str() == id);
            let standbys = group.into_iter().flat_map(|group| &group.standbys);
            busy.extend(standbys.map(|member| member.vm.clone()));
            busy.extend(members);
        }
        let healthy = self.vms.iter().filter(|(_, vm)| vm.is_up(self.now));
        healthy.filter(|(vm, _)| !busy.contains(*vm)).count()
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let orders = std::mem::take(&mut self.orders);
        let (due, later): (Vec<_>, Vec<_>) = orders.into_iter().partition(|(at, ..)| *at <= now);
        self.orders = later;
        for (_, member, order) in due {
            self.apply_order(&member, order);
        }
    }

    fn apply_order(&mut self, member: &MemberAddress, order: Order) -> OrderResult {
        let (now, load_ms) = (self.now, self.load_ms);
        match self.vms.get_mut(&member.vm) {
            Some(vm) if vm.address == member.address && vm.is_up(now) => {
                vm.apply_order(now, load_ms, order)
            }
            _ => OrderResult::NoAnswer,
        }
    }

    /// Returns the VMs as the platform would list them without a lag.
    pub fn list(&self) -> Vec<ListedVm> {
        let listed = self.vms.iter().filter(|(_, vm)| !vm.is_dead);
        let list = listed.map(|(id, vm)| ListedVm {
            member: MemberAddress {
                vm: id.clone(),
                address: vm.address,
            },
            is_leaving: vm.is_leaving,
        });
        list.collect()
    }

    /// Returns the answers of all VMs to a probe sent now.
    pub fn probes(&self) -> Vec<Event> {
        let list = self.list();
        let entries = list
            .iter()
            .map(|entry| (entry, &self.vms[&entry.member.vm]));
        let up = entries.filter(|(_, vm)| vm.is_up(self.now));
        up.map(|(entry, vm)| probe(entry, vm, self.now)).collect()
    }

    fn lagging_list(&mut self) -> Vec<ListedVm> {
        let list = self.list();
        self.lists.push_back((self.now, list));
        while self.lists.len() > 1 && self.now.since_ms(self.lists[1].0) >= LIST_LAG_MS {
            self.lists.pop_front();
        }
        self.lists[0].1.clone()
    }

    fn run_controller(&mut self, index: usize, list: &[ListedVm]) {
        let now = self.now;
        let pending = std::mem::take(&mut self.controllers[index].pending);
        self.perform_all(index, pending);
        let simulated = &mut self.controllers[index];
        let controls = simulated.controls;
        let controller = &mut simulated.controller;
        controller.handle(now, Event::Role { controls });
        controller.handle(now, Event::Members(list.to_vec()));
        controller.handle(now, Event::Demands(self.demands.clone()));
        for entry in list {
            let vm = &self.vms[&entry.member.vm];
            if vm.address == entry.member.address && vm.is_up(now) {
                controller.handle(now, probe(entry, vm, now));
            }
        }
        let actions = controller.handle(now, Event::Tick);
        if !actions.is_empty() && simulated.pause_before_acting_ms > 0 {
            simulated.paused_until = now.plus_ms(simulated.pause_before_acting_ms);
            simulated.pause_before_acting_ms = 0;
        }
        self.perform_all(index, actions.into());
    }

    fn perform_all(&mut self, index: usize, mut actions: VecDeque<Action>) {
        while let Some(action) = actions.pop_front() {
            let simulated = &mut self.controllers[index];
            if matches!(action, Action::Order { .. }) && simulated.pause_before_order_ms > 0 {
                simulated.paused_until = self.now.plus_ms(simulated.pause_before_order_ms);
                simulated.pause_before_order_ms = 0;
            }
            if self.now < self.controllers[index].paused_until {
                self.controllers[index].pending.push_back(action);
                continue;
            }
            let event = self.perform(index, action);
            let more = self.controllers[index].controller.handle(self.now, event);
            actions.extend(more);
        }
    }

    fn perform(&mut self, index: usize, action: Action) -> Event {
        let asked_at = self.now;
        let is_reachable = self.is_platform_up && self.controllers[index].sees_platform;
        let version = PlanVersion(self.plans.len() as u64);
        match action {
            Action::Order {
                member,
                order,
                deadline,
            } => {
                let vm = member.vm.clone();
                let is_expired = deadline.has_passed(self.now);
                let result = self.send_order(member, order, is_expired);
                Event::OrderEnded { vm, result }
            }
            _ if !is_reachable => Event::PlatformFailed,
            Action::ReadPlan => {
                self.reads += 1;
                Event::PlanRead {
                    asked_at,
                    version,
                    plan: self.latest(),
                }
            }
            Action::WritePlan { expected, .. } if expected != version => Event::PlanConflict {
                asked_at,
                version,
                plan: self.latest(),
            },
            Action::WritePlan { plan, .. } => {
                self.writes += 1;
                self.plans.push(plan);
                if self.lose_answers > 0 {
                    self.lose_answers -= 1;
                    return Event::PlanAmbiguous;
                }
                Event::PlanWritten {
                    asked_at,
                    version: PlanVersion(version.0 + 1),
                }
            }
        }
    }

    fn send_order(&mut self, member: MemberAddress, order: Order, is_expired: bool) -> OrderResult {
        if is_expired {
            return OrderResult::Expired;
        }
        if self.order_delay_ms == 0 {
            return self.apply_order(&member, order);
        }
        let arrives_at = self.now.plus_ms(self.order_delay_ms);
        self.orders.push((arrives_at, member, order));
        OrderResult::NoAnswer
    }
}

fn probe(entry: &ListedVm, vm: &Vm, now: TimeMs) -> Event {
    Event::Probe {
        vm: entry.member.vm.clone(),
        sent_at: now,
        report: EngineReport {
            address: vm.address,
            incarnation: vm.incarnation,
            assignment: vm.assignment.clone(),
            // In this simulation, only the list shows that a VM is leaving.
            is_leaving: false,
            is_ready: vm.is_ready(now),
            is_straggler: false,
        },
    }
}

/// Returns a controller without state. The one with seed 0 controls the domain.
pub fn new_controller(seed: u64, settings: &RepairSettings) -> SimulatedController {
    let domain = "rack-1".parse().expect("a valid name");
    SimulatedController {
        controller: Controller::new(domain, settings.clone(), seed),
        controls: seed == 0,
        sees_platform: true,
        paused_until: TimeMs(0),
        pause_before_acting_ms: 0,
        pause_before_order_ms: 0,
        pending: VecDeque::new(),
    }
}

fn new_vm(number: usize, refuses_old_orders: bool) -> Vm {
    Vm {
        address: address(number, 1),
        incarnation: 1,
        is_dead: false,
        paused_until: TimeMs(0),
        is_leaving: false,
        refuses_old_orders,
        assignment: None,
        highest: Epoch(0),
        model: None,
        load_done_at: TimeMs(0),
        loads: 0,
        outdated_orders: 0,
    }
}
