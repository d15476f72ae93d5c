//! Assembles replica groups from what their members publish.

use std::collections::BTreeMap;

use jacinthpoint_types::{DeploymentId, GroupId, ServiceId, VmId};

use crate::{
    config::{Engine, ModelSpec},
    upstream::{GroupState, Upstream},
};

/// State of a replica group, as its known members publish it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Name of the group.
    pub id: GroupId,
    /// Epoch of its member list; see [`crate::Membership::epoch`].
    pub epoch: u64,
    /// Service that its members belong to.
    pub service: ServiceId,
    /// Model that its members hold; `None` until one publishes it.
    pub model: Option<DeploymentId>,
    /// Known members by rank; rank 0 is the leader.
    pub members: BTreeMap<usize, VmId>,
    /// State of the leader, if the leader is known.
    pub leader_state: Option<GroupState>,
    /// Number of known members whose state is neither `Joining` nor `Broken`.
    pub ready_members: usize,
    /// Whether a known member is draining.
    pub has_draining_member: bool,
}

impl Group {
    /// Returns the engine's parameters for the group's model, or `None` if the model is unknown or
    /// the engine has no parameters for it.
    pub fn model_spec<'a>(&self, engine: &'a Engine) -> Option<&'a ModelSpec> {
        engine.model(self.model.as_ref()?.as_str())
    }

    /// Returns the member that takes requests, if it is known.
    pub fn leader(&self) -> Option<&VmId> {
        self.members.get(&0)
    }

    /// Returns whether all `size` members are known and none of them is `Joining` or `Broken`.
    pub fn is_whole(&self, size: usize) -> bool {
        self.members.len() == size
            && self.members.keys().copied().eq(0..size)
            && self.ready_members == size
    }

    /// Returns whether the group takes requests: it is whole and open, and no member is draining.
    pub fn is_serving(&self, size: usize) -> bool {
        self.leader_state == Some(GroupState::Open)
            && self.is_whole(size)
            && !self.has_draining_member
    }
}

/// Returns the groups that at least one upstream publishes membership in, by name and epoch.
pub fn groups_of<'a>(
    upstreams: impl IntoIterator<Item = &'a Upstream>,
) -> BTreeMap<(GroupId, u64), Group> {
    let mut groups: BTreeMap<(GroupId, u64), Group> = BTreeMap::new();
    for upstream in upstreams {
        let Some(membership) = &upstream.membership else {
            continue;
        };
        let key = (membership.group.clone(), membership.epoch);
        let group = groups.entry(key).or_insert_with(|| Group {
            id: membership.group.clone(),
            epoch: membership.epoch,
            service: upstream.service.clone(),
            model: None,
            members: BTreeMap::new(),
            leader_state: None,
            ready_members: 0,
            has_draining_member: false,
        });
        group.members.insert(membership.rank, upstream.id.clone());
        group.model = group.model.take().or_else(|| upstream.model.clone());
        group.has_draining_member |= upstream.is_draining();
        if membership.rank == 0 {
            group.leader_state = Some(membership.state);
        }
        if membership.state != GroupState::Joining && membership.state != GroupState::Broken {
            group.ready_members += 1;
        }
    }
    groups
}
