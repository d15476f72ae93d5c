//! Detection of all faults of one record.
//!
//! The parser stops at the first fault. To find all of them, this module inserts each field on its
//! own into a valid record of the same kind and parses that: any error is then about this field.

use jacinthpoint_types::suggestion;
use serde_json::{Map, Value, json};

use crate::{
    error::RecordError,
    record::{KINDS, Record},
    schema::{CURRENT_SCHEMA, PREVIOUS_SCHEMA, record_from_json},
};

/// Location of a fault in a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Field {
    Named(String),
    WholeRecord,
}

/// One fault of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct FieldFault {
    pub(crate) field: Field,
    pub(crate) message: String,
}

impl FieldFault {
    pub(crate) fn of(field: &str, message: impl Into<String>) -> FieldFault {
        FieldFault {
            field: Field::Named(field.to_owned()),
            message: message.into(),
        }
    }

    fn of_record(message: impl Into<String>) -> FieldFault {
        FieldFault {
            field: Field::WholeRecord,
            message: message.into(),
        }
    }
}

/// Returns all faults of one record. Faults that concern other records are not detected.
pub(crate) fn record_faults(fields: &Map<String, Value>) -> Vec<FieldFault> {
    let record_error = match record_from_json(&Value::Object(fields.clone())) {
        Ok(_) => return Vec::new(),
        Err(error) => error,
    };
    if let RecordError::NoSchema | RecordError::UnknownSchema { .. } = record_error {
        return vec![FieldFault::of("schema", record_error.to_string())];
    }
    let Some(kind) = fields.get("kind").and_then(Value::as_str) else {
        return vec![FieldFault::of("kind", "a record needs `kind`")];
    };
    let schema = fields.get("schema").and_then(Value::as_u64);
    let Some(valid) = valid_record(kind, schema == Some(PREVIOUS_SCHEMA)) else {
        let hint = suggestion(kind, KINDS);
        return vec![FieldFault::of(
            "kind",
            format!("unknown kind `{kind}`{hint}"),
        )];
    };
    let mut faults = missing_fields(fields, &valid);
    faults.extend(fields.iter().filter_map(|(name, value)| {
        let mut candidate = valid.clone();
        candidate.insert(name.clone(), value.clone());
        let error = record_from_json(&Value::Object(candidate)).err()?;
        Some(FieldFault::of(name, describe(name, &error.to_string())))
    }));
    if faults.is_empty() {
        faults.push(FieldFault::of_record(record_error.to_string()));
    }
    faults
}

/// Returns a fault for each required field that is absent.
fn missing_fields(fields: &Map<String, Value>, valid: &Map<String, Value>) -> Vec<FieldFault> {
    let missing = valid.keys().filter(|name| !fields.contains_key(*name));
    missing
        .map(|name| FieldFault::of_record(format!("`{name}` is missing")))
        .collect()
}

/// Turns the parser's message on one field into one that names the field, with a suggestion if the
/// field is unknown.
fn describe(name: &str, message: &str) -> String {
    if !message.starts_with("unknown field") {
        return if message.contains(&format!("`{name}`")) {
            message.to_owned()
        } else {
            format!("`{name}`: {message}")
        };
    }
    // The message is "unknown field `x`, expected one of `a`, `b`": every second part is a name, and
    // the first name is the unknown one.
    let known = message.split('`').skip(3).step_by(2);
    format!("unknown field `{name}`{}", suggestion(name, known))
}

/// Returns a valid record with only the required fields of this kind and schema version; `None` if
/// the kind is unknown.
fn valid_record(kind: &str, is_previous_schema: bool) -> Option<Map<String, Value>> {
    let value = match (kind, is_previous_schema) {
        ("organisation", _) => json!({ "name": "n", "key_sha256": [] }),
        ("deployment", true) => json!({ "name": "n", "serves": "m@v", "copies": 1 }),
        ("deployment", false) => {
            json!({ "name": "n", "model": "m", "version": "v", "replicas": 1 })
        }
        ("service", _) => json!({ "name": "n" }),
        _ => return None,
    };
    let mut fields = value.as_object().cloned()?;
    let schema = if is_previous_schema {
        PREVIOUS_SCHEMA
    } else {
        CURRENT_SCHEMA
    };
    fields.insert("schema".to_owned(), Value::from(schema));
    fields.insert("kind".to_owned(), Value::from(kind));
    Some(fields)
}

/// Returns an error for the first number of a record that is out of range. The types of the fields
/// do not exclude such numbers.
pub(crate) fn range_error(record: &Record) -> Option<RecordError> {
    let message = match record {
        Record::Organisation(organisation) => {
            let rates = [
                ("requests_per_s", organisation.requests_per_s),
                ("tokens_per_s", organisation.tokens_per_s),
            ];
            let faulty = rates
                .into_iter()
                .find(|(_, rate)| rate.is_some_and(|rate| !rate.is_finite() || rate <= 0.0));
            match faulty {
                Some((name, _)) => format!("`{name}` must be a number above 0"),
                None if organisation.concurrency == Some(0) => {
                    "`concurrency` must be at least 1".to_owned()
                }
                None => return None,
            }
        }
        Record::Deployment(deployment) if deployment.group_size == 0 => {
            "`group_size` must be at least 1".to_owned()
        }
        Record::Deployment(_) | Record::Service(_) => return None,
    };
    Some(RecordError::Invalid { message })
}
