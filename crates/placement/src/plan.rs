//! The plan of one fabric domain, as stored on the platform.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{Assignment, DeploymentId, Epoch, GroupId, MemberAddress, ModelRef, VmId};
use serde::{Deserialize, Serialize};

/// Version of the object that holds a plan; 0 before the first one is written.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    derive_more::FromStr,
)]
pub struct PlanVersion(pub u64);

/// One replica group of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupPlan {
    /// Id of the group; it is never reused.
    pub id: GroupId,
    /// Deployment that the group belongs to.
    pub deployment: DeploymentId,
    /// Model that the group serves.
    pub model: ModelRef,
    /// Epoch of the group; raised whenever its members change or a restarted engine rejoins, and
    /// when engines have seen a higher one.
    pub epoch: Epoch,
    /// Members in order of rank.
    pub members: Vec<MemberAddress>,
    /// VMs that are reserved for this group and may replace a member.
    pub standbys: Vec<MemberAddress>,
}

impl GroupPlan {
    /// Returns the assignment that orders send to the members.
    pub fn assignment(&self) -> Assignment {
        Assignment {
            group: self.id.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }

    /// Returns the members and the standbys.
    pub fn all_vms(&self) -> impl Iterator<Item = &MemberAddress> {
        self.members.iter().chain(&self.standbys)
    }

    /// Returns whether `swapped` can be the result of standby swaps in this group, made while the
    /// platform was unavailable.
    ///
    /// A swap must keep more than half of the planned members. Any two swaps of a group then share
    /// a VM, and a VM has one assignment at a time, so two controllers that both swap never bring
    /// up two complete groups.
    ///
    /// `fencing_token` is that of the plan. The epoch of a swap has this token or a lower one,
    /// since a swap writes no new plan.
    pub fn allows_swap(&self, fencing_token: u64, swapped: &Assignment) -> bool {
        let own: BTreeSet<&MemberAddress> = self.all_vms().collect();
        let distinct: BTreeSet<&MemberAddress> = swapped.members.iter().collect();
        swapped.group == self.id
            && swapped.model == self.model
            && swapped.epoch > self.epoch
            && swapped.epoch.fence() <= fencing_token
            && distinct.len() == self.members.len()
            && swapped.members.len() == self.members.len()
            && distinct.is_subset(&own)
            && self.has_quorum(&swapped.members)
    }

    fn has_quorum(&self, members: &[MemberAddress]) -> bool {
        let kept = self
            .members
            .iter()
            .filter(|member| members.contains(member));
        kept.count() * 2 > self.members.len()
    }

    /// Applies a swap to the group. Members that were swapped out no longer belong to the group.
    pub fn apply_swap(&mut self, swapped: &Assignment) {
        self.members = swapped.members.clone();
        self.standbys
            .retain(|standby| !swapped.members.contains(standby));
        self.epoch = swapped.epoch;
    }
}

/// All groups of one fabric domain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Fencing token; raised by each update. The epochs of groups are derived from it.
    pub fence: u64,
    /// Groups of the domain.
    pub groups: Vec<GroupPlan>,
    /// Random tag of the controller that wrote this plan.
    #[serde(default)]
    pub writer: u64,
    /// Incarnation of each VM's engine when the planner last changed the groups. An engine that
    /// restarted since has lost its weights and the fencing tokens that it had seen, so it no
    /// longer counts as the planned member.
    #[serde(default)]
    pub incarnations: BTreeMap<VmId, u64>,
}

impl Plan {
    /// Returns the group with this id.
    pub fn group(&self, id: &GroupId) -> Option<&GroupPlan> {
        self.groups.iter().find(|group| &group.id == id)
    }

    /// Returns whether each VM occurs at most once, as a member or a standby. Every written plan
    /// satisfies this.
    pub fn is_disjoint(&self) -> bool {
        let mut seen = BTreeSet::new();
        self.groups
            .iter()
            .flat_map(GroupPlan::all_vms)
            .all(|member| seen.insert(&member.vm))
    }
}
