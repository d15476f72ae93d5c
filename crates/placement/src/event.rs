//! What the controller of a fabric domain is told, and what it asks for.

use std::net::SocketAddr;

use jacinthpoint_types::{
    Assignment, Deadline, DeploymentId, Epoch, GroupId, MemberAddress, ModelRef, Priority, TimeMs,
    VmId,
};

use crate::plan::{Plan, PlanVersion};

/// Groups that a deployment wants in this domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The deployment.
    pub deployment: DeploymentId,
    /// What it serves.
    pub model: ModelRef,
    /// Groups wanted.
    pub groups: u16,
    /// Members of each.
    pub group_size: u16,
    /// Standbys of each.
    pub standbys: u16,
    /// Importance.
    pub priority: Priority,
    /// Whether its engines refuse orders with old fencing numbers.
    pub refuses_old_orders: bool,
}

/// A VM on the platform's membership list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM and where its engine listens.
    pub member: MemberAddress,
    /// Whether it is about to go.
    pub is_leaving: bool,
}

/// What an engine said of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Where it was reached.
    pub address: SocketAddr,
    /// Raised each time the engine starts.
    pub incarnation: u64,
    /// The assignment it believes in.
    pub assignment: Option<Assignment>,
    /// Whether it says that its VM is leaving.
    pub is_leaving: bool,
    /// Whether its weights are loaded and every step completes.
    pub is_ready: bool,
    /// Whether it is so slow that it counts as missing.
    pub is_straggler: bool,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The engine obeys.
    Accepted,
    /// The engine has seen a higher fencing number.
    Fenced {
        /// The highest that it has seen.
        highest: Epoch,
    },
    /// No answer; the engine may have obeyed all the same.
    NoAnswer,
    /// Not sent, because its deadline had passed.
    Expired,
}

/// Something that the controller is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Whether this node controls the domain, as far as it knows; else it only observes.
    Role {
        /// Whether it does.
        controls: bool,
    },
    /// The platform's list of the domain's engine VMs.
    Members(Vec<ListedVm>),
    /// A VM answered a probe.
    Probe {
        /// The VM, as the engine names itself.
        vm: VmId,
        /// When the probe was sent.
        sent_at: TimeMs,
        /// What it said.
        report: EngineReport,
    },
    /// The groups wanted.
    Demands(Vec<Demand>),
    /// The plan was read.
    PlanRead {
        /// When the read was asked for.
        asked_at: TimeMs,
        /// Version found; 0 if there is no plan.
        version: PlanVersion,
        /// The plan found.
        plan: Plan,
    },
    /// The plan was written.
    PlanWritten {
        /// When the write was asked for.
        asked_at: TimeMs,
        /// Its new version.
        version: PlanVersion,
    },
    /// Another controller wrote first; nothing was written.
    PlanConflict {
        /// When the write was asked for.
        asked_at: TimeMs,
        /// Version found.
        version: PlanVersion,
        /// The plan found.
        plan: Plan,
    },
    /// The answer to a write was lost: it may have taken effect.
    PlanAmbiguous,
    /// A call to the platform failed, and nothing was written.
    PlatformFailed,
    /// How an order ended.
    OrderEnded {
        /// The VM that was ordered.
        vm: VmId,
        /// How.
        result: OrderResult,
    },
    /// Time passed.
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
        /// Fencing number of the order.
        epoch: Epoch,
    },
}

/// Something that the controller asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Read the plan.
    ReadPlan,
    /// Write the plan if its version is still the expected one.
    WritePlan {
        /// The version expected.
        expected: PlanVersion,
        /// The plan to write.
        plan: Plan,
    },
    /// Send an order, but only while the deadline has not passed right before sending.
    Order {
        /// The VM and where its engine listens.
        member: MemberAddress,
        /// The order.
        order: Order,
        /// Until when it may be sent.
        deadline: Deadline,
    },
}
