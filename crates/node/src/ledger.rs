//! Shell of the at-most-once records: threads and sockets around `jacinthpoint-ledger`.

use std::{
    sync::{Condvar, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jacinthpoint_ledger::RunTable;
use jacinthpoint_types::{AttemptId, TimeMs};
use jacinthpoint_wire::RunState;

pub(crate) use crate::ledger::{
    client::{claim, run_state},
    owner::{SlotOwner, run_releases, run_timer, run_worker},
};

mod client;
mod owner;

/// Answers kept for resends, well below a node's memory for control.
const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

/// The claims of this node, which resends at any node ask for.
pub(crate) struct SharedRunTable {
    table: Mutex<RunTable>,
    ended: Condvar,
}

impl SharedRunTable {
    pub(crate) fn new() -> SharedRunTable {
        SharedRunTable {
            table: Mutex::new(RunTable::new(MAX_KEPT_BYTES)),
            ended: Condvar::new(),
        }
    }

    pub(crate) fn begin(&self, claim: AttemptId, now: TimeMs) {
        self.lock().begin(claim, now);
    }

    pub(crate) fn end(&self, claim: AttemptId, state: RunState, now: TimeMs) {
        self.lock().end(claim, state, now);
        self.ended.notify_all();
    }

    /// What is known of a claim, waiting at most `wait_ms` for its end.
    pub(crate) fn wait(&self, claim: AttemptId, wait_ms: u64) -> RunState {
        let is_running = |table: &mut RunTable| table.is_running(claim);
        let wait = Duration::from_millis(wait_ms);
        let (table, _) = self
            .ended
            .wait_timeout_while(self.lock(), wait, is_running)
            .unwrap_or_else(PoisonError::into_inner);
        table.state(claim)
    }

    fn lock(&self) -> MutexGuard<'_, RunTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
