//! Reads settings and records from files and folders.

use std::{fs, io, path::Path};

use jacinthpoint_records::{RecordsObject, SourceFile, records_from_files};

use crate::exit::Exit;

/// Suffix of files of records.
const RECORDS_SUFFIX: &str = "toml";
/// Suffix of settings files.
const SETTINGS_SUFFIX: &str = "ini";

/// Files by what they hold.
#[derive(Debug, Default)]
pub struct Files {
    /// Settings of nodes.
    pub settings: Vec<SourceFile>,
    /// Records.
    pub records: Vec<SourceFile>,
}

impl Files {
    /// Reads a file, or every settings and records file in a folder and its subfolders, in the
    /// order of their names.
    ///
    /// Other files, and files and folders whose name begins with a dot, are passed over in a
    /// folder and refused by name.
    pub fn read(&mut self, path: &Path) -> io::Result<()> {
        if !path.is_dir() {
            return if self.add(path)? {
                Ok(())
            } else {
                let message = "neither settings (.ini) nor records (.toml)";
                Err(io::Error::other(message))
            };
        }
        let mut entries: Vec<_> = fs::read_dir(path)?.collect::<io::Result<_>>()?;
        entries.sort_by_key(fs::DirEntry::file_name);
        for entry in entries {
            let is_hidden = entry.file_name().as_encoded_bytes().starts_with(b".");
            if is_hidden {
                continue;
            }
            if entry.path().is_dir() {
                self.read(&entry.path())?;
            } else {
                self.add(&entry.path())?;
            }
        }
        Ok(())
    }

    fn add(&mut self, path: &Path) -> io::Result<bool> {
        let suffix = path.extension().and_then(|suffix| suffix.to_str());
        let files = match suffix {
            Some(RECORDS_SUFFIX) => &mut self.records,
            Some(SETTINGS_SUFFIX) => &mut self.settings,
            _ => return Ok(false),
        };
        files.push(SourceFile {
            name: path.display().to_string(),
            text: fs::read_to_string(path)?,
        });
        Ok(true)
    }
}

/// Reads and checks the records of a folder or file; the error is the exit after a complaint.
pub fn read_records(folder: &str) -> Result<RecordsObject, Exit> {
    let mut files = Files::default();
    files.read(Path::new(folder)).map_err(|error| {
        eprintln!("jacinthpoint: {folder}: {error}");
        Exit::Faulty
    })?;
    if files.records.is_empty() {
        // An empty folder is far more often a mistyped path than a wish to remove every record.
        eprintln!("jacinthpoint: {folder}: no records (.toml) here");
        return Err(Exit::Faulty);
    }
    records_from_files(&files.records).map_err(|faults| {
        for fault in faults {
            eprintln!("{fault}");
        }
        Exit::Faulty
    })
}
