//! Positions in the history of the platform's store.
//!
//! A revision names a position in the history only as long as the history goes on. The store can be
//! restored from an older copy of itself: its revisions are then lower than before, and the same
//! revisions are given out again to other changes. The store therefore names in each answer the era
//! of its history, which rises with each restore. Revisions compare only within one era.

/// Era of the store's history. It rises with each restore.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display, derive_more::FromStr,
)]
pub struct StoreEra(pub u64);

/// Position in the history of the store, up to which an answer is complete.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HistoryPosition {
    /// Era of the history; `None` if the answer named none. It then counts as the era of any
    /// position that it is compared with.
    pub era: Option<StoreEra>,
    /// Revision within the era.
    pub revision: u64,
}

/// Relation of an answer to what was read before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuity {
    /// The answer is from the same history and not older.
    Continues,
    /// The store was restored from a copy since. Changes may have been lost, and others may have
    /// been given the revisions that were read before.
    Restored,
    /// The answer is from the same history and older.
    Older,
    /// The answer is from a history that was lost in a restore.
    Lost,
}

impl HistoryPosition {
    /// Returns the relation of this position, of an answer, to one that was read before.
    pub fn continuity(&self, known: &HistoryPosition) -> Continuity {
        match (known.era, self.era) {
            (Some(known), Some(era)) if era > known => Continuity::Restored,
            (Some(known), Some(era)) if era < known => Continuity::Lost,
            _ if self.revision < known.revision => Continuity::Older,
            _ => Continuity::Continues,
        }
    }

    /// Returns the later of two positions in the same history.
    pub fn later(&self, other: &HistoryPosition) -> HistoryPosition {
        HistoryPosition {
            era: self.era.or(other.era),
            revision: self.revision.max(other.revision),
        }
    }
}
