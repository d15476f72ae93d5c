//! Ends the processes of a test run that was killed, or interrupted at a terminal. They lead process groups
//! of their own, so a signal to the group of the tests does not reach them.

use std::{
    io::Write,
    os::unix::process::CommandExt,
    process::{Child, Command, Stdio},
    sync::{LazyLock, Mutex, PoisonError},
};

/// Reads lines `+ ID` and `- ID` until the tests have ended, however they did, and kills those processes
/// that were not taken off the list.
const SCRIPT: &str = r#"
while read -r change id; do
    if [ "$change" = + ]; then
        ids="$ids $id"
    else
        rest=
        for other in $ids; do
            [ "$other" = "$id" ] || rest="$rest $other"
        done
        ids=$rest
    fi
done
[ -z "$ids" ] || kill -s KILL $ids
"#;

/// The shell that runs [`SCRIPT`].
static WATCHER: LazyLock<Mutex<Child>> = LazyLock::new(|| {
    let watcher = Command::new("sh")
        .args(["-c", SCRIPT])
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .process_group(0)
        .spawn()
        .expect("a shell starts");
    Mutex::new(watcher)
});

/// Puts a process on the list.
pub fn add(process_id: u32) {
    write('+', process_id).expect("the watching shell runs");
}

/// Takes a process off the list. Called after it was waited for, so that its id may be used again.
pub fn remove(process_id: u32) {
    // A watching shell that has ended kills nothing.
    let _ = write('-', process_id);
}

fn write(change: char, process_id: u32) -> std::io::Result<()> {
    let mut watcher = WATCHER.lock().unwrap_or_else(PoisonError::into_inner);
    let list = watcher.stdin.as_mut().expect("the input is piped");
    list.write_all(format!("{change} {process_id}\n").as_bytes())
}
