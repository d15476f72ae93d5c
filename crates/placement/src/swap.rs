//! Standby swaps made while the platform cannot be asked.

use std::collections::BTreeMap;

use jacinthpoint_types::{Assignment, Epoch, GroupId, MemberAddress, TimeMs};

use crate::{
    health::{VmHealth, VmTable, VmView},
    plan::{GroupPlan, Plan},
};

/// Swaps made or seen since the plan was written, at most one a group.
#[derive(Debug, Default)]
pub(crate) struct Swaps {
    by_group: BTreeMap<GroupId, Assignment>,
}

impl Swaps {
    pub(crate) fn get(&self, group: &GroupId) -> Option<&Assignment> {
        self.by_group.get(group)
    }

    /// The group as its members shall believe in it now.
    pub(crate) fn effective(&self, group: &GroupPlan) -> Assignment {
        let swapped = self.by_group.get(&group.id);
        swapped.cloned().unwrap_or_else(|| group.assignment())
    }

    /// Takes over a swap that an engine reports. Of two swaps the greater one counts, for every
    /// controller alike, so controllers that swapped differently come to agree.
    pub(crate) fn adopt(&mut self, plan: &Plan, seen: &Assignment) {
        let Some(group) = plan.group(&seen.group) else {
            return;
        };
        let current = self.effective(group);
        if group.allows_swap(plan.fence, seen) && rank(seen) > rank(&current) {
            self.by_group.insert(group.id.clone(), seen.clone());
        }
    }

    /// Drops the swaps that a newly learned plan already contains or overrules.
    pub(crate) fn keep_valid(&mut self, plan: &Plan) {
        self.by_group.retain(|id, swapped| {
            plan.group(id)
                .is_some_and(|group| group.allows_swap(plan.fence, swapped))
        });
    }

    /// Replaces the lost members of a group by its own standbys, all of them or none.
    pub(crate) fn swap(
        &mut self,
        fence: u64,
        group: &GroupPlan,
        vms: &VmTable,
        views: &BTreeMap<&MemberAddress, &VmView>,
        now: TimeMs,
    ) -> bool {
        let current = self.effective(group);
        let health = |member: &MemberAddress| views.get(member).map(|view| view.health);
        let is_lost = |member: &MemberAddress| health(member).is_none_or(|h| h == VmHealth::Lost);
        if !current.members.iter().any(is_lost) {
            return false;
        }
        let mut spare = group
            .all_vms()
            .filter(|member| !current.members.contains(member))
            .filter(|member| health(member) == Some(VmHealth::Live));
        let base = current.epoch.max(Epoch::from_fence(fence));
        let Some(epoch) = base.after_swap() else {
            return false;
        };
        let mut swapped = Assignment {
            epoch,
            ..current.clone()
        };
        for member in swapped.members.iter_mut().filter(|member| is_lost(member)) {
            match spare.next() {
                Some(standby) => *member = standby.clone(),
                None => return false,
            }
        }
        if !group.allows_swap(fence, &swapped) || !all_answer_below(&swapped, vms, now) {
            return false;
        }
        self.by_group.insert(group.id.clone(), swapped);
        true
    }
}

/// Whether every member answers and believes in nothing newer than this assignment. A controller
/// that missed a newer plan sees it here and must not act on its own.
fn all_answer_below(swapped: &Assignment, vms: &VmTable, now: TimeMs) -> bool {
    swapped.members.iter().all(|member| {
        vms.get(&member.vm).is_some_and(|record| {
            let believed = record.believed.as_ref();
            record.is_answering(now) && believed.is_none_or(|own| own.epoch <= swapped.epoch)
        })
    })
}

fn rank(assignment: &Assignment) -> (Epoch, &[MemberAddress]) {
    (assignment.epoch, &assignment.members)
}
