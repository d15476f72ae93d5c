//! Assigns the work that a few gateways do for all others.
//!
//! If each gateway read the store for itself, the number of calls would grow with the number of
//! gateways; if one gateway served all others, its link and processor would have to. So a few gateways
//! of a data centre are readers of the store, and the others, their clients, are divided among them. A reader has
//! about as many clients as its VM can serve, however many gateways there are.
//!
//! VMs differ: one may have ten times the link of another. Readers are the gateways on the largest
//! VMs, and each gets clients in proportion to what it can serve. Gateways that know the same fleet
//! assign alike, without an election. Those that differ for a moment do no harm: any gateway serves any
//! client that comes.

use std::{collections::BTreeMap, net::SocketAddr};

use jacinthpoint_types::{rendezvous_order, rendezvous_weight};

/// Maximum number of clients that a reader is assigned. More would save few calls to the store, and all
/// of them have to find another reader when one fails.
const MAX_CLIENTS: f64 = 40.0;
/// Part of a reader's link that it needs for each client: when all its clients start, each gets the list
/// of a thousand upstreams (300 kB) within three seconds.
const CLIENT_LINK_KBPS: f64 = 1_000.0;
/// Part of a core that a reader needs for each client, in thousandths: up to ten answers a second of
/// about half a millisecond.
const CLIENT_CORE_PERMILLE: f64 = 5.0;
/// Number of clients of a reader whose registration does not say what its VM can carry.
const DEFAULT_CLIENTS: f64 = 20.0;
/// Number of gateways of a data centre that serve others when all readers fail.
const SUBSTITUTES: usize = 2;
/// Number of gateways that compete for the lease at the same time.
const CANDIDATES: usize = 4;
/// Time without a change of the lease after which the first candidates take it over: three missed
/// renewals.
const TAKEOVER_MS: u64 = 1_600;
/// Time by which the next candidates wait longer, and the number of steps after which all others do not
/// wait longer than those before.
const TAKEOVER_STEP_MS: u64 = 800;
const TAKEOVER_STEPS: usize = 5;

/// What the VM of a gateway can carry. Neither value is 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmCapacity {
    /// Part of a core that the gateway may use, in thousandths.
    pub core_permille: u32,
    /// Rate of the VM's link in kbit/s.
    pub link_kbps: u32,
}

impl VmCapacity {
    /// Returns how many times larger this VM is than `least`, by the resource that it has least of.
    fn times(self, least: VmCapacity) -> f64 {
        let core = f64::from(self.core_permille) / f64::from(least.core_permille);
        core.min(f64::from(self.link_kbps) / f64::from(least.link_kbps))
    }

    /// Returns the number of clients that a gateway on this VM can serve; at least 1.
    fn clients(self) -> f64 {
        let link = f64::from(self.link_kbps) / CLIENT_LINK_KBPS;
        let core = f64::from(self.core_permille) / CLIENT_CORE_PERMILLE;
        link.min(core).clamp(1.0, MAX_CLIENTS)
    }

    /// Returns the smaller values of both.
    fn least(self, other: VmCapacity) -> VmCapacity {
        VmCapacity {
            core_permille: self.core_permille.min(other.core_permille),
            link_kbps: self.link_kbps.min(other.link_kbps),
        }
    }
}

/// What a gateway's registration says.
#[derive(Debug, Clone, PartialEq)]
pub struct RegisteredGateway {
    /// Name of its data centre; `None` if the registration has none.
    pub data_centre: Option<String>,
    /// Address for calls and datagrams of other gateways; `None` if it takes none.
    pub address: Option<SocketAddr>,
    /// What its VM can carry; `None` if the registration is of a build that does not say it.
    pub capacity: Option<VmCapacity>,
    /// Whether it takes forwarded requests that state how new the view of their gateway is, and marks its
    /// answers to them.
    pub takes_forwarded: bool,
}

/// The part of one gateway in reading the store.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StoreReading {
    /// Whether the gateway reads the store at all times.
    pub is_reader: bool,
    /// Whether the gateway is a substitute, which reads the store as soon as all readers fail.
    pub is_substitute: bool,
    /// Gateways that read the store for this one, in the order in which it asks them. If it is a
    /// substitute, those before it in the order.
    pub sources: Vec<SocketAddr>,
}

/// Returns whether the gateway at this position of the order for the lease checks it often.
pub fn is_lease_candidate(position: usize) -> bool {
    position < CANDIDATES
}

/// Returns the time without a change of the lease after which the gateway at this position of the order
/// takes it over. Were it the same for all, all of a large fleet would try when an owner is lost, by a
/// write each.
pub fn takeover_ms(position: usize) -> u64 {
    let step = (position / CANDIDATES).min(TAKEOVER_STEPS);
    TAKEOVER_MS + step as u64 * TAKEOVER_STEP_MS
}

/// Assigns the reading of the store for the gateway `own` among the gateways of its data centre.
///
/// A gateway that is not among `all` yet reads the store itself.
pub fn assign_store_reading(all: &BTreeMap<String, RegisteredGateway>, own: &str) -> StoreReading {
    let data_centre = all
        .get(own)
        .and_then(|gateway| gateway.data_centre.as_deref());
    let Some(data_centre) = data_centre else {
        return StoreReading::default();
    };
    let members: BTreeMap<&str, &RegisteredGateway> = all
        .iter()
        .filter(|(_, gateway)| gateway.data_centre.as_deref() == Some(data_centre))
        .filter(|(_, gateway)| gateway.address.is_some())
        .map(|(name, gateway)| (name.as_str(), gateway))
        .collect();
    if !members.contains_key(own) {
        return StoreReading::default();
    }
    let clients = client_counts(&members);
    let order = by_size("readers", &clients);
    let (readers, others) = order.split_at(reader_count(&order, &clients));
    if readers.contains(&own) {
        return StoreReading {
            is_reader: true,
            ..StoreReading::default()
        };
    }
    let mut sources = ranked_for_client(readers, own, &clients);
    let substitutes = others.iter().take(SUBSTITUTES);
    let is_substitute = substitutes.clone().any(|name| *name == own);
    sources.extend(substitutes.take_while(|name| **name != own));
    let addresses = sources
        .iter()
        .filter_map(|name| members.get(name)?.address)
        .collect();
    StoreReading {
        is_reader: false,
        is_substitute,
        sources: addresses,
    }
}

/// Returns the addresses of the hubs of the fleet's `cells` cells, in the order in which the gateway
/// `own` reports its loads to them; only its own address if it is a hub itself. Gateways of a build
/// that does not know cells are no hubs.
pub fn assign_load_hubs(
    all: &BTreeMap<String, RegisteredGateway>,
    own: &str,
    cells: usize,
) -> Vec<SocketAddr> {
    let members: BTreeMap<&str, &RegisteredGateway> = all
        .iter()
        .filter(|(_, gateway)| gateway.address.is_some() && gateway.capacity.is_some())
        .map(|(name, gateway)| (name.as_str(), gateway))
        .collect();
    let sizes = vm_sizes(&members);
    let mut hubs = by_size("loads", &sizes);
    hubs.truncate(cells);
    if hubs.contains(&own) {
        hubs = vec![own];
    }
    let ranked = ranked_for_client(&hubs, own, &sizes);
    ranked
        .iter()
        .filter_map(|name| members.get(name)?.address)
        .collect()
}

/// Returns the servers in the order in which the gateway `client` uses them. By weighted rendezvous
/// hashing, each server is first for a part of the clients in proportion to its size.
fn ranked_for_client<'a>(
    servers: &[&'a str],
    client: &str,
    sizes: &BTreeMap<&str, f64>,
) -> Vec<&'a str> {
    let mut ranked = servers.to_vec();
    ranked.sort_by(|a, b| {
        let score = |server: &str| weighted_score(server, client, sizes[server]);
        score(b).total_cmp(&score(a))
    });
    ranked
}

/// Returns the names of all gateways in the order in which they take the role `role`, which is for the
/// whole fleet: those on larger VMs first, and those on equal ones in an order that differs from role
/// to role.
pub fn role_order<'a>(all: &'a BTreeMap<String, RegisteredGateway>, role: &str) -> Vec<&'a str> {
    let members = all.iter().map(|(name, gateway)| (name.as_str(), gateway));
    by_size(role, &vm_sizes(&members.collect()))
}

/// Returns the gateways by the size of their VMs, the largest first, and those of equal size in
/// rendezvous order.
fn by_size<'a>(role: &str, sizes: &BTreeMap<&'a str, f64>) -> Vec<&'a str> {
    let mut order: Vec<&str> = rendezvous_order(role, sizes.keys())
        .into_iter()
        .copied()
        .collect();
    // The sort is stable.
    order.sort_by(|a, b| sizes[b].total_cmp(&sizes[a]));
    order
}

/// Returns the number of clients that each gateway can serve. All count as equal if one registration does
/// not say what its VM can carry.
fn client_counts<'a>(members: &BTreeMap<&'a str, &RegisteredGateway>) -> BTreeMap<&'a str, f64> {
    let is_known = members.values().all(|gateway| gateway.capacity.is_some());
    let clients = |gateway: &RegisteredGateway| {
        let capacity = gateway.capacity.filter(|_| is_known);
        capacity.map_or(DEFAULT_CLIENTS, VmCapacity::clients)
    };
    let members = members.iter();
    members
        .map(|(name, gateway)| (*name, clients(gateway)))
        .collect()
}

/// Returns how many of the gateways, in this order, it takes to serve all of them.
fn reader_count(order: &[&str], clients: &BTreeMap<&str, f64>) -> usize {
    let mut served = 0.0;
    let needed = order.iter().take_while(|name| {
        let is_needed = served < order.len() as f64;
        served += clients[**name];
        is_needed
    });
    needed.count()
}

/// Returns how many times larger each gateway's VM is than the least. All count as equal if one
/// registration does not say it: gateways of that build order them by their hashes alone.
fn vm_sizes<'a>(members: &BTreeMap<&'a str, &RegisteredGateway>) -> BTreeMap<&'a str, f64> {
    let capacities: Option<Vec<VmCapacity>> =
        members.values().map(|gateway| gateway.capacity).collect();
    let least = capacities.and_then(|capacities| capacities.into_iter().reduce(|a, b| a.least(b)));
    let size = |gateway: &RegisteredGateway| match (gateway.capacity, least) {
        (Some(capacity), Some(least)) => capacity.times(least),
        _ => 1.0,
    };
    let sizes = members.iter();
    sizes
        .map(|(name, gateway)| (*name, size(gateway)))
        .collect()
}

/// Returns the score of a server for a client. The server with the highest score is the client's first.
fn weighted_score(server: &str, client: &str, size: f64) -> f64 {
    let uniform = (rendezvous_weight(client, server) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    size / -uniform.ln()
}
