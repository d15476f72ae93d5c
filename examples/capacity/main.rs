//! Measures the unit costs behind `docs/CAPACITY.md`: processor time, bytes and memory for each
//! unit of work of each role. The target size is 420 nodes and 4000 upstreams.
//!
//! - `cargo run --release --example capacity -- control` calls the crates that decide and encode,
//!   such as membership, readiness and records, directly;
//! - `cargo run --release --example capacity -- memory` builds the state of a node;
//! - `cargo run --release --example capacity -- entry` sends requests over loopback to one
//!   node process.

use std::process::ExitCode;

mod config;
mod cost;
mod entry;
mod members;
mod membership;
mod memory;
mod permits;
mod probes;
mod process;
mod shares;

fn main() -> ExitCode {
    match std::env::args().nth(1).as_deref() {
        Some("control") => {
            membership::measure();
            probes::measure();
            permits::measure();
            config::measure();
            members::measure();
            shares::measure();
            ExitCode::SUCCESS
        }
        Some("memory") => {
            memory::measure();
            ExitCode::SUCCESS
        }
        Some("entry") => match entry::measure() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("capacity: {error}");
                ExitCode::FAILURE
            }
        },
        _ => {
            eprintln!("usage: capacity control|memory|entry");
            ExitCode::from(2)
        }
    }
}
