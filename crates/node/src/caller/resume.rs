//! Resumption of an attempt whose stream stalled or broke.

use jacinthpoint_readiness::Permit;
use jacinthpoint_types::{AttemptId, TimeMs};
use jacinthpoint_upstream::{StartError, StreamError, TokenStream};

use crate::shared::Shared;

/// Time limit for cancelling an attempt on an engine.
const CANCEL_TIMEOUT_MS: u64 = 300;
/// Status with which an engine refuses any request for a time.
const UNAVAILABLE: u16 = 503;
/// Status of an engine that does not hold the attempt.
const NOT_FOUND: u16 = 404;
/// Time in which an engine that reads requests again reads those that were sent to it before.
const BACKLOG_MS: u64 = 1_000;

/// An attempt that is in progress on an engine as far as is known.
#[derive(Clone)]
pub(crate) struct OpenAttempt {
    /// Permit under which the attempt was started.
    pub(crate) permit: Permit,
    pub(crate) attempt: AttemptId,
    /// Whether the engine has shown that it received the attempt.
    is_received: bool,
    /// Time from which the engine's word that it does not hold the attempt is final, although it has not
    /// shown that it received the attempt. `None` until it says so.
    lost_at: Option<TimeMs>,
}

impl OpenAttempt {
    pub(crate) fn new(permit: &Permit, attempt: AttemptId) -> OpenAttempt {
        OpenAttempt {
            permit: permit.clone(),
            attempt,
            is_received: false,
            lost_at: None,
        }
    }

    /// Records that the engine answers with the attempt's stream.
    pub(crate) fn on_received(&mut self) {
        self.is_received = true;
    }

    /// Returns whether the attempt will not go on, after its stream could not be opened because of
    /// `error`. `is_repeated` says whether several resumptions failed.
    ///
    /// An engine that was paused may read a later resumption before the request that starts the attempt.
    pub(crate) fn is_lost(&mut self, error: &ResumeError, is_repeated: bool, now: TimeMs) -> bool {
        match error {
            ResumeError::NotHeld if !self.is_received => {
                now >= *self.lost_at.get_or_insert(now.plus_ms(BACKLOG_MS))
            }
            ResumeError::NotHeld | ResumeError::Lost(_) => true,
            ResumeError::NotReached(_) => is_repeated,
            ResumeError::Silent(_) => false,
        }
    }

    /// Cancels the attempt on its engine.
    pub(crate) fn cancel(&self) {
        if let Some(leader) = self.permit.assignment.leader() {
            // Errors are ignored: if the leader cannot be reached because the group is lost, the
            // engine ends the attempt itself once the group's assignment changes.
            let _ = jacinthpoint_upstream::cancel(leader.address, self.attempt, CANCEL_TIMEOUT_MS);
        }
    }
}

/// Reason why an attempt's stream could not be resumed.
#[derive(Debug)]
pub(crate) enum ResumeError {
    /// The engine does not hold the attempt.
    NotHeld,
    /// The engine no longer runs the attempt, or its answer cannot be used.
    Lost(String),
    /// Nothing listens at the engine's address.
    NotReached(String),
    /// The engine did not answer, or cannot answer now. It may go on.
    Silent(String),
}

impl ResumeError {
    /// Returns the error of the stream that could not be resumed.
    pub(crate) fn into_stream_error(self) -> StreamError {
        match self {
            ResumeError::Lost(message) => StreamError::Malformed { message },
            ResumeError::NotHeld => StreamError::Broken {
                message: "the engine does not hold the attempt".to_owned(),
            },
            ResumeError::NotReached(message) | ResumeError::Silent(message) => {
                StreamError::Broken { message }
            }
        }
    }
}

/// Returns whether an attempt that was started under `permit` may still be in progress: an engine ends it
/// when the assignment of its group changes. A group without a permit, as while a member is paused,
/// may keep its assignment.
pub(crate) fn may_go_on(shared: &Shared, permit: &Permit) -> bool {
    let now = shared.now();
    let permits = shared.permits();
    let group = &permit.assignment.group;
    permits
        .held(now)
        .filter(|held| held.assignment.group == *group)
        .all(|held| held.assignment == permit.assignment)
}

/// Opens the stream of an attempt again, from token `offset` on. Only reads, so it needs no valid permit.
pub(crate) fn resume_stream(
    open: &OpenAttempt,
    offset: u64,
    connect_timeout_ms: u64,
    stall_timeout_ms: u64,
) -> Result<TokenStream, ResumeError> {
    let Some(leader) = open.permit.assignment.leader() else {
        return Err(ResumeError::Lost("the group has no leader".to_owned()));
    };
    let resumed = jacinthpoint_upstream::resume(
        leader.address,
        open.attempt,
        offset,
        connect_timeout_ms,
        stall_timeout_ms,
    );
    resumed.map_err(|error| match error {
        StartError::Refused {
            status: UNAVAILABLE,
            message,
        } => ResumeError::Silent(message),
        StartError::Refused {
            status: NOT_FOUND, ..
        } => ResumeError::NotHeld,
        StartError::Refused { status, message } => {
            ResumeError::Lost(format!("status {status}: {message}"))
        }
        StartError::NotSent { message } => ResumeError::NotReached(message),
        StartError::NoAnswer { message } => ResumeError::Silent(message),
    })
}
