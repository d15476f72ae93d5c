//! Takes what a watch brings into the view: configurations and entries of upstreams.

use jacinthpoint_adapter::{
    DecodeError, List, StoredObject, decode_config, decode_upstream, paths,
};
use jacinthpoint_fleet::ViewChange;

use crate::{events::log_event, state::Gateway};

pub(super) fn take_config(gateway: &Gateway, object: &StoredObject) {
    if object.name != paths::CONFIG_NAME {
        return;
    }
    let config = match decode_config(&object.content) {
        Ok(config) => config,
        Err(error) => {
            log_event!(error, ConfigRefused, revision = object.revision, %error,
                "a configuration cannot be read");
            return;
        }
    };
    let version = config.version;
    let change = gateway.view.borrow_mut().apply_config(config);
    log_event!(info, ConfigInForce, %version, revision = object.revision, outcome = %change,
        "a configuration was read");
    gateway.on_view_change(change);
}

pub(super) fn take_list(gateway: &Gateway, list: List, was_away: bool) {
    let entries = list.objects.iter().filter_map(|object| {
        decode_upstream(&object.name, &object.content)
            .map_err(|error| log_refused(object, &error))
            .ok()
    });
    let entries: Vec<_> = entries.collect();
    let now = gateway.now();
    let before = gateway.view.borrow().upstreams().len();
    let change = gateway.view.borrow_mut().apply_list(entries, was_away, now);
    let after = gateway.view.borrow().upstreams().len();
    log_event!(
        info,
        UpstreamChanged,
        revision = list.revision,
        before,
        after,
        was_away,
        "the list of upstreams was read"
    );
    gateway.on_view_change(change);
}

pub(super) fn take_entry(gateway: &Gateway, object: &StoredObject, is_gone: bool, was_away: bool) {
    let change = if is_gone {
        take_removed(gateway, object, was_away)
    } else {
        match decode_upstream(&object.name, &object.content) {
            Ok(entry) => {
                let id = entry.id.clone();
                let state = entry.state;
                let membership = entry.membership.clone();
                let change = gateway.view.borrow_mut().apply_upstream(entry);
                if change == ViewChange::Changed {
                    let group = membership.as_ref().map(|m| m.group.to_string());
                    let group_state = membership.as_ref().map(|m| m.state.to_string());
                    log_event!(info, UpstreamChanged, upstream = %id, revision = object.revision,
                        %state, group, group_state, "an upstream changed");
                }
                change
            }
            Err(error) => {
                log_refused(object, &error);
                take_unreadable(gateway, object)
            }
        }
    };
    gateway.on_view_change(change);
}

fn take_removed(gateway: &Gateway, object: &StoredObject, was_away: bool) -> ViewChange {
    let Ok(id) = object.name.parse() else {
        return ViewChange::Same;
    };
    let mut view = gateway.view.borrow_mut();
    if was_away {
        // Entries lapse while the store is away, and live upstreams write them anew.
        view.start_expiry_grace(&id, gateway.now());
        return ViewChange::Same;
    }
    let change = view.remove_upstream(&id, gateway.now());
    log_gone(object, change, "its entry was removed");
    change
}

fn take_unreadable(gateway: &Gateway, object: &StoredObject) -> ViewChange {
    let Ok(id) = object.name.parse() else {
        return ViewChange::Same;
    };
    let change = gateway.view.borrow_mut().discard_unreadable(&id);
    log_gone(object, change, "its entry cannot be read");
    change
}

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

fn log_refused(object: &StoredObject, error: &DecodeError) {
    log_event!(warn, EntryRefused, upstream = object.name, revision = object.revision, %error,
        "an entry cannot be read");
}
