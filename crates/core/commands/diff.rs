//! `jacinthpoint diff`: what applying a folder would change.

use jacinthpoint_records::{Change, changes};

use crate::{args::DiffArgs, commands::get::fetch_or_exit, exit::Exit, files::read_records};

/// Runs the command. As with `diff`, a difference is exit code 1.
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

/// Prints changes, or that there are none.
pub fn print_changes(changes: &[Change]) {
    if changes.is_empty() {
        println!("no change");
    }
    for change in changes {
        println!("{change}");
    }
}
