//! Platform, engines, services and nodes as separate processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform::{MemberRole, MemberState, Platform, PlatformMember, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, RecordsObject, key_digest};
use jacinthpoint_standins::{Registration, RunRecord};
use serde_json::{Value, json};

pub use crate::util::site::options::SiteOptions;
use crate::util::{KEYS, Links, Missing, Process, get_json, post_json, read_run_logs};

mod options;
mod upstreams;

/// Time for the groups of a site to form.
const START_DEADLINE_MS: u64 = 30_000;

/// Times that a node is started on other ports.
const START_TRIES: usize = 5;

/// Deadline of requests that name none, within the time for which [`crate::util::Call`] waits, so
/// that a caller is told an outcome even when an upstream never answers.
const DEADLINE_MS: u64 = 20_000;

/// An upstream with its process.
pub struct Upstream {
    pub process: Process,
    /// Where it listens itself, past any proxy.
    pub address: SocketAddr,
    /// Its fabric domain.
    pub domain: String,
    route: Option<SocketAddr>,
}

/// A node with its process.
pub struct SiteNode {
    pub process: Process,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    /// Where other nodes reach it.
    pub peers: SocketAddr,
    settings: PathBuf,
    http_proxy: Option<SocketAddr>,
}

/// Everything that a test needs.
pub struct Site {
    pub options: SiteOptions,
    pub platform: Process,
    pub platform_address: SocketAddr,
    pub engines: BTreeMap<String, Upstream>,
    pub services: BTreeMap<String, Upstream>,
    pub nodes: Vec<SiteNode>,
    links: Option<Links>,
    missing: Mutex<Vec<Missing>>,
    folder: PathBuf,
}

impl Site {
    /// Starts a site and waits until its groups serve.
    pub fn start(options: SiteOptions) -> Site {
        let lag_ms = options.membership_lag_ms.to_string();
        let (platform, platform_address) = Process::standin(&["platform", "--lag-ms", &lag_ms]);
        let name = format!("jacinthpoint-test-{}", platform_address.port());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a folder for settings");
        let mut site = Site {
            options: options.clone(),
            platform,
            platform_address,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            nodes: Vec::new(),
            links: options.proxy_seed.map(Links::start),
            missing: Mutex::default(),
            folder,
        };
        site.write_records(&site.sample_records());
        for domain in 1..=options.domains {
            for vm in 1..=options.vms_per_domain {
                site.start_engine(&format!("rack-{domain}-vm-{vm}"), &format!("rack-{domain}"));
            }
        }
        for number in 1..=options.servers {
            site.start_service(&format!("enquiries-{number}"));
        }
        for number in 1..=options.nodes {
            let node = site.start_node(number);
            site.nodes.push(node);
        }
        site.wait_for_groups(usize::from(options.groups));
        site
    }

    /// Records of two organisations, one deployment and one plain service.
    pub fn sample_records(&self) -> RecordsObject {
        let args = &self.options.engine_args;
        let is_ignored = args.iter().any(|arg| arg == "--ignore-fencing");
        let fencing = if is_ignored { "ignores" } else { "refuses" };
        let mut records: Vec<Value> = KEYS
            .iter()
            .map(|(name, key)| {
                let digest = key_digest(key).to_string();
                json!({
                    "schema": 2, "kind": "organisation", "name": name, "key_sha256": [digest],
                    "max_priority": "critical",
                })
            })
            .collect();
        records.push(json!({
            "schema": 2, "kind": "deployment", "name": "desk", "model": "jp-model",
            "version": "v1", "replicas": self.options.groups,
            "group_size": self.options.group_size, "standbys": self.options.standbys,
            "fencing": fencing,
        }));
        records.push(json!({ "schema": 2, "kind": "service", "name": "enquiries" }));
        RecordsObject { records }
    }

    /// Writes records over whatever is there.
    pub fn write_records(&self, records: &RecordsObject) -> Version {
        let client = self.platform_client();
        let current = client
            .get(CONFIG_KIND, CONFIG_NAME)
            .expect("the platform answers");
        let version = current.map_or(Version(0), |object| object.version);
        client
            .update(CONFIG_KIND, CONFIG_NAME, version, records)
            .expect("the platform accepts")
    }

    pub fn platform_client(&self) -> Platform {
        Platform::new(self.platform_address)
    }

    /// The fault proxy.
    pub fn links(&self) -> &Links {
        self.links.as_ref().expect("the site has a fault proxy")
    }

    /// A route to a party through the proxy, if there is one.
    fn route_to(
        &self,
        to: &str,
        transport: &str,
        target: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let links = self.links.as_ref()?;
        Some(links.route(None, to, transport, target))
    }

    /// Where one party reaches the platform.
    fn platform_seen_by(&self, party: &str) -> SocketAddr {
        let target = Some(self.platform_address);
        self.links.as_ref().map_or(self.platform_address, |links| {
            links.route(Some(party), "platform", "tcp", target)
        })
    }

    /// Starts a node, on other ports if another process took one of the free ones meanwhile.
    pub fn start_node(&mut self, number: usize) -> SiteNode {
        let started = (0..START_TRIES).find_map(|_| self.try_start_node(number));
        let node = started.expect("a node starts");
        self.register(&format!("node-{number}"), MemberRole::Entry, node.peers);
        node
    }

    fn try_start_node(&self, number: usize) -> Option<SiteNode> {
        let (held, [callers, operators, peers]) = hold_free_addresses();
        let name = format!("node-{number}");
        let advertise = self.route_to(&name, "tcp-and-udp", Some(peers));
        let path = self.folder.join(format!("{name}.ini"));
        let listen = [callers, operators, peers];
        fs::write(&path, self.node_settings(&name, listen, advertise)).expect("a file is written");
        let http_proxy = self.links.as_ref().map(|links| {
            links.name_sender(&name, peers);
            links.http_proxy(&name)
        });
        // Until here, so that no route gets one of the ports.
        drop(held);
        let process = run_node(&path, http_proxy);
        process.has_started().then(|| SiteNode {
            process,
            callers: self
                .route_to(&name, "tcp", Some(callers))
                .unwrap_or(callers),
            operators,
            peers: advertise.unwrap_or(peers),
            settings: path,
            http_proxy,
        })
    }

    fn node_settings(
        &self,
        name: &str,
        [callers, operators, peers]: [SocketAddr; 3],
        advertise: Option<SocketAddr>,
    ) -> String {
        let advertise_line = advertise.map_or(String::new(), |address| {
            format!("advertise_peers = {address}\n")
        });
        let seeds = self.nodes.iter().map(|node| node.peers.to_string());
        let seeds: Vec<String> = seeds.collect();
        format!(
            "[node]\nname = {name}\ndata_centre = dc-1\n\n[listen]\ncallers = {callers}\n\
             operators = {operators}\npeers = {peers}\n{advertise_line}\n[platform]\n\
             address = {}\n\n[peers]\nseeds = {}\n\n\
             [limits]\ndefault_deadline_ms = {DEADLINE_MS}\n\n{}",
            self.platform_seen_by(name),
            seeds.join(", "),
            self.options.node_settings,
        )
    }

    /// Kills a node and starts it again on its addresses.
    pub fn restart_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.process.signal("KILL");
        assert!(node.process.wait(10_000).is_some(), "the node is dead");
        node.process = run_node(&node.settings, node.http_proxy);
    }

    /// Where callers reach the nodes.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.callers).collect()
    }

    fn register(&self, vm: &str, role: MemberRole, address: SocketAddr) {
        let member = PlatformMember {
            vm: vm.parse().expect("a valid name"),
            incarnation: 1,
            address,
            data_centre: "dc-1".parse().expect("a valid name"),
            fabric_domain: "entry".parse().expect("a valid name"),
            role,
            state: MemberState::Live,
        };
        self.control(
            "register",
            &json!(Registration {
                member,
                lease_ms: None
            }),
        );
    }

    /// Posts to a control path of the platform.
    pub fn control(&self, path: &str, body: &Value) {
        post_json(self.platform_address, &format!("/control/{path}"), body);
    }

    /// Switches a fault of the platform on.
    pub fn platform_fault(&self, fault: &Value) {
        self.control("fault", fault);
    }

    /// Waits until every node may use `count` groups.
    pub fn wait_for_groups(&self, count: usize) {
        wait_until("the groups serve", START_DEADLINE_MS, || {
            self.nodes
                .iter()
                .all(|node| permitted_groups(node.operators).len() == count)
        });
    }

    /// Runs of all upstreams, those of dead ones included.
    pub fn run_log(&self) -> Vec<RunRecord> {
        read_run_logs(&self.folder)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn run_node(settings: &std::path::Path, http_proxy: Option<SocketAddr>) -> Process {
    let settings = settings.to_str().expect("the path is UTF-8");
    Process::jacinthpoint(http_proxy, &["node", settings])
}

/// Status of a node; null if it does not answer.
pub fn status(operators: SocketAddr) -> Value {
    get_json(operators, "/status")
}

/// Members of each group that a node may use.
pub fn permitted_groups(operators: SocketAddr) -> Vec<BTreeSet<String>> {
    let status = status(operators);
    let permits = status["permits"].as_array().cloned().unwrap_or_default();
    let members = permits.into_iter().map(|permit| {
        let members = permit["members"].as_array().cloned().unwrap_or_default();
        members
            .iter()
            .filter_map(|vm| vm.as_str().map(str::to_owned))
            .collect()
    });
    members.collect()
}

/// Waits until `condition` holds, and fails the test if it does not in time.
pub fn wait_until(what: &str, timeout_ms: u64, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_millis(timeout_ms);
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Returns free addresses, and the sockets that hold them.
fn hold_free_addresses() -> (Vec<[TcpListener; 3]>, [SocketAddr; 3]) {
    // All are held until all are found, so that they differ. Peers need theirs for UDP as well.
    let mut held = Vec::new();
    loop {
        let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
        let addresses = listeners
            .each_ref()
            .map(|listener| listener.local_addr().expect("a bound port"));
        held.push(listeners);
        if UdpSocket::bind(addresses[2]).is_ok() {
            return (held, addresses);
        }
    }
}
