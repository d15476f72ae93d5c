//! `jacinthpoint demo`: platform, engines and nodes within this process serve sample requests
//! while a group member dies and comes back.

use std::{
    collections::BTreeMap,
    error::Error,
    io,
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_node::{Node, NodeSettings, RepairSettings};
use jacinthpoint_platform::{MemberRole, MemberState, Platform, PlatformMember, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, RecordsObject, key_digest};
use jacinthpoint_standins::{
    Engine, EngineOptions, PlatformOptions, PlatformServer, Registration, RunLog, ServiceOptions,
    ServiceServer, text,
};
use jacinthpoint_types::RequestId;
use serde_json::{Value, json};

use crate::{exit::Exit, logs};

/// Requests sent.
const REQUESTS: usize = 300;
/// Callers at once.
const CALLERS: usize = 8;
/// Every so many requests goes to the plain service and may not run twice.
const SERVICE_EVERY: usize = 5;
/// Tokens of an answer.
const TOKENS: u64 = 24;
/// Nodes.
const NODES: usize = 3;
/// VMs in each fabric domain: a group and a spare VM.
const VMS_PER_DOMAIN: usize = 5;
/// Members of a group.
const GROUP_SIZE: usize = 4;
/// Time for the groups to form.
const START_DEADLINE_MS: u64 = 20_000;
/// Times that a caller comes back after "not run".
const MAX_RETURNS: usize = 30;
/// Callers' keys, by organisation.
const KEYS: [(&str, &str); 3] = [
    ("coralbank", "demo-key-1"),
    ("tongyeong", "demo-key-2"),
    ("harbour", "demo-key-3"),
];

/// Runs the command.
pub fn run() -> Exit {
    logs::init(false, "error");
    match demo() {
        Ok(true) => Exit::Success,
        Ok(false) => Exit::Negative,
        Err(error) => {
            eprintln!("demo: {error}");
            Exit::Negative
        }
    }
}

fn demo() -> Result<bool, Box<dyn Error>> {
    let mut site = Site::start()?;
    println!("demo: {NODES} nodes, {} engines", site.engines.len());
    site.wait_until_ready()?;
    println!("demo: groups serve");
    let tally = site.serve()?;
    let log = site.run_logs();
    let lost = tally.accepted - tally.answered;
    let twice = tally
        .once_only
        .iter()
        .filter(|id| log.get(*id).is_some_and(|runs| *runs > 1));
    let twice = twice.count();
    println!(
        "demo: {} accepted, {} answered, {lost} lost, {twice} run twice",
        tally.accepted, tally.answered
    );
    Ok(tally.accepted == REQUESTS && lost == 0 && twice == 0)
}

#[derive(Debug, Default)]
struct Tally {
    accepted: usize,
    answered: usize,
    once_only: Vec<String>,
}

/// Everything that runs in the demo.
struct Site {
    platform: PlatformServer,
    engines: BTreeMap<String, Engine>,
    service: ServiceServer,
    old_logs: Vec<RunLog>,
    nodes: Vec<Node>,
}

impl Site {
    fn start() -> Result<Site, Box<dyn Error>> {
        let platform = PlatformServer::start(PlatformOptions::new())?;
        let client = Platform::new(platform.address());
        client.update(CONFIG_KIND, CONFIG_NAME, Version(0), &sample_records())?;
        let service = ServiceServer::start(ServiceOptions {
            address: free_port(),
            vm: "portal-1".parse()?,
            service: "enquiries".parse()?,
            call_ms: 5,
            run_log: None,
        })?;
        let mut site = Site {
            platform,
            engines: BTreeMap::new(),
            service,
            old_logs: vec![],
            nodes: vec![],
        };
        site.register(
            "portal-1",
            MemberRole::Service("enquiries".parse()?),
            site.service.address(),
        )?;
        for domain in ["rack-1", "rack-2"] {
            for number in 1..=VMS_PER_DOMAIN {
                site.start_engine(&format!("{domain}-vm-{number}"), domain)?;
            }
        }
        for number in 1..=NODES {
            let node = Node::start(site.node_settings(number)?)?;
            site.register(
                &format!("node-{number}"),
                MemberRole::Entry,
                node.peers_address(),
            )?;
            site.nodes.push(node);
        }
        Ok(site)
    }

    fn node_settings(&self, number: usize) -> Result<NodeSettings, Box<dyn Error>> {
        Ok(NodeSettings {
            name: format!("node-{number}").parse()?,
            data_centre: "bne-north".parse()?,
            listen_callers: free_port(),
            listen_operators: free_port(),
            listen_peers: free_port(),
            advertise_peers: None,
            platform: self.platform.address(),
            seeds: Vec::new(),
            default_deadline_ms: 30_000,
            max_connections: 200,
            read_deadline_ms: 10_000,
            drain_announce_ms: 0,
            drain_deadline_ms: 10_000,
            ledger_batch_ms: 50,
            statsd: None,
            repair: RepairSettings::new(),
        })
    }

    fn start_engine(&mut self, vm: &str, domain: &str) -> Result<(), Box<dyn Error>> {
        let mut options = EngineOptions::new(vm.parse()?);
        let member = member(vm, MemberRole::Engine, domain, free_port())?;
        let registration = Registration {
            member,
            lease_ms: Some(1_000),
        };
        options.registration = Some((self.platform.address(), registration));
        self.engines.insert(vm.to_owned(), Engine::start(options)?);
        Ok(())
    }

    fn register(
        &self,
        vm: &str,
        role: MemberRole,
        address: SocketAddr,
    ) -> Result<(), Box<dyn Error>> {
        let member = member(vm, role, "entry", address)?;
        let registration = Registration {
            member,
            lease_ms: None,
        };
        let url = format!("http://{}/control/register", self.platform.address());
        attohttpc::post(url)
            .json(&registration)?
            .send()?
            .error_for_status()?;
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), Box<dyn Error>> {
        let deadline = Instant::now() + Duration::from_millis(START_DEADLINE_MS);
        while Instant::now() < deadline {
            let ready = self.nodes.iter().all(|node| {
                let url = format!("http://{}/status", node.operators_address());
                let status: Option<Value> = attohttpc::get(url)
                    .send()
                    .ok()
                    .and_then(|answer| answer.json().ok());
                status.is_some_and(|status| status["permits"].as_array().map_or(0, Vec::len) >= 2)
            });
            if ready {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other("the groups did not form in time").into())
    }

    /// Sends all requests; one group member dies after a third and comes back after two thirds.
    fn serve(&mut self) -> Result<Tally, Box<dyn Error>> {
        let addresses: Vec<SocketAddr> = self.nodes.iter().map(Node::callers_address).collect();
        let next = AtomicUsize::new(0);
        let tally = Mutex::new(Tally::default());
        let victim = self.engines.keys().next().cloned().unwrap_or_default();
        thread::scope(|scope| -> Result<(), Box<dyn Error>> {
            for _ in 0..CALLERS {
                scope.spawn(|| {
                    loop {
                        let number = next.fetch_add(1, Ordering::Relaxed);
                        if number >= REQUESTS {
                            return;
                        }
                        let end = call(&addresses, number);
                        let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
                        tally.accepted += usize::from(end.accepted);
                        tally.answered += usize::from(end.answered);
                        tally.once_only.extend(end.once_only);
                    }
                });
            }
            wait_for(&next, REQUESTS / 3);
            println!("demo: {victim} dies");
            if let Some(engine) = self.engines.remove(&victim) {
                self.old_logs.push(engine.run_log().clone());
            }
            wait_for(&next, 2 * REQUESTS / 3);
            println!("demo: {victim} comes back");
            self.start_engine(&victim, "rack-1")
        })?;
        Ok(tally.into_inner().unwrap_or_else(PoisonError::into_inner))
    }

    /// Number of runs by request id, over all upstreams, dead ones included.
    fn run_logs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        let live = self.engines.values().map(Engine::run_log);
        let logs = live.chain(&self.old_logs).chain([self.service.run_log()]);
        for record in logs.flat_map(RunLog::records) {
            *runs.entry(record.request).or_default() += 1;
        }
        runs
    }
}

fn wait_for(next: &AtomicUsize, count: usize) {
    while next.load(Ordering::Relaxed) < count {
        thread::sleep(Duration::from_millis(10));
    }
}

/// A caller's view of one request.
struct CallerView {
    accepted: bool,
    answered: bool,
    once_only: Option<String>,
}

fn call(nodes: &[SocketAddr], number: usize) -> CallerView {
    let mut view = CallerView {
        accepted: false,
        answered: false,
        once_only: None,
    };
    for turn in 0..MAX_RETURNS {
        let request = RequestId::new();
        let node = nodes[(number + turn) % nodes.len()];
        let is_service = number.is_multiple_of(SERVICE_EVERY);
        let prompt = format!("request {number}");
        let sent = send(node, number, request, is_service, &prompt);
        let Ok((outcome, body)) = sent else {
            // The caller cannot know; it counts as accepted and not answered.
            view.accepted = true;
            return view;
        };
        if is_service {
            view.once_only = Some(request.to_string());
        }
        if outcome != "not-run" {
            view.accepted = true;
            view.answered = outcome == "answered" && is_right(&body, is_service, &prompt);
            return view;
        }
        thread::sleep(Duration::from_millis(200));
    }
    view
}

fn send(
    node: SocketAddr,
    number: usize,
    request: RequestId,
    is_service: bool,
    prompt: &str,
) -> Result<(String, Value), attohttpc::Error> {
    let (path, body) = if is_service {
        ("/services/enquiries/send", json!({ "text": prompt }))
    } else {
        let body = json!({ "model": "jp-model", "prompt": prompt, "max_tokens": TOKENS });
        ("/v1/completions", body)
    };
    let key = KEYS[number % KEYS.len()].1;
    let answer = attohttpc::post(format!("http://{node}{path}"))
        .header("authorization", format!("Bearer {key}"))
        .header("x-request-id", request.to_string())
        .json(&body)?
        .send()?;
    let outcome = answer
        .headers()
        .get("x-outcome")
        .and_then(|value| value.to_str().ok());
    let outcome = outcome.unwrap_or_default().to_owned();
    Ok((outcome, answer.json()?))
}

fn is_right(body: &Value, is_service: bool, prompt: &str) -> bool {
    if is_service {
        let echo = body["echo"]
            .as_str()
            .and_then(|echo| serde_json::from_str::<Value>(echo).ok());
        return echo == Some(json!({ "text": prompt }));
    }
    body["choices"][0]["text"] == text::answer("jp-model@v1", prompt, TOKENS)
}

fn sample_records() -> RecordsObject {
    let mut records: Vec<Value> = KEYS
        .iter()
        .map(|(name, key)| {
            let digest = key_digest(key).to_string();
            json!({ "schema": 2, "kind": "organisation", "name": name, "key_sha256": [digest] })
        })
        .collect();
    records.push(json!({
        "schema": 2, "kind": "deployment", "name": "desk", "model": "jp-model", "version": "v1",
        "replicas": 2, "group_size": GROUP_SIZE, "standbys": 1, "fencing": "refuses",
    }));
    records.push(json!({ "schema": 2, "kind": "service", "name": "enquiries" }));
    RecordsObject { records }
}

fn member(
    vm: &str,
    role: MemberRole,
    domain: &str,
    address: SocketAddr,
) -> Result<PlatformMember, Box<dyn Error>> {
    Ok(PlatformMember {
        vm: vm.parse()?,
        incarnation: 1,
        address,
        data_centre: "bne-north".parse()?,
        fabric_domain: domain.parse()?,
        role,
        state: MemberState::Live,
    })
}

fn free_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
