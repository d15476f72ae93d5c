//! Replaces lost and leaving members, and frees VMs of other groups for groups that cannot be
//! repaired with their own standbys and free VMs.

use std::cmp::Reverse;

use jacinthpoint_types::{GroupId, MemberAddress, Priority, VmId};

use crate::{
    health::VmHealth,
    planner::draft::{Draft, DraftGroup},
};

impl Draft<'_> {
    /// Replaces lost and leaving members with standbys of the group and with free VMs.
    pub(super) fn repair_groups(&mut self) {
        for index in self.indices_by_priority() {
            if !self.groups[index].is_outgoing {
                self.repair(index);
            }
        }
        // A broken outgoing group does not serve and is not worth the load of a new member, so its
        // VMs are freed.
        let mut index = 0;
        while index < self.groups.len() {
            let group = &self.groups[index];
            if group.is_outgoing && self.is_broken(group) {
                self.dissolve(index);
            } else {
                index += 1;
            }
        }
    }

    fn indices_by_priority(&self) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..self.groups.len()).collect();
        indices.sort_by_key(|&index| self.groups[index].demand);
        indices
    }

    /// Returns whether the group has a lost member and therefore cannot serve.
    pub(super) fn is_broken(&self, group: &DraftGroup) -> bool {
        group.plan.members.iter().any(|member| self.is_lost(member))
    }

    /// Replaces all lost members and then, as far as VMs are available, the leaving ones. Changes
    /// nothing and returns `false` if a lost member cannot be replaced.
    fn repair(&mut self, index: usize) -> bool {
        let plan = &self.groups[index].plan;
        let lost = plan.members.iter().filter(|member| self.is_lost(member));
        let lost: Vec<MemberAddress> = lost.cloned().collect();
        if !lost.is_empty() && !self.replace_members(index, &lost) {
            return false;
        }
        let plan = &self.groups[index].plan;
        let leaving = plan.members.iter().filter(|member| self.is_leaving(member));
        for member in leaving.cloned().collect::<Vec<MemberAddress>>() {
            self.replace_members(index, &[member]);
        }
        true
    }

    /// Replaces all of these members, or changes nothing and returns `false`.
    fn replace_members(&mut self, index: usize, replaced: &[MemberAddress]) -> bool {
        let standbys = self.groups[index].plan.standbys.clone();
        let mut found = Vec::new();
        for member in replaced {
            match self.replacement(index, member) {
                Some(replacement) => found.push(replacement),
                None => break,
            }
        }
        // A member that would be replaced by its own VM was not taken from the free ones.
        let is_other_vm = |vm: &VmId| replaced.iter().all(|member| &member.vm != vm);
        if found.len() < replaced.len() {
            let unused = found.into_iter().filter(|member| is_other_vm(&member.vm));
            for member in unused.filter(|member| !standbys.contains(member)) {
                self.release(&member.vm);
            }
            self.groups[index].plan.standbys = standbys;
            return false;
        }
        self.substitute(index, replaced, &found);
        true
    }

    /// Puts the replacements into the ranks of the members that they replace, under a new epoch.
    fn substitute(&mut self, index: usize, replaced: &[MemberAddress], found: &[MemberAddress]) {
        let epoch = self.next_epoch();
        let plan = &mut self.groups[index].plan;
        plan.epoch = epoch;
        for (member, replacement) in replaced.iter().zip(found) {
            if let Some(rank) = plan.members.iter().position(|other| other == member) {
                plan.members[rank] = replacement.clone();
            }
        }
        self.reassigned
            .extend(found.iter().map(|member| member.vm.clone()));
        for member in replaced {
            if found.iter().all(|replacement| replacement.vm != member.vm) {
                self.release(&member.vm);
            }
        }
    }

    /// Returns the replacement of a member: the same VM if it is live again (its engine restarted
    /// or its address changed), else a standby of the group, else a free VM.
    fn replacement(&mut self, index: usize, replaced: &MemberAddress) -> Option<MemberAddress> {
        let same_vm = self.views.get(&replaced.vm).map(|view| view.member.clone());
        if let Some(same_vm) = same_vm.filter(|member| self.is_live(member)) {
            return Some(same_vm);
        }
        if !self.input.settings.repairs.replace {
            return None;
        }
        let standbys = &self.groups[index].plan.standbys;
        if let Some(standby) = standbys.iter().position(|standby| self.is_live(standby)) {
            return Some(self.groups[index].plan.standbys.remove(standby));
        }
        self.take_free()
    }

    /// Frees VMs of other groups for the groups that are still broken and repairs them, in order of
    /// priority.
    pub(super) fn free_vms_for_broken_groups(&mut self) {
        let ids: Vec<_> = self
            .indices_by_priority()
            .into_iter()
            .filter(|&index| self.is_broken(&self.groups[index]))
            .map(|index| self.groups[index].plan.id.clone())
            .collect();
        for id in ids {
            while let Some(index) = self.groups.iter().position(|group| group.plan.id == id) {
                if !self.is_broken(&self.groups[index]) || self.repair(index) {
                    break;
                }
                let has_freed_vms = self.reclaim_standbys_for(index)
                    || self.dissolve_outgoing_for(index)
                    || self.dissolve_other_broken(index)
                    || self.preempt_lower_priority(index);
                if !has_freed_vms {
                    break;
                }
            }
        }
    }

    /// Frees standbys of other groups for a broken group, if there are enough of them. This
    /// interrupts no service.
    fn reclaim_standbys_for(&mut self, broken: usize) -> bool {
        let group = &self.groups[broken];
        let missing = self.missing_vms(group);
        // Enough VMs are free, so the repair failed because replacing members is not allowed.
        if missing <= self.free_count() {
            return false;
        }
        let priority = self.demands[group.demand].priority;
        let id = group.plan.id.clone();
        self.reclaim_standbys(missing, priority, Some(&id))
    }

    /// Frees standbys of groups of the same or a lower priority until `needed` VMs are free. Frees
    /// none and returns `false` if there are too few.
    pub(super) fn reclaim_standbys(
        &mut self,
        needed: usize,
        priority: Priority,
        except: Option<&GroupId>,
    ) -> bool {
        let needed = needed.saturating_sub(self.free_count());
        if needed == 0 {
            return true;
        }
        let reclaimable = self.reclaimable_standbys(priority, except);
        if !self.input.settings.repairs.replace || reclaimable.len() < needed {
            return false;
        }
        for (index, standby) in reclaimable.into_iter().take(needed) {
            let standbys = &mut self.groups[index].plan.standbys;
            standbys.retain(|other| other != &standby);
            self.release(&standby.vm);
        }
        true
    }

    /// Returns the live standbys of groups of the same or a lower priority, each with the index of
    /// its group, those of the least important group first.
    pub(super) fn reclaimable_standbys(
        &self,
        priority: Priority,
        except: Option<&GroupId>,
    ) -> Vec<(usize, MemberAddress)> {
        let mut donors: Vec<usize> = (0..self.groups.len())
            .filter(|&index| Some(&self.groups[index].plan.id) != except)
            // A greater `Priority` is less important.
            .filter(|&index| self.demands[self.groups[index].demand].priority >= priority)
            .collect();
        donors.sort_by_key(|&index| Reverse(self.groups[index].demand));
        let standbys = donors.into_iter().flat_map(|index| {
            let standbys = self.groups[index].plan.standbys.iter();
            standbys.map(move |standby| (index, standby.clone()))
        });
        standbys
            .filter(|(_, standby)| self.is_live(standby))
            .collect()
    }

    /// Returns the number of VMs that a broken group needs beyond its own standbys. A member whose
    /// engine restarted can rejoin and needs no other VM.
    fn missing_vms(&self, group: &DraftGroup) -> usize {
        let lost = group.plan.members.iter().filter(|member| {
            let same_vm = self.views.get(&member.vm);
            self.is_lost(member) && same_vm.is_none_or(|view| view.health != VmHealth::Live)
        });
        let standbys = group.plan.standbys.iter();
        let own = standbys.filter(|standby| self.is_live(standby)).count();
        lost.count().saturating_sub(own)
    }

    /// Returns the number of live VMs that dissolving a group frees.
    pub(super) fn vms_freed_by(&self, group: &DraftGroup) -> usize {
        let vms = group.plan.all_vms();
        let live = vms.filter(|member| {
            let view = self.views.get(&member.vm);
            view.is_some_and(|view| view.health == VmHealth::Live)
        });
        live.count()
    }

    /// Dissolves an outgoing group of the same deployment for a broken group, unless another group
    /// of the deployment is still forming. Returns whether a group was dissolved.
    fn dissolve_outgoing_for(&mut self, broken: usize) -> bool {
        let group = &self.groups[broken];
        let (demand, missing) = (group.demand, self.missing_vms(group));
        let mut retained = self.retained_groups(demand);
        let is_forming =
            retained.any(|group| !self.is_broken(group) && !self.is_serving(&group.plan));
        drop(retained);
        let victim = (0..self.groups.len()).find(|&index| {
            let other = &self.groups[index];
            let freed = self.vms_freed_by(other) + self.free_count();
            other.demand == demand && other.is_outgoing && freed >= missing
        });
        match victim {
            Some(index) if !is_forming => self.dissolve(index),
            _ => return false,
        }
        true
    }

    /// Dissolves another broken group of the same or a lower priority, the one with the fewest
    /// healthy members, if that costs less than waiting for the lost members. Returns whether a
    /// group was dissolved.
    fn dissolve_other_broken(&mut self, broken: usize) -> bool {
        if !self.input.settings.repairs.dissolve {
            return false;
        }
        let group = &self.groups[broken];
        let priority = self.demands[group.demand].priority;
        let own_healthy = self.healthy_members(&group.plan);
        let cost = self.outage_cost(group.demand, own_healthy);
        let wait_s = self.expected_wait_s(group);
        let missing = self.missing_vms(group);
        let victims = (0..self.groups.len()).filter(|&index| {
            let other = &self.groups[index];
            index != broken
                && self.is_broken(other)
                && self.demands[other.demand].priority >= priority
                && self.vms_freed_by(other) + self.free_count() >= missing
                && self.is_dissolution_worthwhile(other, cost, wait_s)
        });
        let victim = victims.min_by_key(|&index| self.healthy_members(&self.groups[index].plan));
        if let Some(index) = victim {
            self.dissolve(index);
        }
        victim.is_some()
    }

    /// Dissolves the least important group of strictly lower priority if that costs less than
    /// waiting for the lost members. Returns whether a group was dissolved.
    fn preempt_lower_priority(&mut self, broken: usize) -> bool {
        if !self.input.settings.repairs.preempt {
            return false;
        }
        let group = &self.groups[broken];
        let priority = self.demands[group.demand].priority;
        let missing = self.missing_vms(group);
        let victims = (0..self.groups.len()).filter(|&index| {
            let other = &self.groups[index];
            self.demands[other.demand].priority > priority
                && self.vms_freed_by(other) + self.free_count() >= missing
                && self.is_preemption_worthwhile(group, other)
        });
        let victim = victims.max_by_key(|&index| {
            let other = &self.groups[index];
            (other.demand, Reverse(other.plan.members.len()))
        });
        if let Some(index) = victim {
            self.dissolve(index);
        }
        victim.is_some()
    }
}
