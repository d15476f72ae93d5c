//! Runs the commands; each has its own module.

use crate::{args::Command, exit::Exit};

mod apply;
mod check;
#[cfg(feature = "demo")]
mod demo;
mod diff;
mod drain;
mod explain;
mod gateway;
mod get;
mod node;
mod status;

/// Runs a command and returns its exit code.
pub fn run(command: Command) -> Exit {
    match command {
        Command::Node(args) => node::run(&args),
        Command::Gateway(args) => gateway::run(&args),
        Command::Check(args) => check::run(&args),
        Command::Apply(args) => apply::run(&args),
        Command::Get(args) => get::run(&args),
        Command::Diff(args) => diff::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::Drain(args) => drain::run(&args),
        #[cfg(feature = "demo")]
        Command::Demo(_) => demo::run(),
    }
}
