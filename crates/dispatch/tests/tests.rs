//! Tests of the choice of a target, load exchange, stall detection, retry budget, limits of
//! upstreams, causes of crashes, quarantine, reach of upstreams, evacuations, and durations.

mod budget;
mod crash_notice;
mod durations;
mod evacuation;
mod growth;
mod late_reports;
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
