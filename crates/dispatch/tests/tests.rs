//! Tests of the choice of a target, load exchange, stall detection, retry budget, limits of
//! upstreams, learnt capacities, causes of crashes, quarantine, reach of upstreams, evacuations,
//! durations, and urgency.

mod budget;
mod capacity;
mod crash_notice;
mod demand;
mod durations;
mod evacuation;
mod explain;
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
mod urgency;
mod warm_up;
