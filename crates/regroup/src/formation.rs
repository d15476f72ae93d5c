//! Forms one group, from the first order to join until its leader takes requests.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_fleet::{GroupState, Order, OrderAction, OrderAnswer, Upstream};
use jacinthpoint_types::{Deadline, DeploymentId, GroupId, TimeMs, VmId};

use crate::decision::FormationOutcome;

/// Time after which an order to open, or an unanswered order to join, is retried. An answered order
/// to join is retried this long after the expected duration.
const RETRY_MS: u64 = 600;
/// Multiple of the expected duration after which a formation fails.
const TIMEOUT_FACTOR: u64 = 3;
/// Time added to that multiple.
const TIMEOUT_SLACK_MS: u64 = 2_000;

/// Progress of a formation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Members are joining, or the leader is opening the group.
    Forming,
    /// The formation ended. Unless the group is open, the members are free again.
    Ended(FormationOutcome),
}

/// A group that is being formed.
#[derive(Debug)]
pub(crate) struct Formation {
    pub(crate) group: GroupId,
    pub(crate) epoch: u64,
    pub(crate) model: DeploymentId,
    /// Members, the leader first.
    pub(crate) members: Vec<VmId>,
    /// Members that hold their part of the model.
    ready: BTreeSet<VmId>,
    /// When each member was last ordered to join.
    join_sent_at: BTreeMap<VmId, TimeMs>,
    /// Members whose last order was not answered.
    unanswered: BTreeSet<VmId>,
    open_sent_at: Option<TimeMs>,
    /// Whether the leader was ever ordered to open the group, so that the group may serve.
    pub(crate) was_ordered_to_open: bool,
    /// Whether the leader answered that the group is open.
    open_done: bool,
    /// Whether an order was refused or reached another upstream.
    is_refused: bool,
    /// Expected time until all members are ready.
    expected_ms: u64,
    /// Time at which the formation fails if the group is not open by then.
    timeout_at: Deadline,
}

impl Formation {
    /// Returns the formation of the group `g{epoch}`, before its first order. `members` has the
    /// leader first; `expected_ms` is the expected time until all members are ready.
    pub(crate) fn new(
        epoch: u64,
        model: DeploymentId,
        members: Vec<VmId>,
        expected_ms: u64,
        now: TimeMs,
    ) -> Formation {
        let group = format!("g{epoch}")
            .parse()
            .expect("a letter and digits form a valid group name");
        Formation {
            group,
            epoch,
            model,
            members,
            ready: BTreeSet::new(),
            join_sent_at: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            open_sent_at: None,
            was_ordered_to_open: false,
            open_done: false,
            is_refused: false,
            expected_ms,
            timeout_at: Deadline::after_ms(now, expected_ms * TIMEOUT_FACTOR + TIMEOUT_SLACK_MS),
        }
    }

    /// Returns whether an upstream's published membership shows it as ready in this group.
    fn is_ready_member(&self, upstream: &Upstream) -> bool {
        upstream.membership.as_ref().is_some_and(|membership| {
            membership.group == self.group
                && membership.epoch == self.epoch
                && matches!(membership.state, GroupState::Ready | GroupState::Open)
        })
    }

    /// Updates the formation from the members' published state, which `find` returns. Returns its
    /// progress and the orders that are due. The formation fails if `is_usable` returns false for a
    /// member.
    pub(crate) fn advance<'a>(
        &mut self,
        find: impl Fn(&VmId) -> Option<&'a Upstream>,
        is_usable: impl Fn(&VmId) -> bool,
        now: TimeMs,
    ) -> (Progress, Vec<Order>) {
        let ended = |outcome| (Progress::Ended(outcome), Vec::new());
        if self.is_refused {
            return ended(FormationOutcome::OrderRefused);
        }
        if !self.members.iter().all(&is_usable) {
            return ended(FormationOutcome::MemberLost);
        }
        for id in &self.members {
            if find(id).is_some_and(|upstream| self.is_ready_member(upstream)) {
                self.ready.insert(id.clone());
            }
        }
        let leader_is_open = find(&self.members[0]).is_some_and(|leader| {
            let membership = leader.membership.as_ref();
            membership.is_some_and(|m| {
                m.group == self.group && m.epoch == self.epoch && m.state == GroupState::Open
            })
        });
        if leader_is_open || self.open_done {
            return ended(FormationOutcome::Open);
        }
        if self.timeout_at.has_passed(now) {
            return ended(FormationOutcome::TimedOut);
        }
        (Progress::Forming, self.due_orders(now))
    }

    /// Returns the order to open the group if all members are ready, otherwise the orders to join.
    /// An answered order to join is retried only [`RETRY_MS`] after the expected duration.
    fn due_orders(&mut self, now: TimeMs) -> Vec<Order> {
        let is_due = |sent_at: Option<TimeMs>, after_ms: u64| {
            sent_at.is_none_or(|sent_at| now.since_ms(sent_at) >= after_ms)
        };
        if self.ready.len() == self.members.len() {
            if !is_due(self.open_sent_at, RETRY_MS) {
                return Vec::new();
            }
            self.open_sent_at = Some(now);
            self.was_ordered_to_open = true;
            let action = OrderAction::Open {
                group: self.group.clone(),
                epoch: self.epoch,
            };
            return vec![Order {
                target: self.members[0].clone(),
                action,
            }];
        }
        let mut orders = Vec::new();
        for id in &self.members {
            let after_ms = if self.unanswered.contains(id) {
                RETRY_MS
            } else {
                self.expected_ms + RETRY_MS
            };
            if self.ready.contains(id) || !is_due(self.join_sent_at.get(id).copied(), after_ms) {
                continue;
            }
            self.join_sent_at.insert(id.clone(), now);
            orders.push(Order {
                target: id.clone(),
                action: OrderAction::Join {
                    group: self.group.clone(),
                    epoch: self.epoch,
                    model: self.model.clone(),
                    members: self.members.clone(),
                },
            });
        }
        orders
    }

    /// Records the answer to one of this formation's orders.
    pub(crate) fn on_answer(&mut self, order: &Order, answer: OrderAnswer) {
        // `Unknown` means that no answer arrived.
        if answer == OrderAnswer::Unknown {
            self.unanswered.insert(order.target.clone());
        } else {
            self.unanswered.remove(&order.target);
        }
        match (&order.action, answer) {
            // `Done` means that the member was already ready in this group at this epoch.
            (OrderAction::Join { .. }, OrderAnswer::Done) => {
                self.ready.insert(order.target.clone());
            }
            (OrderAction::Open { .. }, OrderAnswer::Done) => self.open_done = true,
            (OrderAction::Open { .. }, OrderAnswer::Unfit) => {
                // The leader is not ready after all. Members that don't publish that they are ready
                // are ordered to join again once a retry is due.
                self.ready.clear();
                self.open_sent_at = None;
            }
            (_, OrderAnswer::Fenced | OrderAnswer::WrongUpstream | OrderAnswer::Refused) => {
                self.is_refused = true;
            }
            _ => {}
        }
    }
}
