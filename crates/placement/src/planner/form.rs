//! Forms groups, moves them to another version or to other VMs, and fills up standbys.

use jacinthpoint_types::{GroupId, MemberAddress};
use rand::{Rng, rngs::SmallRng};

use crate::{
    plan::GroupPlan,
    planner::draft::{Draft, Slot},
};

/// Bytes of the domain's name in a group's id; the whole id must fit into a name.
const DOMAIN_PREFIX_BYTES: usize = 24;

impl Draft<'_> {
    /// Marks groups with a leaving member as outgoing where another group has taken their place or
    /// where enough VMs are free to form one first.
    pub(super) fn mark_moves(&mut self) {
        let mut free = self.free_count();
        for demand in 0..self.demands.len() {
            let size = usize::from(self.demands[demand].group_size);
            let moving: Vec<usize> = (0..self.slots.len())
                .filter(|&place| self.slots[place].demand == demand)
                .filter(|&place| !self.slots[place].is_outgoing)
                .filter(|&place| self.has_leaving(&self.slots[place]))
                .collect();
            let settled = self.staying(demand).count() - moving.len();
            let mut open = self.wanted(demand).saturating_sub(settled);
            for place in moving {
                if open == 0 {
                    self.slots[place].is_outgoing = true;
                } else if free >= size {
                    self.slots[place].is_outgoing = true;
                    free -= size;
                    open -= 1;
                } else {
                    open -= 1;
                }
            }
        }
    }

    fn has_leaving(&self, slot: &Slot) -> bool {
        slot.group
            .members
            .iter()
            .any(|member| self.is_leaving(member))
    }

    /// Dissolves groups beyond the number wanted, those that do not serve first.
    pub(super) fn drop_surplus(&mut self) {
        for demand in 0..self.demands.len() {
            while self.staying(demand).count() > self.wanted(demand) {
                let places = (0..self.slots.len()).filter(|&place| {
                    self.slots[place].demand == demand && !self.slots[place].is_outgoing
                });
                let worst = places.max_by_key(|&place| {
                    let group = &self.slots[place].group;
                    (!self.is_serving(group), group.epoch)
                });
                let Some(worst) = worst else { break };
                self.dissolve(worst);
            }
        }
    }

    /// Dissolves the outgoing groups whose place has been taken by groups that serve.
    pub(super) fn release_outgoing(&mut self) {
        for demand in 0..self.demands.len() {
            let staying = self.staying(demand);
            let serving = staying.filter(|slot| self.is_serving(&slot.group)).count();
            let needed = self.wanted(demand).saturating_sub(serving);
            for _ in needed..self.outgoing(demand).len() {
                if let Some(place) = self.least_serving(self.outgoing(demand).into_iter()) {
                    self.dissolve(place);
                }
            }
        }
    }

    fn outgoing(&self, demand: usize) -> Vec<usize> {
        (0..self.slots.len())
            .filter(|&place| self.slots[place].demand == demand && self.slots[place].is_outgoing)
            .collect()
    }

    fn least_serving(&self, places: impl Iterator<Item = usize>) -> Option<usize> {
        places.min_by_key(|&place| {
            let group = &self.slots[place].group;
            (self.is_serving(group), self.healthy_members(group))
        })
    }

    /// Forms the groups that are missing.
    pub(super) fn form_groups(&mut self, rng: &mut SmallRng) {
        let is_greedy = |draft: &Draft<'_>, demand: usize| {
            let size = draft.demands[demand].group_size;
            draft.input.settings.groups_before_standbys(size)
        };
        for demand in 0..self.demands.len() {
            self.form_groups_of(demand, rng);
            if !is_greedy(self, demand) {
                self.fill_standbys_of(demand);
            }
        }
    }

    fn form_groups_of(&mut self, demand: usize, rng: &mut SmallRng) {
        let size = usize::from(self.demands[demand].group_size);
        if size == 0 {
            return;
        }
        while self.staying(demand).count() < self.wanted(demand) {
            let has_room = self.borrow(size, self.demands[demand].priority, None)
                || self.make_room(demand, size)
                || self.dissolve_broken_for(demand, size);
            if !has_room || !self.form_group(demand, rng) {
                return;
            }
        }
    }

    /// Dissolves one outgoing group, unless another group is still on its way: where VMs are too
    /// few for both versions side by side, one group moves at a time.
    fn make_room(&mut self, demand: usize, size: usize) -> bool {
        let is_settled = self
            .staying(demand)
            .all(|slot| self.is_serving(&slot.group));
        if !is_settled {
            return false;
        }
        let outgoing = self.outgoing(demand).into_iter();
        let freed: usize = outgoing.map(|place| self.freed(&self.slots[place])).sum();
        let priority = self.demands[demand].priority;
        if freed + self.lendable_standbys(priority, None).len() + self.free_count() < size {
            return false;
        }
        // Several go only where leaving VMs make every one of them too small.
        while !self.dissolve_enough(demand, size) {
            match self.outgoing(demand).first() {
                Some(&place) => self.dissolve(place),
                None => return false,
            }
        }
        true
    }

    /// Dissolves the outgoing group that serves least among those whose VMs are enough.
    fn dissolve_enough(&mut self, demand: usize, size: usize) -> bool {
        let priority = self.demands[demand].priority;
        let outgoing = self.outgoing(demand).into_iter();
        let enough = outgoing.filter(|&place| {
            let slot = &self.slots[place];
            let lent = self.lendable_standbys(priority, Some(&slot.group.id));
            self.freed(slot) + lent.len() + self.free_count() >= size
        });
        let Some(place) = self.least_serving(enough) else {
            return self.borrow(size, priority, None);
        };
        self.dissolve(place);
        self.borrow(size, priority, None)
    }

    /// Dissolves a group that cannot serve, if its members then form a group of another
    /// deployment and that pays.
    fn dissolve_broken_for(&mut self, demand: usize, size: usize) -> bool {
        if !self.input.settings.repairs.dissolve {
            return false;
        }
        let cost = self.outage_cost(demand, size);
        let victim = (0..self.slots.len()).rev().find(|&place| {
            let slot = &self.slots[place];
            let freed = self.freed(slot);
            slot.demand != demand
                && self.is_broken(slot)
                && self.demands[slot.demand].priority >= self.demands[demand].priority
                && freed + self.free_count() >= size
                && self.pays_to_dissolve(slot, cost, self.expected_wait_s(slot))
        });
        if let Some(place) = victim {
            self.dissolve(place);
        }
        victim.is_some() && self.free_count() >= size
    }

    fn form_group(&mut self, demand: usize, rng: &mut SmallRng) -> bool {
        let Some(id) = self.new_group_id(rng) else {
            return false;
        };
        let wanted = self.demands[demand];
        let size = usize::from(wanted.group_size);
        let members: Vec<MemberAddress> = (0..size).filter_map(|_| self.take_free()).collect();
        let group = GroupPlan {
            id,
            deployment: wanted.deployment.clone(),
            model: wanted.model.clone(),
            epoch: self.next_epoch(),
            members,
            standbys: Vec::new(),
        };
        self.slots.push(Slot {
            demand,
            group,
            is_outgoing: false,
        });
        true
    }

    /// An id that no group had before: the fence alone starts again when the plan is lost.
    fn new_group_id(&self, rng: &mut SmallRng) -> Option<GroupId> {
        let domain = self.input.domain.as_str();
        let prefix = &domain[..domain.len().min(DOMAIN_PREFIX_BYTES)];
        let unique: u64 = rng.random();
        format!("{prefix}.{}.{unique:016x}", self.input.fence)
            .parse()
            .ok()
    }

    /// Fills up the standbys of all groups that stay.
    pub(super) fn fill_standbys(&mut self) {
        for demand in 0..self.demands.len() {
            self.fill_standbys_of(demand);
        }
    }

    fn fill_standbys_of(&mut self, demand: usize) {
        let wanted = usize::from(self.demands[demand].standbys);
        for place in 0..self.slots.len() {
            let slot = &self.slots[place];
            if slot.demand != demand || slot.is_outgoing {
                continue;
            }
            while self.slots[place].group.standbys.len() < wanted {
                let Some(standby) = self.take_free() else {
                    return;
                };
                self.slots[place].group.standbys.push(standby);
            }
        }
    }
}
