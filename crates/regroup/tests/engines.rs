//! Simulated model engines. They carry out orders as real engines do, and record each order that
//! should not have been sent as a violation.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use jacinthpoint_fleet::{
    GroupState, Membership, OrderAction, OrderAnswer, Upstream, UpstreamState,
};
use jacinthpoint_types::{DeploymentId, GroupId, TimeMs, VmId};

/// Time of a join if the engine's last group held the model.
const RESIDENT_MS: u64 = 200;
/// Time of a join with staged weights.
pub const WARM_MS: u64 = 1_600;
/// Time of a load of weights from the weight store.
pub const LOAD_MS: u64 = 16_000;
/// Time from an order to open a group until its leader takes requests.
pub const FORM_MS: u64 = 300;

/// State of one simulated engine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// The entry that the engine publishes of itself.
    pub entry: Upstream,
    pub is_alive: bool,
    /// Whether the store shows the entry.
    pub is_listed: bool,
    /// When a join in progress ends.
    pub ready_at: Option<TimeMs>,
    /// When the group opens.
    open_at: Option<TimeMs>,
    /// The model that the host is loading, and when the load ends.
    staged_at: Option<(DeploymentId, TimeMs)>,
    last_model: Option<DeploymentId>,
    /// Members of the group in the last order to join.
    members: Vec<VmId>,
    highest_epoch: u64,
    highest_fence: u64,
}

/// All simulated engines and the violations that they recorded.
#[derive(Debug, Default)]
pub struct Engines {
    pub machines: BTreeMap<VmId, Machine>,
    pub violations: Vec<String>,
    /// Members that were ready at any time, by group and epoch.
    ever_ready: BTreeMap<(GroupId, u64), BTreeSet<VmId>>,
    /// Orders to be carried out late: time, engine, order and fencing token.
    late: Vec<(TimeMs, VmId, OrderAction, u64)>,
}

impl Engines {
    /// Adds an engine to a fabric domain. `staged` names a model whose weights are on its host.
    pub fn add(&mut self, id: &str, domain: &str, staged: Option<&str>) {
        let port = u16::try_from(self.machines.len() + 1).expect("few engines");
        let id: VmId = id.parse().expect("a valid name");
        let entry = Upstream {
            id: id.clone(),
            started_unix_ms: 1,
            service: "models".parse().expect("a valid name"),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: "dc".parse().expect("a valid name"),
            state: UpstreamState::Ready,
            slots: 26,
            domain: Some(domain.parse().expect("a valid name")),
            staged: staged
                .map(|model| model.parse().expect("a valid name"))
                .into_iter()
                .collect(),
            model: None,
            membership: None,
            is_listed: true,
        };
        let machine = Machine {
            entry,
            is_alive: true,
            is_listed: true,
            ready_at: None,
            open_at: None,
            staged_at: None,
            last_model: None,
            members: Vec::new(),
            highest_epoch: 0,
            highest_fence: 0,
        };
        self.machines.insert(id, machine);
    }

    /// Returns the entries that the store shows.
    pub fn listed(&self) -> BTreeMap<VmId, Upstream> {
        let listed = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.is_listed);
        listed
            .map(|(id, machine)| (id.clone(), machine.entry.clone()))
            .collect()
    }

    pub fn machine(&mut self, id: &VmId) -> &mut Machine {
        self.machines.get_mut(id).expect("the engine exists")
    }

    /// Ends an engine's process.
    pub fn kill(&mut self, id: &VmId) {
        self.machine(id).is_alive = false;
    }

    /// Starts a new incarnation of an engine. The host keeps its staged weights.
    pub fn restart(&mut self, id: &VmId) {
        let machine = self.machine(id);
        machine.is_alive = true;
        machine.is_listed = true;
        machine.entry.started_unix_ms += 1;
        machine.entry.membership = None;
        machine.entry.model = None;
        machine.ready_at = None;
        machine.open_at = None;
        machine.staged_at = None;
        machine.last_model = None;
        machine.highest_epoch = 0;
        machine.highest_fence = 0;
    }

    /// Carries out the late orders, loads, joins and openings that are due.
    pub fn advance(&mut self, now: TimeMs) {
        let due: Vec<_> = self
            .late
            .iter()
            .filter(|(at, ..)| *at <= now)
            .cloned()
            .collect();
        self.late.retain(|(at, ..)| *at > now);
        for (_, id, action, fence) in due {
            self.carry_out(&id, &action, fence, now);
        }
        let mut opened = Vec::new();
        for (id, machine) in &mut self.machines {
            if !machine.is_alive {
                continue;
            }
            if let Some((model, _)) = machine.staged_at.take_if(|(_, at)| *at <= now) {
                machine.entry.staged = vec![model];
            }
            if machine.ready_at.take_if(|at| *at <= now).is_some() {
                let membership = machine
                    .entry
                    .membership
                    .as_mut()
                    .expect("a joining engine has a membership");
                membership.state = GroupState::Ready;
                machine.entry.staged = machine.entry.model.clone().into_iter().collect();
                let key = (membership.group.clone(), membership.epoch);
                self.ever_ready.entry(key).or_default().insert(id.clone());
            }
            if machine.open_at.take_if(|at| *at <= now).is_some()
                && let Some(membership) = &mut machine.entry.membership
            {
                membership.state = GroupState::Open;
                opened.push((membership.clone(), machine.members.clone()));
            }
        }
        for (membership, members) in opened {
            let key = (membership.group.clone(), membership.epoch);
            let ready = self.ever_ready.get(&key).cloned().unwrap_or_default();
            if members.iter().any(|id| !ready.contains(id)) {
                self.violations.push(format!(
                    "group {} opened with a member that was never ready",
                    key.0
                ));
            }
        }
    }

    /// Schedules an order that is not answered and is carried out at `at`.
    pub fn defer(&mut self, at: TimeMs, id: &VmId, action: &OrderAction, fence: u64) {
        self.late.push((at, id.clone(), action.clone(), fence));
    }

    /// Carries out an order and returns its answer.
    pub fn carry_out(
        &mut self,
        id: &VmId,
        action: &OrderAction,
        fence: u64,
        now: TimeMs,
    ) -> OrderAnswer {
        let Some(machine) = self.machines.get(id).filter(|machine| machine.is_alive) else {
            return OrderAnswer::Unknown;
        };
        if fence < machine.highest_fence {
            return OrderAnswer::Fenced;
        }
        self.machine(id).highest_fence = fence;
        match action {
            OrderAction::Join {
                group,
                epoch,
                model,
                members,
            } => self.join(id, (group, *epoch), model, members, now),
            OrderAction::Open { group, epoch } => self.open(id, group, *epoch, now),
            OrderAction::Close { group, epoch, .. } => {
                self.change_member(id, group, *epoch, |machine| {
                    machine.open_at = None;
                    if let Some(membership) = &mut machine.entry.membership {
                        membership.state = GroupState::Ready;
                    }
                })
            }
            OrderAction::Leave { group, epoch } => {
                self.change_member(id, group, *epoch, |machine| {
                    machine.open_at = None;
                    machine.ready_at = None;
                    machine.entry.membership = None;
                    machine.entry.model = None;
                })
            }
            OrderAction::Stage { model } => {
                self.machine(id).staged_at = Some((model.clone(), now.plus_ms(LOAD_MS)));
                OrderAnswer::Begun
            }
        }
    }

    /// Changes an engine that is a member of this group at this epoch; any other answers `Unfit`.
    fn change_member(
        &mut self,
        id: &VmId,
        group: &GroupId,
        epoch: u64,
        change: impl FnOnce(&mut Machine),
    ) -> OrderAnswer {
        let machine = self.machine(id);
        let membership = machine.entry.membership.as_ref();
        if membership.is_none_or(|m| &m.group != group || m.epoch != epoch) {
            return OrderAnswer::Unfit;
        }
        change(machine);
        OrderAnswer::Begun
    }

    fn open(&mut self, id: &VmId, group: &GroupId, epoch: u64, now: TimeMs) -> OrderAnswer {
        let machine = self.machine(id);
        let state = machine.entry.membership.as_ref();
        let state = state
            .filter(|m| &m.group == group && m.epoch == epoch)
            .map(|m| m.state);
        match state {
            Some(GroupState::Open) => OrderAnswer::Done,
            Some(GroupState::Ready) => {
                machine.open_at.get_or_insert(now.plus_ms(FORM_MS));
                OrderAnswer::Begun
            }
            _ => OrderAnswer::Unfit,
        }
    }

    /// Returns whether the leader of this group takes requests or is about to.
    fn is_serving(&self, membership: &Membership) -> bool {
        self.machines.values().any(|machine| {
            machine.is_alive
                && machine.entry.membership.as_ref().is_some_and(|m| {
                    m.group == membership.group
                        && m.epoch == membership.epoch
                        && m.rank == 0
                        && (m.state == GroupState::Open || machine.open_at.is_some())
                })
        })
    }

    fn join(
        &mut self,
        id: &VmId,
        (group, epoch): (&GroupId, u64),
        model: &DeploymentId,
        members: &[VmId],
        now: TimeMs,
    ) -> OrderAnswer {
        let machine = &self.machines[id];
        if epoch < machine.highest_epoch {
            return OrderAnswer::Fenced;
        }
        if let Some(known) = &machine.entry.membership {
            if &known.group == group && known.epoch == epoch {
                let is_ready = known.state != GroupState::Joining;
                return if is_ready {
                    OrderAnswer::Done
                } else {
                    OrderAnswer::Begun
                };
            }
            if self.is_serving(known) {
                let message = format!(
                    "engine {id} joined group {group} while its group {} serves",
                    known.group
                );
                self.violations.push(message);
            }
        }
        let join_ms = if machine.last_model.as_ref() == Some(model) {
            RESIDENT_MS
        } else if machine.entry.staged.contains(model) {
            WARM_MS
        } else {
            LOAD_MS
        };
        let rank = members
            .iter()
            .position(|member| member == id)
            .expect("the member list names the engine");
        let machine = self.machine(id);
        machine.highest_epoch = epoch;
        machine.members = members.to_vec();
        machine.last_model = Some(model.clone());
        machine.entry.model = Some(model.clone());
        machine.entry.membership = Some(Membership {
            group: group.clone(),
            epoch,
            rank,
            state: GroupState::Joining,
        });
        machine.open_at = None;
        machine.ready_at = Some(now.plus_ms(join_ms));
        OrderAnswer::Begun
    }
}
