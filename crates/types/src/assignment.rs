//! What a replica group is: its members, epoch and model.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Epoch, GroupId, ModelRef, VmId};

/// A VM with the address its engine listens on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberAddress {
    /// The VM.
    pub vm: VmId,
    /// Where its engine listens.
    pub address: SocketAddr,
}

/// One replica group as its members are told of it. A group serves only while every member
/// believes in the same assignment.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Assignment {
    /// The group.
    pub group: GroupId,
    /// Its fencing number.
    pub epoch: Epoch,
    /// What it serves.
    pub model: ModelRef,
    /// Its members in rank order; requests go to the first.
    pub members: Vec<MemberAddress>,
}

impl Assignment {
    /// The member that takes requests; `None` only for an assignment without members.
    pub fn leader(&self) -> Option<&MemberAddress> {
        self.members.first()
    }

    /// Whether a VM is a member.
    pub fn has_member(&self, vm: &VmId) -> bool {
        self.members.iter().any(|member| &member.vm == vm)
    }
}
