//! Shared parts of the review scripts: a small deployment of gateways, each behind a link of its own to
//! the store, with the project's stand-ins of the store, engines and a plain service.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform_standins::{EngineSpec, Engines, PlainService, Platform, RequestLimits};
use serde_json::{Value, json};

/// Figures of a small deployment, from the settings of a gateway.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
pub const STABLE: Duration = Duration::from_millis(3_000);
pub const KEY: &str = "key-1";
/// Program of the deploy file's build.
pub const PRESENT_BUILD: &str = "target/release/jacinthpoint";

/// State of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    Open = 0,
    /// Bytes are held, and new connections are accepted and not served.
    Silent = 1,
    /// Open connections are reset, and so are new ones.
    Reset = 2,
}

/// Links of one gateway: to the store, and to each server. On one machine, a connection does not tell which
/// gateway opened it, so each gateway reaches servers at addresses of its own, which replace those in the
/// entries that it reads.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    state: Arc<AtomicU8>,
    servers: Arc<ServerLinks>,
}

/// Links of one gateway to the servers, by the servers' ports.
#[derive(Default)]
struct ServerLinks {
    ports: Mutex<BTreeMap<u16, u16>>,
    is_cut: Arc<AtomicBool>,
}

impl ServerLinks {
    /// Returns the port at which the gateway reaches the server at this one.
    fn port(&self, server: u16) -> u16 {
        let mut ports = self.ports.lock().expect("no thread panics");
        *ports.entry(server).or_insert_with(|| {
            let listener = loop {
                let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
                if listener.local_addr().expect("it is bound").port() >= 10_000 {
                    break listener;
                }
            };
            let port = listener.local_addr().expect("it is bound").port();
            let is_cut = self.is_cut.clone();
            thread::spawn(move || serve_link(listener, server, &is_cut));
            port
        })
    }
}

/// Passes connections on to a server. While the link is cut, open connections are reset, and new ones refused.
fn serve_link(mut listener: TcpListener, server: u16, is_cut: &Arc<AtomicBool>) {
    let address = listener.local_addr().expect("it is bound");
    loop {
        listener.set_nonblocking(true).expect("it can be set");
        while !is_cut.load(Ordering::SeqCst) {
            let Ok((from, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = from.set_nonblocking(false);
            let is_cut = is_cut.clone();
            thread::spawn(move || {
                let Ok(to) = TcpStream::connect(("127.0.0.1", server)) else {
                    return;
                };
                let (Ok(from2), Ok(to2)) = (from.try_clone(), to.try_clone()) else {
                    return;
                };
                let is_cut2 = is_cut.clone();
                thread::spawn(move || pass(from, to, &is_cut));
                pass(to2, from2, &is_cut2);
            });
        }
        drop(listener);
        while is_cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(1));
        }
        listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        };
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, is_cut: &AtomicBool) {
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    let _ = from.set_read_timeout(Some(Duration::from_millis(5)));
    let mut buffer = vec![0; 64 * 1_024];
    loop {
        if is_cut.load(Ordering::SeqCst) {
            for stream in [&from, &to] {
                let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
            }
            break;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) if to.write_all(&buffer[..count]).is_ok() => {}
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => break,
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

impl Link {
    pub fn start(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let state = Arc::new(AtomicU8::new(0));
        let servers = Arc::<ServerLinks>::default();
        let link = Link {
            address,
            state: state.clone(),
            servers: servers.clone(),
        };
        thread::spawn(move || {
            while let Ok((from, _)) = listener.accept() {
                let (state, servers) = (state.clone(), servers.clone());
                thread::spawn(move || {
                    wait_open(&state);
                    let Ok(to) = TcpStream::connect(target) else {
                        return;
                    };
                    let (Ok(from2), Ok(to2)) = (from.try_clone(), to.try_clone()) else {
                        return;
                    };
                    let state2 = state.clone();
                    thread::spawn(move || copy(from, to, &state, |_| {}));
                    copy(to2, from2, &state2, |bytes| replace_ports(bytes, &servers));
                });
            }
        });
        link
    }

    pub fn set(&self, state: LinkState) {
        self.state.store(state as u8, Ordering::SeqCst);
    }

    /// Cuts the gateway off from all servers, or ends that.
    pub fn cut_servers(&self, is_cut: bool) {
        self.servers.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn wait_open(state: &AtomicU8) {
    while state.load(Ordering::SeqCst) == LinkState::Silent as u8 {
        thread::sleep(Duration::from_millis(2));
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, state: &AtomicU8, change: impl Fn(&mut [u8])) {
    let mut buffer = vec![0; 256 * 1_024];
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    loop {
        if state.load(Ordering::SeqCst) == LinkState::Reset as u8 {
            let _ = socket2::SockRef::from(&to).set_linger(Some(Duration::ZERO));
            break;
        }
        let count = match from.read(&mut buffer) {
            Ok(count) => count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        wait_open(state);
        change(&mut buffer[..count]);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

/// Replaces the port in each server's address by that of the gateway's link to it.
fn replace_ports(bytes: &mut [u8], servers: &ServerLinks) {
    const ADDRESS: &[u8] = b"\"addr\":\"127.0.0.1:";
    const DIGITS: usize = 5;
    for begin in 0..bytes.len().saturating_sub(ADDRESS.len() + DIGITS) {
        if bytes[begin..].starts_with(ADDRESS) {
            let begin = begin + ADDRESS.len();
            let old = &mut bytes[begin..begin + DIGITS];
            let port = std::str::from_utf8(old)
                .ok()
                .and_then(|port| port.parse().ok());
            if let Some(port) = port {
                old.copy_from_slice(servers.port(port).to_string().as_bytes());
            }
        }
    }
}

/// Writes `record.txt`, with the seconds since the start before each line.
#[derive(Clone)]
pub struct Record {
    begin: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record {
            begin: Instant::now(),
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record is created"),
            )),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.begin.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {}\n", text.as_ref());
        let mut file = self.file.lock().expect("no writer panics");
        file.write_all(line.as_bytes()).expect("it is written");
    }

    pub fn at(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.begin).as_secs_f64()
    }
}

/// One gateway process.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
    pub link: Link,
    settings: PathBuf,
    log: PathBuf,
    /// The program, from the root of the repository.
    pub program: &'static str,
    pub process: Option<Child>,
}

impl Gateway {
    /// Starts the program as the deploy file does.
    pub fn start(&mut self) {
        let log = File::options()
            .append(true)
            .create(true)
            .open(&self.log)
            .expect("a log file");
        let child = Command::new(root().join(self.program))
            .arg("gateway")
            .env("JACINTHPOINT_CONFIG", &self.settings)
            .current_dir(root())
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a handle"))
            .stderr(log)
            .spawn()
            .expect("the gateway starts");
        self.process = Some(child);
    }

    pub fn signal(&self, name: &str) {
        if let Some(process) = &self.process {
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &process.id().to_string()])
                .status();
        }
    }

    /// Waits until the process has ended; returns whether it did within the timeout.
    pub fn wait_for_end(&mut self, timeout: Duration) -> bool {
        let end = Instant::now() + timeout;
        while let Some(process) = &mut self.process {
            if matches!(process.try_wait(), Ok(Some(_))) {
                self.process = None;
            } else if Instant::now() >= end {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        true
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn is_ready(&self) -> bool {
        get(self.readiness, "/ready").is_some_and(|(status, _)| status == 200)
    }

    pub fn metrics_text(&self) -> String {
        get(self.metrics, "/metrics").map_or(String::new(), |(_, text)| text)
    }
}

fn root() -> PathBuf {
    std::env::current_dir().expect("a folder")
}

/// A small deployment.
pub struct Site {
    pub platform: Platform,
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.signal("CONT");
            gateway.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn free_ports<const N: usize>(address: [u8; 4]) -> [SocketAddr; N] {
    let listeners =
        [(); N].map(|()| TcpListener::bind(SocketAddr::from((address, 0))).expect("a port"));
    listeners.each_ref().map(|l| l.local_addr().expect("bound"))
}

impl Site {
    /// Starts gateways in the given zones, with `engines` engines in each of two fabric domains.
    pub fn start(zones: &[&str], engines: usize, keys: &[&str]) -> Site {
        Site::start_behind(zones, engines, keys, |store| store)
    }

    /// The same, with a front of the store, whose address `front` returns.
    pub fn start_behind(
        zones: &[&str],
        engines: usize,
        keys: &[&str],
        front: impl Fn(SocketAddr) -> SocketAddr,
    ) -> Site {
        Site::start_build(zones, engines, keys, front, PRESENT_BUILD)
    }

    /// The same, with the program of the gateways.
    pub fn start_build(
        zones: &[&str],
        engines: usize,
        keys: &[&str],
        front: impl Fn(SocketAddr) -> SocketAddr,
        program: &'static str,
    ) -> Site {
        let specs = (0..2 * engines).map(|index| EngineSpec {
            id: format!("i-{index}"),
            domain: format!("domain-{}", index / engines.max(1)),
            data_centre: zones[index % zones.len()].to_owned(),
        });
        let platform = Platform::start(specs.collect());
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut site = Site {
            platform,
            gateways: Vec::new(),
            folder,
        };
        site.put_config(keys, &[]);
        let store = front(site.platform.store.address);
        for (index, zone) in zones.iter().enumerate() {
            let pid = std::process::id();
            let address = [
                127,
                1 + (pid % 250) as u8,
                1 + (pid / 250 % 250) as u8,
                1 + index as u8,
            ];
            let [callers, readiness, metrics, peers] = free_ports(address);
            let link = Link::start(store);
            let name = format!("front-{zone}-{}", index + 1);
            // Keys that earlier builds do not know.
            let more = match program == PRESENT_BUILD {
                true => "core_share = 0.25\nlink_mbps = 1000.0\n",
                false => "",
            };
            let settings = format!(
                "[node]\nname = {name}\ndata_centre = {zone}\nfirst_start = true\n\n[listen]\n\
                 callers = {callers}\nreadiness = {readiness}\npeers = {peers}\nmetrics = {metrics}\n\n\
                 [store]\naddress = {}\n\n[limits]\ndescriptors = 4200\n{more}\n[stop]\ngrace_ms = 8000\n\n[repeats]\nratio = 0.2\n\
                 slack = 130\nwindow_ms = 10000\n",
                link.address
            );
            let path = site.folder.join(format!("{name}.ini"));
            fs::write(&path, settings).expect("the settings are written");
            let log = site.folder.join(format!("{name}.log"));
            let mut gateway = Gateway {
                name,
                callers,
                readiness,
                metrics,
                peers,
                link,
                settings: path,
                log,
                program,
                process: None,
            };
            gateway.start();
            site.gateways.push(gateway);
        }
        site.wait("all gateways are ready", 15_000, |site| {
            site.gateways.iter().all(Gateway::is_ready)
        });
        if engines > 0 {
            site.wait("the groups are open", 15_000, |site| {
                site.platform.engines.open_groups().len() >= engines
            });
        }
        site
    }

    /// Waits for a condition; exits with 2 if it is not met in time.
    pub fn wait(&self, what: &str, timeout_ms: u64, is_met: impl Fn(&Site) -> bool) {
        let end = Instant::now() + Duration::from_millis(timeout_ms);
        while !is_met(self) {
            if Instant::now() >= end {
                eprintln!("the case cannot run: {what} does not come about");
                finish(2, self);
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Writes the next configuration, with these keys and more routes: name, kind, service.
    pub fn put_config(&self, keys: &[&str], more: &[Value]) {
        self.put_config_with(keys, "plain", more);
    }

    /// The same, with the service of the route `once`.
    pub fn put_config_with(&self, keys: &[&str], once_service: &str, more: &[Value]) {
        self.put_config_of(keys, once_service, 8_000, more);
    }

    /// The same, with the timeout of the routes.
    pub fn put_config_of(
        &self,
        keys: &[&str],
        once_service: &str,
        timeout_ms: u64,
        more: &[Value],
    ) {
        let route = |name: &str, kind: &str, service: &str| -> Value {
            json!({ "name": name, "host": "model.example", "path_prefix": format!("/{name}/"),
                "kind": kind, "timeout_ms": timeout_ms, "slo_ms": 500, "priority": 1,
                "service": service, "attempts": 2, "public": false, "sticky": kind == "stream",
                "resumable": kind == "stream", "gap_target_ms": 300 })
        };
        let mut routes = vec![
            route("stream", "stream", "engines"),
            route("once", "non_idempotent", once_service),
            route("again", "idempotent", "plain"),
        ];
        routes.extend_from_slice(more);
        self.platform.store.put_config(
            json!(routes),
            json!([Engines::service("engines", 2), PlainService::service("plain"),
                { "name": "desk", "health_path": "/health", "max_conns": 96, "protocol": "h1" }]),
            json!([{ "name": "customer-1", "api_keys": keys, "priority": 1 }]),
            RequestLimits::default(),
        );
    }

    /// Returns the number of the gateway with this name.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.gateways
            .iter()
            .position(|gateway| gateway.name == name)
    }

    /// Returns for each gateway whether it watches another gateway in place of the store.
    pub fn readers(&self) -> BTreeMap<String, f64> {
        let reads = |gateway: &Gateway| {
            let text = gateway.metrics_text();
            let line = text.lines().find(|line| line.contains("store_reads"));
            line.and_then(|line| line.rsplit(' ').next()?.parse().ok())
                .unwrap_or(0.0)
        };
        self.gateways
            .iter()
            .map(|g| (g.name.clone(), reads(g)))
            .collect()
    }
}

/// Ends all processes that the site started, and this one.
pub fn finish(code: i32, site: &Site) -> ! {
    for gateway in &site.gateways {
        gateway.signal("CONT");
        gateway.signal("KILL");
    }
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&site.folder);
    }
    std::process::exit(code);
}

/// Returns whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Answer to a request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 without an answer.
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the answer came to its marked end.
    pub is_whole: bool,
    pub sent_at: Option<Instant>,
    pub elapsed: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim())
    }
}

fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let answer = exchange(address, &text, Duration::from_millis(1_000));
    (answer.status > 0).then_some((answer.status, answer.body))
}

/// Text of a request with this id.
pub fn request_text(id: &str, path: &str, key: &str, deadline_ms: u64) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: model.example\r\nJacinthpoint-Attempt-Id: {id}\r\n\
         Jacinthpoint-Model: model-a\r\nJacinthpoint-Token-Usage: 500,100\r\n\
         Jacinthpoint-Deadline-Ms: {deadline_ms}\r\nApi-Key: {key}\r\nContent-Length: 6\r\n\r\nprompt"
    )
}

/// Sends a request on a connection of its own and reads the answer.
pub fn exchange(address: SocketAddr, text: &str, timeout: Duration) -> Answer {
    let began = Instant::now();
    let mut received = Vec::new();
    let mut answer = Answer {
        sent_at: Some(began),
        ..Answer::default()
    };
    if let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1))
        && stream.write_all(text.as_bytes()).is_ok()
    {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(10)));
        let mut buffer = [0; 16_384];
        while began.elapsed() < timeout {
            match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => received.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
                Err(_) => break,
            }
            parse(&received, &mut answer);
            if answer.is_whole {
                break;
            }
        }
    }
    parse(&received, &mut answer);
    answer.elapsed = began.elapsed();
    answer
}

/// Parses what has been received of an answer.
pub fn parse(received: &[u8], answer: &mut Answer) {
    let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") else {
        return;
    };
    answer.head = String::from_utf8_lossy(&received[..end]).into_owned();
    answer.status = answer
        .head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let rest = &received[end + 4..];
    if let Some(length) = answer
        .header("content-length")
        .and_then(|l| l.parse::<usize>().ok())
    {
        answer.is_whole = rest.len() >= length;
        answer.body = String::from_utf8_lossy(&rest[..rest.len().min(length)]).into_owned();
        return;
    }
    answer.is_whole = rest.ends_with(b"0\r\n\r\n");
    answer.body = String::from_utf8_lossy(rest).into_owned();
}

/// Server of a plain service of its own, which answers each request at once.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// Attempt ids of the requests that it ran.
    pub runs: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Whether it says in its answers that it leaves.
    pub is_leaving: Arc<AtomicBool>,
    /// Time for which it wants no more requests, in ms; it refuses requests unless this is 0.
    pub pause_ms: Arc<AtomicU64>,
    /// Times at which requests arrived, and at which it refused one with a pause.
    pub arrivals: Arc<Mutex<Vec<(String, Instant, bool)>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(id: &str, service: &str) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let server = Server {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            runs: Arc::default(),
            is_leaving: Arc::default(),
            pause_ms: Arc::default(),
            arrivals: Arc::default(),
            connections: Arc::default(),
        };
        let shared = server.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let server = shared.clone();
                if let Ok(stream) = stream.try_clone() {
                    server
                        .connections
                        .lock()
                        .expect("no thread panics")
                        .push(stream);
                }
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Ends all connections, as a crash does.
    pub fn reset_connections(&self) {
        for stream in self.connections.lock().expect("no thread panics").drain(..) {
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Returns the entry of the server in the platform's store, with this start time.
    pub fn entry_born(&self, state: &str, born: u64) -> Value {
        let mut entry = self.entry(state);
        entry["born"] = born.into();
        entry
    }

    /// Returns the entry of the server in the platform's store.
    pub fn entry(&self, state: &str) -> Value {
        json!({ "service": self.service, "addr": self.address.to_string(), "zone": "bne-north",
            "version": "v1", "slots": 26, "state": state, "cold_left_ms": 0, "seq": 1, "born": 1 })
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some((head, _)) = read_request(&mut stream) {
            let id = field(&head, "jacinthpoint-attempt-id").unwrap_or_default();
            let expected = field(&head, "jacinthpoint-target-instance");
            let answer = if expected.is_some_and(|expected| expected != self.id) {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nJacinthpoint-Instance-Id: {}\r\n\
                    Content-Length: 0\r\n\r\n",
                    self.id
                )
            } else if self.pause_ms.load(Ordering::SeqCst) > 0 {
                let pause_s = self.pause_ms.load(Ordering::SeqCst) as f64 / 1_000.0;
                let mut arrivals = self.arrivals.lock().expect("no thread panics");
                arrivals.push((id.clone(), Instant::now(), true));
                format!(
                    "HTTP/1.1 503 Service Unavailable\r\nJacinthpoint-Not-Executed: 1\r\n\
                    Jacinthpoint-Attempt-Id: {id}\r\nRetry-After: {pause_s}\r\n\
                    Content-Length: 0\r\n\r\n"
                )
            } else {
                let mut arrivals = self.arrivals.lock().expect("no thread panics");
                arrivals.push((id.clone(), Instant::now(), false));
                drop(arrivals);
                self.runs
                    .lock()
                    .expect("no thread panics")
                    .push((id.clone(), Instant::now()));
                let leaving = match self.is_leaving.load(Ordering::SeqCst) {
                    true => "Server-Leaving: 1\r\n",
                    false => "",
                };
                format!(
                    "HTTP/1.1 200 OK\r\nJacinthpoint-Attempt-Id: {id}\r\n{leaving}\
                    Jacinthpoint-Server-Seal: seal.{}\r\nContent-Length: 4\r\n\r\ndone",
                    self.id
                )
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Reads a request with a body of known length; `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        if let Some(end) = received.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..end]).into_owned();
            let length: usize = field(&head, "content-length")
                .and_then(|l| l.parse().ok())
                .unwrap_or(0);
            if received.len() >= end + 4 + length {
                return Some((head, received[end + 4..end + 4 + length].to_vec()));
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Returns the value of a header of a request.
pub fn field(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_owned())
}

/// Most items and bytes of one answer to a list: PROTOCOL.md, "about 500 or 1 MB at most".
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// Starts a front of the store that answers lists in pages, as the platform's store does; the project's
/// stand-in has no pages. All other calls are passed on. Returns its address.
pub fn start_paging(store: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            thread::spawn(move || {
                while let Some((head, body)) = read_request(&mut stream) {
                    let Some(answer) = paged_answer(store, &head, &body) else {
                        return;
                    };
                    if stream.write_all(&answer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

type Fields = BTreeMap<String, Box<serde_json::value::RawValue>>;

fn paged_answer(store: SocketAddr, head: &str, body: &[u8]) -> Option<Vec<u8>> {
    let line = head.lines().next()?;
    let target = line
        .strip_prefix("GET ")
        .and_then(|rest| rest.split(' ').next());
    let (path, query) = target.map_or(("", ""), |t| t.split_once('?').unwrap_or((t, "")));
    let is_list = path
        .strip_prefix("/objects/")
        .is_some_and(|kind| !kind.contains('/'))
        && !query.contains("watch=");
    let mut request = format!("{head}\r\n\r\n").into_bytes();
    request.extend_from_slice(body);
    let answer = fetch(store, &request)?;
    let end = answer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let answer_head = String::from_utf8_lossy(&answer[..end]).into_owned();
    if !is_list || !answer_head.starts_with("HTTP/1.1 200") {
        return Some(answer);
    }
    let list: Fields = serde_json::from_slice(&answer[end..]).ok()?;
    let items: Vec<Box<serde_json::value::RawValue>> =
        serde_json::from_str(list.get("items")?.get()).ok()?;
    let name = |item: &serde_json::value::RawValue| -> Option<String> {
        let item: Fields = serde_json::from_str(item.get()).ok()?;
        let metadata: Value = serde_json::from_str(item.get("metadata")?.get()).ok()?;
        metadata["name"].as_str().map(str::to_owned)
    };
    let after = query
        .split('&')
        .find_map(|field| field.strip_prefix("after="));
    let after = after.map(percent_decoded);
    let after = after.as_deref();
    let mut rest: Vec<_> = items
        .iter()
        .filter_map(|item| Some((name(item)?, item)))
        .collect();
    rest.sort_by(|a, b| a.0.cmp(&b.0));
    rest.retain(|(name, _)| after.is_none_or(|after| name.as_str() > after));
    let mut page: Vec<&str> = Vec::new();
    let mut bytes = 0;
    for (_, item) in &rest {
        bytes += item.get().len();
        if !page.is_empty() && (page.len() >= PAGE_ITEMS || bytes > PAGE_BYTES) {
            break;
        }
        page.push(item.get());
    }
    let body = format!(
        "{{\"items\":[{}],\"has_more\":{},\"as_of\":{}}}",
        page.join(","),
        page.len() < rest.len(),
        list.get("as_of")?.get()
    );
    let era = field(&answer_head, "store-era").unwrap_or_else(|| "1".to_owned());
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    Some((head + &body).into_bytes())
}

/// Sends a request to the store and returns its whole answer.
fn fetch(store: SocketAddr, request: &[u8]) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(store).ok()?;
    stream.write_all(request).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(40)))
        .ok()?;
    let mut received = Vec::new();
    let mut buffer = vec![0; 64 * 1_024];
    loop {
        let end = received.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&received[..end]).into_owned();
            let length: usize = field(&head, "content-length")
                .and_then(|l| l.parse().ok())
                .unwrap_or(0);
            if received.len() >= end + 4 + length {
                return Some(received);
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Decodes a value of a query.
fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(if *first == b'+' { b' ' } else { *first });
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
