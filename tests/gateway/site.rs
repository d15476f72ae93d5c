//! Environment of one gateway test: stand-ins of the platform and gateway processes.
//!
//! `Site` starts them, starts and stops single gateways, and waits for states of the system.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use jacinthpoint_adapter::paths;
use jacinthpoint_platform_standins::{EngineSpec, Engines, PlainService, Platform, RequestLimits};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

use crate::{
    gateway::store_view::StoreView,
    util::{Folder, Links, Process, get_status},
};

/// API key in the configuration with which a site starts.
pub const KEY: &str = "key-1";
/// API key that only later configurations contain.
pub const OTHER_KEY: &str = "key-2";
/// Name of the store on the fault proxy.
pub const STORE: &str = "store";
/// Number of members of a group.
const GROUP_SIZE: usize = 2;
/// Number of fabric domains.
const DOMAINS: usize = 2;
/// Timeout of all routes, unless a test sets another one.
pub const ROUTE_TIMEOUT_MS: u64 = 8_000;
/// Time within which gateways must be ready, groups open and requests running.
const WAIT_LIMIT_MS: u64 = 15_000;

/// Number of gateways and engines of a site.
#[derive(Debug, Clone, Copy)]
pub struct SiteSize {
    pub gateways: usize,
    /// Number of data centres, one or two. Gateways are spread over them one by one, engines by their
    /// fabric domain.
    pub data_centres: usize,
    /// Number of engines in each of the two fabric domains.
    pub engines_per_domain: usize,
}

impl SiteSize {
    /// Returns the size of most tests: one data centre with two groups in each fabric domain.
    pub const fn of(gateways: usize) -> SiteSize {
        SiteSize {
            gateways,
            data_centres: 1,
            engines_per_domain: 4,
        }
    }

    /// Returns the number of groups that the engines form.
    pub fn groups(&self) -> usize {
        DOMAINS * self.engines_per_domain / GROUP_SIZE
    }

    /// Returns the name of the data centre of the gateway or fabric domain with this index.
    fn data_centre(&self, index: usize) -> String {
        format!("dc-{}", 1 + index % self.data_centres)
    }
}

/// One gateway: its process, addresses and settings file.
struct GatewayProcess {
    /// `None` before the first start and after a kill.
    process: Option<Process>,
    /// Number of times the gateway has been started.
    incarnation: usize,
    callers: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    #[allow(dead_code, reason = "used by the crowds only")]
    peers: SocketAddr,
    /// Path of the settings file.
    settings_path: String,
}

/// Retry budget of gateways, unless a test sets its own.
const DEFAULT_REPEATS: &str = "[repeats]\nratio = 0.2\nslack = 130\n";

/// How gateways reach the store.
#[derive(Clone, Copy)]
enum StoreAccess<'a> {
    Direct,
    /// Each through a view of its own.
    Views,
    /// All through the proxy that this function starts.
    Proxy(&'a dyn Fn(SocketAddr) -> SocketAddr),
}

/// Stand-ins of the platform and gateways of one test.
pub struct Site {
    pub platform: Platform,
    /// Fault proxy between the gateways and the store and engines, if the site has one.
    links: Option<Arc<Links>>,
    /// The store as each gateway sees it, if the site has these.
    store_views: Vec<StoreView>,
    gateways: Vec<GatewayProcess>,
    folder: Folder,
}

/// Returns the name of a gateway in its settings and on the fault proxy.
pub fn gateway_name(index: usize) -> String {
    format!("gateway-{index}")
}

/// Returns a loopback address that no other gateway of the tests has. A port that was free there stays
/// so, while one at 127.0.0.1 may be given to a connection or to another test.
fn own_loopback_address() -> Ipv4Addr {
    static GATEWAYS: AtomicU32 = AtomicU32::new(0);
    let number = GATEWAYS.fetch_add(1, Ordering::Relaxed);
    let octet = |number: u32| u8::try_from(1 + number % 250).expect("it is below 251");
    Ipv4Addr::new(
        127,
        octet(std::process::id()),
        octet(number / 250),
        octet(number),
    )
}

/// Returns free ports at an address of [`own_loopback_address`], all different.
///
/// The sockets that find them do not listen, and share their ports: a process that another test starts
/// at this moment has copies of them for a while, and a gateway must be able to bind the ports meanwhile.
fn free_addresses<const COUNT: usize>(address: Ipv4Addr) -> [SocketAddr; COUNT] {
    let sockets = [(); COUNT].map(|()| {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is available");
        let any_port = SocketAddr::from((address, 0));
        socket.set_reuse_address(true).expect("it can be set");
        socket
            .bind(&any_port.into())
            .expect("a loopback port is free");
        socket
    });
    sockets.each_ref().map(|socket| {
        let bound = socket.local_addr().expect("it is bound");
        bound.as_socket().expect("it is an IP address")
    })
}

impl Site {
    /// Starts stand-ins and gateways and waits until the gateways are ready and all groups open.
    pub fn start(gateways: usize) -> Site {
        Site::start_with(SiteSize::of(gateways), None, StoreAccess::Direct, "")
    }

    /// Like [`Site::start`], with more lines in the settings file of each gateway.
    pub fn start_with_settings(gateways: usize, more_settings: &str) -> Site {
        Site::start_with(
            SiteSize::of(gateways),
            None,
            StoreAccess::Direct,
            more_settings,
        )
    }

    /// Like [`Site::start`], with this size and more lines in the settings file of each gateway.
    pub fn start_of_size(size: SiteSize, more_settings: &str) -> Site {
        Site::start_with(size, None, StoreAccess::Direct, more_settings)
    }

    /// Like [`Site::start`], with a fault proxy between the gateways and the store and engines. On
    /// the proxy, gateways are named by [`gateway_name`], the store [`STORE`], and engines by their
    /// id.
    pub fn start_behind_links(size: SiteSize, seed: u64) -> Site {
        let links = Some(Arc::new(Links::start(seed)));
        Site::start_with(size, links, StoreAccess::Direct, "")
    }

    /// Like [`Site::start`], but each gateway can be partitioned from all upstreams. Each is in a data
    /// centre of its own, so that none reads the store through another one.
    pub fn start_with_store_views(gateways: usize) -> Site {
        Site::start_with(SiteSize::of(gateways), None, StoreAccess::Views, "")
    }

    /// Like [`Site::start`], but the gateways reach the store at the address that `start_proxy` returns for
    /// the store's.
    pub fn start_behind_store_proxy(
        gateways: usize,
        start_proxy: &dyn Fn(SocketAddr) -> SocketAddr,
    ) -> Site {
        Site::start_with(
            SiteSize::of(gateways),
            None,
            StoreAccess::Proxy(start_proxy),
            "",
        )
    }

    /// Partitions a gateway from all upstreams, or ends that: new connections are refused while open ones
    /// live on.
    pub fn partition_from_upstreams(&self, index: usize, is_partitioned: bool) {
        self.store_views[index].partition(is_partitioned);
        // Makes the gateways read the entries again.
        let store = &self.platform.store;
        let plain = PlainService::ID.to_owned();
        for id in self.platform.engines.ids().into_iter().chain([plain]) {
            let entry = store.get_content(paths::UPSTREAM_KIND, &id);
            store.put(paths::UPSTREAM_KIND, &id, entry.expect("it is registered"));
        }
    }

    /// Holds the store's answers to a gateway back, or ends that.
    pub fn silence_store(&self, index: usize, is_silent: bool) {
        self.store_views[index].silence(is_silent);
    }

    /// Returns the name of the gateway that holds the lease; `None` if it is free.
    pub fn lease_holder(&self) -> Option<String> {
        let lease = self.platform.store.get_content("leases", "groups")?;
        lease["holder"].as_str().map(str::to_owned)
    }

    /// Returns whether a gateway sends orders to engines.
    pub fn is_owner(&self, index: usize) -> bool {
        self.metrics(index).contains("orders_total")
    }

    fn start_with(
        size: SiteSize,
        links: Option<Arc<Links>>,
        store_access: StoreAccess<'_>,
        more_settings: &str,
    ) -> Site {
        let specs = (0..DOMAINS * size.engines_per_domain).map(|index| {
            let domain = index / size.engines_per_domain;
            EngineSpec {
                id: format!("i-{index}"),
                domain: format!("domain-{domain}"),
                data_centre: size.data_centre(domain),
            }
        });
        let proxy = links.clone();
        // Returns the address for an engine's store entry: its own, or that of a proxy route for
        // connections from all parties (`None`).
        let published_address = move |id: &str, address| match &proxy {
            Some(proxy) => proxy.route(None, id, "tcp", Some(address)),
            None => address,
        };
        let platform = Platform::start_behind(specs.collect(), published_address);
        let folder = Folder::with(&[]);
        let mut site = Site {
            platform,
            links,
            store_views: Vec::new(),
            gateways: Vec::new(),
            folder,
        };
        site.put_config(&[KEY]);
        let store_proxy = match store_access {
            StoreAccess::Proxy(start) => Some(start(site.platform.store.address)),
            StoreAccess::Direct | StoreAccess::Views => None,
        };
        for index in 0..size.gateways {
            let own = own_loopback_address();
            let [callers, readiness, metrics, peers] = free_addresses(own);
            let store = store_proxy.unwrap_or(site.platform.store.address);
            let name = gateway_name(index);
            let store = match &site.links {
                Some(links) => links.route(Some(&name), STORE, "tcp", Some(store)),
                None => store,
            };
            let (store, data_centre) = if matches!(store_access, StoreAccess::Views) {
                let view = StoreView::start(store);
                let address = view.address;
                site.store_views.push(view);
                (address, format!("dc-{}", index + 1))
            } else {
                (store, size.data_centre(index))
            };
            let repeats = if more_settings.contains("[repeats]") {
                ""
            } else {
                DEFAULT_REPEATS
            };
            let settings = format!(
                "[node]\nname = {name}\ndata_centre = {data_centre}\nfirst_start = true\n[listen]\n\
                 callers = {callers}\nreadiness = {readiness}\nmetrics = {metrics}\n\
                 peers = {peers}\n[store]\naddress = {store}\n[stop]\ngrace_ms = 8000\n\
                 {repeats}{more_settings}",
            );
            let file = format!("gateway-{index}.ini");
            site.folder.write(&file, &settings);
            let settings_path = format!("{}/{file}", site.folder.path());
            site.gateways.push(GatewayProcess {
                process: None,
                incarnation: 0,
                callers,
                readiness,
                metrics,
                peers,
                settings_path,
            });
            site.restart(index);
        }
        for index in 0..size.gateways {
            site.wait_until("the gateway is ready", WAIT_LIMIT_MS, |site| {
                site.is_ready(index)
            });
        }
        site.wait_for_groups(size.groups());
        // Gateways learn from the store that a group is open a little after its engines opened it.
        thread::sleep(Duration::from_millis(300));
        site
    }

    /// Writes a configuration that accepts only these API keys.
    pub fn put_config(&self, keys: &[&str]) {
        self.put_config_with(keys, ROUTE_TIMEOUT_MS, RequestLimits::default());
    }

    /// Like [`Site::put_config`], with this timeout on all routes and these limits.
    pub fn put_config_with(&self, keys: &[&str], timeout_ms: u64, limits: RequestLimits) {
        self.put_config_with_routes(keys, timeout_ms, limits, 0);
    }

    /// Like [`Site::put_config_with`], with this many more routes, which no request uses.
    pub fn put_config_with_routes(
        &self,
        keys: &[&str],
        timeout_ms: u64,
        limits: RequestLimits,
        idle_routes: usize,
    ) {
        let route = |name: &str, kind: &str, service: &str| -> Value {
            let is_resumable = ["stream", "resumed"].contains(&name);
            json!({ "name": name, "host": "model.example", "path_prefix": format!("/{name}/"),
                "kind": kind, "timeout_ms": timeout_ms, "slo_ms": 500, "priority": 1,
                "service": service, "attempts": 3, "public": false, "sticky": kind == "stream",
                "resumable": is_resumable, "gap_target_ms": 300 })
        };
        let mut routes = vec![
            route("stream", "stream", "engines"),
            route("once", "non_idempotent", "plain"),
            route("events", "stream", "plain"),
            route("resumed", "stream", "plain"),
            route("again", "idempotent", "plain"),
        ];
        let idle_route = |index| route(&format!("idle-{index}"), "stream", "engines");
        routes.extend((0..idle_routes).map(idle_route));
        self.platform.store.put_config(
            routes.into(),
            json!([
                Engines::service("engines", GROUP_SIZE),
                PlainService::service("plain")
            ]),
            json!([{ "name": "customer-1", "api_keys": keys, "priority": 1 }]),
            limits,
        );
    }

    /// Returns the fault proxy; panics if the site was started without one.
    pub fn links(&self) -> &Links {
        self.links
            .as_ref()
            .expect("the site was started with `start_behind_links`")
    }

    /// Returns the address at which a gateway accepts callers.
    pub fn gateway(&self, index: usize) -> SocketAddr {
        self.gateways[index].callers
    }

    /// Returns the address at which a gateway answers readiness checks.
    #[allow(dead_code, reason = "used by the crowds only")]
    pub fn readiness_address(&self, index: usize) -> SocketAddr {
        self.gateways[index].readiness
    }

    /// Returns the address at which a gateway serves its metrics.
    #[allow(dead_code, reason = "used by the crowds only")]
    pub fn metrics_address(&self, index: usize) -> SocketAddr {
        self.gateways[index].metrics
    }

    /// Returns the address at which a gateway accepts other gateways.
    #[allow(dead_code, reason = "used by the crowds only")]
    pub fn peers_address(&self, index: usize) -> SocketAddr {
        self.gateways[index].peers
    }

    /// Starts a gateway; kills its process first if one is running.
    pub fn restart(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        gateway.process = None;
        gateway.incarnation += 1;
        gateway.process = Some(Process::jacinthpoint(
            None,
            &["gateway", &gateway.settings_path],
        ));
    }

    /// Like [`Site::restart`], with the executable of another build.
    pub fn restart_as(&mut self, index: usize, program: &str) {
        let gateway = &mut self.gateways[index];
        gateway.process = None;
        gateway.incarnation += 1;
        let args = ["gateway", &gateway.settings_path];
        gateway.process = Some(Process::other_build(program, &args));
    }

    /// Kills a gateway without a graceful stop.
    pub fn kill(&mut self, index: usize) {
        self.gateways[index].process = None;
    }

    /// Returns the incarnation of a gateway, counted from 1; `None` if the gateway has been killed.
    pub fn incarnation(&self, index: usize) -> Option<usize> {
        let gateway = &self.gateways[index];
        gateway.process.as_ref().map(|_| gateway.incarnation)
    }

    /// Sends a signal, such as `TERM`, to a gateway; does nothing if the gateway has been killed.
    pub fn signal(&self, index: usize, name: &str) {
        if let Some(process) = &self.gateways[index].process {
            process.signal(name);
        }
    }

    /// Returns the most memory that a running gateway used so far, in kilobytes.
    pub fn peak_memory_kb(&self, index: usize) -> u64 {
        let process = self.gateways[index].process.as_ref();
        process.expect("the gateway runs").peak_memory_kb()
    }

    /// Returns the number of descriptors that a running gateway has open.
    #[allow(dead_code, reason = "used by the crowds only")]
    pub fn open_descriptors(&self, index: usize) -> usize {
        let process = self.gateways[index].process.as_ref();
        process.expect("the gateway runs").open_descriptors()
    }

    /// Waits until a gateway process has ended; returns whether it ended within the timeout.
    /// Returns `true` at once if the gateway has been killed.
    pub fn wait_for_end(&mut self, index: usize, timeout_ms: u64) -> bool {
        let process = self.gateways[index].process.as_mut();
        process.is_none_or(|process| process.wait(timeout_ms).is_some())
    }

    /// Returns whether a gateway reports that it is ready.
    pub fn is_ready(&self, index: usize) -> bool {
        get_status(self.gateways[index].readiness, "/ready") == Some(200)
    }

    /// Returns the metrics of a gateway in text form.
    pub fn metrics(&self, index: usize) -> String {
        let request = attohttpc::get(format!("http://{}/metrics", self.gateways[index].metrics));
        let answer = request.send().expect("metrics are served");
        answer.text().expect("metrics are text")
    }

    /// Waits until at least this many groups are open.
    pub fn wait_for_groups(&self, count: usize) {
        self.wait_until(
            "the expected number of groups is open",
            WAIT_LIMIT_MS,
            |site| site.platform.engines.open_groups().len() >= count,
        );
    }

    /// Waits until a stand-in has started to run the request with this id.
    pub fn wait_for_run(&self, id: &str) {
        self.wait_until("a stand-in runs the request", WAIT_LIMIT_MS, |site| {
            !site.platform.runs.of(id).is_empty()
        });
    }

    /// Waits until a condition holds; panics after `timeout_ms` with the name of the condition.
    pub fn wait_until(&self, condition: &str, timeout_ms: u64, is_met: impl Fn(&Site) -> bool) {
        let end = Instant::now() + Duration::from_millis(timeout_ms);
        while !is_met(self) {
            assert!(
                Instant::now() < end,
                "condition not met within {timeout_ms} ms: {condition}"
            );
            thread::sleep(Duration::from_millis(20));
        }
    }
}
