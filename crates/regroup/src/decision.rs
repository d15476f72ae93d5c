//! Records of the planner's decisions, for the log.
//!
//! Orders show what the planner did, but not why it considered an upstream free, nor why it gave up
//! the formation of a group.

use std::fmt;

use jacinthpoint_fleet::Membership;
use jacinthpoint_types::{DeploymentId, FabricDomainId, GroupId, VmId};

/// A decision that the orders do not show.
#[derive(Debug, Clone, PartialEq)]
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
    /// A report is older than an order that its upstream has begun, and is not used.
    ReportOutdated {
        /// The upstream.
        id: VmId,
    },
    /// Groups are closed so that their upstreams form groups of another model.
    ConversionStarted {
        /// Fabric domain of the groups.
        domain: FabricDomainId,
        /// Model that has too few groups for what callers ask of it.
        model: DeploymentId,
        /// The groups that are given up.
        groups: Vec<GroupId>,
        /// Requests that these groups run, which are finished first.
        running: u32,
        /// Needed and serving groups of each model when the decision was made.
        needs: Vec<GroupNeed>,
    },
    /// The upstreams of closed groups form groups of the other model, or are released.
    ConversionEnded {
        /// Fabric domain of the groups.
        domain: FabricDomainId,
        /// Model that has too few groups.
        model: DeploymentId,
        /// Whether its groups are formed now, or why not.
        outcome: ConversionOutcome,
    },
}

/// Number of groups that a model needs for what callers ask of it, and that it has.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupNeed {
    /// The model.
    pub model: DeploymentId,
    /// Number of groups that it needs.
    pub needed: f64,
    /// Number of groups that serve or are being formed.
    pub existing: usize,
}

impl fmt::Display for GroupNeed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} of {:.1}", self.model, self.existing, self.needed)
    }
}

/// How a conversion ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ConversionOutcome {
    /// The groups of the other model are being formed.
    Forming,
    /// So many members were lost that those left are too few for a group.
    MemberLost,
    /// The closed groups did not release their members in time.
    TimedOut,
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
