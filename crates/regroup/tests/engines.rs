//! Simulated model engines, which carry out orders as real engines do.
//!
//! They record a violation if a group opens although a member was never ready in it, or if a member
//! of a serving group is ordered to join another one.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use jacinthpoint_fleet::{
    GroupState, Membership, OrderAction, OrderAnswer, Upstream, UpstreamState,
};
use jacinthpoint_types::{DeploymentId, GroupId, TimeMs, VmId};

/// Duration of a join if the engine's last group was of the same model.
const RESIDENT_MS: u64 = 200;
/// Duration of a join with staged weights.
pub const WARM_MS: u64 = 1_600;
/// Duration of a load of weights from the weight store, and of a join with such a load.
pub const LOAD_MS: u64 = 16_000;
/// Time from an order to open a group until its leader takes requests: `form_ms` of the settings.
pub const OPEN_MS: u64 = 300;

/// Time after which the entry of an engine that is cut off from the store is removed: three
/// heartbeats.
pub const ENTRY_EXPIRY_MS: u64 = 3_600;

/// An engine, simulated together with its host.
#[derive(Debug, Clone)]
pub struct SimulatedEngine {
    /// The entry that the engine publishes of itself.
    pub entry: Upstream,
    pub is_alive: bool,
    /// Whether the store shows the entry. `entry.is_listed` stays true.
    pub is_listed: bool,
    /// The entry that the store shows while the engine is cut off from the store, and when it
    /// expires. Orders and probes still reach the engine.
    cut: Option<(Upstream, TimeMs)>,
    /// When the join in progress ends, if any.
    pub ready_at: Option<TimeMs>,
    /// When the group opens, if the engine is its leader and was ordered to open it.
    open_at: Option<TimeMs>,
    /// When the group is closed, if the engine is its leader and was ordered to close it.
    closed_at: Option<TimeMs>,
    /// The model whose weights the host is loading, and when the load ends.
    loading: Option<(DeploymentId, TimeMs)>,
    /// Model in the last order to join that the current incarnation accepted.
    last_model: Option<DeploymentId>,
    /// Members of the group in the last order to join.
    members: Vec<VmId>,
    highest_epoch: u64,
    highest_fencing_token: u64,
    /// Number of orders that began something since the start.
    pub orders: u64,
}

/// All simulated engines and the violations that they recorded.
#[derive(Debug, Default)]
pub struct Engines {
    pub by_id: BTreeMap<VmId, SimulatedEngine>,
    pub violations: Vec<String>,
    /// Time that a group which is closed without cutting its requests takes to finish them.
    pub close_ms: u64,
    /// Members that were ready at any time, by group and epoch.
    ever_ready: BTreeMap<(GroupId, u64), BTreeSet<VmId>>,
    /// Orders to be carried out late: when, by which engine, action and fencing token.
    late: Vec<(TimeMs, VmId, OrderAction, u64)>,
}

impl Engines {
    /// Adds an engine to a fabric domain. `staged` names a model whose weights are on its host.
    pub fn add(&mut self, id: &str, domain: &str, staged: Option<&str>) {
        let port = u16::try_from(self.by_id.len() + 1).expect("few engines");
        let id: VmId = id.parse().expect("a valid name");
        let entry = Upstream {
            id: id.clone(),
            started_unix_ms: 1,
            service: "models".parse().expect("a valid name"),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: domain
                .replace("domain", "dc")
                .parse()
                .expect("a valid name"),
            state: UpstreamState::Ready,
            slots: 26,
            domain: Some(domain.parse().expect("a valid name")),
            staged: staged
                .map(|model| model.parse().expect("a valid name"))
                .into_iter()
                .collect(),
            model: None,
            membership: None,
            warm_up_left_ms: Some(0),
            is_listed: true,
        };
        let engine = SimulatedEngine {
            entry,
            is_alive: true,
            is_listed: true,
            cut: None,
            ready_at: None,
            open_at: None,
            closed_at: None,
            loading: None,
            last_model: None,
            members: Vec::new(),
            highest_epoch: 0,
            highest_fencing_token: 0,
            orders: 0,
        };
        self.by_id.insert(id, engine);
    }

    /// Returns the entries that the store shows.
    pub fn listed(&self) -> BTreeMap<VmId, Upstream> {
        let listed = self.by_id.iter().filter(|(_, engine)| engine.is_listed);
        let shown = |engine: &SimulatedEngine| match &engine.cut {
            Some((entry, _)) => entry.clone(),
            None => engine.entry.clone(),
        };
        listed
            .map(|(id, engine)| (id.clone(), shown(engine)))
            .collect()
    }

    /// Cuts an engine off from the store: its entry stays as it is until it expires.
    pub fn cut_off(&mut self, id: &VmId, now: TimeMs) {
        let engine = self.engine(id);
        if engine.is_listed && engine.cut.is_none() {
            let expires_at = now.plus_ms(ENTRY_EXPIRY_MS);
            engine.cut = Some((engine.entry.clone(), expires_at));
        }
    }

    /// Ends the cut of an engine from the store. A live engine publishes its entry again.
    pub fn reconnect(&mut self, id: &VmId) {
        let engine = self.engine(id);
        if engine.cut.take().is_some() {
            engine.is_listed = engine.is_alive;
        }
    }

    pub fn engine(&mut self, id: &VmId) -> &mut SimulatedEngine {
        self.by_id.get_mut(id).expect("the engine exists")
    }

    /// Ends an engine's process.
    pub fn kill(&mut self, id: &VmId) {
        self.engine(id).is_alive = false;
    }

    /// Starts a new incarnation of an engine. The host keeps its staged weights.
    pub fn restart(&mut self, id: &VmId) {
        let engine = self.engine(id);
        engine.is_alive = true;
        engine.is_listed = true;
        engine.cut = None;
        engine.entry.started_unix_ms += 1;
        engine.entry.membership = None;
        engine.entry.model = None;
        engine.ready_at = None;
        engine.open_at = None;
        engine.closed_at = None;
        engine.loading = None;
        engine.last_model = None;
        engine.highest_epoch = 0;
        engine.highest_fencing_token = 0;
        engine.orders = 0;
    }

    /// Ends an engine's process and starts another one at its address, under a new name, which is earlier
    /// in the list. Neither
    /// gives its start time, and the entry of the old one stays in the store. Returns the new name.
    pub fn replace_at_address(&mut self, id: &VmId) -> VmId {
        let old = self.engine(id);
        old.is_alive = false;
        old.entry.started_unix_ms = 0;
        let mut successor = old.clone();
        let name = format!("a-{id}");
        successor.entry.id = name.parse().expect("a valid name");
        let id = successor.entry.id.clone();
        self.by_id.insert(id.clone(), successor);
        self.restart(&id);
        self.engine(&id).entry.started_unix_ms = 0;
        id
    }

    /// Returns whether no live engine listens at the address of an engine.
    pub fn is_address_free(&self, id: &VmId) -> bool {
        self.at_address(self.by_id[id].entry.address).is_none()
    }

    /// Returns the name of the live engine that listens at an address.
    pub fn at_address(&self, address: SocketAddr) -> Option<&VmId> {
        let mut live = self.by_id.values().filter(|engine| engine.is_alive);
        let engine = live.find(|engine| engine.entry.address == address)?;
        Some(&engine.entry.id)
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
        for (_, id, action, fencing_token) in due {
            self.carry_out(&id, &action, fencing_token, now);
        }
        let mut opened = Vec::new();
        for (id, engine) in &mut self.by_id {
            let is_expired = |(_, at): &(Upstream, TimeMs)| *at <= now;
            engine.is_listed &= !engine.cut.as_ref().is_some_and(is_expired);
            if !engine.is_alive {
                continue;
            }
            if let Some((model, _)) = engine.loading.take_if(|(_, at)| *at <= now) {
                engine.entry.staged = vec![model];
            }
            if engine.ready_at.take_if(|at| *at <= now).is_some() {
                let membership = engine
                    .entry
                    .membership
                    .as_mut()
                    .expect("a joining engine has a membership");
                membership.state = GroupState::Ready;
                engine.entry.staged = engine.entry.model.clone().into_iter().collect();
                let key = (membership.group.clone(), membership.epoch);
                self.ever_ready.entry(key).or_default().insert(id.clone());
            }
            if engine.closed_at.take_if(|at| *at <= now).is_some()
                && let Some(membership) = &mut engine.entry.membership
            {
                membership.state = GroupState::Ready;
            }
            if engine.open_at.take_if(|at| *at <= now).is_some()
                && let Some(membership) = &mut engine.entry.membership
            {
                membership.state = GroupState::Open;
                opened.push((membership.clone(), engine.members.clone()));
            }
        }
        for (membership, members) in opened {
            let key = (membership.group.clone(), membership.epoch);
            let ready = self.ever_ready.get(&key).cloned().unwrap_or_default();
            if members.iter().any(|id| !ready.contains(id)) {
                self.violations.push(format!(
                    "group {} opened although a member was never ready in it",
                    key.0
                ));
            }
        }
    }

    /// Schedules an order that is not answered and is carried out at `at`.
    pub fn defer(&mut self, at: TimeMs, id: &VmId, action: &OrderAction, fencing_token: u64) {
        self.late
            .push((at, id.clone(), action.clone(), fencing_token));
    }

    /// Carries out an order and returns its answer.
    pub fn carry_out(
        &mut self,
        id: &VmId,
        action: &OrderAction,
        fencing_token: u64,
        now: TimeMs,
    ) -> OrderAnswer {
        let Some(engine) = self.by_id.get(id).filter(|engine| engine.is_alive) else {
            return OrderAnswer::Unknown;
        };
        if fencing_token < engine.highest_fencing_token {
            return OrderAnswer::Fenced;
        }
        self.engine(id).highest_fencing_token = fencing_token;
        match action {
            OrderAction::Join {
                group,
                epoch,
                model,
                members,
            } => self.join(id, (group, *epoch), model, members, now),
            OrderAction::Open { group, epoch } => self.open(id, group, *epoch, now),
            OrderAction::Close {
                group,
                epoch,
                cuts_running,
            } => {
                let close_ms = if *cuts_running { 0 } else { self.close_ms };
                self.change_member(id, group, *epoch, |engine| {
                    engine.open_at = None;
                    let Some(membership) = &mut engine.entry.membership else {
                        return;
                    };
                    let is_open =
                        matches!(membership.state, GroupState::Open | GroupState::Closing);
                    if close_ms > 0 && is_open {
                        membership.state = GroupState::Closing;
                        engine.closed_at.get_or_insert(now.plus_ms(close_ms));
                    } else {
                        membership.state = GroupState::Ready;
                        engine.closed_at = None;
                    }
                })
            }
            OrderAction::Leave { group, epoch } => {
                self.change_member(id, group, *epoch, |engine| {
                    engine.open_at = None;
                    engine.closed_at = None;
                    engine.ready_at = None;
                    engine.entry.membership = None;
                    engine.entry.model = None;
                })
            }
            OrderAction::Stage { model } => {
                let engine = self.engine(id);
                engine.loading = Some((model.clone(), now.plus_ms(LOAD_MS)));
                engine.orders += 1;
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
        change: impl FnOnce(&mut SimulatedEngine),
    ) -> OrderAnswer {
        let engine = self.engine(id);
        let membership = engine.entry.membership.as_ref();
        if membership.is_none_or(|m| &m.group != group || m.epoch != epoch) {
            return OrderAnswer::Unfit;
        }
        change(engine);
        engine.orders += 1;
        OrderAnswer::Begun
    }

    fn open(&mut self, id: &VmId, group: &GroupId, epoch: u64, now: TimeMs) -> OrderAnswer {
        let engine = self.engine(id);
        let membership = engine.entry.membership.as_ref();
        let state = membership
            .filter(|m| &m.group == group && m.epoch == epoch)
            .map(|m| m.state);
        match state {
            Some(GroupState::Open) => OrderAnswer::Done,
            Some(GroupState::Ready) => {
                if engine.open_at.is_none() {
                    engine.open_at = Some(now.plus_ms(OPEN_MS));
                    engine.orders += 1;
                }
                OrderAnswer::Begun
            }
            _ => OrderAnswer::Unfit,
        }
    }

    /// Returns whether the leader of this group takes requests, finishes them or is about to open
    /// the group.
    fn is_serving(&self, membership: &Membership) -> bool {
        self.by_id.values().any(|engine| {
            engine.is_alive
                && engine.entry.membership.as_ref().is_some_and(|m| {
                    m.group == membership.group
                        && m.epoch == membership.epoch
                        && m.rank == 0
                        && (matches!(m.state, GroupState::Open | GroupState::Closing)
                            || engine.open_at.is_some())
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
        let engine = &self.by_id[id];
        if epoch < engine.highest_epoch {
            return OrderAnswer::Fenced;
        }
        if let Some(current) = &engine.entry.membership {
            if &current.group == group && current.epoch == epoch {
                let is_ready = current.state != GroupState::Joining;
                return if is_ready {
                    OrderAnswer::Done
                } else {
                    OrderAnswer::Begun
                };
            }
            if self.is_serving(current) {
                let message = format!(
                    "engine {id} was ordered to join group {group} while its group {} serves",
                    current.group
                );
                self.violations.push(message);
            }
        }
        let join_ms = if engine.last_model.as_ref() == Some(model) {
            RESIDENT_MS
        } else if engine.entry.staged.contains(model) {
            WARM_MS
        } else {
            LOAD_MS
        };
        let rank = members
            .iter()
            .position(|member| member == id)
            .expect("the member list names the engine");
        let engine = self.engine(id);
        engine.highest_epoch = epoch;
        engine.orders += 1;
        engine.members = members.to_vec();
        engine.last_model = Some(model.clone());
        engine.entry.model = Some(model.clone());
        engine.entry.membership = Some(Membership {
            group: group.clone(),
            epoch,
            rank,
            state: GroupState::Joining,
        });
        engine.open_at = None;
        engine.closed_at = None;
        engine.ready_at = Some(now.plus_ms(join_ms));
        OrderAnswer::Begun
    }
}
