//! The node's share of the control work: a thread for each kind, over the decision crates.

pub(crate) use crate::control::{domains::Domains, member_lists::MemberLists};

pub(crate) mod config;
mod domains;
pub(crate) mod limits;
mod member_lists;
pub(crate) mod members;
pub(crate) mod messages;
pub(crate) mod permits;
pub(crate) mod planning;
pub(crate) mod probing;
