//! A request with an idempotency key must run at most once, even if the caller resends it to
//! several nodes. The decisions are made in `jacinthpoint-ledger`; this module runs its threads and
//! does its I/O.

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

/// Maximum total size of the answers kept for resends, well below the memory that a node has for
/// control work.
const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

/// Holds the claims that this node made and the state of their runs. A claim is a node's request
/// for the right to run a request with an idempotency key; the owner of the key's slot grants it. A
/// resend may arrive at any node, which then queries the state of the claim here.
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

    /// Records a claim as running.
    pub(crate) fn begin(&self, claim: AttemptId, now: TimeMs) {
        self.lock().begin(claim, now);
    }

    /// Records the final state of a claim and wakes the threads that wait for it.
    pub(crate) fn end(&self, claim: AttemptId, state: RunState, now: TimeMs) {
        self.lock().end(claim, state, now);
        self.ended.notify_all();
    }

    /// Waits at most `wait_ms` for a claim to end, and returns its state.
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
