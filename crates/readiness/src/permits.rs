//! Table of the permits that a node holds.

use std::collections::BTreeMap;

use jacinthpoint_types::{Assignment, DataCentreId, Deadline, GroupId, ModelRef, TimeMs};

/// Right to send work to one group until a deadline on this node's clock.
#[derive(Debug, Clone, PartialEq)]
pub struct Permit {
    /// The group, its epoch, model and members.
    pub assignment: Assignment,
    /// Data centre of the group.
    pub data_centre: DataCentreId,
    /// End of the permit.
    pub deadline: Deadline,
    /// Requests running and queued on the group, as last reported.
    pub load: u32,
    /// Time at which `load` was measured, on this node's clock.
    pub load_at: TimeMs,
}

/// Holds the permits of a node, at most one per group.
#[derive(Debug, Default)]
pub struct PermitTable {
    permits: BTreeMap<GroupId, Permit>,
}

impl PermitTable {
    /// Returns an empty table.
    pub fn new() -> PermitTable {
        PermitTable::default()
    }

    /// Adds a permit, unless the table holds one for the same group that has a newer epoch, or the
    /// same epoch and a deadline that is not earlier.
    pub fn insert(&mut self, permit: Permit) {
        let id = permit.assignment.group.clone();
        if let Some(held) = self.permits.get(&id) {
            let held_order = (held.assignment.epoch, held.deadline);
            if (permit.assignment.epoch, permit.deadline) <= held_order {
                return;
            }
        }
        self.permits.insert(id, permit);
    }

    /// Removes the permit of a group, for instance after its leader refused a request.
    pub fn revoke(&mut self, group: &GroupId) {
        self.permits.remove(group);
    }

    /// Removes permits whose deadline has passed.
    pub fn expire(&mut self, now: TimeMs) {
        self.permits
            .retain(|_, permit| !permit.deadline.has_passed(now));
    }

    /// Returns the permits that are valid at `now` for groups that serve `model`.
    pub fn usable<'a>(
        &'a self,
        model: &'a ModelRef,
        now: TimeMs,
    ) -> impl Iterator<Item = &'a Permit> + 'a {
        self.permits.values().filter(move |permit| {
            &permit.assignment.model == model && !permit.deadline.has_passed(now)
        })
    }

    /// Returns all permits that are valid at `now`.
    pub fn held(&self, now: TimeMs) -> impl Iterator<Item = &Permit> {
        self.permits
            .values()
            .filter(move |permit| !permit.deadline.has_passed(now))
    }
}
