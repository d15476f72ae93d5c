//! Tests of the choice of a target, load exchange, stall detection, retry budget, limits of
//! upstreams and quarantine of parts of prompts.

mod budget;
mod many_gateways;
mod new_group;
mod passes;
mod quarantine;
mod stall;
mod support;
mod upstream_limits;
