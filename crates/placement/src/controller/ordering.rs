//! Decides which orders a controller may send, and until when.
//!
//! Engines that honour fencing tokens refuse outdated orders. For engines that ignore them, only
//! the controller that wrote the plan may send orders, and only for a short time after the platform
//! last confirmed that plan.

use jacinthpoint_types::{Deadline, Epoch, TimeMs};

use crate::{
    controller::Controller,
    event::{Action, Order},
    orders::{DesiredState, DueOrder},
    plan::GroupPlan,
    store::ORDER_AUTHORITY_MS,
};

impl Controller {
    /// Returns whether this controller has to write the plan again under its own tag, because it
    /// has orders for engines that ignore fencing tokens and another controller wrote the plan.
    pub(super) fn must_rewrite_as_own(&self, now: TimeMs) -> bool {
        let is_by_other_controller = self
            .store
            .known()
            .is_some_and(|known| known.plan.writer != self.tag);
        is_by_other_controller
            && self.has_engines_without_fencing()
            && !self.due_orders(now).is_empty()
    }

    fn has_engines_without_fencing(&self) -> bool {
        let demands = self.demands.iter().flatten();
        demands.into_iter().any(|demand| !demand.refuses_old_orders)
    }

    /// Returns the assignments that the VMs should have, without groups that an uncertain write may
    /// have changed.
    fn desired_state(&self) -> Option<DesiredState> {
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
        Some(DesiredState {
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
            .is_none_or(|known| known.plan.fence < self.highest_reported_token);
        match self.desired_state() {
            Some(desired) if !is_outdated => self.orders.due(now, &desired, &self.vms),
            _ => Vec::new(),
        }
    }

    /// Returns the orders to send now.
    pub(super) fn issue_orders(&mut self, now: TimeMs) -> Vec<Action> {
        if let Some(desired) = self.desired_state() {
            self.orders.end_loads(now, &desired, &self.vms);
        }
        // An order of the plan that is being replaced could arrive after an order of the next plan.
        if self.store.is_writing() {
            return Vec::new();
        }
        // The plan is read soon, which makes the outcome of the uncertain write known.
        if self.store.uncertain_write().is_some() && !self.store.is_unavailable() {
            return Vec::new();
        }
        let mut due = self.due_orders(now);
        // A VM outside the certain groups may belong to a group that the uncertain write formed, so
        // no engine is ordered to leave.
        if self.store.uncertain_write().is_some() {
            due.retain(|due| matches!(due.order, Order::Serve { .. }));
        }
        if due.is_empty() {
            return Vec::new();
        }
        let Some(deadline) = self.order_deadline(now) else {
            return Vec::new();
        };
        self.orders.issue(now, due, deadline, &self.settings)
    }

    /// Returns the time until which orders may be sent; `None` if the platform must first confirm
    /// that this controller's plan is in force.
    fn order_deadline(&mut self, now: TimeMs) -> Option<Deadline> {
        // Without a confirmation, the time counts from now.
        let unconfirmed_deadline = Deadline::after_ms(now, ORDER_AUTHORITY_MS);
        // Engines that honour fencing tokens need no confirmation, and the platform cannot confirm
        // the plan while it is unavailable. Orders then only carry out the known plan and swaps.
        if !self.has_engines_without_fencing() || self.store.is_unavailable() {
            return Some(unconfirmed_deadline);
        }
        let known = self.store.known()?;
        let deadline = Deadline::after_ms(known.confirmed_at, ORDER_AUTHORITY_MS);
        if known.plan.writer != self.tag || now < self.orders_allowed_at {
            return None;
        }
        if deadline.has_passed(now) {
            self.store.request_read();
            return None;
        }
        Some(deadline)
    }
}
