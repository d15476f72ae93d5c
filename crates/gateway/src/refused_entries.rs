//! Entries of other writers that were refused, so that each is logged and counted once.
//!
//! The same entry is read again with each list, and by each watch that goes on from an earlier revision.

use std::{cell::RefCell, collections::BTreeMap};

/// Maximum number of entries that are kept. Beyond it, all are forgotten, and logged again when they are
/// read again.
const MAX_ENTRIES: usize = 1_000;

/// Refused entries, by kind and name, with their revisions.
#[derive(Debug, Default)]
pub(crate) struct RefusedEntries {
    revisions: RefCell<BTreeMap<(&'static str, String), u64>>,
}

impl RefusedEntries {
    /// Records an entry, and returns whether it was not recorded at this revision before.
    pub(crate) fn record(&self, kind: &'static str, name: &str, revision: u64) -> bool {
        let mut revisions = self.revisions.borrow_mut();
        let key = (kind, name.to_owned());
        if revisions.len() >= MAX_ENTRIES && !revisions.contains_key(&key) {
            revisions.clear();
        }
        revisions.insert(key, revision) != Some(revision)
    }
}
