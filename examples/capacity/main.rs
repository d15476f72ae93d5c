//! Measures the unit costs behind `docs/CAPACITY.md`: processor time, bytes and memory for each
//! unit of work of each role.
//!
//! - `cargo run --release --example capacity -- control` calls the decision crates directly;
//! - `cargo run --release --example capacity -- memory` builds their state;
//! - `cargo run --release --example capacity -- entry` loads one node process over loopback.

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
