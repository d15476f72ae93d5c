//! Permits that a node holds.

use std::collections::BTreeMap;

use jacinthpoint_types::{Assignment, DataCentreId, Deadline, GroupId, ModelRef, TimeMs};

/// Right to send work to one group until a deadline on this node's own clock.
#[derive(Debug, Clone, PartialEq)]
pub struct Permit {
    /// The group.
    pub assignment: Assignment,
    /// Data centre of the group.
    pub data_centre: DataCentreId,
    /// When the right ends.
    pub deadline: Deadline,
    /// Requests running and queued on the group, as last reported.
    pub load: u32,
    /// When that load was true.
    pub load_at: TimeMs,
}

/// All permits of a node, at most one a group.
#[derive(Debug, Default)]
pub struct PermitTable {
    permits: BTreeMap<GroupId, Permit>,
}

impl PermitTable {
    /// A table without permits.
    pub fn new() -> PermitTable {
        PermitTable::default()
    }

    /// Takes a permit. One of an older epoch than the permit held is dropped; of two of the same
    /// epoch the later deadline stays.
    pub fn insert(&mut self, permit: Permit) {
        let id = permit.assignment.group.clone();
        if let Some(held) = self.permits.get(&id) {
            let held_rank = (held.assignment.epoch, held.deadline);
            if (permit.assignment.epoch, permit.deadline) <= held_rank {
                return;
            }
        }
        self.permits.insert(id, permit);
    }

    /// Gives up the permit of a group, for instance after its leader refused work.
    pub fn revoke(&mut self, group: &GroupId) {
        self.permits.remove(group);
    }

    /// Forgets permits whose deadline has passed.
    pub fn expire(&mut self, now: TimeMs) {
        self.permits
            .retain(|_, permit| !permit.deadline.has_passed(now));
    }

    /// Permits for groups that serve `model` at `now`.
    pub fn usable<'a>(
        &'a self,
        model: &'a ModelRef,
        now: TimeMs,
    ) -> impl Iterator<Item = &'a Permit> + 'a {
        self.permits.values().filter(move |permit| {
            &permit.assignment.model == model && !permit.deadline.has_passed(now)
        })
    }

    /// All permits that hold at `now`.
    pub fn held(&self, now: TimeMs) -> impl Iterator<Item = &Permit> {
        self.permits
            .values()
            .filter(move |permit| !permit.deadline.has_passed(now))
    }
}
