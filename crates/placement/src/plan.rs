//! The plan of one fabric domain, as the platform holds it.

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

    /// Whether `swapped` may have grown from this group by standby swaps without the platform.
    ///
    /// It must keep more than half of the planned members. Any two such assignments then share a
    /// VM, and a VM believes in one assignment at a time, so two controllers that both swap never
    /// yield two whole configurations.
    ///
    /// `fence` is that of the plan: a standby may have seen it in another group, so the epoch of a
    /// swap grows from there.
    pub fn allows_swap(&self, fence: u64, swapped: &Assignment) -> bool {
        let own: BTreeSet<&MemberAddress> = self.all_vms().collect();
        let distinct: BTreeSet<&MemberAddress> = swapped.members.iter().collect();
        swapped.group == self.id
            && swapped.model == self.model
            && swapped.epoch > self.epoch
            && swapped.epoch.fence() <= fence
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

    /// Takes a swap over into the group. Members that were swapped out belong to it no longer.
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
    /// Raised by each update; the source of the groups' epochs.
    pub fence: u64,
    /// The groups.
    pub groups: Vec<GroupPlan>,
    /// Tag of the controller that wrote this plan.
    #[serde(default)]
    pub writer: u64,
    /// Incarnation of each VM's engine when it was planned. An engine that started again has lost
    /// its weights and the fencing numbers it had seen, so it is not the member that was planned.
    #[serde(default)]
    pub incarnations: BTreeMap<VmId, u64>,
}

impl Plan {
    /// The group with this id.
    pub fn group(&self, id: &GroupId) -> Option<&GroupPlan> {
        self.groups.iter().find(|group| &group.id == id)
    }

    /// Whether no VM stands in two places. Every plan that is written holds this.
    pub fn is_disjoint(&self) -> bool {
        let mut seen = BTreeSet::new();
        self.groups
            .iter()
            .flat_map(GroupPlan::all_vms)
            .all(|member| seen.insert(&member.vm))
    }
}
