//! Forms missing groups, replaces outgoing groups by new ones, and assigns standbys.
//!
//! A group is outgoing if its model or size is no longer the one demanded, or if one of its members
//! is leaving and another group replaces it or can be formed first. An outgoing group serves until
//! another one replaces it, if there are enough VMs for both.

use jacinthpoint_types::{GroupId, MemberAddress};
use rand::{Rng, rngs::SmallRng};

use crate::{
    plan::GroupPlan,
    planner::draft::{Draft, DraftGroup},
};

/// Bytes of the domain's name in a group id. A longer prefix could exceed the maximum length of a
/// name.
const DOMAIN_PREFIX_BYTES: usize = 24;

impl Draft<'_> {
    /// Marks groups with a leaving member as outgoing if another group already replaces them or if
    /// enough VMs are free to form the replacement first.
    pub(super) fn mark_outgoing(&mut self) {
        let mut free = self.free_count();
        for demand in 0..self.demands.len() {
            let size = usize::from(self.demands[demand].group_size);
            let leaving_groups: Vec<usize> = (0..self.groups.len())
                .filter(|&index| self.groups[index].demand == demand)
                .filter(|&index| !self.groups[index].is_outgoing)
                .filter(|&index| self.has_leaving_member(&self.groups[index]))
                .collect();
            let unaffected = self.retained_groups(demand).count() - leaving_groups.len();
            // Number of wanted groups that only groups with a leaving member can provide.
            let mut still_needed = self.wanted_groups(demand).saturating_sub(unaffected);
            for index in leaving_groups {
                if still_needed == 0 {
                    self.groups[index].is_outgoing = true;
                } else if free >= size {
                    self.groups[index].is_outgoing = true;
                    free -= size;
                    still_needed -= 1;
                } else {
                    still_needed -= 1;
                }
            }
        }
    }

    fn has_leaving_member(&self, group: &DraftGroup) -> bool {
        group
            .plan
            .members
            .iter()
            .any(|member| self.is_leaving(member))
    }

    /// Dissolves groups beyond the number wanted; those that do not serve go first.
    pub(super) fn dissolve_surplus(&mut self) {
        for demand in 0..self.demands.len() {
            while self.retained_groups(demand).count() > self.wanted_groups(demand) {
                let indices = (0..self.groups.len()).filter(|&index| {
                    self.groups[index].demand == demand && !self.groups[index].is_outgoing
                });
                let worst = indices.max_by_key(|&index| {
                    let plan = &self.groups[index].plan;
                    (!self.is_serving(plan), plan.epoch)
                });
                let Some(worst) = worst else { break };
                self.dissolve(worst);
            }
        }
    }

    /// Dissolves the outgoing groups that serving groups have replaced.
    pub(super) fn dissolve_replaced(&mut self) {
        for demand in 0..self.demands.len() {
            let retained = self.retained_groups(demand);
            let serving = retained
                .filter(|group| self.is_serving(&group.plan))
                .count();
            let needed = self.wanted_groups(demand).saturating_sub(serving);
            for _ in needed..self.outgoing_indices(demand).len() {
                if let Some(index) = self.least_useful(self.outgoing_indices(demand).into_iter()) {
                    self.dissolve(index);
                }
            }
        }
    }

    fn outgoing_indices(&self, demand: usize) -> Vec<usize> {
        (0..self.groups.len())
            .filter(|&index| self.groups[index].demand == demand && self.groups[index].is_outgoing)
            .collect()
    }

    /// Returns a group that does not serve if there is one; of several, the one with the fewest
    /// healthy members.
    fn least_useful(&self, indices: impl Iterator<Item = usize>) -> Option<usize> {
        indices.min_by_key(|&index| {
            let plan = &self.groups[index].plan;
            (self.is_serving(plan), self.healthy_members(plan))
        })
    }

    /// Forms the missing groups of all demands.
    ///
    /// A demand gets its standbys before or after the groups of less important demands are formed,
    /// depending on [`groups_before_standbys`].
    ///
    /// [`groups_before_standbys`]: crate::settings::RepairSettings::groups_before_standbys
    pub(super) fn form_groups(&mut self, rng: &mut SmallRng) {
        let groups_first = |draft: &Draft<'_>, demand: usize| {
            let size = draft.demands[demand].group_size;
            draft.input.settings.groups_before_standbys(size)
        };
        for demand in 0..self.demands.len() {
            self.form_groups_of(demand, rng);
            if !groups_first(self, demand) {
                self.fill_standbys_of(demand);
            }
        }
    }

    fn form_groups_of(&mut self, demand: usize, rng: &mut SmallRng) {
        let size = usize::from(self.demands[demand].group_size);
        if size == 0 {
            return;
        }
        while self.retained_groups(demand).count() < self.wanted_groups(demand) {
            let has_vms = self.reclaim_standbys(size, self.demands[demand].priority, None)
                || self.dissolve_outgoing_for_new(demand, size)
                || self.dissolve_broken_for_new(demand, size);
            if !has_vms || !self.form_group(demand, rng) {
                return;
            }
        }
    }

    /// Dissolves outgoing groups until `size` VMs are free, provided that all groups of the demand
    /// that are not outgoing serve. Returns whether enough VMs are free.
    ///
    /// If there are too few VMs for the old and the new version side by side, one group is replaced
    /// at a time.
    fn dissolve_outgoing_for_new(&mut self, demand: usize, size: usize) -> bool {
        let all_serve = self
            .retained_groups(demand)
            .all(|group| self.is_serving(&group.plan));
        if !all_serve {
            return false;
        }
        let outgoing = self.outgoing_indices(demand).into_iter();
        let freed: usize = outgoing
            .map(|index| self.vms_freed_by(&self.groups[index]))
            .sum();
        let priority = self.demands[demand].priority;
        if freed + self.reclaimable_standbys(priority, None).len() + self.free_count() < size {
            return false;
        }
        // More than one group is dissolved only if none of them alone frees enough VMs, for example
        // because some of their VMs are leaving.
        while !self.dissolve_one_outgoing(demand, size) {
            match self.outgoing_indices(demand).first() {
                Some(&index) => self.dissolve(index),
                None => return false,
            }
        }
        true
    }

    /// Dissolves the least useful outgoing group among those whose VMs, with the free VMs and the
    /// reclaimable standbys, are enough. Then reclaims standbys as needed, also if there is no such
    /// group. Returns whether `size` VMs are free.
    fn dissolve_one_outgoing(&mut self, demand: usize, size: usize) -> bool {
        let priority = self.demands[demand].priority;
        let outgoing = self.outgoing_indices(demand).into_iter();
        let enough = outgoing.filter(|&index| {
            let group = &self.groups[index];
            let reclaimable = self.reclaimable_standbys(priority, Some(&group.plan.id));
            self.vms_freed_by(group) + reclaimable.len() + self.free_count() >= size
        });
        let Some(index) = self.least_useful(enough) else {
            return self.reclaim_standbys(size, priority, None);
        };
        self.dissolve(index);
        self.reclaim_standbys(size, priority, None)
    }

    /// Dissolves a broken group of another deployment, of the same or a lower priority, if its VMs
    /// and the free ones are enough for a new group and this costs less than waiting until its lost
    /// members are back. Returns whether `size` VMs are free.
    fn dissolve_broken_for_new(&mut self, demand: usize, size: usize) -> bool {
        if !self.input.settings.repairs.dissolve {
            return false;
        }
        let cost = self.outage_cost(demand, size);
        let victim = (0..self.groups.len()).rev().find(|&index| {
            let group = &self.groups[index];
            let freed = self.vms_freed_by(group);
            group.demand != demand
                && self.is_broken(group)
                && self.demands[group.demand].priority >= self.demands[demand].priority
                && freed + self.free_count() >= size
                && self.is_dissolution_worthwhile(group, cost, self.expected_wait_s(group))
        });
        if let Some(index) = victim {
            self.dissolve(index);
        }
        victim.is_some() && self.free_count() >= size
    }

    /// Adds a group of free VMs. Returns whether a group was formed.
    fn form_group(&mut self, demand: usize, rng: &mut SmallRng) -> bool {
        let Some(id) = self.new_group_id(rng) else {
            return false;
        };
        let wanted = self.demands[demand];
        let size = usize::from(wanted.group_size);
        let members: Vec<MemberAddress> = (0..size).filter_map(|_| self.take_free()).collect();
        let plan = GroupPlan {
            id,
            deployment: wanted.deployment.clone(),
            model: wanted.model.clone(),
            epoch: self.next_epoch(),
            members,
            standbys: Vec::new(),
        };
        self.groups.push(DraftGroup {
            demand,
            plan,
            is_outgoing: false,
        });
        true
    }

    /// Returns an id that no group had before. It has a random part, because fencing tokens start
    /// again from the beginning when the stored plan is lost.
    fn new_group_id(&self, rng: &mut SmallRng) -> Option<GroupId> {
        let domain = self.input.domain.as_str();
        let prefix = &domain[..domain.len().min(DOMAIN_PREFIX_BYTES)];
        let unique: u64 = rng.random();
        format!("{prefix}.{}.{unique:016x}", self.input.fence)
            .parse()
            .ok()
    }

    /// Assigns free VMs as standbys to all groups that are not outgoing.
    pub(super) fn fill_standbys(&mut self) {
        for demand in 0..self.demands.len() {
            self.fill_standbys_of(demand);
        }
    }

    fn fill_standbys_of(&mut self, demand: usize) {
        let wanted = usize::from(self.demands[demand].standbys);
        for index in 0..self.groups.len() {
            let group = &self.groups[index];
            if group.demand != demand || group.is_outgoing {
                continue;
            }
            while self.groups[index].plan.standbys.len() < wanted {
                let Some(standby) = self.take_free() else {
                    return;
                };
                self.groups[index].plan.standbys.push(standby);
            }
        }
    }
}
