//! Parts that the scripts of this review share: gateway processes, callers, and a front for each engine
//! that reads what passes between the gateways and the project's stand-in.

use std::{
    fs,
    io::{Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;

pub mod engines;
pub mod plain;

/// Exit status of a script whose case could not run.
pub const NOT_RUN: i32 = 2;

/// Locks a mutex, also if a thread panicked while holding it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Pauses this thread.
pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns whether the script applies its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl Record {
    /// Adds a line.
    pub fn say(&self, line: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        lock(&self.lines).push(format!("{at:8.3} s  {}", line.as_ref()));
    }

    /// Writes all lines to a file.
    pub fn write(&self, path: &str) {
        let text = lock(&self.lines).join("\n") + "\n";
        if let Err(error) = fs::write(path, text) {
            eprintln!("the record cannot be written: {error}");
        }
    }
}

/// Addresses of one gateway.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
}

/// Gateway processes; they end when this is dropped.
pub struct Gateways {
    folder: PathBuf,
    processes: Vec<Option<Child>>,
    pub addresses: Vec<Addresses>,
}

/// Returns a free port at a loopback address. The listener is kept until all ports are found.
fn free_port(address: Ipv4Addr, held: &mut Vec<TcpListener>) -> SocketAddr {
    let listener = TcpListener::bind((address, 0)).unwrap_or_else(|error| {
        eprintln!("no free port: {error}");
        exit(NOT_RUN)
    });
    let address = listener.local_addr().expect("it is bound");
    held.push(listener);
    address
}

impl Gateways {
    /// Prepares `count` gateways with the settings of the template `deploy/gateway.ini`. Gateway `i` is in
    /// `data_centres[i]` and uses the store at `stores[i]`.
    pub fn prepare(data_centres: &[&str], stores: &[SocketAddr]) -> Gateways {
        let number = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-3-{number}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut gateways = Gateways {
            folder,
            processes: Vec::new(),
            addresses: Vec::new(),
        };
        let mut held = Vec::new();
        for (index, (data_centre, store)) in data_centres.iter().zip(stores).enumerate() {
            let own = Ipv4Addr::new(127, 77, (number % 250) as u8 + 1, index as u8 + 1);
            let [callers, readiness, peers, metrics] = [(); 4].map(|()| free_port(own, &mut held));
            let settings = format!(
                "[node]\nname = front-{index}\ndata_centre = {data_centre}\nregions = zone-a:r,zone-b:r,zone-c:r\n\
                 first_start = true\n\n[listen]\ncallers = {callers}\nreadiness = {readiness}\npeers = {peers}\n\
                 metrics = {metrics}\n\n[store]\naddress = {store}\n\n[limits]\ndescriptors = 4200\n\
                 memory_mb = 260\ncore_share = 0.25\nlink_mbps = 1000\n\n[stop]\ngrace_ms = 8000\n\n[platform]\n\
                 features = base,drain,config,cost,retry,recover,engine,stream,tenants,platform,gangs\n\n\
                 [repeats]\nratio = 0.2\nslack = 130\nwindow_ms = 10000\n"
            );
            fs::write(gateways.settings(index), settings).expect("the settings are written");
            gateways.processes.push(None);
            gateways.addresses.push(Addresses {
                callers,
                readiness,
                peers,
                metrics,
            });
        }
        gateways
    }

    fn settings(&self, index: usize) -> PathBuf {
        self.folder.join(format!("gateway-{index}.ini"))
    }

    /// Returns the path of a gateway's log.
    pub fn log(&self, index: usize) -> PathBuf {
        self.folder.join(format!("gateway-{index}.log"))
    }

    /// Starts a gateway by the command of the deploy file.
    pub fn start(&mut self, index: usize) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log(index));
        let child = Command::new("target/release/jacinthpoint")
            .arg("gateway")
            .env("JACINTHPOINT_CONFIG", self.settings(index))
            .stdin(Stdio::null())
            .stdout(log.expect("a log file"))
            .stderr(Stdio::null())
            .spawn();
        self.processes[index] = Some(child.unwrap_or_else(|error| {
            eprintln!("the gateway cannot be started: {error}");
            exit(NOT_RUN)
        }));
    }

    /// Sends a signal, such as `STOP`, to a gateway.
    pub fn signal(&self, index: usize, name: &str) {
        if let Some(child) = &self.processes[index] {
            let _ = Command::new("kill")
                .arg(format!("-{name}"))
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Kills a gateway and waits for its end.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts a gateway again, not for the first time of the system.
    pub fn start_again(&mut self, index: usize) {
        let path = self.settings(index);
        let settings = fs::read_to_string(&path).expect("settings");
        fs::write(
            &path,
            settings.replace("first_start = true", "first_start = false"),
        )
        .expect("written");
        self.start(index);
    }

    /// Returns whether a gateway says that it is ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let address = self.addresses[index].readiness;
        let head = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let answer = exchange(address, head, 1_000);
        answer.is_some_and(|answer| answer.starts_with(b"HTTP/1.1 200"))
    }

    /// Keeps a copy of the logs in a folder.
    pub fn keep_logs(&self, folder: &Path) {
        for index in 0..self.processes.len() {
            let _ = fs::copy(self.log(index), folder.join(format!("gateway-{index}.log")));
        }
    }
}

impl Drop for Gateways {
    fn drop(&mut self) {
        for child in self.processes.iter_mut().flatten() {
            let _ = Command::new("kill")
                .arg("-CONT")
                .arg(child.id().to_string())
                .status();
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Sends bytes and returns all that comes back until the end of the connection or for `ms`.
pub fn exchange(address: SocketAddr, bytes: &[u8], ms: u64) -> Option<Vec<u8>> {
    let timeout = Duration::from_millis(ms);
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(bytes).ok()?;
    let mut answer = Vec::new();
    let mut part = [0; 8_192];
    let until = Instant::now() + timeout;
    loop {
        match stream.read(&mut part) {
            Ok(0) => return Some(answer),
            Ok(count) => answer.extend_from_slice(&part[..count]),
            Err(_) => return (!answer.is_empty()).then_some(answer),
        }
        if Instant::now() >= until {
            return Some(answer);
        }
    }
}

/// Returns the status of an answer.
pub fn status(answer: &[u8]) -> Option<u16> {
    std::str::from_utf8(answer.get(9..12)?).ok()?.parse().ok()
}

/// Waits until a condition holds; ends the script if it does not in time.
pub fn wait_until(what: &str, ms: u64, is_met: impl Fn() -> bool) {
    let until = Instant::now() + Duration::from_millis(ms);
    while !is_met() {
        if Instant::now() >= until {
            eprintln!("the case could not run: not within {ms} ms: {what}");
            exit(NOT_RUN);
        }
        sleep_ms(20);
    }
}

/// A message of HTTP whose body has a length.
#[derive(Debug, Clone)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
    pub bytes: Vec<u8>,
}

impl Message {
    /// Returns the first line.
    pub fn line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    /// Returns the value of a header.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (field, value) = line.split_once(':')?;
            field.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line().split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(stream: &mut impl Read) -> Option<Message> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let mut message = Message {
        head,
        body: Vec::new(),
        bytes,
    };
    let length = message
        .field("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    message.bytes.extend_from_slice(&body);
    message.body = body;
    Some(message)
}

/// Copies bytes in both directions until both ends have ended.
pub fn tunnel(left: TcpStream, right: TcpStream) {
    let (Ok(left_reader), Ok(right_reader)) = (left.try_clone(), right.try_clone()) else {
        return;
    };
    let back = thread::spawn(move || copy(right_reader, left));
    copy(left_reader, right);
    let _ = back.join();
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut part = [0; 16_384];
    loop {
        match from.read(&mut part) {
            Ok(count @ 1..) => {
                if to.write_all(&part[..count]).is_err() {
                    let _ = from.shutdown(Shutdown::Both);
                    return;
                }
            }
            _ => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}

/// Counts the answers of a stand-in and those that a disruption changed.
#[derive(Debug, Default)]
pub struct Counts {
    pub answers: AtomicU64,
    pub changed: AtomicU64,
}

impl Counts {
    /// Returns both numbers.
    pub fn get(&self) -> (u64, u64) {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (load(&self.answers), load(&self.changed))
    }
}
