//! Ids, points in time and versions shared by every crate.
//!
//! Most values that cross a crate boundary are small strings or integers. Passing them bare makes
//! it easy to hand a VM's name to something that wants a group's. Each gets a newtype here, with
//! `Display` and `FromStr`, so that such a mix-up does not compile.

pub use crate::{
    assignment::{Assignment, MemberAddress},
    epoch::{Epoch, Revision},
    id::{
        AttemptId, DataCentreId, DeploymentId, FabricDomainId, GroupId, IdempotencyKey, NodeId,
        OrganisationId, ParseIdError, RequestId, ServiceId, VmId,
    },
    model::ModelRef,
    outcome::{Outcome, ResultCode},
    priority::Priority,
    rendezvous::{rendezvous_order, rendezvous_weight},
    suggestion::suggestion,
    time::{Deadline, TimeMs},
};

mod assignment;
mod epoch;
mod id;
mod model;
mod outcome;
mod priority;
mod rendezvous;
mod suggestion;
mod time;
