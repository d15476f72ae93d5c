//! `jacinthpoint diff`: prints the changes that applying a folder of records would make.

use jacinthpoint_records::{Change, changes};

use crate::{args::DiffArgs, commands::get::fetch_or_exit, exit::Exit, files::read_records};

/// Runs the command. As for the `diff` program, the exit code is 1 if there is a difference.
pub fn run(args: &DiffArgs) -> Exit {
    let compared =
        read_records(&args.folder).and_then(|records| Ok((records, fetch_or_exit(args.platform)?)));
    let (records, in_force) = match compared {
        Ok(compared) => compared,
        Err(exit) => return exit,
    };
    println!("against version {}", in_force.version);
    let changes = changes(&in_force.records, &records);
    print_changes(&changes);
    if changes.is_empty() {
        Exit::Success
    } else {
        Exit::Negative
    }
}

/// Prints each change, or `no change` if there are none.
pub fn print_changes(changes: &[Change]) {
    if changes.is_empty() {
        println!("no change");
    }
    for change in changes {
        println!("{change}");
    }
}
