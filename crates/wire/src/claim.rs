//! What nodes tell each other on requests that run at most once.

use jacinthpoint_types::{AttemptId, IdempotencyKey, NodeId, OrganisationId};
use serde::{Deserialize, Serialize};

/// Digest of what a keyed request asks for; tells a resend from another request under its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[display("{_0:016x}")]
pub struct RequestDigest(pub u64);

/// The key of one organisation's request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ScopedKey {
    /// Whose key it is. Two organisations' equal keys are different keys.
    pub organisation: OrganisationId,
    /// The key.
    pub key: IdempotencyKey,
}

/// Asks the owner of a key's slot for the right to run the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: ScopedKey,
    /// What is asked for.
    pub digest: RequestDigest,
    /// Made up by the runner for this sending of the request; only the runner dispatches it.
    pub claim: AttemptId,
    /// The node that asks, and would run the request.
    pub runner: NodeId,
    /// A claim whose runner said that it never was and never will be dispatched.
    pub replaces: Option<AttemptId>,
    /// How long the asker waits.
    pub wait_ms: u32,
}

/// Takes back a claim that was never dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// The key.
    pub key: ScopedKey,
    /// The claim.
    pub claim: AttemptId,
    /// How long the asker waits.
    pub wait_ms: u32,
}

/// The owner's answer to a [`ClaimRequest`] or [`ReleaseRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The record of the claim is known to be written.
    Granted,
    /// Another claim holds the key.
    Held {
        /// The claim.
        claim: AttemptId,
        /// The node that runs it.
        runner: NodeId,
    },
    /// The key was used with another request.
    KeyReused,
    /// The key is older than the records that are kept.
    Expired,
    /// The claim's record is not, or no longer, written.
    Released,
    /// The platform does not answer as it should; nothing is granted.
    Unavailable,
}

/// A whole answer, kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Body, complete.
    pub body: Vec<u8>,
}

/// What a runner knows of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// It runs, or waits for its grant.
    Running,
    /// It was answered.
    Answered(KeptAnswer),
    /// It was never dispatched and never will be.
    Unstarted,
    /// It may have run, and the answer is not here.
    NotKept,
}
