//! `jacinthpoint check`: every fault of settings and records, without asking anyone.

use std::path::Path;

use jacinthpoint_node::parse_settings;
use jacinthpoint_records::records_from_files;

use crate::{args::CheckArgs, exit::Exit, files::Files};

/// Runs the command. Records of all paths are checked as one set.
pub fn run(args: &CheckArgs) -> Exit {
    let mut files = Files::default();
    let mut faults = Vec::new();
    for path in &args.paths {
        if let Err(error) = files.read(Path::new(path)) {
            faults.push(format!("{path}: {error}"));
        }
    }
    for file in &files.settings {
        let errors = parse_settings(&file.text).err().unwrap_or_default();
        let errors = errors.iter();
        faults
            .extend(errors.map(|error| format!("{}:{}: {}", file.name, error.line, error.message)));
    }
    if let Err(found) = records_from_files(&files.records) {
        faults.extend(found.iter().map(ToString::to_string));
    }
    for fault in &faults {
        eprintln!("{fault}");
    }
    if !faults.is_empty() {
        eprintln!("{} faults", faults.len());
        return Exit::Faulty;
    }
    println!(
        "no fault in {} settings and {} records files",
        files.settings.len(),
        files.records.len()
    );
    Exit::Success
}
