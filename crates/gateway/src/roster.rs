//! The gateways of the fleet: how many there are, and which of them read the store.
//!
//! Each gateway registers its name and address once. Names of removed gateways stay, which only
//! makes the shares of the fleet's budget smaller; those that do not answer are passed over.

use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use jacinthpoint_adapter::paths::Freshness;
use jacinthpoint_types::{TimeMs, rendezvous_order};
use serde_json::json;
use tokio::sync::watch;

use crate::{
    clock::sleep_ms,
    excluded_peers::ExcludedPeers,
    state::Gateway,
    store::{Availability, Store, StoreError},
};

/// Kind of the gateways' registrations in the store.
const KIND: &str = "gateways";
/// Time before the first count. Gateways start within a few hundred milliseconds.
const FIRST_COUNT_MS: u64 = 500;
/// Longest time for which the first reads of the store wait for the first count.
const MAX_WAIT_MS: u64 = 900;
/// Time between the first counts; it doubles up to the longest.
const COUNT_MS: u64 = 3_000;
const MAX_COUNT_MS: u64 = 24_000;
/// Pause after a failure.
const BACKOFF_MS: u64 = 500;
/// Gateways of a data centre that are tried as its reader before all read the store themselves.
const MAX_READERS: usize = 3;
/// Gateways of the fleet that look at the lease often.
const CANDIDATES: usize = 4;
/// Gateways for each one that always reads the store.
const GATEWAYS_PER_READER: usize = 20;
/// Time for which a reader that failed is passed over.
const PASS_OVER_MS: u64 = 4_000;
/// The same for a reader that answers but does not reach the store: the store may be away, and is
/// read by all as long as the readers are passed over.
const PASS_OVER_STALE_MS: u64 = 1_000;

/// The registered gateways.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// Address for other gateways by name, those of this gateway's data centre.
    near: RefCell<BTreeMap<String, SocketAddr>>,
    /// The same of all gateways.
    all: RefCell<BTreeMap<String, Option<SocketAddr>>>,
    excluded: ExcludedPeers,
    is_known: watch::Sender<bool>,
}

impl Roster {
    /// The gateway to watch instead of the store; `None` if this one reads the store itself. All
    /// agree on the order, so the next in it takes over from one that does not answer.
    pub(crate) fn reader(&self, own: &str, now: TimeMs) -> Option<SocketAddr> {
        let near = self.near.borrow();
        let order = rendezvous_order("readers", near.keys());
        if !near.contains_key(own) || always_reads(&order, own) {
            return None;
        }
        let is_usable = |name: &&String| {
            name.as_str() == own || !self.excluded.is_excluded(&near[name.as_str()], now)
        };
        let reader = order.into_iter().take(MAX_READERS).find(is_usable)?;
        (reader.as_str() != own).then(|| near[reader.as_str()])
    }

    /// Waits until the gateways are known, or for a short time: the store may be away.
    pub(crate) async fn wait_known(&self) {
        let mut is_known = self.is_known.subscribe();
        let wait = Duration::from_millis(MAX_WAIT_MS);
        // Either way the caller goes on; without a roster it reads the store itself.
        let _ = tokio::time::timeout(wait, is_known.wait_for(|is_known| *is_known)).await;
    }

    /// Whether this gateway reads the store as long as it runs.
    pub(crate) fn always_reads(&self, own: &str) -> bool {
        let near = self.near.borrow();
        always_reads(&rendezvous_order("readers", near.keys()), own)
    }

    /// A reader did not answer.
    pub(crate) fn pass_over(&self, address: SocketAddr, now: TimeMs) {
        self.excluded.exclude(address, PASS_OVER_MS, now);
    }

    /// A reader answered that it knows nothing new itself.
    pub(crate) fn pass_over_stale(&self, address: SocketAddr, now: TimeMs) {
        self.excluded.exclude(address, PASS_OVER_STALE_MS, now);
    }

    /// Address of a gateway.
    pub(crate) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.all.borrow().get(name).copied().flatten()
    }

    /// Addresses of all other gateways.
    pub(crate) fn others(&self, own: &str) -> Vec<SocketAddr> {
        let all = self.all.borrow();
        let others = all.iter().filter(|(name, _)| name.as_str() != own);
        others.filter_map(|(_, address)| *address).collect()
    }

    /// Addresses of all gateways in the order in which they do a piece of work.
    pub(crate) fn ranked_addresses(&self, work: &str) -> Vec<SocketAddr> {
        let all = self.all.borrow();
        let order = rendezvous_order(work, all.keys());
        order.into_iter().filter_map(|name| all[name]).collect()
    }

    /// Whether this gateway is among those that look at the lease often.
    pub(crate) fn is_candidate(&self, own: &str) -> bool {
        let all = self.all.borrow();
        let order = rendezvous_order("owner", all.keys());
        let position = order.iter().position(|name| name.as_str() == own);
        position.is_none_or(|position| position < CANDIDATES)
    }
}

/// Whether `own` is among those in the order of readers that read the store as long as they run.
fn always_reads(order: &[&String], own: &str) -> bool {
    let always = order.len().div_ceil(GATEWAYS_PER_READER);
    order.iter().take(always).any(|name| name.as_str() == own)
}

/// Registers this gateway and counts all, for ever.
pub(crate) async fn maintain_roster(gateway: Rc<Gateway>) {
    let mut availability = Availability::default();
    let mut store = Store::new(gateway.settings().store);
    let is_first_start = register(&gateway, &mut store, &mut availability).await;
    if is_first_start {
        sleep_ms(FIRST_COUNT_MS).await;
    }
    let mut pause_ms = COUNT_MS;
    // Gateways come and go rarely, and one that is missing for seconds does no harm.
    let mut is_first = true;
    loop {
        let freshness = if is_first {
            Freshness::Newest
        } else {
            Freshness::MayBeOld
        };
        is_first = false;
        match store.list_all(KIND, freshness).await {
            Ok(list) => {
                availability.on_answer(KIND, false, gateway.now());
                let own = gateway.settings().data_centre.clone();
                // Names are never removed, and an old list may lack some that are known.
                let mut near = gateway.roster.near.borrow_mut();
                let mut all = gateway.roster.all.borrow_mut();
                for object in &list.objects {
                    let field = |name| object.content.get(name).and_then(|value| value.as_str());
                    let address = field("address").and_then(|text| text.parse().ok());
                    all.insert(object.name.clone(), address);
                    if let (true, Some(address)) =
                        (field("data_centre") == Some(own.as_str()), address)
                    {
                        near.insert(object.name.clone(), address);
                    }
                }
                gateway.gateway_count.set(all.len().max(1));
                drop((near, all));
                gateway.roster.is_known.send_replace(true);
            }
            Err(error) => availability.on_failure(KIND, &error, gateway.now()),
        }
        sleep_ms(pause_ms).await;
        pause_ms = (pause_ms * 2).min(MAX_COUNT_MS);
    }
}

/// Registers this gateway; tells whether its name is new. One that was there before under its name
/// may have another address.
async fn register(gateway: &Gateway, store: &mut Store, availability: &mut Availability) -> bool {
    let settings = gateway.settings();
    let name = settings.name.as_str();
    let content = json!({
        "data_centre": settings.data_centre.as_str(),
        "address": settings.peers.map(|address| address.to_string()),
    });
    loop {
        let created = store.create(KIND, name, &content).await;
        let is_new = created.is_ok();
        let result = match created {
            Err(StoreError::Conflict(Some(known))) if known.content != content => {
                store.replace(KIND, name, known.revision, &content).await
            }
            result => result,
        };
        match result {
            Ok(_) => return is_new,
            Err(StoreError::Conflict(Some(known))) if known.content == content => return false,
            Err(StoreError::Conflict(_)) => {}
            Err(error) => availability.on_failure(KIND, &error, gateway.now()),
        }
        sleep_ms(BACKOFF_MS).await;
    }
}
