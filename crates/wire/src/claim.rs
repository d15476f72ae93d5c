//! Messages about requests that run at most once.
//!
//! A caller may resend a request with the same idempotency key to any node. Keys are hashed to the
//! slots of the ledger. For each slot the live nodes are ranked; the first is the slot's owner, and
//! another node acts as owner if that one does not answer. Before a node runs a request with a key,
//! the node claims the key from the owner of the key's slot. At most one claim holds a key at a
//! time, even if several nodes act as owner, because a page of claims is written to the platform
//! only if its version is unchanged. The node that runs the request keeps the answer for resends.

use jacinthpoint_types::{AttemptId, IdempotencyKey, NodeId, OrganisationId};
use serde::{Deserialize, Serialize};

/// Digest of a request's content; distinguishes a resend from another request with the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[display("{_0:016x}")]
pub struct RequestDigest(pub u64);

/// Idempotency key, in the scope of the organisation that issued it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ScopedKey {
    /// Organisation that issued the key. Equal keys of two organisations are different keys.
    pub organisation: OrganisationId,
    /// Key as the caller sent it.
    pub key: IdempotencyKey,
}

/// Request to the owner of a key's slot for the right to run the request with this key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key to claim.
    pub key: ScopedKey,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Identifier of the claim: a new [`AttemptId`] that the runner creates each time a caller
    /// sends the request to it. Only the runner dispatches the request under this claim.
    pub claim: AttemptId,
    /// Node that sends the claim and runs the request if the claim is granted.
    pub runner: NodeId,
    /// Earlier claim to replace. Its runner has confirmed that the request was not and will not be
    /// dispatched under that claim.
    pub replaces: Option<AttemptId>,
    /// Time in milliseconds that the sender waits for the answer.
    pub wait_ms: u32,
}

/// Request to withdraw a claim whose request was never dispatched.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRequest {
    /// Claimed key.
    pub key: ScopedKey,
    /// Claim to withdraw.
    pub claim: AttemptId,
    /// Time in milliseconds that the sender waits for the answer.
    pub wait_ms: u32,
}

/// Answer of a slot's owner to a [`ClaimRequest`] or [`ReleaseRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// The claim is granted; its record has been written to the platform.
    Granted,
    /// Another claim holds the key.
    Held {
        /// Claim that holds the key.
        claim: AttemptId,
        /// Node that runs this claim.
        runner: NodeId,
    },
    /// The key was used with another request.
    KeyReused,
    /// The key is older than the records that are kept.
    Expired,
    /// The claim's record was never written or has been removed.
    Released,
    /// The platform fails or does not answer; nothing is granted.
    Unavailable,
}

/// Complete answer, kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Complete body.
    pub body: Vec<u8>,
}

/// State of a claim on its runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunState {
    /// The request is running, or waits for the claim to be granted.
    Running,
    /// The request was answered.
    Answered(KeptAnswer),
    /// The request was not and will not be dispatched.
    Unstarted,
    /// The request may have run; the runner does not have its answer.
    NotKept,
}
