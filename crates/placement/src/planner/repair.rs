//! Replaces members that are lost, and finds VMs for groups that have none to spare.

use std::cmp::Reverse;

use jacinthpoint_types::{GroupId, MemberAddress, Priority, VmId};

use crate::{
    health::VmHealth,
    planner::draft::{Draft, Slot},
};

impl Draft<'_> {
    /// Replaces lost members from the group's standbys and from free VMs.
    pub(super) fn repair_groups(&mut self) {
        for place in self.places_by_priority() {
            if !self.slots[place].is_outgoing {
                self.repair(place);
            }
        }
        // An outgoing group is not worth a load; without a member it only holds on to VMs.
        let mut place = 0;
        while place < self.slots.len() {
            let slot = &self.slots[place];
            if slot.is_outgoing && self.is_broken(slot) {
                self.dissolve(place);
            } else {
                place += 1;
            }
        }
    }

    fn places_by_priority(&self) -> Vec<usize> {
        let mut places: Vec<usize> = (0..self.slots.len()).collect();
        places.sort_by_key(|&place| self.slots[place].demand);
        places
    }

    pub(super) fn is_broken(&self, slot: &Slot) -> bool {
        slot.group.members.iter().any(|member| self.is_lost(member))
    }

    /// Replaces all lost members and, if VMs are left, those that are leaving; or changes nothing.
    fn repair(&mut self, place: usize) -> bool {
        let group = &self.slots[place].group;
        let lost = group.members.iter().filter(|member| self.is_lost(member));
        let lost: Vec<MemberAddress> = lost.cloned().collect();
        if !lost.is_empty() && !self.replace_all(place, &lost) {
            return false;
        }
        let group = &self.slots[place].group;
        let leaving = group
            .members
            .iter()
            .filter(|member| self.is_leaving(member));
        for member in leaving.cloned().collect::<Vec<MemberAddress>>() {
            self.replace_all(place, &[member]);
        }
        true
    }

    fn replace_all(&mut self, place: usize, lost: &[MemberAddress]) -> bool {
        let standbys = self.slots[place].group.standbys.clone();
        let mut found = Vec::new();
        for member in lost {
            match self.replacement(place, member) {
                Some(replacement) => found.push(replacement),
                None => break,
            }
        }
        let is_new = |vm: &VmId| lost.iter().all(|member| &member.vm != vm);
        if found.len() < lost.len() {
            let taken = found.into_iter().filter(|member| is_new(&member.vm));
            for member in taken.filter(|member| !standbys.contains(member)) {
                self.give_back(&member.vm);
            }
            self.slots[place].group.standbys = standbys;
            return false;
        }
        self.put_in_place(place, lost, &found);
        true
    }

    fn put_in_place(&mut self, place: usize, lost: &[MemberAddress], found: &[MemberAddress]) {
        let epoch = self.next_epoch();
        let group = &mut self.slots[place].group;
        group.epoch = epoch;
        for (member, replacement) in lost.iter().zip(found) {
            if let Some(rank) = group.members.iter().position(|other| other == member) {
                group.members[rank] = replacement.clone();
            }
        }
        self.renewed
            .extend(found.iter().map(|member| member.vm.clone()));
        for member in lost {
            if found.iter().all(|replacement| replacement.vm != member.vm) {
                self.give_back(&member.vm);
            }
        }
    }

    /// The VM itself if it started again, a standby of the group, or a free VM.
    fn replacement(&mut self, place: usize, lost: &MemberAddress) -> Option<MemberAddress> {
        let itself = self.views.get(&lost.vm).map(|view| view.member.clone());
        if let Some(itself) = itself.filter(|member| self.is_live(member)) {
            return Some(itself);
        }
        if !self.input.settings.repairs.replace {
            return None;
        }
        let standbys = &self.slots[place].group.standbys;
        if let Some(index) = standbys.iter().position(|standby| self.is_live(standby)) {
            return Some(self.slots[place].group.standbys.remove(index));
        }
        self.take_free()
    }

    /// Finds VMs for the groups that are still broken, most important first.
    pub(super) fn help_broken_groups(&mut self) {
        let ids: Vec<_> = self
            .places_by_priority()
            .into_iter()
            .filter(|&place| self.is_broken(&self.slots[place]))
            .map(|place| self.slots[place].group.id.clone())
            .collect();
        for id in ids {
            while let Some(place) = self.slots.iter().position(|slot| slot.group.id == id) {
                if !self.is_broken(&self.slots[place]) || self.repair(place) {
                    break;
                }
                let helped = self.borrow_standbys(place)
                    || self.take_outgoing(place)
                    || self.merge_broken(place)
                    || self.take_lower(place);
                if !helped {
                    break;
                }
            }
        }
    }

    /// Frees standbys of other groups, if there are enough of them; it stops nobody's service.
    fn borrow_standbys(&mut self, broken: usize) -> bool {
        let slot = &self.slots[broken];
        let missing = self.missing(slot);
        // Enough are free already, and the repair failed all the same: more would not help.
        if missing <= self.free_count() {
            return false;
        }
        let priority = self.demands[slot.demand].priority;
        let id = slot.group.id.clone();
        self.borrow(missing, priority, Some(&id))
    }

    /// Frees standbys of groups that are no more important until `needed` VMs are free.
    pub(super) fn borrow(
        &mut self,
        needed: usize,
        priority: Priority,
        except: Option<&GroupId>,
    ) -> bool {
        let needed = needed.saturating_sub(self.free_count());
        if needed == 0 {
            return true;
        }
        let lent = self.lendable_standbys(priority, except);
        if !self.input.settings.repairs.replace || lent.len() < needed {
            return false;
        }
        for (place, standby) in lent.into_iter().take(needed) {
            let standbys = &mut self.slots[place].group.standbys;
            standbys.retain(|other| other != &standby);
            self.give_back(&standby.vm);
        }
        true
    }

    /// Live standbys of groups that are no more important, the least important first.
    pub(super) fn lendable_standbys(
        &self,
        priority: Priority,
        except: Option<&GroupId>,
    ) -> Vec<(usize, MemberAddress)> {
        let mut lenders: Vec<usize> = (0..self.slots.len())
            .filter(|&place| Some(&self.slots[place].group.id) != except)
            .filter(|&place| self.demands[self.slots[place].demand].priority >= priority)
            .collect();
        lenders.sort_by_key(|&place| Reverse(self.slots[place].demand));
        let standbys = lenders.into_iter().flat_map(|place| {
            let standbys = self.slots[place].group.standbys.iter();
            standbys.map(move |standby| (place, standby.clone()))
        });
        standbys
            .filter(|(_, standby)| self.is_live(standby))
            .collect()
    }

    /// VMs that a broken group needs beyond its own. One that started again takes its own place.
    fn missing(&self, slot: &Slot) -> usize {
        let lost = slot.group.members.iter().filter(|member| {
            let itself = self.views.get(&member.vm);
            self.is_lost(member) && itself.is_none_or(|view| view.health != VmHealth::Live)
        });
        let standbys = slot.group.standbys.iter();
        let own = standbys.filter(|standby| self.is_live(standby)).count();
        lost.count().saturating_sub(own)
    }

    /// VMs that dissolving a group frees.
    pub(super) fn freed(&self, slot: &Slot) -> usize {
        let vms = slot.group.all_vms();
        let live = vms.filter(|member| {
            let view = self.views.get(&member.vm);
            view.is_some_and(|view| view.health == VmHealth::Live)
        });
        live.count()
    }

    /// Dissolves an outgoing group of the same deployment, unless another group is on its way.
    fn take_outgoing(&mut self, broken: usize) -> bool {
        let slot = &self.slots[broken];
        let (demand, missing) = (slot.demand, self.missing(slot));
        let mut staying = self.staying(demand);
        let is_moving = staying.any(|slot| !self.is_broken(slot) && !self.is_serving(&slot.group));
        drop(staying);
        let victim = (0..self.slots.len()).find(|&place| {
            let other = &self.slots[place];
            let freed = self.freed(other) + self.free_count();
            other.demand == demand && other.is_outgoing && freed >= missing
        });
        match victim {
            Some(place) if !is_moving => self.dissolve(place),
            _ => return false,
        }
        true
    }

    /// Dissolves another broken group, the one with the fewest members left, if that pays.
    fn merge_broken(&mut self, broken: usize) -> bool {
        if !self.input.settings.repairs.dissolve {
            return false;
        }
        let slot = &self.slots[broken];
        let priority = self.demands[slot.demand].priority;
        let own_healthy = self.healthy_members(&slot.group);
        let cost = self.outage_cost(slot.demand, own_healthy);
        let wait_s = self.expected_wait_s(slot);
        let missing = self.missing(slot);
        let victims = (0..self.slots.len()).filter(|&place| {
            let other = &self.slots[place];
            place != broken
                && self.is_broken(other)
                && self.demands[other.demand].priority >= priority
                && self.freed(other) + self.free_count() >= missing
                && self.pays_to_dissolve(other, cost, wait_s)
        });
        let victim = victims.min_by_key(|&place| self.healthy_members(&self.slots[place].group));
        if let Some(place) = victim {
            self.dissolve(place);
        }
        victim.is_some()
    }

    /// Dissolves a group of strictly lower priority, the least important one, if that pays.
    fn take_lower(&mut self, broken: usize) -> bool {
        if !self.input.settings.repairs.take {
            return false;
        }
        let slot = &self.slots[broken];
        let priority = self.demands[slot.demand].priority;
        let missing = self.missing(slot);
        let victims = (0..self.slots.len()).filter(|&place| {
            let other = &self.slots[place];
            self.demands[other.demand].priority > priority
                && self.freed(other) + self.free_count() >= missing
                && self.pays_to_take(slot, other)
        });
        let victim = victims.max_by_key(|&place| {
            let other = &self.slots[place];
            (other.demand, Reverse(other.group.members.len()))
        });
        if let Some(place) = victim {
            self.dissolve(place);
        }
        victim.is_some()
    }
}
