//! What the tests rely on of the processes that they start.

use std::{
    fs,
    os::unix::process::{CommandExt, parent_id},
    path::Path,
    process::{Command, Stdio},
    thread,
    time::Duration,
};

use crate::util::{Folder, Process, get_status, wait_until};

/// Environment variable with the folder of the part of a test that runs in a process of its own.
const INNER_FOLDER: &str = "JACINTHPOINT_TEST_INNER_FOLDER";
/// Time for each step.
const STEP_DEADLINE_MS: u64 = 30_000;
/// Time in which the kernel has sent its signals to an orphaned process group.
const ORPHANED_MS: u64 = 500;

/// Guards against stopped processes that the kernel ends: when the last parent outside of a process
/// group ends, such as the shell that started the tests in the background, stopped processes of the group
/// get SIGHUP and SIGCONT.
#[test]
fn stopped_process_outlives_the_shell_that_started_the_tests() {
    const NAME: &str = "processes::stopped_process_outlives_the_shell_that_started_the_tests";
    if let Some(folder) = std::env::var_os(INNER_FOLDER) {
        return stop_while_orphaned(Path::new(&folder));
    }
    let folder = Folder::with(&[]);
    let tests = std::env::current_exe().expect("the program of the tests has a path");
    // The shell starts the tests in the background and ends once they have stopped a process.
    let script = "\"$0\" --exact \"$1\" > /dev/null 2>&1 & \
                  until [ -e \"$2/stopped\" ]; do sleep 0.05; done";
    let mut shell = Command::new("sh")
        .args(["-c", script])
        .arg(tests)
        .args([NAME, folder.path()])
        .env(INNER_FOLDER, folder.path())
        .process_group(0)
        .spawn()
        .expect("a shell starts");
    assert!(shell.wait().is_ok_and(|status| status.success()));
    let result = Path::new(folder.path()).join("result");
    wait_until("the inner part has ended", STEP_DEADLINE_MS, || {
        fs::read_to_string(&result).is_ok_and(|result| !result.is_empty())
    });
    let result = fs::read_to_string(&result).expect("a result");
    assert_eq!(result, "stopped, then Some(200)");
}

/// Guards against processes that go on after the tests that started them were killed.
#[test]
fn processes_end_with_the_tests() {
    const NAME: &str = "processes::processes_end_with_the_tests";
    if let Some(folder) = std::env::var_os(INNER_FOLDER) {
        return wait_for_the_end(Path::new(&folder));
    }
    let folder = Folder::with(&[]);
    let tests = std::env::current_exe().expect("the program of the tests has a path");
    let mut inner = Command::new(tests)
        .args(["--exact", NAME])
        .env(INNER_FOLDER, folder.path())
        .stdout(Stdio::null())
        .spawn()
        .expect("the tests start");
    let file = Path::new(folder.path()).join("id");
    let id = || fs::read_to_string(&file).unwrap_or_default();
    wait_until("a process is started", STEP_DEADLINE_MS, || {
        !id().is_empty()
    });
    inner.kill().expect("the tests are killed");
    inner.wait().expect("the tests have ended");
    let process = Path::new("/proc").join(id());
    wait_until("the process ends", STEP_DEADLINE_MS, || !process.exists());
}

/// Starts a process that is stopped when the tests are killed.
fn wait_for_the_end(folder: &Path) {
    let (platform, _) = Process::standin(&["platform"]);
    platform.signal("STOP");
    fs::write(folder.join("id"), platform.id().to_string()).expect("a file is written");
    thread::sleep(Duration::from_millis(2 * STEP_DEADLINE_MS));
}

/// Stops a process, waits until the shell has ended, and lets the process go on.
fn stop_while_orphaned(folder: &Path) {
    let shell = parent_id();
    let (platform, address) = Process::standin(&["platform"]);
    platform.signal("STOP");
    fs::write(folder.join("stopped"), "").expect("a file is written");
    wait_until("the shell has ended", STEP_DEADLINE_MS, || {
        parent_id() != shell
    });
    thread::sleep(Duration::from_millis(ORPHANED_MS));
    let state = if platform.is_stopped() {
        "stopped"
    } else {
        "not stopped"
    };
    platform.signal("CONT");
    let status = get_status(address, "/membership");
    fs::write(folder.join("result"), format!("{state}, then {status:?}"))
        .expect("a file is written");
}
