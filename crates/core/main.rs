//! The `jacinthpoint` program: reads the command line and hands over to a command.

use std::process::ExitCode;

mod args;
mod commands;
mod logs;

fn main() -> ExitCode {
    match args::parse() {
        Ok(args) => commands::run(args),
        Err(exit) => exit,
    }
}
