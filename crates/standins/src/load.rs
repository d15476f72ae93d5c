//! Load and experiments: open-loop arrivals by seed, a driver of the decision crates, reports.
//!
//! The driver is an event queue over engines modelled as slots with a service time. It compares
//! policies at any speed and gives the same figures for the same seed. Real processes are loaded
//! with the same arrivals by [`send_open_loop`].

pub use crate::load::{
    arrivals::{Arrival, arrivals},
    driver::run,
    experiments::{Row, experiment, experiment_names, table},
    fleet::limits_table,
    open_loop::{OpenLoop, send_open_loop},
    report::{Ended, Report},
    routers::{Router, RouterKind},
    scenario::{Fault, Outcomes, Retrying, Scenario, Second},
    shape::Shape,
};

mod arrivals;
mod driver;
mod engines;
mod experiments;
mod fleet;
mod node;
mod open_loop;
mod report;
mod routers;
mod scenario;
mod shape;
