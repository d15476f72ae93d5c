//! The `jacinthpoint` program: reads the command line and hands over to a command.

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
