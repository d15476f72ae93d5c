//! Keeps the newest configuration and all upstreams, as read from the platform's store.
//!
//! The store has outages. During an outage the entries of live upstreams expire; the upstreams
//! write them again within about 2 s after the store is available again. An entry that is missing
//! right after an outage is therefore kept for [`EXPIRY_GRACE_MS`]. An entry that is missing at any
//! other time is removed at once. If it belongs to a group member that may serve without an entry,
//! the member is kept separately for [`UNLISTED_MS`]: it still counts as a member of its group, but
//! gets no requests of callers.
//!
//! The store can also be restored from an older copy. Its list then has entries that are older than
//! those in the view, until the upstreams write theirs again, within about 2 s. Until then, the view
//! keeps what it knows, unless an entry is of an incarnation that started later, as far as that can be
//! told.
//!
//! A write of an entry may be executed seconds after newer ones, in any source and at any time. Upstreams
//! number their writes, so an entry with a lower number than one that the same incarnation wrote is not used.
//! Numbers of two incarnations do not compare: an entry of one that another one followed is held, since the
//! upstream writes its entry again within the hold if the later incarnation lives.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jacinthpoint_types::{Deadline, TimeMs, VmId};

use crate::{
    config::{ConfigVersion, FleetConfig},
    evacuation::Evacuations,
    upstream::{EntryNumber, Upstream, WrittenEntry},
};

/// Time after an outage of the store for which missing entries are kept. Upstreams write expired
/// entries again within about 2 s after the outage. The grace period starts only when the first
/// list after the outage has arrived, so it is shorter by the time of this transfer.
pub const EXPIRY_GRACE_MS: u64 = 1_800;
/// Shortest unavailability of the store that counts as an outage. Entries expire after three missed
/// heartbeats, so no entry of a live upstream expires during a shorter unavailability.
pub const MIN_OUTAGE_MS: u64 = 1_500;

/// Time for which a group member is kept after its entry went missing from the list. If the member
/// has left, the gateway that sends orders to the engines has closed the group by then.
pub const UNLISTED_MS: u64 = 20_000;

/// Time after a restore of the store for which the entry of an upstream that was removed before is
/// not used. If the upstream has ended, its entry expires by then, after three missed heartbeats.
pub const REMOVED_HOLD_MS: u64 = 5_000;
/// Time for which the removal of an upstream is remembered. It is longer than a copy from which the
/// store is restored is old.
const REMOVAL_KEPT_MS: u64 = 60_000;
/// Number of earlier incarnations of each upstream that are remembered.
const MAX_ENDED: usize = 8;

/// Effect of an update on the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ViewChange {
    /// The view is unchanged.
    Same,
    /// The view changed; snapshots built from it are outdated.
    Changed,
    /// The update was older than the view and was dropped.
    Older,
}

/// Age of an entry that was read, compared with what is known of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EntryAge {
    /// Nothing shows that it is older.
    Newest,
    /// The same incarnation wrote a newer one.
    Older,
    /// Another incarnation followed the one that wrote it.
    OfEarlierIncarnation,
}

/// An entry that was read and is not used, because a newer one is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutdatedEntry {
    /// The upstream.
    pub id: VmId,
    /// Start time of the incarnation that wrote the entry, in Unix milliseconds; 0 if not published.
    pub started_unix_ms: u64,
    /// Number of the entry.
    pub number: EntryNumber,
    /// Highest number that this incarnation is known to have written; `None` if another incarnation
    /// followed it.
    pub newest: Option<EntryNumber>,
}

/// The configuration in force and the known upstreams, including those kept although their entries
/// are missing from the store.
#[derive(Debug, Default)]
pub struct FleetView {
    config: Option<Arc<FleetConfig>>,
    upstreams: BTreeMap<VmId, Upstream>,
    /// End of the grace period of each upstream whose entry is missing since an outage.
    grace_until: BTreeMap<VmId, Deadline>,
    /// Group members whose entries are no longer in the list.
    unlisted: BTreeMap<VmId, Upstream>,
    /// Time at which each unlisted member is dropped.
    unlisted_until: BTreeMap<VmId, Deadline>,
    /// Entries that are not used yet, because they may be older than what was known before, each with
    /// the time from which it is.
    held: BTreeMap<VmId, (WrittenEntry, Deadline)>,
    /// Start time of the newest incarnation of each upstream that numbers its entries, and the highest
    /// number that it wrote.
    newest_numbers: BTreeMap<VmId, (u64, EntryNumber)>,
    /// Entries that were not used since the last call of [`FleetView::take_outdated`].
    outdated: Vec<OutdatedEntry>,
    /// Start time and time of removal of the upstreams that were removed.
    removed: BTreeMap<VmId, (u64, TimeMs)>,
    /// Start times of earlier incarnations that this view had, the newest last, at most
    /// [`MAX_ENDED`] for each upstream.
    ended: BTreeMap<VmId, Vec<u64>>,
    /// Whether a list of upstreams has been read.
    has_upstream_list: bool,
    /// Data centres whose upstreams get no new requests.
    pub evacuations: Evacuations,
    /// Whether the view is complete only once a list of evacuations has been read.
    needs_evacuations: bool,
}

impl FleetView {
    /// Returns the configuration in force, if one has been read.
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.config.as_ref()
    }

    /// Returns the version of the configuration in force, or 0 without one.
    pub fn version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion(0), |config| config.version)
    }

    /// Returns whether a configuration, a list of upstreams and, if this deployment has evacuations, a
    /// list of these have been read.
    pub fn is_complete(&self) -> bool {
        let has_evacuations = !self.needs_evacuations || self.evacuations.has_list();
        self.config.is_some() && self.has_upstream_list && has_evacuations
    }

    /// Records that this deployment has evacuations, so that the view is not complete without them.
    pub fn expect_evacuations(&mut self) {
        self.needs_evacuations = true;
    }

    /// Returns the listed upstreams, and those kept after an outage, by name.
    pub fn upstreams(&self) -> &BTreeMap<VmId, Upstream> {
        &self.upstreams
    }

    /// Returns the group members whose entries are no longer in the list but that may still serve
    /// in their groups.
    pub fn unlisted(&self) -> &BTreeMap<VmId, Upstream> {
        &self.unlisted
    }

    /// Puts a configuration in force unless a newer one is in force already.
    pub fn apply_config(&mut self, config: FleetConfig) -> ViewChange {
        match &self.config {
            Some(known) if known.version > config.version => ViewChange::Older,
            Some(known) if **known == config => ViewChange::Same,
            _ => {
                self.config = Some(Arc::new(config));
                ViewChange::Changed
            }
        }
    }

    /// Replaces all upstreams by the whole list, except that upstreams missing from it are kept
    /// until the end of their grace period. A list that `is_after_outage` starts this period, of
    /// [`EXPIRY_GRACE_MS`], for missing upstreams that have none. Other missing group members that
    /// may serve without an entry are kept as unlisted. An entry that is older than the known one counts
    /// as the known one.
    pub fn apply_list<E: Into<WrittenEntry>>(
        &mut self,
        list: Vec<E>,
        is_after_outage: bool,
        now: TimeMs,
    ) -> ViewChange {
        let list = list.into_iter().map(Into::into).collect();
        let listed: BTreeMap<VmId, Upstream> = self
            .replace_held(list, now)
            .map(|entry| (entry.id.clone(), entry))
            .collect();
        let mut next = listed.clone();
        self.grace_until.retain(|id, _| !listed.contains_key(id));
        for (id, known) in &self.upstreams {
            if listed.contains_key(id) {
                continue;
            }
            if is_after_outage {
                let until = Deadline::after_ms(now, EXPIRY_GRACE_MS);
                self.grace_until.entry(id.clone()).or_insert(until);
            }
            if self
                .grace_until
                .get(id)
                .is_some_and(|until| !until.has_passed(now))
            {
                next.insert(id.clone(), known.clone());
            } else {
                self.grace_until.remove(id);
            }
        }
        self.has_upstream_list = true;
        let removed: Vec<Upstream> = self
            .upstreams
            .values()
            .filter(|known| !next.contains_key(&known.id))
            .cloned()
            .collect();
        for known in removed {
            self.record_removal(&known, now);
            self.keep_unlisted(known, now);
        }
        // Another upstream at the address of an unlisted member means that the member's process no
        // longer runs.
        let addresses: BTreeSet<_> = next.values().map(|upstream| upstream.address).collect();
        self.unlisted
            .retain(|id, known| !next.contains_key(id) && !addresses.contains(&known.address));
        self.replace_upstreams(next)
    }

    /// Like [`FleetView::apply_list`], for the first list of a store that was restored from an older
    /// copy. Entries that may be older than those in the view are used only after
    /// [`EXPIRY_GRACE_MS`], those of removed upstreams after [`REMOVED_HOLD_MS`], unless they are
    /// written again before.
    pub fn apply_restored_list<E: Into<WrittenEntry>>(
        &mut self,
        list: Vec<E>,
        now: TimeMs,
    ) -> ViewChange {
        self.held.clear();
        let list: Vec<WrittenEntry> = list.into_iter().map(Into::into).collect();
        for entry in &list {
            let listed = &entry.upstream;
            let hold_ms = match self.upstreams.get(&listed.id) {
                Some(known) if self.may_be_older(listed, known) => EXPIRY_GRACE_MS,
                None if self.was_removed(listed, now) => REMOVED_HOLD_MS,
                _ => continue,
            };
            let until = Deadline::after_ms(now, hold_ms);
            self.held.insert(listed.id.clone(), (entry.clone(), until));
        }
        self.apply_list(list, true, now)
    }

    /// Replaces each entry of a list that is held or older than a known one by what is known of its
    /// upstream, if anything. An entry that differs from the held one was written again. Holds the entries
    /// of earlier incarnations.
    fn replace_held(
        &mut self,
        list: Vec<WrittenEntry>,
        now: TimeMs,
    ) -> impl Iterator<Item = Upstream> {
        let listed: BTreeSet<VmId> = list.iter().map(|entry| entry.upstream.id.clone()).collect();
        let mut used: Vec<Upstream> = Vec::new();
        let mut replaced: Vec<VmId> = Vec::new();
        for entry in list {
            let id = entry.upstream.id.clone();
            let is_held = self.held.get(&id).is_some_and(|(held, _)| *held == entry);
            if is_held || !self.admit(&entry, now) {
                replaced.push(id);
            } else {
                self.held.remove(&id);
                used.push(entry.upstream);
            }
        }
        self.held.retain(|id, _| listed.contains(id));
        let known = replaced.iter().filter_map(|id| self.upstreams.get(id));
        used.extend(known.cloned());
        used.into_iter()
    }

    /// Returns whether an entry may be used now, and records its number. One that may not be is either held
    /// or dropped.
    fn admit(&mut self, entry: &WrittenEntry, now: TimeMs) -> bool {
        let age = self.age(entry);
        let id = &entry.upstream.id;
        let is_held = self.held.get(id).is_some_and(|(held, _)| held == entry);
        if age == EntryAge::OfEarlierIncarnation && !is_held {
            let until = Deadline::after_ms(now, EXPIRY_GRACE_MS);
            self.held.insert(id.clone(), (entry.clone(), until));
        }
        match (age, entry.number) {
            (EntryAge::Newest, _) => self.record_number(entry),
            (_, Some(number)) => self.record_outdated(&entry.upstream, number, age),
            // Only entries with numbers are older.
            (_, None) => {}
        }
        age == EntryAge::Newest
    }

    /// Compares an entry with what is known of its upstream, by the entry's number.
    fn age(&self, entry: &WrittenEntry) -> EntryAge {
        let upstream = &entry.upstream;
        let Some(number) = entry.number else {
            return EntryAge::Newest;
        };
        if let Some(newest) = self.newest_number(upstream) {
            return match number < newest {
                true => EntryAge::Older,
                false => EntryAge::Newest,
            };
        }
        let known = self.upstreams.get(&upstream.id);
        let is_followed =
            known.is_some_and(|known| known.started_unix_ms != upstream.started_unix_ms);
        let ended = self.ended.get(&upstream.id);
        let has_ended = ended.is_some_and(|ended| ended.contains(&upstream.started_unix_ms));
        match is_followed && has_ended {
            true => EntryAge::OfEarlierIncarnation,
            false => EntryAge::Newest,
        }
    }

    /// Returns the highest number that the incarnation of an entry is known to have written.
    fn newest_number(&self, upstream: &Upstream) -> Option<EntryNumber> {
        let (started_unix_ms, newest) = self.newest_numbers.get(&upstream.id)?;
        (*started_unix_ms == upstream.started_unix_ms).then_some(*newest)
    }

    fn record_number(&mut self, entry: &WrittenEntry) {
        let upstream = &entry.upstream;
        if let Some(number) = entry.number {
            let newest = (upstream.started_unix_ms, number);
            self.newest_numbers.insert(upstream.id.clone(), newest);
        }
    }

    fn record_outdated(&mut self, upstream: &Upstream, number: EntryNumber, age: EntryAge) {
        let newest = self.newest_number(upstream);
        self.outdated.push(OutdatedEntry {
            id: upstream.id.clone(),
            started_unix_ms: upstream.started_unix_ms,
            number,
            newest: newest.filter(|_| age == EntryAge::Older),
        });
    }

    /// Returns the entries that were not used since the last call, because newer ones are known.
    pub fn take_outdated(&mut self) -> Vec<OutdatedEntry> {
        std::mem::take(&mut self.outdated)
    }

    /// Returns whether an entry may be of an upstream that was removed, or of an incarnation before.
    fn was_removed(&self, listed: &Upstream, now: TimeMs) -> bool {
        let removal = self.removed.get(&listed.id);
        removal.is_some_and(|(started_unix_ms, at)| {
            let is_same = listed.started_unix_ms == *started_unix_ms;
            let is_recent = now.since_ms(*at) < REMOVAL_KEPT_MS;
            is_recent && (is_same || self.is_earlier(listed, *started_unix_ms))
        })
    }

    /// Returns whether an entry of a restored store may be older than the known one: it may be of an
    /// earlier incarnation, or it differs and is of the same one. An upstream that drains stays so,
    /// hence the entry of one is not older.
    fn may_be_older(&self, listed: &Upstream, known: &Upstream) -> bool {
        if listed.started_unix_ms == known.started_unix_ms {
            listed != known && !listed.is_draining()
        } else {
            self.is_earlier(listed, known.started_unix_ms)
        }
    }

    /// Returns whether an entry of a restored store may be of an earlier incarnation than the one that
    /// started at `started_unix_ms`: this view had it before, or its start time is lower.
    ///
    /// The clock of a machine may be set back between two starts, so start times give no order. They are
    /// compared only for incarnations that this view never had: if one is taken for an earlier one by
    /// mistake, its entry is used later by the time for which it is held.
    fn is_earlier(&self, listed: &Upstream, started_unix_ms: u64) -> bool {
        let ended = self.ended.get(&listed.id);
        ended.is_some_and(|ended| ended.contains(&listed.started_unix_ms))
            || listed.started_unix_ms < started_unix_ms
    }

    /// Records that an incarnation of an upstream is not the one in the view any more.
    fn record_end(&mut self, id: &VmId, started_unix_ms: u64) {
        let ended = self.ended.entry(id.clone()).or_default();
        ended.retain(|known| *known != started_unix_ms);
        ended.push(started_unix_ms);
        if ended.len() > MAX_ENDED {
            ended.remove(0);
        }
    }

    /// Puts the held entries in force that were not written again in time.
    pub fn release_held(&mut self, now: TimeMs) -> ViewChange {
        let is_due = |_: &VmId, (_, until): &mut (WrittenEntry, Deadline)| until.has_passed(now);
        let due: Vec<_> = self.held.extract_if(.., is_due).collect();
        let mut change = ViewChange::Same;
        for (id, (entry, _)) in due {
            // An upstream that drains does not become ready again in the same incarnation.
            let is_draining = self.upstreams.get(&id).is_some_and(|known| {
                known.is_draining() && known.started_unix_ms == entry.upstream.started_unix_ms
            });
            if is_draining || self.age(&entry) == EntryAge::Older {
                continue;
            }
            self.record_number(&entry);
            if self.put(entry.upstream) == ViewChange::Changed {
                change = ViewChange::Changed;
            }
        }
        change
    }

    /// Adds or replaces one upstream, unless the entry is older than the known one. One of an earlier
    /// incarnation is held for [`EXPIRY_GRACE_MS`].
    pub fn apply_upstream(&mut self, entry: impl Into<WrittenEntry>, now: TimeMs) -> ViewChange {
        let entry = entry.into();
        if !self.admit(&entry, now) {
            return ViewChange::Older;
        }
        self.put(entry.upstream)
    }

    fn put(&mut self, entry: Upstream) -> ViewChange {
        self.grace_until.remove(&entry.id);
        self.held.remove(&entry.id);
        // A new entry with the address of an unlisted member means that the member's process no
        // longer runs.
        self.unlisted
            .retain(|id, known| *id != entry.id && known.address != entry.address);
        let known = self.upstreams.get(&entry.id);
        if known == Some(&entry) {
            return ViewChange::Same;
        }
        if self.differs_in_ignored(known, &entry) {
            self.upstreams.insert(entry.id.clone(), entry);
            return ViewChange::Same;
        }
        let known_started = known.map(|known| known.started_unix_ms);
        if let Some(ended) = known_started.filter(|known| *known != entry.started_unix_ms) {
            self.record_end(&entry.id, ended);
        }
        self.upstreams.insert(entry.id.clone(), entry);
        ViewChange::Changed
    }

    /// Returns whether an entry differs from the known one only in the rest of its warm-up, and its service
    /// limits no requests then. Each entry of a cold upstream tells another rest.
    fn differs_in_ignored(&self, known: Option<&Upstream>, entry: &Upstream) -> bool {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.services.get(&entry.service));
        service.is_some_and(|service| service.warm_up.is_none())
            && known.is_some_and(|known| {
                let warm_up_left_ms = entry.warm_up_left_ms;
                *entry
                    == Upstream {
                        warm_up_left_ms,
                        ..known.clone()
                    }
            })
    }

    /// Removes an upstream whose entry was removed from the store. A group member that may serve
    /// without an entry is kept as unlisted.
    pub fn remove_upstream(&mut self, id: &VmId, now: TimeMs) -> ViewChange {
        self.grace_until.remove(id);
        self.held.remove(id);
        match self.upstreams.remove(id) {
            Some(known) => {
                self.record_removal(&known, now);
                self.keep_unlisted(known, now);
                ViewChange::Changed
            }
            None => ViewChange::Same,
        }
    }

    /// Records that an upstream was removed, and forgets removals of long ago.
    fn record_removal(&mut self, known: &Upstream, now: TimeMs) {
        self.removed
            .retain(|_, (_, at)| now.since_ms(*at) < REMOVAL_KEPT_MS);
        let removal = (known.started_unix_ms, now);
        self.removed.insert(known.id.clone(), removal);
        self.record_end(&known.id, known.started_unix_ms);
        let (upstreams, removed) = (&self.upstreams, &self.removed);
        let is_remembered = |id: &VmId| upstreams.contains_key(id) || removed.contains_key(id);
        self.ended.retain(|id, _| is_remembered(id));
        self.newest_numbers.retain(|id, _| is_remembered(id));
    }

    /// Removes an upstream whose entry cannot be decoded, and does not keep it as unlisted: such an
    /// entry describes no upstream that can be used.
    pub fn discard_unreadable(&mut self, id: &VmId) -> ViewChange {
        self.grace_until.remove(id);
        self.held.remove(id);
        // Not `||`: the upstream is removed from both maps.
        let is_known = self.upstreams.remove(id).is_some() | self.unlisted.remove(id).is_some();
        if is_known {
            ViewChange::Changed
        } else {
            ViewChange::Same
        }
    }

    /// Keeps a removed group member as unlisted for [`UNLISTED_MS`] if it may serve without an
    /// entry and no other upstream uses its address. Only the upstreams before the update are
    /// compared; [`FleetView::apply_list`] also compares those of the new list.
    fn keep_unlisted(&mut self, mut known: Upstream, now: TimeMs) {
        let mut upstreams = self.upstreams.values();
        let is_replaced =
            upstreams.any(|other| other.id != known.id && other.address == known.address);
        if known.may_serve_unlisted() && !is_replaced {
            let until = Deadline::after_ms(now, UNLISTED_MS);
            known.is_listed = false;
            self.unlisted_until.insert(known.id.clone(), until);
            self.unlisted.insert(known.id.clone(), known);
        }
    }

    /// Keeps an upstream for [`EXPIRY_GRACE_MS`] although its entry was removed, because this
    /// happened during an outage of the store. If the upstream is live, it writes the entry again
    /// within this time.
    pub fn start_expiry_grace(&mut self, id: &VmId, now: TimeMs) {
        if self.upstreams.contains_key(id) {
            let until = Deadline::after_ms(now, EXPIRY_GRACE_MS);
            self.grace_until.entry(id.clone()).or_insert(until);
        }
    }

    /// Drops unlisted members that have been kept for [`UNLISTED_MS`].
    pub fn expire_unlisted(&mut self, now: TimeMs) -> ViewChange {
        let before = self.unlisted.len();
        self.unlisted_until
            .retain(|_, until| !until.has_passed(now));
        let unlisted_until = &self.unlisted_until;
        self.unlisted
            .retain(|id, _| unlisted_until.contains_key(id));
        if self.unlisted.len() == before {
            ViewChange::Same
        } else {
            ViewChange::Changed
        }
    }

    /// Removes upstreams that were kept after an outage and whose entries were not written again
    /// within [`EXPIRY_GRACE_MS`], and returns their names.
    pub fn remove_after_expiry_grace(&mut self, now: TimeMs) -> Vec<VmId> {
        let expired: Vec<VmId> = self
            .grace_until
            .iter()
            .filter(|(_, until)| until.has_passed(now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove_upstream(id, now);
        }
        expired
    }

    fn replace_upstreams(&mut self, next: BTreeMap<VmId, Upstream>) -> ViewChange {
        if next == self.upstreams {
            return ViewChange::Same;
        }
        let previous = std::mem::replace(&mut self.upstreams, next);
        for (id, known) in previous {
            let listed = self.upstreams.get(&id);
            if listed.is_some_and(|listed| listed.started_unix_ms != known.started_unix_ms) {
                self.record_end(&id, known.started_unix_ms);
            }
        }
        ViewChange::Changed
    }
}
