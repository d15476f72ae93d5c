//! The error of a settings file.

/// One error in a settings file, with its line.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("line {line}: {message}")]
pub struct SettingsError {
    /// Line number, counted from 1.
    pub line: usize,
    /// Describes the error, with a correction where one is clear.
    pub message: String,
}
