//! What an upstream ran: the evidence for "at most once" and "truly did not run".

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The caller's request id.
    pub request: String,
    /// The attempt id.
    pub attempt: String,
    /// The VM that ran it.
    pub vm: String,
    /// Group it was run for; empty for a plain service.
    pub group: String,
    /// Epoch it was run under; 0 for a plain service.
    pub epoch: u64,
    /// Body of the request as received.
    pub body: String,
    /// Wall-clock time of the start. The stand-ins of one test share a clock.
    pub started_wall_ms: u64,
}

/// Runs in the order they started. Clones share the log.
#[derive(Debug, Clone, Default)]
pub struct RunLog(Arc<Mutex<Vec<RunRecord>>>);

impl RunLog {
    /// Adds a run.
    pub fn push(&self, record: RunRecord) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(record);
    }

    /// All runs so far.
    pub fn records(&self) -> Vec<RunRecord> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Wall-clock time in milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
