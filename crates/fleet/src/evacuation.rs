//! Evacuated data centres: operators ask that no new requests are sent to the upstreams there.
//!
//! The store has one object for each evacuated data centre, named after it; the evacuation lasts until
//! the object is removed. What the object contains does not matter. What a gateway knows stays in force
//! while it cannot read the store.

use std::collections::{BTreeMap, BTreeSet};

use jacinthpoint_types::{DataCentreId, Deadline, TimeMs};

/// Time for which an evacuation stays in force that a store lacks since it was restored from an older
/// copy. Operators can write the object again within this time.
pub const RESTORED_EVACUATION_HOLD_MS: u64 = 60_000;

/// Begin or end of an evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Data centre that is evacuated, or was.
    pub data_centre: DataCentreId,
    /// Whether the evacuation is in force now.
    pub is_evacuated: bool,
}

/// The evacuated data centres.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    evacuated: BTreeSet<DataCentreId>,
    /// End of the hold of each evacuation that a restored store lacks.
    held_until: BTreeMap<DataCentreId, Deadline>,
    /// Time at which the last evacuation of each data centre was seen to end.
    ended_at: BTreeMap<DataCentreId, TimeMs>,
    /// Whether a list has been read.
    has_list: bool,
}

impl Evacuations {
    /// Returns whether no new requests may be sent to the upstreams of a data centre.
    pub fn is_evacuated(&self, data_centre: &DataCentreId) -> bool {
        self.evacuated.contains(data_centre)
    }

    /// Returns when the last evacuation of a data centre was seen to end; `None` if it is evacuated, or
    /// no evacuation of it is known.
    pub fn ended_at(&self, data_centre: &DataCentreId) -> Option<TimeMs> {
        self.ended_at.get(data_centre).copied()
    }

    /// Returns the evacuated data centres.
    pub fn evacuated(&self) -> &BTreeSet<DataCentreId> {
        &self.evacuated
    }

    /// Returns whether a list has been read, so that data centres that are not on it take requests.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Replaces the evacuations by those of a whole list, and returns what changed.
    pub fn apply_list(
        &mut self,
        listed: &BTreeSet<DataCentreId>,
        now: TimeMs,
    ) -> Vec<EvacuationChange> {
        self.has_list = true;
        let missing = self.evacuated.difference(listed);
        let is_held = |id: &&DataCentreId| self.held_until.contains_key(*id);
        let ended: Vec<_> = missing.filter(|id| !is_held(id)).cloned().collect();
        let ended = ended
            .into_iter()
            .filter_map(|id| self.end(id, now))
            .collect::<Vec<_>>();
        let began = listed.iter().filter_map(|id| self.begin(id.clone()));
        began.chain(ended).collect()
    }

    /// Like [`Evacuations::apply_list`], for a store that was restored from an older copy. Evacuations
    /// that are not on the list may have been lost, and stay in force for
    /// [`RESTORED_EVACUATION_HOLD_MS`].
    pub fn apply_restored_list(
        &mut self,
        listed: &BTreeSet<DataCentreId>,
        now: TimeMs,
    ) -> Vec<EvacuationChange> {
        let until = Deadline::after_ms(now, RESTORED_EVACUATION_HOLD_MS);
        for id in self.evacuated.difference(listed) {
            self.held_until.entry(id.clone()).or_insert(until);
        }
        self.apply_list(listed, now)
    }

    /// Puts the evacuations of a list in force that could not be read to its end. Others stay.
    pub fn apply_unfinished_list(
        &mut self,
        listed: &BTreeSet<DataCentreId>,
    ) -> Vec<EvacuationChange> {
        self.has_list = true;
        let began = listed.iter().filter_map(|id| self.begin(id.clone()));
        began.collect()
    }

    /// Puts an evacuation in force, and returns whether this changed anything.
    pub fn begin(&mut self, data_centre: DataCentreId) -> Option<EvacuationChange> {
        self.held_until.remove(&data_centre);
        self.ended_at.remove(&data_centre);
        let is_new = self.evacuated.insert(data_centre.clone());
        is_new.then_some(EvacuationChange {
            data_centre,
            is_evacuated: true,
        })
    }

    /// Ends an evacuation whose object was removed, and returns whether this changed anything.
    pub fn end(&mut self, data_centre: DataCentreId, now: TimeMs) -> Option<EvacuationChange> {
        self.held_until.remove(&data_centre);
        if !self.evacuated.remove(&data_centre) {
            return None;
        }
        self.ended_at.insert(data_centre.clone(), now);
        Some(EvacuationChange {
            data_centre,
            is_evacuated: false,
        })
    }

    /// Ends the evacuations that a restored store lacks and that were not written again in time.
    pub fn release_held(&mut self, now: TimeMs) -> Vec<EvacuationChange> {
        let is_due = |_: &DataCentreId, until: &mut Deadline| until.has_passed(now);
        let due: Vec<_> = self.held_until.extract_if(.., is_due).collect();
        due.into_iter()
            .filter_map(|(id, _)| self.end(id, now))
            .collect()
    }
}
