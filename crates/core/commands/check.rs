//! `jacinthpoint check`: prints every fault in settings and records files, without any connection
//! to the platform or a node.

use std::path::Path;

use jacinthpoint_records::records_from_files;
use jacinthpoint_settings::SettingsError;

use crate::{args::CheckArgs, exit::Exit, files::Files};

/// Section header that only a gateway's settings have; it tells them from a node's.
const GATEWAY_SECTION: &str = "[store]";

/// Returns the errors in a settings file of a gateway or node.
fn settings_errors(text: &str) -> Vec<SettingsError> {
    let is_gateway = text.lines().any(|line| line.trim() == GATEWAY_SECTION);
    let errors = if is_gateway {
        jacinthpoint_gateway::parse_settings(text).err()
    } else {
        jacinthpoint_node::parse_settings(text).err()
    };
    errors.unwrap_or_default()
}

/// Runs the command. The records of all paths are checked as one set, since they refer to each
/// other.
pub fn run(args: &CheckArgs) -> Exit {
    let mut files = Files::default();
    let mut faults = Vec::new();
    for path in &args.paths {
        if let Err(error) = files.read(Path::new(path)) {
            faults.push(format!("{path}: {error}"));
        }
    }
    for file in &files.settings {
        let errors = settings_errors(&file.text);
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
