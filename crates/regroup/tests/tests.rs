//! Tests of how groups are formed and repaired, with simulated engines. See [`engines`] for what
//! counts as a violation.

mod arrangement;
mod conversion;
mod engines;
mod failure_detector;
mod formation;
mod growth;
mod lags;
mod late_orders;
mod random;
mod repair;
mod world;
