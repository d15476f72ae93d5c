//! State that all routes share.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    hash::{DefaultHasher, Hash, Hasher},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak,
        atomic::{AtomicBool, Ordering},
    },
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::proxy::{
    RouteSpec,
    rules::{LinkState, Rule, Rules, is_among},
    tcp::Connection,
};

/// Entries of the table of connections beyond which ended ones are dropped from it.
const SWEEP_AT: usize = 256;

/// A route that listens.
#[derive(Debug)]
pub(super) struct Route {
    pub(super) from: Option<String>,
    pub(super) to: String,
    pub(super) address: SocketAddr,
    target: Mutex<Option<SocketAddr>>,
}

impl Route {
    pub(super) fn new(spec: RouteSpec, address: SocketAddr) -> Route {
        Route {
            from: spec.from,
            to: spec.to,
            address,
            target: Mutex::new(spec.target),
        }
    }

    pub(super) fn target(&self) -> Option<SocketAddr> {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Traffic of one link.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkTraffic {
    /// The party that connected or sent; empty if unknown.
    pub from: String,
    /// The party that was reached.
    pub to: String,
    /// Connections made.
    pub connections: u64,
    /// Datagrams received from the sender.
    pub datagrams: u64,
    /// Of these, datagrams dropped.
    pub dropped: u64,
}

#[derive(Debug)]
struct Link {
    rng: SmallRng,
    traffic: LinkTraffic,
}

#[derive(Debug)]
pub(super) struct Shared {
    seed: u64,
    stopped: Arc<AtomicBool>,
    rules: RwLock<Rules>,
    routes: Mutex<HashMap<SocketAddr, Arc<Route>>>,
    senders: Mutex<HashMap<SocketAddr, String>>,
    links: Mutex<BTreeMap<(String, String), Link>>,
    connections: Mutex<Vec<Weak<Connection>>>,
    frozen: Mutex<Vec<Arc<Connection>>>,
}

impl Shared {
    pub(super) fn new(seed: u64, stopped: Arc<AtomicBool>) -> Shared {
        Shared {
            seed,
            stopped,
            rules: RwLock::default(),
            routes: Mutex::default(),
            senders: Mutex::default(),
            links: Mutex::default(),
            connections: Mutex::default(),
            frozen: Mutex::default(),
        }
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Ends the routes.
    pub(super) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        for address in lock(&self.routes).keys() {
            // Wakes the thread that waits for a connection; a UDP route looks by itself.
            let _ = TcpStream::connect(address);
        }
    }

    pub(super) fn add_route(&self, route: Route) -> Arc<Route> {
        let route = Arc::new(route);
        lock(&self.routes)
            .entry(route.address)
            .or_insert(route)
            .clone()
    }

    pub(super) fn route(&self, address: SocketAddr) -> Option<Arc<Route>> {
        lock(&self.routes).get(&address).cloned()
    }

    pub(super) fn set_target(
        &self,
        address: SocketAddr,
        target: SocketAddr,
    ) -> Result<Value, String> {
        let route = self.route(address).ok_or("no such route")?;
        *lock(&route.target) = Some(target);
        Ok(json!({}))
    }

    pub(super) fn name_sender(&self, address: SocketAddr, party: String) {
        lock(&self.senders).insert(address, party);
    }

    pub(super) fn sender(&self, address: SocketAddr) -> String {
        lock(&self.senders)
            .get(&address)
            .cloned()
            .unwrap_or_default()
    }

    pub(super) fn set_rule(&self, rule: Rule) {
        self.rules
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .set(rule);
        self.close_cut_connections();
    }

    pub(super) fn heal(&self, name: Option<&str>) {
        self.rules
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .heal(name);
    }

    pub(super) fn link(&self, from: &str, to: &str) -> LinkState {
        self.rules
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .link(from, to)
    }

    /// Draws whether the next piece on a link is lost. Each link has a generator of its own, so
    /// that traffic elsewhere does not change what is lost here.
    pub(super) fn draws_loss(&self, from: &str, to: &str, share: f64) -> bool {
        share > 0.0 && self.on_link(from, to, |link| link.rng.random_bool(share.min(1.0)))
    }

    pub(super) fn count(&self, from: &str, to: &str, add: impl FnOnce(&mut LinkTraffic)) {
        self.on_link(from, to, |link| add(&mut link.traffic));
    }

    pub(super) fn traffic(&self) -> Vec<LinkTraffic> {
        let links = lock(&self.links);
        links.values().map(|link| link.traffic.clone()).collect()
    }

    fn on_link<T>(&self, from: &str, to: &str, apply: impl FnOnce(&mut Link) -> T) -> T {
        let mut links = lock(&self.links);
        let key = (from.to_owned(), to.to_owned());
        let link = links.entry(key).or_insert_with(|| Link {
            rng: SmallRng::seed_from_u64(link_seed(self.seed, from, to)),
            traffic: LinkTraffic {
                from: from.to_owned(),
                to: to.to_owned(),
                ..LinkTraffic::default()
            },
        });
        apply(link)
    }

    pub(super) fn add_connection(&self, connection: &Arc<Connection>) {
        let mut connections = lock(&self.connections);
        if connections.len() >= SWEEP_AT {
            connections.retain(|connection| connection.strong_count() > 0);
        }
        connections.push(Arc::downgrade(connection));
    }

    fn open_connections(&self) -> Vec<Arc<Connection>> {
        let connections = lock(&self.connections);
        connections.iter().filter_map(Weak::upgrade).collect()
    }

    fn close_cut_connections(&self) {
        for connection in self.open_connections() {
            if self.link(&connection.from, &connection.to).cut {
                connection.close();
            }
        }
    }

    /// Makes the connections of some links go silent for good.
    pub(super) fn freeze(&self, from: &BTreeSet<String>, to: &BTreeSet<String>) -> usize {
        let mut frozen = 0;
        for connection in self.open_connections() {
            let is_meant = is_among(from, &connection.from) && is_among(to, &connection.to);
            if is_meant && connection.freeze() {
                // Held, because a connection that is dropped is closed, which would be noticed.
                lock(&self.frozen).push(connection);
                frozen += 1;
            }
        }
        frozen
    }
}

fn link_seed(seed: u64, from: &str, to: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, from, to).hash(&mut hasher);
    hasher.finish()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
