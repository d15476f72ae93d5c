//! Checks for values that are each valid but conflict with each other.

use std::net::SocketAddr;

use jacinthpoint_settings::Reader;

use crate::settings::NodeSettings;

/// Records a fault in `reader` for each conflict between values.
pub(super) fn check_clashes(settings: &NodeSettings, reader: &mut Reader<'_>) {
    let listeners = [
        ("callers", settings.listen_callers),
        ("operators", settings.listen_operators),
        ("peers", settings.listen_peers),
    ];
    for (index, (name, address)) in listeners.iter().enumerate() {
        for (earlier, other) in &listeners[..index] {
            if overlap(*address, *other) {
                let message = format!("`{name}` takes the same address as `{earlier}`");
                reader.add_error("listen", Some(name), message);
            }
        }
        if *address == settings.platform && address.port() != 0 {
            let message = format!("`address` is where this node listens for `{name}`");
            reader.add_error("platform", Some("address"), message);
        }
    }
    if settings.advertised_peers_address().ip().is_unspecified() {
        let message = "`peers`, or else `advertise_peers`, must be an address at which other nodes \
                       reach this one, since it is told to them";
        reader.add_error("listen", Some("peers"), message.to_owned());
    }
    if settings.statsd == Some(settings.listen_peers) {
        let message = "`statsd` is where this node listens for `peers`".to_owned();
        reader.add_error("metrics", Some("statsd"), message);
    }
    if settings.drain_announce_ms >= settings.drain_deadline_ms {
        let message = format!(
            "`drain_announce_ms = {}` leaves no time before `drain_deadline_ms = {}`",
            settings.drain_announce_ms, settings.drain_deadline_ms
        );
        reader.add_error("limits", Some("drain_announce_ms"), message);
    }
}

/// Returns whether two listeners cannot both be bound. Port 0 never overlaps, because the system
/// replaces it by a free port.
fn overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same_ip && a.port() == b.port() && a.port() != 0
}
