//! Schema versions of records and the conversion from the previous one.
//!
//! In version 1, a deployment has one field `serves = "model+adapter@version"` and the field
//! `copies`. Version 2 has the fields `model`, `adapter` and `version`, and `replicas` instead of
//! `copies`.

use jacinthpoint_types::ModelRef;
use serde_json::{Map, Value};

use crate::{error::RecordError, fault::range_error, record::Record};

/// Schema version that this release writes.
pub const CURRENT_SCHEMA: u64 = 2;
/// Older schema version that this release still reads.
pub const PREVIOUS_SCHEMA: u64 = 1;

/// Parses one record of the current or the previous schema version.
///
/// # Errors
///
/// Returns the first fault of the record; a faulty record is rejected as a whole.
pub fn record_from_json(value: &Value) -> Result<Record, RecordError> {
    let mut fields = value.as_object().cloned().ok_or(RecordError::NoSchema)?;
    let schema = fields.remove("schema").as_ref().and_then(Value::as_u64);
    match schema {
        None => return Err(RecordError::NoSchema),
        Some(CURRENT_SCHEMA) => {}
        Some(PREVIOUS_SCHEMA) => convert_previous(&mut fields)?,
        Some(schema) => return Err(RecordError::UnknownSchema { schema }),
    }
    let record = serde_json::from_value(Value::Object(fields)).map_err(invalid)?;
    match range_error(&record) {
        Some(error) => Err(error),
        None => Ok(record),
    }
}

fn invalid(error: impl ToString) -> RecordError {
    RecordError::Invalid {
        message: error.to_string(),
    }
}

/// Converts the fields of a record of the previous schema version to the current one.
fn convert_previous(fields: &mut Map<String, Value>) -> Result<(), RecordError> {
    if fields.get("kind").and_then(Value::as_str) != Some("deployment") {
        return Ok(());
    }
    let serves = fields
        .remove("serves")
        .ok_or_else(|| invalid("missing field `serves`"))?;
    let serves = serves
        .as_str()
        .ok_or_else(|| invalid("`serves` must be a string"))?;
    let model: ModelRef = serves.parse().map_err(invalid)?;
    fields.insert("model".to_owned(), Value::from(model.model.as_str()));
    fields.insert("version".to_owned(), Value::from(model.version.as_str()));
    if let Some(adapter) = model.adapter {
        fields.insert("adapter".to_owned(), Value::from(adapter.as_str()));
    }
    if let Some(copies) = fields.remove("copies") {
        fields.insert("replicas".to_owned(), copies);
    }
    Ok(())
}
