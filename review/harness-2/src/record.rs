//! The record of one run: a line for each thing that was sent, answered, run or done.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    time::Instant,
};

/// Writer of `record.txt`, with the seconds since the start before each line.
pub struct Record {
    file: File,
    began: Instant,
}

impl Record {
    /// Creates `record.txt` in `folder`.
    pub fn create(folder: &str) -> io::Result<Record> {
        Ok(Record {
            file: File::create(Path::new(folder).join("record.txt"))?,
            began: Instant::now(),
        })
    }

    /// Adds a line.
    pub fn line(&mut self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Adds a line about an earlier moment.
    pub fn line_at(&mut self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let _ = writeln!(self.file, "{seconds:8.3} s  {text}");
    }
}
