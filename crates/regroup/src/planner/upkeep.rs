//! Care for groups that exist: those of earlier owners are opened, those that lost a member or are
//! about to are closed, and members are set free once their group can no longer serve.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{Engine, Group, GroupState, Order, OrderAction, Upstream};
use jacinthpoint_types::{Deadline, GroupId, TimeMs, VmId};

use crate::planner::Planner;

/// Time after which an order to close or stage is given again.
const REPEAT_MS: u64 = 700;
/// Time that a group whose members are not all known is left alone: another owner may be forming
/// it, and entries of its members arrive one after the other.
const SETTLE_MS: u64 = 1_000;
/// Time beyond the forming of a group after which the effect of an order to open it is seen.
const OPENING_MS: u64 = 900;

impl Planner {
    /// What a group that is not being formed needs, and whether its members stay in it.
    pub(super) fn look_after(
        &mut self,
        group: &Group,
        upstreams: &BTreeMap<VmId, Upstream>,
        engine: &Engine,
        now: TimeMs,
    ) -> (bool, Vec<Order>) {
        let size = group
            .model_spec(engine)
            .map_or(usize::MAX, |model| model.size);
        let has_dead = group.members.values().any(|id| self.detector.is_dead(id));
        let is_complete = group.members.len() == size && !has_dead;
        let key = (group.id.clone(), group.epoch);
        if is_complete {
            self.partial_since.remove(&key);
        }
        let head = group.head().filter(|head| !self.detector.is_dead(head));
        let Some(head) = head.filter(|id| upstreams.contains_key(*id)).cloned() else {
            if self.settles(&key, !has_dead, now) {
                return (true, Vec::new());
            }
            return self.dissolve(group, now);
        };
        let is_good = is_complete && !group.has_leaving_member && !self.condemned.contains(&key);
        match group.head_state.unwrap_or(GroupState::Broken) {
            GroupState::Open if is_good => (true, Vec::new()),
            GroupState::Open => (true, self.close(group, has_dead, now)),
            GroupState::Closing if has_dead => (true, self.close(group, true, now)),
            GroupState::Closing => (true, Vec::new()),
            // Formed by an earlier owner that did not come to open it.
            GroupState::Ready if is_good && group.is_whole(size) => (true, self.open(group, now)),
            GroupState::Ready if self.may_open_yet(&key, now) => {
                (true, self.close(group, has_dead, now))
            }
            GroupState::Joining if is_good => (true, Vec::new()),
            GroupState::Joining | GroupState::Ready => {
                let may_settle = !has_dead && !is_complete && !self.condemned.contains(&key);
                if self.settles(&key, may_settle, now) {
                    return (true, Vec::new());
                }
                // An order to open it, of this owner or an earlier one, may still be carried out.
                let has_left = self.left.contains(&(head.clone(), key));
                let orders = if has_left {
                    Vec::new()
                } else {
                    self.leave(group, &head, now)
                };
                (!has_left, orders)
            }
            GroupState::Broken => (false, Vec::new()),
        }
    }

    /// Takes the members out of a group whose head cannot be asked. The head may still serve
    /// without being listed; once the others have left, it does not.
    fn dissolve(&mut self, group: &Group, now: TimeMs) -> (bool, Vec<Order>) {
        let key = (group.id.clone(), group.epoch);
        self.condemned.insert(key.clone());
        let mut orders = Vec::new();
        let mut keeps = false;
        for id in group.members.values() {
            if self.detector.is_dead(id) || self.left.contains(&(id.clone(), key.clone())) {
                continue;
            }
            keeps = true;
            orders.extend(self.leave(group, id, now));
        }
        (keeps, orders)
    }

    /// Whether a group is left alone because not all its members are known yet.
    fn settles(&mut self, key: &(GroupId, u64), may_settle: bool, now: TimeMs) -> bool {
        let since = *self.partial_since.entry(key.clone()).or_insert(now);
        may_settle && now.since_ms(since) < SETTLE_MS
    }

    /// Whether an order to open this group may take effect in the next moments.
    fn may_open_yet(&self, key: &(GroupId, u64), now: TimeMs) -> bool {
        let until = self.opening.get(key);
        until.is_some_and(|until| !until.has_passed(now))
    }

    fn is_due(&mut self, id: &VmId, what: &'static str, now: TimeMs) -> bool {
        let key = (id.clone(), what);
        let sent_at = self.sent_at.get(&key);
        let is_due = sent_at.is_none_or(|sent_at| now.since_ms(*sent_at) >= REPEAT_MS);
        if is_due {
            self.sent_at.insert(key, now);
        }
        is_due
    }

    fn close(&mut self, group: &Group, cuts_running: bool, now: TimeMs) -> Vec<Order> {
        let what = if cuts_running { "close-cut" } else { "close" };
        self.condemned.insert((group.id.clone(), group.epoch));
        let action = OrderAction::Close {
            group: group.id.clone(),
            epoch: group.epoch,
            cuts_running,
        };
        self.order_head(group, what, action, now)
    }

    fn open(&mut self, group: &Group, now: TimeMs) -> Vec<Order> {
        let action = OrderAction::Open {
            group: group.id.clone(),
            epoch: group.epoch,
        };
        self.order_head(group, "open", action, now)
    }

    /// Takes the head out of a group, so that an order to open it that was not answered and comes
    /// late finds no group.
    fn leave(&mut self, group: &Group, head: &VmId, now: TimeMs) -> Vec<Order> {
        if !self.is_due(head, "leave", now) {
            return Vec::new();
        }
        let action = OrderAction::Leave {
            group: group.id.clone(),
            epoch: group.epoch,
        };
        vec![Order {
            target: head.clone(),
            action,
        }]
    }

    fn order_head(
        &mut self,
        group: &Group,
        what: &'static str,
        action: OrderAction,
        now: TimeMs,
    ) -> Vec<Order> {
        let Some(head) = group.head().cloned() else {
            return Vec::new();
        };
        if !self.is_due(&head, what, now) {
            return Vec::new();
        }
        vec![Order {
            target: head,
            action,
        }]
    }

    pub(super) fn note_openings(&mut self, orders: &[Order], engine: &Engine, now: TimeMs) {
        let until = Deadline::after_ms(now, engine.form_ms + OPENING_MS);
        for order in orders {
            if let OrderAction::Open { group, epoch } = &order.action {
                self.opening.insert((group.clone(), *epoch), until);
            }
        }
    }
}
