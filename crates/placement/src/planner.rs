//! The next plan of a fabric domain.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{
    DeploymentId, Epoch, FabricDomainId, GroupId, MemberAddress, ModelRef, Priority, VmId,
};

use crate::plan::{GroupPlan, Plan};

/// What is known of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmHealth {
    /// It answers.
    Live,
    /// It does not answer, or is slow, and may come back.
    Suspect,
    /// It is about to go.
    Leaving,
}

/// A VM of the domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmView {
    /// The VM and where its engine listens.
    pub member: MemberAddress,
    /// What is known of it.
    pub health: VmHealth,
}

/// Groups that a deployment wants in this domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The deployment.
    pub deployment: DeploymentId,
    /// What it serves.
    pub model: ModelRef,
    /// Groups wanted.
    pub groups: u16,
    /// Members of each.
    pub group_size: u16,
    /// Standbys of each.
    pub standbys: u16,
    /// Importance.
    pub priority: Priority,
}

/// The plan that should replace `current`, or `None` if it should stay.
///
/// `demands` are served most important first.
pub fn next_plan(
    domain: &FabricDomainId,
    current: &Plan,
    demands: &[Demand],
    vms: &[VmView],
) -> Option<Plan> {
    let mut draft = Draft::new(domain, current, vms);
    let mut demands: Vec<&Demand> = demands.iter().collect();
    demands.sort_by(|a, b| (a.priority, &a.deployment).cmp(&(b.priority, &b.deployment)));
    let kept: Vec<Vec<GroupPlan>> = demands
        .iter()
        .map(|demand| draft.keep_groups(demand, current))
        .collect();
    for (demand, mut groups) in demands.into_iter().zip(kept) {
        draft.repair(&mut groups);
        draft.form(demand, &mut groups);
        draft.groups.extend(groups);
    }
    draft.finish(current)
}

struct Draft<'a> {
    domain: &'a FabricDomainId,
    fence: u64,
    live: BTreeMap<&'a VmId, &'a MemberAddress>,
    used: BTreeSet<VmId>,
    groups: Vec<GroupPlan>,
}

impl<'a> Draft<'a> {
    fn new(domain: &'a FabricDomainId, current: &Plan, vms: &'a [VmView]) -> Draft<'a> {
        let live = vms.iter().filter(|vm| vm.health == VmHealth::Live);
        Draft {
            domain,
            fence: current.fence + 1,
            live: live.map(|vm| (&vm.member.vm, &vm.member)).collect(),
            used: BTreeSet::new(),
            groups: Vec::new(),
        }
    }

    fn is_live(&self, member: &MemberAddress) -> bool {
        self.live.get(&member.vm) == Some(&member)
    }

    /// Takes over the groups that still match the demand; their live VMs stay theirs.
    fn keep_groups(&mut self, demand: &Demand, current: &Plan) -> Vec<GroupPlan> {
        let matching = current.groups.iter().filter(|group| {
            group.deployment == demand.deployment
                && group.model == demand.model
                && group.members.len() == usize::from(demand.group_size)
        });
        let mut groups: Vec<GroupPlan> = matching.cloned().collect();
        groups.truncate(usize::from(demand.groups));
        for group in &mut groups {
            group.standbys.retain(|standby| self.is_live(standby));
            group.standbys.truncate(usize::from(demand.standbys));
            let live = group.all_vms().filter(|member| self.is_live(member));
            let live: Vec<VmId> = live.map(|member| member.vm.clone()).collect();
            self.used.extend(live);
        }
        groups
    }

    /// Replaces members that are gone, or drops the group and frees its members.
    fn repair(&mut self, groups: &mut Vec<GroupPlan>) {
        groups.retain_mut(|group| {
            let lost: Vec<usize> = (0..group.members.len())
                .filter(|&rank| !self.is_live(&group.members[rank]))
                .collect();
            for &rank in &lost {
                let replacement = group.standbys.pop().or_else(|| self.take_free());
                let Some(replacement) = replacement else {
                    for member in group.all_vms() {
                        self.used.remove(&member.vm);
                    }
                    return false;
                };
                group.members[rank] = replacement;
            }
            if !lost.is_empty() {
                group.epoch = Epoch::from_fence(self.fence);
            }
            true
        });
    }

    /// Forms the groups that are missing, then fills up standbys.
    fn form(&mut self, demand: &Demand, groups: &mut Vec<GroupPlan>) {
        while groups.len() < usize::from(demand.groups) {
            if self.free_count() < usize::from(demand.group_size) {
                break;
            }
            let members = (0..demand.group_size)
                .filter_map(|_| self.take_free())
                .collect();
            let number = self.groups.len() + groups.len();
            let name = format!("{}.{}.{number}", self.domain, self.fence);
            let Ok(id) = name.parse::<GroupId>() else {
                break;
            };
            groups.push(GroupPlan {
                id,
                deployment: demand.deployment.clone(),
                model: demand.model.clone(),
                epoch: Epoch::from_fence(self.fence),
                members,
                standbys: Vec::new(),
            });
        }
        for group in groups {
            while group.standbys.len() < usize::from(demand.standbys) {
                let Some(standby) = self.take_free() else {
                    break;
                };
                group.standbys.push(standby);
            }
        }
    }

    fn free_count(&self) -> usize {
        self.live
            .keys()
            .filter(|vm| !self.used.contains(**vm))
            .count()
    }

    fn take_free(&mut self) -> Option<MemberAddress> {
        let free = self.live.iter().find(|(vm, _)| !self.used.contains(**vm));
        let member = free.map(|(_, member)| (*member).clone())?;
        self.used.insert(member.vm.clone());
        Some(member)
    }

    fn finish(self, current: &Plan) -> Option<Plan> {
        let changed = self.groups != current.groups;
        changed.then_some(Plan {
            fence: self.fence,
            groups: self.groups,
        })
    }
}
