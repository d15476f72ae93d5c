//! Maintains groups that are already formed.
//!
//! A group that lost a member cannot serve, and its other members may join a new group only once
//! the leader can no longer open the old one. This module opens groups that an earlier owner
//! formed, closes groups that lost a member or are about to, and releases the members of groups
//! that can no longer serve.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{Engine, Group, GroupState, Order, OrderAction, Upstream};
use jacinthpoint_types::{Deadline, GroupId, TimeMs, VmId};

use crate::planner::{Planner, late_orders::OpenDecision};

/// Time after which an order to open, close or leave a group is retried.
const RETRY_MS: u64 = 700;
/// Time for which a group whose members are not all known is left unchanged: an earlier owner may
/// have ordered its formation, and the entries of its members arrive one after the other.
const MEMBERS_WAIT_MS: u64 = 1_000;
/// Time beyond the engine's `form_ms` after which the effect of an order to open a group is
/// visible.
const OPEN_SLACK_MS: u64 = 900;

impl Planner {
    /// Returns whether the members of a group stay assigned to it, and the orders that are due.
    /// This planner must not be forming the group.
    pub(super) fn maintain(
        &mut self,
        group: &Group,
        upstreams: &BTreeMap<VmId, Upstream>,
        engine: &Engine,
        now: TimeMs,
    ) -> (bool, Vec<Order>) {
        // A group of an unknown model never counts as complete.
        let size = group
            .model_spec(engine)
            .map_or(usize::MAX, |model| model.size);
        let has_dead_member = group.members.values().any(|id| self.is_gone(id));
        let is_complete = group.members.len() == size && !has_dead_member;
        let key = (group.id.clone(), group.epoch);
        if is_complete {
            self.wait_started_at.remove(&key);
        }
        if let Some(leader) = group.leader() {
            self.leaders.insert(key.clone(), leader.clone());
        }
        // Late orders to join and to open may bring the leader back.
        let is_active = matches!(
            group.leader_state,
            Some(GroupState::Open | GroupState::Closing)
        );
        if self.leaderless.contains(&key) && !is_active {
            return (false, Vec::new());
        }
        let leader = group.leader().filter(|leader| !self.is_gone(leader));
        let Some(leader) = leader.filter(|id| upstreams.contains_key(*id)).cloned() else {
            if self.awaits_members(&key, !has_dead_member, now) {
                return (true, Vec::new());
            }
            return self.dissolve(group, now);
        };
        let may_serve =
            is_complete && !group.has_draining_member && !self.closed_permanently.contains(&key);
        // The leader is known here, so its state is known, too, and the default is never used.
        match group.leader_state.unwrap_or(GroupState::Broken) {
            GroupState::Open if may_serve => (true, Vec::new()),
            // The entry of a member may be from before it joined; its report will show the group.
            GroupState::Open
                if self.may_have_unconfirmed_member(group, &leader, upstreams)
                    && self.awaits_members(&key, !has_dead_member, now) =>
            {
                (true, Vec::new())
            }
            GroupState::Open => (true, self.close(group, has_dead_member, now)),
            GroupState::Closing if has_dead_member => (true, self.close(group, true, now)),
            GroupState::Closing => (true, Vec::new()),
            // An earlier owner formed the group and ended before it opened it, or a late order to join made it whole.
            // `is_whole` also requires that every member holds the model.
            GroupState::Ready
                if may_serve
                    && group.is_whole(size)
                    && let Some(orders) = self.open_if_safe(group, upstreams, engine, now) =>
            {
                (true, orders)
            }
            // An order to open the group was sent and may still take effect. The order to close
            // undoes it.
            GroupState::Ready if self.may_still_open(&key, now) => {
                (true, self.close(group, has_dead_member, now))
            }
            GroupState::Joining if may_serve => (true, Vec::new()),
            GroupState::Joining | GroupState::Ready => {
                let may_wait =
                    !has_dead_member && !is_complete && !self.closed_permanently.contains(&key);
                if self.awaits_members(&key, may_wait, now) {
                    return (true, Vec::new());
                }
                // An order to open the group, sent by this owner or an earlier one, may still be
                // carried out. It has no effect once the leader has left the group, so the members
                // stay assigned until the leader has answered the order to leave.
                let has_answered_leave = self.leave_answered.contains(&(leader.clone(), key));
                let orders = if has_answered_leave {
                    Vec::new()
                } else {
                    self.leave(group, &leader, now)
                };
                (!has_answered_leave, orders)
            }
            // The leader has reported that the group lost a member. The members are released at
            // once, without an order to leave.
            GroupState::Broken => (false, Vec::new()),
        }
    }

    /// Returns the orders that are due to open a group that is ready and whole, or to make it safe to open. Returns
    /// `None` if it is to be given up.
    fn open_if_safe(
        &mut self,
        group: &Group,
        upstreams: &BTreeMap<VmId, Upstream>,
        engine: &Engine,
        now: TimeMs,
    ) -> Option<Vec<Order>> {
        match self.decide_open(group) {
            OpenDecision::Open => Some(self.open(group, now)),
            OpenDecision::Fence => Some(self.fence_members(group, now)),
            OpenDecision::FormAgain => Some(self.form_again(group, upstreams, engine, now)),
            OpenDecision::Superseded => None,
        }
    }

    /// Closes permanently a group whose leader is considered dead or is missing. Returns whether a
    /// live member has yet to answer its order to leave, and the orders to leave that are due. The
    /// leader may still serve without being listed, but not once the other members have left.
    fn dissolve(&mut self, group: &Group, now: TimeMs) -> (bool, Vec<Order>) {
        let key = (group.id.clone(), group.epoch);
        self.closed_permanently.insert(key.clone());
        let mut orders = Vec::new();
        let mut are_members_assigned = false;
        for id in group.members.values() {
            if self.is_gone(id) || self.leave_answered.contains(&(id.clone(), key.clone())) {
                continue;
            }
            are_members_assigned = true;
            orders.extend(self.leave(group, id, now));
        }
        (are_members_assigned, orders)
    }

    /// Returns whether a group is to be left unchanged because some of its members may be unknown
    /// yet: `may_wait` is true, and the first call since the group was last complete was less than
    /// [`MEMBERS_WAIT_MS`] ago. Records the time of that first call, also if `may_wait` is false.
    fn awaits_members(&mut self, key: &(GroupId, u64), may_wait: bool, now: TimeMs) -> bool {
        let since = *self.wait_started_at.entry(key.clone()).or_insert(now);
        may_wait && now.since_ms(since) < MEMBERS_WAIT_MS
    }

    /// Returns whether an upstream that has yet to confirm its state may be a member of this open
    /// group, which is to be closed only because it lacks one.
    fn may_have_unconfirmed_member(
        &self,
        group: &Group,
        leader: &VmId,
        upstreams: &BTreeMap<VmId, Upstream>,
    ) -> bool {
        let key = (group.id.clone(), group.epoch);
        let domain = upstreams
            .get(leader)
            .and_then(|leader| leader.domain.as_ref());
        let may_be_member = |upstream: &Upstream| {
            let membership = upstream.membership.as_ref();
            upstream.domain.as_ref() == domain
                && !self.confirmed.contains(&upstream.id)
                && !self.is_gone(&upstream.id)
                && membership.is_none_or(|membership| membership.epoch < group.epoch)
        };
        !group.has_draining_member
            && !self.closed_permanently.contains(&key)
            && upstreams.values().any(may_be_member)
    }

    /// Returns whether an order to open this group may have an effect that is not visible yet.
    fn may_still_open(&self, key: &(GroupId, u64), now: TimeMs) -> bool {
        let until = self.open_pending_until.get(key);
        until.is_some_and(|until| !until.has_passed(now))
    }

    /// Returns whether an order of this kind to this upstream is due, and if so records it as sent.
    pub(super) fn record_if_due(
        &mut self,
        id: &VmId,
        order_kind: &'static str,
        now: TimeMs,
    ) -> bool {
        let key = (id.clone(), order_kind);
        let sent_at = self.order_sent_at.get(&key);
        let is_due = sent_at.is_none_or(|sent_at| now.since_ms(*sent_at) >= RETRY_MS);
        if is_due {
            self.order_sent_at.insert(key, now);
        }
        is_due
    }

    /// Marks a group as closed permanently. Returns the order to close it if that order is due.
    /// `cuts_running` ends the running requests of the group instead of letting them finish.
    pub(super) fn close(&mut self, group: &Group, cuts_running: bool, now: TimeMs) -> Vec<Order> {
        let order_kind = if cuts_running { "close-cut" } else { "close" };
        self.closed_permanently
            .insert((group.id.clone(), group.epoch));
        let action = OrderAction::Close {
            group: group.id.clone(),
            epoch: group.epoch,
            cuts_running,
        };
        self.order_leader(group, order_kind, action, now)
    }

    /// Returns the order to open a group if that order is due.
    fn open(&mut self, group: &Group, now: TimeMs) -> Vec<Order> {
        let action = OrderAction::Open {
            group: group.id.clone(),
            epoch: group.epoch,
        };
        self.order_leader(group, "open", action, now)
    }

    /// Returns the order for a member to leave its group if that order is due. An order to open the
    /// group has no effect if it arrives after the leader has left.
    fn leave(&mut self, group: &Group, member: &VmId, now: TimeMs) -> Vec<Order> {
        if !self.record_if_due(member, "leave", now) {
            return Vec::new();
        }
        let action = OrderAction::Leave {
            group: group.id.clone(),
            epoch: group.epoch,
        };
        vec![Order {
            target: member.clone(),
            action,
        }]
    }

    /// Returns an order to the leader of a group if an order of this kind is due.
    fn order_leader(
        &mut self,
        group: &Group,
        order_kind: &'static str,
        action: OrderAction,
        now: TimeMs,
    ) -> Vec<Order> {
        let Some(leader) = group.leader().cloned() else {
            return Vec::new();
        };
        if !self.record_if_due(&leader, order_kind, now) {
            return Vec::new();
        }
        vec![Order {
            target: leader,
            action,
        }]
    }

    /// Records until when the orders to open among `orders` may take effect without the list
    /// showing it.
    pub(super) fn record_open_orders(&mut self, orders: &[Order], engine: &Engine, now: TimeMs) {
        let until = Deadline::after_ms(now, engine.form_ms + OPEN_SLACK_MS);
        for order in orders {
            if let OrderAction::Open { group, epoch } = &order.action {
                self.open_pending_until
                    .insert((group.clone(), *epoch), until);
            }
        }
    }
}
