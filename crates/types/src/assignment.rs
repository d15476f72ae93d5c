//! The assignment of VMs and a model to a replica group.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Epoch, GroupId, ModelRef, VmId};

/// A VM and the address that its engine listens on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberAddress {
    /// Name of the VM.
    pub vm: VmId,
    /// Address that its engine listens on.
    pub address: SocketAddr,
}

/// Members, epoch and model of one replica group, as sent to its members. A group serves only while
/// all its members hold the same assignment.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Assignment {
    /// Name of the group.
    pub group: GroupId,
    /// Fencing token of the group.
    pub epoch: Epoch,
    /// Model that the group serves.
    pub model: ModelRef,
    /// Members by rank; requests are sent to the first, the leader.
    pub members: Vec<MemberAddress>,
}

impl Assignment {
    /// Returns the member that takes requests, or `None` for an assignment without members.
    pub fn leader(&self) -> Option<&MemberAddress> {
        self.members.first()
    }

    /// Returns whether the VM is a member.
    pub fn has_member(&self, vm: &VmId) -> bool {
        self.members.iter().any(|member| &member.vm == vm)
    }
}
