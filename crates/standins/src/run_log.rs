//! What an upstream ran: the evidence for "at most once" and "truly did not run".

use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// One run of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// The caller's request id.
    pub request: String,
    /// The attempt id.
    pub attempt: String,
    /// The VM that ran it.
    pub vm: String,
    /// Group it was run for; empty for a plain service.
    pub group: String,
    /// Epoch it was run under; 0 for a plain service.
    pub epoch: u64,
    /// Members of the group as the upstream believed them; empty for a plain service.
    #[serde(default)]
    pub members: Vec<String>,
    /// Body of the request as received.
    pub body: String,
    /// Wall-clock time of the start. The stand-ins of one test share a clock.
    pub started_wall_ms: u64,
}

#[derive(Debug, Default)]
struct Log {
    records: Vec<RunRecord>,
    file: Option<File>,
}

/// Runs in the order they started. Clones share the log.
#[derive(Debug, Clone, Default)]
pub struct RunLog(Arc<Mutex<Log>>);

impl RunLog {
    /// A log that is also appended to a file, if one is given, with one JSON object a line, so that
    /// it outlives the process.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be opened.
    pub fn open(path: Option<&Path>) -> io::Result<RunLog> {
        let open = |path| OpenOptions::new().create(true).append(true).open(path);
        let log = Log {
            records: Vec::new(),
            file: path.map(open).transpose()?,
        };
        Ok(RunLog(Arc::new(Mutex::new(log))))
    }

    /// Adds a run. It is in the file before the run does anything.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be written: a run without evidence would falsify a test.
    pub fn push(&self, record: RunRecord) {
        let mut log = self.lock();
        if let Some(file) = &mut log.file {
            let line = format!("{}\n", serde_json::json!(record));
            file.write_all(line.as_bytes())
                .expect("the run log can be written");
        }
        log.records.push(record);
    }

    /// All runs so far.
    pub fn records(&self) -> Vec<RunRecord> {
        self.lock().records.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Log> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Wall-clock time in milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
