//! Tests of the at-most-once records.

mod kill_points;
mod rules;
mod runner;
mod support;
