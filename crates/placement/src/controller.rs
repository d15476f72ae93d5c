//! The controller of one fabric domain.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{Assignment, DeploymentId, Epoch, FabricDomainId, GroupId, TimeMs};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    event::{Action, Demand, Event, OrderResult},
    health::{VmTable, VmView},
    orders::{ORDER_TRANSIT_MS, OrderBook},
    plan::{GroupPlan, Plan, PlanVersion},
    planner::{PlanInput, next_plan},
    settings::RepairSettings,
    store::{AUTHORITY_MS, KnownPlan, PlanStore},
    swap::Swaps,
};

mod ordering;

/// A controller that was not run for this long cannot tell a silent VM from its own pause.
const PAUSE_MS: u64 = 1_000;
/// How long a controller leaves a plan alone that another one has just written.
const CLAIM_HOLD_MS: u64 = 2_000;
/// Fences above this are not believed: the epoch of a group has no room for them.
const MAX_FENCE: u64 = 1 << 46;

/// Decides on the replica groups of one fabric domain.
///
/// Every node that probes the domain runs one, to know what its groups are; only the node that
/// the domain is dealt to lets it control. Several may believe that they control: the plan is
/// written by conditional update, and orders carry its fence.
#[derive(Debug)]
pub struct Controller {
    domain: FabricDomainId,
    settings: RepairSettings,
    rng: SmallRng,
    /// Tells this controller's plans from those of others.
    tag: u64,
    controls: bool,
    vms: VmTable,
    is_list_known: bool,
    demands: Option<Vec<Demand>>,
    store: PlanStore,
    swaps: Swaps,
    highest_fence: u64,
    orders: OrderBook,
    /// Before this an earlier controller may still give orders.
    may_order_at: TimeMs,
    ticked_at: Option<TimeMs>,
}

impl Controller {
    /// A controller that knows nothing yet. Different controllers need different seeds.
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
            highest_fence: 0,
            orders: OrderBook::default(),
            may_order_at: TimeMs(0),
            ticked_at: None,
        }
    }

    /// Takes in an event and returns what is to be done.
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
                if let Some(believed) = &report.assignment {
                    self.on_believed(believed);
                }
                self.vms.on_probe(&vm, sent_at, report);
            }
            Event::Demands(demands) => self.demands = Some(demands),
            Event::PlanRead {
                asked_at,
                version,
                plan,
            } => self.on_found(now, asked_at, version, plan),
            Event::PlanWritten { asked_at, version } => {
                self.on_written(now, asked_at, version);
                if self.controls {
                    return self.give_orders(now);
                }
            }
            Event::PlanConflict {
                asked_at,
                version,
                plan,
            } => self.on_found(now, asked_at, version, plan),
            Event::PlanAmbiguous => {
                self.store.on_ambiguous();
                return self.store.read_if_due(now).into_iter().collect();
            }
            Event::PlatformFailed => self.store.on_failed(now, &mut self.rng),
            Event::OrderEnded { vm, result } => {
                if let OrderResult::Fenced { highest } = result {
                    self.on_fence(highest);
                }
                self.orders.on_ended(now, &vm, result);
            }
            Event::Tick => return self.tick(now),
        }
        Vec::new()
    }

    /// The plan known, with its version.
    pub fn plan(&self) -> Option<(PlanVersion, &Plan)> {
        let known = self.store.known()?;
        Some((known.version, &known.plan))
    }

    /// The groups as their members shall believe in them, standby swaps included.
    pub fn assignments(&self) -> Vec<Assignment> {
        let groups = self.store.known().map(|known| known.plan.groups.iter());
        let groups = groups.into_iter().flatten();
        groups.map(|group| self.swaps.effective(group)).collect()
    }

    /// Groups that the domain has for each deployment in the plan known.
    pub fn group_count(&self, deployment: &DeploymentId) -> usize {
        let groups = self.store.known().map(|known| known.plan.groups.iter());
        let groups = groups.into_iter().flatten();
        groups
            .filter(|group| &group.deployment == deployment)
            .count()
    }

    /// VMs that load weights on this controller's orders.
    pub fn loading(&self) -> usize {
        self.orders.loading()
    }

    fn on_believed(&mut self, believed: &Assignment) {
        if let Some(known) = self.store.known() {
            self.swaps.adopt(&known.plan, believed);
        }
        self.on_fence(believed.epoch);
    }

    /// A fence above the plan's says that another plan is in force, or that the plan was lost.
    fn on_fence(&mut self, epoch: Epoch) {
        let fence = epoch.fence();
        if fence > MAX_FENCE || fence <= self.highest_fence {
            return;
        }
        self.highest_fence = fence;
        let known = self.store.known();
        if known.is_some_and(|known| known.plan.fence < fence) {
            self.store.want_read();
        }
    }

    fn on_found(&mut self, now: TimeMs, asked_at: TimeMs, version: PlanVersion, plan: Plan) {
        let had_plan = self.store.known().is_some();
        let is_foreign = plan.writer != self.tag;
        let is_new = self
            .store
            .on_found(now, asked_at, version, plan, &mut self.rng);
        if is_new {
            self.on_new_plan(now);
        }
        if is_new && had_plan && is_foreign {
            // Two controllers that claim the plan in turn would never get to order anything.
            let hold_ms = self.rng.random_range(CLAIM_HOLD_MS / 2..=CLAIM_HOLD_MS);
            self.store.hold_writes(now, hold_ms);
        }
    }

    fn on_written(&mut self, now: TimeMs, asked_at: TimeMs, version: PlanVersion) {
        let replaced = self.store.known().cloned();
        let written = self.store.on_written(now, asked_at, version, &mut self.rng);
        if written.is_none() {
            return;
        }
        if replaced.is_some_and(|old| old.version > PlanVersion(0) && old.plan.writer != self.tag) {
            self.may_order_at = now.plus_ms(AUTHORITY_MS + ORDER_TRANSIT_MS);
        }
        self.on_new_plan(now);
    }

    fn on_new_plan(&mut self, now: TimeMs) {
        let Some(known) = self.store.known() else {
            return;
        };
        self.swaps.keep_valid(&known.plan);
        let planned = known.plan.groups.iter().flat_map(GroupPlan::all_vms);
        self.vms.mention(now, planned);
        // What engines said before the plan was known may be swaps of it.
        for (_, record) in self.vms.records() {
            if let Some(believed) = &record.believed {
                self.swaps.adopt(&known.plan, believed);
            }
        }
    }

    fn tick(&mut self, now: TimeMs) -> Vec<Action> {
        let was_paused = self
            .ticked_at
            .is_some_and(|at| now.since_ms(at) >= PAUSE_MS);
        if was_paused {
            self.vms.forgive(now);
        }
        self.ticked_at = Some(now);
        let mut actions = Vec::new();
        if self.controls && self.is_list_known {
            if self.store.is_down() {
                self.swap_standbys(now);
            } else {
                actions.extend(self.write_if_due(now));
            }
            actions.extend(self.give_orders(now));
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

    /// The plan to write: swaps made known to the platform, then whatever else is to be changed.
    fn next_plan(&mut self, now: TimeMs) -> Option<Plan> {
        let known = self.store.known()?;
        let demands = self.demands.as_ref()?;
        let fence = known.plan.fence.max(self.highest_fence) + 1;
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
        let must_write = base.groups != known.plan.groups || self.must_claim(now);
        next.or_else(|| must_write.then_some(Plan { fence, ..base }))
    }

    fn with_swaps(&self, known: &KnownPlan, fence: u64) -> Plan {
        let mut base = known.plan.clone();
        // Engines that have seen a higher fence would refuse the groups' epochs: the plan was lost
        // and written anew from nothing, or from an old copy.
        let was_lost = self.highest_fence > known.plan.fence;
        let epoch = Epoch::from_fence(fence);
        for group in &mut base.groups {
            // The epoch stays the swap's, so that telling the platform stops no service.
            if let Some(swapped) = self.swaps.get(&group.id) {
                group.apply_swap(swapped);
            }
            if was_lost || self.vms.believe_above(group) {
                group.epoch = epoch;
            }
        }
        base
    }

    /// Groups whose members all confirm them.
    fn serving(&self, now: TimeMs) -> BTreeSet<GroupId> {
        let whole = self.assignments().into_iter().filter(|assignment| {
            let mut members = assignment.members.iter();
            members.all(|member| self.vms.confirms(&member.vm, assignment, now))
        });
        whole.map(|assignment| assignment.group).collect()
    }

    fn swap_standbys(&mut self, now: TimeMs) {
        let Some(known) = self.store.known() else {
            return;
        };
        if self.highest_fence > known.plan.fence {
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

    /// Whether a group is the same in the plan known and in one that may have been written.
    fn is_certain(&self, group: &GroupPlan) -> bool {
        let unsure = self.store.unsure();
        unsure.is_none_or(|plan| plan.group(&group.id) == Some(group))
    }
}
