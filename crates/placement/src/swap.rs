//! Replaces lost members by standbys while the platform is unavailable.
//!
//! Without the platform no new plan can be written. A controller may still swap in standbys that
//! the plan assigns to the group, and the swap is written to the plan after the outage.

use std::collections::BTreeMap;

use jacinthpoint_types::{Assignment, Epoch, GroupId, MemberAddress, TimeMs};

use crate::{
    health::{VmHealth, VmTable, VmView},
    plan::{GroupPlan, Plan},
};

/// Swaps made by this controller or reported by engines since the plan was written, at most one per
/// group.
#[derive(Debug, Default)]
pub(crate) struct Swaps {
    by_group: BTreeMap<GroupId, Assignment>,
}

impl Swaps {
    pub(crate) fn get(&self, group: &GroupId) -> Option<&Assignment> {
        self.by_group.get(group)
    }

    /// Returns the assignment that the members of the group should have, including its swap.
    pub(crate) fn effective(&self, group: &GroupPlan) -> Assignment {
        let swapped = self.by_group.get(&group.id);
        swapped.cloned().unwrap_or_else(|| group.assignment())
    }

    /// Adopts a swap that an engine reports if it takes precedence over the known one. Every
    /// controller ranks swaps in the same way, so controllers that made different ones converge.
    pub(crate) fn adopt(&mut self, plan: &Plan, seen: &Assignment) {
        let Some(group) = plan.group(&seen.group) else {
            return;
        };
        let current = self.effective(group);
        if group.allows_swap(plan.fence, seen) && precedence(seen) > precedence(&current) {
            self.by_group.insert(group.id.clone(), seen.clone());
        }
    }

    /// Removes the swaps that a new plan already contains or does not allow.
    pub(crate) fn keep_valid(&mut self, plan: &Plan) {
        self.by_group.retain(|id, swapped| {
            plan.group(id)
                .is_some_and(|group| group.allows_swap(plan.fence, swapped))
        });
    }

    /// Replaces all lost members of a group and returns `true`, or changes nothing. Replacements
    /// are the group's standbys and planned members that were swapped out and are live again.
    ///
    /// The new epoch is above the one made from the plan's fencing token, because a standby may
    /// have seen that token in another group.
    pub(crate) fn swap(
        &mut self,
        fencing_token: u64,
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
        let base = current.epoch.max(Epoch::from_fence(fencing_token));
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
        if !group.allows_swap(fencing_token, &swapped)
            || !all_answer_and_none_has_newer(&swapped, vms, now)
        {
            return false;
        }
        self.by_group.insert(group.id.clone(), swapped);
        true
    }
}

/// Returns whether every member answers probes and none reported a newer assignment. A newer one
/// shows that this controller missed a plan, so it must not swap.
fn all_answer_and_none_has_newer(swapped: &Assignment, vms: &VmTable, now: TimeMs) -> bool {
    swapped.members.iter().all(|member| {
        vms.get(&member.vm).is_some_and(|record| {
            let reported = record.assignment.as_ref();
            record.is_answering(now) && reported.is_none_or(|own| own.epoch <= swapped.epoch)
        })
    })
}

/// Returns the key by which one of several swaps of a group takes precedence; the greatest wins.
fn precedence(assignment: &Assignment) -> (Epoch, &[MemberAddress]) {
    (assignment.epoch, &assignment.members)
}
