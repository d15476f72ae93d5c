//! Client of the platform's Object API.
//!
//! Everything the fleet agrees on or keeps lives in versioned objects of the platform. An answer
//! can be lost after its write took effect; [`PlatformError::is_ambiguous`] tells such a failure
//! apart from a refusal, and the caller reads the object back before doing anything else.

pub use crate::{
    client::{Calls, Platform},
    error::PlatformError,
    member::{MemberRole, MemberState, PlatformMember},
    object::{Object, Version},
};

mod client;
mod error;
mod member;
mod object;
