//! The `jacinthpoint` program: parses the command line and runs one command.

use std::process::ExitCode;

mod args;
mod commands;
mod exit;
mod files;
mod logs;

fn main() -> ExitCode {
    match args::parse() {
        Ok(args) => commands::run(args).into(),
        Err(exit) => exit.into(),
    }
}
