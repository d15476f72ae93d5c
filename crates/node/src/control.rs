//! A node's control tasks: failure detection, membership, configuration, probing, permits, planning
//! and limits. Each module runs the threads and does the I/O of one task; the decisions are made in
//! crates without I/O.

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
