//! Parsing of operators' record files: TOML files, each with one or more `[[record]]` tables.
//!
//! One run reports all faults of all files, each with its file and line, so that an operator can
//! correct all of them at once.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::{Map, Value};
use toml::Spanned;

use crate::{
    config::RecordsObject,
    fault::{Field, FieldFault, record_faults},
    record::Record,
    reference::reference_faults,
    schema::record_from_json,
};

/// One record file.
#[derive(Debug, Clone)]
pub struct SourceFile {
    /// File name, as shown in faults.
    pub name: String,
    /// Contents of the file.
    pub text: String,
}

/// One fault of a file.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, derive_more::Error,
)]
#[display("{file}:{line}: {message}")]
pub struct SourceFault {
    /// Name of the file.
    pub file: String,
    /// Line of the fault, from 1.
    pub line: usize,
    /// Description of the fault, with a suggested correction where there is one.
    pub message: String,
}

/// One record with its file, its line and the lines of its fields.
#[derive(Debug)]
pub(crate) struct SourceRecord {
    file: String,
    line: usize,
    field_lines: BTreeMap<String, usize>,
    value: Map<String, Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Document {
    #[serde(default)]
    record: Vec<Spanned<BTreeMap<Spanned<String>, Value>>>,
}

impl SourceRecord {
    fn fault(&self, fault: FieldFault) -> SourceFault {
        let line = match &fault.field {
            Field::Named(name) => self.field_lines.get(name).copied(),
            Field::WholeRecord => None,
        };
        SourceFault {
            file: self.file.clone(),
            line: line.unwrap_or(self.line),
            message: fault.message,
        }
    }
}

/// Parses and checks the files of one set of records.
///
/// Returns the records sorted by kind and name, in the schema version in which they were written.
/// The result does not depend on how the records are distributed over the files.
///
/// # Errors
///
/// Returns all faults, sorted by file and line.
pub fn records_from_files(files: &[SourceFile]) -> Result<RecordsObject, Vec<SourceFault>> {
    let mut faults = Vec::new();
    let mut sources = Vec::new();
    for file in files {
        match read_file(file) {
            Ok(records) => sources.extend(records),
            Err(fault) => faults.push(fault),
        }
    }
    let mut parsed = Vec::new();
    for source in &sources {
        let value = Value::Object(source.value.clone());
        let found = record_faults(&source.value);
        faults.extend(found.into_iter().map(|fault| source.fault(fault)));
        if let Ok(record) = record_from_json(&value) {
            parsed.push((source, record));
        }
    }
    faults.extend(duplicate_faults(&parsed));
    let records: Vec<&Record> = parsed.iter().map(|(_, record)| record).collect();
    for (index, fault) in reference_faults(&records) {
        faults.push(parsed[index].0.fault(fault));
    }
    if !faults.is_empty() {
        faults.sort();
        faults.dedup();
        return Err(faults);
    }
    parsed.sort_by(|a, b| a.1.key().cmp(&b.1.key()));
    let values = parsed.iter().map(|(source, _)| source.value.clone());
    Ok(RecordsObject {
        records: values.map(Value::Object).collect(),
    })
}

fn read_file(file: &SourceFile) -> Result<Vec<SourceRecord>, SourceFault> {
    let document: Document = toml::from_str(&file.text).map_err(|error| SourceFault {
        file: file.name.clone(),
        line: line_at(&file.text, error.span().map_or(0, |span| span.start)),
        message: error.message().to_owned(),
    })?;
    let records = document.record.into_iter().map(|record| {
        let line = line_at(&file.text, record.span().start);
        let mut field_lines = BTreeMap::new();
        let mut value = Map::new();
        for (key, field) in record.into_inner() {
            field_lines.insert(key.get_ref().clone(), line_at(&file.text, key.span().start));
            value.insert(key.into_inner(), field);
        }
        SourceRecord {
            file: file.name.clone(),
            line,
            field_lines,
            value,
        }
    });
    Ok(records.collect())
}

/// Returns the line of a byte offset, from 1.
fn line_at(text: &str, offset: usize) -> usize {
    let before = text.as_bytes().iter().take(offset);
    1 + before.filter(|byte| **byte == b'\n').count()
}

/// Returns a fault for each record whose kind and name an earlier record has.
fn duplicate_faults(parsed: &[(&SourceRecord, Record)]) -> Vec<SourceFault> {
    let mut seen = BTreeMap::new();
    let mut faults = Vec::new();
    for (source, record) in parsed {
        let (kind, name) = record.key();
        if let Some(earlier) = seen.insert(record.key(), *source) {
            let message = format!(
                "{kind} `{name}` is declared already at {}:{}",
                earlier.file, earlier.line
            );
            faults.push(source.fault(FieldFault::of("name", message)));
        }
    }
    faults
}
