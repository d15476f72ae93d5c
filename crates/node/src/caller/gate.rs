//! The queue in front of the groups of each deployment.
//!
//! A caller's thread puts its request into the queue and waits until it is told where to go.
//! Whichever thread changes something, by an arrival or an end, sends on what may go now.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use jacinthpoint_admission::{
    ArrivalOutcome, Dispatch, FinishedAttempt, Gate, GateSettings, QueuedRequest, Refusal, Ticket,
};
use jacinthpoint_readiness::Permit;
use jacinthpoint_routing::Ejector;
use jacinthpoint_types::{GroupId, ModelRef, Priority, ResultCode, TimeMs};
use serde_json::Value;

use crate::{
    caller::{context::Context, limits::max_tokens, select},
    events::log_event,
    shared::Shared,
};

/// How often a waiting thread looks by itself, for what no arrival or end tells: a permit that
/// came or went, a deadline that can no longer be met.
const LOOK_MS: u64 = 50;
/// Shortest time between two such looks of all threads together.
const LOOK_PAUSE_MS: u64 = 10;

/// Gates by what they stand in front of.
#[derive(Default)]
pub(crate) struct Gates(RwLock<BTreeMap<ModelRef, Arc<DeploymentGate>>>);

impl Gates {
    /// The gate of a model; made when it is first asked for.
    fn of(&self, model: &ModelRef, settings: GateSettings, now: TimeMs) -> Arc<DeploymentGate> {
        let gates = self.0.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(gate) = gates.get(model) {
            return gate.clone();
        }
        drop(gates);
        let mut gates = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let new = || Arc::new(DeploymentGate::new(model, settings, now));
        gates.entry(model.clone()).or_insert_with(new).clone()
    }
}

struct DeploymentGate {
    model: ModelRef,
    state: Mutex<State>,
}

struct State {
    gate: Gate<GroupId>,
    waiters: HashMap<Ticket, Waiter>,
    ejector: Ejector<GroupId>,
    looked_at: TimeMs,
}

/// A thread that waits, and the prefix of its prompt.
struct Waiter {
    teller: Sender<Told>,
    prefix: Option<u64>,
}

/// What a waiting thread is told.
enum Told {
    Go(Permit),
    Hopeless,
}

/// Why a request does not go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Turned {
    pub(crate) code: ResultCode,
    /// Expected time until such a request would be taken.
    pub(crate) wait_ms: u64,
}

/// A request on its way to a group, counted there until dropped.
pub(crate) struct Slot<'a> {
    shared: &'a Shared,
    gate: Arc<DeploymentGate>,
    group: GroupId,
    priority: Priority,
    started_at: TimeMs,
    has_token: bool,
    is_failure: bool,
}

impl DeploymentGate {
    fn new(model: &ModelRef, settings: GateSettings, now: TimeMs) -> DeploymentGate {
        DeploymentGate {
            model: model.clone(),
            state: Mutex::new(State {
                gate: Gate::new(settings, now),
                waiters: HashMap::new(),
                ejector: Ejector::new(),
                looked_at: now,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends on what may go now, and tells what no longer can.
    fn pump(&self, shared: &Shared, state: &mut State) {
        let now = shared.now();
        state.looked_at = now;
        for ticket in state.gate.remove_deadline_unreachable(now) {
            state.tell(ticket, Told::Hopeless);
        }
        if state.gate.queued() == 0 {
            return;
        }
        let permits = select::usable_permits(shared, &self.model);
        let usable: Vec<GroupId> = permits.iter().map(group_of).collect();
        state.gate.retain(&usable);
        state.ejector.retain(&usable);
        let usable = state.ejector.usable(&usable, now);
        while let Some(dispatch) = state.gate.poll(&usable) {
            let open = permits
                .iter()
                .filter(|permit| dispatch.groups_with_room.contains(&permit.assignment.group));
            let prefix = state.prefix_of(dispatch.ticket);
            let Some(permit) = select::choose_permit(shared, open, prefix, now) else {
                return;
            };
            state.send_on(&dispatch, permit, now);
        }
    }
}

impl State {
    fn send_on(&mut self, dispatch: &Dispatch<GroupId>, permit: Permit, now: TimeMs) {
        self.gate.mark_dispatched(dispatch, now);
        self.gate.start(&permit.assignment.group, dispatch.priority);
        self.tell(dispatch.ticket, Told::Go(permit));
    }

    fn prefix_of(&self, ticket: Ticket) -> Option<u64> {
        self.waiters.get(&ticket).and_then(|waiter| waiter.prefix)
    }

    fn tell(&mut self, ticket: Ticket, told: Told) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // A waiter leaves the map under the same lock before it stops listening.
            let _ = waiter.teller.send(told);
        }
    }
}

fn group_of(permit: &Permit) -> GroupId {
    permit.assignment.group.clone()
}

/// Waits for this request's turn and a group with room.
///
/// # Errors
///
/// Fails with the reason for which the request is refused.
pub(crate) fn wait_turn<'a>(
    shared: &'a Shared,
    context: &Context,
    model: &ModelRef,
    body: &Value,
    caller_is_gone: impl Fn() -> bool,
) -> Result<(Permit, Slot<'a>), Turned> {
    let settings = shared.settings.admission.gate();
    let gate = shared.gates.of(model, settings, shared.now());
    let (ticket, told) = enter(shared, context, &gate, body)?;
    let permit = wait_told(shared, context, &gate, ticket, &told, caller_is_gone)?;
    let slot = Slot::new(shared, gate, &permit, context.priority);
    Ok((permit, slot))
}

/// Counts a later attempt of a request; it does not queue again.
pub(crate) fn start_again<'a>(
    shared: &'a Shared,
    context: &Context,
    model: &ModelRef,
    permit: &Permit,
) -> Slot<'a> {
    let settings = shared.settings.admission.gate();
    let gate = shared.gates.of(model, settings, shared.now());
    let group = &permit.assignment.group;
    gate.lock().gate.start(group, context.priority);
    Slot::new(shared, gate, permit, context.priority)
}

fn enter(
    shared: &Shared,
    context: &Context,
    gate: &DeploymentGate,
    body: &Value,
) -> Result<(Ticket, Receiver<Told>), Turned> {
    let waiting = QueuedRequest {
        organisation: context.organisation.clone(),
        priority: context.priority,
        deadline: context.deadline,
        cost: max_tokens(body),
    };
    let permits = select::usable_permits(shared, &gate.model);
    let usable: Vec<GroupId> = permits.iter().map(group_of).collect();
    let mut state = gate.lock();
    let now = shared.now();
    match state.gate.arrive(waiting, &usable, now, &mut rand::rng()) {
        ArrivalOutcome::Refused(refusal) => Err(turned(shared, context, refusal)),
        ArrivalOutcome::Queued { ticket, watched } => {
            if let Some(refusal) = watched {
                shared.metrics.count("gate_watched");
                log_event!(debug, GateWatched, request = %context.request, %refusal, "queued");
            }
            let (teller, told) = channel::bounded(1);
            let prefix = select::prefix_of(context, body);
            state.waiters.insert(ticket, Waiter { teller, prefix });
            gate.pump(shared, &mut state);
            Ok((ticket, told))
        }
    }
}

fn turned(shared: &Shared, context: &Context, refusal: Refusal) -> Turned {
    shared.metrics.count("gate_refused");
    log_event!(debug, GateRefused, request = %context.request, %refusal, "refused");
    match refusal {
        Refusal::Shed { wait_ms } => Turned {
            code: ResultCode::Shed,
            wait_ms,
        },
        Refusal::DeadlineUnreachable { wait_ms } => Turned {
            code: ResultCode::DeadlineUnreachable,
            wait_ms,
        },
    }
}

fn wait_told(
    shared: &Shared,
    context: &Context,
    gate: &DeploymentGate,
    ticket: Ticket,
    told: &Receiver<Told>,
    caller_is_gone: impl Fn() -> bool,
) -> Result<Permit, Turned> {
    let mut last_usable_at = shared.now();
    loop {
        match told.recv_timeout(Duration::from_millis(LOOK_MS)) {
            Ok(Told::Go(permit)) => return Ok(permit),
            Ok(Told::Hopeless) => {
                let wait_ms = expected_wait_ms(shared, context, gate);
                let refusal = Refusal::DeadlineUnreachable { wait_ms };
                return Err(turned(shared, context, refusal));
            }
            Err(RecvTimeoutError::Disconnected) => {
                return Err(Turned {
                    code: ResultCode::Internal,
                    wait_ms: 0,
                });
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        let now = shared.now();
        if select::has_usable(shared, &gate.model) {
            last_usable_at = now;
        }
        let is_gone = caller_is_gone();
        let mut state = gate.lock();
        if now.since_ms(state.looked_at) >= LOOK_PAUSE_MS {
            gate.pump(shared, &mut state);
        }
        let gives_up = now.since_ms(last_usable_at) >= select::CAPACITY_WAIT_MS
            || context.deadline.has_passed(now)
            || shared.is_stopped()
            || is_gone;
        // A waiter that is no longer in the map has been told already.
        if gives_up && state.waiters.remove(&ticket).is_some() {
            state.gate.withdraw(ticket);
            return Err(Turned {
                code: ResultCode::NoCapacity,
                wait_ms: 0,
            });
        }
    }
}

fn expected_wait_ms(shared: &Shared, context: &Context, gate: &DeploymentGate) -> u64 {
    let permits = select::usable_permits(shared, &gate.model);
    let usable: Vec<GroupId> = permits.iter().map(group_of).collect();
    let state = gate.lock();
    let now = shared.now();
    let wait_ms = state.gate.expected_wait_ms(context.priority, &usable, now);
    wait_ms.unwrap_or_default()
}

impl<'a> Slot<'a> {
    fn new(
        shared: &'a Shared,
        gate: Arc<DeploymentGate>,
        permit: &Permit,
        priority: Priority,
    ) -> Slot<'a> {
        Slot {
            shared,
            gate,
            group: group_of(permit),
            priority,
            started_at: shared.now(),
            has_token: false,
            is_failure: false,
        }
    }

    /// Takes in a token; only the first one counts.
    pub(crate) fn on_token(&mut self) {
        if !self.has_token {
            self.has_token = true;
            self.tell_first_token();
        }
    }

    /// The group failed the attempt.
    pub(crate) fn fail(&mut self) {
        self.is_failure = true;
    }

    fn tell_first_token(&self) {
        let now = self.shared.now();
        let first_token_ms = now.since_ms(self.started_at);
        let mut state = self.gate.lock();
        state.gate.on_first_token(&self.group, first_token_ms, now);
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        if !self.has_token && !self.is_failure {
            // Given up before it had an answer: a sign of the load as a late token is.
            self.tell_first_token();
        }
        let now = self.shared.now();
        let finished = FinishedAttempt {
            priority: self.priority,
            hold_ms: now.since_ms(self.started_at),
            is_failure: self.is_failure,
        };
        let mut state = self.gate.lock();
        state.gate.finish(&self.group, finished, now);
        if self.has_token {
            state.ejector.on_success(&self.group);
        } else if self.is_failure && state.ejector.on_failure(&self.group, finished.hold_ms, now) {
            log_event!(warn, GroupEjected, group = %self.group, "left alone after failures");
        }
        self.gate.pump(self.shared, &mut state);
    }
}
