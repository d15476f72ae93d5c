//! Messages between nodes, and their encoding.
//!
//! UDP datagrams carry messages that are sent periodically and may be lost. Short TCP connections
//! carry requests and answers that may be larger than a datagram, or whose loss must be noticed.
//! Each message is a version byte and one `postcard` value. The receiver drops and counts messages
//! of another version: while nodes of two versions run during an upgrade, they do not misread each
//! other's messages.

pub use crate::{
    claim::{
        ClaimRequest, ClaimVerdict, KeptAnswer, ReleaseRequest, RequestDigest, RunState, ScopedKey,
    },
    codec::{
        DecodeError, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, decode, encode, read_frame, write_frame,
    },
    message::{
        Datagram, GrantTerms, PeerMessage, PeerMessageKind, PeerReply, PeerRequest, PeerState,
        PeerStatus, PeerUpdate, PermitGrant,
    },
};

mod claim;
mod codec;
mod message;
