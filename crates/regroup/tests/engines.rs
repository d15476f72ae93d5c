//! Model engines in memory. They carry out orders as real ones do, and note each order that must
//! not have been given.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use jacinthpoint_fleet::{
    GroupState, Membership, OrderAction, OrderAnswer, Upstream, UpstreamState,
};
use jacinthpoint_types::{DeploymentId, GroupId, TimeMs, VmId};

/// Time of a join when the last group held the model.
const RESIDENT_MS: u64 = 200;
/// Time of a join with staged weights.
pub const WARM_MS: u64 = 1_600;
/// Time of a load from the weight store.
pub const LOAD_MS: u64 = 16_000;
/// Time to open.
pub const FORM_MS: u64 = 300;

/// One engine.
#[derive(Debug, Clone)]
pub struct Machine {
    pub entry: Upstream,
    pub is_alive: bool,
    pub is_listed: bool,
    pub ready_at: Option<TimeMs>,
    open_at: Option<TimeMs>,
    staged_at: Option<(DeploymentId, TimeMs)>,
    last_model: Option<DeploymentId>,
    members: Vec<VmId>,
    seen_epoch: u64,
    seen_fence: u64,
}

/// All engines and what went wrong.
#[derive(Debug, Default)]
pub struct Engines {
    pub machines: BTreeMap<VmId, Machine>,
    pub violations: Vec<String>,
    /// Members that were ready, by group and epoch.
    ever_ready: BTreeMap<(GroupId, u64), BTreeSet<VmId>>,
    /// Orders that are carried out late.
    late: Vec<(TimeMs, VmId, OrderAction, u64)>,
}

impl Engines {
    /// Adds an engine of a fabric domain, with a model's weights on its host or none.
    pub fn add(&mut self, id: &str, domain: &str, staged: Option<&str>) {
        let port = u16::try_from(self.machines.len() + 1).expect("few engines");
        let id: VmId = id.parse().expect("a name");
        let entry = Upstream {
            id: id.clone(),
            started_unix_ms: 1,
            service: "models".parse().expect("a name"),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: "dc".parse().expect("a name"),
            state: UpstreamState::Ready,
            slots: 26,
            domain: Some(domain.parse().expect("a name")),
            staged: staged
                .map(|model| model.parse().expect("a name"))
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
            seen_epoch: 0,
            seen_fence: 0,
        };
        self.machines.insert(id, machine);
    }

    /// The entries that the store shows.
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
        self.machines.get_mut(id).expect("it exists")
    }

    /// Ends an engine's life.
    pub fn kill(&mut self, id: &VmId) {
        self.machine(id).is_alive = false;
    }

    /// Begins another life under the same name. The host keeps its staged weights.
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
        machine.seen_epoch = 0;
        machine.seen_fence = 0;
    }

    /// Lets time pass.
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
                let membership = machine.entry.membership.as_mut().expect("it joins");
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
                self.violations
                    .push(format!("{} opened with a member never ready", key.0));
            }
        }
    }

    /// An order that is not answered and carried out at `at`.
    pub fn defer(&mut self, at: TimeMs, id: &VmId, action: &OrderAction, fence: u64) {
        self.late.push((at, id.clone(), action.clone(), fence));
    }

    /// An order arrives.
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
        if fence < machine.seen_fence {
            return OrderAnswer::Fenced;
        }
        self.machine(id).seen_fence = fence;
        match action {
            OrderAction::Join {
                group,
                epoch,
                model,
                members,
            } => self.join(id, (group, *epoch), model, members, now),
            OrderAction::Open { group, epoch } => self.open(id, group, *epoch, now),
            OrderAction::Close { group, epoch, .. } => {
                self.of_group(id, group, *epoch, |machine| {
                    machine.open_at = None;
                    if let Some(membership) = &mut machine.entry.membership {
                        membership.state = GroupState::Ready;
                    }
                })
            }
            OrderAction::Leave { group, epoch } => self.of_group(id, group, *epoch, |machine| {
                machine.open_at = None;
                machine.ready_at = None;
                machine.entry.membership = None;
                machine.entry.model = None;
            }),
            OrderAction::Stage { model } => {
                self.machine(id).staged_at = Some((model.clone(), now.plus_ms(LOAD_MS)));
                OrderAnswer::Begun
            }
        }
    }

    fn of_group(
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

    /// Whether the head of the group that this engine is in takes requests.
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
        if epoch < machine.seen_epoch {
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
                let message = format!("{id} joined {group} while {} serves", known.group);
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
            .expect("it is a member");
        let machine = self.machine(id);
        machine.seen_epoch = epoch;
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
