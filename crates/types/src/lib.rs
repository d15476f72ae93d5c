//! Ids, points in time, versions and result codes shared by all crates.
//!
//! Most values that cross a crate boundary are small strings or integers. As plain strings, the
//! name of a VM could be passed where the name of a group is expected. Names, ids, versions and
//! times are therefore newtypes, so that the compiler rejects such a mix-up.

pub use crate::{
    assignment::{Assignment, MemberAddress},
    digest::{ParseDigestError, RequestDigest},
    epoch::{Epoch, Revision},
    id::{
        AttemptId, DataCentreId, DeploymentId, FabricDomainId, GroupId, IdempotencyKey, NodeId,
        OrganisationId, ParseIdError, RequestId, ServiceId, VmId,
    },
    model::ModelRef,
    outcome::{Outcome, ResultCode},
    priority::Priority,
    prompt::{ParsePartIdError, PromptPartId, PromptParts},
    rate::PerSecond,
    rendezvous::{rendezvous_order, rendezvous_weight},
    suggestion::suggestion,
    time::{Deadline, TimeMs},
};

mod assignment;
mod digest;
mod epoch;
mod id;
mod model;
mod outcome;
mod priority;
mod prompt;
mod rate;
mod rendezvous;
mod suggestion;
mod time;
