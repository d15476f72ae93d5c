//! `jacinthpoint apply`: puts a folder of records in force by a conditional update.

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
        get::{InForce, client, fetch},
    },
    exit::Exit,
    files::read_records,
};

/// How long a lost answer is followed up before the outcome counts as unknown.
const FOLLOW_UP_MS: u64 = 15_000;
/// Pause between two tries of the follow-up.
const FOLLOW_UP_PAUSE_MS: u64 = 300;

/// How an update ended.
enum Update {
    /// The records are in force under this version.
    Applied(Version),
    /// Another version is in force; nothing was changed.
    Lost(Box<InForce>),
    /// The platform refused or was not reached; nothing was changed.
    Failed(PlatformError),
    /// Several versions were written since the lost answer, so it cannot be told whether these
    /// records were one of them; or the platform stayed away.
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
    let read = fetch(&platform).map_err(|error| {
        eprintln!("jacinthpoint: platform: {error}");
        Exit::Unreachable
    })?;
    let expected = args.if_version.map_or(read.version, Version);
    if read.version != expected {
        return Ok(report_lost(expected, &records, &read));
    }
    refuse_newer_schema(&read)?;
    println!("against version {expected}");
    let changes = changes(&read.records, &records);
    print_changes(&changes);
    if changes.is_empty() {
        return Ok(Exit::Success);
    }
    Ok(match update(&platform, expected, &records) {
        Update::Applied(version) => {
            println!("applied as version {version}");
            Exit::Success
        }
        Update::Lost(current) => report_lost(expected, &records, &current),
        Update::Failed(error) => {
            eprintln!("jacinthpoint: platform: {error}; nothing was changed");
            Exit::Unreachable
        }
        Update::Unknown(why) => {
            eprintln!("jacinthpoint: it is not known whether the update took effect: {why}");
            Exit::Unknown
        }
    })
}

/// An older release must not overwrite what it cannot read.
fn refuse_newer_schema(read: &InForce) -> Result<(), Exit> {
    let revision = Revision(read.version.0);
    Config::from_object(revision, &read.records).map_err(|error| {
        eprintln!(
            "jacinthpoint: version {} cannot be read by this release: {error}; nothing was changed",
            read.version
        );
        Exit::Faulty
    })?;
    Ok(())
}

fn update(platform: &Platform, expected: Version, records: &RecordsObject) -> Update {
    let deadline = Instant::now() + Duration::from_millis(FOLLOW_UP_MS);
    match platform.update(CONFIG_KIND, CONFIG_NAME, expected, records) {
        Ok(version) => Update::Applied(version),
        Err(PlatformError::Conflict { .. }) => read_winner(platform, deadline),
        Err(error) if error.is_ambiguous() => follow_up(platform, expected, records, deadline),
        Err(error) => Update::Failed(error),
    }
}

/// Reads back after a lost answer.
///
/// While the version is still the expected one, the update may yet arrive, so it is sent again:
/// under the same condition only one of the two can take effect, and both write the same.
fn follow_up(
    platform: &Platform,
    expected: Version,
    records: &RecordsObject,
    deadline: Instant,
) -> Update {
    let next = Version(expected.0 + 1);
    let mut last_error = "the platform stays away".to_owned();
    while Instant::now() < deadline {
        match fetch(platform) {
            Ok(read) if read.version == expected => {
                match platform.update(CONFIG_KIND, CONFIG_NAME, expected, records) {
                    Ok(version) => return Update::Applied(version),
                    Err(error) => last_error = error.to_string(),
                }
            }
            Ok(read) if read.version == next && read.records == *records => {
                return Update::Applied(next);
            }
            Ok(read) if read.version == next => return Update::Lost(Box::new(read)),
            Ok(read) => {
                let why = format!(
                    "version {} is in force, and what version {next} was cannot be read any more",
                    read.version
                );
                return Update::Unknown(why);
            }
            Err(error) => last_error = error.to_string(),
        }
        thread::sleep(Duration::from_millis(FOLLOW_UP_PAUSE_MS));
    }
    Update::Unknown(last_error)
}

/// Reads what won, after the platform said that nothing of this update was written.
fn read_winner(platform: &Platform, deadline: Instant) -> Update {
    loop {
        match fetch(platform) {
            Ok(read) => return Update::Lost(Box::new(read)),
            Err(error) if Instant::now() >= deadline => return Update::Failed(error),
            Err(_) => thread::sleep(Duration::from_millis(FOLLOW_UP_PAUSE_MS)),
        }
    }
}

/// Prints both versions where they differ.
fn report_lost(expected: Version, records: &RecordsObject, current: &InForce) -> Exit {
    eprintln!(
        "jacinthpoint: lost the race: made against version {expected}, but version {} is in \
         force; nothing was changed",
        current.version
    );
    for change in changes(&current.records, records) {
        let show = |value: Option<serde_json::Value>| {
            value.map_or_else(|| "(absent)".to_owned(), |value| value.to_string())
        };
        eprintln!("{} {}", change.kind, change.name);
        eprintln!("    version {}: {}", current.version, show(change.before));
        eprintln!("    not applied: {}", show(change.after));
    }
    Exit::LostRace
}
