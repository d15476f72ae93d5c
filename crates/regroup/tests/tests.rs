//! Tests of the decisions that form and repair groups, against engines that keep the rules of real
//! ones and check every order.

mod engines;
mod failure_detector;
mod formation;
mod random;
mod repair;
mod world;
