//! `jacinthpoint get`: prints the records in force as TOML, the format of records files.

use std::net::SocketAddr;

use jacinthpoint_platform::{Platform, PlatformError, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, RecordsObject, to_toml};

use crate::{args::GetArgs, exit::Exit};

/// Records in force and their version on the platform.
#[derive(Debug, Default)]
pub struct RecordsInForce {
    /// Version of the records object; 0 if none was ever written.
    pub version: Version,
    /// Records as they were written, not validated by this release.
    pub records: RecordsObject,
}

/// Runs the command.
pub fn run(args: &GetArgs) -> Exit {
    let in_force = match fetch_or_exit(args.platform) {
        Ok(in_force) => in_force,
        Err(exit) => return exit,
    };
    match to_toml(&in_force.records) {
        Ok(text) => {
            print!("# version {}\n{text}", in_force.version);
            Exit::Success
        }
        Err(error) => {
            eprintln!(
                "jacinthpoint: version {}: the records cannot be written as TOML: {error}",
                in_force.version
            );
            Exit::Faulty
        }
    }
}

/// Reads the records in force; empty records of version 0 if none were ever written.
pub fn fetch(platform: &Platform) -> Result<RecordsInForce, PlatformError> {
    let Some(object) = platform.get(CONFIG_KIND, CONFIG_NAME)? else {
        return Ok(RecordsInForce::default());
    };
    let records = serde_json::from_value(object.value).map_err(|error| {
        // An object that does not hold records counts as a missing answer, as no part of it is
        // usable.
        PlatformError::NoAnswer {
            message: format!("the object does not hold records: {error}"),
        }
    })?;
    Ok(RecordsInForce {
        version: object.version,
        records,
    })
}

/// Reads the records in force. On failure, prints the error and returns the exit code.
pub fn fetch_or_exit(platform: Option<SocketAddr>) -> Result<RecordsInForce, Exit> {
    fetch(&client(platform)?).map_err(|error| {
        eprintln!("jacinthpoint: platform: {error}");
        Exit::Unreachable
    })
}

/// Returns a client of the platform. `None` is a usage error; gumdrop refuses it before, as the
/// option is required.
pub fn client(platform: Option<SocketAddr>) -> Result<Platform, Exit> {
    platform.map(Platform::new).ok_or(Exit::Usage)
}
