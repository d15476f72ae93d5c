//! Tests of the choice of a target, load exchange, stall detection, retry budget, limits of
//! upstreams, quarantine, and reach of upstreams.

mod budget;
mod load_cells;
mod many_gateways;
mod new_group;
mod passes;
mod quarantine;
mod reach;
mod stall;
mod statement;
mod support;
mod upstream_limits;
