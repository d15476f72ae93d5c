//! Tests of the rules by which a key runs at most once.

mod kill_points;
mod rules;
mod runner;
mod support;
