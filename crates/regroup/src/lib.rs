//! Decides how upstreams form replica groups, how groups are repaired after a loss, and which
//! hosts load weights in advance.
//!
//! An engine is the process on a VM that runs its part of a model. Gateways see each engine as an
//! upstream. A replica group serves one model: its leader takes the requests, and its members are
//! selected from one fabric domain.
//!
//! One gateway at a time, the owner, holds a lease and sends orders to upstreams. The owner stores
//! no state that its successor needs: each upstream publishes the group that it is in, so the next
//! owner continues from the list of upstreams. A published state may be older than the orders that the
//! upstream carried out, so an owner also keeps the memberships that it ordered, and uses an upstream
//! only after it answered a probe. Upstreams make two checks that keep this safe: they
//! refuse an order under a fencing token lower than one seen before, and a join with an epoch lower
//! than one seen before. Epochs grow with the fencing token, so a delayed order of an earlier owner
//! never replaces a group that its successor formed. This crate does no I/O.

pub use crate::{
    decision::{
        ConversionOutcome, Decision, FormationOutcome, GroupNeed, MemberBasis, StateSource,
    },
    demand::Demand,
    failure_detector::FailureDetector,
    planner::{Action, Planner, PlannerInput, Report},
};

mod arrangement;
mod decision;
mod demand;
mod failure_detector;
mod formation;
mod member_selection;
mod planner;
mod staging;
