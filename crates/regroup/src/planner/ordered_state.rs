//! Keeps the memberships that this planner ordered, until upstreams publish newer state.
//!
//! A list entry may be older than the orders that the upstream carried out: an upstream that is cut
//! off from the store still answers orders and serves, but its entry stays as it was until it
//! expires. Without a usable report, the member of a serving group would count as free.

use std::collections::BTreeMap;

use jacinthpoint_fleet::{GroupState, Membership, Order, OrderAction, OrderAnswer, Upstream};
use jacinthpoint_types::{DeploymentId, TimeMs, VmId};

use crate::{
    decision::FormationOutcome,
    formation::Formation,
    planner::{MAX_REPORT_AGE_MS, Planner, ReportedState},
};

/// Membership of an upstream in a group that this planner ordered to open.
#[derive(Debug, Clone)]
pub(super) struct OrderedState {
    membership: Membership,
    model: DeploymentId,
    /// When the formation ended.
    ordered_at: TimeMs,
}

impl OrderedState {
    /// Returns whether the upstream published newer state than this one.
    ///
    /// A changed entry alone does not show that: entries may arrive late, so an entry may go from one
    /// state before the order to another one.
    fn is_outdated(&self, entry: &Upstream, report: Option<&ReportedState>) -> bool {
        let epoch = self.membership.epoch;
        let has_newer_entry = entry
            .membership
            .as_ref()
            .is_some_and(|shown| shown.epoch > epoch);
        let shows_older =
            |membership: Option<&Membership>| membership.is_none_or(|shown| shown.epoch < epoch);
        // A report that shows the group itself does not outdate this state, since that report may
        // become unusable.
        let has_newer_report = report.is_some_and(|report| {
            shows_older(report.membership.as_ref())
                && report.received_at.since_ms(self.ordered_at) >= MAX_REPORT_AGE_MS
        });
        has_newer_entry || has_newer_report
    }

    /// Replaces the membership of `upstream` unless it shows a group with the same or a higher
    /// epoch.
    fn apply(&self, upstream: &mut Upstream) {
        let shown = upstream.membership.as_ref();
        if shown.is_none_or(|shown| shown.epoch < self.membership.epoch) {
            upstream.membership = Some(self.membership.clone());
            upstream.model = Some(self.model.clone());
        }
    }
}

impl Planner {
    /// Removes the ordered states that are outdated or whose upstreams are gone. `upstreams` has
    /// the entries of the list.
    pub(super) fn retain_ordered(&mut self, upstreams: &BTreeMap<VmId, Upstream>) {
        let reported_states = &self.reported_states;
        self.ordered_states.retain(|id, ordered| {
            let is_current =
                |entry: &Upstream| !ordered.is_outdated(entry, reported_states.get(id));
            upstreams.get(id).is_some_and(is_current)
        });
    }

    /// Adds the ordered state of an upstream, if there is any, to its published one.
    pub(super) fn apply_ordered(&self, upstream: &mut Upstream) {
        if let Some(ordered) = self.ordered_states.get(&upstream.id) {
            ordered.apply(upstream);
        }
    }

    /// Records the memberships in a group whose formation ended, and adds them to `upstreams`. The
    /// group was ordered to open.
    pub(super) fn record_ordered(
        &mut self,
        formation: &Formation,
        outcome: FormationOutcome,
        upstreams: &mut BTreeMap<VmId, Upstream>,
        now: TimeMs,
    ) {
        for (rank, id) in formation.members.iter().enumerate() {
            let Some(upstream) = upstreams.get_mut(id) else {
                continue;
            };
            let is_open = rank == 0 && outcome == FormationOutcome::Open;
            let ordered = OrderedState {
                membership: Membership {
                    group: formation.group.clone(),
                    epoch: formation.epoch,
                    rank,
                    state: if is_open {
                        GroupState::Open
                    } else {
                        GroupState::Ready
                    },
                },
                model: formation.model.clone(),
                ordered_at: now,
            };
            ordered.apply(upstream);
            self.ordered_states.insert(id.clone(), ordered);
        }
    }

    /// Removes the ordered state of an upstream that answered that it left the group or joined
    /// another one.
    pub(super) fn on_ordered_answer(&mut self, order: &Order, answer: OrderAnswer) {
        let Some(ordered) = self.ordered_states.get(&order.target) else {
            return;
        };
        let ordered_epoch = ordered.membership.epoch;
        let has_ended = match &order.action {
            OrderAction::Leave { epoch, .. } => *epoch == ordered_epoch && answer.shows_absence(),
            OrderAction::Join { epoch, .. } => {
                *epoch > ordered_epoch && matches!(answer, OrderAnswer::Begun | OrderAnswer::Done)
            }
            _ => false,
        };
        if has_ended {
            self.ordered_states.remove(&order.target);
        }
    }
}
