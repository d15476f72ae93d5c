//! The plan of one fabric domain, as the platform holds it.

use std::collections::BTreeSet;

use jacinthpoint_types::{Assignment, DeploymentId, Epoch, GroupId, MemberAddress, ModelRef};
use serde::{Deserialize, Serialize};

/// One replica group of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupPlan {
    /// Its id, never used again.
    pub id: GroupId,
    /// Deployment it belongs to.
    pub deployment: DeploymentId,
    /// What it serves.
    pub model: ModelRef,
    /// Fencing number, raised whenever members or model change.
    pub epoch: Epoch,
    /// Members in rank order.
    pub members: Vec<MemberAddress>,
    /// VMs that belong to this group alone and may replace a member.
    pub standbys: Vec<MemberAddress>,
}

impl GroupPlan {
    /// The group as its members are told of it.
    pub fn assignment(&self) -> Assignment {
        Assignment {
            group: self.id.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }

    /// Members and standbys.
    pub fn all_vms(&self) -> impl Iterator<Item = &MemberAddress> {
        self.members.iter().chain(&self.standbys)
    }
}

/// All groups of one fabric domain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Raised by each update; the source of the groups' epochs.
    pub fence: u64,
    /// The groups.
    pub groups: Vec<GroupPlan>,
}

impl Plan {
    /// Whether no VM stands in two places. Every plan that is written holds this.
    pub fn is_disjoint(&self) -> bool {
        let mut seen = BTreeSet::new();
        self.groups
            .iter()
            .flat_map(GroupPlan::all_vms)
            .all(|member| seen.insert(&member.vm))
    }
}
