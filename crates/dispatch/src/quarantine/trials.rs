//! Trials of what is in quarantine: single requests that show whether it still crashes upstreams.
//!
//! Upstreams that crash together, as all of a fabric domain do, take requests with them that share a
//! part. Nobody writes an answer on that part afterwards if all requests with it are refused, so nothing
//! would show that it is harmless. A trial ends the quarantine with its answer, and costs another
//! crash otherwise. The number of trials is in the record, and only the gateway whose conditional write
//! raised it may send one, so there is one at a time in the fleet.

use jacinthpoint_types::{Deadline, TimeMs};

/// Pause before the first trial of what upstreams answered shortly before it came under suspicion.
const FIRST_PAUSE_MS: u64 = 3_000;
/// The same for what no gateway is known to have had an answer on. Each trial of it is likely to crash an
/// upstream.
const FIRST_PAUSE_UNANSWERED_MS: u64 = 60_000;
/// Factor by which each pause is longer than the one before.
const PAUSE_FACTOR: u64 = 4;
/// Number of pauses from which on they grow no further. The quarantine ends before.
const MAX_GROWTH: u32 = 8;
/// Time for which a request that could be sent makes a trial due.
const WANTED_MS: u64 = 2_000;
/// Time within which the gateway that counted a trial may send it.
const GRANT_MS: u64 = 10_000;

/// Trials of one suspect at one gateway.
#[derive(Debug, Default)]
pub(super) struct Trials {
    /// Number of trials of the whole fleet, by the record.
    count: u32,
    /// Time since which this gateway knows of this number, or of the quarantine.
    since: TimeMs,
    /// Time of the last request that would be sent but for the quarantine.
    wanted_at: Option<TimeMs>,
    /// End of the time in which this gateway may send the trial that it counted.
    granted_until: Option<Deadline>,
}

impl Trials {
    /// Returns the number of trials so far.
    pub(super) fn count(&self) -> u32 {
        self.count
    }

    /// Records that the quarantine begins.
    pub(super) fn on_quarantine(&mut self, now: TimeMs) {
        self.since = now;
        self.granted_until = None;
    }

    /// Records the number of trials in the record.
    pub(super) fn on_count(&mut self, count: u32, now: TimeMs) {
        if self.count != count {
            self.count = count;
            self.since = now;
            self.wanted_at = None;
        }
    }

    /// Records that a request would be sent but for the quarantine.
    pub(super) fn on_wanted(&mut self, now: TimeMs) {
        self.wanted_at = Some(now);
    }

    /// Returns whether the next trial is to be counted in the record. `was_answered` says whether the suspect was
    /// answered shortly before one of its crashes.
    pub(super) fn is_due(&self, was_answered: bool, now: TimeMs) -> bool {
        let first_pause_ms = match was_answered {
            true => FIRST_PAUSE_MS,
            false => FIRST_PAUSE_UNANSWERED_MS,
        };
        let pause_ms = first_pause_ms * PAUSE_FACTOR.pow(self.count.min(MAX_GROWTH));
        let is_wanted = self
            .wanted_at
            .is_some_and(|at| now.since_ms(at) < WANTED_MS);
        is_wanted && now.since_ms(self.since) >= pause_ms
    }

    /// Lets this gateway send the trial that it counted in the record.
    pub(super) fn grant(&mut self, now: TimeMs) {
        self.granted_until = Some(Deadline::after_ms(now, GRANT_MS));
    }

    /// Returns whether this gateway may send a trial.
    pub(super) fn is_granted(&self, now: TimeMs) -> bool {
        self.granted_until
            .is_some_and(|until| !until.has_passed(now))
    }

    /// Records that the trial is sent.
    pub(super) fn on_sent(&mut self) {
        self.granted_until = None;
    }
}
