//! What one node knows of the claims that it made.

use std::collections::BTreeMap;

use jacinthpoint_types::{AttemptId, TimeMs};
use jacinthpoint_wire::{KeptAnswer, RunState};

use crate::key::WINDOW_MS;

/// Largest answer that is kept; it must fit into one message between nodes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Claims without a kept answer, beyond which the oldest ended one is forgotten.
const MAX_RUNS: usize = 50_000;

#[derive(Debug)]
struct Run {
    state: RunState,
    at: TimeMs,
}

/// The claims of one node. What is forgotten is told as [`RunState::NotKept`].
#[derive(Debug)]
pub struct RunTable {
    runs: BTreeMap<AttemptId, Run>,
    kept_bytes: usize,
    max_bytes: usize,
}

impl RunTable {
    /// A table that keeps at most `max_bytes` of answers.
    pub fn new(max_bytes: usize) -> RunTable {
        RunTable {
            runs: BTreeMap::new(),
            kept_bytes: 0,
            max_bytes,
        }
    }

    /// Notes a claim before anyone else hears of it.
    pub fn begin(&mut self, claim: AttemptId, now: TimeMs) {
        self.set(claim, RunState::Running, now);
    }

    /// Ends a claim, once. An answer that is too large is not kept.
    pub fn end(&mut self, claim: AttemptId, state: RunState, now: TimeMs) {
        if !self.is_running(claim) {
            return;
        }
        let state = match state {
            RunState::Answered(answer) if answer.body.len() > MAX_ANSWER_BYTES => RunState::NotKept,
            state => state,
        };
        self.set(claim, state, now);
        self.make_room(now);
    }

    /// Whether a claim has begun and not ended.
    pub fn is_running(&self, claim: AttemptId) -> bool {
        let run = self.runs.get(&claim);
        run.is_some_and(|run| run.state == RunState::Running)
    }

    /// What is known of a claim.
    pub fn state(&self, claim: AttemptId) -> RunState {
        self.runs
            .get(&claim)
            .map_or(RunState::NotKept, |run| run.state.clone())
    }

    /// Bytes of the answers kept.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    fn set(&mut self, claim: AttemptId, state: RunState, at: TimeMs) {
        self.kept_bytes += answer_bytes(&state);
        if let Some(old) = self.runs.insert(claim, Run { state, at }) {
            self.kept_bytes -= answer_bytes(&old.state);
        }
    }

    /// Forgets what is older than the window, then the oldest ended claims.
    fn make_room(&mut self, now: TimeMs) {
        while let Some(oldest) = self.oldest_ended() {
            let is_old = now.since_ms(self.runs[&oldest].at) > WINDOW_MS;
            let is_crowded = self.kept_bytes > self.max_bytes || self.runs.len() > MAX_RUNS;
            if !is_old && !is_crowded {
                return;
            }
            if let Some(run) = self.runs.remove(&oldest) {
                self.kept_bytes -= answer_bytes(&run.state);
            }
        }
    }

    /// Ids of claims rise with the time at which one node made them.
    fn oldest_ended(&self) -> Option<AttemptId> {
        let mut ended = self
            .runs
            .iter()
            .filter(|(_, run)| run.state != RunState::Running);
        ended.next().map(|(claim, _)| *claim)
    }
}

fn answer_bytes(state: &RunState) -> usize {
    match state {
        RunState::Answered(KeptAnswer { body, .. }) => body.len(),
        _ => 0,
    }
}
