//! Merges list entries with what upstreams reported themselves.
//!
//! A list entry may be older than the upstream's own report. The entry of a group member that is
//! cut off from the store, which holds the list of upstreams, expires while its group still serves.
//! The planner decides on the merged state, which includes such unlisted members.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_fleet::{Membership, UNLISTED_MS, Upstream, UpstreamState};
use jacinthpoint_types::{Deadline, DeploymentId, TimeMs, VmId};

use crate::planner::{Action, Planner, PlannerInput};

/// Time between two health checks of an unlisted member.
const HEALTH_CHECK_INTERVAL_MS: u64 = 1_000;

impl Planner {
    /// Updates the planner's records from its input, and returns all listed upstreams and unlisted
    /// members. Membership and staged weights are those of the upstream's report, if there is one
    /// that is newer than its list entry.
    pub(super) fn current_upstreams(
        &mut self,
        input: PlannerInput<'_>,
        now: TimeMs,
    ) -> BTreeMap<VmId, Upstream> {
        let mut upstreams = input.upstreams.clone();
        self.record_entry_changes(&upstreams, now);
        self.add_unlisted(&mut upstreams, input.unlisted, now);
        self.retain_displaced(&upstreams);
        self.detector.retain(|id| upstreams.contains_key(id));
        // A report from an address that several upstreams have may come from any of them, and one
        // from the address of a displaced upstream comes from another one.
        let shared = self.shared_addresses_of_present(&upstreams);
        let displaced = &self.displaced;
        self.reported_states.retain(|id, _| {
            let upstream = upstreams.get(id);
            let is_shared = |upstream: &Upstream| shared.contains(&upstream.address);
            upstream.is_some_and(|upstream| !is_shared(upstream) && !displaced.contains_key(id))
        });
        self.update_confirmed(&upstreams);
        self.retain_ordered(&upstreams);
        self.retain_order_records(&upstreams);
        self.incarnations.retain(|id, _| upstreams.contains_key(id));
        for (id, upstream) in &mut upstreams {
            self.detector
                .on_incarnation(id, upstream.started_unix_ms, now);
            if self
                .incarnations
                .insert(id.clone(), upstream.started_unix_ms)
                != Some(upstream.started_unix_ms)
            {
                self.reported_states.remove(id);
                self.ordered_states.remove(id);
                self.fenced.remove(id);
                self.order_counts.remove(id);
                self.confirmed.remove(id);
                self.last_models.remove(id);
                self.loading.remove(id);
            }
            if let Some(reported) = self.reported_states.get(id) {
                if reported.entry_membership == upstream.membership {
                    upstream.membership.clone_from(&reported.membership);
                    // A load that ends changes the entry, but not the membership in it.
                    if reported.entry_staged == upstream.staged {
                        upstream.staged.clone_from(&reported.staged);
                    }
                } else {
                    self.reported_states.remove(id);
                }
            }
            self.apply_ordered(upstream);
            if let (Some(model), Some(_)) = (&upstream.model, &upstream.membership) {
                self.last_models.insert(id.clone(), model.clone());
            }
            let is_staged = |model: &DeploymentId| upstream.staged.contains(model);
            let has_ended = |(model, until): &(DeploymentId, Deadline)| {
                is_staged(model) || until.has_passed(now)
            };
            if self.loading.get(id).is_some_and(has_ended) {
                self.loading.remove(id);
            }
        }
        upstreams
    }

    /// Records when the membership in an entry changed since the previous planning step.
    ///
    /// A late order to join may bring a member back into a group that it left, so an entry that newly
    /// shows the group cancels the answer to the order to leave.
    fn record_entry_changes(&mut self, upstreams: &BTreeMap<VmId, Upstream>, now: TimeMs) {
        let key = |membership: &Membership| (membership.group.clone(), membership.epoch);
        for (id, upstream) in upstreams {
            let Some(previous) = self.listed.get(id) else {
                continue;
            };
            if previous.membership == upstream.membership {
                continue;
            }
            self.entry_changed_at.insert(id.clone(), now);
            let shown = upstream.membership.as_ref().map(key);
            if shown != previous.membership.as_ref().map(key)
                && let Some(group) = shown
            {
                self.leave_answered.remove(&(id.clone(), group));
            }
        }
        self.entry_changed_at
            .retain(|id, _| upstreams.contains_key(id));
    }

    /// Adds group members that are no longer listed and are not known to have ended. An unlisted
    /// leader counts as draining. Any other member does not until a health check shows that it is
    /// draining, since it may still serve while it is cut off from the store.
    fn add_unlisted(
        &mut self,
        upstreams: &mut BTreeMap<VmId, Upstream>,
        input_unlisted: &BTreeMap<VmId, Upstream>,
        now: TimeMs,
    ) {
        let mut previous = std::mem::replace(&mut self.listed, upstreams.clone());
        if previous.is_empty() {
            // A new planner has no previous list; the gateway's view of the fleet holds the members
            // whose entries were removed under an earlier owner.
            previous.clone_from(input_unlisted);
        }
        for (id, mut upstream) in previous {
            if !upstreams.contains_key(&id) && upstream.membership.is_some() {
                upstream.is_listed = false;
                if !upstream.may_serve_unlisted() {
                    upstream.state = UpstreamState::Draining;
                }
                let until = Deadline::after_ms(now, UNLISTED_MS);
                self.unlisted.insert(id, (upstream, until));
            }
        }
        let (detector, displaced) = (&self.detector, &self.displaced);
        let reported_states = &self.reported_states;
        let addresses: BTreeSet<_> = upstreams.values().map(|listed| listed.address).collect();
        self.unlisted.retain(|id, (upstream, until)| {
            let has_left_group = reported_states
                .get(id)
                .is_some_and(|reported| reported.membership.is_none());
            // A listed upstream has the address of this member.
            let is_replaced = addresses.contains(&upstream.address);
            let is_gone = until.has_passed(now)
                || has_left_group
                || is_replaced
                || detector.is_dead(id)
                || displaced.contains_key(id);
            !is_gone && !upstreams.contains_key(id)
        });
        for (id, (upstream, _)) in &self.unlisted {
            // A draining member is probed at a shorter interval, so that its end is detected
            // sooner.
            if upstream.is_draining() {
                self.detector.on_suspicion(id);
            }
            upstreams.insert(id.clone(), upstream.clone());
        }
    }

    /// Records the answer to a health check of an unlisted member. If `is_healthy` is false, the
    /// member counts as draining: its group is closed, and the member is not checked again. Another
    /// upstream that listens at the member's address refuses the check, so a member whose address
    /// another upstream has taken over counts as draining, too.
    pub fn on_health_answer(&mut self, id: &VmId, is_healthy: bool) {
        if let Some((upstream, _)) = self.unlisted.get_mut(id).filter(|_| !is_healthy) {
            upstream.state = UpstreamState::Draining;
        }
    }

    /// Returns the health checks of unlisted members that are due.
    pub(super) fn due_health_checks(&mut self, now: TimeMs) -> Vec<Action> {
        let unlisted = &self.unlisted;
        self.health_checked_at
            .retain(|id, _| unlisted.contains_key(id));
        let mut due = Vec::new();
        for (id, (upstream, _)) in unlisted {
            let checked_at = self.health_checked_at.get(id);
            let is_due = checked_at.is_none_or(|at| now.since_ms(*at) >= HEALTH_CHECK_INTERVAL_MS);
            if is_due && !upstream.is_draining() {
                self.health_checked_at.insert(id.clone(), now);
                due.push(Action::CheckHealth(id.clone(), upstream.address));
            }
        }
        due
    }
}
