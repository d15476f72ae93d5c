//! The draft of the next plan, which the steps of the planner change in turn.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{Epoch, MemberAddress, VmId};

use crate::{
    event::Demand,
    health::{VmHealth, VmView},
    plan::{GroupPlan, Plan},
    planner::PlanInput,
};

/// A group of the draft.
#[derive(Debug, Clone)]
pub(super) struct DraftGroup {
    /// Index of the group's demand in [`Draft::demands`].
    pub(super) demand: usize,
    /// The group in the next plan.
    pub(super) plan: GroupPlan,
    /// Whether the group serves only until another group replaces it.
    pub(super) is_outgoing: bool,
}

/// Groups of the next plan and the VMs that are left for them.
pub(super) struct Draft<'a> {
    pub(super) input: &'a PlanInput<'a>,
    /// Demands in order of priority, the most important first. A greater `Priority` is less
    /// important.
    pub(super) demands: Vec<&'a Demand>,
    pub(super) groups: Vec<DraftGroup>,
    pub(super) views: BTreeMap<&'a VmId, &'a VmView>,
    /// Live VMs that belong to no group of the draft.
    free: BTreeSet<VmId>,
    /// VMs that this draft put in the place of a lost or leaving member. A member whose engine
    /// restarted can be replaced by its own VM. The new incarnation then no longer makes that VM
    /// count as lost.
    pub(super) reassigned: BTreeSet<VmId>,
}

impl<'a> Draft<'a> {
    pub(super) fn new(input: &'a PlanInput<'a>) -> Draft<'a> {
        let mut demands: Vec<&Demand> = input.demands.iter().collect();
        demands.sort_by(|a, b| (a.priority, &a.deployment).cmp(&(b.priority, &b.deployment)));
        let views = input.vms.iter().map(|view| (&view.member.vm, view));
        let mut draft = Draft {
            input,
            demands,
            groups: Vec::new(),
            views: views.collect(),
            free: BTreeSet::new(),
            reassigned: BTreeSet::new(),
        };
        draft.copy_current_groups();
        draft.find_free_vms();
        draft
    }

    /// Copies the groups of the current plan whose deployment still has a demand, without standbys
    /// that are unfit or beyond the number demanded. Groups of another model or size than demanded
    /// are outgoing.
    fn copy_current_groups(&mut self) {
        for group in &self.input.current.groups {
            let is_demand_of_group = |demand: &&Demand| demand.deployment == group.deployment;
            let Some(index) = self.demands.iter().position(is_demand_of_group) else {
                continue;
            };
            let demand = self.demands[index];
            let mut plan = group.clone();
            plan.standbys.retain(|standby| self.can_stand_by(standby));
            plan.standbys.truncate(usize::from(demand.standbys));
            let fits =
                plan.model == demand.model && plan.members.len() == usize::from(demand.group_size);
            self.groups.push(DraftGroup {
                demand: index,
                plan,
                is_outgoing: !fits,
            });
        }
    }

    fn find_free_vms(&mut self) {
        let live = self.views.values();
        let live = live.filter(|view| view.health == VmHealth::Live);
        let mut free: BTreeSet<VmId> = live.map(|view| view.member.vm.clone()).collect();
        for member in self.groups.iter().flat_map(|group| group.plan.all_vms()) {
            free.remove(&member.vm);
        }
        self.free = free;
    }

    /// Returns the state of a planned member's VM, unless its address has changed since.
    pub(super) fn view(&self, member: &MemberAddress) -> Option<&'a VmView> {
        let view = self.views.get(&member.vm).copied();
        view.filter(|view| &view.member == member)
    }

    /// Returns whether the planned member is considered dead.
    ///
    /// A restarted engine has lost its weights, and a VM at another address is treated as
    /// another machine, so neither counts as the planned member.
    pub(super) fn is_lost(&self, member: &MemberAddress) -> bool {
        let Some(view) = self.view(member) else {
            return true;
        };
        let is_reassigned = self.reassigned.contains(&member.vm);
        view.health == VmHealth::Lost || (self.has_restarted(view) && !is_reassigned)
    }

    fn has_restarted(&self, view: &VmView) -> bool {
        let planned = self.input.current.incarnations.get(&view.member.vm);
        match (planned, view.incarnation) {
            (Some(planned), Some(seen)) => *planned != seen,
            _ => false,
        }
    }

    pub(super) fn is_leaving(&self, member: &MemberAddress) -> bool {
        self.view(member)
            .is_some_and(|view| view.health == VmHealth::Leaving)
    }

    pub(super) fn is_live(&self, member: &MemberAddress) -> bool {
        self.view(member)
            .is_some_and(|view| view.health == VmHealth::Live)
    }

    fn can_stand_by(&self, member: &MemberAddress) -> bool {
        self.view(member).is_some_and(|view| {
            matches!(
                view.health,
                VmHealth::Live | VmHealth::Flapping | VmHealth::Suspect
            )
        })
    }

    /// Returns the number of members that are live or flapping and not lost.
    pub(super) fn healthy_members(&self, group: &GroupPlan) -> usize {
        let healthy = group.members.iter().filter(|member| {
            let health = self.view(member).map(|view| view.health);
            matches!(health, Some(VmHealth::Live | VmHealth::Flapping)) && !self.is_lost(member)
        });
        healthy.count()
    }

    /// Returns whether every member reported that it is ready in this group.
    pub(super) fn is_serving(&self, group: &GroupPlan) -> bool {
        self.input.serving.contains(&group.id)
    }

    pub(super) fn next_epoch(&self) -> Epoch {
        Epoch::from_fence(self.input.fence)
    }

    pub(super) fn free_count(&self) -> usize {
        self.free.len()
    }

    /// Removes a VM from the free ones and returns it.
    pub(super) fn take_free(&mut self) -> Option<MemberAddress> {
        let vm = self.free.pop_first()?;
        self.views.get(&vm).map(|view| view.member.clone())
    }

    /// Adds a VM that has left its group to the free ones, if it is live.
    pub(super) fn release(&mut self, vm: &VmId) {
        let is_live = self
            .views
            .get(vm)
            .is_some_and(|view| view.health == VmHealth::Live);
        if is_live {
            self.free.insert(vm.clone());
        }
    }

    /// Removes a group from the draft and frees its VMs.
    pub(super) fn dissolve(&mut self, index: usize) {
        let group = self.groups.remove(index);
        for member in group.plan.all_vms() {
            self.release(&member.vm);
        }
    }

    /// Returns the groups of a demand that are not outgoing.
    pub(super) fn retained_groups(&self, demand: usize) -> impl Iterator<Item = &DraftGroup> {
        self.groups
            .iter()
            .filter(move |group| group.demand == demand && !group.is_outgoing)
    }

    /// Returns the number of groups wanted of a demand.
    pub(super) fn wanted_groups(&self, demand: usize) -> usize {
        usize::from(self.demands[demand].groups)
    }

    /// Returns the finished plan, or `None` if its groups are the same as those of the current
    /// plan.
    pub(super) fn finish(self) -> Option<Plan> {
        let groups: Vec<GroupPlan> = self.groups.into_iter().map(|group| group.plan).collect();
        if groups == self.input.current.groups {
            return None;
        }
        let planned = groups.iter().flat_map(GroupPlan::all_vms);
        let incarnations = planned.filter_map(|member| {
            let old = self.input.current.incarnations.get(&member.vm).copied();
            let seen = self.views.get(&member.vm).and_then(|view| view.incarnation);
            Some((member.vm.clone(), seen.or(old)?))
        });
        Some(Plan {
            fence: self.input.fence,
            incarnations: incarnations.collect(),
            writer: self.input.current.writer,
            groups,
        })
    }
}
