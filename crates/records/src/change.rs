//! Comparison of two sets of records, for operators.

use std::{collections::BTreeMap, fmt};

use serde_json::Value;

use crate::config::RecordsObject;

/// One record that differs between two sets of records.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Kind of the record.
    pub kind: String,
    /// Name of the record.
    pub name: String,
    /// Record in the first set; `None` if it is new.
    pub before: Option<Value>,
    /// Record in the second set; `None` if it was removed.
    pub after: Option<Value>,
}

/// Returns the records that differ between two sets, sorted by kind and name. The order of records
/// within a set does not matter.
pub fn changes(before: &RecordsObject, after: &RecordsObject) -> Vec<Change> {
    let before = by_key(before);
    let after = by_key(after);
    let mut keys: Vec<_> = before.keys().chain(after.keys()).collect();
    keys.sort();
    keys.dedup();
    keys.into_iter()
        .filter(|key| before.get(*key) != after.get(*key))
        .map(|(kind, name)| {
            let key = (kind.clone(), name.clone());
            Change {
                before: before.get(&key).map(|value| (*value).clone()),
                after: after.get(&key).map(|value| (*value).clone()),
                kind: key.0,
                name: key.1,
            }
        })
        .collect()
}

/// Indexes the records by kind and name.
fn by_key(object: &RecordsObject) -> BTreeMap<(String, String), &Value> {
    let field = |value: &Value, name: &str| value[name].as_str().unwrap_or_default().to_owned();
    let keyed = object
        .records
        .iter()
        .map(|value| ((field(value, "kind"), field(value, "name")), value));
    keyed.collect()
}

impl fmt::Display for Change {
    /// Prints one line for the record, then one line for each field that differs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sign, label) = match (&self.before, &self.after) {
            (None, _) => ('+', "new"),
            (_, None) => ('-', "removed"),
            _ => ('~', "changed"),
        };
        write!(f, "{sign} {} {} ({label})", self.kind, self.name)?;
        let empty = serde_json::Map::new();
        let fields = |value: &Option<Value>| {
            let object = value.as_ref().and_then(Value::as_object);
            object.unwrap_or(&empty).clone()
        };
        let (before, after) = (fields(&self.before), fields(&self.after));
        let mut names: Vec<_> = before.keys().chain(after.keys()).collect();
        names.sort();
        names.dedup();
        for name in names {
            match (before.get(name), after.get(name)) {
                (old, new) if old == new => {}
                (Some(old), Some(new)) => write!(f, "\n    {name}: {old} -> {new}")?,
                (Some(old), None) => write!(f, "\n    - {name}: {old}")?,
                (None, new) => write!(f, "\n    + {name}: {}", new.unwrap_or(&Value::Null))?,
            }
        }
        Ok(())
    }
}
