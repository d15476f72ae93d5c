//! Resumption of an attempt whose stream stalled or broke.

use jacinthpoint_readiness::Permit;
use jacinthpoint_types::AttemptId;
use jacinthpoint_upstream::{StartError, StreamError, TokenStream};

use crate::shared::Shared;

/// Time limit for cancelling an attempt on an engine.
const CANCEL_TIMEOUT_MS: u64 = 300;
/// Status with which an engine refuses any request for a time.
const UNAVAILABLE: u16 = 503;

/// An attempt that is in progress on an engine as far as is known, and whose stream is not read.
pub(crate) struct KeptAttempt {
    /// Permit under which the attempt was started.
    pub(crate) permit: Permit,
    pub(crate) attempt: AttemptId,
}

impl KeptAttempt {
    pub(crate) fn new(permit: &Permit, attempt: AttemptId) -> KeptAttempt {
        KeptAttempt {
            permit: permit.clone(),
            attempt,
        }
    }

    /// Cancels the attempt on its engine.
    pub(crate) fn cancel(self) {
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
    /// The engine no longer runs the attempt, or its answer cannot be used.
    Lost(String),
    /// Nothing listens at the engine's address.
    NotReached(String),
    /// The engine did not answer, or cannot answer now. It may go on.
    Silent(String),
}

impl ResumeError {
    /// Returns whether the attempt will not go on. `is_repeated` says whether several resumptions failed.
    pub(crate) fn is_lost(&self, is_repeated: bool) -> bool {
        match self {
            ResumeError::Lost(_) => true,
            ResumeError::NotReached(_) => is_repeated,
            ResumeError::Silent(_) => false,
        }
    }

    /// Returns the error of the stream that could not be resumed.
    pub(crate) fn into_stream_error(self) -> StreamError {
        match self {
            ResumeError::Lost(message) => StreamError::Malformed { message },
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
    permit: &Permit,
    attempt: AttemptId,
    offset: u64,
    connect_timeout_ms: u64,
    stall_timeout_ms: u64,
) -> Result<TokenStream, ResumeError> {
    let Some(leader) = permit.assignment.leader() else {
        return Err(ResumeError::Lost("the group has no leader".to_owned()));
    };
    let resumed = jacinthpoint_upstream::resume(
        leader.address,
        attempt,
        offset,
        connect_timeout_ms,
        stall_timeout_ms,
    );
    resumed.map_err(|error| match error {
        StartError::Refused {
            status: UNAVAILABLE,
            message,
        } => ResumeError::Silent(message),
        StartError::Refused { .. } => {
            ResumeError::Lost("the engine no longer holds the attempt".to_owned())
        }
        StartError::NotSent { message } => ResumeError::NotReached(message),
        StartError::NoAnswer { message } => ResumeError::Silent(message),
    })
}
