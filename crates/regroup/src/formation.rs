//! One group on its way from the first join to its opening.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_fleet::{GroupState, Order, OrderAction, OrderAnswer, Upstream};
use jacinthpoint_types::{Deadline, DeploymentId, GroupId, TimeMs, VmId};

/// Time after which an order that had no visible effect is given again.
const RETRY_MS: u64 = 600;
/// Times the expected duration after which a formation is given up.
const TIMEOUT_FACTOR: u64 = 3;
/// Time that a formation is given beyond that.
const TIMEOUT_SLACK_MS: u64 = 2_000;

/// What becomes of a formation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It goes on.
    InProgress,
    /// The group takes requests.
    Open,
    /// A member is lost or does not come; the others are free again.
    Failed,
}

/// A group that is being formed.
#[derive(Debug)]
pub(crate) struct Formation {
    pub(crate) group: GroupId,
    pub(crate) epoch: u64,
    pub(crate) model: DeploymentId,
    /// Members, the head first.
    pub(crate) members: Vec<VmId>,
    ready: BTreeSet<VmId>,
    join_sent_at: BTreeMap<VmId, TimeMs>,
    /// Members whose last order was not answered.
    unanswered: BTreeSet<VmId>,
    open_sent_at: Option<TimeMs>,
    open_done: bool,
    is_refused: bool,
    expected_ms: u64,
    timeout_at: Deadline,
}

impl Formation {
    pub(crate) fn new(
        epoch: u64,
        model: DeploymentId,
        members: Vec<VmId>,
        expected_ms: u64,
        now: TimeMs,
    ) -> Formation {
        let group = format!("g{epoch}")
            .parse()
            .expect("a letter and digits are a name");
        Formation {
            group,
            epoch,
            model,
            members,
            ready: BTreeSet::new(),
            join_sent_at: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            open_sent_at: None,
            open_done: false,
            is_refused: false,
            expected_ms,
            timeout_at: Deadline::after_ms(now, expected_ms * TIMEOUT_FACTOR + TIMEOUT_SLACK_MS),
        }
    }

    /// Whether an upstream's own words put it into this group, ready.
    fn reports_ready(&self, upstream: &Upstream) -> bool {
        upstream.membership.as_ref().is_some_and(|membership| {
            membership.group == self.group
                && membership.epoch == self.epoch
                && matches!(membership.state, GroupState::Ready | GroupState::Open)
        })
    }

    /// Takes in the state of the members and gives the orders that are due.
    pub(crate) fn advance<'a>(
        &mut self,
        find: impl Fn(&VmId) -> Option<&'a Upstream>,
        is_usable: impl Fn(&VmId) -> bool,
        now: TimeMs,
    ) -> (Progress, Vec<Order>) {
        if self.is_refused || !self.members.iter().all(&is_usable) {
            return (Progress::Failed, Vec::new());
        }
        for id in &self.members {
            if find(id).is_some_and(|upstream| self.reports_ready(upstream)) {
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
            return (Progress::Open, Vec::new());
        }
        if self.timeout_at.has_passed(now) {
            return (Progress::Failed, Vec::new());
        }
        (Progress::InProgress, self.due_orders(now))
    }

    fn due_orders(&mut self, now: TimeMs) -> Vec<Order> {
        let is_due = |sent_at: Option<TimeMs>, after_ms: u64| {
            sent_at.is_none_or(|sent_at| now.since_ms(sent_at) >= after_ms)
        };
        if self.ready.len() == self.members.len() {
            if !is_due(self.open_sent_at, RETRY_MS) {
                return Vec::new();
            }
            self.open_sent_at = Some(now);
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

    /// Takes in the answer to one of its orders.
    pub(crate) fn on_answer(&mut self, order: &Order, answer: OrderAnswer) {
        if answer == OrderAnswer::Unknown {
            self.unanswered.insert(order.target.clone());
        } else {
            self.unanswered.remove(&order.target);
        }
        match (&order.action, answer) {
            // The state already holds: the member is ready under this name, epoch and list.
            (OrderAction::Join { .. }, OrderAnswer::Done) => {
                self.ready.insert(order.target.clone());
            }
            (OrderAction::Open { .. }, OrderAnswer::Done) => self.open_done = true,
            (OrderAction::Open { .. }, OrderAnswer::Unfit) => {
                // The head is not ready after all; its members are asked once more.
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
