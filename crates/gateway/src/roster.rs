//! Registers this gateway in the store and knows the registrations of all gateways.
//!
//! A gateway needs the number of gateways for its share of the fleet's retry budget, their
//! addresses for datagrams, and an order of them that all agree on, by which a few of them are
//! chosen as readers of the store and as candidates for the lease.
//!
//! Each gateway registers at its start, and again if its registration is missing later, as it may be
//! after the store was restored from an older copy, or is not as it wrote it. Registrations are never
//! removed. That of a gateway that no longer exists makes each share of the retry budget smaller, can hold a place as reader or
//! candidate, and is sent datagrams. A reader that does not answer is excluded for a time, so the
//! next one in the order takes its place.
//!
//! The registrations are read like the other kinds of objects: the first list from the store, then its
//! changes, which few gateways read for the others.
//!
//! The others count a new gateway only after their next answer with changes of the list. Until
//! [`COUNTED_AFTER_MS`] have passed, it uses little slack of the retry budget and no upstream that
//! names a limit. At the first start of the whole fleet this holds only for a gateway that the store did
//! not accept at its first call, since all others register together.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use jacinthpoint_adapter::{List, StoredObject, paths::Freshness};
use jacinthpoint_dispatch::cell_count;
use jacinthpoint_fleet::{
    Homes, Regions, RegisteredGateway, StoreReading, VmCapacity, assign_load_hubs,
    assign_store_reading, is_lease_candidate, role_order, takeover_ms,
};
use jacinthpoint_types::TimeMs;
use serde_json::{Value, json};
use tokio::sync::{Notify, watch};

use crate::{
    clock::sleep_ms,
    excluded_peers::ExcludedPeers,
    settings::GatewaySettings,
    state::Gateway,
    store::{Availability, MAX_CALL_MS, StoreClient, StoreError},
    watch::watch_gateways,
};

/// Kind of the gateways' registrations in the store.
pub(crate) const KIND: &str = "gateways";
/// Time between the registration of this gateway under a new name and its first read of the list.
/// Gateways that start together register within a few hundred milliseconds.
const FIRST_READ_DELAY_MS: u64 = 500;
/// Maximum time for which other tasks wait for the first read of the list.
const MAX_FIRST_WAIT_MS: u64 = 900;
/// Time after the registration of a new gateway by which the others count it. A gateway of an earlier
/// build reads the list every six seconds, in a state that may be three seconds old.
const COUNTED_AFTER_MS: u64 = 9_000;
/// Minimum time between two registrations of a running gateway.
const REPLACE_INTERVAL_MS: u64 = 1_000;
/// Pause after a failed registration.
const BACKOFF_MS: u64 = 500;
/// Time for which a reader that failed is excluded.
const EXCLUSION_MS: u64 = 4_000;
/// Time for which a reader is excluded that answers but has no recent data from the store. It is
/// short: if the store itself is unavailable, all readers are excluded, and then every gateway
/// calls the store after a while.
const STALE_EXCLUSION_MS: u64 = 1_000;

/// The registered gateways.
#[derive(Debug)]
pub(crate) struct Roster {
    /// Name of this gateway.
    own: String,
    /// All gateways of the fleet, by name.
    all: RefCell<BTreeMap<String, RegisteredGateway>>,
    /// What follows from `all` for this gateway; `None` after a change until it is used.
    roles: RefCell<Option<Rc<Roles>>>,
    /// Readers that failed or had no recent data.
    excluded: ExcludedPeers,
    /// Whether the list was read at least once.
    is_known: watch::Sender<bool>,
    /// Notified when the registration of this gateway is missing, or is not as it wrote it.
    is_missing: Notify,
}

/// Roles of the gateways.
#[derive(Debug)]
struct Roles {
    /// Who reads the store for this gateway.
    reading: StoreReading,
    /// Addresses of the hubs of load reports, in the order in which this gateway uses them.
    load_hubs: Rc<[SocketAddr]>,
    /// Addresses of all gateways in the order in which they become the root of load reports.
    root_ranking: Rc<[SocketAddr]>,
    /// Addresses of gateways of builds that do not know cells.
    without_cells: BTreeSet<SocketAddr>,
    /// Position of this gateway in the order in which they become candidates for the lease; `None` if
    /// it is not registered.
    candidate_position: Option<usize>,
}

impl Roster {
    /// Returns an empty roster for the gateway named `own`.
    pub(crate) fn new(own: &str) -> Roster {
        Roster {
            own: own.to_owned(),
            all: RefCell::default(),
            roles: RefCell::default(),
            excluded: ExcludedPeers::default(),
            is_known: watch::Sender::default(),
            is_missing: Notify::default(),
        }
    }

    /// Returns the roles of the gateways that are known now.
    fn roles(&self) -> Rc<Roles> {
        let mut roles = self.roles.borrow_mut();
        let roles = roles.get_or_insert_with(|| {
            let all = self.all.borrow();
            let cells = cell_count(all.len());
            let roots = role_order(&all, "loads").into_iter();
            let without_cells = all.values().filter(|gateway| gateway.capacity.is_none());
            let candidates = role_order(&all, "owner");
            Rc::new(Roles {
                reading: assign_store_reading(&all, &self.own),
                load_hubs: assign_load_hubs(&all, &self.own, cells).into(),
                root_ranking: roots.filter_map(|name| all[name].address).collect(),
                without_cells: without_cells
                    .filter_map(|gateway| gateway.address)
                    .collect(),
                candidate_position: candidates.iter().position(|name| *name == self.own),
            })
        });
        roles.clone()
    }

    /// Returns the address of the gateway to watch instead of the store; `None` if this gateway
    /// reads the store itself.
    ///
    /// If all gateways that read for this one are excluded, it reads the store itself.
    pub(crate) fn reader(&self, now: TimeMs) -> Option<SocketAddr> {
        let roles = self.roles();
        let sources = roles.reading.sources.iter();
        let mut usable = sources.filter(|address| !self.excluded.is_excluded(address, now));
        usable.next().copied()
    }

    /// Returns the gateway that a client asks again although all its sources are excluded; `None` if it
    /// reads the store itself then, as readers and substitutes do at once.
    pub(crate) fn patient_reader(&self) -> Option<SocketAddr> {
        let roles = self.roles();
        let is_client = !roles.reading.is_reader && !roles.reading.is_substitute;
        let first = roles.reading.sources.first().copied();
        first.filter(|_| is_client)
    }

    /// Waits until the list was read once, or for [`MAX_FIRST_WAIT_MS`] if the store is
    /// unavailable.
    pub(crate) async fn wait_until_known(&self) {
        let mut is_known = self.is_known.subscribe();
        let wait = Duration::from_millis(MAX_FIRST_WAIT_MS);
        // A timeout is no error: without the list, this gateway reads the store itself.
        let _ = tokio::time::timeout(wait, is_known.wait_for(|is_known| *is_known)).await;
    }

    /// Returns whether this gateway reads the store at all times.
    pub(crate) fn is_permanent_reader(&self) -> bool {
        self.roles().reading.is_reader
    }

    /// Excludes a reader that did not answer.
    pub(crate) fn exclude_reader(&self, address: SocketAddr, now: TimeMs) {
        self.excluded.exclude(address, EXCLUSION_MS, now);
    }

    /// Excludes a reader that refused calls because it has no recent data from the store.
    pub(crate) fn exclude_stale_reader(&self, address: SocketAddr, now: TimeMs) {
        self.excluded.exclude(address, STALE_EXCLUSION_MS, now);
    }

    /// Ends the exclusion of a reader that answered.
    pub(crate) fn admit_reader(&self, address: SocketAddr) {
        self.excluded.admit(&address);
    }

    /// Returns the address of a gateway; `None` if it is not registered or has no address.
    pub(crate) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.all.borrow().get(name)?.address
    }

    /// Returns the addresses of all gateways except `own`.
    pub(crate) fn others(&self, own: &str) -> Vec<SocketAddr> {
        let all = self.all.borrow();
        let others = all.iter().filter(|(name, _)| name.as_str() != own);
        others.filter_map(|(_, gateway)| gateway.address).collect()
    }

    /// Returns the addresses of all gateways except `own` that say that they take forwarded requests, in the
    /// regions that `homes` allows.
    pub(crate) fn takers_of_forwarded(
        &self,
        own: &str,
        homes: &Homes,
        regions: &Regions,
    ) -> Vec<SocketAddr> {
        let all = self.all.borrow();
        let takers = all
            .iter()
            .filter(|(name, gateway)| name.as_str() != own && gateway.takes_forwarded)
            .filter(|(_, gateway)| {
                let data_centre = gateway.data_centre.as_deref();
                homes.allow(data_centre.and_then(|data_centre| regions.of(data_centre)))
            });
        takers.filter_map(|(_, gateway)| gateway.address).collect()
    }

    /// Returns the addresses of the hubs of load reports, in the order in which this gateway uses them.
    pub(crate) fn load_hubs(&self) -> Rc<[SocketAddr]> {
        self.roles().load_hubs.clone()
    }

    /// Returns the addresses of all gateways in the order in which they become the root of load
    /// reports.
    pub(crate) fn root_ranking(&self) -> Rc<[SocketAddr]> {
        self.roles().root_ranking.clone()
    }

    /// Returns whether the gateway at `address` is of a build that knows cells.
    pub(crate) fn knows_cells(&self, address: SocketAddr) -> bool {
        !self.roles().without_cells.contains(&address)
    }

    /// Returns whether this gateway is a candidate for the lease, or is not registered yet.
    pub(crate) fn is_candidate(&self) -> bool {
        is_lease_candidate(self.candidate_position())
    }

    /// Returns the time without a change of the lease after which this gateway takes it over.
    pub(crate) fn takeover_ms(&self) -> u64 {
        takeover_ms(self.candidate_position())
    }

    /// Returns the position of this gateway in the order for the lease; the first one if it is not
    /// registered yet.
    fn candidate_position(&self) -> usize {
        self.roles().candidate_position.unwrap_or(0)
    }

    /// Adds or replaces registrations. None is removed, because an old list may lack some.
    fn update(&self, gateway: &Gateway, objects: &[StoredObject]) {
        let mut all = self.all.borrow_mut();
        let mut is_changed = false;
        for object in objects {
            let registered = decode(&object.content);
            is_changed |= all.get(&object.name) != Some(&registered);
            all.insert(object.name.clone(), registered);
        }
        if !is_changed {
            return;
        }
        *self.roles.borrow_mut() = None;
        gateway.gateway_count.set(Some(all.len().max(1)));
    }
}

/// Applies a list of registrations.
pub(crate) fn apply_list(gateway: &Gateway, list: &List) {
    gateway.roster.update(gateway, &list.objects);
    gateway.roster.is_known.send_replace(true);
    let settings = gateway.settings();
    let mut objects = list.objects.iter();
    if !objects.any(|object| is_own(&settings, object)) {
        gateway.roster.is_missing.notify_one();
    }
}

/// Returns whether an object is the registration of the gateway with these settings, as it wrote it.
fn is_own(settings: &GatewaySettings, object: &StoredObject) -> bool {
    object.name == settings.name.as_str() && object.content == registration(settings)
}

/// Applies a change of one registration. One that was removed is kept, but this gateway registers
/// again if its own was removed, or was replaced by another writer.
pub(crate) fn apply_registration(gateway: &Gateway, object: &StoredObject, is_removed: bool) {
    if !is_removed {
        gateway.roster.update(gateway, std::slice::from_ref(object));
    }
    let settings = gateway.settings();
    let is_own_name = object.name == settings.name.as_str();
    if is_own_name && (is_removed || !is_own(&settings, object)) {
        gateway.roster.is_missing.notify_one();
    }
}

/// Decodes a registration. Fields that are missing or cannot be read are `None`.
fn decode(content: &Value) -> RegisteredGateway {
    let text = |name| content.get(name).and_then(Value::as_str);
    let number = |name| {
        let number = u32::try_from(content.get(name)?.as_u64()?).ok()?;
        (number > 0).then_some(number)
    };
    let capacity = || {
        Some(VmCapacity {
            core_permille: number("core_permille")?,
            link_kbps: number("link_kbps")?,
        })
    };
    RegisteredGateway {
        data_centre: text("data_centre").map(str::to_owned),
        address: text("address").and_then(|text| text.parse().ok()),
        capacity: capacity(),
        takes_forwarded: content.get("takes_forwarded") == Some(&Value::Bool(true)),
    }
}

/// Registers this gateway, watches the registrations of all gateways, and registers again whenever that
/// of this one is missing. Runs for ever.
pub(crate) async fn maintain_roster(gateway: Rc<Gateway>) {
    let mut availability = Availability::default();
    let mut store = StoreClient::new(gateway.settings().store);
    let registration = if is_registered(&gateway, &mut store).await {
        Registration::Known
    } else {
        register(&gateway, &mut store, &mut availability).await
    };
    let is_new_name = registration != Registration::Known;
    // Gateways that start together all register new names; the list has to have them. The others may
    // have read it already if the store did not accept this one at once.
    let elapsed_ms = gateway.now().since_ms(gateway.started_at);
    let is_prompt = registration == Registration::New && elapsed_ms <= MAX_CALL_MS;
    let is_first_life = is_prompt && gateway.settings().is_first_start;
    gateway.is_first_life.set(is_first_life);
    gateway.counted_by.set(if is_new_name && !is_first_life {
        gateway.now().plus_ms(COUNTED_AFTER_MS)
    } else {
        TimeMs::default()
    });
    let first_list = if is_new_name {
        sleep_ms(FIRST_READ_DELAY_MS).await;
        Freshness::Newest
    } else {
        Freshness::MayBeOld
    };
    tokio::task::spawn_local(watch_gateways(gateway.clone(), first_list));
    loop {
        gateway.roster.is_missing.notified().await;
        // An old list may lack the registration of a gateway that started a moment ago; then it exists
        // already.
        register(&gateway, &mut store, &mut availability).await;
        // Another writer may replace the registration each time, such as a process with the same name.
        sleep_ms(REPLACE_INTERVAL_MS).await;
    }
}

/// Returns the content of the registration of a gateway with these settings.
fn registration(settings: &GatewaySettings) -> Value {
    json!({
        "data_centre": settings.data_centre.as_str(),
        "address": settings.peers.map(|address| address.to_string()),
        "core_permille": settings.capacity.core_permille,
        "link_kbps": settings.capacity.link_kbps,
        "takes_forwarded": true,
    })
}

/// Returns whether this gateway was registered before it started. A gateway that restarts is, and reading
/// it costs a tenth of a write.
async fn is_registered(gateway: &Gateway, store: &mut StoreClient) -> bool {
    let settings = gateway.settings();
    if settings.is_first_start {
        return false;
    }
    let current = store.get_stale(KIND, settings.name.as_str()).await;
    matches!(current, Ok(Some(current)) if current.content == registration(&settings))
}

/// Result of a registration that the store accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Registration {
    /// The name was registered before.
    Known,
    /// The name is new, and the store accepted it at the first call.
    New,
    /// The name is new or may be new, and a call failed before.
    NewAfterFailure,
}

/// Registers this gateway. If its name is registered with another address or capacity, replaces the
/// registration. Retries until the store accepts it.
async fn register(
    gateway: &Gateway,
    store: &mut StoreClient,
    availability: &mut Availability,
) -> Registration {
    let settings = gateway.settings();
    let name = settings.name.as_str();
    let content = registration(&settings);
    // A call without an answer may have created the registration.
    let mut has_failed = false;
    loop {
        let created = store.create(KIND, name, &content).await;
        let registration = match (created.is_ok(), has_failed) {
            (false, _) => Registration::Known,
            (true, false) => Registration::New,
            (true, true) => Registration::NewAfterFailure,
        };
        let result = match created {
            Err(StoreError::Conflict(Some(current))) if current.content != content => {
                store.replace(KIND, name, current.revision, &content).await
            }
            result => result,
        };
        match result {
            Ok(_) => return registration,
            Err(StoreError::Conflict(Some(current))) if current.content == content => {
                return match has_failed {
                    true => Registration::NewAfterFailure,
                    false => Registration::Known,
                };
            }
            Err(StoreError::Conflict(_)) => {}
            Err(error) => {
                has_failed = true;
                availability.on_failure(KIND, &error, gateway.now());
            }
        }
        sleep_ms(BACKOFF_MS).await;
    }
}
