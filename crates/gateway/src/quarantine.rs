//! Exchanges records of suspected requests and parts of prompts with the other gateways, through the
//! store.
//!
//! Records are few: only a crash of an upstream adds to them. They are in the store because a
//! gateway that starts has to know them, and one that the other gateways cannot reach, too.

use std::rc::Rc;

use jacinthpoint_adapter::{List, StoredObject};
use jacinthpoint_dispatch::{RecordWrite, SuspectId, SuspectRecord};
use serde_json::json;

use crate::{
    clock::sleep_ms,
    events::log_event,
    state::Gateway,
    store::{Availability, StoreClient, StoreError},
};

/// Kind of the records in the store. The name of a record is the id of the part, or `request-` and the
/// digest of the request.
pub(crate) const KIND: &str = "prompt-suspicions";
/// Time between two decisions on what is in quarantine.
const UPDATE_INTERVAL_MS: u64 = 50;
/// Maximum number of writes between two decisions. Many requests may come under suspicion at once.
const MAX_WRITES_PER_UPDATE: usize = 2;
/// Pause after each write, which limits the rate of a gateway's writes.
const WRITE_PAUSE_MS: u64 = 20;
/// Pause after a failed write.
const BACKOFF_MS: u64 = 500;

/// Applies the whole list of records.
pub(crate) fn apply_list(gateway: &Gateway, list: &List, is_restored: bool) {
    let records = list.objects.iter().filter_map(|object| {
        let (suspect, record) = decode(object)?;
        Some((suspect, record, object.revision))
    });
    let mut quarantine = gateway.quarantine.borrow_mut();
    quarantine.on_list(records.collect(), is_restored, gateway.now());
}

/// Applies a change of one record.
pub(crate) fn apply_record(gateway: &Gateway, object: &StoredObject, is_removed: bool) {
    if is_removed {
        // A removed record counts for nothing, whatever it held.
        if let Ok(suspect) = object.name.parse() {
            gateway.quarantine.borrow_mut().on_removed(suspect);
        }
        return;
    }
    let Some((suspect, record)) = decode(object) else {
        return;
    };
    let mut quarantine = gateway.quarantine.borrow_mut();
    quarantine.on_record(suspect, record, object.revision, gateway.now());
}

/// Decodes a record; logs one that cannot be decoded and returns `None`.
fn decode(object: &StoredObject) -> Option<(SuspectId, SuspectRecord)> {
    let suspect = object.name.parse::<SuspectId>();
    let suspect = suspect.map_err(|error| error.to_string());
    let record = serde_json::from_value::<SuspectRecord>(object.content.clone());
    match (suspect, record.map_err(|error| error.to_string())) {
        (Ok(suspect), Ok(record)) => Some((suspect, record)),
        (Err(error), _) | (_, Err(error)) => {
            log_event!(warn, RecordRefused, suspect = object.name, revision = object.revision,
                %error, "the record of a suspect cannot be decoded");
            None
        }
    }
}

/// Decides for ever what is in quarantine, and writes this gateway's suspicions to the
/// store.
pub(crate) async fn maintain_quarantine(gateway: Rc<Gateway>) {
    let mut availability = Availability::default();
    let mut store = StoreClient::new(gateway.settings().store);
    loop {
        sleep_ms(UPDATE_INTERVAL_MS).await;
        update(&gateway);
        let due = gateway
            .quarantine
            .borrow_mut()
            .due_writes(gateway.is_owner(), gateway.now());
        for (suspect, write) in due.into_iter().take(MAX_WRITES_PER_UPDATE) {
            let result = write_record(&gateway, &mut store, suspect, write).await;
            let now = gateway.now();
            if let Err(error) = result {
                availability.on_failure(KIND, &error, now);
                sleep_ms(BACKOFF_MS).await;
                break;
            }
            // `false`: the answer is from the store, not from a relay.
            availability.on_answer(KIND, false, now);
            sleep_ms(WRITE_PAUSE_MS).await;
        }
    }
}

/// Decides what is in quarantine, and logs the changes.
fn update(gateway: &Gateway) {
    let changes = gateway.quarantine.borrow_mut().update(gateway.now());
    for change in changes {
        let crashes = change.crashes.iter();
        let crashes: Vec<_> = crashes.map(|crash| crash.upstream.to_string()).collect();
        let is_quarantined = change.is_quarantined;
        if is_quarantined {
            gateway.metrics.count("quarantines", "begun");
        }
        log_event!(warn, QuarantineChanged, suspect = %change.suspect, is_quarantined, ?crashes,
            "requests with this content crash upstreams, or no longer do");
    }
}

/// Writes the change of one record, and applies what the store then has.
async fn write_record(
    gateway: &Gateway,
    store: &mut StoreClient,
    suspect: SuspectId,
    write: RecordWrite,
) -> Result<(), StoreError> {
    let name = suspect.to_string();
    let result = match &write {
        RecordWrite::Create(record) => store.create(KIND, &name, &json!(record)).await,
        RecordWrite::Replace(revision, record) | RecordWrite::CountTrial(revision, record) => {
            store.replace(KIND, &name, *revision, &json!(record)).await
        }
        RecordWrite::Remove(revision) => match store.remove(KIND, &name, *revision).await {
            Ok(()) => {
                gateway.quarantine.borrow_mut().on_removed(suspect);
                return Ok(());
            }
            Err(error) => Err(error),
        },
    };
    match result {
        Ok(object) => {
            apply_record(gateway, &object, false);
            if matches!(write, RecordWrite::CountTrial(..)) {
                let mut quarantine = gateway.quarantine.borrow_mut();
                quarantine.on_trial_counted(suspect, gateway.now());
            }
        }
        // Another gateway wrote meanwhile. The next pass adds to its record.
        Err(StoreError::Conflict(Some(current))) => apply_record(gateway, &current, false),
        Err(StoreError::Refused(404)) => gateway.quarantine.borrow_mut().on_removed(suspect),
        Err(error) => return Err(error),
    }
    Ok(())
}
