//! Client of the Object API of the platform that nodes use. Gateways use another platform, through
//! `jacinthpoint-adapter`.
//!
//! The fleet stores all shared and durable state in versioned objects of the platform. The response
//! to a write can be lost after the write took effect. [`PlatformError::is_ambiguous`] tells this
//! case from a refusal; the caller must then read the object again before it does anything else.

pub use crate::{
    client::{Calls, Platform},
    error::PlatformError,
    member::{MemberRole, MemberState, Members, PlatformMember},
    object::{Object, Version},
};

mod client;
mod error;
mod member;
mod object;
