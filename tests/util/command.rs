//! The program's short-lived commands, run to their end.

use std::{
    fs,
    path::PathBuf,
    process::Command,
    sync::atomic::{AtomicUsize, Ordering},
};

/// How a command ended.
#[derive(Debug)]
pub struct Ended {
    pub exit: i32,
    pub out: String,
    pub err: String,
}

/// Runs the program with these words.
pub fn jacinthpoint(args: &[&str]) -> Ended {
    let output = Command::new(env!("CARGO_BIN_EXE_jacinthpoint"))
        .args(args)
        .output()
        .expect("the program starts");
    Ended {
        exit: output.status.code().expect("the program exits by itself"),
        out: String::from_utf8(output.stdout).expect("the output is UTF-8"),
        err: String::from_utf8(output.stderr).expect("the output is UTF-8"),
    }
}

/// A folder that is removed when dropped.
pub struct Folder(PathBuf);

impl Folder {
    /// A new folder with these files.
    pub fn with(files: &[(&str, &str)]) -> Folder {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("jacinthpoint-folder-{}-{number}", std::process::id());
        let folder = Folder(std::env::temp_dir().join(name));
        fs::create_dir_all(&folder.0).expect("a folder is made");
        for (name, text) in files {
            folder.write(name, text);
        }
        folder
    }

    /// Writes a file in it.
    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).expect("a file is written");
    }

    /// Its path.
    pub fn path(&self) -> &str {
        self.0.to_str().expect("the path is UTF-8")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
