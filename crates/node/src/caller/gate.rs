//! The request queue in front of the replica groups of each model.
//!
//! Groups serve a limited number of requests at a time, and requests of several organisations and
//! priorities compete for them. The thread of each request enqueues it and waits for the group that
//! it is dispatched to. No thread is dedicated to dispatching: each thread that enqueues a request
//! or ends an attempt also dispatches all requests that a group has room for.

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

/// Interval at which a waiting thread dispatches on its own, for changes that come without the
/// arrival of a request or the end of an attempt: a permit granted or expired, a deadline that can
/// no longer be met.
const POLL_MS: u64 = 50;
/// Minimum time after the last dispatch, by any thread of the gate, before a waiting thread
/// dispatches on its own.
const MIN_POLL_GAP_MS: u64 = 10;

/// Gates by model.
#[derive(Default)]
pub(crate) struct Gates(RwLock<BTreeMap<ModelRef, Arc<ModelGate>>>);

impl Gates {
    /// Returns the gate of a model, created on first use.
    fn get_or_create(
        &self,
        model: &ModelRef,
        settings: GateSettings,
        now: TimeMs,
    ) -> Arc<ModelGate> {
        let gates = self.0.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(gate) = gates.get(model) {
            return gate.clone();
        }
        drop(gates);
        let mut gates = self.0.write().unwrap_or_else(PoisonError::into_inner);
        let create = || Arc::new(ModelGate::new(model, settings, now));
        gates.entry(model.clone()).or_insert_with(create).clone()
    }
}

/// Queue and ejector of one model.
struct ModelGate {
    model: ModelRef,
    state: Mutex<State>,
}

/// State of a model's gate, under its lock.
struct State {
    gate: Gate<GroupId>,
    waiters: HashMap<Ticket, Waiter>,
    ejector: Ejector<GroupId>,
    last_dispatch_at: TimeMs,
}

/// A waiting thread.
struct Waiter {
    decision_sender: Sender<Decision>,
    /// Hash of the prompt's prefix; `None` if the prompt is short.
    prefix: Option<u64>,
}

/// Decision on a queued request, sent to its waiting thread.
enum Decision {
    Dispatch {
        permit: Permit,
        /// Time of the attempt's start, as counted in the gate.
        started_at: TimeMs,
    },
    DeadlineUnreachable,
}

/// Reason for which a request was not dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Rejection {
    pub(crate) code: ResultCode,
    /// Expected time until such a request would be dispatched; 0 if unknown.
    pub(crate) wait_ms: u64,
}

/// One attempt in flight on a group, counted in the gate until dropped.
pub(crate) struct AttemptSlot<'a> {
    shared: &'a Shared,
    gate: Arc<ModelGate>,
    group: GroupId,
    priority: Priority,
    started_at: TimeMs,
    has_token: bool,
    /// Whether the attempt failed on its group.
    is_failure: bool,
}

impl ModelGate {
    fn new(model: &ModelRef, settings: GateSettings, now: TimeMs) -> ModelGate {
        ModelGate {
            model: model.clone(),
            state: Mutex::new(State {
                gate: Gate::new(settings, now),
                waiters: HashMap::new(),
                ejector: Ejector::new(),
                last_dispatch_at: now,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Dispatches the queued requests for which a group has room, and rejects those whose deadline
    /// can no longer be met.
    fn dispatch_queued(&self, shared: &Shared, state: &mut State) {
        let now = shared.now();
        state.last_dispatch_at = now;
        for ticket in state.gate.remove_deadline_unreachable(now) {
            state.notify(ticket, Decision::DeadlineUnreachable);
        }
        if state.gate.queued() == 0 {
            return;
        }
        let permits = select::usable_permits(shared, &self.model);
        let usable: Vec<GroupId> = permits.iter().map(group_of).collect();
        state.gate.retain(&usable);
        state.ejector.retain(|group| usable.contains(group));
        let usable = state.ejector.usable(&usable, now);
        while let Some(dispatch) = state.gate.poll(&usable, now) {
            let open = permits
                .iter()
                .filter(|permit| dispatch.groups_with_room.contains(&permit.assignment.group));
            let prefix = state.prefix_hash(dispatch.ticket);
            let Some(permit) = select::choose_permit(shared, open, prefix, now) else {
                return;
            };
            state.dispatch(&dispatch, permit, now);
        }
    }
}

impl State {
    /// Counts a dispatched request on its group and notifies its waiting thread.
    fn dispatch(&mut self, dispatch: &Dispatch<GroupId>, permit: Permit, now: TimeMs) {
        self.gate.mark_dispatched(dispatch, now);
        self.gate
            .start(&permit.assignment.group, dispatch.priority, now);
        let started_at = now;
        self.notify(dispatch.ticket, Decision::Dispatch { permit, started_at });
    }

    fn prefix_hash(&self, ticket: Ticket) -> Option<u64> {
        self.waiters.get(&ticket).and_then(|waiter| waiter.prefix)
    }

    /// Sends the decision on a request to its waiting thread.
    fn notify(&mut self, ticket: Ticket, decision: Decision) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            // Cannot fail: a waiter is removed from the map under this lock before its receiver is
            // dropped.
            let _ = waiter.decision_sender.send(decision);
        }
    }
}

fn group_of(permit: &Permit) -> GroupId {
    permit.assignment.group.clone()
}

/// Enqueues a request and waits until it is dispatched to a group.
///
/// # Errors
///
/// Returns the reason for which the request was refused, or `NoCapacity` if it left the queue: no
/// group was usable for `CAPACITY_WAIT_MS`, its deadline passed, the node stopped or
/// `caller_has_disconnected` returned `true`.
pub(crate) fn wait_in_queue<'a>(
    shared: &'a Shared,
    context: &Context,
    model: &ModelRef,
    body: &Value,
    caller_has_disconnected: impl Fn() -> bool,
) -> Result<(Permit, AttemptSlot<'a>), Rejection> {
    let settings = shared.settings.admission.gate();
    let gate = shared.gates.get_or_create(model, settings, shared.now());
    let (ticket, decisions) = enqueue(shared, context, &gate, body)?;
    let (permit, started_at) = wait_for_decision(
        shared,
        context,
        &gate,
        ticket,
        &decisions,
        caller_has_disconnected,
    )?;
    let slot = AttemptSlot::new(shared, gate, &permit, context.priority, started_at);
    Ok((permit, slot))
}

/// Counts an attempt that bypasses the queue on the group of `permit`.
pub(crate) fn start_without_queue<'a>(
    shared: &'a Shared,
    context: &Context,
    model: &ModelRef,
    permit: &Permit,
) -> AttemptSlot<'a> {
    let settings = shared.settings.admission.gate();
    let gate = shared.gates.get_or_create(model, settings, shared.now());
    let group = &permit.assignment.group;
    let started_at = shared.now();
    gate.lock().gate.start(group, context.priority, started_at);
    AttemptSlot::new(shared, gate, permit, context.priority, started_at)
}

fn enqueue(
    shared: &Shared,
    context: &Context,
    gate: &ModelGate,
    body: &Value,
) -> Result<(Ticket, Receiver<Decision>), Rejection> {
    let queued = QueuedRequest {
        organisation: context.organisation.clone(),
        priority: context.priority,
        deadline: context.deadline,
        cost: max_tokens(body),
    };
    let permits = select::usable_permits(shared, &gate.model);
    let usable: Vec<GroupId> = permits.iter().map(group_of).collect();
    let mut state = gate.lock();
    let now = shared.now();
    match state.gate.arrive(queued, &usable, now, &mut rand::rng()) {
        ArrivalOutcome::Refused(refusal) => Err(reject(shared, context, refusal)),
        ArrivalOutcome::Queued { ticket, watched } => {
            // `watched` is the refusal that a layer in watch mode would have given.
            if let Some(refusal) = watched {
                shared.metrics.count("gate_watched");
                log_event!(
                    debug, GateWatched, request = %context.request, %refusal,
                    "queued, since the refusal is not enforced"
                );
            }
            let (decision_sender, decisions) = channel::bounded(1);
            let prefix = select::prompt_prefix_hash(context, body);
            state.waiters.insert(
                ticket,
                Waiter {
                    decision_sender,
                    prefix,
                },
            );
            gate.dispatch_queued(shared, &mut state);
            Ok((ticket, decisions))
        }
    }
}

/// Counts and logs the refusal of a request, and returns it as a rejection.
fn reject(shared: &Shared, context: &Context, refusal: Refusal) -> Rejection {
    shared.metrics.count("gate_refused");
    log_event!(debug, GateRefused, request = %context.request, %refusal, "refused at the queue");
    match refusal {
        Refusal::Shed { wait_ms } => Rejection {
            code: ResultCode::Shed,
            wait_ms,
        },
        Refusal::DeadlineUnreachable { wait_ms } => Rejection {
            code: ResultCode::DeadlineUnreachable,
            wait_ms,
        },
    }
}

/// Waits for the decision on a queued request, or until the request leaves the queue. Returns the
/// permit and the time of the attempt's start.
fn wait_for_decision(
    shared: &Shared,
    context: &Context,
    gate: &ModelGate,
    ticket: Ticket,
    decisions: &Receiver<Decision>,
    caller_has_disconnected: impl Fn() -> bool,
) -> Result<(Permit, TimeMs), Rejection> {
    let mut last_usable_at = shared.now();
    loop {
        match decisions.recv_timeout(Duration::from_millis(POLL_MS)) {
            Ok(Decision::Dispatch { permit, started_at }) => return Ok((permit, started_at)),
            Ok(Decision::DeadlineUnreachable) => {
                let wait_ms = expected_wait_ms(shared, context, gate);
                let refusal = Refusal::DeadlineUnreachable { wait_ms };
                return Err(reject(shared, context, refusal));
            }
            Err(RecvTimeoutError::Disconnected) => {
                return Err(Rejection {
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
        let has_disconnected = caller_has_disconnected();
        let mut state = gate.lock();
        if now.since_ms(state.last_dispatch_at) >= MIN_POLL_GAP_MS {
            gate.dispatch_queued(shared, &mut state);
        }
        let leaves_queue = now.since_ms(last_usable_at) >= select::CAPACITY_WAIT_MS
            || context.deadline.has_passed(now)
            || shared.is_stopped()
            || has_disconnected;
        // A waiter that is no longer in the map has already been sent its decision.
        if leaves_queue && state.waiters.remove(&ticket).is_some() {
            state.gate.withdraw(ticket);
            return Err(Rejection {
                code: ResultCode::NoCapacity,
                wait_ms: 0,
            });
        }
    }
}

fn expected_wait_ms(shared: &Shared, context: &Context, gate: &ModelGate) -> u64 {
    let permits = select::usable_permits(shared, &gate.model);
    let usable: Vec<GroupId> = permits.iter().map(group_of).collect();
    let state = gate.lock();
    let now = shared.now();
    let wait_ms = state.gate.expected_wait_ms(context.priority, &usable, now);
    wait_ms.unwrap_or_default()
}

impl<'a> AttemptSlot<'a> {
    fn new(
        shared: &'a Shared,
        gate: Arc<ModelGate>,
        permit: &Permit,
        priority: Priority,
        started_at: TimeMs,
    ) -> AttemptSlot<'a> {
        AttemptSlot {
            shared,
            gate,
            group: group_of(permit),
            priority,
            started_at,
            has_token: false,
            is_failure: false,
        }
    }

    /// Records a token; only the time of the first one is reported to the gate.
    pub(crate) fn on_token(&mut self) {
        if !self.has_token {
            self.has_token = true;
            let now = self.shared.now();
            let mut state = self.gate.lock();
            state
                .gate
                .on_first_token(&self.group, self.priority, self.started_at, now);
        }
    }

    /// Records that the attempt failed on its group.
    pub(crate) fn mark_failed(&mut self) {
        self.is_failure = true;
    }
}

impl Drop for AttemptSlot<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let hold_ms = now.since_ms(self.started_at);
        let finished = FinishedAttempt {
            priority: self.priority,
            started_at: self.started_at,
            has_token: self.has_token,
            is_failure: self.is_failure,
        };
        let mut state = self.gate.lock();
        state.gate.finish(&self.group, finished, now);
        if self.has_token {
            state.ejector.on_success(&self.group);
        } else if self.is_failure && state.ejector.on_failure(&self.group, hold_ms, now) {
            log_event!(warn, GroupEjected, group = %self.group, "ejected after failures");
        }
        self.gate.dispatch_queued(self.shared, &mut state);
    }
}
