//! A plan in the making.

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
pub(super) struct Slot {
    /// Place of its demand, most important first.
    pub(super) demand: usize,
    pub(super) group: GroupPlan,
    /// Serves only until another group has taken its place.
    pub(super) is_outgoing: bool,
}

pub(super) struct Draft<'a> {
    pub(super) input: &'a PlanInput<'a>,
    pub(super) demands: Vec<&'a Demand>,
    pub(super) slots: Vec<Slot>,
    pub(super) views: BTreeMap<&'a VmId, &'a VmView>,
    /// Healthy VMs that no slot names.
    free: BTreeSet<VmId>,
    /// VMs that were planned anew in their own place.
    pub(super) renewed: BTreeSet<VmId>,
}

impl<'a> Draft<'a> {
    pub(super) fn new(input: &'a PlanInput<'a>) -> Draft<'a> {
        let mut demands: Vec<&Demand> = input.demands.iter().collect();
        demands.sort_by(|a, b| (a.priority, &a.deployment).cmp(&(b.priority, &b.deployment)));
        let views = input.vms.iter().map(|view| (&view.member.vm, view));
        let mut draft = Draft {
            input,
            demands,
            slots: Vec::new(),
            views: views.collect(),
            free: BTreeSet::new(),
            renewed: BTreeSet::new(),
        };
        draft.take_over_groups();
        draft.collect_free();
        draft
    }

    fn take_over_groups(&mut self) {
        for group in &self.input.current.groups {
            let of_group = |demand: &&Demand| demand.deployment == group.deployment;
            let Some(place) = self.demands.iter().position(of_group) else {
                continue;
            };
            let demand = self.demands[place];
            let mut group = group.clone();
            group.standbys.retain(|standby| self.may_stand_by(standby));
            group.standbys.truncate(usize::from(demand.standbys));
            let fits = group.model == demand.model
                && group.members.len() == usize::from(demand.group_size);
            self.slots.push(Slot {
                demand: place,
                group,
                is_outgoing: !fits,
            });
        }
    }

    fn collect_free(&mut self) {
        let live = self.views.values();
        let live = live.filter(|view| view.health == VmHealth::Live);
        let mut free: BTreeSet<VmId> = live.map(|view| view.member.vm.clone()).collect();
        for member in self.slots.iter().flat_map(|slot| slot.group.all_vms()) {
            free.remove(&member.vm);
        }
        self.free = free;
    }

    /// The view of a VM, if it still has the address that it was planned with.
    pub(super) fn view(&self, member: &MemberAddress) -> Option<&'a VmView> {
        let view = self.views.get(&member.vm).copied();
        view.filter(|view| &view.member == member)
    }

    /// Whether the planned member is gone for good, as far as is known. An engine that started
    /// again and a VM with another address are not the member that was planned.
    pub(super) fn is_lost(&self, member: &MemberAddress) -> bool {
        let Some(view) = self.view(member) else {
            return true;
        };
        let is_renewed = self.renewed.contains(&member.vm);
        view.health == VmHealth::Lost || (self.has_restarted(view) && !is_renewed)
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

    fn may_stand_by(&self, member: &MemberAddress) -> bool {
        self.view(member).is_some_and(|view| {
            matches!(
                view.health,
                VmHealth::Live | VmHealth::Damped | VmHealth::Suspect
            )
        })
    }

    /// Members that neither are missing nor about to go.
    pub(super) fn healthy_members(&self, group: &GroupPlan) -> usize {
        let healthy = group.members.iter().filter(|member| {
            let health = self.view(member).map(|view| view.health);
            matches!(health, Some(VmHealth::Live | VmHealth::Damped)) && !self.is_lost(member)
        });
        healthy.count()
    }

    pub(super) fn is_serving(&self, group: &GroupPlan) -> bool {
        self.input.serving.contains(&group.id)
    }

    pub(super) fn next_epoch(&self) -> Epoch {
        Epoch::from_fence(self.input.fence)
    }

    pub(super) fn free_count(&self) -> usize {
        self.free.len()
    }

    pub(super) fn take_free(&mut self) -> Option<MemberAddress> {
        let vm = self.free.pop_first()?;
        self.views.get(&vm).map(|view| view.member.clone())
    }

    /// Gives a VM back that no slot names any more.
    pub(super) fn give_back(&mut self, vm: &VmId) {
        let is_live = self
            .views
            .get(vm)
            .is_some_and(|view| view.health == VmHealth::Live);
        if is_live {
            self.free.insert(vm.clone());
        }
    }

    /// Takes a group out of the draft and frees its VMs.
    pub(super) fn dissolve(&mut self, place: usize) {
        let slot = self.slots.remove(place);
        for member in slot.group.all_vms() {
            self.give_back(&member.vm);
        }
    }

    /// Groups of a demand that are there to stay.
    pub(super) fn staying(&self, demand: usize) -> impl Iterator<Item = &Slot> {
        self.slots
            .iter()
            .filter(move |slot| slot.demand == demand && !slot.is_outgoing)
    }

    pub(super) fn wanted(&self, demand: usize) -> usize {
        usize::from(self.demands[demand].groups)
    }

    pub(super) fn finish(self) -> Option<Plan> {
        let groups: Vec<GroupPlan> = self.slots.into_iter().map(|slot| slot.group).collect();
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
