//! `jacinthpoint get`: the records in force, in the form in which operators keep them.

use std::net::SocketAddr;

use jacinthpoint_platform::{Platform, PlatformError, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, RecordsObject, to_toml};

use crate::{args::GetArgs, exit::Exit};

/// Records with the version in which the platform holds them.
#[derive(Debug, Default)]
pub struct InForce {
    /// The version; 0 if nothing was ever applied.
    pub version: Version,
    /// The records as they were written.
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
            eprintln!("jacinthpoint: the records have no form in TOML: {error}");
            Exit::Faulty
        }
    }
}

/// Reads the records in force.
pub fn fetch(platform: &Platform) -> Result<InForce, PlatformError> {
    let Some(object) = platform.get(CONFIG_KIND, CONFIG_NAME)? else {
        return Ok(InForce::default());
    };
    let records = serde_json::from_value(object.value).map_err(|error| {
        // Nothing can be said about such a value, so it counts as not answered.
        PlatformError::NoAnswer {
            message: format!("the object does not hold records: {error}"),
        }
    })?;
    Ok(InForce {
        version: object.version,
        records,
    })
}

/// Reads the records in force; the error is the exit after a complaint.
pub fn fetch_or_exit(platform: Option<SocketAddr>) -> Result<InForce, Exit> {
    fetch(&client(platform)?).map_err(|error| {
        eprintln!("jacinthpoint: platform: {error}");
        Exit::Unreachable
    })
}

/// The platform's client; the command line requires the address.
pub fn client(platform: Option<SocketAddr>) -> Result<Platform, Exit> {
    platform.map(Platform::new).ok_or(Exit::Usage)
}
