//! Logs panics of the node's threads.

use std::panic::{AssertUnwindSafe, catch_unwind};

use crate::events::log_event;

/// Runs work of a thread. If it panics, logs that and returns, so that the calling code can go on with
/// the next work. Locks that the work held are usable afterwards.
pub(crate) fn log_panic(thread: &str, work: impl FnOnce()) {
    // The panic hook has written the message and the place.
    if catch_unwind(AssertUnwindSafe(work)).is_err() {
        log_event!(
            error,
            ThreadPanicked,
            thread,
            "work of a thread ended by a panic"
        );
    }
}
