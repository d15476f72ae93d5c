//! Detects that the process did not run for a time, such as on a starved machine or after a stop signal.
//!
//! What arrived meanwhile looks as if it had arrived just now, so the age of events is underestimated.

use std::cell::Cell;

use jacinthpoint_types::TimeMs;

use crate::events::log_event;

/// Time between two ticks from which the process counts as paused. Ticks are due every 100 ms.
const MIN_PAUSE_MS: u64 = 300;
/// Time after a pause in which events from it are still handled.
const AFTERMATH_MS: u64 = 200;

/// Pauses of the process.
#[derive(Debug)]
pub(crate) struct Pauses {
    ticked_at: Cell<TimeMs>,
    /// End and length in milliseconds of the last pause.
    last: Cell<Option<(TimeMs, u64)>>,
}

impl Pauses {
    /// Returns the state of a process that runs at `now`.
    pub(crate) fn new(now: TimeMs) -> Pauses {
        Pauses {
            ticked_at: Cell::new(now),
            last: Cell::new(None),
        }
    }

    /// Records that the process runs. Called at regular intervals.
    pub(crate) fn on_tick(&self, now: TimeMs) {
        let elapsed_ms = now.since_ms(self.ticked_at.replace(now));
        if elapsed_ms >= MIN_PAUSE_MS {
            self.last.set(Some((now, elapsed_ms)));
            log_event!(
                warn,
                ProcessPaused,
                elapsed_ms,
                "the process did not run for a time"
            );
        }
    }

    /// Returns by how much an event that is seen at `now` may be older than that, in milliseconds.
    pub(crate) fn possible_age_ms(&self, now: TimeMs) -> u64 {
        let since_tick_ms = now.since_ms(self.ticked_at.get());
        if since_tick_ms >= MIN_PAUSE_MS {
            return since_tick_ms;
        }
        let last = self.last.get();
        let recent = last.filter(|(ended_at, _)| now.since_ms(*ended_at) < AFTERMATH_MS);
        recent.map_or(0, |(_, length_ms)| length_ms)
    }
}
