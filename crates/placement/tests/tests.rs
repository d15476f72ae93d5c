//! Tests of the decisions on replica groups.

mod driver;
mod outage;
mod repair;
mod sequences;
mod share;
