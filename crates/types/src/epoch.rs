//! Increasing versions: fencing tokens of replica groups and revisions of the configuration
//! records.

use serde::{Deserialize, Serialize};

/// Number of low bits of an [`Epoch`] that count standby swaps made while the platform was
/// unavailable.
const SWAP_BITS: u32 = 16;

/// Fencing token of a replica group.
///
/// The high bits are the fencing token of the fabric domain's plan, called its fence; every
/// conditional update of the plan raises it. The low bits count the standby swaps made since that
/// update while the platform was unavailable. So the epoch of a swap is above that of the plan on
/// which it is based, and the epoch of a later plan is above those of all earlier swaps.
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
    /// Returns the epoch of a group in the plan with this fence.
    pub fn from_fence(fence: u64) -> Epoch {
        Epoch(fence << SWAP_BITS)
    }

    /// Returns the fence of the plan that this epoch is based on.
    pub fn fence(self) -> u64 {
        self.0 >> SWAP_BITS
    }

    /// Returns whether this epoch counts at least one standby swap.
    pub fn has_swaps(self) -> bool {
        self != Epoch::from_fence(self.fence())
    }

    /// Returns the epoch after one more standby swap, or `None` if the count of swaps since the
    /// last update of the plan is at its maximum.
    pub fn after_swap(self) -> Option<Epoch> {
        let next = Epoch(self.0 + 1);
        (next.fence() == self.fence()).then_some(next)
    }
}

/// Revision of a node's configuration records: the version that the platform assigns to the object
/// that holds them. A gateway's configuration has a `ConfigVersion` of the fleet crate instead.
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
