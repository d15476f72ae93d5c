//! Applies evacuations of data centres to the view of the fleet, and logs the result.

use std::collections::BTreeSet;

use jacinthpoint_adapter::{List, StoredObject, decode_evacuation, paths};
use jacinthpoint_fleet::{EvacuationChange, ViewChange};
use jacinthpoint_types::{DataCentreId, TimeMs};

use crate::{
    events::log_event,
    state::Gateway,
    watch::{Interruption, log_refused},
};

/// Returns the data centre that an object is named after. What the object contains does not matter: one
/// that cannot be read requests the evacuation, too. Logs a name that no data centre can have.
fn data_centre(gateway: &Gateway, object: &StoredObject) -> Option<DataCentreId> {
    decode_evacuation(&object.name)
        .inspect_err(|error| {
            let (kind, why) = (paths::EVACUATION_KIND, error.to_string());
            log_refused(gateway, kind, &object.name, object.revision, &why);
        })
        .ok()
}

/// Applies a list of evacuations. One that is not whole ends none.
pub(super) fn apply_evacuations(
    gateway: &Gateway,
    list: &List,
    is_whole: bool,
    interruption: Interruption,
) {
    let objects = list.objects.iter();
    let listed: BTreeSet<DataCentreId> = objects
        .filter_map(|object| data_centre(gateway, object))
        .collect();
    let now = gateway.now();
    let mut view = gateway.view.borrow_mut();
    let evacuations = &mut view.evacuations;
    let changes = match interruption {
        _ if !is_whole => evacuations.apply_unfinished_list(&listed),
        Interruption::Restore => evacuations.apply_restored_list(&listed, now),
        Interruption::None | Interruption::Outage => evacuations.apply_list(&listed, now),
    };
    drop(view);
    on_changes(gateway, &changes, Some(list.position.revision));
}

/// Applies the change of one object.
pub(super) fn apply_evacuation(
    gateway: &Gateway,
    object: &StoredObject,
    is_removed: bool,
) -> ViewChange {
    let Some(data_centre) = data_centre(gateway, object) else {
        return ViewChange::Same;
    };
    let now = gateway.now();
    let mut view = gateway.view.borrow_mut();
    let change = match is_removed {
        true => view.evacuations.end(data_centre, now),
        false => view.evacuations.begin(data_centre),
    };
    drop(view);
    match change {
        Some(change) => {
            log_change(gateway, &change, Some(object.revision));
            ViewChange::Changed
        }
        None => ViewChange::Same,
    }
}

/// Ends the evacuations that a restored store lacks and that were not written again in time.
pub(super) fn release_evacuations(gateway: &Gateway, now: TimeMs) {
    let changes = gateway.view.borrow_mut().evacuations.release_held(now);
    on_changes(gateway, &changes, None);
}

/// Logs changes, and puts them in force.
fn on_changes(gateway: &Gateway, changes: &[EvacuationChange], revision: Option<u64>) {
    for change in changes {
        log_change(gateway, change, revision);
    }
    if !changes.is_empty() {
        gateway.on_view_change(ViewChange::Changed);
    }
}

/// Logs and counts the begin or end of an evacuation, with the number of upstreams in the data centre.
/// None are there if an operator named a data centre that does not exist.
fn log_change(gateway: &Gateway, change: &EvacuationChange, revision: Option<u64>) {
    let EvacuationChange {
        data_centre,
        is_evacuated,
    } = change;
    let view = gateway.view.borrow();
    let upstreams = view.upstreams().values();
    let upstreams = upstreams
        .filter(|upstream| upstream.data_centre == *data_centre)
        .count();
    let label = if *is_evacuated { "began" } else { "ended" };
    gateway.metrics.count("evacuations", label);
    log_event!(warn, EvacuationChanged, %data_centre, is_evacuated, upstreams, revision,
        "the evacuation of a data centre began or ended");
}
