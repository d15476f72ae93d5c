//! Machines are removed for good and replaced by others, many times; then all processes are killed once.

use std::{
    collections::VecDeque,
    net::{SocketAddr, TcpStream},
    path::Path,
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform_standins::{PlainService, Platform, RequestLimits};
use serde_json::json;
use socket2::{Domain, Socket, Type};

use crate::{
    CaseResult,
    caller::{HOST, KEY, send},
    gateway::{Folder, Machine, PEERS_PORT, loopback},
    record::Record,
};

/// Machines that are removed and replaced.
const REPLACED: usize = 900;
/// Machines that start at a time.
const AT_ONCE: usize = 12;
/// Machines that stay.
const LASTING: usize = 10;
/// `recovery_s` of the sheet.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time for which requests are counted after that.
const COUNTED: Duration = Duration::from_secs(10);
const INTERVAL: Duration = Duration::from_millis(50);

/// The address of a machine without power: it answers nothing.
struct SilentAddress {
    _listener: Socket,
    _only_connection: TcpStream,
}

impl SilentAddress {
    /// Takes an address whose process has ended. Its queue of new connections is full from then on, so the
    /// operating system drops each further attempt.
    fn take(address: SocketAddr) -> std::io::Result<SilentAddress> {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        listener.set_reuse_address(true)?;
        listener.bind(&address.into())?;
        listener.listen(0)?;
        Ok(SilentAddress {
            _listener: listener,
            _only_connection: TcpStream::connect(address)?,
        })
    }
}

fn request(number: usize) -> String {
    format!(
        "GET /first/{number} HTTP/1.1\r\nHost: {HOST}\r\nJacinthpoint-Attempt-Id: {number:016x}\r\n\
         Api-Key: {KEY}\r\nJacinthpoint-Deadline-Ms: 2500\r\n\r\n"
    )
}

/// Sends requests for `time`; returns how many were served, and how many there were.
fn count_served(
    machines: &[Machine],
    first: usize,
    time: Duration,
    record: &mut Record,
) -> (u32, u32) {
    let until = Instant::now() + time;
    let (mut served, mut all) = (0, 0);
    for number in first.. {
        if Instant::now() >= until {
            break;
        }
        let machine = &machines[number % machines.len()];
        let answer = send(
            machine.callers(),
            &request(number),
            Duration::from_millis(2_500),
        );
        let text = format!(
            "request {number:016x} to {} answered {}, whole {}",
            machine.name, answer.status, answer.is_whole
        );
        record.line_at(answer.sent_at, &text);
        served += u32::from(answer.is_served());
        all += 1;
        thread::sleep(INTERVAL);
    }
    (served, all)
}

/// Adds machines one after the other and removes each for good once it has registered itself. Returns their
/// addresses, which answer nothing from then on.
fn replace_machines(
    folder: &Folder,
    platform: &Platform,
    program: &Path,
) -> Result<Vec<SilentAddress>, String> {
    let mut silent = Vec::new();
    let mut running: VecDeque<Machine> = VecDeque::new();
    for index in 0..REPLACED {
        let ip = loopback(2 + index / 200, 1 + index % 200);
        let name = format!("front-z1-{}", LASTING + 1 + index);
        let mut machine = Machine::new(folder, &name, ip, platform.store.address, false)?;
        machine.start(program)?;
        running.push_back(machine);
        while running.len() >= AT_ONCE || (index + 1 == REPLACED && !running.is_empty()) {
            let mut machine = running.pop_front().expect("it is not empty");
            let until = Instant::now() + Duration::from_secs(5);
            while platform
                .store
                .get_content("gateways", &machine.name)
                .is_none()
            {
                if Instant::now() > until {
                    return Err(format!("{} does not register", machine.name));
                }
                thread::sleep(Duration::from_millis(2));
            }
            machine.kill();
            let address = SocketAddr::from((machine.ip, PEERS_PORT));
            silent.push(SilentAddress::take(address).map_err(|error| error.to_string())?);
        }
    }
    Ok(silent)
}

/// Runs the case.
pub fn run(program: &Path, has_trouble: bool, record: &mut Record) -> CaseResult {
    let platform = Platform::start(Vec::new());
    platform.store.put_config(
        json!([{ "name": "r-1", "host": HOST, "path_prefix": "/first/", "kind": "idempotent",
            "timeout_ms": 2500, "slo_ms": 150, "priority": 1, "service": "plain", "attempts": 2,
            "public": false }]),
        json!([PlainService::service("plain")]),
        json!([{ "name": "hule930", "api_keys": [KEY], "priority": 1 }]),
        RequestLimits::default(),
    );
    let folder = Folder::new()?;
    let mut machines = Vec::new();
    for index in 0..LASTING {
        let ip = loopback(1, 1 + index);
        let name = format!("front-z1-{}", index + 1);
        let mut machine = Machine::new(&folder, &name, ip, platform.store.address, true)?;
        machine.start(program)?;
        machines.push(machine);
    }
    let limit = Duration::from_secs(15);
    if !machines
        .iter()
        .all(|machine| machine.wait_until_ready(limit))
    {
        return Err("a gateway is not ready".to_owned());
    }
    record.line("the machines that stay are ready");
    let mut silent = Vec::new();
    if has_trouble {
        silent = replace_machines(&folder, &platform, program)?;
    }
    let text = format!(
        "{} machines were removed for good and replaced",
        silent.len()
    );
    record.line(&text);
    println!("{text}");
    let before = count_served(&machines, 0, Duration::from_secs(5), record);
    machines.iter_mut().for_each(Machine::kill);
    // As the sheets' days have it.
    thread::sleep(Duration::from_millis(1_300));
    for machine in &mut machines {
        machine.write_settings(false)?;
        machine.start(program)?;
    }
    record
        .line("all processes were killed, and those of the machines that stay have started again");
    thread::sleep(RECOVERY);
    for machine in &machines {
        record.line(&format!(
            "{} answers /ready with {}",
            machine.name,
            machine.readiness()
        ));
    }
    let after = count_served(&machines, 1_000, COUNTED, record);
    for machine in &machines {
        record.line(&format!(
            "{} answers /ready with {}",
            machine.name,
            machine.readiness()
        ));
    }
    for run in platform.runs.all() {
        record.line_at(run.at, &format!("{} runs {}", run.upstream, run.attempt_id));
    }
    let text = format!(
        "served before the final fault: {} of {}; from {} s after the machines are back: {} of {}",
        before.0,
        before.1,
        RECOVERY.as_secs(),
        after.0,
        after.1
    );
    record.line(&text);
    println!("{text}");
    if 4 * before.0 < before.1 || before.1 < 20 || after.1 < 4 {
        return Err("too little was served for a comparison".to_owned());
    }
    Ok(4 * after.0 >= after.1)
}
