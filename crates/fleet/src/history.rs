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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryPosition {
    /// Era of the history; `None` if the answer named none. It then counts as the era of any
    /// position that it is compared with.
    pub era: Option<StoreEra>,
    /// Revision within the era.
    pub revision: u64,
}

impl HistoryPosition {
    /// Returns whether the store was restored between `known` and this position.
    pub fn is_restored_after(&self, known: &HistoryPosition) -> bool {
        matches!((known.era, self.era), (Some(known), Some(era)) if era > known)
    }
}
