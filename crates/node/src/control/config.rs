//! Keeps the newest configuration in force: watched by a few nodes, fetched from peers by the
//! rest.

use std::{net::TcpStream, time::Duration};

use jacinthpoint_platform::{Object, Version};
use jacinthpoint_records::{CONFIG_KIND, CONFIG_NAME, Config, RecordsObject};
use jacinthpoint_types::Revision;
use jacinthpoint_wire::{PeerReply, PeerRequest, read_frame, write_frame};

use crate::{
    events::log_event,
    shared::{ConfigInForce, Shared},
};

/// Nodes that watch the platform's object.
const WATCHERS: usize = 3;
/// How long one watch waits.
const WATCH_MS: u64 = 10_000;
/// How often a node that does not watch looks at its peers' revisions.
const PEER_CHECK_MS: u64 = 200;
/// Time for a peer's answer.
const PEER_TIMEOUT_MS: u64 = 1_000;
/// Pause after the platform failed.
const RETRY_MS: u64 = 500;

/// Follows the configuration until the node stops.
pub(crate) fn run(shared: &Shared) {
    while !shared.is_stopped() {
        fetch_from_newest_peer(shared);
        let is_watcher = shared
            .own_rank("config-watch")
            .is_some_and(|rank| rank < WATCHERS);
        if is_watcher || shared.config().is_none() {
            watch(shared);
        } else {
            shared.sleep_ms(PEER_CHECK_MS);
        }
    }
}

fn watch(shared: &Shared) {
    let seen = Version(shared.revision().0);
    // The first read must not wait for a change.
    let wait_ms = if shared.config().is_none() {
        0
    } else {
        WATCH_MS
    };
    match shared
        .platform
        .watch(CONFIG_KIND, CONFIG_NAME, seen, wait_ms)
    {
        Ok(Some(object)) => accept_object(shared, object),
        Ok(None) if wait_ms == 0 => shared.sleep_ms(PEER_CHECK_MS),
        Ok(None) => {}
        Err(error) => {
            log_event!(warn, PlatformFailed, %error, "configuration not read");
            shared.sleep_ms(RETRY_MS);
        }
    }
}

fn accept_object(shared: &Shared, object: Object) {
    let records_json = object.value.to_string();
    accept(shared, Revision(object.version.0), records_json);
}

fn accept(shared: &Shared, revision: Revision, records_json: String) {
    let parsed = serde_json::from_str::<RecordsObject>(&records_json)
        .map_err(|error| error.to_string())
        .and_then(|object| {
            Config::from_object(revision, &object).map_err(|error| error.to_string())
        });
    match parsed {
        Ok(config) => {
            if shared.put_in_force(ConfigInForce {
                config,
                records_json,
            }) {
                log_event!(info, ConfigInForce, %revision, "configuration in force");
            }
        }
        Err(error) => {
            log_event!(error, ConfigRefused, %revision, %error, "the one in force stays");
            shared.sleep_ms(RETRY_MS);
        }
    }
}

fn fetch_from_newest_peer(shared: &Shared) {
    let own = shared.revision();
    let newest = shared
        .peers()
        .newest_revision(shared.now())
        .filter(|(revision, _)| *revision > own)
        .map(|(_, peer)| peer.address);
    let Some(address) = newest else { return };
    let timeout = Duration::from_millis(PEER_TIMEOUT_MS);
    let reply = TcpStream::connect_timeout(&address, timeout).and_then(|mut stream| {
        stream.set_read_timeout(Some(timeout))?;
        write_frame(&mut stream, &PeerRequest::Config { above: own })?;
        read_frame::<PeerReply>(&mut stream)
    });
    // A peer that fails is asked again, or another one is, in the next round.
    if let Ok(PeerReply::Config {
        revision,
        records_json,
    }) = reply
    {
        accept(shared, revision, records_json);
    }
}
