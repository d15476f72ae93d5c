//! A child process that is ended, by its id, when dropped.

use std::{
    fs::File,
    io::{BufRead, BufReader, Write},
    net::SocketAddr,
    os::unix::process::CommandExt,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

mod leftovers;

/// Environment variable with an existing folder for the output and the errors of all processes.
const LOGS_VARIABLE: &str = "JACINTHPOINT_TEST_LOGS";

/// A running program.
pub struct Process {
    child: Child,
    /// First line it printed.
    first_line: String,
}

impl Process {
    /// Starts a stand-in, which prints its address.
    pub fn standin(args: &[&str]) -> (Process, SocketAddr) {
        Process::standin_behind(None, args)
    }

    /// Starts a stand-in that makes its HTTP calls through a proxy.
    pub fn standin_behind(proxy: Option<SocketAddr>, args: &[&str]) -> (Process, SocketAddr) {
        let process = Process::start(env!("CARGO_BIN_EXE_jacinthpoint-standins"), proxy, args);
        let address = process
            .first_line
            .parse()
            .expect("a stand-in prints its address");
        (process, address)
    }

    /// Starts the program under test, which makes its HTTP calls through a proxy if one is given.
    pub fn jacinthpoint(proxy: Option<SocketAddr>, args: &[&str]) -> Process {
        Process::start(env!("CARGO_BIN_EXE_jacinthpoint"), proxy, args)
    }

    /// Starts the program under test as another build: the executable at this path.
    pub fn other_build(path: &str, args: &[&str]) -> Process {
        Process::start(path, None, args)
    }

    fn start(program: &str, proxy: Option<SocketAddr>, args: &[&str]) -> Process {
        let proxy = proxy.map(|proxy| ("http_proxy", format!("http://{proxy}")));
        let keeps_logs = std::env::var_os(LOGS_VARIABLE).is_some();
        let errors = if keeps_logs {
            Stdio::piped()
        } else {
            Stdio::inherit()
        };
        let mut child = Command::new(program)
            .args(args)
            .envs(proxy)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            // A stopped process of a group whose last parent outside of it ends, such as the shell that
            // started the tests, gets SIGHUP and SIGCONT from the kernel.
            .process_group(0)
            .spawn()
            .expect("the program starts");
        leftovers::add(child.id());
        if let Some(mut errors) = child.stderr.take() {
            let mut log = create_log(child.id(), args, "err");
            thread::spawn(move || std::io::copy(&mut errors, &mut log));
        }
        let mut output = BufReader::new(child.stdout.take().expect("the output is piped"));
        let mut first_line = String::new();
        output
            .read_line(&mut first_line)
            .expect("the program prints a line");
        let mut log = create_log(child.id(), args, "log");
        log.write_all(first_line.as_bytes())
            .expect("the log can be written");
        // Keeps reading, so that the program never waits for room in the pipe.
        thread::spawn(move || std::io::copy(&mut output, &mut log));
        Process {
            child,
            first_line: first_line.trim().to_owned(),
        }
    }

    /// First line that it printed.
    pub fn first_line(&self) -> &str {
        &self.first_line
    }

    /// Whether it printed its first line; one that could not start ends without.
    pub fn has_started(&self) -> bool {
        !self.first_line.is_empty()
    }

    /// Returns the most memory that the process used so far, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        let value = value.expect("the status has the peak memory");
        value.parse().expect("the peak memory is a number")
    }

    /// Returns the number of descriptors that the process has open.
    #[allow(dead_code, reason = "used by the crowds only")]
    pub fn open_descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).expect("the process runs").count()
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether it is stopped by a signal.
    pub fn is_stopped(&self) -> bool {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process is not waited for");
        status.lines().any(|line| line.starts_with("State:\tT"))
    }

    /// Sends a signal, such as `TERM`, `STOP`, `CONT` or `KILL`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &id]).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "kill -s {name} {id}"
        );
    }

    /// Waits for the end, at most `timeout_ms`.
    pub fn wait(&mut self, timeout_ms: u64) -> Option<ExitStatus> {
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().expect("the child can be waited for") {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        leftovers::remove(self.child.id());
    }
}

/// Creates the file for a process's output or errors in the folder of [`LOGS_VARIABLE`]. Its name has
/// those of the test and of the last argument, and the process id. The output is dropped if there is no
/// such folder.
fn create_log(process_id: u32, args: &[&str], ending: &str) -> Box<dyn Write + Send> {
    let Some(folder) = std::env::var_os(LOGS_VARIABLE) else {
        return Box::new(std::io::sink());
    };
    let thread = thread::current();
    let test = thread.name().unwrap_or("unnamed").replace("::", ".");
    let argument = args
        .last()
        .and_then(|argument| Path::new(argument).file_stem());
    let argument = argument.unwrap_or_default().to_string_lossy();
    let path = Path::new(&folder).join(format!("{test}-{argument}-{process_id}.{ending}"));
    Box::new(File::create(path).expect("the folder for logs exists"))
}
