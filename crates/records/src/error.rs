//! Faults of records.

/// What is wrong with one record.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum RecordError {
    /// The record does not name its schema version.
    #[display("a record needs `schema = {}`", crate::CURRENT_SCHEMA)]
    NoSchema,
    /// The record was written for a newer release.
    #[display(
        "schema {schema} is not known here: this release reads {} and {}",
        crate::PREVIOUS_SCHEMA,
        crate::CURRENT_SCHEMA
    )]
    UnknownSchema {
        /// The version the record names.
        schema: u64,
    },
    /// A field is missing, unknown or of another type.
    #[display("{message}")]
    Invalid {
        /// What is wrong, naming the field.
        message: String,
    },
}
