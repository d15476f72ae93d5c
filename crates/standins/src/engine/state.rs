//! What an engine knows.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_types::{Assignment, AttemptId, Epoch, ModelRef};
use jacinthpoint_upstream::EngineState;

use crate::{
    engine::{EngineFault, EngineOptions, attempt::Attempt},
    run_log::{RunLog, wall_ms},
};

/// How often a paused thread looks whether the pause is over.
const PAUSE_CHECK_MS: u64 = 5;

/// Load of the engine at one time.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadSample {
    at: Instant,
    running: u32,
    queued: u32,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) assignment: Option<Assignment>,
    pub(super) highest_epoch: Epoch,
    pub(super) loaded: Option<ModelRef>,
    pub(super) load_done_at: Option<Instant>,
    pub(super) members_present: bool,
    pub(super) group_slowness: f64,
    pub(super) fault: EngineFault,
    pub(super) attempts: HashMap<AttemptId, Arc<Attempt>>,
    /// Attempts whose streams were asked for while the engine did not hold them.
    pub(super) asked_in_vain: HashSet<AttemptId>,
    pub(super) running: u32,
    pub(super) queued: u32,
    samples: VecDeque<LoadSample>,
}

#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: EngineOptions,
    pub(super) log: RunLog,
    pub(super) incarnation: u64,
    state: Mutex<State>,
    stopped: Arc<AtomicBool>,
}

impl Shared {
    pub(super) fn new(options: EngineOptions, log: RunLog, stopped: Arc<AtomicBool>) -> Shared {
        Shared {
            options,
            log,
            incarnation: wall_ms(),
            state: Mutex::default(),
            stopped,
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Waits while the engine is paused.
    pub(super) fn wait_while_paused(&self) {
        while self.lock().fault == EngineFault::Pause && !self.is_stopped() {
            thread::sleep(Duration::from_millis(PAUSE_CHECK_MS));
        }
    }

    /// Time of one step of the whole group.
    pub(super) fn step_time(&self) -> Duration {
        let slowness = self.lock().group_slowness.max(1.0);
        Duration::from_millis(self.options.token_ms).mul_f64(slowness)
    }

    /// Whether this engine generates now for the group under this epoch.
    pub(super) fn can_step(&self, epoch: Epoch) -> Step {
        let mut state = self.lock();
        state.finish_loading();
        match &state.assignment {
            Some(assignment) if assignment.epoch == epoch => {}
            _ => return Step::Abort,
        }
        if self.is_stopped() {
            return Step::Abort;
        }
        if state.members_present && state.fault != EngineFault::Pause {
            Step::Go
        } else {
            Step::Wait
        }
    }

    /// The state as reported.
    pub(super) fn report(&self) -> EngineState {
        let mut state = self.lock();
        state.finish_loading();
        let (sample, age_ms) = state.lagging_sample(self.options.report_lag_ms);
        let lies = state.fault == EngineFault::ErrorFast;
        let slowness = match state.fault {
            EngineFault::Straggle { factor } => factor,
            _ => 1.0,
        };
        EngineState {
            vm: self.options.vm.clone(),
            incarnation: self.incarnation,
            leaving: state.fault == EngineFault::Leaving,
            ready: state.is_loaded() && (state.members_present || !self.is_leader(&state)),
            assignment: state.assignment.clone(),
            slowness,
            running: if lies { 0 } else { sample.running },
            queued: if lies { 0 } else { sample.queued },
            report_age_ms: age_ms,
        }
    }

    pub(super) fn is_leader(&self, state: &State) -> bool {
        let leader = state
            .assignment
            .as_ref()
            .and_then(|assignment| assignment.leader());
        leader.is_some_and(|leader| leader.vm == self.options.vm)
    }
}

/// Whether a generator may make its next step.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Step {
    Go,
    Wait,
    Abort,
}

impl State {
    /// Marks the weights as loaded once their time has come.
    pub(super) fn finish_loading(&mut self) {
        if self
            .load_done_at
            .is_some_and(|done_at| done_at <= Instant::now())
        {
            self.load_done_at = None;
            self.loaded = self
                .assignment
                .as_ref()
                .map(|assignment| assignment.model.clone());
        }
    }

    pub(super) fn is_loaded(&self) -> bool {
        let wanted = self.assignment.as_ref().map(|assignment| &assignment.model);
        wanted.is_some() && self.loaded.as_ref() == wanted
    }

    fn lagging_sample(&mut self, lag_ms: u64) -> (LoadSample, u64) {
        let now = Instant::now();
        let sample = LoadSample {
            at: now,
            running: self.running,
            queued: self.queued,
        };
        self.samples.push_back(sample);
        let lag = Duration::from_millis(lag_ms);
        while self.samples.len() > 1 && now.duration_since(self.samples[1].at) >= lag {
            self.samples.pop_front();
        }
        let sample = self.samples[0];
        (sample, now.duration_since(sample.at).as_millis() as u64)
    }
}
