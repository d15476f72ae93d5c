//! Platform, engines, services and nodes as separate processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_platform::{MemberRole, MemberState, Platform, PlatformMember, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, RecordsObject, key_digest};
use jacinthpoint_standins::{Registration, RunRecord};
use serde_json::{Value, json};

use crate::util::{KEYS, Process};

/// Time for the groups of a site to form.
const START_DEADLINE_MS: u64 = 30_000;

/// Size of a site.
#[derive(Clone)]
pub struct SiteOptions {
    pub nodes: usize,
    pub domains: usize,
    pub vms_per_domain: usize,
    pub groups: u16,
    pub group_size: u16,
    pub standbys: u16,
    pub engine_args: Vec<String>,
    /// Added to the settings of each node.
    pub node_settings: String,
}

impl SiteOptions {
    /// Two fabric domains, each with a group of three VMs and one more VM; two nodes.
    pub fn small() -> SiteOptions {
        SiteOptions {
            nodes: 2,
            domains: 2,
            vms_per_domain: 4,
            groups: 2,
            group_size: 3,
            standbys: 1,
            engine_args: Vec::new(),
            node_settings: String::new(),
        }
    }
}

/// An upstream with its process.
pub struct Upstream {
    pub process: Process,
    pub address: SocketAddr,
}

/// A node with its process.
pub struct SiteNode {
    pub process: Process,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// Everything that a test needs.
pub struct Site {
    pub options: SiteOptions,
    pub platform: Process,
    pub platform_address: SocketAddr,
    pub engines: BTreeMap<String, Upstream>,
    pub services: BTreeMap<String, Upstream>,
    pub nodes: Vec<SiteNode>,
    folder: PathBuf,
}

impl Site {
    /// Starts a site and waits until its groups serve.
    pub fn start(options: SiteOptions) -> Site {
        let (platform, platform_address) = Process::standin(&["platform"]);
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
            folder,
        };
        site.write_records(&site.sample_records());
        for domain in 1..=options.domains {
            for vm in 1..=options.vms_per_domain {
                site.start_engine(&format!("rack-{domain}-vm-{vm}"), &format!("rack-{domain}"));
            }
        }
        site.start_service("enquiries-1");
        for number in 1..=options.nodes {
            let node = site.start_node(number);
            site.nodes.push(node);
        }
        site.wait_for_groups(usize::from(options.groups));
        site
    }

    /// Records of two organisations, one deployment and one plain service.
    pub fn sample_records(&self) -> RecordsObject {
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
            "fencing": "refuses",
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

    pub fn start_engine(&mut self, vm: &str, domain: &str) {
        let platform = self.platform_address.to_string();
        let mut args = vec!["engine", "--vm", vm, "--fabric-domain", domain];
        args.extend(["--platform", platform.as_str()]);
        args.extend(self.options.engine_args.iter().map(String::as_str));
        let (process, address) = Process::standin(&args);
        self.engines
            .insert(vm.to_owned(), Upstream { process, address });
    }

    fn start_service(&mut self, vm: &str) {
        let args = ["service", "--vm", vm, "--service", "enquiries"];
        let (process, address) = Process::standin(&args);
        let role = MemberRole::Service("enquiries".parse().expect("a valid name"));
        self.register(vm, role, address);
        self.services
            .insert(vm.to_owned(), Upstream { process, address });
    }

    pub fn start_node(&mut self, number: usize) -> SiteNode {
        let [callers, operators, peers] = free_addresses();
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .map(|node| node.peers.to_string())
            .collect();
        let settings = format!(
            "[node]\nname = node-{number}\ndata_centre = dc-1\n\n[listen]\ncallers = {callers}\n\
             operators = {operators}\npeers = {peers}\n\n[platform]\naddress = {}\n\n\
             [peers]\nseeds = {}\n\n{}",
            self.platform_address,
            seeds.join(", "),
            self.options.node_settings,
        );
        let path = self.folder.join(format!("node-{number}.ini"));
        fs::write(&path, settings).expect("settings are written");
        let path = path.to_str().expect("the path is UTF-8");
        let process = Process::jacinthpoint(&["node", path]);
        self.register(&format!("node-{number}"), MemberRole::Entry, peers);
        SiteNode {
            process,
            callers,
            operators,
            peers,
        }
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

    /// Switches a fault of an engine on.
    pub fn engine_fault(&self, vm: &str, fault: &Value) {
        post_json(self.engines[vm].address, "/control/fault", fault);
    }

    /// Waits until every node may use `count` groups.
    pub fn wait_for_groups(&self, count: usize) {
        wait_until("the groups serve", START_DEADLINE_MS, || {
            self.nodes
                .iter()
                .all(|node| permitted_groups(node.operators).len() == count)
        });
    }

    /// Runs of all upstreams that still run.
    pub fn run_log(&self) -> Vec<RunRecord> {
        let upstreams = self.engines.values().chain(self.services.values());
        upstreams
            .flat_map(|upstream| run_log(upstream.address))
            .collect()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Run log of one upstream.
pub fn run_log(address: SocketAddr) -> Vec<RunRecord> {
    let answer = attohttpc::get(format!("http://{address}/control/runlog")).send();
    answer
        .and_then(|answer| answer.json())
        .expect("an upstream gives its run log")
}

/// Status of a node; null if it does not answer.
pub fn status(operators: SocketAddr) -> Value {
    let answer = attohttpc::get(format!("http://{operators}/status")).send();
    answer.and_then(|answer| answer.json()).unwrap_or_default()
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

fn post_json(address: SocketAddr, path: &str, body: &Value) {
    let answer = attohttpc::post(format!("http://{address}{path}")).json(body);
    let answer = answer.and_then(|request| request.send());
    let status = answer
        .map(|answer| answer.status().as_u16())
        .expect("the stand-in answers");
    assert_eq!(status, 200, "{path}");
}

fn free_addresses() -> [SocketAddr; 3] {
    // All are held until all are found, so that they differ.
    let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("a bound port"))
}
