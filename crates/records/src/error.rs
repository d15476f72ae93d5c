//! Faults of a single record.

/// Fault of one record.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum RecordError {
    /// The record has no schema version.
    #[display("a record needs `schema = {}`", crate::CURRENT_SCHEMA)]
    NoSchema,
    /// The record has a schema version that this release cannot read, such as that of a newer
    /// release.
    #[display(
        "schema {schema} is not known here: this release reads {} and {}",
        crate::PREVIOUS_SCHEMA,
        crate::CURRENT_SCHEMA
    )]
    UnknownSchema {
        /// Schema version of the record.
        schema: u64,
    },
    /// A field is missing, unknown, of the wrong type or out of range.
    #[display("{message}")]
    Invalid {
        /// Description of the fault, which names the field.
        message: String,
    },
}
