//! Starts a platform, engines, a plain service and nodes in this process.

use std::{
    collections::BTreeMap,
    error::Error,
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_node::{AdmissionSettings, Node, NodeSettings, RepairSettings};
use jacinthpoint_platform::{MemberRole, MemberState, Platform, PlatformMember, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, RecordsObject, key_digest};
use jacinthpoint_standins::{
    Engine, EngineOptions, PlatformOptions, PlatformServer, Registration, RunLog, ServiceOptions,
    ServiceServer,
};
use serde_json::{Value, json};

use crate::commands::demo::{KEYS, NODES};

/// Number of VMs in each fabric domain: one group and a spare VM.
const VMS_PER_DOMAIN: usize = 5;
/// Number of members of a group.
const GROUP_SIZE: usize = 4;
/// Time after which the demo fails if the groups have not formed.
const START_DEADLINE_MS: u64 = 20_000;

/// Servers of the demo; they stop when dropped.
pub(super) struct Site {
    platform: PlatformServer,
    /// Running engines by the name of their VM.
    pub(super) engines: BTreeMap<String, Engine>,
    service: ServiceServer,
    /// Run logs of engines that were stopped.
    pub(super) stopped_run_logs: Vec<RunLog>,
    pub(super) nodes: Vec<Node>,
}

impl Site {
    /// Starts all servers and puts the sample records in force.
    pub(super) fn start() -> Result<Site, Box<dyn Error>> {
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
            stopped_run_logs: vec![],
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
            request_memory_mb: 32,
            read_deadline_ms: 10_000,
            drain_announce_ms: 0,
            drain_deadline_ms: 10_000,
            ledger_batch_ms: 20,
            statsd: None,
            admission: AdmissionSettings::new(),
            repair: RepairSettings::new(),
        })
    }

    /// Starts an engine, which registers itself with the platform under a lease.
    pub(super) fn start_engine(&mut self, vm: &str, domain: &str) -> Result<(), Box<dyn Error>> {
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

    /// Adds a service or node to the platform's membership list, without a lease.
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

    /// Waits until every node holds permits for both groups.
    pub(super) fn wait_until_ready(&self) -> Result<(), Box<dyn Error>> {
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

    /// Returns the number of runs of each request id over all upstreams, stopped engines included.
    pub(super) fn runs_by_request(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        let running = self.engines.values().map(Engine::run_log);
        let logs = running
            .chain(&self.stopped_run_logs)
            .chain([self.service.run_log()]);
        for record in logs.flat_map(RunLog::records) {
            *runs.entry(record.request).or_default() += 1;
        }
        runs
    }
}

/// Returns the demo's organisations, one deployment of two replica groups and the plain service.
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

/// Returns a loopback address with port 0, for which the system chooses a free port.
fn free_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
