//! Decodes configurations and entries of upstreams, applies them to the view of the fleet, and logs
//! the result.

use std::collections::BTreeSet;

use jacinthpoint_adapter::{
    DecodeError, List, StoredObject, decode_config, decode_upstream, paths, refused_models,
    refused_warm_ups,
};
use jacinthpoint_fleet::{ViewChange, WrittenEntry};

use crate::{
    events::log_event,
    state::Gateway,
    watch::{Interruption, log_refused},
};

/// Applies a configuration to the view. One that cannot be decoded is logged, and the one in force
/// stays.
pub(super) fn apply_config(gateway: &Gateway, object: &StoredObject) -> ViewChange {
    if object.name != paths::CONFIG_NAME {
        return ViewChange::Same;
    }
    let config = match decode_config(&object.content) {
        Ok(config) => config,
        Err(error) => {
            log_event!(error, ConfigRefused, revision = object.revision, %error,
                "a configuration cannot be decoded; the one in force stays");
            return ViewChange::Same;
        }
    };
    let refused = refused_models(&object.content).into_iter();
    for error in refused.chain(refused_warm_ups(&object.content)) {
        // Each has its own name in the log.
        let why = error.to_string();
        log_refused(gateway, paths::CONFIG_KIND, &why, object.revision, &why);
    }
    let version = config.version;
    let change = gateway.view.borrow_mut().apply_config(config);
    log_event!(info, ConfigInForce, %version, revision = object.revision, outcome = %change,
        "a configuration was read");
    change
}

/// Applies the whole list of upstreams. Entries that cannot be decoded are logged and left out.
pub(super) fn apply_list(gateway: &Gateway, list: List, interruption: Interruption) {
    apply_entries(gateway, &list, true, interruption);
}

/// Applies a list that could not be read to its end. Upstreams that are not on it may exist, so none is removed.
pub(super) fn apply_unfinished_list(gateway: &Gateway, list: &List, interruption: Interruption) {
    apply_entries(gateway, list, false, interruption);
}

fn apply_entries(gateway: &Gateway, list: &List, is_whole: bool, interruption: Interruption) {
    let entries = list.objects.iter().filter_map(|object| {
        decode_upstream(&object.name, &object.content)
            .map_err(|error| log_refused_upstream(gateway, object, &error))
            .ok()
    });
    let mut entries: Vec<_> = entries.collect();
    if !is_whole {
        let listed: BTreeSet<&str> = list.objects.iter().map(|o| o.name.as_str()).collect();
        let view = gateway.view.borrow();
        let known = view.upstreams().values();
        entries.extend(
            known
                .filter(|known| !listed.contains(known.id.as_str()))
                .map(|known| WrittenEntry::from(known.clone())),
        );
    }
    let now = gateway.now();
    let count_before = gateway.view.borrow().upstreams().len();
    let mut view = gateway.view.borrow_mut();
    let change = match interruption {
        Interruption::None => view.apply_list(entries, false, now),
        Interruption::Outage => view.apply_list(entries, true, now),
        Interruption::Restore => view.apply_restored_list(entries, now),
    };
    drop(view);
    log_outdated(gateway, list.position.revision);
    let count_after = gateway.view.borrow().upstreams().len();
    log_event!(
        info,
        UpstreamChanged,
        revision = list.position.revision,
        before = count_before,
        after = count_after,
        was_away = interruption != Interruption::None,
        %interruption,
        "the list of upstreams was read"
    );
    gateway.on_view_change(change);
}

/// Applies the change of one entry to the view.
pub(super) fn apply_entry(
    gateway: &Gateway,
    object: &StoredObject,
    is_removed: bool,
    is_after_outage: bool,
) -> ViewChange {
    if is_removed {
        return apply_removal(gateway, object, is_after_outage);
    }
    match decode_upstream(&object.name, &object.content) {
        Ok(entry) => {
            let id = entry.upstream.id.clone();
            let state = entry.upstream.state;
            let membership = entry.upstream.membership.clone();
            let now = gateway.now();
            let change = gateway.view.borrow_mut().apply_upstream(entry, now);
            log_outdated(gateway, object.revision);
            if change == ViewChange::Changed {
                let group = membership.as_ref().map(|m| m.group.to_string());
                let group_state = membership.as_ref().map(|m| m.state.to_string());
                log_event!(info, UpstreamChanged, upstream = %id, revision = object.revision,
                    %state, group, group_state, "an upstream changed");
            }
            change
        }
        Err(error) => {
            log_refused_upstream(gateway, object, &error);
            discard_unreadable(gateway, object)
        }
    }
}

/// Logs and counts the entries that were just read and are not used, because newer ones are known.
fn log_outdated(gateway: &Gateway, revision: u64) {
    let outdated = gateway.view.borrow_mut().take_outdated();
    for entry in outdated {
        gateway
            .metrics
            .count("entries_outdated", paths::UPSTREAM_KIND);
        log_event!(warn, EntryOutdated, upstream = %entry.id, revision, number = entry.number.0,
            newest = entry.newest.map(|newest| newest.0), started_unix_ms = entry.started_unix_ms,
            "an entry of an upstream is older than the one that is known and is not used");
    }
}

/// Removes an upstream whose entry was removed. After an outage of the store, only starts the time
/// in which the upstream can write its entry again.
fn apply_removal(gateway: &Gateway, object: &StoredObject, is_after_outage: bool) -> ViewChange {
    let Ok(id) = object.name.parse() else {
        return ViewChange::Same;
    };
    let mut view = gateway.view.borrow_mut();
    if is_after_outage {
        // Entries expire during an outage of the store, and live upstreams write them again.
        view.start_expiry_grace(&id, gateway.now());
        return ViewChange::Same;
    }
    let change = view.remove_upstream(&id, gateway.now());
    log_gone(object, change, "its entry was removed");
    change
}

/// Removes an upstream whose entry cannot be decoded.
fn discard_unreadable(gateway: &Gateway, object: &StoredObject) -> ViewChange {
    let Ok(id) = object.name.parse() else {
        return ViewChange::Same;
    };
    let change = gateway.view.borrow_mut().discard_unreadable(&id);
    log_gone(object, change, "its entry cannot be decoded");
    change
}

/// Logs that an upstream was removed, if `change` says that the view had it.
fn log_gone(object: &StoredObject, change: ViewChange, why: &'static str) {
    if change == ViewChange::Changed {
        log_event!(
            info,
            UpstreamGone,
            upstream = object.name,
            revision = object.revision,
            why,
            "an upstream is gone"
        );
    }
}

/// Logs that the entry of an upstream cannot be decoded.
fn log_refused_upstream(gateway: &Gateway, object: &StoredObject, error: &DecodeError) {
    let (kind, why) = (paths::UPSTREAM_KIND, error.to_string());
    log_refused(gateway, kind, &object.name, object.revision, &why);
}

/// Returns whether a change that was applied forbids what the view before it allows: each one of a
/// configuration, and one after which an upstream gets no requests.
pub(super) fn is_decisive(
    gateway: &Gateway,
    kind: &str,
    object: &StoredObject,
    is_removed: bool,
) -> bool {
    if is_removed || kind != paths::UPSTREAM_KIND {
        return true;
    }
    let Ok(id) = object.name.parse() else {
        return true;
    };
    let view = gateway.view.borrow();
    let known = view.upstreams().get(&id);
    known.is_none_or(|known| known.is_draining())
}
