//! Messages between nodes.
//!
//! Datagrams carry what is periodic and may be lost; a short TCP exchange carries what is larger
//! or needs an answer. Both start with a version byte and hold one `postcard` value. A message of
//! another version is dropped and counted by the receiver, so that two releases can run side by
//! side during an upgrade.

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
