//! Records of the planner's decisions, for the log.
//!
//! Orders show what the planner did, but not why it considered an upstream free, nor why it gave up
//! the formation of a group.

use std::fmt;

use jacinthpoint_fleet::Membership;
use jacinthpoint_types::{DeploymentId, GroupId, VmId};

/// A decision that the orders do not show.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The formation of a group began.
    FormationStarted {
        /// Name of the group.
        group: GroupId,
        /// Model that the group will serve.
        model: DeploymentId,
        /// Why each member counted as free, the leader first.
        members: Vec<MemberBasis>,
    },
    /// The formation of a group ended.
    FormationEnded {
        /// Name of the group.
        group: GroupId,
        /// Whether the group opened, or why it did not.
        outcome: FormationOutcome,
    },
}

/// The state by which an upstream counted as free when it was selected as a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberBasis {
    /// Name of the upstream.
    pub id: VmId,
    /// Where the state is from.
    pub source: StateSource,
    /// Membership in another group, which can no longer serve.
    pub membership: Option<Membership>,
    /// Whether another known upstream has the same address.
    pub shares_address: bool,
}

impl fmt::Display for MemberBasis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} by {}: ", self.id, self.source)?;
        match &self.membership {
            Some(membership) => write!(f, "{} in {}", membership.state, membership.group)?,
            None => write!(f, "in no group")?,
        }
        if self.shares_address {
            write!(f, ", shared address")?;
        }
        Ok(())
    }
}

/// Where the state of an upstream is from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StateSource {
    /// The upstream's entry in the list, or a membership that the planner ordered.
    Entry,
    /// The upstream's answer to a probe.
    Report,
}

/// How the formation of a group ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FormationOutcome {
    /// The group takes requests.
    Open,
    /// An upstream refused an order, or another upstream answered at its address.
    OrderRefused,
    /// A member is unlisted, draining or considered dead, or another upstream has its address.
    MemberLost,
    /// The group was not open in time.
    TimedOut,
}
