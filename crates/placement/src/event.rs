//! Events that the controller of a fabric domain handles, and actions that it returns.

use std::net::SocketAddr;

use jacinthpoint_types::{
    Assignment, Deadline, DeploymentId, Epoch, GroupId, MemberAddress, ModelRef, Priority, TimeMs,
    VmId,
};

use crate::plan::{Plan, PlanVersion};

/// Groups that a deployment wants in one fabric domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The deployment.
    pub deployment: DeploymentId,
    /// Model that the groups serve.
    pub model: ModelRef,
    /// Number of groups wanted.
    pub groups: u16,
    /// Number of members of each group.
    pub group_size: u16,
    /// Number of standbys of each group.
    pub standbys: u16,
    /// Priority of the deployment.
    pub priority: Priority,
    /// Whether the engines refuse orders with outdated fencing tokens.
    pub refuses_old_orders: bool,
}

/// A VM on the platform's membership list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM and where its engine listens.
    pub member: MemberAddress,
    /// Whether the VM will be removed soon.
    pub is_leaving: bool,
}

/// State that an engine reported in its answer to a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Address that the probe was sent to.
    pub address: SocketAddr,
    /// Raised each time the engine starts.
    pub incarnation: u64,
    /// Assignment that the engine has.
    pub assignment: Option<Assignment>,
    /// Whether the engine reports that its VM is leaving.
    pub is_leaving: bool,
    /// Whether the engine's weights are loaded and every step completes.
    pub is_ready: bool,
    /// Whether the engine is so slow that its VM counts as missing.
    pub is_straggler: bool,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine accepted the order.
    Accepted,
    /// The engine refused the order, because it has seen a higher epoch.
    Fenced {
        /// The highest epoch that the engine has seen.
        highest: Epoch,
    },
    /// The engine did not answer; it may have accepted the order.
    NoAnswer,
    /// The order was not sent, because its deadline had passed.
    Expired,
}

/// Input of the controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The role of this node, according to its own view of which nodes are members. A node that
    /// does not control the domain only observes it.
    Role {
        /// Whether this node controls the domain.
        controls: bool,
    },
    /// The platform's list of the domain's engine VMs.
    Members(Vec<ListedVm>),
    /// A VM answered a probe.
    Probe {
        /// VM name that the engine reported.
        vm: VmId,
        /// When the probe was sent.
        sent_at: TimeMs,
        /// State that the engine reported.
        report: EngineReport,
    },
    /// Groups wanted of each deployment.
    Demands(Vec<Demand>),
    /// The plan was read.
    PlanRead {
        /// When the read was requested.
        asked_at: TimeMs,
        /// Version found; 0 if there is no plan.
        version: PlanVersion,
        /// The plan found.
        plan: Plan,
    },
    /// The plan was written.
    PlanWritten {
        /// When the write was requested.
        asked_at: TimeMs,
        /// Version of the plan written.
        version: PlanVersion,
    },
    /// The plan was not written, because another controller wrote first.
    PlanConflict {
        /// When the write was requested.
        asked_at: TimeMs,
        /// Version found.
        version: PlanVersion,
        /// The plan found.
        plan: Plan,
    },
    /// The answer to a write was lost; the write may have taken effect.
    PlanAmbiguous,
    /// A call to the platform failed, and nothing was written.
    PlatformFailed,
    /// An order ended.
    OrderEnded {
        /// VM that the order was for.
        vm: VmId,
        /// Result of the order.
        result: OrderResult,
    },
    /// The periodic planning round is due.
    Tick,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Load the model and serve as a member of the group.
    Serve {
        /// The group to join.
        assignment: Assignment,
    },
    /// Leave the group and stop its requests.
    Leave {
        /// The group to leave.
        group: GroupId,
        /// Epoch made from the plan's fencing token. An engine that honours fencing tokens refuses
        /// the order if it has seen a higher epoch.
        epoch: Epoch,
    },
}

/// Output of the controller, which the calling code carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the plan.
    ReadPlan,
    /// Write the plan if its version is still the expected one.
    WritePlan {
        /// Version expected.
        expected: PlanVersion,
        /// The plan to write.
        plan: Plan,
    },
    /// Send an order. The deadline must be checked right before sending, since the process may have
    /// been paused after the order was decided.
    Order {
        /// The VM and where its engine listens.
        member: MemberAddress,
        /// The order.
        order: Order,
        /// Time until which the order may be sent.
        deadline: Deadline,
    },
}
