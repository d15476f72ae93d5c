//! The controller of one fabric domain: tracks VMs and the plan, writes new plans and sends orders.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{Assignment, DeploymentId, Epoch, FabricDomainId, GroupId, TimeMs};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    event::{Action, Demand, Event, OrderResult},
    health::{VmTable, VmView},
    orders::{ORDER_TRANSIT_MS, OrderTracker},
    plan::{GroupPlan, Plan, PlanVersion},
    planner::{PlanInput, next_plan},
    settings::RepairSettings,
    store::{KnownPlan, ORDER_AUTHORITY_MS, PlanStore},
    swap::Swaps,
};

mod ordering;

/// Time between two ticks from which this process counts as paused. After a pause, the controller
/// cannot distinguish VMs that did not answer from answers that it did not receive.
const OWN_PAUSE_MS: u64 = 1_000;
/// Maximum time for which a controller does not replace a plan that another one has just written.
const MAX_REPLACE_DELAY_MS: u64 = 2_000;
/// Maximum accepted fencing token. Epochs have no bits for higher ones.
const MAX_FENCE: u64 = 1 << 46;

/// Decides on the replica groups of one fabric domain.
///
/// Every node that probes the domain runs a controller, to know the domain's groups. Only the node
/// that is responsible for the domain lets it write plans and send orders. Several nodes may
/// consider themselves responsible at the same time. This is safe, because plans are written by
/// conditional update and orders carry the plan's fencing token.
#[derive(Debug)]
pub struct Controller {
    domain: FabricDomainId,
    settings: RepairSettings,
    rng: SmallRng,
    /// Random tag that distinguishes this controller's plans from those of others.
    tag: u64,
    /// Whether this node controls the domain, according to its own view.
    controls: bool,
    vms: VmTable,
    is_list_known: bool,
    demands: Option<Vec<Demand>>,
    store: PlanStore,
    swaps: Swaps,
    /// Highest fencing token that engines reported; 0 before the first report.
    highest_reported_token: u64,
    orders: OrderTracker,
    /// Time before which orders of an earlier controller may still be sent or arrive.
    orders_allowed_at: TimeMs,
    /// When the last tick was handled.
    ticked_at: Option<TimeMs>,
}

impl Controller {
    /// Returns a controller without any state. Different controllers need different seeds.
    pub fn new(domain: FabricDomainId, settings: RepairSettings, seed: u64) -> Controller {
        let mut rng = SmallRng::seed_from_u64(seed);
        Controller {
            domain,
            settings,
            tag: rng.random(),
            rng,
            controls: false,
            vms: VmTable::default(),
            is_list_known: false,
            demands: None,
            store: PlanStore::default(),
            swaps: Swaps::default(),
            highest_reported_token: 0,
            orders: OrderTracker::default(),
            orders_allowed_at: TimeMs(0),
            ticked_at: None,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: TimeMs, event: Event) -> Vec<Action> {
        match event {
            Event::Role { controls } => self.controls = controls,
            Event::Members(listed) => {
                self.is_list_known = true;
                self.vms.on_list(now, listed);
            }
            Event::Probe {
                vm,
                sent_at,
                report,
            } => {
                if let Some(reported) = &report.assignment {
                    self.on_reported_assignment(reported);
                }
                self.vms.on_probe(&vm, sent_at, report);
            }
            Event::Demands(demands) => self.demands = Some(demands),
            Event::PlanRead {
                asked_at,
                version,
                plan,
            } => self.on_plan_found(now, asked_at, version, plan),
            Event::PlanWritten { asked_at, version } => {
                self.on_written(now, asked_at, version);
                if self.controls {
                    return self.issue_orders(now);
                }
            }
            Event::PlanConflict {
                asked_at,
                version,
                plan,
            } => self.on_plan_found(now, asked_at, version, plan),
            Event::PlanAmbiguous => {
                self.store.on_ambiguous();
                return self.store.read_if_due(now).into_iter().collect();
            }
            Event::PlatformFailed => self.store.on_failed(now, &mut self.rng),
            Event::OrderEnded { vm, result } => {
                if let OrderResult::Fenced { highest } = result {
                    self.on_seen_epoch(highest);
                }
                self.orders.on_ended(now, &vm, result);
            }
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    /// Returns the known plan and its version.
    pub fn plan(&self) -> Option<(PlanVersion, &Plan)> {
        let known = self.store.known()?;
        Some((known.version, &known.plan))
    }

    /// Returns the assignments that the members of all groups should have, including standby swaps.
    pub fn assignments(&self) -> Vec<Assignment> {
        let groups = self.store.known().map(|known| known.plan.groups.iter());
        let groups = groups.into_iter().flatten();
        groups.map(|group| self.swaps.effective(group)).collect()
    }

    /// Returns the number of groups of a deployment in the known plan.
    pub fn group_count(&self, deployment: &DeploymentId) -> usize {
        let groups = self.store.known().map(|known| known.plan.groups.iter());
        let groups = groups.into_iter().flatten();
        groups
            .filter(|group| &group.deployment == deployment)
            .count()
    }

    /// Returns the number of VMs that load weights on orders of this controller.
    pub fn loading_count(&self) -> usize {
        self.orders.loading_count()
    }

    fn on_reported_assignment(&mut self, reported: &Assignment) {
        if let Some(known) = self.store.known() {
            self.swaps.adopt(&known.plan, reported);
        }
        self.on_seen_epoch(reported.epoch);
    }

    /// Records an epoch seen by an engine. A fencing token above that of the known plan means that
    /// a newer plan is in force or that the stored plan was lost.
    fn on_seen_epoch(&mut self, epoch: Epoch) {
        let fence = epoch.fence();
        if fence > MAX_FENCE || fence <= self.highest_reported_token {
            return;
        }
        self.highest_reported_token = fence;
        if !self.knows_plan_of_reported_token() {
            self.store.request_read();
        }
    }

    /// Returns whether the known plan is as new as the highest fencing token that engines reported.
    fn knows_plan_of_reported_token(&self) -> bool {
        let known = self.store.known();
        known.is_some_and(|known| known.plan.fence >= self.highest_reported_token)
    }

    fn on_plan_found(&mut self, now: TimeMs, asked_at: TimeMs, version: PlanVersion, plan: Plan) {
        let had_plan = self.store.known().is_some();
        let is_by_other_controller = plan.writer != self.tag;
        let is_new = self
            .store
            .on_plan_found(now, asked_at, version, plan, &mut self.rng);
        if self.knows_plan_of_reported_token() {
            self.store.withdraw_read_request();
        }
        if is_new {
            self.on_new_plan(now);
        }
        if is_new && had_plan && is_by_other_controller {
            // Without a pause, two controllers could replace each other's plan in turn and never
            // get to send an order.
            let hold_ms = self
                .rng
                .random_range(MAX_REPLACE_DELAY_MS / 2..=MAX_REPLACE_DELAY_MS);
            self.store.delay_writes(now, hold_ms);
        }
    }

    fn on_written(&mut self, now: TimeMs, asked_at: TimeMs, version: PlanVersion) {
        let replaced = self.store.known().cloned();
        let written = self.store.on_written(now, asked_at, version, &mut self.rng);
        if written.is_none() {
            return;
        }
        if replaced.is_some_and(|old| old.version > PlanVersion(0) && old.plan.writer != self.tag) {
            // The previous writer may send orders until the time for which its plan permits them
            // has passed, and an order in transit may arrive after that.
            self.orders_allowed_at = now.plus_ms(ORDER_AUTHORITY_MS + ORDER_TRANSIT_MS);
        }
        self.on_new_plan(now);
    }

    fn on_new_plan(&mut self, now: TimeMs) {
        let Some(known) = self.store.known() else {
            return;
        };
        self.swaps.keep_valid(&known.plan);
        let planned = known.plan.groups.iter().flat_map(GroupPlan::all_vms);
        self.vms.add_planned(now, planned);
        // Assignments that engines reported before the plan was known may be swaps of its groups.
        for (_, record) in self.vms.records() {
            if let Some(reported) = &record.assignment {
                self.swaps.adopt(&known.plan, reported);
            }
        }
    }

    fn tick(&mut self, now: TimeMs) -> Vec<Action> {
        let was_paused = self
            .ticked_at
            .is_some_and(|at| now.since_ms(at) >= OWN_PAUSE_MS);
        if was_paused {
            self.vms.reset_missing_time(now);
        }
        self.ticked_at = Some(now);
        let mut actions = Vec::new();
        if self.controls && self.is_list_known {
            if self.store.is_unavailable() {
                self.swap_standbys(now);
            } else {
                actions.extend(self.write_if_due(now));
            }
            actions.extend(self.issue_orders(now));
        }
        actions.extend(self.store.read_if_due(now));
        actions
    }

    fn write_if_due(&mut self, now: TimeMs) -> Option<Action> {
        if !self.store.may_write(now) {
            return None;
        }
        let mut next = self.next_plan(now)?;
        next.writer = self.tag;
        self.store.write(now, next)
    }

    /// Returns the plan to write: the known plan with its swaps applied, then changed by the
    /// planner. `None` if there is nothing to write.
    fn next_plan(&mut self, now: TimeMs) -> Option<Plan> {
        let known = self.store.known()?;
        let demands = self.demands.as_ref()?;
        let fence = known.plan.fence.max(self.highest_reported_token) + 1;
        let base = self.with_swaps(known, fence);
        let views = self.vms.views(now, &self.settings);
        let serving = self.serving(now);
        let input = PlanInput {
            domain: &self.domain,
            current: &base,
            demands,
            vms: &views,
            serving: &serving,
            settings: &self.settings,
            fence,
        };
        let next = next_plan(&input, &mut self.rng);
        let must_write = base.groups != known.plan.groups || self.must_rewrite_as_own(now);
        next.or_else(|| must_write.then_some(Plan { fence, ..base }))
    }

    /// Returns the known plan with its swaps applied and with epochs that engines accept.
    fn with_swaps(&self, known: &KnownPlan, fence: u64) -> Plan {
        let mut base = known.plan.clone();
        // The plan was read again after a higher token was reported. If its own token is still
        // lower, the stored plan was lost and written from nothing or from an old copy. Engines
        // that have seen the higher token would refuse the epochs of its groups.
        let was_lost = self.highest_reported_token > known.plan.fence;
        let epoch = Epoch::from_fence(fence);
        for group in &mut base.groups {
            // The group keeps the epoch of the swap, so that writing the swap to the platform does
            // not interrupt service.
            if let Some(swapped) = self.swaps.get(&group.id) {
                group.apply_swap(swapped);
            }
            if was_lost || self.vms.any_reports_higher_epoch(group) {
                group.epoch = epoch;
            }
        }
        base
    }

    /// Returns the groups in which every member reported that it is ready.
    fn serving(&self, now: TimeMs) -> BTreeSet<GroupId> {
        let serving = self.assignments().into_iter().filter(|assignment| {
            let mut members = assignment.members.iter();
            members.all(|member| self.vms.confirms(&member.vm, assignment, now))
        });
        serving.map(|assignment| assignment.group).collect()
    }

    fn swap_standbys(&mut self, now: TimeMs) {
        let Some(known) = self.store.known() else {
            return;
        };
        if self.highest_reported_token > known.plan.fence {
            return;
        }
        let views = self.vms.views(now, &self.settings);
        let views: BTreeMap<_, &VmView> = views.iter().map(|view| (&view.member, view)).collect();
        for group in &known.plan.groups {
            if !self.is_certain(group) {
                continue;
            }
            self.swaps
                .swap(known.plan.fence, group, &self.vms, &views, now);
        }
    }

    /// Returns whether a group is the same in the known plan and in one whose write is uncertain.
    fn is_certain(&self, group: &GroupPlan) -> bool {
        let uncertain_write = self.store.uncertain_write();
        uncertain_write.is_none_or(|plan| plan.group(&group.id) == Some(group))
    }
}
