//! Every node needs the newest configuration soon after it is written, without each of them
//! watching the platform. A few watcher nodes watch the platform's object.
//!
//! A node that puts a new revision in force announces it to a few random nodes at once, which fetch
//! the changed records. A node that receives no announcement sees the revision in the gossip of the
//! failure detector, and then fetches the changes.

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
    shared::{CheckedConfig, Shared},
};

/// Number of nodes that watch the platform's object.
const WATCHER_COUNT: usize = 3;
/// Time for which one watch waits for a change.
const WATCH_TIMEOUT_MS: u64 = 10_000;
/// Interval at which a node that is not a watcher checks whether it has become one.
const ROLE_CHECK_INTERVAL_MS: u64 = 500;
/// Interval at which a node without announcements compares its peers' revisions with its own, and
/// at which a node without a configuration reads the platform's object.
const PEER_CHECK_INTERVAL_MS: u64 = 200;
/// Pause after a failed call to the platform or a refused configuration.
const RETRY_DELAY_MS: u64 = 500;
/// Number of nodes to which a node announces a new revision. As every receiver announces it to as
/// many, a few hops reach nearly all nodes.
const ANNOUNCE_FANOUT: usize = 4;

/// Watches the platform's object while this node is a watcher or has no configuration, until the
/// node stops.
pub(crate) fn run_watch(shared: &Shared, socket: &UdpSocket) {
    // Includes refused revisions, so that only a later revision than a refused one is read.
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

/// Fetches newer configurations from peers until the node stops. `announced` receives the addresses
/// of nodes that announced one.
pub(crate) fn run_peers(shared: &Shared, socket: &UdpSocket, announced: &Receiver<SocketAddr>) {
    while !shared.is_stopped() {
        let announcer = announced
            .recv_timeout(Duration::from_millis(PEER_CHECK_INTERVAL_MS))
            .ok();
        let Some(address) = announcer.or_else(|| newer_peer(shared)) else {
            continue;
        };
        // If the exchange fails, the next round retries, possibly with another peer.
        let request = PeerRequest::Config {
            above: shared.revision(),
        };
        if let Ok(reply) = ask_peer(address, &request) {
            apply_reply(shared, socket, reply);
        }
    }
}

/// Returns the reply to a peer whose configuration has revision `known_revision`: the changed
/// records if that revision is still kept, else all records.
pub(crate) fn reply(shared: &Shared, known_revision: Revision) -> PeerReply {
    let Some(newest) = shared
        .config()
        .filter(|newest| newest.config.revision > known_revision)
    else {
        return PeerReply::Nothing;
    };
    let revision = newest.config.revision;
    match shared.past_config(known_revision) {
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

/// Watches for a revision above `seen` and applies it. Returns the newest revision seen.
fn watch(shared: &Shared, socket: &UdpSocket, seen: Revision) -> Revision {
    // A node without a configuration reads the object at once instead of waiting for a change.
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
            log_event!(
                warn, PlatformFailed, %error,
                "cannot read the configuration from the platform"
            );
            shared.sleep_ms(RETRY_DELAY_MS);
        }
    }
    seen
}

/// Parses and applies the platform's object.
fn apply_object(shared: &Shared, socket: &UdpSocket, object: Object) {
    let revision = Revision(object.version.0);
    match serde_json::from_value::<RecordsObject>(object.value) {
        Ok(object) => apply(shared, socket, revision, &object),
        Err(error) => refuse(shared, revision, &error.to_string()),
    }
}

/// Parses and applies a peer's reply.
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
            // A difference that does not fit this node's records is dropped; the next round fetches
            // again.
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
        // `Nothing`, or a reply of the wrong kind.
        _ => {}
    }
}

/// Checks a configuration and puts it in force if it is newer than the current one. The peers then
/// get an announcement. A configuration with errors is refused.
fn apply(shared: &Shared, socket: &UdpSocket, revision: Revision, object: &RecordsObject) {
    let config = match Config::from_object(revision, object) {
        Ok(config) => config,
        Err(error) => return refuse(shared, revision, &error.to_string()),
    };
    let records = object.records.iter().map(ToString::to_string).collect();
    if shared.put_in_force(CheckedConfig { config, records }) {
        shared.peers().set_revision(revision);
        log_event!(info, ConfigInForce, %revision, "configuration in force");
        announce(shared, socket, revision);
    }
}

/// Logs a refused configuration and pauses, because the next round fetches a peer's faulty
/// configuration again.
fn refuse(shared: &Shared, revision: Revision, error: &str) {
    log_event!(
        error, ConfigRefused, %revision, %error,
        "configuration refused, the one in force stays"
    );
    shared.sleep_ms(RETRY_DELAY_MS);
}

/// Announces a revision to a few random live nodes.
fn announce(shared: &Shared, socket: &UdpSocket, revision: Revision) {
    let address = shared.settings.advertised_peers_address();
    let bytes = encode(&Datagram::ConfigNews { revision, address });
    let peers = shared.peers().random_live(ANNOUNCE_FANOUT);
    for peer in peers {
        // A node that misses the announcement sees the revision in the gossip.
        let _ = socket.send_to(&bytes, peer.address);
    }
}

/// Returns the address of the live peer with the highest revision, if it is above this node's
/// revision.
fn newer_peer(shared: &Shared) -> Option<SocketAddr> {
    let own = shared.revision();
    let peers = shared.peers();
    let (revision, peer) = peers.newest_revision()?;
    (revision > own).then_some(peer.address)
}
