//! Decisions that form replica groups, repair them and prepare hosts for the next ones.
//!
//! One gateway at a time gives orders. It keeps nothing that must last: upstreams know the group
//! that they are in, so a successor goes on from the list of upstreams. Safety rests on two checks
//! that upstreams make themselves: an order under an older fencing token is refused, and a join
//! with a lower epoch than one seen before is refused. Epochs grow with the fencing token, so what
//! an earlier owner sent late never replaces what its successor built. This crate does no I/O.

pub use crate::{
    demand::Demand,
    failure_detector::FailureDetector,
    planner::{Action, Planner, PlannerInput, Report},
};

mod demand;
mod failure_detector;
mod formation;
mod member_selection;
mod planner;
mod staging;
