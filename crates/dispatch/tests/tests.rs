//! Tests of the choice of a target, load exchange, stall detection, retry budget and limits of
//! upstreams.

mod budget;
mod many_gateways;
mod new_group;
mod passes;
mod stall;
mod support;
mod upstream_limits;
