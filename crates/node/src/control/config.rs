//! Keeps the newest configuration in force: watched by a few nodes, passed on among the rest.
//!
//! A node that puts a new revision in force tells a few others at once. Whoever was not told sees
//! the revision in the messages that nodes exchange all the time, and fetches what changed.

use std::{
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use crossbeam::channel::Receiver;
use jacinthpoint_platform::{Object, Version};
use jacinthpoint_records::{
    CONFIG_KIND, CONFIG_NAME, Config, Delta, RecordsObject, apply_delta, delta,
};
use jacinthpoint_types::Revision;
use jacinthpoint_wire::{Datagram, PeerReply, PeerRequest, encode};

use crate::{
    control::messages::ask_peer,
    events::log_event,
    shared::{ConfigInForce, Shared},
};

/// Nodes that watch the platform's object.
const WATCHER_COUNT: usize = 3;
/// How long one watch waits.
const WATCH_TIMEOUT_MS: u64 = 10_000;
/// How often a node that does not watch looks whether it shall.
const ROLE_CHECK_INTERVAL_MS: u64 = 500;
/// How often a node looks at its peers' revisions when it is not told of a new one.
const PEER_CHECK_INTERVAL_MS: u64 = 200;
/// Pause after the platform failed.
const RETRY_DELAY_MS: u64 = 500;
/// Nodes that are told at once of a new revision; with each telling as many, a few hops reach
/// nearly all.
const ANNOUNCE_FANOUT: usize = 4;

/// Watches the platform's object while this node is dealt that work or has no configuration.
pub(crate) fn run_watch(shared: &Shared, socket: &UdpSocket) {
    // A configuration that was refused is not asked for again; a later one is.
    let mut seen = Revision(0);
    while !shared.is_stopped() {
        seen = seen.max(shared.revision());
        let is_watcher = shared
            .own_rank("config-watch")
            .is_some_and(|rank| rank < WATCHER_COUNT);
        if is_watcher || shared.config().is_none() {
            seen = watch(shared, socket, seen);
        } else {
            shared.sleep_ms(ROLE_CHECK_INTERVAL_MS);
        }
    }
}

/// Fetches newer configurations from peers. `told` brings the addresses of nodes that told of one.
pub(crate) fn run_peers(shared: &Shared, socket: &UdpSocket, announced: &Receiver<SocketAddr>) {
    while !shared.is_stopped() {
        let announcer = announced
            .recv_timeout(Duration::from_millis(PEER_CHECK_INTERVAL_MS))
            .ok();
        let Some(address) = announcer.or_else(|| newer_peer(shared)) else {
            continue;
        };
        // A peer that fails is asked again, or another one is, in the next round.
        let request = PeerRequest::Config {
            above: shared.revision(),
        };
        if let Ok(reply) = ask_peer(address, &request) {
            apply_reply(shared, socket, reply);
        }
    }
}

/// The answer to a peer that has the configuration of revision `above`.
pub(crate) fn reply_above(shared: &Shared, above: Revision) -> PeerReply {
    let Some(newest) = shared
        .config()
        .filter(|newest| newest.config.revision > above)
    else {
        return PeerReply::Nothing;
    };
    let revision = newest.config.revision;
    match shared.past_config(above) {
        Some(old) => {
            let Delta { dropped, added } = delta(&old.records, &newest.records);
            let records = newest.records.len() as u32;
            PeerReply::ConfigChange {
                revision,
                records,
                dropped,
                added,
            }
        }
        None => {
            let records_json = format!("{{\"records\":[{}]}}", newest.records.join(","));
            PeerReply::Config {
                revision,
                records_json,
            }
        }
    }
}

/// Waits for a configuration above `seen`, and returns the revision seen then.
fn watch(shared: &Shared, socket: &UdpSocket, seen: Revision) -> Revision {
    // The first read must not wait for a change.
    let wait_ms = if shared.config().is_none() {
        0
    } else {
        WATCH_TIMEOUT_MS
    };
    match shared
        .platform
        .watch(CONFIG_KIND, CONFIG_NAME, Version(seen.0), wait_ms)
    {
        Ok(Some(object)) => {
            let revision = Revision(object.version.0);
            apply_object(shared, socket, object);
            return revision;
        }
        Ok(None) if wait_ms == 0 => shared.sleep_ms(PEER_CHECK_INTERVAL_MS),
        Ok(None) => {}
        Err(error) => {
            log_event!(warn, PlatformFailed, %error, "configuration not read");
            shared.sleep_ms(RETRY_DELAY_MS);
        }
    }
    seen
}

fn apply_object(shared: &Shared, socket: &UdpSocket, object: Object) {
    let revision = Revision(object.version.0);
    match serde_json::from_value::<RecordsObject>(object.value) {
        Ok(object) => apply(shared, socket, revision, &object),
        Err(error) => refuse(shared, revision, &error.to_string()),
    }
}

fn apply_reply(shared: &Shared, socket: &UdpSocket, reply: PeerReply) {
    match reply {
        PeerReply::Config {
            revision,
            records_json,
        } => match serde_json::from_str(&records_json) {
            Ok(object) => apply(shared, socket, revision, &object),
            Err(error) => refuse(shared, revision, &error.to_string()),
        },
        PeerReply::ConfigChange {
            revision,
            records,
            dropped,
            added,
        } => {
            let Some(own) = shared.config() else { return };
            let delta = Delta { dropped, added };
            let changed = apply_delta(&own.records, &delta);
            let Some(list) = changed.filter(|list| list.len() == records as usize) else {
                return;
            };
            let values = list
                .iter()
                .map(|record| serde_json::from_str(record))
                .collect();
            match values {
                Ok(records) => apply(shared, socket, revision, &RecordsObject { records }),
                Err(error) => refuse(shared, revision, &error.to_string()),
            }
        }
        // An answer to another question changes nothing.
        _ => {}
    }
}

fn apply(shared: &Shared, socket: &UdpSocket, revision: Revision, object: &RecordsObject) {
    let config = match Config::from_object(revision, object) {
        Ok(config) => config,
        Err(error) => return refuse(shared, revision, &error.to_string()),
    };
    let records = object.records.iter().map(ToString::to_string).collect();
    if shared.put_in_force(ConfigInForce { config, records }) {
        shared.peers().set_revision(revision);
        log_event!(info, ConfigInForce, %revision, "configuration in force");
        announce(shared, socket, revision);
    }
}

fn refuse(shared: &Shared, revision: Revision, error: &str) {
    log_event!(error, ConfigRefused, %revision, %error, "the one in force stays");
    shared.sleep_ms(RETRY_DELAY_MS);
}

fn announce(shared: &Shared, socket: &UdpSocket, revision: Revision) {
    let address = shared.settings.peers_address();
    let bytes = encode(&Datagram::ConfigNews { revision, address });
    let peers = shared.peers().random_live(ANNOUNCE_FANOUT);
    for peer in peers {
        // Who misses it sees the revision in the next exchange.
        let _ = socket.send_to(&bytes, peer.address);
    }
}

fn newer_peer(shared: &Shared) -> Option<SocketAddr> {
    let own = shared.revision();
    let peers = shared.peers();
    let (revision, peer) = peers.newest_revision()?;
    (revision > own).then_some(peer.address)
}
