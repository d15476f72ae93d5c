//! Messages between nodes, and their encoding.
//!
//! UDP datagrams carry periodic messages, which may be lost. A short TCP exchange carries messages
//! that are larger or need an answer. Both hold a version byte and one `postcard` value. The
//! receiver drops and counts messages of another version, so that two releases can run side by side
//! during an upgrade.

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
