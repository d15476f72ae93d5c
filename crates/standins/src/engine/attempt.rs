//! One attempt: its tokens so far, and the thread that makes them.

use std::{
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_types::{AttemptId, Epoch};

use crate::{
    engine::state::{Shared, Step},
    text,
};

/// How often a generator that waits looks again.
const WAIT_CHECK_MS: u64 = 5;
/// How long a finished attempt can still be resumed.
const KEEP_FINISHED_MS: u64 = 10_000;

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Progress {
    Running,
    Done,
    Failed,
}

#[derive(Debug)]
pub(super) struct Tokens {
    pub(super) texts: Vec<String>,
    pub(super) progress: Progress,
}

/// One attempt and its tokens.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) id: AttemptId,
    pub(super) epoch: Epoch,
    pub(super) first_offset: u64,
    pub(super) total: u64,
    pub(super) members: Vec<String>,
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) last_before: String,
    tokens: Mutex<Tokens>,
    changed: Condvar,
}

/// What an attempt shall generate.
pub(super) struct AttemptRequest {
    pub(super) id: AttemptId,
    pub(super) epoch: Epoch,
    pub(super) members: Vec<String>,
    pub(super) model: String,
    pub(super) prompt: String,
    pub(super) total: u64,
    pub(super) continue_from: Vec<String>,
}

impl Attempt {
    pub(super) fn new(request: AttemptRequest) -> Attempt {
        Attempt {
            id: request.id,
            epoch: request.epoch,
            first_offset: request.continue_from.len() as u64,
            total: request.total,
            members: request.members,
            model: request.model,
            prompt: request.prompt,
            last_before: request.continue_from.last().cloned().unwrap_or_default(),
            tokens: Mutex::new(Tokens {
                texts: Vec::new(),
                progress: Progress::Running,
            }),
            changed: Condvar::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Tokens> {
        self.tokens.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the attempt unless it has ended.
    pub(super) fn fail(&self) {
        let mut tokens = self.lock();
        if tokens.progress == Progress::Running {
            tokens.progress = Progress::Failed;
        }
        self.changed.notify_all();
    }

    /// The token at `offset`, waiting for it at most `wait`.
    pub(super) fn token_at(&self, offset: u64, wait: Duration) -> (Option<String>, Progress) {
        let index = offset.saturating_sub(self.first_offset) as usize;
        let tokens = self.lock();
        let (tokens, _) = self
            .changed
            .wait_timeout_while(tokens, wait, |tokens| {
                tokens.texts.len() <= index && tokens.progress == Progress::Running
            })
            .unwrap_or_else(PoisonError::into_inner);
        (tokens.texts.get(index).cloned(), tokens.progress)
    }

    fn push(&self, text: String) -> Progress {
        let mut tokens = self.lock();
        if tokens.progress == Progress::Running {
            tokens.texts.push(text);
            if self.first_offset + tokens.texts.len() as u64 >= self.total {
                tokens.progress = Progress::Done;
            }
        }
        self.changed.notify_all();
        tokens.progress
    }

    fn is_running(&self) -> bool {
        self.lock().progress == Progress::Running
    }
}

/// Makes the tokens of an attempt, one step after another.
pub(super) fn generate(shared: &Arc<Shared>, attempt: &Arc<Attempt>) {
    if wait_for_slot(shared, attempt) {
        run(shared, attempt);
        shared.lock().running -= 1;
    }
    thread::sleep(Duration::from_millis(KEEP_FINISHED_MS));
    shared.lock().attempts.remove(&attempt.id);
}

fn wait_for_slot(shared: &Shared, attempt: &Attempt) -> bool {
    loop {
        {
            let mut state = shared.lock();
            if !attempt.is_running() {
                state.queued -= 1;
                return false;
            }
            if (state.running as usize) < shared.options.slots {
                state.queued -= 1;
                state.running += 1;
                return true;
            }
        }
        if shared.can_step(attempt.epoch) == Step::Abort {
            attempt.fail();
        }
        thread::sleep(Duration::from_millis(WAIT_CHECK_MS));
    }
}

fn run(shared: &Shared, attempt: &Attempt) {
    let mut previous = attempt.last_before.clone();
    let mut due = Instant::now() + Duration::from_millis(shared.options.prefill_ms);
    loop {
        match shared.can_step(attempt.epoch) {
            Step::Abort => return attempt.fail(),
            Step::Wait => {
                thread::sleep(Duration::from_millis(WAIT_CHECK_MS));
                continue;
            }
            Step::Go => {}
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        previous = text::next_token(&attempt.model, &attempt.prompt, &previous);
        if attempt.push(previous.clone()) != Progress::Running {
            return;
        }
        due = Instant::now() + shared.step_time();
    }
}
