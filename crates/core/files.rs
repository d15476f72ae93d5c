//! Reads settings and records from files and folders.

use std::{fs, io, path::Path};

use jacinthpoint_records::{RecordsObject, SourceFile, records_from_files};

use crate::exit::Exit;

/// Extension of records files.
const RECORDS_EXTENSION: &str = "toml";
/// Extension of settings files.
const SETTINGS_EXTENSION: &str = "ini";

/// Contents of the files read, by kind.
#[derive(Debug, Default)]
pub struct Files {
    /// Settings files of nodes and gateways.
    pub settings: Vec<SourceFile>,
    /// Records files.
    pub records: Vec<SourceFile>,
}

impl Files {
    /// Reads a file, or every settings and records file in a folder and its subfolders, sorted by
    /// name within each folder.
    ///
    /// In a folder, files with another extension and entries whose name begins with a dot are
    /// skipped. Returns an error if `path` itself is a file with another extension.
    pub fn read(&mut self, path: &Path) -> io::Result<()> {
        if !path.is_dir() {
            return if self.add_file(path)? {
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
                self.add_file(&entry.path())?;
            }
        }
        Ok(())
    }

    /// Reads a file if its extension is known; returns whether it was read.
    fn add_file(&mut self, path: &Path) -> io::Result<bool> {
        let extension = path.extension().and_then(|extension| extension.to_str());
        let files = match extension {
            Some(RECORDS_EXTENSION) => &mut self.records,
            Some(SETTINGS_EXTENSION) => &mut self.settings,
            _ => return Ok(false),
        };
        files.push(SourceFile {
            name: path.display().to_string(),
            text: fs::read_to_string(path)?,
        });
        Ok(true)
    }
}

/// Reads and validates the records of a folder or file. On failure, prints each fault and returns
/// the exit code.
pub fn read_records(folder: &str) -> Result<RecordsObject, Exit> {
    let mut files = Files::default();
    files.read(Path::new(folder)).map_err(|error| {
        eprintln!("jacinthpoint: {folder}: {error}");
        Exit::Faulty
    })?;
    if files.records.is_empty() {
        // A folder without records is refused: most often its path is mistyped, and applying it
        // would remove every record in force.
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
