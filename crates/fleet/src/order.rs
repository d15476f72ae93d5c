//! Orders that a gateway sends to upstreams to form, open, close and dissolve replica groups.

use jacinthpoint_types::{DeploymentId, GroupId, VmId};

/// Action that an order asks an upstream to carry out.
#[derive(Debug, Clone, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderAction {
    /// Join a group as a member and load a part of its model.
    Join {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the member list.
        epoch: u64,
        /// Name of the model.
        model: DeploymentId,
        /// All members by rank, the leader first.
        members: Vec<VmId>,
    },
    /// Take requests. Sent to the leader of a group whose members are all ready.
    Open {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the member list.
        epoch: u64,
    },
    /// Take no more requests. Sent to the leader.
    Close {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the member list.
        epoch: u64,
        /// Whether running requests are aborted instead of finished.
        cuts_running: bool,
    },
    /// Leave a group.
    Leave {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the member list.
        epoch: u64,
    },
    /// Load a model's weights into the host's memory.
    Stage {
        /// Name of the model.
        model: DeploymentId,
    },
}

/// An order to one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Upstream that the order is sent to.
    pub target: VmId,
    /// Action to carry out.
    pub action: OrderAction,
}

/// Answer of an upstream to an order, or [`OrderAnswer::Unknown`] without one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderAnswer {
    /// The upstream has begun to carry out the order.
    Begun,
    /// The upstream has carried out the order, now or before.
    Done,
    /// The upstream refused: the order does not apply to its current state.
    Unfit,
    /// The upstream refused: it has seen a higher fencing token, or a higher epoch of a group.
    Fenced,
    /// Another upstream answered at the target's address and did not carry out the order.
    WrongUpstream,
    /// The upstream refused for another reason.
    Refused,
    /// No answer arrived; the order may still be carried out.
    Unknown,
}

impl OrderAnswer {
    /// Returns whether this answer to an order to leave shows that the upstream is not in the group:
    /// it left, or it was not a member.
    pub fn shows_absence(self) -> bool {
        matches!(
            self,
            OrderAnswer::Begun | OrderAnswer::Done | OrderAnswer::Unfit
        )
    }
}
