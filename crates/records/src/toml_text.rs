//! Records as TOML, in the form in which operators keep them.

use serde::Serialize;
use serde_json::Value;

use crate::config::RecordsObject;

#[derive(Serialize)]
struct Document<'a> {
    record: &'a [Value],
}

/// The records as one TOML file, which [`records_from_files`](crate::records_from_files) reads.
///
/// # Errors
///
/// Fails if a record holds a value that TOML does not have, such as null.
pub fn to_toml(object: &RecordsObject) -> Result<String, toml::ser::Error> {
    let record = &object.records;
    toml::to_string(&Document { record })
}
