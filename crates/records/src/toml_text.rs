//! Output of records in the TOML format of operators' files.

use serde::Serialize;
use serde_json::Value;

use crate::config::RecordsObject;

#[derive(Serialize)]
struct Document<'a> {
    record: &'a [Value],
}

/// Returns the records as one TOML file, which [`records_from_files`](crate::records_from_files)
/// can read.
///
/// # Errors
///
/// Returns an error if a record holds a value that TOML cannot express, such as null.
pub fn to_toml(object: &RecordsObject) -> Result<String, toml::ser::Error> {
    let record = &object.records;
    toml::to_string(&Document { record })
}
