//! Cost of at-most-once records: added time and platform writes, against the batch period and
//! against one platform write for each request.
//!
//! Platform, service and nodes run within this process; the platform takes a stated time to
//! answer. Load is open: requests are due at even times, and a request that starts late counts
//! from when it was due.

use std::{
    error::Error,
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use gumdrop::Options;
use jacinthpoint_node::{Node, parse_settings};
use jacinthpoint_platform::{MemberRole, MemberState, Platform, PlatformMember, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, RecordsObject, key_digest};
use jacinthpoint_standins::{
    PlatformFault, PlatformOptions, PlatformServer, Registration, ServiceOptions, ServiceServer,
};
use jacinthpoint_types::IdempotencyKey;
use serde_json::{Value, json};

/// Caller threads; enough that none of the measured rates waits for one.
const CALLERS: u64 = 96;
/// Time for the nodes to learn of each other, of the configuration and of the service.
const SETTLE_MS: u64 = 4_000;
/// Longest time of the platform's calls that a run may wait for after its last request.
const QUIET_MS: u64 = 300;
const KEY: &str = "bench-key";

/// Options of `ledger-bench`.
#[derive(Debug, Options)]
pub struct LedgerBenchArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "nodes", default = "3", no_short)]
    nodes: usize,
    #[options(
        help = "time that the platform takes to answer, in ms",
        default = "4",
        no_short
    )]
    platform_ms: u64,
    #[options(help = "time of one run in s", default = "5", no_short)]
    run_s: u64,
}

/// How requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Without a key.
    Unkeyed,
    /// With a key.
    Keyed,
    /// Without a key, after one conditional update of the caller's own object.
    WriteEach,
}

/// Runs all measurements and prints a table.
pub fn run(args: &LedgerBenchArgs) -> Result<(), Box<dyn Error>> {
    println!(
        "nodes {}, platform {} ms, {} s a run",
        args.nodes, args.platform_ms, args.run_s
    );
    println!(
        "mode        batch_ms  rate/s  p50_ms  p95_ms  p99_ms  writes/s  reads/s  not_answered"
    );
    for rate in [10, 100, 1_000] {
        measure(args, Mode::Unkeyed, 50, rate)?;
        measure(args, Mode::WriteEach, 50, rate)?;
        for batch_ms in [1, 10, 20, 50, 100] {
            measure(args, Mode::Keyed, batch_ms, rate)?;
        }
    }
    Ok(())
}

fn measure(
    args: &LedgerBenchArgs,
    mode: Mode,
    batch_ms: u64,
    rate: u64,
) -> Result<(), Box<dyn Error>> {
    let site = Site::start(args, batch_ms)?;
    let before = site.calls()?;
    let (mut times_ms, failed) = site.send(mode, rate, args.run_s);
    thread::sleep(Duration::from_millis(QUIET_MS));
    let after = site.calls()?;
    times_ms.sort_by(f64::total_cmp);
    let quantile = |q: f64| {
        let index = (times_ms.len() as f64 * q) as usize;
        times_ms.get(index).copied().unwrap_or(f64::NAN)
    };
    let per_s = |kind: &str| {
        let count = after[kind].as_u64().unwrap_or(0) - before[kind].as_u64().unwrap_or(0);
        count as f64 / args.run_s as f64
    };
    println!(
        "{:10}  {batch_ms:8}  {rate:6}  {:6.1}  {:6.1}  {:6.1}  {:8.1}  {:7.1}  {failed:12}",
        format!("{mode:?}"),
        quantile(0.5),
        quantile(0.95),
        quantile(0.99),
        per_s("writes"),
        per_s("reads"),
    );
    Ok(())
}

struct Site {
    platform: PlatformServer,
    _service: ServiceServer,
    nodes: Vec<Node>,
}

impl Site {
    fn start(args: &LedgerBenchArgs, batch_ms: u64) -> Result<Site, Box<dyn Error>> {
        let mut options = PlatformOptions::new();
        // The measured rates are above the platform's; the table shows by how much.
        options.max_reads_per_s = u64::MAX;
        options.max_writes_per_s = u64::MAX;
        let platform = PlatformServer::start(options)?;
        Platform::new(platform.address()).update(
            CONFIG_KIND,
            CONFIG_NAME,
            Version(0),
            &records(),
        )?;
        let service = ServiceServer::start(ServiceOptions {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            vm: "portal-1".parse()?,
            service: "enquiries".parse()?,
            call_ms: 0,
            run_log: None,
        })?;
        let role = MemberRole::Service("enquiries".parse()?);
        register(platform.address(), "portal-1", role, service.address())?;
        let mut nodes = Vec::new();
        for number in 1..=args.nodes {
            let node = start_node(number, platform.address(), batch_ms)?;
            let name = format!("node-{number}");
            register(
                platform.address(),
                &name,
                MemberRole::Entry,
                node.peers_address(),
            )?;
            nodes.push(node);
        }
        let site = Site {
            platform,
            _service: service,
            nodes,
        };
        thread::sleep(Duration::from_millis(SETTLE_MS));
        let fault = PlatformFault::Slow {
            delay_ms: args.platform_ms,
        };
        post(site.platform.address(), "fault", &json!(fault))?;
        Ok(site)
    }

    fn calls(&self) -> Result<Value, Box<dyn Error>> {
        let url = format!("http://{}/control/calls", self.platform.address());
        Ok(attohttpc::get(url).send()?.json()?)
    }

    /// Times of answered requests in ms, and the number of the others.
    fn send(&self, mode: Mode, rate: u64, run_s: u64) -> (Vec<f64>, u64) {
        let next = AtomicU64::new(0);
        let failed = AtomicU64::new(0);
        let times_ms = Mutex::new(Vec::new());
        let platform = Platform::new(self.platform.address());
        let start = Instant::now();
        thread::scope(|scope| {
            for _ in 0..CALLERS.min(rate) {
                scope.spawn(|| {
                    loop {
                        let number = next.fetch_add(1, Ordering::Relaxed);
                        if number >= rate * run_s {
                            return;
                        }
                        let due = start + Duration::from_micros(number * 1_000_000 / rate);
                        thread::sleep(due.saturating_duration_since(Instant::now()));
                        let node = &self.nodes[number as usize % self.nodes.len()];
                        match send_one(&platform, node.callers_address(), mode, number) {
                            Ok(true) => times_ms
                                .lock()
                                .unwrap_or_else(PoisonError::into_inner)
                                .push(due.elapsed().as_secs_f64() * 1_000.0),
                            Ok(false) | Err(_) => {
                                failed.fetch_add(1, Ordering::Relaxed);
                            }
                        }
                    }
                });
            }
        });
        let times_ms = times_ms
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        (times_ms, failed.into_inner())
    }
}

/// Sends one call and reads its head; whether it was answered.
fn send_one(
    platform: &Platform,
    node: SocketAddr,
    mode: Mode,
    number: u64,
) -> Result<bool, Box<dyn Error>> {
    let key = IdempotencyKey::new();
    if mode == Mode::WriteEach {
        let record = json!({ "key": key, "number": number });
        platform.update("baseline", &key.to_string(), Version(0), &record)?;
    }
    let key_line = match mode {
        Mode::Keyed => format!("idempotency-key: {key}\r\n"),
        Mode::Unkeyed | Mode::WriteEach => String::new(),
    };
    let body = json!({ "enquiry": number }).to_string();
    let mut stream = TcpStream::connect(node)?;
    stream.set_nodelay(true)?;
    let request = format!(
        "POST /services/enquiries/send HTTP/1.1\r\nhost: node\r\nauthorization: Bearer {KEY}\r\n{key_line}\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes())?;
    let lines = BufReader::new(stream).lines();
    let mut head = lines
        .map_while(Result::ok)
        .take_while(|line| !line.is_empty());
    Ok(head.any(|line| line == "x-outcome: answered"))
}

fn start_node(number: usize, platform: SocketAddr, batch_ms: u64) -> Result<Node, Box<dyn Error>> {
    let [callers, operators, peers] = free_addresses()?;
    let text = format!(
        "[node]\nname = node-{number}\ndata_centre = dc-1\n[listen]\ncallers = {callers}\n\
         operators = {operators}\npeers = {peers}\n[platform]\naddress = {platform}\n\
         [ledger]\nbatch_ms = {batch_ms}\n"
    );
    let settings = parse_settings(&text).map_err(|errors| format!("{errors:?}"))?;
    Ok(Node::start(settings)?)
}

fn free_addresses() -> std::io::Result<[SocketAddr; 3]> {
    // All are held until all are found, so that they differ.
    let bind = || TcpListener::bind("127.0.0.1:0");
    let listeners = [bind()?, bind()?, bind()?];
    let [a, b, c] = &listeners;
    Ok([a.local_addr()?, b.local_addr()?, c.local_addr()?])
}

fn records() -> RecordsObject {
    let digest = key_digest(KEY).to_string();
    let organisation =
        json!({ "schema": 2, "kind": "organisation", "name": "bench", "key_sha256": [digest] });
    let service = json!({ "schema": 2, "kind": "service", "name": "enquiries" });
    RecordsObject {
        records: vec![organisation, service],
    }
}

fn register(
    platform: SocketAddr,
    vm: &str,
    role: MemberRole,
    address: SocketAddr,
) -> Result<(), Box<dyn Error>> {
    let member = PlatformMember {
        vm: vm.parse()?,
        incarnation: 1,
        address,
        data_centre: "dc-1".parse()?,
        fabric_domain: "entry".parse()?,
        role,
        state: MemberState::Live,
    };
    let registration = Registration {
        member,
        lease_ms: None,
    };
    post(platform, "register", &json!(registration))
}

fn post(platform: SocketAddr, path: &str, body: &Value) -> Result<(), Box<dyn Error>> {
    let url = format!("http://{platform}/control/{path}");
    attohttpc::post(url)
        .json(body)?
        .send()?
        .error_for_status()?;
    Ok(())
}
