//! Schema versions of records and the conversion from the previous one.
//!
//! Version 1 named what a deployment serves in one field, `serves = "model+adapter@version"`, and
//! called its groups `copies`. Version 2 has a field for each part and says `replicas`.

use jacinthpoint_types::ModelRef;
use serde_json::{Map, Value};

use crate::{error::RecordError, fault::range_error, record::Record};

/// Schema version that this release writes.
pub const CURRENT_SCHEMA: u64 = 2;
/// Older schema version that this release still reads.
pub const PREVIOUS_SCHEMA: u64 = 1;

/// Reads one record of the current or the previous schema version.
///
/// # Errors
///
/// Returns what is wrong with the record; nothing of it is taken then.
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

fn convert_previous(fields: &mut Map<String, Value>) -> Result<(), RecordError> {
    if fields.get("kind").and_then(Value::as_str) != Some("deployment") {
        return Ok(());
    }
    let serves = fields
        .remove("serves")
        .ok_or_else(|| invalid("missing field `serves`"))?;
    let serves = serves
        .as_str()
        .ok_or_else(|| invalid("`serves` is not a text"))?;
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
