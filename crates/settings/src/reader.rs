//! Reads the values of a settings file and collects all errors with their lines.

use std::{fmt::Display, str::FromStr};

use ini::Ini;
use jacinthpoint_types::suggestion;

use crate::{
    error::SettingsError,
    key::{Absent, SettingsKey, find, names_in},
    units::{key_in_ms, value_hint},
};

/// A section header or key in the file, with its line.
#[derive(Debug, PartialEq, Eq)]
struct Place {
    section: String,
    /// `None` for a section header.
    key: Option<String>,
    line: usize,
}

/// One parsed settings file with the errors found in it so far.
pub struct Reader<'a> {
    keys: &'static [SettingsKey],
    places: Vec<Place>,
    ini: Ini,
    errors: Vec<SettingsError>,
    text: &'a str,
}

impl<'a> Reader<'a> {
    /// Parses `text`, whose allowed keys are `keys`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid INI.
    pub fn new(
        text: &'a str,
        keys: &'static [SettingsKey],
    ) -> Result<Reader<'a>, Vec<SettingsError>> {
        let ini = Ini::load_from_str(text).map_err(|error| {
            vec![SettingsError {
                line: error.line,
                message: error.msg.to_string(),
            }]
        })?;
        let mut reader = Reader {
            keys,
            places: Vec::new(),
            ini,
            errors: Vec::new(),
            text,
        };
        reader.find_places();
        Ok(reader)
    }

    /// Returns all errors, sorted by line.
    pub fn into_errors(mut self) -> Vec<SettingsError> {
        self.errors.sort_by_key(|error| error.line);
        self.errors
    }

    /// Records the line of each section header and of each key that is written with `=`, because
    /// the INI parser returns no lines. The parser also accepts `key: value`; such keys are not
    /// found here, so they are not checked as unknown or repeated, and have no line of their own.
    fn find_places(&mut self) {
        let mut section = String::new();
        for (index, line) in self.text.lines().enumerate() {
            let line = line.trim();
            let key = line.split_once('=').map(|(key, _)| key.trim().to_owned());
            let header = line
                .strip_prefix('[')
                .and_then(|rest| rest.split(']').next());
            if let Some(header) = header {
                section = header.trim().to_owned();
            }
            let is_comment = line.starts_with(['#', ';']);
            if !is_comment && (header.is_some() || key.is_some()) {
                self.places.push(Place {
                    section: section.clone(),
                    key: key.filter(|_| header.is_none()),
                    line: index + 1,
                });
            }
        }
    }

    /// Adds an error for each unknown or repeated section and key.
    pub fn check_keys(&mut self) {
        let places = std::mem::take(&mut self.places);
        for (index, place) in places.iter().enumerate() {
            let is_same =
                |earlier: &&Place| earlier.section == place.section && earlier.key == place.key;
            let message = if let Some(earlier) = places[..index].iter().find(is_same) {
                let what = place.key.as_ref().map_or_else(
                    || format!("section `[{}]`", place.section),
                    |key| format!("key `{key}`"),
                );
                Some(format!(
                    "{what} is already defined in line {}",
                    earlier.line
                ))
            } else {
                unknown_message(self.keys, place)
            };
            if let Some(message) = message {
                let line = place.line;
                self.errors.push(SettingsError { line, message });
            }
        }
        self.places = places;
    }

    /// Returns the value of a key, or its default if the key is absent.
    ///
    /// Returns `None` if an optional key is absent; a key that is not declared counts as optional.
    /// If a required key is absent or a value is invalid, adds an error and returns `None`, too.
    pub fn value<T: FromStr<Err: Display>>(
        &mut self,
        section: &'static str,
        name: &'static str,
    ) -> Option<T> {
        let absent = find(self.keys, section, name).map_or(Absent::Nothing, |key| key.absent);
        let written = self.ini.get_from(Some(section), name);
        let text = match (written, absent) {
            (Some(text), _) => text.trim().to_owned(),
            (None, Absent::Default(text)) => text.to_owned(),
            (None, Absent::Nothing) => return None,
            (None, Absent::Refused) => {
                let message = format!("`{name}` is missing in `[{section}]`");
                self.add_error(section, None, message);
                return None;
            }
        };
        self.parse(section, name, &text)
    }

    /// Returns the values of a key, which are separated by commas; empty if the key is absent. Adds
    /// an error for each invalid value and leaves it out.
    pub fn list<T: FromStr<Err: Display>>(
        &mut self,
        section: &'static str,
        name: &'static str,
    ) -> Vec<T> {
        let text = self.ini.get_from(Some(section), name).unwrap_or_default();
        let items: Vec<String> = text.split(',').map(|item| item.trim().to_owned()).collect();
        items
            .iter()
            .filter(|item| !item.is_empty())
            .filter_map(|item| self.parse(section, name, item))
            .collect()
    }

    /// Parses a value and checks its range; adds an error and returns `None` if it is invalid.
    fn parse<T: FromStr<Err: Display>>(
        &mut self,
        section: &str,
        name: &str,
        text: &str,
    ) -> Option<T> {
        let range = find(self.keys, section, name).and_then(|key| key.range.clone());
        let number = text.parse::<u64>().ok();
        if let (Some(range), Some(number)) = (&range, number)
            && !range.contains(&number)
        {
            let message = format!(
                "`{name} = {number}` is not within {} to {}",
                range.start(),
                range.end()
            );
            self.add_error(section, Some(name), message);
            return None;
        }
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let hint = value_hint(name, text);
                self.add_error(
                    section,
                    Some(name),
                    format!("`{name} = {text}`: {error}{hint}"),
                );
                None
            }
        }
    }

    /// Adds an error at the line of `key`. If the key is not in the file, uses the line of its
    /// section, or line 1.
    pub fn add_error(&mut self, section: &str, key: Option<&str>, message: String) {
        let in_section = || self.places.iter().filter(|place| place.section == section);
        let exact = in_section().find(|place| place.key.as_deref() == key);
        let line = exact.or_else(|| in_section().next());
        let line = line.map_or(1, |place| place.line);
        self.errors.push(SettingsError { line, message });
    }
}

/// Returns the error message for an unknown section or key; `None` for a known one, and for a key
/// below an unknown section header. A key above the first header is an unknown key.
fn unknown_message(keys: &'static [SettingsKey], place: &Place) -> Option<String> {
    let section = &place.section;
    let is_known_section = keys.iter().any(|key| key.section == section);
    let Some(key) = &place.key else {
        let hint = suggestion(section, keys.iter().map(|key| key.section));
        return (!is_known_section).then(|| format!("unknown section `[{section}]`{hint}"));
    };
    if find(keys, section, key).is_some() || (!is_known_section && !section.is_empty()) {
        // The unknown section header itself has an error, so the keys below it get none.
        return None;
    }
    let in_other_section = keys.iter().find(|known| known.name == key);
    let hint = if let Some(known) = key_in_ms(key, names_in(keys, section)) {
        format!("; did you mean `{known}`, in milliseconds?")
    } else if let Some(known) = in_other_section {
        format!("; it belongs in `[{}]`", known.section)
    } else {
        suggestion(key, names_in(keys, section))
    };
    Some(format!("unknown key `{key}`{hint}"))
}
