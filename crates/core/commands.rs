//! The commands, a module each.

use std::process::ExitCode;

use crate::args::Command;

#[cfg(feature = "demo")]
mod demo;
mod node;

/// Runs a command.
pub fn run(command: Command) -> ExitCode {
    match command {
        Command::Node(args) => node::run(&args),
        #[cfg(feature = "demo")]
        Command::Demo(_) => demo::run(),
    }
}
