//! Integration tests: real processes on loopback addresses.

#[macro_use]
mod macros;
mod util;

mod at_most_once;
mod groups;
mod serving;
