//! Versions that only grow: fencing numbers of groups and revisions of the configuration.

use serde::{Deserialize, Serialize};

/// Bits of an [`Epoch`] that count standby swaps made without the platform.
const SWAP_BITS: u32 = 16;

/// Fencing number of a replica group.
///
/// The high bits are the fence of the fabric domain's plan, which every conditional update of the
/// plan raises. The low bits count standby swaps made since, while the platform could not be
/// asked. So a swap beats the plan it grew from, and a later plan beats every swap.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch of a group as written in the plan with this fence.
    pub fn from_fence(fence: u64) -> Epoch {
        Epoch(fence << SWAP_BITS)
    }

    /// The fence of the plan this epoch grew from.
    pub fn fence(self) -> u64 {
        self.0 >> SWAP_BITS
    }

    /// Whether it counts a swap made without the platform.
    pub fn is_swap(self) -> bool {
        self != Epoch::from_fence(self.fence())
    }

    /// The epoch after one more swap without the platform, or `None` when the swaps since the
    /// last plan are used up.
    pub fn after_swap(self) -> Option<Epoch> {
        let next = Epoch(self.0 + 1);
        (next.fence() == self.fence()).then_some(next)
    }
}

/// Revision of the configuration: the platform's version of the object that holds the records.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::FromStr,
)]
pub struct Revision(pub u64);
