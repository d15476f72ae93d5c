//! Groups, put together from what their members say.

use std::collections::BTreeMap;

use jacinthpoint_types::{DeploymentId, GroupId, ServiceId, VmId};

use crate::{
    config::{Engine, ModelSpec},
    upstream::{GroupState, Upstream},
};

/// A replica group as its members describe it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Its name.
    pub id: GroupId,
    /// The epoch of its member list.
    pub epoch: u64,
    /// The service of its members.
    pub service: ServiceId,
    /// The model that its members hold, once one says so.
    pub model: Option<DeploymentId>,
    /// Members that are known, by position; 0 is the head.
    pub members: BTreeMap<usize, VmId>,
    /// State of the head, if the head is known.
    pub leader_state: Option<GroupState>,
    /// Known members that hold their part of the model.
    pub ready_members: usize,
    /// Whether a known member is leaving.
    pub has_leaving_member: bool,
}

impl Group {
    /// What the engine says of its model, if it is known.
    pub fn model_spec<'a>(&self, engine: &'a Engine) -> Option<&'a ModelSpec> {
        engine.model(self.model.as_ref()?.as_str())
    }

    /// The head, if it is known.
    pub fn leader(&self) -> Option<&VmId> {
        self.members.get(&0)
    }

    /// Whether all `size` members are there and hold the model.
    pub fn is_whole(&self, size: usize) -> bool {
        self.members.len() == size
            && self.members.keys().copied().eq(0..size)
            && self.ready_members == size
    }

    /// Whether it takes requests: whole, open and with no member about to leave.
    pub fn is_serving(&self, size: usize) -> bool {
        self.leader_state == Some(GroupState::Open)
            && self.is_whole(size)
            && !self.has_leaving_member
    }
}

/// All groups that some upstream says to be in, by name and epoch.
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
            has_leaving_member: false,
        });
        group.members.insert(membership.rank, upstream.id.clone());
        group.model = group.model.take().or_else(|| upstream.model.clone());
        group.has_leaving_member |= upstream.is_leaving();
        if membership.rank == 0 {
            group.leader_state = Some(membership.state);
        }
        if membership.state != GroupState::Joining && membership.state != GroupState::Broken {
            group.ready_members += 1;
        }
    }
    groups
}
