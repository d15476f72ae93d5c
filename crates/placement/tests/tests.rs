//! Tests of the planner and the controller of replica groups.

mod driver;
mod outage;
mod repair;
mod sequences;
mod share;
