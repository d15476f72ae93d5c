//! Keeps the view of the fleet by watches on the platform's store.

use std::rc::Rc;

use jacinthpoint_adapter::{
    Events, List, StoredObject,
    paths::{self, Freshness},
};
use jacinthpoint_fleet::ViewChange;

use crate::{
    clock::sleep_ms,
    events::log_event,
    state::Gateway,
    store::{Availability, StoreClient, StoreError},
    watch::entries::{take_config, take_entry, take_list},
};

mod entries;

/// Longest wait of one watch. A connection may fall silent for good; then nothing is heard until
/// the wait and the time for the answer are over, and a configuration must be in force within
/// seconds. It also bounds the age of what is passed on to other gateways.
const WAIT_MS: u64 = 800;
/// Longest wait of a watch on another gateway.
const RELAY_WAIT_MS: u64 = 400;
/// Pause after events, in which further ones gather: upstreams publish in bursts, and each answer
/// of a watch is charged. Gateways that watch this one need not gather once more.
const GATHER_MS: u64 = 150;
/// The same for the gateway that gives orders: each step of a repair waits for it.
const OWNER_GATHER_MS: u64 = 50;
/// Pause after the refusal of a reader.
const REFUSED_PAUSE_MS: u64 = 150;
/// Time between two looks for entries that did not come back after an outage.
const EXPIRE_EVERY_MS: u64 = 100;

/// What a watch feeds.
struct Feed {
    kind: &'static str,
    on_list: fn(&Gateway, List, bool),
    on_change: fn(&Gateway, &StoredObject, bool, bool),
}

/// Watches the configuration for ever.
pub(crate) async fn watch_config(gateway: Rc<Gateway>) {
    let feed = Feed {
        kind: paths::CONFIG_KIND,
        on_list: |gateway, list, _| {
            for object in &list.objects {
                take_config(gateway, object);
            }
        },
        on_change: |gateway, object, is_gone, _| {
            if !is_gone {
                take_config(gateway, object);
            }
        },
    };
    run(&gateway, &feed).await;
}

/// Watches the entries of upstreams for ever.
pub(crate) async fn watch_upstreams(gateway: Rc<Gateway>) {
    let feed = Feed {
        kind: paths::UPSTREAM_KIND,
        on_list: take_list,
        on_change: take_entry,
    };
    run(&gateway, &feed).await;
}

/// Drops entries that did not come back after an outage of the store, and members that have been
/// missing in the list for too long.
pub(crate) async fn expire_entries(gateway: Rc<Gateway>) {
    loop {
        sleep_ms(EXPIRE_EVERY_MS).await;
        let now = gateway.now();
        let change = gateway.view.borrow_mut().expire_unlisted(now);
        gateway.on_view_change(change);
        let expired = gateway.view.borrow_mut().end_expiry_grace(now);
        for id in &expired {
            log_event!(warn, UpstreamGone, upstream = %id, why = "not back after an outage",
                "an upstream is gone");
        }
        if !expired.is_empty() {
            gateway.on_view_change(ViewChange::Changed);
        }
    }
}

/// How far the reading of a kind has come.
#[derive(Debug, Default)]
struct Progress {
    revision: Option<u64>,
    must_list: bool,
    availability: Availability,
}

async fn run(gateway: &Gateway, feed: &Feed) {
    let mut progress = Progress::default();
    gateway.roster.wait_until_known().await;
    loop {
        let mut source = source(gateway, feed.kind);
        let is_known = progress.revision.is_some() && !progress.must_list && source.is_relayed();
        let listed = if is_known {
            Ok(())
        } else {
            read_list(gateway, feed, &mut source, &mut progress).await
        };
        progress.must_list &= listed.is_err();
        let result = match listed {
            Ok(()) => follow(gateway, feed, &mut source, &mut progress).await,
            Err(error) => Err(error),
        };
        let now = gateway.now();
        match result {
            Ok(()) => {}
            Err(StoreError::HistoryGone) => {
                log_event!(
                    info,
                    HistoryLost,
                    kind = feed.kind,
                    revision = progress.revision,
                    relayed = source.is_relayed(),
                    "the list is read again"
                );
                progress.must_list = true;
            }
            Err(StoreError::Refused(503)) if source.is_relayed() => {
                if progress.availability.tracker.on_relay_refusal() {
                    gateway.roster.exclude_stale_reader(source.address(), now);
                } else {
                    sleep_ms(REFUSED_PAUSE_MS).await;
                }
            }
            Err(_) if source.is_relayed() => gateway.roster.exclude_reader(source.address(), now),
            Err(error) => {
                progress.availability.on_failure(feed.kind, &error, now);
                let reading = &progress.availability.tracker;
                sleep_ms(reading.backoff_ms(is_substitute(gateway))).await;
            }
        }
    }
}

/// Whether this gateway reads the store only because its readers refuse or do not answer.
fn is_substitute(gateway: &Gateway) -> bool {
    let own = gateway.settings().name.clone();
    !gateway.is_owner() && !gateway.roster.is_permanent_reader(own.as_str())
}

/// The gateway to watch, if this one does not read the store itself. The owner of the groups does.
fn reader(gateway: &Gateway) -> Option<std::net::SocketAddr> {
    let own = gateway.settings().name.clone();
    let reader = gateway.roster.reader(own.as_str(), gateway.now());
    reader.filter(|_| !gateway.is_owner())
}

/// Whom to ask: the store, or a gateway nearby that asks it.
fn source(gateway: &Gateway, kind: &'static str) -> StoreClient {
    match reader(gateway) {
        Some(address) => {
            gateway.relay.remove_kind(kind);
            StoreClient::for_relay(address)
        }
        None => StoreClient::new(gateway.settings().store),
    }
}

/// Reads the whole list, unless the source knows less than this gateway already did.
async fn read_list(
    gateway: &Gateway,
    feed: &Feed,
    source: &mut StoreClient,
    progress: &mut Progress,
) -> Result<(), StoreError> {
    let list = source.list_all(feed.kind, Freshness::Newest).await?;
    if progress.revision.is_some_and(|known| known > list.revision) {
        return Err(StoreError::Refused(503));
    }
    let now = gateway.now();
    let was_away = progress
        .availability
        .on_answer(feed.kind, source.is_relayed(), now);
    if !source.is_relayed() {
        gateway
            .relay
            .on_list(feed.kind, &list.objects, list.revision, now);
    }
    progress.revision = Some(list.revision);
    (feed.on_list)(gateway, list, was_away);
    Ok(())
}

/// Watches one source from the known revision on until it fails or another one should be asked.
async fn follow(
    gateway: &Gateway,
    feed: &Feed,
    source: &mut StoreClient,
    progress: &mut Progress,
) -> Result<(), StoreError> {
    let mut after = progress.revision.unwrap_or(0);
    loop {
        let is_relayed = source.is_relayed();
        let wait_ms = if is_relayed { RELAY_WAIT_MS } else { WAIT_MS };
        let Events {
            changes,
            revision: next,
        } = source.watch(feed.kind, after, wait_ms).await?;
        let now = gateway.now();
        let was_away = progress
            .availability
            .on_answer(feed.kind, source.is_relayed(), now);
        if !is_relayed {
            gateway.relay.on_events(feed.kind, &changes, next, now);
        }
        after = after.max(next);
        progress.revision = Some(after);
        for (object, is_gone) in &changes {
            (feed.on_change)(gateway, object, *is_gone, was_away);
        }
        if !changes.is_empty() && !is_relayed {
            let is_owner = gateway.is_owner();
            sleep_ms(if is_owner { OWNER_GATHER_MS } else { GATHER_MS }).await;
        }
        if reader(gateway).is_some() != is_relayed {
            return Ok(());
        }
    }
}
