//! The view of the fleet that a gateway keeps: the newest configuration and all upstreams.
//!
//! The list of upstreams comes from a store that has outages. While it is away, entries of live
//! upstreams lapse there; they are back within [`EXPIRY_GRACE_MS`] of its return. So an entry that
//! is missing right after an outage is kept for that time, and one that is missing at any other
//! time is gone.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use jacinthpoint_types::{Deadline, TimeMs, VmId};

use crate::{
    config::{ConfigVersion, FleetConfig},
    upstream::Upstream,
};

/// Time after an outage of the store within which lapsed entries come back. From the users'
/// letter: about two seconds, less the time that a list is on its way.
pub const EXPIRY_GRACE_MS: u64 = 1_800;
/// Silence of the store that counts as an outage: entries lapse after three missed heartbeats, so
/// a shorter one removes no live entry.
pub const MIN_OUTAGE_MS: u64 = 1_500;

/// Time for which the entry of a group's member is kept after it dropped out of the list. Whoever
/// gives orders to the engines has closed the group by then if the member has left.
pub const UNLISTED_MS: u64 = 20_000;

/// What a list or an event changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ViewChange {
    /// Nothing.
    Same,
    /// Something; the snapshot must be built anew.
    Changed,
    /// It was older than what is known and was dropped.
    Older,
}

/// The view.
#[derive(Debug, Default)]
pub struct FleetView {
    config: Option<Arc<FleetConfig>>,
    upstreams: BTreeMap<VmId, Upstream>,
    /// Entries that are missing since an outage, with the time at which they count as gone.
    lapsed: BTreeMap<VmId, Deadline>,
    /// Members of groups that dropped out of the list.
    unlisted: BTreeMap<VmId, Upstream>,
    unlisted_until: BTreeMap<VmId, Deadline>,
    has_upstreams: bool,
}

impl FleetView {
    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.config.as_ref()
    }

    /// Version of the configuration in force; 0 without one.
    pub fn version(&self) -> ConfigVersion {
        self.config
            .as_ref()
            .map_or(ConfigVersion(0), |config| config.version)
    }

    /// Whether both the configuration and the list of upstreams are known.
    pub fn is_complete(&self) -> bool {
        self.config.is_some() && self.has_upstreams
    }

    /// All upstreams by name.
    pub fn upstreams(&self) -> &BTreeMap<VmId, Upstream> {
        &self.upstreams
    }

    /// Members of groups that dropped out of the list and may serve on.
    pub fn unlisted(&self) -> &BTreeMap<VmId, Upstream> {
        &self.unlisted
    }

    /// Takes in a configuration unless a newer one is in force.
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

    /// Takes in the whole list of upstreams. `was_away` tells that the store was away before.
    pub fn apply_list(&mut self, list: Vec<Upstream>, was_away: bool, now: TimeMs) -> ViewChange {
        let listed: BTreeMap<VmId, Upstream> = list
            .into_iter()
            .map(|entry| (entry.id.clone(), entry))
            .collect();
        let mut next = listed.clone();
        self.lapsed.retain(|id, _| !listed.contains_key(id));
        for (id, known) in &self.upstreams {
            if listed.contains_key(id) {
                continue;
            }
            if was_away {
                let until = Deadline::after_ms(now, EXPIRY_GRACE_MS);
                self.lapsed.entry(id.clone()).or_insert(until);
            }
            if self
                .lapsed
                .get(id)
                .is_some_and(|until| !until.has_passed(now))
            {
                next.insert(id.clone(), known.clone());
            } else {
                self.lapsed.remove(id);
            }
        }
        self.has_upstreams = true;
        let gone: Vec<Upstream> = self
            .upstreams
            .values()
            .filter(|known| !next.contains_key(&known.id))
            .cloned()
            .collect();
        for known in gone {
            self.keep_unlisted(known, now);
        }
        let addresses: BTreeSet<_> = next.values().map(|listed| listed.address).collect();
        self.unlisted
            .retain(|id, known| !next.contains_key(id) && !addresses.contains(&known.address));
        self.replace(next)
    }

    /// Takes in a changed entry.
    pub fn apply_upstream(&mut self, entry: Upstream) -> ViewChange {
        self.lapsed.remove(&entry.id);
        // After its end another upstream may listen at its address.
        self.unlisted
            .retain(|id, known| *id != entry.id && known.address != entry.address);
        let is_same = self.upstreams.get(&entry.id) == Some(&entry);
        self.upstreams.insert(entry.id.clone(), entry);
        if is_same {
            ViewChange::Same
        } else {
            ViewChange::Changed
        }
    }

    /// Takes in that an entry is gone.
    pub fn remove_upstream(&mut self, id: &VmId, now: TimeMs) -> ViewChange {
        self.lapsed.remove(id);
        match self.upstreams.remove(id) {
            Some(known) => {
                self.keep_unlisted(known, now);
                ViewChange::Changed
            }
            None => ViewChange::Same,
        }
    }

    /// Takes in that nobody can read an entry: it names no upstream to use.
    pub fn discard_unreadable(&mut self, id: &VmId) -> ViewChange {
        self.lapsed.remove(id);
        let is_known = self.upstreams.remove(id).is_some() | self.unlisted.remove(id).is_some();
        if is_known {
            ViewChange::Changed
        } else {
            ViewChange::Same
        }
    }

    fn keep_unlisted(&mut self, mut known: Upstream, now: TimeMs) {
        let mut listed = self.upstreams.values();
        let is_replaced = listed.any(|one| one.id != known.id && one.address == known.address);
        if known.may_serve_unlisted() && !is_replaced {
            let until = Deadline::after_ms(now, UNLISTED_MS);
            known.is_listed = false;
            self.unlisted_until.insert(known.id.clone(), until);
            self.unlisted.insert(known.id.clone(), known);
        }
    }

    /// Takes in that an entry was removed while the store was away. A live upstream writes it anew;
    /// until then the entry is kept.
    pub fn start_expiry_grace(&mut self, id: &VmId, now: TimeMs) {
        if self.upstreams.contains_key(id) {
            let until = Deadline::after_ms(now, EXPIRY_GRACE_MS);
            self.lapsed.entry(id.clone()).or_insert(until);
        }
    }

    /// Drops members that have been missing in the list for too long.
    pub fn expire_unlisted(&mut self, now: TimeMs) -> ViewChange {
        let before = self.unlisted.len();
        self.unlisted_until
            .retain(|_, until| !until.has_passed(now));
        let until = &self.unlisted_until;
        self.unlisted.retain(|id, _| until.contains_key(id));
        if self.unlisted.len() == before {
            ViewChange::Same
        } else {
            ViewChange::Changed
        }
    }

    /// Drops entries that were kept after an outage and did not come back; names them.
    pub fn end_expiry_grace(&mut self, now: TimeMs) -> Vec<VmId> {
        let expired: Vec<VmId> = self
            .lapsed
            .iter()
            .filter(|(_, until)| until.has_passed(now))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove_upstream(id, now);
        }
        expired
    }

    fn replace(&mut self, next: BTreeMap<VmId, Upstream>) -> ViewChange {
        if next == self.upstreams {
            return ViewChange::Same;
        }
        self.upstreams = next;
        ViewChange::Changed
    }
}
