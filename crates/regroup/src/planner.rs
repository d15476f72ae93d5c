//! Plans the replica groups of one service: from the state of all its upstreams, decides which
//! orders, probes and health checks are due.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use jacinthpoint_fleet::{
    Engine, Evacuations, Group, Membership, Order, OrderAction, OrderAnswer, Upstream, groups_of,
};
use jacinthpoint_types::{Deadline, DeploymentId, GroupId, TimeMs, VmId};

use crate::{
    decision::Decision,
    demand::Demand,
    failure_detector::FailureDetector,
    formation::{Formation, Progress},
    planner::{
        conversion::Conversions,
        order_counts::{OrderCounts, ReportAge},
        ordered_state::OrderedState,
    },
};

mod addresses;
mod confirmation;
mod conversion;
mod late_orders;
mod maintenance;
mod new_groups;
mod order_counts;
mod ordered_state;
mod reported_state;
mod reserve;

/// Maximum age of the state in a report on its arrival.
const MAX_REPORT_AGE_MS: u64 = 1_000;

/// Time since the number of listed upstreams last reached a new maximum, after which the list
/// counts as complete at startup. Groups formed from the first few upstreams could leave too few in
/// each fabric domain for the groups of a larger model.
const LIST_COMPLETE_AFTER_MS: u64 = 700;

/// A message that the owner is to send to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an order to the upstream at this address.
    Order(Order, SocketAddr),
    /// Request the report of the upstream at this address.
    Probe(VmId, SocketAddr),
    /// Check the health of the unlisted upstream at this address. An upstream that is draining
    /// answers that it is not healthy.
    CheckHealth(VmId, SocketAddr),
}

/// State of one service and its upstreams, from which [`Planner::plan`] decides.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInput<'a> {
    /// Listed upstreams of the service, by name.
    pub upstreams: &'a BTreeMap<VmId, Upstream>,
    /// Group members that are no longer listed and may still serve.
    pub unlisted: &'a BTreeMap<VmId, Upstream>,
    /// Upstreams that take few requests for a time after their start. They lead a group only if all
    /// of its members are cold.
    pub cold: &'a BTreeSet<VmId>,
    /// Models that the service's engines may serve, and the speed and limits of the engines.
    pub engine: &'a Engine,
    /// Whether callers have sent requests. The platform makes loads of weights ten times faster
    /// until the first request, so the planner does not limit them then.
    pub has_traffic: bool,
    /// Data centres whose upstreams get no new requests. Groups there are kept whole, but do not count
    /// as capacity, and none are formed there.
    pub evacuations: &'a Evacuations,
    /// Whether upstreams go to the models that callers miss beyond what is free: weights are loaded in
    /// reserve, and free upstreams are kept for these models.
    pub follows_demand: bool,
    /// Observed demand. A model without an entry has no known demand.
    pub demand: &'a Demand,
    /// Number of requests that groups run, by leader.
    pub running: &'a BTreeMap<VmId, u32>,
}

/// An upstream's answer to a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Start time of the upstream's incarnation in Unix milliseconds; 0 if it gives none.
    pub started_unix_ms: u64,
    /// The upstream's group, if it is in one.
    pub membership: Option<Membership>,
    /// Models whose weights are on the upstream's host.
    pub staged: Vec<DeploymentId>,
    /// Number of orders that this incarnation has begun; `None` if it gives none.
    pub orders: Option<u64>,
}

impl Report {
    /// Returns whether this report comes from the incarnation that `entry` describes. After an
    /// upstream ends, another one may listen at the address and report its own membership.
    ///
    /// Start times are compared if both sides give one; not every upstream does. The report for an
    /// unlisted upstream must also name the group of the entry or no group, since an unlisted
    /// upstream is never ordered into another group.
    fn matches_entry(&self, entry: &Upstream) -> bool {
        let group = |membership: &Membership| (membership.group.clone(), membership.epoch);
        let reported_group = self.membership.as_ref().map(group);
        let is_same_group =
            reported_group.is_none() || reported_group == entry.membership.as_ref().map(group);
        let (started, known_started) = (self.started_unix_ms, entry.started_unix_ms);
        let is_same_incarnation = started == known_started || started == 0 || known_started == 0;
        is_same_incarnation && (entry.is_listed || is_same_group)
    }
}

/// State that an upstream reported. It replaces the membership and the staged weights in the
/// upstream's list entry until the membership in that entry changes.
#[derive(Debug, Clone)]
struct ReportedState {
    membership: Option<Membership>,
    staged: Vec<DeploymentId>,
    /// Membership in the list entry when the report arrived. If the entry shows another one later,
    /// the entry is newer than this report.
    entry_membership: Option<Membership>,
    /// Staged weights in the list entry when the report arrived.
    entry_staged: Vec<DeploymentId>,
    /// When the report arrived.
    received_at: TimeMs,
}

/// Plans the groups of one service under one fencing token.
#[derive(Debug)]
pub struct Planner {
    /// Fencing token of the orders.
    fencing_token: u64,
    /// Number of formations started under this token. The epoch of a formation is computed from the
    /// token and this number.
    formation_count: u64,
    detector: FailureDetector,
    /// Groups that are being formed.
    formations: BTreeMap<GroupId, Formation>,
    /// The last report of each upstream, if it is newer than the list entry.
    reported_states: BTreeMap<VmId, ReportedState>,
    /// When the membership in the entry of each upstream last changed.
    entry_changed_at: BTreeMap<VmId, TimeMs>,
    /// Upstreams whose current incarnations answered a probe of this planner. Only these are
    /// selected as members: an entry may be older than the orders of an earlier owner.
    confirmed: BTreeSet<VmId>,
    /// Memberships in groups that this planner ordered to open.
    ordered_states: BTreeMap<VmId, OrderedState>,
    /// The highest epoch of an order to join that this planner sent to each upstream, answered or not.
    ordered_epochs: BTreeMap<VmId, u64>,
    /// Groups that this planner ordered to open.
    ordered_to_open: BTreeSet<(GroupId, u64)>,
    /// Upstreams whose current incarnations have carried out an order of this planner, so that they refuse orders
    /// with a lower fencing token.
    fenced: BTreeSet<VmId>,
    /// Numbers of orders that the current incarnations have begun.
    order_counts: OrderCounts,
    /// Model of the last group that each upstream's current incarnation was in or was ordered to
    /// join. A member of a group that is being formed has the group's model, also after a restart.
    last_models: BTreeMap<VmId, DeploymentId>,
    /// Start time of each upstream's current incarnation, in Unix milliseconds.
    incarnations: BTreeMap<VmId, u64>,
    /// When an order of each kind was last sent to an upstream. Holds only orders for groups that
    /// this planner is not forming. Their kinds are `open`, `close`, `close-cut` (a close that ends
    /// running requests) and `leave`.
    order_sent_at: BTreeMap<(VmId, &'static str), TimeMs>,
    /// Loads of weights in progress, by upstream: the model, and when the load is considered lost.
    loading: BTreeMap<VmId, (DeploymentId, Deadline)>,
    /// Start times of the loads of the last second.
    load_starts: Vec<TimeMs>,
    /// Start of the wait for missing members of a group, by name and epoch: when the planner first
    /// found the group without a live leader, or neither open nor fit to open. Removed when the
    /// group is complete.
    wait_started_at: BTreeMap<(GroupId, u64), TimeMs>,
    /// Group members that are no longer listed, and until when the planner still treats them as
    /// upstreams. An unlisted leader may still serve, so its group is closed before the other
    /// members join a new one.
    unlisted: BTreeMap<VmId, (Upstream, Deadline)>,
    /// When the health of each unlisted member was last checked.
    health_checked_at: BTreeMap<VmId, TimeMs>,
    /// Groups that this planner ordered to close or dissolved. They are never opened again.
    closed_permanently: BTreeSet<(GroupId, u64)>,
    /// Groups that were ordered to open, and until when the order may take effect without the list
    /// showing it.
    open_pending_until: BTreeMap<(GroupId, u64), Deadline>,
    /// The last known leader of each group, which may no longer be listed.
    leaders: BTreeMap<(GroupId, u64), VmId>,
    /// Groups whose leader answered the order to leave itself. Such a group can never be opened
    /// again, so its other members need not leave it before they join another one.
    leaderless: BTreeSet<(GroupId, u64)>,
    conversions: Conversions,
    reserve_checked_at: TimeMs,
    /// Since when each free upstream has been free.
    free_since: BTreeMap<VmId, TimeMs>,
    /// Members that answered an order to leave their group, and members at whose address another
    /// upstream answered it.
    leave_answered: BTreeSet<(VmId, (GroupId, u64))>,
    /// Upstreams at whose address another upstream answered an order, with their entries at that
    /// time. They are not used until their entries change.
    displaced: BTreeMap<VmId, Upstream>,
    /// The upstreams that were listed at the previous planning step.
    listed: BTreeMap<VmId, Upstream>,
    /// Largest number of upstreams listed at once so far.
    peak_upstreams: usize,
    /// When `peak_upstreams` was reached.
    peak_reached_at: TimeMs,
    /// Decisions since the last call of [`Planner::take_decisions`].
    decisions: Vec<Decision>,
}

impl Planner {
    /// Returns a planner without any state. Its orders are sent under `fencing_token`.
    pub fn new(fencing_token: u64) -> Planner {
        Planner {
            fencing_token,
            formation_count: 0,
            detector: FailureDetector::default(),
            formations: BTreeMap::new(),
            reported_states: BTreeMap::new(),
            entry_changed_at: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            ordered_states: BTreeMap::new(),
            ordered_epochs: BTreeMap::new(),
            ordered_to_open: BTreeSet::new(),
            fenced: BTreeSet::new(),
            order_counts: OrderCounts::default(),
            last_models: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            order_sent_at: BTreeMap::new(),
            loading: BTreeMap::new(),
            load_starts: Vec::new(),
            wait_started_at: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            health_checked_at: BTreeMap::new(),
            closed_permanently: BTreeSet::new(),
            open_pending_until: BTreeMap::new(),
            leaders: BTreeMap::new(),
            leaderless: BTreeSet::new(),
            conversions: Conversions::default(),
            reserve_checked_at: TimeMs(0),
            free_since: BTreeMap::new(),
            leave_answered: BTreeSet::new(),
            displaced: BTreeMap::new(),
            listed: BTreeMap::new(),
            peak_upstreams: 0,
            peak_reached_at: TimeMs(0),
            decisions: Vec::new(),
        }
    }

    /// Returns the fencing token of this planner's orders.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Returns the decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Records an event on a stream of a group, which proves that all its members are alive.
    pub fn on_group_event<'a>(&mut self, members: impl IntoIterator<Item = &'a VmId>, now: TimeMs) {
        for id in members {
            self.detector.on_alive(id, now);
        }
    }

    /// Records that all streams of a group stalled. Its members become suspects, which are probed
    /// at a shorter interval.
    pub fn on_group_stalled<'a>(&mut self, members: impl IntoIterator<Item = &'a VmId>) {
        for id in members {
            self.detector.on_suspicion(id);
        }
    }

    /// Records the end of a probe. `report` is `None` if the probe was not answered; a report of
    /// another upstream or incarnation counts as a failed probe. `entry` is the upstream's list
    /// entry, or `None` if the upstream is not listed. Returns true if the upstream is considered
    /// dead from this probe on.
    pub fn on_probe_end(
        &mut self,
        id: &VmId,
        report: Option<Report>,
        entry: Option<&Upstream>,
        now: TimeMs,
    ) -> bool {
        self.detector.on_probe_end(id);
        let unlisted = self.unlisted.get(id).map(|(upstream, _)| upstream);
        let entry = entry.or(unlisted);
        let matches = |report: &Report| entry.is_none_or(|entry| report.matches_entry(entry));
        let Some(report) = report.filter(matches) else {
            return self.detector.on_failed_probe(id);
        };
        let age = self.order_counts.on_report(id, report.orders, now);
        if age == ReportAge::Outdated {
            // A copy, or another process at the address that gives no start time. The next report decides.
            self.decisions
                .push(Decision::ReportOutdated { id: id.clone() });
            return self.detector.on_failed_probe(id);
        }
        self.detector.on_alive(id, now);
        if age == ReportAge::Lagging {
            return false;
        }
        if let Some(entry) = entry
            && !self.is_report_older(&report, entry, now)
        {
            let reported = ReportedState {
                membership: report.membership,
                staged: report.staged,
                entry_membership: entry.membership.clone(),
                entry_staged: entry.staged.clone(),
                received_at: now,
            };
            self.reported_states.insert(id.clone(), reported);
        }
        false
    }

    /// Returns whether a report may be older than the entry of its upstream: the entry changed less
    /// than [`MAX_REPORT_AGE_MS`] ago, and the report shows neither the same membership nor a later
    /// group.
    fn is_report_older(&self, report: &Report, entry: &Upstream, now: TimeMs) -> bool {
        let changed_at = self.entry_changed_at.get(&entry.id);
        let is_entry_recent = changed_at.is_some_and(|at| now.since_ms(*at) < MAX_REPORT_AGE_MS);
        let epoch = |membership: &Option<Membership>| membership.as_ref().map(|m| m.epoch);
        let shows_later = epoch(&report.membership) > epoch(&entry.membership);
        is_entry_recent && !shows_later && report.membership != entry.membership
    }

    /// Records the answer to an order.
    pub fn on_answer(&mut self, order: &Order, answer: OrderAnswer, now: TimeMs) {
        // `Unknown` means that no answer arrived.
        match answer {
            OrderAnswer::Unknown => self.detector.on_suspicion(&order.target),
            OrderAnswer::WrongUpstream => self.record_displaced(&order.target),
            _ => {
                self.detector.on_alive(&order.target, now);
                self.record_others_displaced(&order.target);
            }
        }
        self.record_fenced(order, answer);
        self.order_counts.on_answer(order, answer, now);
        self.on_ordered_answer(order, answer);
        if let OrderAction::Leave { group, epoch } = &order.action {
            let key = (group.clone(), *epoch);
            // `WrongUpstream` means that the upstream has ended.
            let has_left = answer.shows_absence();
            if answer == OrderAnswer::Unfit {
                // The upstream is in another group than its state shows.
                self.confirmed.remove(&order.target);
                self.reported_states.remove(&order.target);
            }
            if has_left && self.leaders.get(&key) == Some(&order.target) {
                self.leaderless.insert(key.clone());
            }
            if has_left || answer == OrderAnswer::WrongUpstream {
                self.leave_answered.insert((order.target.clone(), key));
            }
        }
        if let OrderAction::Join { group, .. } | OrderAction::Open { group, .. } = &order.action
            && let Some(formation) = self.formations.get_mut(group)
        {
            formation.on_answer(order, answer);
        }
    }

    /// Returns the orders, probes and health checks that are due.
    pub fn plan(&mut self, input: PlannerInput<'_>, now: TimeMs) -> Vec<Action> {
        let mut upstreams = self.current_upstreams(input, now);
        let mut orders = self.advance_formations(&mut upstreams, now);
        let upstreams = upstreams;
        let groups = groups_of(upstreams.values());
        let mut assigned: BTreeSet<VmId> = self.forming_members();
        for group in groups.values() {
            if self.formations.contains_key(&group.id) {
                continue;
            }
            let (are_members_assigned, due) = self.maintain(group, &upstreams, input.engine, now);
            if are_members_assigned {
                // Not `group.members`, which holds one upstream for each rank: the entries of two
                // upstreams may name the same rank.
                assigned.extend(published_members(group, &upstreams));
            }
            orders.extend(due);
        }
        self.request_confirmations(&upstreams, &assigned);
        self.wait_started_at
            .retain(|key, _| groups.contains_key(key));
        self.closed_permanently
            .retain(|key| groups.contains_key(key));
        self.leaders.retain(|key, _| groups.contains_key(key));
        self.leaderless.retain(|key| groups.contains_key(key));
        self.ordered_to_open
            .retain(|key| groups.contains_key(key) || self.formations.contains_key(&key.0));
        self.leave_answered
            .retain(|(_, key)| groups.contains_key(key));
        self.open_pending_until
            .retain(|_, until| !until.has_passed(now));
        if input.upstreams.len() > self.peak_upstreams {
            self.peak_upstreams = input.upstreams.len();
            self.peak_reached_at = now;
        }
        let is_list_complete =
            input.has_traffic || now.since_ms(self.peak_reached_at) >= LIST_COMPLETE_AFTER_MS;
        if is_list_complete {
            let group_counts = self.group_counts(&groups, &upstreams, input);
            let needs = self.model_needs(&group_counts, input);
            orders.extend(self.convert(&groups, &upstreams, &needs, input, now));
            orders.extend(self.form_groups(&upstreams, assigned, group_counts, input, now));
            orders.extend(self.load_reserve(&groups, &upstreams, &needs, input, now));
        }
        self.record_open_orders(&orders, input.engine, now);
        self.record_orders(&orders);
        let address = |id: &VmId| upstreams.get(id).map(|upstream| upstream.address);
        let orders = orders.into_iter().filter_map(|order| {
            let address = address(&order.target)?;
            Some(Action::Order(order, address))
        });
        let mut actions: Vec<Action> = orders.collect();
        actions.extend(self.due_probes(&upstreams, now));
        actions.extend(self.due_health_checks(now));
        actions
    }

    /// Returns whether the upstream's process is considered ended: it does not answer probes, or
    /// another upstream listens at its address.
    fn is_gone(&self, id: &VmId) -> bool {
        self.detector.is_dead(id) || self.displaced.contains_key(id)
    }

    /// Returns the members of all groups that are being formed.
    fn forming_members(&self) -> BTreeSet<VmId> {
        let members = self
            .formations
            .values()
            .flat_map(|formation| &formation.members);
        members.cloned().collect()
    }

    /// Returns the orders that are due for groups being formed, and removes the formations that
    /// ended. A formation fails if a member is unlisted, draining or considered dead. Adds the
    /// memberships of groups that were ordered to open to `upstreams`.
    fn advance_formations(
        &mut self,
        upstreams: &mut BTreeMap<VmId, Upstream>,
        now: TimeMs,
    ) -> Vec<Order> {
        let (detector, displaced) = (&self.detector, &self.displaced);
        let is_usable = |id: &VmId| {
            let is_ready = upstreams.get(id).is_some_and(Upstream::is_ready);
            is_ready && !detector.is_dead(id) && !displaced.contains_key(id)
        };
        let mut due = Vec::new();
        let mut ended = Vec::new();
        for formation in self.formations.values_mut() {
            let (progress, orders) = formation.advance(|id| upstreams.get(id), is_usable, now);
            due.extend(orders);
            if let Progress::Ended(outcome) = progress {
                ended.push((formation.group.clone(), outcome));
            }
            // `current_upstreams` removed the model of a member that restarted. It is added again,
            // since the member is assigned to this group and counts as a holder of its model.
            for id in &formation.members {
                self.last_models.insert(id.clone(), formation.model.clone());
            }
        }
        for (group, outcome) in ended {
            if let Some(formation) = self.formations.remove(&group)
                && formation.was_ordered_to_open
            {
                self.record_ordered(&formation, outcome, upstreams, now);
            }
            self.decisions
                .push(Decision::FormationEnded { group, outcome });
        }
        due
    }

    /// Returns the probes that are due, and records that they start.
    fn due_probes(&mut self, upstreams: &BTreeMap<VmId, Upstream>, now: TimeMs) -> Vec<Action> {
        let mut probes = Vec::new();
        for (id, upstream) in upstreams {
            if self.detector.start_probe_if_due(id, now) {
                probes.push(Action::Probe(id.clone(), upstream.address));
            }
        }
        probes
    }
}

/// Returns the upstreams that publish membership in a group.
fn published_members<'a>(
    group: &'a Group,
    upstreams: &'a BTreeMap<VmId, Upstream>,
) -> impl Iterator<Item = VmId> + 'a {
    let is_member = |upstream: &&Upstream| {
        let membership = upstream.membership.as_ref();
        membership.is_some_and(|m| m.group == group.id && m.epoch == group.epoch)
    };
    let members = upstreams.values().filter(is_member);
    members.map(|upstream| upstream.id.clone())
}
