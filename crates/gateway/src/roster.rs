//! Registers this gateway in the store and reads the registrations of all gateways.
//!
//! A gateway needs the number of gateways for its share of the fleet's retry budget, their
//! addresses for datagrams, and an order of them that all agree on, by which a few of them are
//! chosen as readers of the store and as candidates for the lease.
//!
//! Each gateway registers at its start, and again if its registration is missing later, as it may be
//! after the store was restored from an older copy. Registrations are never removed. That of a gateway that
//! no longer exists makes each share of the retry budget smaller, can hold a place as reader or
//! candidate, and is sent datagrams. A reader that does not answer is excluded for a time, so the
//! next one in the order takes its place.
//!
//! The others count a new gateway only after their next read of the list. Until
//! [`COUNTED_AFTER_MS`] have passed, it uses little slack of the retry budget and no upstream that
//! names a limit.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use jacinthpoint_adapter::paths::Freshness;
use jacinthpoint_types::{TimeMs, rendezvous_order};
use serde_json::json;
use tokio::sync::watch;

use crate::{
    clock::sleep_ms,
    excluded_peers::ExcludedPeers,
    state::Gateway,
    store::{Availability, StoreClient, StoreError},
};

/// Kind of the gateways' registrations in the store.
const KIND: &str = "gateways";
/// Time between the registration of this gateway under a new name and its first read of the list.
/// Gateways that start together register within a few hundred milliseconds.
const FIRST_READ_DELAY_MS: u64 = 500;
/// Maximum time for which other tasks wait for the first read of the list.
const MAX_FIRST_WAIT_MS: u64 = 900;
/// Time between the first two reads of the list. It doubles after each read.
const READ_INTERVAL_MS: u64 = 3_000;
/// Maximum time between two reads of the list.
const MAX_READ_INTERVAL_MS: u64 = 6_000;
/// Maximum age of the data in an answer that may be old.
const MAX_STALE_MS: u64 = 3_000;
/// Time after the registration of a new gateway by which the others have read a list with it.
const COUNTED_AFTER_MS: u64 = MAX_READ_INTERVAL_MS + MAX_STALE_MS;
/// Pause after a failed registration.
const BACKOFF_MS: u64 = 500;
/// Number of gateways of a data centre, first in the order, that others may watch. A gateway among
/// them that is not a permanent reader (see [`GATEWAYS_PER_PERMANENT_READER`]) reads the store only
/// while all gateways before it in the order are excluded. If all of them are excluded, every
/// gateway reads the store itself.
const MAX_READERS: usize = 3;
/// Number of gateways of the fleet, first in the order, that check the lease often.
const CANDIDATE_COUNT: usize = 4;
/// One gateway per this many in a data centre, rounded up, is a permanent reader, which reads the
/// store at all times. Other gateways are not divided among the permanent readers: each watches the
/// first gateway in the order that it has not excluded, among the first [`MAX_READERS`].
const GATEWAYS_PER_PERMANENT_READER: usize = 20;
/// Time for which a reader that failed is excluded.
const EXCLUSION_MS: u64 = 4_000;
/// Time for which a reader is excluded that answers but has no recent data from the store. It is
/// short: if the store itself is unavailable, all readers are excluded, and then every gateway
/// calls the store.
const STALE_EXCLUSION_MS: u64 = 1_000;

/// The registered gateways.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// Gateways in this gateway's data centre, by name, each with the address at which it receives
    /// calls and datagrams of other gateways.
    same_data_centre: RefCell<BTreeMap<String, SocketAddr>>,
    /// All gateways of the fleet, by name, each with the same address; `None` if it has none.
    all: RefCell<BTreeMap<String, Option<SocketAddr>>>,
    /// Readers that failed or had no recent data.
    excluded: ExcludedPeers,
    /// Whether the list was read at least once.
    is_known: watch::Sender<bool>,
}

impl Roster {
    /// Returns the address of the gateway to watch instead of the store; `None` if this gateway
    /// reads the store itself.
    ///
    /// All gateways of a data centre have the same order of readers, so they all use the next one
    /// if a reader does not answer.
    pub(crate) fn reader(&self, own: &str, now: TimeMs) -> Option<SocketAddr> {
        let members = self.same_data_centre.borrow();
        let order = rendezvous_order("readers", members.keys());
        if !members.contains_key(own) || is_permanent_reader(&order, own) {
            return None;
        }
        // If the search reaches this gateway, it is the next reader and reads the store itself.
        let is_usable = |name: &&String| {
            name.as_str() == own || !self.excluded.is_excluded(&members[name.as_str()], now)
        };
        let reader = order.into_iter().take(MAX_READERS).find(is_usable)?;
        (reader.as_str() != own).then(|| members[reader.as_str()])
    }

    /// Waits until the list was read once, or for [`MAX_FIRST_WAIT_MS`] if the store is
    /// unavailable.
    pub(crate) async fn wait_until_known(&self) {
        let mut is_known = self.is_known.subscribe();
        let wait = Duration::from_millis(MAX_FIRST_WAIT_MS);
        // A timeout is no error: without the list, this gateway reads the store itself.
        let _ = tokio::time::timeout(wait, is_known.wait_for(|is_known| *is_known)).await;
    }

    /// Returns whether the gateway `own` reads the store at all times.
    pub(crate) fn is_permanent_reader(&self, own: &str) -> bool {
        let members = self.same_data_centre.borrow();
        is_permanent_reader(&rendezvous_order("readers", members.keys()), own)
    }

    /// Excludes a reader that did not answer.
    pub(crate) fn exclude_reader(&self, address: SocketAddr, now: TimeMs) {
        self.excluded.exclude(address, EXCLUSION_MS, now);
    }

    /// Excludes a reader that refused calls because it has no recent data from the store.
    pub(crate) fn exclude_stale_reader(&self, address: SocketAddr, now: TimeMs) {
        self.excluded.exclude(address, STALE_EXCLUSION_MS, now);
    }

    /// Returns the address of a gateway; `None` if it is not registered or has no address.
    pub(crate) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.all.borrow().get(name).copied().flatten()
    }

    /// Returns the addresses of all gateways except `own`.
    pub(crate) fn others(&self, own: &str) -> Vec<SocketAddr> {
        let all = self.all.borrow();
        let others = all.iter().filter(|(name, _)| name.as_str() != own);
        others.filter_map(|(_, address)| *address).collect()
    }

    /// Returns the addresses of all gateways in the order in which they take the role `role`. The
    /// order is the same at all gateways, and differs from role to role.
    pub(crate) fn ranked_addresses(&self, role: &str) -> Vec<SocketAddr> {
        let all = self.all.borrow();
        let order = rendezvous_order(role, all.keys());
        order.into_iter().filter_map(|name| all[name]).collect()
    }

    /// Returns whether the gateway `own` is a candidate for the lease, or is not registered yet.
    pub(crate) fn is_candidate(&self, own: &str) -> bool {
        let all = self.all.borrow();
        let order = rendezvous_order("owner", all.keys());
        let position = order.iter().position(|name| name.as_str() == own);
        position.is_none_or(|position| position < CANDIDATE_COUNT)
    }
}

/// Returns whether `own` is one of the first gateways in the order of readers, which read the store
/// at all times.
fn is_permanent_reader(order: &[&String], own: &str) -> bool {
    let permanent_readers = order.len().div_ceil(GATEWAYS_PER_PERMANENT_READER);
    order
        .iter()
        .take(permanent_readers)
        .any(|name| name.as_str() == own)
}

/// Registers this gateway, then reads the list of all gateways for ever.
pub(crate) async fn maintain_roster(gateway: Rc<Gateway>) {
    let mut availability = Availability::default();
    let mut store = StoreClient::new(gateway.settings().store);
    let is_new_name = register(&gateway, &mut store, &mut availability).await;
    // Gateways that start together read the list often at first.
    let is_first_life = is_new_name && gateway.settings().is_first_start;
    gateway.is_first_life.set(is_first_life);
    gateway.counted_by.set(if is_new_name && !is_first_life {
        gateway.now().plus_ms(COUNTED_AFTER_MS)
    } else {
        TimeMs::default()
    });
    if is_new_name {
        sleep_ms(FIRST_READ_DELAY_MS).await;
    }
    // The set of gateways changes rarely, so reads become rare, and all but the first may return
    // old data.
    let mut pause_ms = READ_INTERVAL_MS;
    let mut is_first = true;
    loop {
        let freshness = if is_first {
            Freshness::Newest
        } else {
            Freshness::MayBeOld
        };
        is_first = false;
        let mut is_missing = false;
        match store.list_all(KIND, freshness).await {
            Ok(list) => {
                // `false`: the answer is from the store, not from a relay.
                availability.on_answer(KIND, false, gateway.now());
                let own_data_centre = gateway.settings().data_centre.clone();
                // Names are added and never removed, because an old list may lack some.
                let mut members = gateway.roster.same_data_centre.borrow_mut();
                let mut all = gateway.roster.all.borrow_mut();
                for object in &list.objects {
                    let field = |name| object.content.get(name).and_then(|value| value.as_str());
                    let address = field("address").and_then(|text| text.parse().ok());
                    all.insert(object.name.clone(), address);
                    if let (true, Some(address)) = (
                        field("data_centre") == Some(own_data_centre.as_str()),
                        address,
                    ) {
                        members.insert(object.name.clone(), address);
                    }
                }
                gateway.gateway_count.set(all.len().max(1));
                drop((members, all));
                let own = gateway.settings().name.to_string();
                is_missing = list.objects.iter().all(|object| object.name != own);
                gateway.roster.is_known.send_replace(true);
            }
            Err(error) => availability.on_failure(KIND, &error, gateway.now()),
        }
        if is_missing {
            // An old list may lack the registration of a gateway that started a moment ago; then it
            // exists already.
            register(&gateway, &mut store, &mut availability).await;
        }
        sleep_ms(pause_ms).await;
        pause_ms = (pause_ms * 2).min(MAX_READ_INTERVAL_MS);
    }
}

/// Registers this gateway, and returns whether its name is new or may be new. If its name is
/// registered with another address, replaces the registration. Retries until the store accepts it.
async fn register(
    gateway: &Gateway,
    store: &mut StoreClient,
    availability: &mut Availability,
) -> bool {
    let settings = gateway.settings();
    let name = settings.name.as_str();
    let content = json!({
        "data_centre": settings.data_centre.as_str(),
        "address": settings.peers.map(|address| address.to_string()),
    });
    // A call without an answer may have created the registration.
    let mut may_be_created = false;
    loop {
        let created = store.create(KIND, name, &content).await;
        let is_new = created.is_ok();
        let result = match created {
            Err(StoreError::Conflict(Some(current))) if current.content != content => {
                store.replace(KIND, name, current.revision, &content).await
            }
            result => result,
        };
        match result {
            Ok(_) => return is_new,
            Err(StoreError::Conflict(Some(current))) if current.content == content => {
                return may_be_created;
            }
            Err(StoreError::Conflict(_)) => {}
            Err(error) => {
                may_be_created = true;
                availability.on_failure(KIND, &error, gateway.now());
            }
        }
        sleep_ms(BACKOFF_MS).await;
    }
}
