//! `jacinthpoint apply`: puts a folder of records in force.
//!
//! Two operators may write at once, and the platform's answer may be lost. The update is therefore
//! conditional on the version in force, and a lost answer is resolved by reading the version back.

use std::{
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform::{Platform, PlatformError, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, Config, RecordsObject, changes};
use jacinthpoint_types::Revision;

use crate::{
    args::ApplyArgs,
    commands::{
        diff::print_changes,
        get::{RecordsInForce, client, fetch},
    },
    exit::Exit,
    files::read_records,
};

/// Time from the start of the update in which a lost answer is resolved or the records in force are
/// read after a conflict. After it, a lost answer counts as unknown and a conflict as failed.
const READ_BACK_TIMEOUT_MS: u64 = 15_000;
/// Pause between two reads after a lost answer or a conflict.
const READ_BACK_PAUSE_MS: u64 = 300;

/// Outcome of a conditional update.
enum UpdateOutcome {
    /// The records are in force under this version.
    Applied(Version),
    /// Another version is in force; nothing was changed. Holds the records in force.
    Conflict(Box<RecordsInForce>),
    /// The platform refused the update or was not reached, or there was a conflict and the records
    /// in force could not be read. Nothing was changed.
    Failed(PlatformError),
    /// The answer was lost, and the platform did not answer in time or has since stored more than
    /// one newer version, the first of which may hold these records. Holds the cause.
    Unknown(String),
}

/// Runs the command.
pub fn run(args: &ApplyArgs) -> Exit {
    match apply(args) {
        Ok(exit) | Err(exit) => exit,
    }
}

fn apply(args: &ApplyArgs) -> Result<Exit, Exit> {
    let records = read_records(&args.folder)?;
    let platform = client(args.platform)?;
    let in_force = fetch(&platform).map_err(|error| {
        eprintln!("jacinthpoint: platform: {error}");
        Exit::Unreachable
    })?;
    let expected = args.if_version.map_or(in_force.version, Version);
    if in_force.version != expected {
        return Ok(report_conflict(expected, &records, &in_force));
    }
    check_records_are_readable(&in_force)?;
    println!("against version {expected}");
    let changes = changes(&in_force.records, &records);
    print_changes(&changes);
    if changes.is_empty() {
        return Ok(Exit::Success);
    }
    Ok(match update(&platform, expected, &records) {
        UpdateOutcome::Applied(version) => {
            println!("applied as version {version}");
            Exit::Success
        }
        UpdateOutcome::Conflict(current) => report_conflict(expected, &records, &current),
        UpdateOutcome::Failed(error) => {
            eprintln!("jacinthpoint: platform: {error}; nothing was changed");
            Exit::Unreachable
        }
        UpdateOutcome::Unknown(cause) => {
            eprintln!("jacinthpoint: it is not known whether the update took effect: {cause}");
            Exit::Unknown
        }
    })
}

/// Returns an error if this release cannot parse the records in force: an older release must not
/// overwrite records of a newer schema.
fn check_records_are_readable(in_force: &RecordsInForce) -> Result<(), Exit> {
    let revision = Revision(in_force.version.0);
    Config::from_object(revision, &in_force.records).map_err(|error| {
        eprintln!(
            "jacinthpoint: version {} cannot be read by this release: {error}; nothing was changed",
            in_force.version
        );
        Exit::Faulty
    })?;
    Ok(())
}

/// Writes the records if `expected` is still the version in force.
fn update(platform: &Platform, expected: Version, records: &RecordsObject) -> UpdateOutcome {
    let deadline = Instant::now() + Duration::from_millis(READ_BACK_TIMEOUT_MS);
    match platform.update(CONFIG_KIND, CONFIG_NAME, expected, records) {
        Ok(version) => UpdateOutcome::Applied(version),
        Err(PlatformError::Conflict { .. }) => read_after_conflict(platform, deadline),
        Err(error) if error.is_ambiguous() => {
            resolve_lost_answer(platform, expected, records, deadline)
        }
        Err(error) => UpdateOutcome::Failed(error),
    }
}

/// Reads the records back after a lost answer to find out whether the update took effect.
///
/// While `expected` is still in force, the first update may yet arrive at the platform, so the
/// update is retried. Both have the same condition and the same records, so only one can take
/// effect and it does not matter which.
fn resolve_lost_answer(
    platform: &Platform,
    expected: Version,
    records: &RecordsObject,
    deadline: Instant,
) -> UpdateOutcome {
    let next = Version(expected.0 + 1);
    let mut last_error = "the platform did not answer in time".to_owned();
    while Instant::now() < deadline {
        match fetch(platform) {
            Ok(in_force) if in_force.version == expected => {
                match platform.update(CONFIG_KIND, CONFIG_NAME, expected, records) {
                    Ok(version) => return UpdateOutcome::Applied(version),
                    Err(error) => last_error = error.to_string(),
                }
            }
            Ok(in_force) if in_force.version == next && in_force.records == *records => {
                return UpdateOutcome::Applied(next);
            }
            Ok(in_force) if in_force.version == next => {
                return UpdateOutcome::Conflict(Box::new(in_force));
            }
            Ok(in_force) => {
                let cause = format!(
                    "version {} is in force, and the records of version {next} can no longer be read",
                    in_force.version
                );
                return UpdateOutcome::Unknown(cause);
            }
            Err(error) => last_error = error.to_string(),
        }
        thread::sleep(Duration::from_millis(READ_BACK_PAUSE_MS));
    }
    UpdateOutcome::Unknown(last_error)
}

/// Reads the records in force after a conflict, in which the platform wrote nothing of this update.
fn read_after_conflict(platform: &Platform, deadline: Instant) -> UpdateOutcome {
    loop {
        match fetch(platform) {
            Ok(in_force) => return UpdateOutcome::Conflict(Box::new(in_force)),
            Err(error) if Instant::now() >= deadline => return UpdateOutcome::Failed(error),
            Err(_) => thread::sleep(Duration::from_millis(READ_BACK_PAUSE_MS)),
        }
    }
}

/// Prints each record that differs between the version in force and the records not applied.
fn report_conflict(expected: Version, records: &RecordsObject, current: &RecordsInForce) -> Exit {
    eprintln!(
        "jacinthpoint: lost the race: made against version {expected}, but version {} is in \
         force; nothing was changed",
        current.version
    );
    for change in changes(&current.records, records) {
        let format_record = |value: Option<serde_json::Value>| {
            value.map_or_else(|| "(absent)".to_owned(), |value| value.to_string())
        };
        eprintln!("{} {}", change.kind, change.name);
        eprintln!(
            "    version {}: {}",
            current.version,
            format_record(change.before)
        );
        eprintln!("    not applied: {}", format_record(change.after));
    }
    Exit::Conflict
}
