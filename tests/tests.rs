//! Integration tests: real processes on loopback addresses.

#[macro_use]
mod macros;
mod util;

mod groups;
mod outages;
mod partitions;
mod serving;
mod upstreams;
