//! Keeps the view of the fleet up to date by watches on the platform's store or on a relay.
//!
//! The configuration, the entries of upstreams, evacuations of data centres, the records of suspected
//! parts of prompts and the registrations of gateways are five kinds of objects. One task per kind reads the list, then watches for changes from the
//! list's revision on. A gateway that is not a reader of the store watches another gateway, the
//! relay, and uses the next relay or the store itself if that one fails.

use std::rc::Rc;

use jacinthpoint_adapter::{
    Events, List, StoredObject, UnreadablePart,
    paths::{self, Freshness},
};
use jacinthpoint_fleet::{Continuity, HistoryPosition, MAX_RELAYED_AGE_MS, ViewChange};
use jacinthpoint_types::{Deadline, TimeMs};

use crate::{
    clock::sleep_ms,
    events::log_event,
    quarantine, roster,
    state::Gateway,
    store::{Availability, StoreClient, StoreError},
    watch::{
        entries::{apply_config, apply_entry, apply_list, apply_unfinished_list, is_decisive},
        evacuations::{apply_evacuation, apply_evacuations, release_evacuations},
    },
};

mod entries;
mod evacuations;

/// All kinds that gateways read for each other.
pub(crate) const KINDS: [&str; 5] = [
    paths::CONFIG_KIND,
    paths::UPSTREAM_KIND,
    paths::EVACUATION_KIND,
    quarantine::KIND,
    roster::KIND,
];

/// Maximum waits of one watch on the configuration or on the upstreams. If a connection stalls for
/// good, this is detected only after this wait and the timeout for the answer, and a configuration
/// must be in force within seconds.
const WAITS: Waits = Waits {
    store_ms: 800,
    relay_ms: 400,
    max_relayed_age_ms: MAX_RELAYED_AGE_MS,
};
/// The same for suspected parts of prompts, which rarely change and have to be known within seconds.
const SUSPICIONS_WAITS: Waits = Waits {
    store_ms: 2_000,
    relay_ms: 1_000,
    max_relayed_age_ms: 3_000,
};
/// The same for registrations. Nothing waits for them but the retry budget of a new gateway; see
/// `roster::COUNTED_AFTER_MS`.
const ROSTER_WAITS: Waits = Waits {
    store_ms: 3_000,
    relay_ms: 1_000,
    max_relayed_age_ms: 4_500,
};
/// Minimum pause after a failure of the store for suspected parts of prompts. Nothing else depends on
/// them, so an unavailable store is asked for them less often.
const SUSPICIONS_BACKOFF_MS: u64 = 1_500;
/// The same for registrations.
const ROSTER_BACKOFF_MS: u64 = 3_000;
/// Pause after changes from the store, so that the next answer has several at once: upstreams
/// publish in bursts, and the store charges and limits each answer of a watch. Gateways that watch
/// a relay do not pause, since the relay already did.
const BATCH_PAUSE_MS: u64 = 150;
/// The same pause at the owner. It is shorter because each step of a repair waits for the changes
/// of the step before.
const OWNER_BATCH_PAUSE_MS: u64 = 50;
/// Pause before a relay that refused a call is called again.
const RELAY_RETRY_PAUSE_MS: u64 = 150;
/// Time after which a list is read again that could not go on to its end.
const UNFINISHED_LIST_RETRY_MS: u64 = 5_000;
/// Minimum time between two lists that are read because objects of unknown names changed.
const MIN_LIST_INTERVAL_MS: u64 = 1_000;
/// Time between two checks for entries that have expired.
const EXPIRY_INTERVAL_MS: u64 = 100;

/// What happened to the store before a list was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
enum Interruption {
    None,
    /// The store was unavailable.
    Outage,
    /// The store was restored from an older copy.
    Restore,
}

/// How long the watches of one kind wait for a change.
struct Waits {
    /// Maximum wait of one watch on the store.
    store_ms: u64,
    /// Maximum wait of one watch on a relay.
    relay_ms: u64,
    /// Age of the store's last answer from which a relay refuses calls. Longer than the wait of a
    /// watch on the store, which answers by then even without a change.
    max_relayed_age_ms: u64,
}

/// A kind of objects and the functions that apply its lists and changes.
struct Feed {
    kind: &'static str,
    waits: Waits,
    /// Whether the first list may be seconds old.
    first_list: Freshness,
    /// Minimum pause after a failure of the store.
    min_backoff_ms: u64,
    /// Applies a whole list.
    on_list: fn(&Gateway, List, Interruption),
    /// Applies a change to the view. The flags say whether the object was removed, and whether the
    /// change was read after an outage of the store.
    on_change: fn(&Gateway, &StoredObject, bool, bool) -> ViewChange,
}

/// Watches the configuration for ever.
pub(crate) async fn watch_config(gateway: Rc<Gateway>) {
    let feed = Feed {
        kind: paths::CONFIG_KIND,
        waits: WAITS,
        first_list: Freshness::Newest,
        min_backoff_ms: 0,
        on_list: |gateway, list, _| {
            for object in &list.objects {
                let change = apply_config(gateway, object);
                gateway.on_view_change(change);
            }
        },
        on_change: |gateway, object, is_removed, _| match is_removed {
            true => ViewChange::Same,
            false => apply_config(gateway, object),
        },
    };
    run(&gateway, &feed).await;
}

/// Watches the entries of upstreams for ever.
pub(crate) async fn watch_upstreams(gateway: Rc<Gateway>) {
    let feed = Feed {
        kind: paths::UPSTREAM_KIND,
        waits: WAITS,
        first_list: Freshness::Newest,
        min_backoff_ms: 0,
        on_list: apply_list,
        on_change: apply_entry,
    };
    run(&gateway, &feed).await;
}

/// Returns the waits of the watch on evacuations, which have to be in force within `apply_ms`.
///
/// A change that a stalled connection holds back is known after a wait on the store, or on a relay after
/// the maximum age of what it serves, and after the timeout for the answer and a list from elsewhere. The
/// waits leave more than half of the time for these.
fn evacuation_waits(apply_ms: u64) -> Waits {
    let store_ms = (apply_ms * 3 / 10).clamp(WAITS.store_ms / 2, SUSPICIONS_WAITS.store_ms);
    Waits {
        store_ms,
        relay_ms: store_ms / 2,
        max_relayed_age_ms: store_ms + (WAITS.max_relayed_age_ms - WAITS.store_ms),
    }
}

/// Watches the evacuations of data centres for ever, if the deployment has any.
pub(crate) async fn watch_evacuations(gateway: Rc<Gateway>) {
    let apply_ms = gateway.settings().evacuation_apply_ms;
    if apply_ms == 0 {
        return;
    }
    gateway.view.borrow_mut().expect_evacuations();
    let feed = Feed {
        kind: paths::EVACUATION_KIND,
        waits: evacuation_waits(apply_ms),
        first_list: Freshness::Newest,
        min_backoff_ms: 0,
        on_list: |gateway, list, interruption| {
            apply_evacuations(gateway, &list, true, interruption);
        },
        on_change: |gateway, object, is_removed, _| apply_evacuation(gateway, object, is_removed),
    };
    run(&gateway, &feed).await;
}

/// Watches the records of suspected parts of prompts for ever.
pub(crate) async fn watch_suspicions(gateway: Rc<Gateway>) {
    let feed = Feed {
        kind: quarantine::KIND,
        waits: SUSPICIONS_WAITS,
        first_list: Freshness::Newest,
        min_backoff_ms: SUSPICIONS_BACKOFF_MS,
        on_list: |gateway, list, interruption| {
            quarantine::apply_list(gateway, &list, interruption == Interruption::Restore);
        },
        on_change: |gateway, object, is_removed, _| {
            quarantine::apply_record(gateway, object, is_removed);
            ViewChange::Same
        },
    };
    run(&gateway, &feed).await;
}

/// Watches the registrations of gateways for ever. Unlike the other kinds, their first list is always
/// read from the store: it tells which gateways there are to read from. `first_list` says whether it
/// may be seconds old.
pub(crate) async fn watch_gateways(gateway: Rc<Gateway>, first_list: Freshness) {
    let feed = Feed {
        kind: roster::KIND,
        waits: ROSTER_WAITS,
        first_list,
        min_backoff_ms: ROSTER_BACKOFF_MS,
        on_list: |gateway, list, _| roster::apply_list(gateway, &list),
        on_change: |gateway, object, is_removed, _| {
            roster::apply_registration(gateway, object, is_removed);
            ViewChange::Same
        },
    };
    run(&gateway, &feed).await;
}

/// Runs for ever: removes upstreams whose entries were not written again in time after an outage of
/// the store, and group members that have been unlisted for too long; puts entries in force that were
/// not written again after a restore of the store, and ends evacuations that were not.
pub(crate) async fn expire_entries(gateway: Rc<Gateway>) {
    loop {
        sleep_ms(EXPIRY_INTERVAL_MS).await;
        let now = gateway.now();
        gateway.pauses.on_tick(now);
        let change = gateway.view.borrow_mut().expire_unlisted(now);
        gateway.on_view_change(change);
        let change = gateway.view.borrow_mut().release_held(now);
        gateway.on_view_change(change);
        release_evacuations(&gateway, now);
        let expired = gateway.view.borrow_mut().remove_after_expiry_grace(now);
        for id in &expired {
            let why = "its entry was not written again after an outage";
            log_event!(warn, UpstreamGone, upstream = %id, why, "an upstream is gone");
        }
        if !expired.is_empty() {
            gateway.on_view_change(ViewChange::Changed);
        }
    }
}

/// State of the task that reads one kind.
#[derive(Debug, Default)]
struct Progress {
    /// Position of the newest list or change; `None` before the first list.
    position: Option<HistoryPosition>,
    /// Whether the list has to be read again because changes were missed.
    must_list: bool,
    /// When the list is read again because the last one could not go on, or an object of unknown name changed.
    list_again_at: Option<Deadline>,
    /// Whether an object of unknown name changed since the last list.
    has_unknown_change: bool,
    /// Whether the store was restored, and no whole list was read since.
    is_restore_open: bool,
    /// When the last list was read.
    listed_at: TimeMs,
    availability: Availability,
}

impl Progress {
    /// Records an answer of `source`. Returns whether the store was unavailable before it for so long
    /// that entries of live upstreams may have expired.
    fn on_answer(&mut self, gateway: &Gateway, feed: &Feed, source: &StoreClient) -> bool {
        let now = gateway.now();
        if source.is_relayed() && self.availability.tracker.is_patient(now) {
            gateway.roster.admit_reader(source.address());
        }
        self.availability
            .on_answer(feed.kind, source.is_relayed(), now)
    }
}

/// Reads a kind for ever: the list if necessary, then its changes. Chooses the source again
/// whenever a call fails or [`follow`] returns.
async fn run(gateway: &Gateway, feed: &Feed) {
    let mut progress = Progress::default();
    if feed.kind != roster::KIND {
        gateway.roster.wait_until_known().await;
    }
    loop {
        let mut source = open_source(gateway, feed.kind, &progress);
        // From the store, the whole list is always read first, because `Relay` serves a kind to
        // other gateways only after it received a list.
        let can_continue =
            progress.position.is_some() && !progress.must_list && source.is_relayed();
        let listed = if can_continue {
            Ok(())
        } else {
            read_list(gateway, feed, &mut source, &mut progress).await
        };
        // Stays set until the list was read.
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
                    revision = progress.position.map(|position| position.revision),
                    relayed = source.is_relayed(),
                    "the source no longer has the changes; the list is read again"
                );
                progress.must_list = true;
            }
            Err(StoreError::Refused(503) | StoreError::Older) if source.is_relayed() => {
                // After enough refusals, uses another source; before, calls the same relay again.
                let is_repeated = progress.availability.tracker.on_relay_refusal(now);
                if is_repeated && gateway.roster.reader(now).is_some() {
                    log_source_left(feed, &source, "it has no recent data");
                    gateway.roster.exclude_stale_reader(source.address(), now);
                } else {
                    sleep_ms(RELAY_RETRY_PAUSE_MS).await;
                }
            }
            Err(error) if source.is_relayed() => {
                log_source_left(feed, &source, &error.to_string());
                gateway.roster.exclude_reader(source.address(), now);
                // A relay that fails at once must not be called without a pause.
                if relay_address(gateway, &progress) == Some(source.address()) {
                    sleep_ms(RELAY_RETRY_PAUSE_MS).await;
                }
            }
            Err(error) => {
                progress.availability.on_failure(feed.kind, &error, now);
                let tracker = &progress.availability.tracker;
                let backoff_ms = tracker.backoff_ms(is_fallback_reader(gateway));
                sleep_ms(backoff_ms.max(feed.min_backoff_ms)).await;
            }
        }
    }
}

/// Logs that this gateway does not use a relay for a time.
fn log_source_left(feed: &Feed, source: &StoreClient, why: &str) {
    log_event!(info, SourceLeft, kind = feed.kind, relay = %source.address(), why,
        "this gateway reads from another source for a time");
}

/// Returns whether this gateway is neither the owner nor a permanent reader. It then reads the
/// store only because its relays refuse or do not answer, because it has no address for other
/// gateways, or because its roster does not list it yet.
fn is_fallback_reader(gateway: &Gateway) -> bool {
    !gateway.is_owner() && !gateway.roster.is_permanent_reader()
}

/// Returns the address of the relay to watch; `None` if this gateway reads the store itself. The
/// owner of the groups always does.
fn relay_address(gateway: &Gateway, progress: &Progress) -> Option<std::net::SocketAddr> {
    if gateway.is_owner() {
        return None;
    }
    let now = gateway.now();
    let patient_reader = || {
        let reader = gateway.roster.patient_reader();
        reader.filter(|_| progress.availability.tracker.is_patient(now))
    };
    gateway.roster.reader(now).or_else(patient_reader)
}

/// Returns a client of the store or of a relay. With a relay, this gateway stops serving the kind.
fn open_source(gateway: &Gateway, kind: &'static str, progress: &Progress) -> StoreClient {
    match relay_address(gateway, progress) {
        Some(address) => {
            gateway.relay.remove_kind(kind);
            StoreClient::for_relay(address)
        }
        None => {
            gateway.relay.add_kind(kind);
            StoreClient::new(gateway.settings().store)
        }
    }
}

/// Reads the whole list and applies it.
///
/// Fails with [`StoreError::Older`] if the list is older than what this gateway already has. The list
/// of a store that was restored since is not older, whatever its revision.
async fn read_list(
    gateway: &Gateway,
    feed: &Feed,
    source: &mut StoreClient,
    progress: &mut Progress,
) -> Result<(), StoreError> {
    let freshness = match progress.position {
        None => feed.first_list,
        Some(_) => Freshness::Newest,
    };
    let (list, end) = source.list_all(feed.kind, freshness).await?;
    log_history(feed, source, progress.position, list.position);
    let known = progress.position;
    let continuity = known.map(|known| list.position.continuity(&known));
    if let Some(known) = known
        && matches!(continuity, Some(Continuity::Older | Continuity::Lost))
    {
        log_event!(
            warn,
            ListRefused,
            kind = feed.kind,
            relayed = source.is_relayed(),
            era = list.position.era.map(|era| era.0),
            revision = list.position.revision,
            known_era = known.era.map(|era| era.0),
            known_revision = known.revision,
            "a list is older than what was read before and is not used"
        );
        return Err(StoreError::Older);
    }
    log_unreadable(gateway, feed, &list.unreadable);
    let now = gateway.now();
    let is_after_outage = progress.on_answer(gateway, feed, source);
    match &end {
        None if source.is_relayed() => {}
        None => {
            let max_age_ms = feed.waits.max_relayed_age_ms;
            gateway
                .relay
                .on_list(feed.kind, &list.objects, list.position, max_age_ms, now);
        }
        Some(_) if continuity == Some(Continuity::Restored) => gateway.relay.discard(feed.kind),
        // Others would take the objects that are not on it for removed ones, so they get the others as changes.
        Some(_) => {
            let known_revision = known.map_or(0, |known| known.revision);
            let newer = (list.objects.iter()).filter(|object| object.revision > known_revision);
            let mut changes: Vec<_> = newer.map(|object| (object.clone(), false)).collect();
            changes.sort_by_key(|(object, _)| object.revision);
            let relay = &gateway.relay;
            relay.on_events(feed.kind, &changes, list.position, now);
        }
    }
    let known_era = known.and_then(|known| known.era);
    progress.position = Some(HistoryPosition {
        era: list.position.era.or(known_era),
        ..list.position
    });
    progress.is_restore_open |= continuity == Some(Continuity::Restored);
    let interruption = match continuity {
        _ if progress.is_restore_open => Interruption::Restore,
        _ if is_after_outage => Interruption::Outage,
        _ => Interruption::None,
    };
    let until = end.map(|end| {
        gateway.metrics.count("lists_unfinished", feed.kind);
        log_event!(
            warn,
            ListUnfinished,
            kind = feed.kind,
            relayed = source.is_relayed(),
            after = end.after,
            why = end.why,
            objects = list.objects.len(),
            revision = list.position.revision,
            "a list cannot go on; what was read is used, and the list is read again later"
        );
        Deadline::after_ms(now, UNFINISHED_LIST_RETRY_MS)
    });
    progress.list_again_at = until;
    progress.has_unknown_change = false;
    progress.listed_at = now;
    let newest = list.objects.iter().map(|object| object.revision).max();
    if until.is_none() {
        progress.is_restore_open = false;
        (feed.on_list)(gateway, list, interruption);
    } else if feed.kind == paths::UPSTREAM_KIND {
        apply_unfinished_list(gateway, &list, interruption);
    } else if feed.kind == paths::EVACUATION_KIND {
        apply_evacuations(gateway, &list, false, interruption);
    } else {
        let objects = list.objects.iter().map(|object| (object, false));
        apply_changes(gateway, feed, objects, is_after_outage);
    }
    // Also for an unfinished list: another gateway cannot read more of it.
    let position = progress.position.unwrap_or_default();
    let positions = &gateway.view_positions;
    positions.on_list(feed.kind, position, newest.unwrap_or(0));
    Ok(())
}

/// Applies changes to the view, and returns the revision of the newest decisive one. The snapshot is built from
/// the whole view, so once for all of them: with many upstreams, one for each change would leave no time for
/// requests.
fn apply_changes<'a>(
    gateway: &Gateway,
    feed: &Feed,
    changes: impl IntoIterator<Item = (&'a StoredObject, bool)>,
    is_after_outage: bool,
) -> Option<u64> {
    let mut change = ViewChange::Same;
    let mut newest_decisive = None;
    for (object, is_removed) in changes {
        if (feed.on_change)(gateway, object, is_removed, is_after_outage) == ViewChange::Changed {
            change = ViewChange::Changed;
        }
        if is_decisive(gateway, feed.kind, object, is_removed) {
            newest_decisive = newest_decisive.max(Some(object.revision));
        }
    }
    gateway.on_view_change(change);
    newest_decisive
}

/// Logs parts of an answer that cannot be read.
fn log_unreadable(gateway: &Gateway, feed: &Feed, parts: &[UnreadablePart]) {
    for part in parts {
        // Without a name, the reason tells parts apart.
        let (name, revision) = match &part.object {
            Some((name, revision)) => (name.as_str(), *revision),
            None => (part.reason.as_str(), 0),
        };
        log_refused(gateway, feed.kind, name, revision, &part.reason);
    }
}

/// Logs and counts an entry that cannot be used, once for each revision.
fn log_refused(gateway: &Gateway, kind: &'static str, name: &str, revision: u64, why: &str) {
    if !gateway.refused_entries.record(kind, name, revision) {
        return;
    }
    gateway.metrics.count("entries_refused", kind);
    log_event!(
        warn,
        EntryRefused,
        kind,
        upstream = name,
        revision,
        error = why,
        "an entry of the store cannot be read"
    );
}

/// Logs the first position that is read of a kind, and each one in another era than the one before.
fn log_history(
    feed: &Feed,
    source: &StoreClient,
    known: Option<HistoryPosition>,
    position: HistoryPosition,
) {
    if known.is_some_and(|known| position.era.is_none() || known.era == position.era) {
        return;
    }
    let is_restored =
        known.is_some_and(|known| position.continuity(&known) == Continuity::Restored);
    let era = |position: HistoryPosition| position.era.map(|era| era.0);
    log_event!(
        info,
        StoreHistory,
        kind = feed.kind,
        relayed = source.is_relayed(),
        is_restored,
        era = era(position),
        revision = position.revision,
        known_era = known.and_then(era),
        known_revision = known.map(|known| known.revision),
        "an answer is from another history of the store than the one before, or is the first"
    );
}

/// Applies changes from one source, from the known revision on.
///
/// Returns when this gateway should change between the store and a relay. Fails when a call fails.
async fn follow(
    gateway: &Gateway,
    feed: &Feed,
    source: &mut StoreClient,
    progress: &mut Progress,
) -> Result<(), StoreError> {
    let mut after = progress.position.unwrap_or_default();
    let is_relayed = source.is_relayed();
    let wait_ms = if is_relayed {
        feed.waits.relay_ms
    } else {
        feed.waits.store_ms
    };
    while relay_address(gateway, progress).is_some() == is_relayed {
        let Events {
            changes,
            unreadable,
            position,
        } = source.watch(feed.kind, after, wait_ms).await?;
        log_history(feed, source, progress.position, position);
        log_unreadable(gateway, feed, &unreadable);
        match position.continuity(&after) {
            // The answer lacks the changes of the other history up to `after`.
            Continuity::Restored => return Err(StoreError::HistoryGone),
            Continuity::Lost => return Err(StoreError::Older),
            Continuity::Continues | Continuity::Older => after = after.later(&position),
        }
        let now = gateway.now();
        let is_after_outage = progress.on_answer(gateway, feed, source);
        if !is_relayed {
            gateway.relay.on_events(feed.kind, &changes, after, now);
        }
        progress.position = Some(after);
        let changed = changes
            .iter()
            .map(|(object, is_removed)| (object, *is_removed));
        let newest_decisive = apply_changes(gateway, feed, changed, is_after_outage);
        // An object of unknown name changed. The list shows which ones can still be read.
        if unreadable.iter().any(|part| part.object.is_none()) {
            let at = Deadline::after_ms(progress.listed_at, MIN_LIST_INTERVAL_MS);
            let at = progress.list_again_at.map_or(at, |known| known.min(at));
            progress.list_again_at = Some(at);
            progress.has_unknown_change = true;
        }
        // Until that list was read, the view lacks a change.
        let complete = (!progress.has_unknown_change).then_some(after);
        (gateway.view_positions).on_changes(feed.kind, complete, newest_decisive);
        if progress.list_again_at.is_some_and(|at| at.has_passed(now)) {
            progress.must_list = true;
            return Ok(());
        }
        if !changes.is_empty() && !is_relayed {
            let is_owner = gateway.is_owner();
            let pause_ms = if is_owner {
                OWNER_BATCH_PAUSE_MS
            } else {
                BATCH_PAUSE_MS
            };
            sleep_ms(pause_ms).await;
        }
    }
    Ok(())
}
