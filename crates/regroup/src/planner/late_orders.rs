//! Keeps what may still be carried out of the orders that were sent, and decides which groups may open.
//!
//! An order without an answer may be carried out seconds later, after newer ones, also under the next owner. A
//! member of an open group must not take such an order to join another group. It refuses one with a lower epoch than
//! it has seen, or with a lower fencing token. So a group opens only if
//!
//! - this planner ordered no member to join a group with a higher epoch, answered or not, and
//! - each member has answered an order of this planner, if the group is of an earlier owner: that owner's orders have
//!   a lower fencing token.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{Engine, Group, Order, OrderAction, OrderAnswer, Upstream};
use jacinthpoint_types::{TimeMs, VmId};

use crate::{
    member_selection::{MemberSelection, WeightsLocation},
    planner::{Planner, new_groups::EPOCHS_PER_FENCING_TOKEN},
};

/// What is to be done with a group that is ready and whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OpenDecision {
    /// No order that is on its way can take a member away: the group is opened.
    Open,
    /// A member may not know the fencing token of this planner. Such members are ordered once more into the group
    /// that they are in.
    Fence,
    /// An order that is on its way may take a member away. The group was never ordered to open, and is formed again
    /// under a higher epoch.
    FormAgain,
    /// A member is ordered into another group: the group is given up.
    Superseded,
}

impl Planner {
    /// Decides on a group that this planner is not forming, and whose members are all ready.
    pub(super) fn decide_open(&self, group: &Group) -> OpenDecision {
        let mut members = group.members.values();
        let is_own = group.epoch / EPOCHS_PER_FENCING_TOKEN == self.fencing_token;
        let forming = self.forming_members();
        let is_ordered_away = |id: &VmId| {
            let ordered = self.ordered_epochs.get(id);
            ordered.is_some_and(|epoch| *epoch > group.epoch)
        };
        if members.clone().any(|id| forming.contains(id)) {
            OpenDecision::Superseded
        } else if members.clone().any(is_ordered_away) {
            let key = (group.id.clone(), group.epoch);
            match is_own && !self.ordered_to_open.contains(&key) {
                true => OpenDecision::FormAgain,
                // The leader may be about to open the group, so it must not be ordered into another one.
                false => OpenDecision::Superseded,
            }
        } else if is_own || members.all(|id| self.fenced.contains(id)) {
            OpenDecision::Open
        } else {
            OpenDecision::Fence
        }
    }

    /// Records orders that are about to be sent.
    ///
    /// The epochs of orders to join stay in force when the upstream starts again under its name, since an order on
    /// its way then reaches the new incarnation.
    pub(super) fn record_orders(&mut self, orders: &[Order]) {
        for order in orders {
            self.order_counts.on_sent(order);
            match &order.action {
                OrderAction::Join { epoch, .. } => {
                    let ordered = self.ordered_epochs.entry(order.target.clone()).or_default();
                    *ordered = (*ordered).max(*epoch);
                }
                OrderAction::Open { group, epoch } => {
                    self.ordered_to_open.insert((group.clone(), *epoch));
                }
                _ => {}
            }
        }
    }

    /// Records that an upstream knows the fencing token of this planner, if its answer shows that.
    pub(super) fn record_fenced(&mut self, order: &Order, answer: OrderAnswer) {
        if matches!(answer, OrderAnswer::Begun | OrderAnswer::Done) {
            self.fenced.insert(order.target.clone());
        }
    }

    /// Forgets what concerns upstreams that are gone. Orders to join stay known: the entry of an upstream may expire
    /// while such an order is on its way, and come back.
    pub(super) fn retain_order_records(&mut self, upstreams: &BTreeMap<VmId, Upstream>) {
        self.fenced.retain(|id| upstreams.contains_key(id));
        self.order_counts.retain(|id| upstreams.contains_key(id));
    }

    /// Returns the orders that are due for the members of a group that may not know the fencing token: to join the
    /// group that they are in.
    pub(super) fn fence_members(&mut self, group: &Group, now: TimeMs) -> Vec<Order> {
        let Some(model) = group.model.clone() else {
            return Vec::new();
        };
        let members: Vec<VmId> = group.members.values().cloned().collect();
        let unfenced: Vec<VmId> = members
            .iter()
            .filter(|id| !self.fenced.contains(*id))
            .cloned()
            .collect();
        let mut orders = Vec::new();
        for target in unfenced {
            if self.record_if_due(&target, "fence", now) {
                let action = OrderAction::Join {
                    group: group.id.clone(),
                    epoch: group.epoch,
                    model: model.clone(),
                    members: members.clone(),
                };
                orders.push(Order { target, action });
            }
        }
        orders
    }

    /// Starts to form a group again with the same members. Returns the orders to join.
    pub(super) fn form_again(
        &mut self,
        group: &Group,
        upstreams: &BTreeMap<VmId, Upstream>,
        engine: &Engine,
        now: TimeMs,
    ) -> Vec<Order> {
        let Some(model) = group.model_spec(engine) else {
            return Vec::new();
        };
        let selection = MemberSelection {
            model: model.name.clone(),
            members: group.members.values().cloned().collect(),
            slowest_weights_location: WeightsLocation::Resident,
        };
        self.start_formation(selection, model, upstreams, now)
    }
}
