//! The planner: looks at all upstreams of one service and gives the orders that are due.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use jacinthpoint_fleet::{
    Engine, Membership, Order, OrderAction, OrderAnswer, Upstream, groups_of,
};
use jacinthpoint_types::{Deadline, DeploymentId, GroupId, TimeMs, VmId};

use crate::{
    demand::Demand,
    failure_detector::FailureDetector,
    formation::{Formation, Progress},
};

mod maintenance;
mod new_groups;
mod reported_state;

/// Time without a new upstream after which the list counts as complete at the start. Groups that
/// are formed of the first few would leave the others without partners.
const LIST_COMPLETE_AFTER_MS: u64 = 700;

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send an order to this address.
    Order(Order, SocketAddr),
    /// Ask an upstream at this address how it is.
    Probe(VmId, SocketAddr),
    /// Ask an upstream at this address, which dropped out of the list, whether it stays.
    CheckHealth(VmId, SocketAddr),
}

/// What the planner looks at.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInput<'a> {
    /// Upstreams of the service by name.
    pub upstreams: &'a BTreeMap<VmId, Upstream>,
    /// Members of groups that dropped out of the list.
    pub unlisted: &'a BTreeMap<VmId, Upstream>,
    /// Its engines.
    pub engine: &'a Engine,
    /// Whether callers' requests have begun. Loads are cheap before.
    pub has_traffic: bool,
    /// Requests a second that the fleet is asked for, as far as it is known.
    pub demand: &'a Demand,
}

/// What an upstream says of itself when it is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// When its life began, in Unix milliseconds; 0 if it does not say.
    pub started_unix_ms: u64,
    /// The group that it is in.
    pub membership: Option<Membership>,
    /// Models whose weights are on its host.
    pub staged: Vec<DeploymentId>,
}

impl Report {
    /// Whether it is of the life that the entry speaks of. After the end of an upstream another one
    /// may listen at its address, with a membership of its own. Not all say when they were born;
    /// but one that is not listed is not ordered into another group.
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

/// A report that is believed until the entry changes.
#[derive(Debug, Clone)]
struct ReportedState {
    membership: Option<Membership>,
    staged: Vec<DeploymentId>,
    /// The entry's membership at that time; another one later is newer than this statement.
    entry_membership: Option<Membership>,
}

/// Plans for one service under one fencing token.
#[derive(Debug)]
pub struct Planner {
    fence: u64,
    formation_count: u64,
    detector: FailureDetector,
    formations: BTreeMap<GroupId, Formation>,
    reported_states: BTreeMap<VmId, ReportedState>,
    last_models: BTreeMap<VmId, DeploymentId>,
    incarnations: BTreeMap<VmId, u64>,
    order_sent_at: BTreeMap<(VmId, &'static str), TimeMs>,
    loading: BTreeMap<VmId, (DeploymentId, Deadline)>,
    load_starts: Vec<TimeMs>,
    partial_since: BTreeMap<(GroupId, u64), TimeMs>,
    /// Members that are no longer listed. Some serve on for a while, so their groups are closed
    /// before the other members are used again.
    unlisted: BTreeMap<VmId, (Upstream, Deadline)>,
    /// When each of these was last asked whether it stays.
    health_checked_at: BTreeMap<VmId, TimeMs>,
    /// Groups that are closed for good; they are never opened again.
    closed_permanently: BTreeSet<(GroupId, u64)>,
    /// Groups with an order to open them on its way, and until when it may take effect unseen.
    open_pending_until: BTreeMap<(GroupId, u64), Deadline>,
    /// Members that were told to leave their group and answered.
    leave_answered: BTreeSet<(VmId, (GroupId, u64))>,
    listed: BTreeMap<VmId, Upstream>,
    peak_upstreams: usize,
    peak_reached_at: TimeMs,
}

impl Planner {
    /// A planner whose orders carry `fence`.
    pub fn new(fence: u64) -> Planner {
        Planner {
            fence,
            formation_count: 0,
            detector: FailureDetector::default(),
            formations: BTreeMap::new(),
            reported_states: BTreeMap::new(),
            last_models: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            order_sent_at: BTreeMap::new(),
            loading: BTreeMap::new(),
            load_starts: Vec::new(),
            partial_since: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            health_checked_at: BTreeMap::new(),
            closed_permanently: BTreeSet::new(),
            open_pending_until: BTreeMap::new(),
            leave_answered: BTreeSet::new(),
            listed: BTreeMap::new(),
            peak_upstreams: 0,
            peak_reached_at: TimeMs(0),
        }
    }

    /// The fencing token of its orders.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Takes in an event of a stream of a group: all its members live.
    pub fn on_group_event<'a>(&mut self, members: impl IntoIterator<Item = &'a VmId>, now: TimeMs) {
        for id in members {
            self.detector.on_alive(id, now);
        }
    }

    /// Takes in that all streams of a group have stopped.
    pub fn on_group_stalled<'a>(&mut self, members: impl IntoIterator<Item = &'a VmId>) {
        for id in members {
            self.detector.on_suspicion(id);
        }
    }

    /// Takes in the answer to a probe; tells whether the upstream is taken as dead by its absence.
    pub fn on_probe(
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
        self.detector.on_alive(id, now);
        if let Some(entry) = entry {
            let reported = ReportedState {
                membership: report.membership,
                staged: report.staged,
                entry_membership: entry.membership.clone(),
            };
            self.reported_states.insert(id.clone(), reported);
        }
        false
    }

    /// Takes in the answer to an order.
    pub fn on_answer(&mut self, order: &Order, answer: OrderAnswer, now: TimeMs) {
        match answer {
            OrderAnswer::Unknown => self.detector.on_suspicion(&order.target),
            _ => self.detector.on_alive(&order.target, now),
        }
        if let OrderAction::Leave { group, epoch } = &order.action
            && answer != OrderAnswer::Unknown
        {
            let key = (group.clone(), *epoch);
            self.leave_answered.insert((order.target.clone(), key));
        }
        if let OrderAction::Join { group, .. } | OrderAction::Open { group, .. } = &order.action
            && let Some(formation) = self.formations.get_mut(group)
        {
            formation.on_answer(order, answer);
        }
    }

    /// Looks at everything and returns what is due.
    pub fn plan(&mut self, input: PlannerInput<'_>, now: TimeMs) -> Vec<Action> {
        let upstreams = self.current_upstreams(input, now);
        let mut orders = self.advance_formations(&upstreams, now);
        let groups = groups_of(upstreams.values());
        let mut assigned: BTreeSet<VmId> = self.forming_members();
        for group in groups.values() {
            if self.formations.contains_key(&group.id) {
                continue;
            }
            let (are_members_assigned, due) = self.maintain(group, &upstreams, input.engine, now);
            if are_members_assigned {
                assigned.extend(group.members.values().cloned());
            }
            orders.extend(due);
        }
        self.partial_since.retain(|key, _| groups.contains_key(key));
        self.closed_permanently
            .retain(|key| groups.contains_key(key));
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
            let counts = self.group_counts(&groups, input.engine);
            orders.extend(self.form_groups(&upstreams, assigned, counts, input, now));
        }
        self.record_open_orders(&orders, input.engine, now);
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

    fn forming_members(&self) -> BTreeSet<VmId> {
        let members = self
            .formations
            .values()
            .flat_map(|formation| &formation.members);
        members.cloned().collect()
    }

    fn advance_formations(
        &mut self,
        upstreams: &BTreeMap<VmId, Upstream>,
        now: TimeMs,
    ) -> Vec<Order> {
        let detector = &self.detector;
        let is_usable =
            |id: &VmId| upstreams.get(id).is_some_and(Upstream::is_ready) && !detector.is_dead(id);
        let mut due = Vec::new();
        let mut ended = Vec::new();
        for formation in self.formations.values_mut() {
            let (progress, orders) = formation.advance(|id| upstreams.get(id), is_usable, now);
            due.extend(orders);
            if progress != Progress::InProgress {
                ended.push(formation.group.clone());
            }
            for id in &formation.members {
                self.last_models.insert(id.clone(), formation.model.clone());
            }
        }
        for group in ended {
            self.formations.remove(&group);
        }
        due
    }

    fn due_probes(&mut self, upstreams: &BTreeMap<VmId, Upstream>, now: TimeMs) -> Vec<Action> {
        let mut probes = Vec::new();
        for (id, upstream) in upstreams {
            if self.detector.probe_is_due(id, now) {
                probes.push(Action::Probe(id.clone(), upstream.address));
            }
        }
        probes
    }
}
