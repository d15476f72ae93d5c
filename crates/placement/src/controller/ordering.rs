//! Which orders a controller may give, and until when they may be sent.

use jacinthpoint_types::{Deadline, Epoch, TimeMs};

use crate::{
    controller::Controller,
    event::{Action, Order},
    orders::{DueOrder, Wanted},
    plan::GroupPlan,
    store::AUTHORITY_MS,
};

impl Controller {
    /// Engines that ignore fencing numbers are ordered only by the controller that wrote the plan.
    pub(super) fn must_claim(&self, now: TimeMs) -> bool {
        let is_foreign = self
            .store
            .known()
            .is_some_and(|known| known.plan.writer != self.tag);
        is_foreign && self.has_ignoring_engines() && !self.due_orders(now).is_empty()
    }

    fn has_ignoring_engines(&self) -> bool {
        let demands = self.demands.iter().flatten();
        demands.into_iter().any(|demand| !demand.refuses_old_orders)
    }

    /// What the VMs shall believe, as far as it is certain.
    fn wanted(&self) -> Option<Wanted> {
        let known = self.store.known()?;
        let demands = self.demands.as_ref()?;
        let groups = known.plan.groups.iter();
        let mut groups: Vec<&GroupPlan> = groups.filter(|group| self.is_certain(group)).collect();
        groups.sort_by_key(|group| {
            let mut of_group = demands
                .iter()
                .filter(|demand| demand.deployment == group.deployment);
            of_group.next().map(|demand| demand.priority)
        });
        Some(Wanted {
            assignments: groups
                .into_iter()
                .map(|group| self.swaps.effective(group))
                .collect(),
            leave_epoch: Epoch::from_fence(known.plan.fence),
        })
    }

    pub(super) fn due_orders(&self, now: TimeMs) -> Vec<DueOrder> {
        let is_outdated = self
            .store
            .known()
            .is_none_or(|known| known.plan.fence < self.highest_fence);
        match self.wanted() {
            Some(wanted) if !is_outdated => self.orders.due(now, &wanted, &self.vms),
            _ => Vec::new(),
        }
    }

    /// Orders to send now.
    pub(super) fn give_orders(&mut self, now: TimeMs) -> Vec<Action> {
        if let Some(wanted) = self.wanted() {
            self.orders.end_loads(now, &wanted, &self.vms);
        }
        // An order of the plan that is being replaced could arrive after one of the next.
        if self.store.is_writing() {
            return Vec::new();
        }
        // With a write unread, a VM outside the certain groups may belong to a new one.
        if self.store.unsure().is_some() && !self.store.is_down() {
            return Vec::new();
        }
        let mut due = self.due_orders(now);
        if self.store.unsure().is_some() {
            due.retain(|due| matches!(due.order, Order::Serve { .. }));
        }
        if due.is_empty() {
            return Vec::new();
        }
        let Some(deadline) = self.authority(now) else {
            return Vec::new();
        };
        self.orders.give(now, due, deadline, &self.settings)
    }

    /// Until when orders may be sent; `None` if authority has to be had first.
    fn authority(&mut self, now: TimeMs) -> Option<Deadline> {
        let fresh = Deadline::after_ms(now, AUTHORITY_MS);
        // Without the platform nobody can be asked: only swaps and what was planned are ordered.
        if !self.has_ignoring_engines() || self.store.is_down() {
            return Some(fresh);
        }
        let known = self.store.known()?;
        let deadline = Deadline::after_ms(known.confirmed_at, AUTHORITY_MS);
        if known.plan.writer != self.tag || now < self.may_order_at {
            return None;
        }
        if deadline.has_passed(now) {
            self.store.want_read();
            return None;
        }
        Some(deadline)
    }
}
