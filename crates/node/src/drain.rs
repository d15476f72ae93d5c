//! Planned stop: counts what is in flight and tells when it has ended.

use std::{
    sync::{
        Condvar, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// State of a planned stop, shared by the listeners.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    draining: AtomicBool,
    in_flight: Mutex<u32>,
    ended: Condvar,
}

/// One request in flight; ends it when dropped.
#[derive(Debug)]
pub(crate) struct InFlight<'a>(&'a Drain);

impl Drain {
    /// Begins the stop: the node is no longer ready and keeps no connection open.
    pub(crate) fn begin(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Counts a request until the result is dropped.
    pub(crate) fn enter(&self) -> InFlight<'_> {
        *self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner) += 1;
        InFlight(self)
    }

    pub(crate) fn in_flight(&self) -> u32 {
        *self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until nothing is in flight, at most `timeout`, and returns how many are left.
    pub(crate) fn wait_idle(&self, timeout: Duration) -> u32 {
        let guard = self
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (guard, _) = self
            .ended
            .wait_timeout_while(guard, timeout, |left| *left > 0)
            .unwrap_or_else(PoisonError::into_inner);
        *guard
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        *self
            .0
            .in_flight
            .lock()
            .unwrap_or_else(PoisonError::into_inner) -= 1;
        self.0.ended.notify_all();
    }
}
