//! Reads settings files in INI format and checks them against a table of keys.
//!
//! All errors of a file are reported at once, each with its line; if the file is not valid INI,
//! only the syntax error is reported. A misspelt key that is written with `=` is an error with a
//! suggestion, because a setting that is silently ignored is worse than one that is refused.

pub use crate::{
    error::SettingsError,
    key::{Absent, SettingsKey, key, number},
    reader::Reader,
};

mod error;
mod key;
mod reader;
mod units;
