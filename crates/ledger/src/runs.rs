//! States and answers of the claims that one node made.

use std::collections::BTreeMap;

use jacinthpoint_types::{AttemptId, TimeMs};
use jacinthpoint_wire::{KeptAnswer, RunState};

use crate::key::WINDOW_MS;

/// Size limit of a kept answer, which must fit into one message between nodes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;
/// Number of claims above which the oldest ended claims are removed.
const MAX_RUNS: usize = 50_000;

#[derive(Debug)]
struct Run {
    state: RunState,
    /// Time at which the claim ended, or began if it has not ended.
    at: TimeMs,
}

/// Holds the claims of one node. A claim that was removed is reported as [`RunState::NotKept`].
#[derive(Debug)]
pub struct RunTable {
    runs: BTreeMap<AttemptId, Run>,
    kept_bytes: usize,
    max_bytes: usize,
}

impl RunTable {
    /// Returns an empty table that keeps at most `max_bytes` of answers.
    pub fn new(max_bytes: usize) -> RunTable {
        RunTable {
            runs: BTreeMap::new(),
            kept_bytes: 0,
            max_bytes,
        }
    }

    /// Records a claim as [`RunState::Running`], which includes claims that are not yet granted.
    /// Must be called before the claim is sent to an owner, so that no node can ask for a claim
    /// that is missing here.
    pub fn begin(&mut self, claim: AttemptId, now: TimeMs) {
        self.set(claim, RunState::Running, now);
    }

    /// Sets the final state of a claim that has begun and not ended; does nothing for any other
    /// claim. An answer that is too large is not kept.
    pub fn end(&mut self, claim: AttemptId, state: RunState, now: TimeMs) {
        if !self.is_running(claim) {
            return;
        }
        let state = match state {
            RunState::Answered(answer) if answer.body.len() > MAX_ANSWER_BYTES => RunState::NotKept,
            state => state,
        };
        self.set(claim, state, now);
        self.remove_old(now);
    }

    /// Returns whether a claim has begun and not ended.
    pub fn is_running(&self, claim: AttemptId) -> bool {
        let run = self.runs.get(&claim);
        run.is_some_and(|run| run.state == RunState::Running)
    }

    /// Returns the state of a claim.
    pub fn state(&self, claim: AttemptId) -> RunState {
        self.runs
            .get(&claim)
            .map_or(RunState::NotKept, |run| run.state.clone())
    }

    /// Returns the total size of the kept answers, in bytes.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    fn set(&mut self, claim: AttemptId, state: RunState, at: TimeMs) {
        self.kept_bytes += answer_bytes(&state);
        if let Some(old) = self.runs.insert(claim, Run { state, at }) {
            self.kept_bytes -= answer_bytes(&old.state);
        }
    }

    /// Removes ended claims, the oldest first, while they are older than the window of their keys
    /// or the table exceeds a limit.
    fn remove_old(&mut self, now: TimeMs) {
        while let Some(oldest) = self.oldest_ended() {
            let is_old = now.since_ms(self.runs[&oldest].at) > WINDOW_MS;
            let exceeds_limit = self.kept_bytes > self.max_bytes || self.runs.len() > MAX_RUNS;
            if !is_old && !exceeds_limit {
                return;
            }
            if let Some(run) = self.runs.remove(&oldest) {
                self.kept_bytes -= answer_bytes(&run.state);
            }
        }
    }

    /// Returns the ended claim that was made first. Ids of claims increase with the time at which a
    /// node made them, so the order of the map is the order of age.
    fn oldest_ended(&self) -> Option<AttemptId> {
        let mut ended = self
            .runs
            .iter()
            .filter(|(_, run)| run.state != RunState::Running);
        ended.next().map(|(claim, _)| *claim)
    }
}

/// Returns the size of the answer that a state holds, in bytes.
fn answer_bytes(state: &RunState) -> usize {
    match state {
        RunState::Answered(KeptAnswer { body, .. }) => body.len(),
        _ => 0,
    }
}
