//! Declares the keys of a settings file: names, defaults and ranges.

use std::ops::RangeInclusive;

/// Meaning of a key that is absent from the file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Absent {
    /// The key is required, and a file without it is refused.
    Refused,
    /// The key is optional and has no default.
    Nothing,
    /// The key has this default, written as in the file.
    Default(&'static str),
}

/// Declaration of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsKey {
    /// Section of the key.
    pub section: &'static str,
    /// Name of the key.
    pub name: &'static str,
    /// Meaning of an absent key.
    pub absent: Absent,
    /// Allowed range of a whole number; `None` if the value is not checked against a range.
    pub range: Option<RangeInclusive<u64>>,
}

/// Declares a key without a range.
pub const fn key(section: &'static str, name: &'static str, absent: Absent) -> SettingsKey {
    SettingsKey {
        section,
        name,
        absent,
        range: None,
    }
}

/// Declares a whole number with a default and an allowed range.
pub const fn number(
    section: &'static str,
    name: &'static str,
    default: &'static str,
    range: RangeInclusive<u64>,
) -> SettingsKey {
    SettingsKey {
        section,
        name,
        absent: Absent::Default(default),
        range: Some(range),
    }
}

/// Returns the declaration of the key `name` in `section`.
pub(crate) fn find(
    keys: &'static [SettingsKey],
    section: &str,
    name: &str,
) -> Option<&'static SettingsKey> {
    keys.iter()
        .find(|key| key.section == section && key.name == name)
}

/// Returns the names of all keys in `section`.
pub(crate) fn names_in(
    keys: &'static [SettingsKey],
    section: &str,
) -> impl Iterator<Item = &'static str> {
    keys.iter()
        .filter(move |key| key.section == section)
        .map(|key| key.name)
}
