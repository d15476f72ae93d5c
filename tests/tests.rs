//! Integration tests: real processes on loopback addresses.

#[macro_use]
mod macros;
mod util;

mod at_most_once;
mod bad_input;
mod cli;
mod configuration;
mod connection_ends;
mod gateway;
mod groups;
mod latency;
mod limits;
mod metrics;
mod outages;
mod partitions;
mod planned_stop;
mod processes;
mod promises;
mod recovery;
mod requests;
mod serving;
mod silent_engines;
mod soak;
mod upstreams;
