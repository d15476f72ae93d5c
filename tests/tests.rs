//! Integration tests: real processes on loopback addresses.

#[macro_use]
mod macros;
mod util;

mod configuration;
mod groups;
mod serving;
