//! Tests of how groups are formed and repaired. Simulated engines follow the rules of real ones and
//! record every order that should not have been sent.

mod engines;
mod failure_detector;
mod formation;
mod random;
mod repair;
mod world;
